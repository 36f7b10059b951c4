#pragma once

namespace pw {

/// Port: durable marker in the data folder, recording that something has happened with this folder.
class StartMarker {
public:
    virtual ~StartMarker() = default;

    /// \returns whether the marker is set.
    virtual bool isSet() const = 0;

    /// Sets the marker. \returns whether it has been written durably.
    virtual bool set() = 0;
};

} // namespace pw
