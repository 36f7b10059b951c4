#pragma once

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Validating reader for YAML text written by people: collects every problem with its line number.
namespace pw {

/// Collects the problems of one YAML text.
class YamlProblems {
public:
    /// \param source name of the text in messages, usually the file.
    explicit YamlProblems(std::string source)
        : m_source(std::move(source))
    {
    }

    /// Adds "source:line: key: problem; accepted: accepted".
    void add(const YAML::Mark& mark, std::string_view key, std::string_view problem, std::string_view accepted);

    bool empty() const { return m_lines.empty(); }

    /// \returns all problems ordered by line number, one per line.
    std::string text() const;

private:
    struct Line {
        int number;
        std::string text;
    };

    std::string m_source;
    std::vector<Line> m_lines;
};

/// Parses \p text as one YAML mapping. Adds a problem and returns nothing when it isn't one or exceeds \p maxBytes.
std::optional<YAML::Node> parseYamlMap(const std::string& text, std::size_t maxBytes, YamlProblems& problems);

/// Accepted range of a number, both ends included.
template <typename Number>
struct Range {
    Number min = std::numeric_limits<Number>::lowest();
    Number max = std::numeric_limits<Number>::max();
};

/// One mapping of a YAML text. The readers add a problem when a value is invalid and record the key as known;
/// reportUnknownKeys() then reports all other keys.
class YamlMap {
public:
    /// \param path full key of the mapping itself; empty for the root.
    YamlMap(const YAML::Node& node, std::string path, YamlProblems& problems);

    /// \returns the text of \p key, or nothing when it is absent or invalid.
    std::optional<std::string> text(const std::string& key);
    /// \returns the integer of \p key, or nothing when it is absent or invalid.
    std::optional<std::uint32_t> integer(const std::string& key, Range<std::uint32_t> range);
    /// \returns the number of \p key, or nothing when it is absent or invalid.
    std::optional<double> number(const std::string& key, Range<double> range);
    /// \returns the duration of \p key, or nothing when it is absent or invalid.
    std::optional<std::chrono::milliseconds> duration(const std::string& key, Range<std::chrono::milliseconds> range);
    /// \returns the boolean of \p key, or nothing when it is absent or invalid.
    std::optional<bool> boolean(const std::string& key);
    /// \returns the index in \p names of the text of \p key, or nothing when it is absent or invalid.
    std::optional<std::size_t> choice(const std::string& key, const std::vector<std::string_view>& names);
    /// \returns the mapping under \p key; an empty one when it is absent or invalid.
    YamlMap map(const std::string& key);
    /// \returns \p node, an item of the list under \p key, as a mapping.
    YamlMap child(const YAML::Node& node, const std::string& key) { return { node, fullKey(key), m_problems }; }
    /// \returns the items of the list under \p key; none when it is absent or invalid.
    std::vector<YAML::Node> list(const std::string& key, std::string_view accepted);

    bool has(const std::string& key) const;
    /// \returns the position of the value of \p key, or of the mapping when the key is absent.
    YAML::Mark mark(const std::string& key) const;
    /// \returns \p key with the path of the mapping, as messages show it.
    std::string fullKey(std::string_view key) const;

    /// Adds a problem with the value of \p key.
    void addProblem(const std::string& key, std::string_view problem, std::string_view accepted);
    /// Adds a problem when \p key is absent. \returns whether it is present.
    bool require(const std::string& key, std::string_view accepted);
    /// Adds a problem for every key that wasn't read.
    void reportUnknownKeys();

private:
    std::optional<std::string> scalar(const std::string& key, std::string_view accepted);

    YAML::Node m_node;
    std::string m_path;
    YamlProblems& m_problems;
    std::set<std::string, std::less<>> m_knownKeys;
};

/// \returns \p names joined for a message: "a, b, c".
std::string joinNames(const std::vector<std::string_view>& names);

} // namespace pw
