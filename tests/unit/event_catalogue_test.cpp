#include "core/event_line.h"
#include "ports/events.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <set>

namespace {

/// \returns the events of the code, formatted like the first four columns of the catalogue.
std::set<std::string> rowsOfCode()
{
    std::set<std::string> rows;
    for (auto n = 0; n < static_cast<int>(pw::Event::Count); ++n) {
        const auto& info = pw::eventInfo(static_cast<pw::Event>(n));
        rows.insert("| " + std::to_string(info.number) + " | " + std::string(info.name) + " | " + std::string(pw::levelName(info.level))
            + " | " + (info.decision ? "yes" : "no") + " |");
    }
    return rows;
}

/// \returns the first four columns of each row of docs/EVENTS.md, including duplicates.
std::multiset<std::string> rowsOfCatalogue()
{
    std::multiset<std::string> rows;
    std::ifstream in(PW_SOURCE_DIR "/docs/EVENTS.md");
    for (std::string line; std::getline(in, line);) {
        if (!line.starts_with("| ") || line.size() < 3 || std::isdigit(static_cast<unsigned char>(line[2])) == 0) {
            continue;
        }
        std::size_t end = 0;
        for (auto n = 0; n < 4; ++n) {
            end = line.find('|', end + 1);
        }
        BOOST_TEST(line.size() > end + 6, "row without a description: " + line);
        rows.insert(line.substr(0, end + 1));
    }
    return rows;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EventCatalogue)

BOOST_AUTO_TEST_CASE(codeAndCatalogueListTheSameEvents)
{
    const auto code = rowsOfCode();
    const auto catalogue = rowsOfCatalogue();
    BOOST_TEST(code.size() == static_cast<std::size_t>(pw::Event::Count));
    for (const auto& it : code) {
        BOOST_TEST(catalogue.count(it) == 1U, "in the code, not (once) in docs/EVENTS.md: " + it);
    }
    for (const auto& it : catalogue) {
        BOOST_TEST(code.contains(it), "in docs/EVENTS.md, not in the code: " + it);
    }
}

BOOST_AUTO_TEST_CASE(numbersAndNamesAreUnique)
{
    std::set<int> numbers;
    std::set<std::string_view> names;
    for (auto n = 0; n < static_cast<int>(pw::Event::Count); ++n) {
        const auto& info = pw::eventInfo(static_cast<pw::Event>(n));
        BOOST_TEST(numbers.insert(info.number).second);
        BOOST_TEST(names.insert(info.name).second);
    }
}

BOOST_AUTO_TEST_SUITE_END()
