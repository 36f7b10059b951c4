#pragma once

#include "support/load_run.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace pw::demo {

using std::chrono::milliseconds;

/// When the trigger of the overload began and ended, after the start of the load.
struct Trigger {
    milliseconds begin;
    milliseconds end;
};

/// Figures of one run, by the brief's measures.
struct Summary {
    std::size_t attempts = 0;
    std::size_t whole = 0;
    std::map<std::string, std::size_t> refusals; ///< By reason and verdict.
    std::size_t wrongful = 0; ///< Refusals of workspaces that stayed inside their rate.
    std::string worstWorkspace; ///< Of those inside their rate.
    double worstShare = 1; ///< Whole answers of the worst-served workspace over its requests.
    milliseconds recovery { 0 }; ///< From the end of the trigger until goodput stays at 95%.
};

/// \returns the workspace of a load marker, which mixes name as ROUTE.WORKSPACE.
std::string workspaceOf(const std::string& marker);

/// \param excluded workspaces that exceed their rate or whose key is withdrawn.
Summary summarize(const std::vector<test::Outcome>& outcomes, const std::vector<std::string>& excluded, const Trigger& trigger);

/// Prints \p summary as a table.
void print(const Summary& summary);

} // namespace pw::demo
