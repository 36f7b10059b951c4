#pragma once

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pw::load {

/// How one attempt at a request ended.
struct Attempt {
    std::string mix;
    std::string workspace;
    std::string marker;
    bool whole = false; ///< A complete answer of a backend server with the request's own marker.
    bool crossed = false; ///< An answer with another request's marker.
    bool last = true; ///< No further attempt follows.
    int status = 0;
    std::string verdict; ///< Empty when no answer came.
    std::string reason; ///< Refusal code, or what went wrong on the connection.
    std::chrono::microseconds latency { 0 }; ///< Since the request was due.
    std::chrono::milliseconds at { 0 }; ///< End of the attempt, since the start of the run.
};

/// Counts of attempts and requests, printed as one JSON object.
class Report {
public:
    /// \param outcomesFile gets a line for each attempt; none when empty.
    explicit Report(const std::string& outcomesFile);

    void add(const Attempt& attempt);

    /// \returns the JSON text.
    std::string json() const;

private:
    struct Counts {
        std::uint64_t requests = 0;
        std::uint64_t attempts = 0;
        std::uint64_t whole = 0;
        std::uint64_t crossed = 0;
        std::map<std::string, std::uint64_t> refusals; ///< By "reason/verdict", attempts.
        std::vector<std::chrono::microseconds> latencies; ///< Of whole answers.
    };
    struct Closer {
        void operator()(std::FILE* file) const { (void)std::fclose(file); }
    };

    static void count(Counts& counts, const Attempt& attempt);
    static std::string jsonOf(const Counts& counts);

    Counts m_all;
    std::map<std::string, Counts> m_workspaces;
    std::map<std::string, Counts> m_mixes;
    std::vector<std::uint64_t> m_timeline; ///< Whole answers in each timeline step.
    std::unique_ptr<std::FILE, Closer> m_outcomes;
};

} // namespace pw::load
