#include "config/membership_config.hpp"

#include <algorithm>
#include <tuple>

namespace topazweir::config {

namespace {

constexpr std::size_t kMostText = 64;  // bytes, on the wire (src/membership/record.hpp)
constexpr std::int64_t kMostVoters = 7;
constexpr std::size_t kMostRelays = 256;
constexpr std::int64_t kMostChangeBytes = 16 * 1024 * 1024;

void checkWord(const Reader& reader, std::string_view key, const std::string& text) {
  const bool blank =
      std::any_of(text.begin(), text.end(), [](unsigned char c) { return c <= ' ' || c == 127; });
  if (text.size() > kMostText) reader.fail(key, "longer than 64 bytes");
  if (blank) reader.fail(key, "holds a blank or an unprintable character");
}

std::string word(const Reader& reader, std::string_view key, std::optional<std::string_view> absent = {}) {
  auto out = reader.text(key, absent);
  checkWord(reader, key, out);
  return out;
}

template <class Items, class Key>
bool repeats(const Items& items, Key key) {
  for (auto a = items.begin(); a != items.end(); ++a)
    if (std::any_of(items.begin(), a, [&](const auto& b) { return key(b) == key(*a); })) return true;
  return false;
}

void readVoters(const Reader& reader, Membership& out) {
  for (const auto& block : reader.objects("voter")) {
    out.voters.push_back({word(block, "name"), block.address("address")});
    const auto& voter = out.voters.back();
    if (voter.name == out.name && voter.address != out.advertise)
      block.fail("address", "this member's own, and not what it advertises: " + out.advertise);
    if (voter.name != out.name && voter.address == out.advertise)
      block.fail("name", "at this member's address, and not its name: " + out.name);
  }
  const auto count = static_cast<std::int64_t>(out.voters.size());
  if (count > 0 && count % 2 == 0)
    reader.fail("voter", "an even number of voters: of two halves neither would decide");
  if (count > kMostVoters) reader.fail("voter", "more than 7 voters");
  if (repeats(out.voters, [](const Voter& v) { return v.name; })) reader.fail("voter", "a name stands twice");
  if (repeats(out.voters, [](const Voter& v) { return v.address; }))
    reader.fail("voter", "an address stands twice");
}

// How the register reaches all members: the same in all of their files, for they see the same tree by it.
void readDissemination(const Reader& reader, Membership& out) {
  out.relays = reader.texts("relays");
  for (const auto& relay : out.relays) {
    checkWord(reader, "relays", relay);
    if (relay.empty()) reader.fail("relays", "an empty name");
    if (std::any_of(out.voters.begin(), out.voters.end(), [&](const Voter& v) { return v.name == relay; }))
      reader.fail("relays", "a voter hands the register on in any case: " + relay);
  }
  if (out.relays.size() > kMostRelays) reader.fail("relays", "more than 256 relays");
  if (repeats(out.relays, [](const std::string& r) { return r; }))
    reader.fail("relays", "a name stands twice");
  out.fanOut = static_cast<std::size_t>(reader.integer("fanOut", 2, 64, 5));
  out.changeBytesPerS =
      static_cast<std::size_t>(reader.integer("changeBytesPerS", 512, kMostChangeBytes, 2048));
}

}  // namespace

std::vector<std::string> Membership::voterNames() const {
  std::vector<std::string> out;
  for (const auto& voter : voters) out.push_back(voter.name);
  return out;
}

bool Membership::operator==(const Membership& o) const {
  const auto all = [](const Membership& m) {
    return std::tie(m.name, m.fleet, m.listen, m.advertise, m.zone, m.seeds, m.state, m.period, m.answerTime,
                    m.syncEvery, m.forgetAfter, m.relays, m.fanOut, m.changeBytesPerS);
  };
  const auto same = [](const Voter& a, const Voter& b) { return a.name == b.name && a.address == b.address; };
  return all(*this) == all(o) &&
         std::equal(voters.begin(), voters.end(), o.voters.begin(), o.voters.end(), same);
}

bool Membership::votes() const {
  const auto own = [this](const Voter& voter) { return voter.name == name; };
  return !state.empty() && std::any_of(voters.begin(), voters.end(), own);
}

Membership readMembership(const Reader& reader, const std::string& name) {
  Membership out;
  out.name = word(reader, "name", name);
  if (out.name.empty()) reader.fail("name", "empty");
  out.fleet = word(reader, "fleet");
  if (out.fleet.empty()) reader.fail("fleet", "empty");
  out.listen = reader.address("listen");
  out.advertise = reader.address("advertise", out.listen);
  out.zone = word(reader, "zone", "");
  out.state = reader.text("state", "");
  out.seeds = reader.texts("seeds");
  for (const auto& seed : out.seeds)
    if (!isAddress(seed)) reader.fail("seeds", "not an address and port such as 127.0.0.1:7946: " + seed);
  if (repeats(out.seeds, [](const std::string& s) { return s; }))
    reader.fail("seeds", "an address stands twice");
  readVoters(reader, out);
  for (const auto& voter : out.voters)
    if (std::find(out.seeds.begin(), out.seeds.end(), voter.address) == out.seeds.end())
      out.seeds.push_back(voter.address);
  constexpr std::int64_t kMinute = 60'000;
  out.period = reader.millis("periodMs", 50, kMinute, 1000);
  // An answer comes back, or others are asked and answer, within the period.
  const auto period = out.period / 1'000'000;
  out.answerTime = reader.millis("answerMs", 10, period / 2, period * 2 / 5);
  out.syncEvery = reader.millis("syncMs", period, 60 * kMinute, 30 * period);
  out.forgetAfter = reader.millis("forgetMs", 10 * period, 24 * 60 * kMinute, 600 * period);
  readDissemination(reader, out);
  return out;
}

}  // namespace topazweir::config
