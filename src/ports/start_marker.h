#pragma once

namespace pw {

/// Port: durable note that something has happened once with this data folder.
class StartMarker {
public:
    virtual ~StartMarker() = default;

    /// \returns whether the note is there.
    virtual bool isSet() const = 0;

    /// Writes the note. \returns whether it is durable.
    virtual bool set() = 0;
};

} // namespace pw
