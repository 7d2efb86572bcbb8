#include "agreement/messages.hpp"

#define MSGPACK_NO_BOOST
#include <cstring>
#include <msgpack.hpp>
#include <tuple>
#include <vector>

#include "agreement/packing.hpp"

namespace topazweir::agreement {

namespace {

using Numbers = std::vector<std::uint64_t>;
using EntryFields = std::tuple<std::uint64_t, std::uint64_t, std::string>;  // term, type, bytes
// Type, numbers in the order of the structure's members, entries, snapshot.
using Fields = std::tuple<std::uint64_t, Numbers, std::vector<EntryFields>, std::string>;

constexpr std::size_t kMaxStringBytes = 64 * 1024 * 1024;  // of a snapshot

std::string_view viewOf(const raft_buffer& buffer) {
  return {static_cast<const char*>(buffer.base), buffer.len};
}

// Allocates the entries of a received message. The library expects their bytes in one common block of memory,
// the batch. False: out of memory.
bool allocateEntries(const std::vector<EntryFields>& from, raft_append_entries& to) {
  to.entries = nullptr;
  to.n_entries = 0;
  if (from.empty()) return true;
  // At least one byte: the library identifies the owner of an entry's memory by the batch's address.
  std::size_t size = 1;
  for (const auto& [term, type, bytes] : from) size += bytes.size();
  auto* entries = static_cast<raft_entry*>(raft_calloc(from.size(), sizeof(raft_entry)));
  auto* batch = static_cast<char*>(raft_malloc(size));
  if (!entries || !batch) {
    raft_free(entries);
    raft_free(batch);
    return false;
  }
  std::size_t at = 0;
  for (std::size_t i = 0; i < from.size(); ++i) {
    const auto& [term, type, bytes] = from[i];
    std::memcpy(batch + at, bytes.data(), bytes.size());
    entries[i].term = term;
    entries[i].type = static_cast<unsigned short>(type);
    entries[i].buf = {batch + at, bytes.size()};
    entries[i].batch = batch;
    at += bytes.size();
  }
  to.entries = entries;
  to.n_entries = static_cast<unsigned>(from.size());
  return true;
}

}  // namespace

raft_buffer bufferOf(std::string_view bytes) {
  raft_buffer out{raft_malloc(bytes.size() + 1), bytes.size()};
  if (out.base) std::memcpy(out.base, bytes.data(), bytes.size());
  return out;
}

bool copyConfiguration(const raft_configuration& from, raft_configuration& to) {
  raft_configuration_init(&to);
  for (unsigned i = 0; i < from.n; ++i)
    if (raft_configuration_add(&to, from.servers[i].id, from.servers[i].address, from.servers[i].role) != 0)
      return false;
  return true;
}

std::string writeMessage(const raft_message& message) {
  Fields out;
  auto& [type, numbers, entries, bytes] = out;
  type = message.type;
  switch (message.type) {
    case RAFT_IO_APPEND_ENTRIES: {
      const auto& a = message.append_entries;
      numbers = {a.term, a.prev_log_index, a.prev_log_term, a.leader_commit};
      for (unsigned i = 0; i < a.n_entries; ++i)
        entries.emplace_back(a.entries[i].term, a.entries[i].type, viewOf(a.entries[i].buf));
      break;
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT: {
      const auto& r = message.append_entries_result;
      numbers = {r.term, r.rejected, r.last_log_index};
      break;
    }
    case RAFT_IO_REQUEST_VOTE: {
      const auto& v = message.request_vote;
      numbers = {v.term, v.candidate_id, v.last_log_index, v.last_log_term, v.disrupt_leader, v.pre_vote};
      break;
    }
    case RAFT_IO_REQUEST_VOTE_RESULT: {
      const auto& r = message.request_vote_result;
      numbers = {r.term, r.vote_granted, static_cast<std::uint64_t>(r.pre_vote)};
      break;
    }
    case RAFT_IO_INSTALL_SNAPSHOT: {
      const auto& s = message.install_snapshot;
      numbers = {s.term, s.last_index, s.last_term, s.conf_index};
      bytes = viewOf(s.data);
      break;
    }
    case RAFT_IO_TIMEOUT_NOW: {
      const auto& t = message.timeout_now;
      numbers = {t.term, t.last_log_index, t.last_log_term};
      break;
    }
  }
  return pack(out);
}

bool readMessage(std::string_view bytes, const raft_configuration& voters, raft_message& message) {
  const auto fields = unpack<Fields>(bytes, kMaxStringBytes);
  if (!fields) return false;
  const auto& [type, numbers, entries, data] = *fields;
  message.type = static_cast<unsigned short>(type);
  const auto hasNumbers = [&given = numbers](std::size_t count) { return given.size() >= count; };
  switch (type) {
    case RAFT_IO_APPEND_ENTRIES:
      if (!hasNumbers(4)) return false;
      message.append_entries = {numbers[0], numbers[1], numbers[2], numbers[3], nullptr, 0};
      return allocateEntries(entries, message.append_entries);
    case RAFT_IO_APPEND_ENTRIES_RESULT:
      if (!hasNumbers(3)) return false;
      message.append_entries_result = {numbers[0], numbers[1], numbers[2]};
      return true;
    case RAFT_IO_REQUEST_VOTE:
      if (!hasNumbers(6)) return false;
      message.request_vote = {numbers[0], numbers[1],      numbers[2],
                              numbers[3], numbers[4] != 0, numbers[5] != 0};
      return true;
    case RAFT_IO_REQUEST_VOTE_RESULT:
      if (!hasNumbers(3) || numbers[2] > raft_tribool_false) return false;
      message.request_vote_result = {numbers[0], numbers[1] != 0, static_cast<raft_tribool>(numbers[2])};
      return true;
    case RAFT_IO_INSTALL_SNAPSHOT: {
      if (!hasNumbers(4)) return false;
      auto& s = message.install_snapshot;
      s = {numbers[0], numbers[1], numbers[2], {}, numbers[3], bufferOf(data)};
      return s.data.base && copyConfiguration(voters, s.conf);
    }
    case RAFT_IO_TIMEOUT_NOW:
      if (!hasNumbers(3)) return false;
      message.timeout_now = {numbers[0], numbers[1], numbers[2]};
      return true;
    default:
      return false;
  }
}

}  // namespace topazweir::agreement
