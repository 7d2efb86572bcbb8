#include "ops/state_folder.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <memory>
#include <vector>

#include "ops/record_text.hpp"

namespace topazweir::ops {

namespace {

constexpr std::string_view kPrefix = "topazweir.";
constexpr std::string_view kSuffix = ".state";
constexpr std::string_view kUnfinished = ".new";

std::vector<std::string> recordFilesIn(const std::string& folder) {
  const std::unique_ptr<DIR, int (*)(DIR*)> open(::opendir(folder.c_str()), &::closedir);
  std::vector<std::string> out;
  while (const auto* entry = open ? ::readdir(open.get()) : nullptr) {
    const std::string_view name = entry->d_name;
    const bool ours = name.starts_with(kPrefix) && (name.ends_with(kSuffix) || name.ends_with(kUnfinished));
    if (ours && out.size() < StateFolder::kMostFiles) out.emplace_back(name);
  }
  return out;
}

std::string readFile(const std::string& path, std::size_t size) {
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::fopen(path.c_str(), "rb"), &std::fclose);
  std::string out(file && size <= kMostRecord ? size : 0, '\0');
  if (file) out.resize(std::fread(out.data(), 1, out.size(), file.get()));
  return out;
}

}  // namespace

StateFolder::StateFolder(broker::Log& log, std::string folder, const operation::ProcessId& self)
    : log_(log),
      folder_(std::move(folder)),
      own_(std::string(kPrefix) + std::to_string(self.startedAt) + "." + std::to_string(self.pid) +
           std::string(kSuffix)) {}

void StateFolder::read(const std::function<void(const operation::Record&)>& heard) {
  std::map<std::string, Seen> now;
  for (const auto& name : recordFilesIn(folder_)) {
    struct stat file {};
    if (name.starts_with(own_) || ::stat(path(name).c_str(), &file) != 0 || !S_ISREG(file.st_mode)) continue;
    Seen seen{file.st_ino, file.st_mtim.tv_sec * 1'000'000'000 + file.st_mtim.tv_nsec, file.st_size, 0};
    if (const auto before = seen_.find(name); before != seen_.end()) {
      seen.writtenAt = before->second.writtenAt;
      if (seen == before->second) {
        now.emplace(name, seen);
        continue;
      }
    }
    if (name.ends_with(kUnfinished)) {  // being written, or left by a crashed writer: tidy() deletes it later
      now.emplace(name, seen);
      continue;
    }
    const auto read = readRecord(readFile(path(name), static_cast<std::size_t>(file.st_size)));
    if (const auto* why = std::get_if<std::string>(&read)) {
      log_.line("state.unusable", name + " " + *why);
      seen.writtenAt = 0;
    } else {
      const auto& record = std::get<operation::Record>(read);
      seen.writtenAt = record.writtenAt;
      heard(record);
    }
    now.emplace(name, seen);
  }
  seen_ = std::move(now);
}

void StateFolder::write(const operation::Record& record) {
  const auto text = writeRecord(record);
  const auto unfinished = path(own_ + std::string(kUnfinished));
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::fopen(unfinished.c_str(), "wb"),
                                                             &std::fclose);
  const bool whole = file && std::fwrite(text.data(), 1, text.size(), file.get()) == text.size() &&
                     std::fflush(file.get()) == 0;
  if (whole && ::rename(unfinished.c_str(), path(own_).c_str()) == 0) return;
  const int cause = errno;
  ::unlink(unfinished.c_str());
  log_.line("state.not_written", folder_ + " " + std::strerror(cause));
}

void StateFolder::tidy(Nanos now) {
  for (const auto& [name, seen] : seen_)
    if (now - std::max(seen.writtenAt, seen.changedAt) > kRetentionNs) ::unlink(path(name).c_str());
}

}  // namespace topazweir::ops
