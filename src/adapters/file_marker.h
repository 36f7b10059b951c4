#pragma once

#include "ports/start_marker.h"

#include <filesystem>

namespace pw {

/// Marker stored as an empty file in the data folder.
class FileMarker : public StartMarker {
public:
    FileMarker(std::filesystem::path folder, const std::filesystem::path& name);

    bool isSet() const override;
    bool set() override;

private:
    std::filesystem::path m_folder;
    std::filesystem::path m_file;
};

} // namespace pw
