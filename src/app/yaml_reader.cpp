#include "app/yaml_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>

namespace pw {
namespace {

    /// Length at which a message truncates an invalid value.
    constexpr std::size_t maxQuotedBytes = 60;

    std::string quoted(const std::string& value)
    {
        std::string result = value.substr(0, maxQuotedBytes);
        std::ranges::replace_if(
            result, [](unsigned char c) { return c < 0x20 || c == 0x7f; }, '?');
        return '"' + result + (value.size() > maxQuotedBytes ? "...\"" : "\"");
    }

    template <typename Number>
    std::optional<Number> parseNumber(const std::string& text)
    {
        Number value {};
        const auto* end = text.data() + text.size();
        auto [parsedEnd, ec] = std::from_chars(text.data(), end, value);
        if (ec != std::errc() || parsedEnd != end) {
            return std::nullopt;
        }
        return value;
    }

    template <typename Number>
    std::string rangeText(std::string_view kind, const Range<Number>& range)
    {
        std::ostringstream out;
        out << kind << " from " << range.min << " to " << range.max;
        return out.str();
    }

    std::optional<std::chrono::milliseconds> parseDuration(std::string_view text)
    {
        double n = 0;
        const auto* end = text.data() + text.size();
        auto [parsedEnd, ec] = std::from_chars(text.data(), end, n, std::chars_format::fixed);
        const std::string_view unit(parsedEnd, static_cast<std::size_t>(end - parsedEnd));
        if (ec != std::errc() || (unit != "ms" && unit != "s")) {
            return std::nullopt;
        }
        const std::chrono::duration<double, std::milli> exact(unit == "s" ? n * 1000 : n);
        return std::chrono::round<std::chrono::milliseconds>(exact);
    }

    int lineNumber(const YAML::Mark& mark)
    {
        return mark.is_null() ? 1 : mark.line + 1;
    }

} // namespace

void YamlProblems::add(const YAML::Mark& mark, std::string_view key, std::string_view problem, std::string_view accepted)
{
    const int n = lineNumber(mark);
    std::ostringstream out;
    out << m_source << ':' << n << ": " << key << ": " << problem << "; accepted: " << accepted;
    m_lines.push_back({ n, out.str() });
}

std::string YamlProblems::text() const
{
    auto lines = m_lines;
    std::ranges::stable_sort(lines, {}, &Line::number);
    std::string result;
    for (const auto& it : lines) {
        result += (result.empty() ? "" : "\n") + it.text;
    }
    return result;
}

std::optional<YAML::Node> parseYamlMap(const std::string& text, std::size_t maxBytes, YamlProblems& problems)
{
    if (text.size() > maxBytes) {
        problems.add(YAML::Mark::null_mark(), "(text)", "too large", "at most " + std::to_string(maxBytes) + " bytes");
        return std::nullopt;
    }
    try {
        auto documents = YAML::LoadAll(text);
        if (documents.size() == 1 && documents.front().IsMap()) {
            return documents.front();
        }
        problems.add(YAML::Mark::null_mark(), "(text)", "not a mapping", "one YAML mapping of keys to values");
    } catch (const YAML::Exception& error) {
        problems.add(error.mark, "(text)", error.msg, "YAML 1.2");
    }
    return std::nullopt;
}

YamlMap::YamlMap(const YAML::Node& node, std::string path, YamlProblems& problems)
    : m_node(node)
    , m_path(std::move(path))
    , m_problems(problems)
{
    std::set<std::string> seen;
    for (const auto& it : m_node) {
        if (it.first.IsScalar() && !seen.insert(it.first.Scalar()).second) {
            m_problems.add(it.first.Mark(), fullKey(it.first.Scalar()), "given twice", "each key once");
        }
    }
}

std::optional<std::string> YamlMap::text(const std::string& key)
{
    return scalar(key, "a text");
}

std::optional<std::uint32_t> YamlMap::integer(const std::string& key, Range<std::uint32_t> range)
{
    const auto accepted = rangeText("a whole number", range);
    auto value = scalar(key, accepted);
    if (!value) {
        return std::nullopt;
    }
    auto result = parseNumber<std::uint32_t>(*value);
    if (!result || *result < range.min || *result > range.max) {
        addProblem(key, quoted(*value), accepted);
        return std::nullopt;
    }
    return result;
}

std::optional<double> YamlMap::number(const std::string& key, Range<double> range)
{
    const auto accepted = rangeText("a number", range);
    auto value = scalar(key, accepted);
    if (!value) {
        return std::nullopt;
    }
    auto result = parseNumber<double>(*value);
    if (!result || !std::isfinite(*result) || *result < range.min || *result > range.max) {
        addProblem(key, quoted(*value), accepted);
        return std::nullopt;
    }
    return result;
}

std::optional<std::chrono::milliseconds> YamlMap::duration(const std::string& key, Range<std::chrono::milliseconds> range)
{
    const auto accepted = "a number with its unit, like 250ms or 1.5s, from " + std::to_string(range.min.count()) + "ms to "
        + std::to_string(range.max.count()) + "ms";
    auto value = scalar(key, accepted);
    if (!value) {
        return std::nullopt;
    }
    auto result = parseDuration(*value);
    if (!result || *result < range.min || *result > range.max) {
        addProblem(key, result ? "out of range" : "not a time", accepted);
        return std::nullopt;
    }
    return result;
}

std::optional<bool> YamlMap::boolean(const std::string& key)
{
    auto index = choice(key, { "false", "true" });
    return index ? std::optional(*index == 1) : std::nullopt;
}

std::optional<std::size_t> YamlMap::choice(const std::string& key, const std::vector<std::string_view>& names)
{
    auto value = scalar(key, joinNames(names));
    if (!value) {
        return std::nullopt;
    }
    auto it = std::ranges::find(names, *value);
    if (it == names.end()) {
        addProblem(key, quoted(*value), joinNames(names));
        return std::nullopt;
    }
    return static_cast<std::size_t>(it - names.begin());
}

YamlMap YamlMap::map(const std::string& key)
{
    m_knownKeys.insert(key);
    YAML::Node child = has(key) ? m_node[key] : YAML::Node(YAML::NodeType::Map);
    if (!child.IsMap()) {
        addProblem(key, "not a mapping", "a mapping of keys to values");
        child = YAML::Node(YAML::NodeType::Map);
    }
    return { child, fullKey(key), m_problems };
}

std::vector<YAML::Node> YamlMap::list(const std::string& key, std::string_view accepted)
{
    m_knownKeys.insert(key);
    if (!has(key)) {
        return {};
    }
    const YAML::Node child = m_node[key];
    if (!child.IsSequence()) {
        addProblem(key, "not a list", accepted);
        return {};
    }
    return { child.begin(), child.end() };
}

bool YamlMap::has(const std::string& key) const
{
    return static_cast<bool>(std::as_const(m_node)[key]);
}

YAML::Mark YamlMap::mark(const std::string& key) const
{
    return has(key) ? std::as_const(m_node)[key].Mark() : m_node.Mark();
}

std::string YamlMap::fullKey(std::string_view key) const
{
    if (m_path.empty() || key.empty()) {
        return m_path + std::string(key);
    }
    return m_path + "." + std::string(key);
}

void YamlMap::addProblem(const std::string& key, std::string_view problem, std::string_view accepted)
{
    m_problems.add(mark(key), fullKey(key), problem, accepted);
}

bool YamlMap::require(const std::string& key, std::string_view accepted)
{
    m_knownKeys.insert(key);
    if (has(key)) {
        return true;
    }
    addProblem(key, "missing", accepted);
    return false;
}

void YamlMap::reportUnknownKeys()
{
    std::vector<std::string_view> names(m_knownKeys.begin(), m_knownKeys.end());
    for (const auto& it : m_node) {
        const auto key = it.first.IsScalar() ? it.first.Scalar() : std::string("(not a text)");
        if (!m_knownKeys.contains(key)) {
            m_problems.add(it.first.Mark(), fullKey(key), "unknown key", joinNames(names));
        }
    }
}

std::optional<std::string> YamlMap::scalar(const std::string& key, std::string_view accepted)
{
    m_knownKeys.insert(key);
    if (!has(key)) {
        return std::nullopt;
    }
    const YAML::Node value = m_node[key];
    if (!value.IsScalar() || value.Scalar().empty()) {
        addProblem(key, value.IsScalar() || value.IsNull() ? "empty" : "not a single value", accepted);
        return std::nullopt;
    }
    return value.Scalar();
}

std::string joinNames(const std::vector<std::string_view>& names)
{
    std::string result;
    for (auto it : names) {
        result += (result.empty() ? "" : ", ") + std::string(it);
    }
    return result;
}

} // namespace pw
