#include "adapters/frame_difference.h"
#include "config.h"

#include <boost/test/unit_test.hpp>

#include <cstring>
#include <random>
#include <string>

namespace {

pw::Bytes bytesOf(const std::string& text)
{
    pw::Bytes bytes(text.size());
    std::memcpy(bytes.data(), text.data(), text.size());
    return bytes;
}

pw::Bytes callNumber(int n)
{
    return bytesOf("GET /tides/menai?page=" + std::to_string(n) + " host tides.example user-agent client/1.9.3 accept */* id " + std::to_string(n * 7919));
}

} // namespace

BOOST_AUTO_TEST_SUITE(FrameDifferences)

BOOST_AUTO_TEST_CASE(messagesThatAreAlikeComeThroughInFewerBytes)
{
    pw::FrameDeltaCodec codec;
    pw::FrameHistory sent;
    pw::FrameHistory received;
    sent.note(callNumber(0));
    received.note(callNumber(0));
    for (int n = 1; n < 1000; ++n) {
        const auto message = callNumber(n);
        const auto difference = codec.encode(message, sent.last());
        sent.note(message);
        BOOST_REQUIRE(difference.has_value());
        BOOST_TEST(difference->size() < message.size());
        const auto decoded = codec.decode(*difference, received.last());
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST((*decoded == message));
        received.note(*decoded);
    }
}

BOOST_AUTO_TEST_CASE(whatIsNotAlikeIsToldInFull)
{
    pw::FrameDeltaCodec codec;
    std::mt19937_64 random(1);
    pw::Bytes noise(1000);
    std::ranges::generate(noise, [&random] { return static_cast<std::byte>(random()); });
    BOOST_TEST(!codec.encode(noise, callNumber(1)).has_value());
    BOOST_TEST(codec.encode(callNumber(2), callNumber(1)).has_value());
}

BOOST_AUTO_TEST_CASE(aDifferenceThatIsDamagedOrBelongsToAnotherMessageIsRefused)
{
    pw::FrameDeltaCodec codec;
    const auto difference = *codec.encode(callNumber(2), callNumber(1));
    BOOST_TEST(!codec.decode(difference, callNumber(55555)).has_value());
    for (std::size_t n = 0; n < difference.size(); ++n) {
        auto damaged = difference;
        damaged[n] ^= std::byte { 0x41 };
        const auto decoded = codec.decode(damaged, callNumber(1));
        BOOST_TEST((!decoded || *decoded == callNumber(2)), "byte " << n);
        BOOST_TEST(!codec.decode(std::span(difference).first(n), callNumber(1)).has_value());
    }
    BOOST_TEST((*codec.decode(difference, callNumber(1)) == callNumber(2)));
}

BOOST_AUTO_TEST_CASE(aDifferenceThatTellsMoreThanAnyMessageIsRefused)
{
    pw::FrameDeltaCodec codec;
    const pw::Bytes large(pw::config::maxDeltaMessageBytes + 1);
    const auto difference = codec.encode(large, callNumber(1));
    BOOST_REQUIRE(difference.has_value());
    BOOST_TEST(!codec.decode(*difference, callNumber(1)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
