#include "adapters/log_storage_file.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <sys/resource.h>

#include <csignal>
#include <fstream>
#include <ranges>
#include <tuple>

namespace {

namespace fs = std::filesystem;
namespace data = boost::unit_test::data;

/// Temporary folder of one test.
struct Folder {
    Folder()
    {
        std::string name = (fs::temp_directory_path() / "pw-log-XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(name.data()));
        path = name;
    }
    ~Folder() { fs::remove_all(path); }
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;

    std::optional<pw::StoredLog> open(std::string* reason = nullptr) const
    {
        pw::Random random(7);
        pw::LogStorageFile storage(path);
        auto stored = storage.open(random);
        if (reason) {
            *reason = storage.lastReason();
        }
        return stored;
    }

    fs::path path;
};

pw::LogEntry entryOf(std::uint64_t index, std::uint64_t term)
{
    return { index, term, pw::EntryKind::Change, "entry " + std::to_string(index) + std::string(700, 'x'), {} };
}

std::vector<pw::LogEntry> entriesOf(std::uint64_t first, std::uint64_t last, std::uint64_t term)
{
    std::vector<pw::LogEntry> result;
    std::ranges::transform(std::views::iota(first, last + 1), std::back_inserter(result),
        [term](std::uint64_t index) { return entryOf(index, term); });
    return result;
}

/// Fills a folder with a vote and ten entries, each appended separately.
void fill(const Folder& folder)
{
    pw::Random random(7);
    pw::LogStorageFile storage(folder.path);
    const auto stored = storage.open(random);
    BOOST_REQUIRE(stored);
    BOOST_REQUIRE(storage.saveVote({ stored->vote.identity, 5, 2, 9 }));
    for (const auto& it : entriesOf(1, 10, 1)) {
        BOOST_REQUIRE(storage.append(std::span(&it, 1)));
    }
}

void overwrite(const fs::path& file, std::uint64_t offset, std::string_view bytes)
{
    std::fstream stream(file, std::ios::in | std::ios::out | std::ios::binary);
    stream.seekp(static_cast<std::streamoff>(offset));
    stream.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
}

/// Damage to a file and the expected result of opening the folder.
struct Damage {
    const char* file;
    double at; ///< Position as a fraction of the file size.
    std::int64_t truncateBy; ///< Bytes removed from the end; if zero, bytes at the position are overwritten instead.
    bool opens;
    std::size_t entries; ///< Expected number of entries if it opens.
};

std::ostream& operator<<(std::ostream& stream, const Damage& damage)
{
    return stream << damage.file << " at " << damage.at << " cut " << damage.truncateBy;
}

const Damage damages[] {
    { "log", 0, 1, true, 9 }, // Incomplete payload.
    { "log", 0, 730, true, 9 },
    { "log", 0.5, 0, false, 0 }, // The middle.
    { "log", 0.01, 0, false, 0 }, // The base record.
    { "log", 0.97, 0, false, 0 }, // The last record at full length, so it was synced.
    { "vote", 0.5, 0, false, 0 },
    { "vote", 0, 8, false, 0 },
};

/// Makes writes of this process beyond \p bytes of a file fail, as on a full disk.
class FileSizeLimit {
public:
    explicit FileSizeLimit(rlim_t bytes)
    {
        std::signal(SIGXFSZ, SIG_IGN);
        getrlimit(RLIMIT_FSIZE, &m_before);
        const rlimit limit { bytes, m_before.rlim_max };
        setrlimit(RLIMIT_FSIZE, &limit);
    }
    ~FileSizeLimit() { setrlimit(RLIMIT_FSIZE, &m_before); }
    FileSizeLimit(const FileSizeLimit&) = delete;
    FileSizeLimit& operator=(const FileSizeLimit&) = delete;

private:
    rlimit m_before {};
};

/// A write that fails because a file may not grow beyond a size.
struct RefusedWrite {
    const char* name;
    std::uintmax_t room; ///< Bytes that still fit behind the log, so that an append stops halfway.
    bool (*write)(pw::LogStorageFile& storage, const pw::VoteRecord& vote);
};

std::ostream& operator<<(std::ostream& stream, const RefusedWrite& write)
{
    return stream << write.name << " with room for " << write.room << " bytes";
}

bool appendMore(pw::LogStorageFile& storage, const pw::VoteRecord&)
{
    return storage.append(entriesOf(11, 13, 2));
}

bool voteAgain(pw::LogStorageFile& storage, const pw::VoteRecord& vote)
{
    return storage.saveVote({ vote.identity, 5, 3, 8 });
}

bool compactAll(pw::LogStorageFile& storage, const pw::VoteRecord&)
{
    return storage.saveSnapshot({ 10, 1, {}, "state" }, {});
}

const RefusedWrite refusedWrites[] {
    { "append", 0, appendMore },
    { "append", 100, appendMore },
    { "append", 2000, appendMore },
    { "vote", 0, voteAgain },
    { "snapshot", 0, compactAll },
};

} // namespace

BOOST_AUTO_TEST_SUITE(LogStorageFile)

BOOST_AUTO_TEST_CASE(keepsVoteEntriesAndIdentity)
{
    const Folder folder;
    const auto first = folder.open();
    BOOST_REQUIRE(first);
    BOOST_TEST(first->vote.identity != 0U);
    fill(folder);
    const auto stored = folder.open();
    BOOST_REQUIRE(stored);
    BOOST_TEST((stored->vote == pw::VoteRecord { first->vote.identity, 5, 2, 9 }));
    BOOST_TEST((stored->entries == entriesOf(1, 10, 1)));
    BOOST_TEST(stored->tornBytes == 0U);
}

BOOST_AUTO_TEST_CASE(replacesEntriesAndCompacts)
{
    const Folder folder;
    fill(folder);
    {
        pw::Random random(1);
        pw::LogStorageFile storage(folder.path);
        BOOST_REQUIRE(storage.open(random));
        BOOST_TEST(storage.append(entriesOf(8, 12, 2)));
        BOOST_TEST(storage.saveSnapshot({ 7, 1, {}, "state" }, entriesOf(8, 12, 2)));
        BOOST_TEST(storage.append(entriesOf(13, 13, 2)));
    }
    const auto stored = folder.open();
    BOOST_REQUIRE(stored);
    BOOST_TEST(stored->snapshot.index == 7U);
    BOOST_TEST((stored->entries == entriesOf(8, 13, 2)));
}

BOOST_AUTO_TEST_CASE(crashBetweenSnapshotAndLogLeavesNoOldEntries)
{
    const Folder folder;
    fill(folder);
    const auto oldLog = folder.path / "old";
    fs::copy_file(folder.path / "log", oldLog);
    {
        pw::Random random(1);
        pw::LogStorageFile storage(folder.path);
        BOOST_REQUIRE(storage.open(random));
        BOOST_TEST(storage.saveSnapshot({ 20, 3, {}, "installed" }, {}));
    }
    fs::rename(oldLog, folder.path / "log");
    for (auto n = 0; n < 2; ++n) {
        const auto stored = folder.open();
        BOOST_REQUIRE(stored);
        BOOST_TEST(stored->snapshot.index == 20U);
        BOOST_TEST(stored->entries.empty());
    }
}

BOOST_DATA_TEST_CASE(damageIsRepairedOnlyWhereItIsATornAppend, data::make(damages))
{
    const Folder folder;
    fill(folder);
    const auto file = folder.path / sample.file;
    const auto size = fs::file_size(file);
    if (sample.truncateBy > 0) {
        fs::resize_file(file, size - static_cast<std::uint64_t>(sample.truncateBy));
    } else {
        overwrite(file, static_cast<std::uint64_t>(static_cast<double>(size) * sample.at), "\xff\xfe\xfd");
    }
    std::string reason;
    const auto stored = folder.open(&reason);
    BOOST_TEST(stored.has_value() == sample.opens);
    if (stored) {
        BOOST_TEST(stored->entries.size() == sample.entries);
        BOOST_TEST(stored->tornBytes > 0U);
    } else {
        BOOST_TEST(reason.find(sample.file) != std::string::npos, reason);
    }
}

BOOST_AUTO_TEST_CASE(unwrittenSectorsAtTheEndAreATornAppend)
{
    const Folder folder;
    fill(folder);
    const auto file = folder.path / "log";
    const auto size = fs::file_size(file);
    overwrite(file, size - 600, std::string(600, '\0'));
    const auto stored = folder.open();
    BOOST_REQUIRE(stored);
    BOOST_TEST(stored->entries.size() == 9U);
}

BOOST_AUTO_TEST_CASE(missingFilesAreRefused)
{
    for (const auto* name : { "vote", "log" }) {
        const Folder folder;
        fill(folder);
        fs::remove(folder.path / name);
        BOOST_TEST(!folder.open().has_value(), name);
    }
}

BOOST_AUTO_TEST_CASE(folderHasOneWriter)
{
    const Folder folder;
    pw::Random random(1);
    pw::LogStorageFile storage(folder.path);
    BOOST_REQUIRE(storage.open(random));
    std::string reason;
    BOOST_TEST(!folder.open(&reason).has_value());
    BOOST_TEST(reason.find("another process") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(failedWriteRefusesAllLaterOnes)
{
    const Folder folder;
    pw::Random random(1);
    pw::LogStorageFile storage(folder.path);
    BOOST_REQUIRE(storage.open(random));
    fs::remove_all(folder.path);
    BOOST_TEST(!storage.saveVote({ 1, 1, 1, 1 }));
    BOOST_TEST(!storage.lastReason().empty());
    fs::create_directories(folder.path);
    BOOST_TEST(!storage.saveVote({ 1, 1, 1, 1 }));
    BOOST_TEST(!storage.append(entriesOf(1, 1, 1)));
}

/// Guards against a folder that can't be written any more, or an entry that was reported as failed, after the disk was full.
BOOST_DATA_TEST_CASE(reopensWithWhatWasStoredOnceThereIsRoom, data::make(refusedWrites))
{
    const Folder folder;
    fill(folder);
    pw::Random random(1);
    pw::LogStorageFile storage(folder.path);
    const auto before = storage.open(random);
    BOOST_REQUIRE(before);
    bool written = true;
    bool opened = true;
    {
        const auto isAppend = sample.write == appendMore;
        const FileSizeLimit limit(isAppend ? fs::file_size(folder.path / "log") + sample.room : 0);
        written = sample.write(storage, before->vote);
        const FileSizeLimit full(0);
        opened = storage.open(random).has_value();
    }
    BOOST_TEST(!written);
    BOOST_TEST(!opened);
    BOOST_TEST(storage.mayRecover());
    const auto after = storage.open(random);
    BOOST_REQUIRE_MESSAGE(after, storage.lastReason());
    BOOST_TEST((after->vote == before->vote));
    BOOST_TEST((after->entries == before->entries));
    BOOST_TEST(sample.write(storage, before->vote));
    BOOST_TEST(!fs::exists(folder.path / "vote.new"));
}

/// Guards against an entry that was reported as failed and is back after the process was killed.
BOOST_AUTO_TEST_CASE(failedAppendLeavesNothingForTheNextProcess)
{
    const Folder folder;
    fill(folder);
    {
        pw::Random random(1);
        pw::LogStorageFile storage(folder.path);
        BOOST_REQUIRE(storage.open(random));
        const FileSizeLimit limit(fs::file_size(folder.path / "log") + 100);
        std::ignore = storage.append(entriesOf(11, 13, 2));
    }
    const auto stored = folder.open();
    BOOST_REQUIRE(stored);
    BOOST_TEST((stored->entries == entriesOf(1, 10, 1)));
    BOOST_TEST(stored->tornBytes == 0U);
}

/// Guards against a new identity for a member whose files were removed while it was running.
BOOST_AUTO_TEST_CASE(reopenRefusesAFolderThatWasEmptied)
{
    const Folder folder;
    pw::Random random(1);
    pw::LogStorageFile storage(folder.path);
    BOOST_REQUIRE(storage.open(random));
    fs::remove(folder.path / "vote");
    BOOST_TEST(!storage.open(random).has_value());
    BOOST_TEST(!storage.mayRecover());
    BOOST_TEST(!fs::exists(folder.path / "vote"));
}

BOOST_AUTO_TEST_SUITE_END()
