#include "app/secret_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <sstream>

namespace pw {
namespace {

    constexpr std::size_t minSecretBytes = 16;
    constexpr std::size_t maxSecretBytes = 256;
    constexpr std::size_t maxSecrets = 4;
    constexpr std::size_t maxFileBytes = 4096;

    /// Closes a file descriptor at the end of its scope.
    class ScopedFile {
    public:
        explicit ScopedFile(int fd)
            : m_fd(fd)
        {
        }
        ScopedFile(const ScopedFile&) = delete;
        ScopedFile& operator=(const ScopedFile&) = delete;
        ~ScopedFile()
        {
            if (m_fd >= 0) {
                close(m_fd);
            }
        }
        int fd() const { return m_fd; }

    private:
        int m_fd;
    };

    /// \returns what is wrong with the type, owner or mode of the file; empty when it is accepted.
    std::string checkPermissions(int fd)
    {
        struct stat info { };
        if (fstat(fd, &info) != 0) {
            return std::strerror(errno);
        }
        if (!S_ISREG(info.st_mode)) {
            return "not a regular file; accepted: a regular file";
        }
        if (info.st_uid != geteuid() && info.st_uid != 0) {
            return "belongs to another user; accepted: a file of this user or of root";
        }
        if (info.st_mode & (S_IRWXG | S_IRWXO)) {
            return "open to group or others; accepted: mode 0600 or 0400";
        }
        return {};
    }

    std::optional<std::string> readAll(int fd)
    {
        std::array<char, maxFileBytes + 1> buf {};
        std::string result;
        while (result.size() <= maxFileBytes) {
            const auto n = read(fd, buf.data(), buf.size());
            if (n == 0) {
                return result;
            }
            if (n < 0) {
                return std::nullopt;
            }
            result.append(buf.data(), static_cast<std::size_t>(n));
        }
        return std::nullopt;
    }

    std::vector<std::string> splitLines(const std::string& text)
    {
        std::vector<std::string> result;
        std::istringstream in(text);
        for (std::string line; std::getline(in, line);) {
            if (line.ends_with('\r')) {
                line.pop_back();
            }
            if (!line.empty()) {
                result.push_back(line);
            }
        }
        return result;
    }

    std::string checkSecrets(const std::vector<std::string>& secrets)
    {
        if (secrets.empty() || secrets.size() > maxSecrets) {
            return "holds " + std::to_string(secrets.size()) + " secrets; accepted: 1 to " + std::to_string(maxSecrets) + ", one a line";
        }
        for (const auto& it : secrets) {
            if (it.size() < minSecretBytes || it.size() > maxSecretBytes) {
                return "holds a secret of " + std::to_string(it.size()) + " bytes; accepted: " + std::to_string(minSecretBytes) + " to "
                    + std::to_string(maxSecretBytes);
            }
        }
        return {};
    }

} // namespace

std::optional<std::vector<std::string>> readSecretFile(const std::string& file, std::string& reason)
{
    const ScopedFile in(open(file.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
    if (in.fd() < 0) {
        reason = file + ": " + std::strerror(errno) + "; accepted: a readable file";
        return std::nullopt;
    }
    auto wrong = checkPermissions(in.fd());
    std::vector<std::string> secrets;
    if (wrong.empty()) {
        auto text = readAll(in.fd());
        secrets = text ? splitLines(*text) : secrets;
        wrong = text ? checkSecrets(secrets) : "not readable or too large; accepted: at most " + std::to_string(maxFileBytes) + " bytes";
    }
    if (!wrong.empty()) {
        reason = file + ": " + wrong;
        return std::nullopt;
    }
    return secrets;
}

} // namespace pw
