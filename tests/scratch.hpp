// Temporary files of a test, deleted when the test process exits.
#pragma once

#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

namespace topazweir::test {

// A path unique to this process in $TMPDIR, or /tmp. The file is deleted at exit, also after a failed CHECK.
inline std::string scratchFile(const std::string& name) {
  static std::vector<std::string> paths;
  if (paths.empty())
    std::atexit([] {
      for (const auto& path : paths) ::unlink(path.c_str());
    });
  const char* folder = std::getenv("TMPDIR");
  paths.push_back(std::string(folder ? folder : "/tmp") + "/" + name + "." + std::to_string(::getpid()));
  return paths.back();
}

}  // namespace topazweir::test
