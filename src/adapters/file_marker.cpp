#include "adapters/file_marker.h"

#include "adapters/synced_file.h"

#include <utility>

namespace pw {

FileMarker::FileMarker(std::filesystem::path folder, const std::filesystem::path& name)
    : m_folder(std::move(folder))
    , m_file(m_folder / name)
{
}

bool FileMarker::isSet() const
{
    std::error_code ec;
    // Treat a marker that cannot be checked as set, which is the safe choice.
    return std::filesystem::exists(m_file, ec) || ec;
}

bool FileMarker::set()
{
    std::error_code ec;
    std::filesystem::create_directories(m_folder, ec);
    return !ec && detail::replaceFile(m_file, {});
}

} // namespace pw
