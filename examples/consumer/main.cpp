// Minimal use of the installed library: passes a server list and a query with one part to an aggregator and
// prints the server that the part is sent to.
#include <cstdio>
#include <topazweir/aggregator.hpp>

int main() {
  topazweir::Settings settings;
  settings.seed = 1;
  settings.tick = 1'000'000;
  settings.shards = 1;
  topazweir::QueryClass lookup;
  lookup.name = "lookup";
  lookup.aim = 500'000'000;
  lookup.deadline = 1'000'000'000;
  settings.classes = {lookup};

  topazweir::Aggregator aggregator(settings);
  topazweir::ServerListUpdate list;
  list.entries = {{.server = 7, .zone = 0, .cell = 0}};
  const auto actions =
      aggregator.handle(0, {list, topazweir::QueryArrived{"q", 1, 0, lookup.deadline, 1, false},
                            topazweir::PartArrived{"p", 1, 0, 1.0}});
  for (const auto& action : actions) {
    if (const auto* send = std::get_if<topazweir::Send>(&action)) {
      std::printf("send %s to server %llu\n", send->part.c_str(),
                  static_cast<unsigned long long>(send->server));
      return 0;
    }
  }
  return 1;
}
