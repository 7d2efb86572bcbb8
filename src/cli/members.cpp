// `topazweir members`: queries operators' addresses and formats the views.
#include "cli/members.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <ostream>
#include <sstream>
#include <thread>

#include "cli/signals.hpp"

namespace topazweir::cli {

namespace {

const Poco::Timespan kAnswerTimeout(2, 0);  // 2 s, for connecting and for each read
constexpr std::size_t kMaxAnswerBytes = 4 * 1024 * 1024;
constexpr std::string_view kBehindPrefix = "behind=";
constexpr auto kWatchInterval = std::chrono::seconds(1);

// Sends one line to an operators' address and returns the whole answer. Throws Poco::Exception.
std::string call(const std::string& address, const std::string& line) {
  Poco::Net::StreamSocket socket;
  socket.connect(Poco::Net::SocketAddress(address), kAnswerTimeout);
  socket.setReceiveTimeout(kAnswerTimeout);
  const auto request = line + "\n";
  socket.sendBytes(request.data(), static_cast<int>(request.size()));
  std::string out;
  std::array<char, 16 * 1024> buffer{};
  while (out.size() < kMaxAnswerBytes) {
    const int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    if (count <= 0) break;
    out.append(buffer.data(), static_cast<std::size_t>(count));
  }
  return out;
}

// Returns the value of the first "key=value" word of `head`; empty if there is none.
std::string valueOf(const std::string& head, const std::string& key) {
  std::istringstream words(head);
  for (std::string word; words >> word;)
    if (word.starts_with(key + "=")) return word.substr(key.size() + 1);
  return {};
}

// Abbreviates "GENERATION/NUMBER" to the number if `reference` has the same generation.
std::string abbreviate(const std::string& position, const std::string& reference) {
  const auto slash = position.find('/');
  if (slash == std::string::npos || position.substr(0, slash) != reference.substr(0, reference.find('/')))
    return position;
  return position.substr(slash + 1);
}

// One line on how far the register is in force, from the leader's view: only the leader receives the counts
// of all members. Names the leader if its view is not among `views`.
std::string inForceLine(const std::vector<MembershipView>& views) {
  std::string leader;
  for (const auto& v : views) {
    if (!v.leader.empty() && v.leader != "-") leader = v.leader;
    if (v.low.empty() || v.leader != v.self) continue;
    const auto number = abbreviate(v.position, v.position);
    const auto counted = fmt::format("{} counted ({} known alive)", v.counted, v.alive);
    if (v.level == v.counted) return fmt::format("# in force: {} at all of {}\n", number, counted);
    auto out = fmt::format("# in force: {} at {} of {}, {} at all", number, v.level, counted,
                           abbreviate(v.low, v.position));
    for (std::size_t i = 0; i < v.behind.size(); ++i)
      out += fmt::format("{}{} at {}", i == 0 ? "; behind: " : ", ", v.behind[i].first,
                         abbreviate(v.behind[i].second, v.position));
    return out + '\n';
  }
  return leader.empty() ? std::string() : fmt::format("# in force: ask the leader, {}\n", leader);
}

std::vector<MembershipView> queryViews(const Options& options) {
  std::vector<MembershipView> views;
  for (const auto& address : options.ops) {
    try {
      views.push_back(parseView(address, call(address, "members")));
    } catch (const Poco::Exception& error) {
      MembershipView none;
      none.address = address;
      none.fault = error.displayText();
      views.push_back(std::move(none));
    }
  }
  return views;
}

// Whether all aggregators have answered and no row of the comparison is marked as different.
bool allAgree(const std::vector<MembershipView>& views) {
  return std::all_of(views.begin(), views.end(), [](const MembershipView& v) { return v.fault.empty(); }) &&
         compare(views).find("\n!") == std::string::npos;
}

}  // namespace

MembershipView parseView(const std::string& address, const std::string& answer) {
  MembershipView view;
  view.address = address;
  std::istringstream lines(answer);
  std::string line;
  std::getline(lines, line);
  if (!line.starts_with("ACK ")) {
    view.fault = line.empty() ? "no answer" : line;
    return view;
  }
  view.self = valueOf(line, "self");
  view.standing = valueOf(line, "standing");
  view.leader = valueOf(line, "leader");
  view.alive = valueOf(line, "alive");
  view.position = valueOf(line, "position");
  view.low = valueOf(line, "in_force");
  view.counted = valueOf(line, "members");
  view.level = valueOf(line, "level");
  std::istringstream head(line);
  for (std::string word; head >> word;) {  // behind=GENERATION/NUMBER:NAME, one for each of the slowest
    const auto colon = word.find(':');
    if (word.starts_with(kBehindPrefix) && colon != std::string::npos)
      view.behind.emplace_back(word.substr(colon + 1),
                               word.substr(kBehindPrefix.size(), colon - kBehindPrefix.size()));
  }
  while (std::getline(lines, line)) {
    std::istringstream words(line);
    MembershipView::Row r;
    if (words >> r.name >> r.state >> r.duty >> r.since >> r.incarnation >> r.zone >> r.version >>
        r.address >> r.open >> r.refused)
      view.rows.push_back(std::move(r));
  }
  return view;
}

std::string compare(const std::vector<MembershipView>& views) {
  std::string out;
  std::map<std::string, std::vector<const MembershipView::Row*>>
      byName;  // by member, then by view; null: unknown there
  for (std::size_t i = 0; i < views.size(); ++i) {
    const auto& view = views[i];
    out += view.fault.empty() ? fmt::format("# {} is {}: {}, {} members known\n", view.address, view.self,
                                            view.standing, view.rows.size())
                              : fmt::format("# {}: {}\n", view.address, view.fault);
    for (const auto& row : view.rows) {
      auto& rows = byName[row.name];
      rows.resize(views.size());
      rows[i] = &row;
    }
  }
  out += inForceLine(views);
  constexpr const char* kRowFormat = "{} {:<20} {:<8} {:<9} {:>7} {:>5} {:<8} {:<8} {:<21} {:>6} {:>8}  {}\n";
  out += fmt::format(kRowFormat, " ", "name", "state", "duty", "since s", "inc.", "zone", "version",
                     "address", "open", "refused", "says");
  const auto print = [&](bool marked, const MembershipView::Row& r, const std::string& who) {
    out += fmt::format(kRowFormat, marked ? "!" : " ", r.name, r.state, r.duty, r.since, r.incarnation,
                       r.zone, r.version, r.address, r.open, r.refused + "/1000", who);
  };
  for (const auto& [name, rows] : byName) {
    const auto same = [&](const MembershipView::Row* a, const MembershipView::Row* b) {
      return a && b && a->state == b->state && a->address == b->address && a->duty == b->duty;
    };
    const MembershipView::Row* first = nullptr;
    bool agreed = true;
    for (std::size_t i = 0; i < views.size(); ++i) {
      if (!views[i].fault.empty()) continue;
      if (!first) first = rows[i];
      agreed = agreed && same(rows[i], first);
    }
    if (agreed) {
      print(false, *first, views.size() > 1 ? "all" : views.front().self);
      continue;
    }
    for (std::size_t i = 0; i < views.size(); ++i) {
      if (!views[i].fault.empty()) continue;
      if (rows[i])
        print(true, *rows[i], views[i].self);
      else
        out += fmt::format("! {:<20} unknown to {}\n", name, views[i].self);
    }
  }
  return out;
}

int members(const Options& options, std::ostream& out) {
  if (!options.member.empty()) {
    bool known = false;
    for (const auto& address : options.ops) {
      out << "# " << address << '\n';
      try {
        const auto answer = call(address, "members explain " + options.member);
        known = known || answer.starts_with("ACK");
        out << answer;
      } catch (const Poco::Exception& error) {
        out << error.displayText() << '\n';
      }
    }
    return known ? kSucceeded : kFailed;
  }
  while (true) {
    const auto views = queryViews(options);
    if (!options.watch) {
      out << compare(views);
      return allAgree(views) ? kSucceeded : kFailed;
    }
    out << "\x1b[H\x1b[2J" << compare(views) << std::flush;  // ANSI escapes: cursor home, clear screen
    std::this_thread::sleep_for(kWatchInterval);
    if (!takePendingSignals().empty()) return kSucceeded;
  }
}

}  // namespace topazweir::cli
