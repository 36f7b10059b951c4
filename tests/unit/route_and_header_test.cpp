#include "core/header_rules.h"
#include "core/route_table.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cctype>
#include <ostream>
#include <string>

namespace {

namespace data = boost::unit_test::data;

const pw::RouteTable table { {
    { .name = "root", .pathPrefix = "/" },
    { .name = "share", .pathPrefix = "/share" },
    { .name = "share-detail", .pathPrefix = "/share/detail" },
    { .name = "order", .method = "POST", .pathPrefix = "/share" },
    { .name = "guide", .method = "", .host = "guide.example", .pathPrefix = "/share" },
    { .name = "guide-lookup", .method = "", .host = "guide.example", .pathPrefix = "/share/lookup/" },
} };

struct MatchRow {
    const char* host;
    const char* method;
    const char* target;
    const char* route; ///< Empty if none matches.
};

std::ostream& operator<<(std::ostream& out, const MatchRow& row)
{
    return out << row.host << ' ' << row.method << ' ' << row.target;
}

const std::vector<MatchRow> matchRows {
    { "", "GET", "/share", "share" },
    { "x", "GET", "/share?member=1", "share" },
    { "x:8080", "GET", "/share/7", "share" },
    { "x", "GET", "/shared", "root" },
    { "x", "GET", "/share/detail/7", "share-detail" },
    { "x", "POST", "/share/detail", "order" },
    { "x", "DELETE", "/share", "" },
    { "x", "get", "/share", "" },
    { "guide.example", "GET", "/share", "guide" },
    { "GUIDE.example:80", "DELETE", "/share/7", "guide" },
    { "guide.example", "GET", "/share/detail/7", "share-detail" },
    { "guide.example", "GET", "/share/lookup/7?x=/", "guide-lookup" },
    { "guide.example", "GET", "/share/lookup", "guide" },
    { "guide.example", "GET", "/other", "root" },
    { "[2001:db8::1]:80", "GET", "/share", "share" },
};

struct HeaderRow {
    const char* name;
    bool forwarded;
};

std::ostream& operator<<(std::ostream& out, const HeaderRow& row)
{
    return out << row.name;
}

const std::vector<HeaderRow> headerRows {
    { "Accept", true },
    { "Authorization", true },
    { "Connection", false },
    { "keep-alive", false },
    { "TRANSFER-ENCODING", false },
    { "Upgrade", false },
    { "Content-Length", false },
    { "Pistachio-Key", false },
    { "pistachio-context", false },
    { "Pistachio-Workspace", false },
    { "X-Named", false }, // Listed in the Connection header.
};

struct KeyRow {
    const char* target;
    pw::HeaderLine header;
    const char* body;
    bool misplaced;
};

std::ostream& operator<<(std::ostream& out, const KeyRow& row)
{
    return out << row.target << ' ' << row.header.name << ' ' << row.body;
}

const std::vector<KeyRow> keyRows {
    { "/a", { "Pistachio-Key", "pwk_1" }, "", false },
    { "/a", { "pistachio-key", "pwk_1" }, "", false },
    { "/a?key=pwk_1", { "Accept", "*/*" }, "", true },
    { "/a", { "Authorization", "Bearer pwk_1" }, "", true },
    { "/a", { "X-pwk_1", "1" }, "", true },
    { "/a", { "Accept", "*/*" }, R"({"key":"pwk_1"})", true },
};

} // namespace

BOOST_AUTO_TEST_SUITE(RoutesAndHeaders)

BOOST_DATA_TEST_CASE(longestPrefixAtASegmentBorderWins, data::make(matchRows), row)
{
    const auto* route = table.match(row.host, row.method, row.target);
    BOOST_TEST((route ? route->name : "") == row.route);
}

BOOST_DATA_TEST_CASE(onlyEndToEndHeadersAreForwarded, data::make(headerRows), row)
{
    auto forwarded = pw::forwardedHeaders({ { row.name, "value" }, { "Connection", "close, x-named" } }, pw::header::ownPrefix);
    BOOST_TEST(pw::countHeader(forwarded, row.name) == (row.forwarded ? 1U : 0U));
}

BOOST_DATA_TEST_CASE(aKeyOutsideItsHeaderIsSeen, data::make(keyRows), row)
{
    BOOST_TEST(pw::hasMisplacedKey(row.target, { row.header }, row.body) == row.misplaced);
}

BOOST_AUTO_TEST_CASE(aRepeatedHeaderHasNoSingleValue)
{
    BOOST_TEST(!pw::singleHeader({ { "Pistachio-Key", "a" }, { "pistachio-key", "b" } }, "Pistachio-Key").has_value());
}

/// Guards against a comparison of names that differs from the standard functions in the C locale, for any two bytes.
BOOST_AUTO_TEST_CASE(headerNamesIgnoreTheCaseOfAsciiLettersOnly)
{
    constexpr auto bytes = 256;
    auto different = 0;
    for (auto a = 0; a < bytes; ++a) {
        for (auto b = 0; b < bytes; ++b) {
            const std::string first { 'X', static_cast<char>(a) };
            const std::string second { 'x', static_cast<char>(b) };
            different += pw::sameHeader(first, second) != (std::tolower(a) == std::tolower(b)) ? 1 : 0;
        }
    }
    BOOST_TEST(different == 0);
    BOOST_TEST(!pw::sameHeader("Host", "Hos"));
}

BOOST_AUTO_TEST_SUITE_END()
