#include "agreement/file_store.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>
#include <xxhash.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <tuple>
#include <utility>

#include "agreement/packing.hpp"

namespace topazweir::agreement {

namespace {

constexpr std::string_view kFileHeader = "topazweir-voter 1\n";
// A record's header, all numbers little-endian: length of the body (4 bytes), XXH32 checksum of the length
// (4 bytes), XXH3 checksum of the body (8 bytes).
constexpr std::size_t kRecordHeaderBytes = 16;
constexpr std::size_t kMaxStringBytes = 64 * 1024 * 1024;  // of one string in a record, such as a snapshot

// Stored as numbers: the order must not change.
enum class Kind : std::uint64_t { term, vote, append, truncate, snapshot, first };

using EntryFields = std::tuple<std::uint64_t, std::uint64_t, std::string>;
using SnapshotFields = std::tuple<std::uint64_t, std::uint64_t, std::uint64_t, std::string>;
// Kind, number (its meaning depends on the kind), entries, snapshot.
using Fields = std::tuple<std::uint64_t, std::uint64_t, std::vector<EntryFields>, SnapshotFields>;

// Little-endian.
std::string encodeNumber(std::uint64_t number, std::size_t size) {
  std::string out;
  for (std::size_t i = 0; i < size; ++i) out += static_cast<char>(number >> (8 * i) & 255);
  return out;
}

std::uint64_t lengthChecksum(std::string_view length) { return XXH32(length.data(), length.size(), 0); }

std::string encodeRecord(Kind kind, std::uint64_t number, const std::vector<Entry>& entries = {},
                         const Snapshot& snapshot = {}) {
  std::vector<EntryFields> packed;
  for (const auto& e : entries) packed.emplace_back(e.term, static_cast<std::uint64_t>(e.type), e.bytes);
  const auto body = pack(
      Fields(static_cast<std::uint64_t>(kind), number, std::move(packed),
             SnapshotFields(snapshot.index, snapshot.term, snapshot.configurationIndex, snapshot.bytes)));
  const auto length = encodeNumber(body.size(), 4);
  return length + encodeNumber(lengthChecksum(length), 4) +
         encodeNumber(XXH3_64bits(body.data(), body.size()), 8) + body;
}

// Little-endian, of any length up to 8 bytes.
std::uint64_t decodeNumber(std::string_view bytes) {
  std::uint64_t out = 0;
  for (std::size_t i = bytes.size(); i > 0; --i) out = out << 8 | static_cast<unsigned char>(bytes[i - 1]);
  return out;
}

// Applies a record to the state in memory; false: malformed.
bool replay(std::string_view body, MemoryStore& memory) {
  const auto fields = unpack<Fields>(body, kMaxStringBytes);
  if (!fields) return false;
  const auto& [kind, value, entries, snapshot] = *fields;
  switch (static_cast<Kind>(kind)) {
    case Kind::term:
      return memory.setTerm(value);
    case Kind::vote:
      return memory.setVote(value);
    case Kind::append: {
      std::vector<Entry> out;
      for (const auto& [term, type, bytes] : entries) out.push_back({term, static_cast<int>(type), bytes});
      return memory.append(out);
    }
    case Kind::truncate:
      return memory.truncate(value);
    case Kind::snapshot: {
      const auto& [index, term, configurationIndex, bytes] = snapshot;
      return memory.put({index, term, configurationIndex, bytes}, value);
    }
    case Kind::first:  // index of the first entry that follows in a rewritten file
      return memory.resetLog(value);
  }
  return false;
}

std::runtime_error errorAt(const std::string& path, const std::string& what) {
  return std::runtime_error(path + ": " + what);
}

std::runtime_error writeError(const std::string& path) {
  return errorAt(path, std::string("cannot be written: ") + std::strerror(errno));
}

bool writeAll(int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto count = ::write(file, bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

}  // namespace

FileStore::FileStore(std::string path) : path_(std::move(path)) {
  try {
    lock();
    read();
    if (file_ < 0 && !rewriteFile()) throw writeError(path_);
  } catch (const std::runtime_error&) {
    close();
    throw;
  }
}

FileStore::~FileStore() { close(); }

void FileStore::close() {
  for (int* file : {&file_, &lockFile_})
    if (const int open = std::exchange(*file, -1); open >= 0) ::close(open);
}

void FileStore::lock() {
  lockFile_ = ::open((path_ + ".lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lockFile_ < 0) throw writeError(path_);
  if (::flock(lockFile_, LOCK_EX | LOCK_NB) != 0) throw errorAt(path_, "is in use by another process");
}

void FileStore::read() {
  std::error_code error;
  if (!std::filesystem::exists(path_, error)) return;
  std::ifstream in(path_, std::ios::binary);
  const std::string content{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  if (!in.good() && !in.eof()) throw errorAt(path_, "cannot be read");
  if (!std::string_view(content).starts_with(kFileHeader))
    throw errorAt(path_, "is not a voter's file of this version");
  std::size_t at = kFileHeader.size();
  while (at < content.size()) {
    const auto rest = std::string_view(content).substr(at);
    if (rest.size() < kRecordHeaderBytes || rest.find_first_not_of('\0') == std::string_view::npos)
      break;  // incomplete last record, or space that was allocated but never written
    const bool lengthValid = decodeNumber(rest.substr(4, 4)) == lengthChecksum(rest.substr(0, 4));
    const auto size = decodeNumber(rest.substr(0, 4));
    if (lengthValid && rest.size() - kRecordHeaderBytes < size) break;  // incomplete last record
    const auto body = rest.substr(kRecordHeaderBytes, size);
    const bool bodyValid =
        lengthValid && decodeNumber(rest.substr(8, 8)) == XXH3_64bits(body.data(), body.size());
    if (lengthValid && !bodyValid && rest.size() == kRecordHeaderBytes + size)
      break;  // last record, of which not all data reached the disk
    if (!bodyValid || !replay(body, memory_)) throw errorAt(path_, "altered at byte " + std::to_string(at));
    at += kRecordHeaderBytes + size;
  }
  truncatedBytes_ = content.size() - at;
  file_ = ::open(path_.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  if (file_ < 0 || ::ftruncate(file_, static_cast<off_t>(at)) != 0 || ::fsync(file_) != 0)
    throw writeError(path_);
}

bool FileStore::writeRecord(const std::string& record) {
  return file_ >= 0 && writeAll(file_, record) && ::fdatasync(file_) == 0;
}

// Writes a new file and renames it over the old one once it is synced. It starts with the current state, so
// that records before it need not be kept.
bool FileStore::rewriteFile() {
  const auto& state = memory_.state();
  std::string content(kFileHeader);
  content += encodeRecord(Kind::term, state.term) + encodeRecord(Kind::vote, state.vote);
  if (state.snapshot.index > 0)
    content += encodeRecord(Kind::snapshot, state.snapshot.index, {}, state.snapshot);
  content += encodeRecord(Kind::first, state.firstIndex) + encodeRecord(Kind::append, 0, state.entries);
  const auto newPath = path_ + ".new";
  const int file = ::open(newPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
  if (file < 0) return false;
  const bool written =
      writeAll(file, content) && ::fsync(file) == 0 && ::rename(newPath.c_str(), path_.c_str()) == 0;
  if (!written) {
    ::close(file);
    return false;
  }
  if (file_ >= 0) ::close(file_);
  file_ = file;
  // Sync the directory too, so that the rename survives a crash.
  const auto folder = std::filesystem::path(path_).parent_path();
  const int directory = ::open(folder.empty() ? "." : folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  const bool synced = directory >= 0 && ::fsync(directory) == 0;
  if (directory >= 0) ::close(directory);
  return synced;
}

bool FileStore::setTerm(std::uint64_t term) {
  return memory_.setTerm(term) && writeRecord(encodeRecord(Kind::term, term));
}

bool FileStore::setVote(std::uint64_t vote) {
  return memory_.setVote(vote) && writeRecord(encodeRecord(Kind::vote, vote));
}

bool FileStore::append(const std::vector<Entry>& entries) {
  return memory_.append(entries) && writeRecord(encodeRecord(Kind::append, 0, entries));
}

bool FileStore::truncate(std::uint64_t fromIndex) {
  return memory_.truncate(fromIndex) && writeRecord(encodeRecord(Kind::truncate, fromIndex));
}

bool FileStore::put(const Snapshot& snapshot, std::uint64_t trailing) {
  return memory_.put(snapshot, trailing) && rewriteFile();
}

}  // namespace topazweir::agreement
