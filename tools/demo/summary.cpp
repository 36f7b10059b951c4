#include "summary.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace pw::demo {
namespace {

    constexpr milliseconds recoveryStep { 250 };
    constexpr double recoveredShare = 0.95;

    struct Counts {
        std::size_t all = 0;
        std::size_t whole = 0;

        void add(bool isWhole)
        {
            ++all;
            whole += isWhole ? 1 : 0;
        }
        double share() const { return all ? static_cast<double>(whole) / static_cast<double>(all) : 1; }
    };

    /// \returns the end of the last step after the trigger in which too few answers were whole.
    milliseconds recoveryTime(const std::map<std::int64_t, Counts>& steps, const Trigger& trigger)
    {
        milliseconds last { 0 };
        for (const auto& [step, counts] : steps) {
            const milliseconds end = (step + 1) * recoveryStep;
            if (end > trigger.end && counts.share() < recoveredShare) {
                last = end - trigger.end;
            }
        }
        return last;
    }

    void line(const std::string& name, const std::string& value)
    {
        std::cout << "  " << std::left << std::setw(44) << name << value << '\n';
    }

} // namespace

std::string workspaceOf(const std::string& marker)
{
    // A marker is RUN-ROUTE.WORKSPACE-NUMBER.ATTEMPT, the attempt only without a request id.
    const auto dot = marker.find('.');
    const auto attempt = marker.rfind('.');
    const auto end = marker.rfind('-', attempt == dot ? std::string::npos : attempt);
    return dot == std::string::npos || end == std::string::npos || end < dot ? std::string() : marker.substr(dot + 1, end - dot - 1);
}

Summary summarize(const std::vector<test::Outcome>& outcomes, const std::vector<std::string>& excluded, const Trigger& trigger)
{
    Summary summary;
    std::map<std::string, Counts> workspaces;
    std::map<std::int64_t, Counts> steps;
    for (const auto& it : outcomes) {
        ++summary.attempts;
        summary.whole += it.whole ? 1 : 0;
        if (!it.whole) {
            ++summary.refusals[it.reason + " (" + it.verdict + ")"];
        }
        const std::string workspace = workspaceOf(it.marker);
        if (std::ranges::find(excluded, workspace) != excluded.end()) {
            continue;
        }
        workspaces[workspace].add(it.whole);
        steps[it.at / recoveryStep].add(it.whole);
        summary.wrongful += it.whole ? 0 : 1;
    }
    for (const auto& [name, counts] : workspaces) {
        if (counts.share() < summary.worstShare || summary.worstWorkspace.empty()) {
            summary.worstShare = counts.share();
            summary.worstWorkspace = name;
        }
    }
    summary.recovery = recoveryTime(steps, trigger);
    return summary;
}

void print(const Summary& summary)
{
    std::cout << "\nResults\n";
    line("requests", std::to_string(summary.attempts));
    line("whole answers", std::to_string(summary.whole));
    for (const auto& [name, count] : summary.refusals) {
        line("refused: " + name, std::to_string(count));
    }
    line("refused although inside the rate", std::to_string(summary.wrongful));
    line("worst-served workspace inside its rate", summary.worstWorkspace + " " + std::to_string(summary.worstShare));
    line("recovery time", std::to_string(summary.recovery.count()) + " ms");
}

} // namespace pw::demo
