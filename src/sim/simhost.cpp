// The adapter program: the wire on standard input and output, complaints on standard error.
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
