#pragma once

#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

namespace pw::test {

/// A row of a table of wrong texts: one change of a valid one, and why the result is refused.
struct TextChange {
    std::string from; ///< Part of the valid text.
    std::string to; ///< What stands there instead.
    std::string expected {}; ///< Part of the reason; empty where nothing is refused.
};

inline std::ostream& operator<<(std::ostream& out, const TextChange& row)
{
    return out << row.from << " -> " << row.to;
}

/// \returns \p text with the change of \p row; the test fails when it has no such part.
inline std::string replaced(std::string text, const TextChange& row)
{
    const auto at = text.find(row.from);
    BOOST_TEST_REQUIRE(at != std::string::npos, row.from);
    return text.replace(at, row.from.size(), row.to);
}

} // namespace pw::test
