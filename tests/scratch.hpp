// A file of a test's own, which goes with the test however that ends.
#pragma once

#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

namespace topazweir::test {

// Below the system's folder for such files. Removed at exit, a failed CHECK's included.
inline std::string scratchFile(const std::string& name) {
  static std::vector<std::string> made;
  if (made.empty())
    std::atexit([] {
      for (const auto& path : made) ::unlink(path.c_str());
    });
  const char* folder = std::getenv("TMPDIR");
  made.push_back(std::string(folder ? folder : "/tmp") + "/" + name + "." + std::to_string(::getpid()));
  return made.back();
}

}  // namespace topazweir::test
