// Reading of the block `membership`.
#include "config/membership_config.hpp"

#include <algorithm>
#include <tuple>

namespace topazweir::config {

namespace {

constexpr std::size_t kMaxTextBytes = 64;  // limit of the wire format (src/membership/record.hpp)
constexpr std::int64_t kMaxVoters = 7;
constexpr std::size_t kMaxRelays = 256;
constexpr std::int64_t kMaxChangeBytesPerSecond = 16 * 1024 * 1024;

// Fails unless `text` fits the wire format and has no blanks.
void checkToken(const Reader& reader, std::string_view key, const std::string& text) {
  const bool blank =
      std::any_of(text.begin(), text.end(), [](unsigned char c) { return c <= ' ' || c == 127; });
  if (text.size() > kMaxTextBytes) reader.fail(key, "longer than 64 bytes");
  if (blank) reader.fail(key, "contains a blank or an unprintable character");
}

std::string readToken(const Reader& reader, std::string_view key,
                      std::optional<std::string_view> defaultValue = {}) {
  auto out = reader.text(key, defaultValue);
  checkToken(reader, key, out);
  return out;
}

// Whether two items have the same key.
template <class Items, class Key>
bool hasDuplicates(const Items& items, Key key) {
  for (auto a = items.begin(); a != items.end(); ++a)
    if (std::any_of(items.begin(), a, [&](const auto& b) { return key(b) == key(*a); })) return true;
  return false;
}

void readVoters(const Reader& reader, MembershipConfig& out) {
  for (const auto& block : reader.objects("voter")) {
    out.voters.push_back({readToken(block, "name"), block.address("address")});
    const auto& voter = out.voters.back();
    if (voter.name == out.name && voter.address != out.advertise)
      block.fail("address", "differs from what this member advertises: " + out.advertise);
    if (voter.name != out.name && voter.address == out.advertise)
      block.fail("name", "another name at this member's own address; its name is " + out.name);
  }
  const auto count = static_cast<std::int64_t>(out.voters.size());
  if (count > 0 && count % 2 == 0)
    reader.fail("voter", "an even number of voters: two halves would leave neither with a majority");
  if (count > kMaxVoters) reader.fail("voter", "more than 7 voters");
  if (hasDuplicates(out.voters, [](const Voter& v) { return v.name; }))
    reader.fail("voter", "duplicate name");
  if (hasDuplicates(out.voters, [](const Voter& v) { return v.address; }))
    reader.fail("voter", "duplicate address");
}

// Settings of the register's dissemination. They must be the same in the files of all members, which derive
// the same dissemination tree from them.
void readDissemination(const Reader& reader, MembershipConfig& out) {
  out.relays = reader.texts("relays");
  for (const auto& relay : out.relays) {
    checkToken(reader, "relays", relay);
    if (relay.empty()) reader.fail("relays", "an empty name");
    if (std::any_of(out.voters.begin(), out.voters.end(), [&](const Voter& v) { return v.name == relay; }))
      reader.fail("relays", "voters always relay the register: " + relay);
  }
  if (out.relays.size() > kMaxRelays) reader.fail("relays", "more than 256 relays");
  if (hasDuplicates(out.relays, [](const std::string& r) { return r; }))
    reader.fail("relays", "duplicate name");
  out.fanOut = static_cast<std::size_t>(reader.integer("fanOut", 2, 64, 5));
  out.changeBytesPerSecond =
      static_cast<std::size_t>(reader.integer("changeBytesPerS", 512, kMaxChangeBytesPerSecond, 2048));
}

}  // namespace

std::vector<std::string> MembershipConfig::voterNames() const {
  std::vector<std::string> out;
  for (const auto& voter : voters) out.push_back(voter.name);
  return out;
}

bool MembershipConfig::operator==(const MembershipConfig& o) const {
  const auto all = [](const MembershipConfig& m) {
    return std::tie(m.name, m.fleet, m.listen, m.advertise, m.zone, m.seeds, m.state, m.period,
                    m.probeTimeout, m.syncInterval, m.forgetTimeout, m.relays, m.fanOut,
                    m.changeBytesPerSecond);
  };
  const auto same = [](const Voter& a, const Voter& b) { return a.name == b.name && a.address == b.address; };
  return all(*this) == all(o) &&
         std::equal(voters.begin(), voters.end(), o.voters.begin(), o.voters.end(), same);
}

bool MembershipConfig::votes() const {
  const auto own = [this](const Voter& voter) { return voter.name == name; };
  return !state.empty() && std::any_of(voters.begin(), voters.end(), own);
}

MembershipConfig readMembership(const Reader& reader, const std::string& name) {
  MembershipConfig out;
  out.name = readToken(reader, "name", name);
  if (out.name.empty()) reader.fail("name", "empty");
  out.fleet = readToken(reader, "fleet");
  if (out.fleet.empty()) reader.fail("fleet", "empty");
  out.listen = reader.address("listen");
  out.advertise = reader.address("advertise", out.listen);
  out.zone = readToken(reader, "zone", "");
  out.state = reader.text("state", "");
  out.seeds = reader.texts("seeds");
  for (const auto& seed : out.seeds)
    if (!isAddress(seed)) reader.fail("seeds", "not an address and port such as 127.0.0.1:7946: " + seed);
  if (hasDuplicates(out.seeds, [](const std::string& s) { return s; }))
    reader.fail("seeds", "duplicate address");
  readVoters(reader, out);
  for (const auto& voter : out.voters)
    if (std::find(out.seeds.begin(), out.seeds.end(), voter.address) == out.seeds.end())
      out.seeds.push_back(voter.address);
  constexpr std::int64_t kMinuteMs = 60'000;
  out.period = reader.millis("periodMs", 50, kMinuteMs, 1000);
  // Within one period the direct probe must time out and the indirect probes be answered.
  const auto periodMs = out.period / 1'000'000;
  out.probeTimeout = reader.millis("answerMs", 10, periodMs / 2, periodMs * 2 / 5);
  out.syncInterval = reader.millis("syncMs", periodMs, 60 * kMinuteMs, 30 * periodMs);
  out.forgetTimeout = reader.millis("forgetMs", 10 * periodMs, 24 * 60 * kMinuteMs, 600 * periodMs);
  readDissemination(reader, out);
  return out;
}

}  // namespace topazweir::config
