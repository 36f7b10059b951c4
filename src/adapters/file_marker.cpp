#include "adapters/file_marker.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

namespace pw {
namespace {

    /// Opens, syncs and closes. \returns whether all of it worked.
    bool syncPath(const std::filesystem::path& path, int flags)
    {
        constexpr mode_t ownerOnly = 0600;
        const int fd = ::open(path.c_str(), flags | O_CLOEXEC, ownerOnly); // NOLINT(cppcoreguidelines-pro-type-vararg): POSIX
        if (fd < 0) {
            return false;
        }
        const bool synced = ::fsync(fd) == 0;
        return ::close(fd) == 0 && synced;
    }

} // namespace

FileMarker::FileMarker(std::filesystem::path folder, const std::filesystem::path& name)
    : m_folder(std::move(folder))
    , m_file(m_folder / name)
{
}

bool FileMarker::isSet() const
{
    std::error_code ec;
    // What cannot be read counts as set: the careful side.
    return std::filesystem::exists(m_file, ec) || ec;
}

bool FileMarker::set()
{
    std::error_code ec;
    std::filesystem::create_directories(m_folder, ec);
    return !ec && syncPath(m_file, O_WRONLY | O_CREAT) && syncPath(m_folder, O_RDONLY | O_DIRECTORY);
}

} // namespace pw
