// A gRPC call on a new connection while other clients keep theirs open and rest.
#include "../common-2/play.hpp"

using namespace play;

namespace {

constexpr int kConnections = 64;  // that the front takes (`connections`)
constexpr double kDeadline = 2;   // s, that the client waits
constexpr double kAfter = 0.5;    // a request has its final answer this long after its time at the latest

bool plays(const std::string& folder) {
  GrpcServer a("a", 100), b("b", 100);
  for (auto* s : {&a, &b})
    s->work = [](GrpcServer& server, H2& peer, int id) {
      record("backend %s: answers call %s", server.name.c_str(),
             field(peer.streams[id].head, "x-call").c_str());
      peer.answer(id, message("r"), "0");
    };
  const int listen = freePort();
  const std::string file = folder + "/broker.hcl";
  std::ostringstream text;
  text << "grpc {\n  listen = \"127.0.0.1:" << listen << "\"\n  connections = " << kConnections
       << "\n  pool \"catalogue\" {\n    backend \"127.0.0.1:" << a.port
       << "\" {}\n    backend \"127.0.0.1:" << b.port
       << "\" {}\n  }\n  route \"catalogue\" {\n    service = \"dawa.Catalogue\"\n    pool = \"catalogue\"\n"
       << "    effect = \"safe\"\n  }\n}\n";
  writeFile(file, text.str());
  Program program("exec build/topazweir run --operator " + file, folder + "/log");
  if (!loop().until(10, [&] { return !program.alive() || program.logged("started") > 0; }) ||
      !program.alive())
    throw CannotRun{"the program did not start"};
  loop().until(1);

  // Clients that ask once and keep their connections open for good.
  std::vector<std::unique_ptr<H2>> resting;
  int asked = 0;
  for (int i = 0; i < (trouble() ? kConnections : 2); ++i) {
    resting.push_back(std::make_unique<H2>(false, connectTo(listen)));
    auto& h = *resting.back();
    h.onEnd = [&](H2&, int) { ++asked; };
    if (i % 16 == 0) loop().until(0.1);
    h.call("/dawa.Catalogue/Search", message("q"),
           {{"x-call", "once-" + std::to_string(i)}, {"grpc-timeout", "2S"}});
  }
  if (!loop().until(5, [&] { return asked == static_cast<int>(resting.size()); }))
    throw CannotRun{"the first calls were not answered"};
  record("%zu clients have asked once, have their answers and rest", resting.size());
  loop().until(5);  // by then each has rested for more than 2 s

  int lost = 0;
  for (int i = 1; i <= 5; ++i) {
    const int fd = connectTo(listen);
    if (fd < 0) {
      record("new client %d: refused", i);
      continue;
    }
    H2 client(false, fd);
    bool over = false;
    client.onClosed = [&](H2&, int) { over = true; };
    client.onGone = [&](H2&) { over = true; };
    const int id = client.call("/dawa.Catalogue/Search", message("q"),
                               {{"x-call", "new-" + std::to_string(i)}, {"grpc-timeout", "2S"}});
    record("new client %d: connected, sends a call with 2 s", i);
    loop().until(kDeadline + kAfter, [&] { return over || !program.alive(); });
    const auto& s = client.streams[id];
    const auto status = field(s.trailers, "grpc-status") + field(s.head, "grpc-status");
    if (over)
      record("new client %d: %s", i, status.empty() ? "shut without a status" : ("status " + status).c_str());
    else
      record("new client %d: NOTHING within %.1f s", i, kDeadline + kAfter);
    lost += !over;
  }
  if (!program.alive()) throw CannotRun{"the program has ended"};
  int open = 0;
  for (const auto& h : resting) open += !h->gone;
  record("resting connections still open: %d; new calls without an end: %d of 5", open, lost);
  return lost == 0;
}

}  // namespace

int main(int argc, char** argv) { return play::main(argc, argv, plays); }
