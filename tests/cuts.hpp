// Helpers for parser tests: split messages at every byte and at random, and feed random garbage, from fixed
// seeds.
#pragma once

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "check.hpp"

namespace topazweir::test {

// Feeds the pieces of a message to a parser in order and returns a textual description of the result.
using ParseFunction = std::function<std::string(const std::vector<std::string>& pieces)>;

// Checks that the result does not depend on how the message is split.
inline void checkSplitInvariance(const std::string& message, const ParseFunction& parse) {
  const std::string whole = parse({message});
  CHECK(!whole.empty());
  for (std::size_t at = 1; at < message.size(); ++at)
    CHECK(parse({message.substr(0, at), message.substr(at)}) == whole);
  std::mt19937 random(7);
  for (int round = 0; round < 50; ++round) {
    std::vector<std::string> pieces;
    for (std::size_t at = 0; at < message.size(); at += pieces.back().size())
      pieces.push_back(message.substr(at, 1 + random() % 9));
    CHECK(parse(pieces) == whole);
  }
}

// Feeds messages with changed bytes and random bytes: the parser must not crash, hang or produce unbounded
// output.
inline void checkGarbageInput(const std::string& message, const ParseFunction& parse) {
  std::mt19937 random(11);
  for (int round = 0; round < 2000; ++round) {
    std::string text = message;
    if (round % 2 == 0) text.resize(random() % 200);
    for (std::size_t i = 0; i < 1 + random() % 8 && !text.empty(); ++i)
      text[random() % text.size()] = static_cast<char>(random());
    if (round % 4 == 0)
      for (auto& c : text) c = static_cast<char>(random());
    const auto cut = random() % (text.size() + 1);
    CHECK(parse({text.substr(0, cut), text.substr(cut)}).size() < 1'000'000);
  }
}

}  // namespace topazweir::test
