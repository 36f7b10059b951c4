#pragma once

#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

namespace pw::test {

/// Row of a table of invalid texts: one replacement in a valid text, and the expected reason of the rejection.
struct TextChange {
    std::string from; ///< Substring of the valid text to replace.
    std::string to; ///< Replacement.
    std::string expected {}; ///< Substring of the reason; empty when the result is valid.
};

inline std::ostream& operator<<(std::ostream& out, const TextChange& row)
{
    return out << row.from << " -> " << row.to;
}

/// \returns \p text after the replacement of \p row; the test fails when \p text doesn't contain row.from.
inline std::string replaced(std::string text, const TextChange& row)
{
    const auto at = text.find(row.from);
    BOOST_TEST_REQUIRE(at != std::string::npos, row.from);
    return text.replace(at, row.from.size(), row.to);
}

} // namespace pw::test
