// The simulator's adapter: runs the text protocol of wire.hpp on standard input and output. A malformed line
// is reported on standard error and ends the program with status 1.
#include <exception>
#include <iostream>

#include "wire.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  try {
    topazweir::wire::Host().run(std::cin, std::cout);
  } catch (const std::exception& error) {
    std::cerr << "topazweir_simhost: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
