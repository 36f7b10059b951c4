#include "support/load_run.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>
#include <map>
#include <stdexcept>

namespace pw::test {
namespace {

    constexpr milliseconds drainBound { 15000 }; ///< For requests that are running when the arrivals end.

    std::vector<std::string> argumentsOf(const std::vector<std::string>& targets, const std::vector<std::string>& mixes, milliseconds duration,
        std::uint64_t seed, const std::string& outcomesFile)
    {
        std::vector<std::string> result { "--duration-ms", std::to_string(duration.count()), "--seed", std::to_string(seed), "--outcomes", outcomesFile };
        for (const auto& it : targets) {
            result.insert(result.end(), { "--target", it });
        }
        for (const auto& it : mixes) {
            result.insert(result.end(), { "--mix", it });
        }
        return result;
    }

    std::vector<Outcome> readOutcomes(const std::string& file)
    {
        std::ifstream in(file);
        std::vector<Outcome> result;
        std::string whole;
        std::int64_t at = 0;
        for (Outcome it; in >> it.marker >> it.status >> whole >> it.verdict >> it.reason >> at;) {
            it.whole = whole == "whole";
            it.at = milliseconds(at);
            result.push_back(it);
        }
        return result;
    }

    std::map<std::string, std::size_t> runsByMarker(const std::vector<const Standin*>& standins)
    {
        std::map<std::string, std::size_t> runs;
        for (const Standin* standin : standins) {
            for (const auto& it : standin->records()) {
                runs[it.marker] += it.ran() ? 1 : 0;
            }
        }
        return runs;
    }

} // namespace

LoadRun::LoadRun(const Folder& folder, const std::string& name, const std::vector<std::string>& targets, const std::vector<std::string>& mixes,
    milliseconds duration, std::uint64_t seed)
    : m_outcomesFile(folder.path(name + ".outcomes"))
    , m_bound(duration + drainBound)
    , m_process("load", argumentsOf(targets, mixes, duration, seed, m_outcomesFile), folder.path(name + ".report"))
{
}

void LoadRun::finish()
{
    if (m_process.wait(m_bound) != 0) {
        throw std::runtime_error("the load tool did not end well: " + m_process.log());
    }
    m_text = m_process.log();
    m_report = YAML::Load(m_text);
    m_outcomes = readOutcomes(m_outcomesFile);
}

std::size_t LoadRun::number(const std::vector<std::string>& path) const
{
    YAML::Node node = YAML::Clone(m_report);
    for (const auto& it : path) {
        node.reset(node[it]);
    }
    return node.IsScalar() ? node.as<std::size_t>() : 0;
}

std::size_t LoadRun::refusals(const std::string& reasonAndVerdict) const
{
    return m_report["all"]["refusals"][reasonAndVerdict].as<std::size_t>(0);
}

void checkInvariants(const LoadRun& run, const std::vector<const Standin*>& standins, const std::vector<std::string>& nonIdempotentPrefixes)
{
    BOOST_TEST(run.number({ "all", "crossed" }) == 0U, run.text());
    const auto runs = runsByMarker(standins);
    const auto runsOf = [&](const std::string& marker) {
        const auto it = runs.find(marker);
        return it == runs.end() ? std::size_t(0) : it->second;
    };
    std::map<std::string, bool> neverRan;
    for (const auto& it : run.outcomes()) {
        const auto [entry, first] = neverRan.try_emplace(it.marker, true);
        entry->second = entry->second && it.verdict == "not-run";
    }
    for (const auto& [marker, notRun] : neverRan) {
        if (notRun) {
            BOOST_TEST(runsOf(marker) == 0U, marker << " was answered \"not run\" and ran");
        }
        const bool once = std::ranges::any_of(nonIdempotentPrefixes, [&, name = marker](const std::string& prefix) { return name.starts_with(prefix); });
        if (once) {
            BOOST_TEST(runsOf(marker) <= 1U, marker << " ran " << runsOf(marker) << " times");
        }
    }
}

} // namespace pw::test
