#include "adapters/compressed_text.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

namespace {

constexpr std::size_t limit = 1024 * 1024;

std::string numbered(int lines, const std::string& changed = {})
{
    std::string result;
    for (int n = 0; n < lines; ++n) {
        result += "route-" + std::to_string(n * 7919) + " host-" + std::to_string(n * 104729) + "\n";
    }
    return result + changed;
}

struct Texts {
    const char* title;
    std::string text;
    std::string base;
    std::size_t most; ///< Maximum size of the frame, in bytes.
};

std::ostream& operator<<(std::ostream& out, const Texts& it)
{
    return out << it.title;
}

const Texts texts[] {
    { "nothing", "", "", 32 },
    { "nothing from something", "", numbered(10), 32 },
    { "whole", numbered(500), "", numbered(500).size() },
    { "one line more", numbered(500, "route-new\n"), numbered(500), 100 },
    { "the same", numbered(500), numbered(500), 64 },
    { "far beyond one window of the default level", numbered(20000, "end"), numbered(20000), 512 },
};

} // namespace

BOOST_AUTO_TEST_SUITE(CompressedTexts)

BOOST_DATA_TEST_CASE(textComesBackAndIsNoLargerThanItsNews, texts)
{
    const auto frame = pw::compressText(sample.text, sample.base);
    BOOST_TEST(frame.size() <= sample.most);
    const auto text = pw::decompressText(frame, sample.base, limit);
    BOOST_REQUIRE(text.has_value());
    BOOST_TEST((*text == sample.text));
}

BOOST_AUTO_TEST_CASE(anotherBaseIsRefused)
{
    const auto frame = pw::compressText(numbered(500, "new"), numbered(500));
    BOOST_TEST(!pw::decompressText(frame, numbered(500, "another"), limit).has_value());
    BOOST_TEST(!pw::decompressText(frame, {}, limit).has_value());
}

BOOST_AUTO_TEST_CASE(everyDamagedByteIsRefusedOrHarmless)
{
    const auto text = numbered(20, "new");
    const auto frame = pw::compressText(text, numbered(20));
    for (std::size_t n = 0; n < frame.size(); ++n) {
        auto damaged = frame;
        damaged[n] = static_cast<char>(damaged[n] ^ 0x55);
        const auto result = pw::decompressText(damaged, numbered(20), limit);
        BOOST_TEST((!result || *result == text));
    }
    BOOST_TEST(!pw::decompressText(frame.substr(0, frame.size() - 1), numbered(20), limit).has_value());
}

BOOST_AUTO_TEST_CASE(textAboveTheLimitIsRefused)
{
    BOOST_TEST(!pw::decompressText(pw::compressText(std::string(2 * limit, 'x')), {}, limit).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
