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

const Poco::Timespan kAnswerTime(2, 0);
constexpr std::size_t kMostAnswer = 4 * 1024 * 1024;
constexpr std::string_view kBehind = "behind=";
constexpr auto kWatchEvery = std::chrono::seconds(1);

// What the aggregator answers to one line; throws Poco::Exception.
std::string call(const std::string& address, const std::string& line) {
  Poco::Net::StreamSocket socket;
  socket.connect(Poco::Net::SocketAddress(address), kAnswerTime);
  socket.setReceiveTimeout(kAnswerTime);
  const auto whole = line + "\n";
  socket.sendBytes(whole.data(), static_cast<int>(whole.size()));
  std::string out;
  std::array<char, 16 * 1024> buffer{};
  while (out.size() < kMostAnswer) {
    const int count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    if (count <= 0) break;
    out.append(buffer.data(), static_cast<std::size_t>(count));
  }
  return out;
}

std::string valueOf(const std::string& head, const std::string& key) {
  std::istringstream words(head);
  for (std::string word; words >> word;)
    if (word.starts_with(key + "=")) return word.substr(key.size() + 1);
  return {};
}

// "GENERATION/NUMBER" as it is shown beside `own`: the number alone where the generation is the same.
std::string shown(const std::string& position, const std::string& own) {
  const auto slash = position.find('/');
  if (slash == std::string::npos || position.substr(0, slash) != own.substr(0, own.find('/')))
    return position;
  return position.substr(slash + 1);
}

// One line, by the leader: the counts of all come up to it.
std::string inForce(const std::vector<View>& views) {
  std::string leader;
  for (const auto& v : views) {
    if (!v.leader.empty() && v.leader != "-") leader = v.leader;
    if (v.low.empty() || v.leader != v.self) continue;
    const auto number = shown(v.position, v.position);
    const auto counted = fmt::format("{} counted ({} known alive)", v.counted, v.alive);
    if (v.level == v.counted) return fmt::format("# in force: {} at all of {}\n", number, counted);
    auto out = fmt::format("# in force: {} at {} of {}, {} at all", number, v.level, counted,
                           shown(v.low, v.position));
    for (std::size_t i = 0; i < v.behind.size(); ++i)
      out += fmt::format("{}{} at {}", i == 0 ? "; behind: " : ", ", v.behind[i].first,
                         shown(v.behind[i].second, v.position));
    return out + '\n';
  }
  return leader.empty() ? std::string() : fmt::format("# in force: ask the leader, {}\n", leader);
}

std::vector<View> ask(const Options& options) {
  std::vector<View> views;
  for (const auto& address : options.ops) {
    try {
      views.push_back(readView(address, call(address, "members")));
    } catch (const Poco::Exception& error) {
      View none;
      none.asked = address, none.fault = error.displayText();
      views.push_back(std::move(none));
    }
  }
  return views;
}

bool agree(const std::vector<View>& views) {
  return std::all_of(views.begin(), views.end(), [](const View& v) { return v.fault.empty(); }) &&
         compare(views).find("\n!") == std::string::npos;
}

}  // namespace

View readView(const std::string& asked, const std::string& answer) {
  View view;
  view.asked = asked;
  std::istringstream lines(answer);
  std::string line;
  std::getline(lines, line);
  if (!line.starts_with("ACK ")) {
    view.fault = line.empty() ? "no answer" : line;
    return view;
  }
  view.self = valueOf(line, "self"), view.standing = valueOf(line, "standing");
  view.leader = valueOf(line, "leader"), view.alive = valueOf(line, "alive");
  view.position = valueOf(line, "position"), view.low = valueOf(line, "in_force");
  view.counted = valueOf(line, "members"), view.level = valueOf(line, "level");
  std::istringstream head(line);
  for (std::string word; head >> word;) {  // behind=GENERATION/NUMBER:NAME, once each
    const auto colon = word.find(':');
    if (word.starts_with(kBehind) && colon != std::string::npos)
      view.behind.emplace_back(word.substr(colon + 1), word.substr(kBehind.size(), colon - kBehind.size()));
  }
  while (std::getline(lines, line)) {
    std::istringstream words(line);
    View::Row r;
    if (words >> r.name >> r.state >> r.duty >> r.since >> r.incarnation >> r.zone >> r.version >>
        r.address >> r.open >> r.refused)
      view.rows.push_back(std::move(r));
  }
  return view;
}

std::string compare(const std::vector<View>& views) {
  std::string out;
  std::map<std::string, std::vector<const View::Row*>> byName;  // a row or none, by view
  for (std::size_t i = 0; i < views.size(); ++i) {
    const auto& view = views[i];
    out += view.fault.empty() ? fmt::format("# {} is {}: {}, {} members known\n", view.asked, view.self,
                                            view.standing, view.rows.size())
                              : fmt::format("# {}: {}\n", view.asked, view.fault);
    for (const auto& row : view.rows) {
      auto& rows = byName[row.name];
      rows.resize(views.size());
      rows[i] = &row;
    }
  }
  out += inForce(views);
  constexpr const char* kForm = "{} {:<20} {:<8} {:<9} {:>7} {:>5} {:<8} {:<8} {:<21} {:>6} {:>8}  {}\n";
  out += fmt::format(kForm, " ", "name", "state", "duty", "since s", "inc.", "zone", "version", "address",
                     "open", "refused", "says");
  const auto print = [&](bool marked, const View::Row& r, const std::string& who) {
    out += fmt::format(kForm, marked ? "!" : " ", r.name, r.state, r.duty, r.since, r.incarnation, r.zone,
                       r.version, r.address, r.open, r.refused + "/1000", who);
  };
  for (const auto& [name, rows] : byName) {
    const auto same = [&](const View::Row* a, const View::Row* b) {
      return a && b && a->state == b->state && a->address == b->address && a->duty == b->duty;
    };
    const View::Row* first = nullptr;
    bool one = true;
    for (std::size_t i = 0; i < views.size(); ++i) {
      if (!views[i].fault.empty()) continue;
      if (!first) first = rows[i];
      one = one && same(rows[i], first);
    }
    if (one) {
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
    return known ? kWell : kFailed;
  }
  while (true) {
    const auto views = ask(options);
    if (!options.watch) {
      out << compare(views);
      return agree(views) ? kWell : kFailed;
    }
    out << "\x1b[H\x1b[2J" << compare(views) << std::flush;  // the terminal's own: home, clear
    std::this_thread::sleep_for(kWatchEvery);
    if (!takeSignals().empty()) return kWell;
  }
}

}  // namespace topazweir::cli
