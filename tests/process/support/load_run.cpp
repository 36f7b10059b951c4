#include "support/load_run.h"

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

    /// \returns of each marker whether every answer to it said "not run".
    std::map<std::string, bool> neverRan(const LoadRun& run)
    {
        std::map<std::string, bool> result;
        for (const auto& it : run.outcomes()) {
            const auto [entry, first] = result.try_emplace(it.marker, true);
            entry->second = entry->second && it.verdict == "not-run";
        }
        return result;
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

std::vector<std::string> findBreaches(const LoadRun& run, const std::vector<const Standin*>& standins, const std::vector<std::string>& nonIdempotentPrefixes)
{
    std::vector<std::string> breaches;
    if (const auto crossed = run.number({ "all", "crossed" })) {
        breaches.push_back(std::to_string(crossed) + " crossed answers");
    }
    const auto runs = runsByMarker(standins);
    for (const auto& [marker, notRun] : neverRan(run)) {
        const auto it = runs.find(marker);
        const std::size_t count = it == runs.end() ? 0 : it->second;
        const bool once = std::ranges::any_of(nonIdempotentPrefixes, [&, name = marker](const std::string& prefix) { return name.starts_with(prefix); });
        if (notRun && count) {
            breaches.push_back(marker + " was answered \"not run\" and ran");
        }
        if (once && count > 1) {
            breaches.push_back(marker + " ran " + std::to_string(count) + " times");
        }
    }
    return breaches;
}

} // namespace pw::test
