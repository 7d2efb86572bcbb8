// The folder through which the processes of one aggregator exchange their records. Each process has one file,
// which it replaces atomically by rename, so a reader sees either the old record or the new one.
#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <string>

#include "broker/log.hpp"
#include "operation/record.hpp"

namespace topazweir::ops {

class StateFolder {
 public:
  // `folder`: accessible only to this aggregator, such as $TMPDIR.
  StateFolder(broker::Log& log, std::string folder, const operation::ProcessId& self);

  // Calls `heard` with each record of another process that is new or has changed since the last call. An
  // unusable file is logged and skipped until it changes.
  void read(const std::function<void(const operation::Record&)>& heard);
  // Writes this process's own record; a failure is logged.
  void write(const operation::Record& record);
  // Deletes files not written for longer than kRetentionNs, so that the folder does not grow with each
  // upgrade.
  void tidy(Nanos now);

  static constexpr Nanos kRetentionNs = 60'000'000'000;
  static constexpr std::size_t kMostFiles = 64;  // files read; no more are expected from this program

 private:
  // A file as last read, to detect changes.
  struct Seen {
    ino_t inode = 0;
    Nanos changedAt = 0;
    off_t size = 0;
    Nanos writtenAt = 0;  // according to its record; 0: unusable
    bool operator==(const Seen&) const = default;
  };
  std::string path(const std::string& name) const { return folder_ + "/" + name; }

  broker::Log& log_;
  std::string folder_;
  std::string own_;  // name of this process's file
  std::map<std::string, Seen> seen_;
};

}  // namespace topazweir::ops
