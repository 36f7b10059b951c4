#include "app/metric_catalogue.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <set>
#include <string>

BOOST_AUTO_TEST_SUITE(MetricCatalogue)

BOOST_AUTO_TEST_CASE(codeAndDocumentListTheSameMetrics)
{
    std::multiset<std::string> documented;
    std::ifstream in(PW_SOURCE_DIR "/docs/METRICS.md");
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("| pistachiowheel_")) {
            std::size_t end = 0;
            for (auto n = 0; n < 3; ++n) {
                end = line.find('|', end + 1);
            }
            BOOST_TEST(line.size() > end + 6, "no description: " + line);
            documented.insert(line.substr(0, end + 1));
        }
    }
    std::multiset<std::string> coded;
    for (auto n = 0; n < static_cast<int>(pw::Metric::Count); ++n) {
        const auto& info = pw::metricInfo(static_cast<pw::Metric>(n));
        coded.insert("| " + std::string(info.name) + " | " + std::string(info.type) + " | " + std::string(info.labels) + " |");
    }
    BOOST_TEST(documented == coded, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
