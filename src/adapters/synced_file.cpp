#include "adapters/synced_file.h"

#include <array>
#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace pw::detail {
namespace {

    constexpr int fileMode = 0600;

    /// Closes a file at the end of the scope and preserves errno.
    class OpenFile {
    public:
        OpenFile(const std::filesystem::path& path, int flags)
            : m_file(::open(path.c_str(), flags | O_CLOEXEC, fileMode))
        {
        }

        ~OpenFile()
        {
            const auto code = errno;
            if (m_file >= 0) {
                ::close(m_file);
            }
            errno = code;
        }

        OpenFile(const OpenFile&) = delete;
        OpenFile& operator=(const OpenFile&) = delete;

        int get() const { return m_file; }

    private:
        int m_file;
    };

} // namespace

bool writeSynced(int file, std::span<const std::byte> bytes)
{
    while (!bytes.empty()) {
        const auto written = ::write(file, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return false;
        }
        bytes = bytes.subspan(static_cast<std::size_t>(written));
    }
    return ::fsync(file) == 0;
}

bool replaceFile(const std::filesystem::path& path, std::span<const std::byte> bytes)
{
    const auto temporary = path.string() + ".new";
    {
        const OpenFile file(temporary, O_WRONLY | O_CREAT | O_TRUNC);
        if (file.get() < 0) {
            return false;
        }
        if (!writeSynced(file.get(), bytes)) {
            const auto code = errno;
            ::unlink(temporary.c_str()); // Frees its space if the disk is full.
            errno = code;
            return false;
        }
    }
    return ::rename(temporary.c_str(), path.c_str()) == 0 && syncFolder(path.parent_path());
}

bool syncFolder(const std::filesystem::path& folder)
{
    const OpenFile file(folder, O_RDONLY | O_DIRECTORY);
    return file.get() >= 0 && ::fsync(file.get()) == 0;
}

std::optional<Bytes> readFile(const std::filesystem::path& path)
{
    const OpenFile file(path, O_RDONLY);
    if (file.get() < 0) {
        return std::nullopt;
    }
    Bytes result;
    std::array<std::byte, 65536> buf {};
    while (true) {
        const auto count = ::read(file.get(), buf.data(), buf.size());
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0) {
            return std::nullopt;
        }
        if (count == 0) {
            return result;
        }
        result.insert(result.end(), buf.begin(), buf.begin() + count);
    }
}

} // namespace pw::detail
