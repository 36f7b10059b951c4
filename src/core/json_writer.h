#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace pw {

/// Writes one JSON document. The caller must close objects and arrays in reverse order of opening.
class JsonWriter {
public:
    /// Opens an object as the document itself or as an item of an array.
    JsonWriter& object();
    /// Opens an object under \p key.
    JsonWriter& object(std::string_view key);
    /// Opens an array under \p key.
    JsonWriter& array(std::string_view key);
    /// Closes the innermost object.
    JsonWriter& endObject();
    /// Closes the innermost array.
    JsonWriter& endArray();

    JsonWriter& field(std::string_view key, std::string_view value);
    JsonWriter& field(std::string_view key, const char* value) { return field(key, std::string_view(value)); }
    JsonWriter& field(std::string_view key, const std::string& value) { return field(key, std::string_view(value)); }
    JsonWriter& field(std::string_view key, bool value);
    JsonWriter& field(std::string_view key, double value);
    template <std::integral Number>
    JsonWriter& field(std::string_view key, Number value)
    {
        begin(key);
        m_text += std::to_string(value);
        return *this;
    }

    /// Adds a string to an array.
    JsonWriter& item(std::string_view value);

    const std::string& text() const { return m_text; }

private:
    void begin(std::string_view key);
    void separate();
    void append(std::string_view value);

    std::string m_text;
};

} // namespace pw
