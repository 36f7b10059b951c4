#include "adapters/http_reader.h"
#include "config.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <ostream>
#include <random>

namespace {

namespace data = boost::unit_test::data;

constexpr pw::HttpSizeLimits limits { 16 * 1024, 64 * 1024 };
constexpr std::size_t floodBytes = 16 * 1024 * 1024;
constexpr std::size_t pieceBytes = 64 * 1024;
/// Maximum memory of a partly read message: header, body and one unconsumed piece of input.
constexpr std::size_t heldBytes = limits.headerBytes + limits.bodyBytes + pieceBytes;

std::string repeated(std::string_view text, std::size_t bytes)
{
    std::string result;
    while (result.size() < bytes) {
        result += text;
    }
    return result;
}

/// An endless message: a beginning followed by a repeated text.
struct Endless {
    const char* name;
    std::string begin;
    std::string again;
    pw::HttpFault fault; ///< Count: any fault, since it depends on the split which one is found first.
};

std::ostream& operator<<(std::ostream& out, const Endless& row)
{
    return out << row.name;
}

const std::string chunkedAnswer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string chunkedRequest = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string tinyChunk = "1;" + std::string(100, 'e') + "\r\nx\r\n";

/// Endless messages common to requests and responses.
std::vector<Endless> withTails(const std::string& start, const std::string& chunked)
{
    using Fault = pw::HttpFault;
    return {
        { "start line", start, "a", Fault::Malformed },
        { "header line", start + " / HTTP/1.1\r\nX: ", "a", Fault::HeaderTooLarge },
        { "header lines", start + " / HTTP/1.1\r\n", "X: y\r\n", Fault::HeaderTooLarge },
        { "garbage", "", std::string("\x01\x7f\x00\xff", 4), Fault::Count },
        { "empty lines", "", "\r\n", Fault::Malformed },
        { "chunk extension", chunked + "5;", "a", Fault::Malformed },
        { "extension behind a chunk", chunked + "1\r\nx\r\n5;", "a", Fault::Malformed },
        { "zeros of a chunk's size", chunked, "0", Fault::Malformed },
        { "digits of a chunk's size", chunked, "1", Fault::Malformed },
        { "one trailer", chunked + "0\r\nX: ", "a", Fault::HeaderTooLarge },
        { "trailers", chunked + "0\r\n", "X: y\r\n", Fault::HeaderTooLarge },
        { "tiny chunks with extensions", chunked, tinyChunk, Fault::Malformed },
        { "chunks", chunked, "a\r\n0123456789\r\n", Fault::BodyTooLarge },
    };
}

std::vector<Endless> endlessAnswers()
{
    auto rows = withTails("HTTP/1.1 200", chunkedAnswer);
    for (auto& it : rows) {
        const auto at = it.begin.find(" / HTTP/1.1");
        if (at != std::string::npos) {
            it.begin.replace(at, std::string_view(" / HTTP/1.1").size(), " OK");
        }
    }
    rows.front() = { "status line", "HTTP/1.1 200 ", "a", pw::HttpFault::HeaderTooLarge };
    rows.push_back({ "body until the end", "HTTP/1.1 200 OK\r\n\r\n", "a", pw::HttpFault::BodyTooLarge });
    return rows;
}

std::vector<Endless> endlessRequests()
{
    auto rows = withTails("GET", chunkedRequest);
    rows.front() = { "target", "GET /", "a", pw::HttpFault::HeaderTooLarge };
    return rows;
}

/// Feeds the reader as a connection does: unconsumed bytes are passed again with the next ones.
template <typename Reader>
std::size_t mostHeld(Reader& reader, const Endless& row, std::size_t piece)
{
    std::string input = row.begin;
    std::size_t sent = input.size();
    std::size_t most = 0;
    const auto again = repeated(row.again, piece);
    while (sent < floodBytes && reader.fault() == pw::HttpFault::None) {
        input += again;
        sent += again.size();
        input.erase(0, reader.take(input));
        most = std::max(most, input.size());
    }
    return most;
}

template <typename Reader>
void checkBounded(Reader& reader, const Endless& row, std::size_t piece)
{
    const auto held = mostHeld(reader, row, piece);
    BOOST_TEST((reader.fault() != pw::HttpFault::None));
    if (row.fault != pw::HttpFault::Count) {
        BOOST_TEST(static_cast<int>(reader.fault()) == static_cast<int>(row.fault));
    }
    BOOST_TEST(!reader.complete());
    BOOST_TEST(held <= heldBytes);
}

const std::vector<std::size_t> pieces { 1, 1000, pieceBytes };

/// Result of reading a message: its content, or that it was rejected.
struct Read {
    bool whole = false;
    std::string text;

    bool operator==(const Read&) const = default;
};

template <typename Message>
std::string bodyAndHeaders(const Message& message)
{
    auto text = message.body;
    std::ranges::for_each(message.headers, [&text](const auto& it) { text += '\n' + it.name + ':' + it.value; });
    return text;
}

/// Passes \p bytes in pieces of the sizes given by \p next until a message is complete or rejected.
template <typename Reader>
Read readInPieces(Reader& reader, std::string_view bytes, const std::function<std::size_t()>& next)
{
    std::string input;
    while (!bytes.empty() && !reader.complete() && reader.fault() == pw::HttpFault::None) {
        const auto n = std::min(next(), bytes.size());
        input += bytes.substr(0, n);
        bytes.remove_prefix(n);
        input.erase(0, reader.take(input));
        BOOST_REQUIRE(input.size() <= limits.headerBytes + pw::config::maxChunkLineBytes + n);
    }
    return { reader.complete(), reader.complete() ? bodyAndHeaders(reader.finish()) : "" };
}

/// A message of random, mostly valid parts with some bytes changed.
std::string randomMessage(const std::string& start, std::mt19937_64& random)
{
    const auto upTo = [&random](std::size_t most) { return std::uniform_int_distribution<std::size_t>(0, most)(random); };
    std::string text = start + "X-Long: " + std::string(upTo(1) ? upTo(200) : upTo(17000), 'h') + "\r\n";
    if (upTo(3) == 0) {
        const auto size = upTo(2000);
        text += "Content-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'b');
    } else {
        text += "Transfer-Encoding: chunked\r\n\r\n";
        for (auto n = upTo(40); n > 0; --n) {
            text += "3" + (upTo(1) ? ";e=" + std::string(upTo(20) ? upTo(30) : upTo(1100), 'e') : std::string()) + "\r\nabc\r\n";
        }
        text += "0\r\n" + (upTo(1) ? "T: " + std::string(upTo(10) ? upTo(100) : upTo(17000), 't') + "\r\n" : std::string()) + "\r\n";
    }
    for (auto n = upTo(3) ? 0 : upTo(3); n > 0; --n) {
        text.at(upTo(text.size() - 1)) = static_cast<char>(upTo(255));
    }
    return text;
}

constexpr std::uint64_t fuzzMessages = 400;
constexpr int cutsOfEach = 6;

template <typename MakeReader>
void checkCuts(const std::string& start, MakeReader makeReader)
{
    for (std::uint64_t seed = 1; seed <= fuzzMessages; ++seed) {
        std::mt19937_64 random(seed);
        const auto text = randomMessage(start, random);
        auto reader = makeReader();
        const auto expected = readInPieces(*reader, text, [&text] { return text.size(); });
        for (int cut = 0; cut < cutsOfEach; ++cut) {
            auto other = makeReader();
            std::uniform_int_distribution<std::size_t> piece(1, cut == 0 ? 1 : 500);
            const auto found = readInPieces(*other, text, [&] { return piece(random); });
            BOOST_TEST((found == expected), "seed " << seed << ", cut " << cut << ": " << expected.whole << " whole in one piece, " << found.whole << " cut");
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpReaders)

BOOST_DATA_TEST_CASE(anAnswerWithoutEndIsRefusedInBoundedMemory, data::make(endlessAnswers()) * data::make(pieces), row, piece)
{
    pw::HttpResponseReader reader(limits);
    reader.begin(false);
    checkBounded(reader, row, piece);
}

BOOST_DATA_TEST_CASE(aRequestWithoutEndIsRefusedInBoundedMemory, data::make(endlessRequests()) * data::make(pieces), row, piece)
{
    pw::HttpRequestReader reader(limits);
    checkBounded(reader, row, piece);
}

BOOST_AUTO_TEST_CASE(aLastChunkThatComesByteByByteIsRead)
{
    pw::HttpRequestReader reader(limits);
    const auto text = chunkedRequest + "0\r\n\r\n";
    const auto read = readInPieces(reader, text, [] { return std::size_t(1); });
    BOOST_TEST(read.whole);
}

BOOST_AUTO_TEST_CASE(theCutsOfARequestDoNotChangeWhatIsRead)
{
    checkCuts("POST / HTTP/1.1\r\nHost: x\r\n", [] { return std::make_unique<pw::HttpRequestReader>(limits); });
}

BOOST_AUTO_TEST_CASE(theCutsOfAnAnswerDoNotChangeWhatIsRead)
{
    checkCuts("HTTP/1.1 200 OK\r\n", [] {
        auto reader = std::make_unique<pw::HttpResponseReader>(limits);
        reader->begin(false);
        return reader;
    });
}

/// A truncated response at whose end the connection is closed.
struct BrokenOff {
    const char* name;
    std::string text;
};

std::ostream& operator<<(std::ostream& out, const BrokenOff& row)
{
    return out << row.name;
}

const std::vector<BrokenOff> brokenOff {
    { "nothing", "" },
    { "half a header", "HTTP/1.1 200 OK\r\nContent-Le" },
    { "length too long", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n012345678" },
    { "chunk cut", chunkedAnswer + "5\r\n0123" },
    { "chunks without their end", chunkedAnswer + "5\r\n01234\r\n" },
    { "last chunk without its empty line", chunkedAnswer + "5\r\n01234\r\n0\r\n" },
    { "trailer cut", chunkedAnswer + "0\r\nX: y" },
};

BOOST_DATA_TEST_CASE(anAnswerThatBreaksOffIsNotWhole, data::make(brokenOff), row)
{
    pw::HttpResponseReader reader(limits);
    reader.begin(false);
    (void)reader.take(row.text);
    reader.takeEnd();
    BOOST_TEST(!reader.complete());
    BOOST_TEST((reader.fault() != pw::HttpFault::None));
}

/// A response with a complete header.
struct StatusRow {
    const char* name;
    std::string text;
    bool isRead; ///< As a response, interim or final.
    bool keepsAlive;
};

std::ostream& operator<<(std::ostream& out, const StatusRow& row)
{
    return out << row.name;
}

const std::string bodyLines = "Content-Length: 2\r\n\r\nok";
const std::string chunkLines = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";

const std::vector<StatusRow> statusRows {
    { "000", "HTTP/1.1 000 X\r\n" + bodyLines, false, false },
    { "001", "HTTP/1.1 001 X\r\n" + bodyLines, false, false },
    { "099", "HTTP/1.1 099 X\r\n" + bodyLines, false, false },
    { "000 without a body", "HTTP/1.1 000 X\r\n\r\n", false, false },
    { "600", "HTTP/1.1 600 X\r\n" + bodyLines, false, false },
    { "999", "HTTP/1.1 999 X\r\n" + bodyLines, false, false },
    { "two digits", "HTTP/1.1 20 X\r\n" + bodyLines, false, false },
    { "four digits", "HTTP/1.1 2000 X\r\n" + bodyLines, false, false },
    { "a sign", "HTTP/1.1 -20 X\r\n" + bodyLines, false, false },
    { "letters", "HTTP/1.1 2x0 X\r\n" + bodyLines, false, false },
    { "interim", "HTTP/1.1 100 Continue\r\n\r\n", true, true },
    { "unknown interim", "HTTP/1.1 199 X\r\n\r\n", true, true },
    { "interim with an empty body", "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n", true, true },
    { "interim with a body", "HTTP/1.1 103 X\r\n" + bodyLines, false, false },
    { "interim in chunks", "HTTP/1.1 103 X\r\n" + chunkLines, false, false },
    { "another protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n", false, false },
    { "no content", "HTTP/1.1 204 X\r\n\r\n", true, true },
    { "no content, with an empty body", "HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n", true, true },
    { "no content, with a body", "HTTP/1.1 204 X\r\n" + bodyLines, false, false },
    { "no content, in chunks", "HTTP/1.1 204 X\r\n" + chunkLines, false, false },
    { "not modified", "HTTP/1.1 304 X\r\n\r\n", true, true },
    { "not modified, with the length of what was not", "HTTP/1.1 304 X\r\nContent-Length: 2\r\n\r\n", true, false },
    { "first final", "HTTP/1.1 200 X\r\n" + bodyLines, true, true },
    { "last final", "HTTP/1.1 599 X\r\n" + bodyLines, true, true },
};

/// Guards against a status that is none, and against a body that a status rules out, which would be read as the next response.
BOOST_DATA_TEST_CASE(aStatusOrBodyThatIsNoneIsMalformed, data::make(statusRows) * data::make(pieces), row, piece)
{
    pw::HttpResponseReader reader(limits);
    reader.begin(false);
    std::string_view left = row.text;
    std::string input;
    while (!left.empty() && !reader.complete() && reader.fault() == pw::HttpFault::None) {
        input += left.substr(0, piece);
        left.remove_prefix(std::min(piece, left.size()));
        input.erase(0, reader.take(input));
    }
    BOOST_TEST(reader.complete() == row.isRead);
    BOOST_TEST((reader.fault() == pw::HttpFault::Malformed) == !row.isRead);
    BOOST_TEST((reader.complete() && reader.keepsAlive()) == row.keepsAlive);
}

BOOST_AUTO_TEST_SUITE_END()
