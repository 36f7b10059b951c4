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

/// Checked reading of YAML text that people write: every problem is kept with its line.
namespace pw {

/// Collects everything that is wrong with one YAML text.
class YamlProblems {
public:
    /// \param source name of the text in messages, usually the file.
    explicit YamlProblems(std::string source)
        : m_source(std::move(source))
    {
    }

    /// Adds "source:line: key: wrong; accepted: accepted".
    void add(const YAML::Mark& mark, std::string_view key, std::string_view wrong, std::string_view accepted);

    bool empty() const { return m_lines.empty(); }

    /// \returns all problems in the order of their lines, one a line.
    std::string text() const;

private:
    struct Line {
        int number;
        std::string text;
    };

    std::string m_source;
    std::vector<Line> m_lines;
};

/// Parses \p text as one YAML mapping. A problem is added and nothing returned when it is none.
std::optional<YAML::Node> parseYamlMap(const std::string& text, std::size_t maxBytes, YamlProblems& problems);

/// Range that a number is accepted in, both ends included.
template <typename Number>
struct Range {
    Number least = std::numeric_limits<Number>::lowest();
    Number most = std::numeric_limits<Number>::max();
};

/// One mapping of a YAML text. Keys that were never asked for are reported by finish().
class YamlMap {
public:
    /// \param path key of the mapping itself, empty for the whole text.
    YamlMap(const YAML::Node& node, std::string path, YamlProblems& problems);

    /// \returns the text of \p key, or nothing when it is absent or wrong.
    std::optional<std::string> text(const std::string& key);
    /// \returns the integer of \p key, or nothing when it is absent or wrong.
    std::optional<std::uint32_t> integer(const std::string& key, Range<std::uint32_t> range);
    /// \returns the number of \p key, or nothing when it is absent or wrong.
    std::optional<double> number(const std::string& key, Range<double> range);
    /// \returns the time of \p key, or nothing when it is absent or wrong.
    std::optional<std::chrono::milliseconds> duration(const std::string& key, Range<std::chrono::milliseconds> range);
    /// \returns the truth value of \p key, or nothing when it is absent or wrong.
    std::optional<bool> boolean(const std::string& key);
    /// \returns which of \p names the text of \p key is, or nothing when it is absent or wrong.
    std::optional<std::size_t> choice(const std::string& key, const std::vector<std::string_view>& names);
    /// \returns the mapping under \p key; an empty one when it is absent or wrong.
    YamlMap map(const std::string& key);
    /// \returns \p node, an item of the list under \p key, as a mapping.
    YamlMap child(const YAML::Node& node, const std::string& key) { return { node, fullKey(key), m_problems }; }
    /// \returns the items of the list under \p key; none when it is absent or wrong.
    std::vector<YAML::Node> list(const std::string& key, std::string_view accepted);

    bool has(const std::string& key) const;
    /// \returns the place of \p key, or that of the mapping when the key is absent.
    YAML::Mark mark(const std::string& key) const;
    /// \returns the full name of \p key in messages.
    std::string fullKey(std::string_view key) const;

    /// Adds a problem of \p key.
    void wrong(const std::string& key, std::string_view wrong, std::string_view accepted);
    /// Adds a problem when \p key is absent. \returns whether it is there.
    bool require(const std::string& key, std::string_view accepted);
    /// Reports every key that was not asked for.
    void finish();

private:
    std::optional<std::string> scalar(const std::string& key, std::string_view accepted);

    YAML::Node m_node;
    std::string m_path;
    YamlProblems& m_problems;
    std::set<std::string, std::less<>> m_known;
};

/// \returns \p names joined for a message: "a, b, c".
std::string joinNames(const std::vector<std::string_view>& names);

} // namespace pw
