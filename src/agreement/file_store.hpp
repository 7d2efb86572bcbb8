// A voter's persistent state on disk: an append-only file of records, each with its length and XXH checksums.
// A record is written and synced before the voter acts on it. Each snapshot replaces the file by rename.
#pragma once

#include <string>

#include "agreement/store.hpp"

namespace topazweir::agreement {

class FileStore : public Store {
 public:
  // Opens and reads the file, or creates it. An incomplete last record is truncated: it was never synced, so
  // the voter has not acted on it. Throws std::runtime_error with a readable message if the file cannot be
  // read or written, has another format or version, is corrupted before its last record, or is locked by
  // another process. The voter must then not take part until an operator has looked at the file.
  explicit FileStore(std::string path);
  ~FileStore() override;
  FileStore(const FileStore&) = delete;
  FileStore& operator=(const FileStore&) = delete;

  const PersistentState& state() const override { return memory_.state(); }
  bool setTerm(std::uint64_t term) override;
  bool setVote(std::uint64_t vote) override;
  bool append(const std::vector<Entry>& entries) override;
  bool truncate(std::uint64_t fromIndex) override;
  bool put(const Snapshot& snapshot, std::uint64_t trailing) override;
  std::size_t truncatedBytes() const { return truncatedBytes_; }  // of the incomplete last record, if any

 private:
  void lock();
  void close();
  void read();
  bool writeRecord(const std::string& record);
  bool rewriteFile();

  std::string path_;
  int lockFile_ = -1;  // PATH.lock, held locked for this object's lifetime: one process per voter
  int file_ = -1;
  MemoryStore memory_;
  std::size_t truncatedBytes_ = 0;
};

}  // namespace topazweir::agreement
