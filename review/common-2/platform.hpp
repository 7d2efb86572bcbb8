// Stand-ins of the platform: leafs that speak frames, the discovery agent's list, clients of queries.
#pragma once

#include <arpa/inet.h>

#include "http.hpp"

namespace play {

// A leaf: answers each part after `work` seconds.
struct Leaf : Pollable {
  struct Peer : Pollable {
    Leaf& leaf;
    int socket;
    std::string in, out;
    bool gone = false;
    Peer(Leaf& of, int fd) : leaf(of), socket(fd) { loop().all.insert(this); }
    ~Peer() override {
      loop().all.erase(this);
      if (!gone) ::close(socket);
    }
    int fd() const override { return gone ? -1 : socket; }
    short events() override { return static_cast<short>(POLLIN | (out.empty() ? 0 : POLLOUT)); }
    void end() {
      if (!std::exchange(gone, true)) ::close(socket);
    }
    void flush() {
      while (!gone && !out.empty()) {
        const auto n = ::send(socket, out.data(), out.size(), MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
        if (n <= 0) return end();
        out.erase(0, static_cast<std::size_t>(n));
      }
    }
    void frame(char letter, const std::string& rest) {
      const auto size = htonl(static_cast<std::uint32_t>(rest.size() + 1));
      out.append(reinterpret_cast<const char*>(&size), 4).append(1, letter).append(rest);
      flush();
    }
    void ready(short) override {
      char chunk[16384];
      const auto n = ::recv(socket, chunk, sizeof chunk, 0);
      if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) return end();
      if (n > 0) in.append(chunk, static_cast<std::size_t>(n));
      flush();
      while (!gone && in.size() >= 4) {
        std::uint32_t size = 0;
        std::memcpy(&size, in.data(), 4);
        size = ntohl(size);
        if (in.size() < 4 + size) return;
        const char letter = in[4];
        std::string rest = in.substr(5, size - 1);
        in.erase(0, 4 + size);
        while (letter == 'S' && !rest.empty()) {
          const auto line = rest.find('\n');
          std::istringstream words(rest.substr(0, line));
          std::string id, list;
          int shard = 0;
          std::size_t length = 0;
          words >> id >> shard >> list >> length;
          const auto query = rest.substr(line + 1, length);
          rest.erase(0, line + 1 + length);
          leaf.part(*this, id, shard, query);
        }
      }
    }
  };
  std::string name;
  int port = 0, listener;
  double work = 0.05;
  std::vector<std::unique_ptr<Peer>> peers;
  std::function<void(Leaf&, const std::string& id)> got;  // a part has come
  std::function<void(Leaf&, Peer&, const std::string& id, int shard, const std::string& query)> answers;
  explicit Leaf(std::string called) : name(std::move(called)), listener(listenOn(port)) {
    loop().all.insert(this);
  }
  ~Leaf() override {
    loop().all.erase(this);
    ::close(listener);
  }
  int fd() const override { return listener; }
  short events() override { return POLLIN; }
  void ready(short) override {
    const int fd = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    const int yes = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    peers.push_back(std::make_unique<Peer>(*this, fd));
  }
  void part(Peer& peer, const std::string& id, int shard, const std::string& query) {
    if (got) got(*this, id);
    if (answers) return answers(*this, peer, id, shard, query);
    loop().after(work, [&peer, id, shard, query] {
      if (!peer.gone) peer.frame('R', id + " done 0 -\n" + query + "-" + std::to_string(shard));
    });
  }
};

struct Entry {
  std::string id;
  int port = 0;
  int cell = 0;
  std::string state = "Ready";
  long long startedAtMs = 0;
};

inline std::string listText(long long generation, bool reset, const std::vector<Entry>& entries) {
  std::ostringstream out;
  out << "{\"generation\":" << generation << ",\"reset\":" << (reset ? "true" : "false")
      << ",\"instances\":[";
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const auto& e = entries[i];
    out << (i > 0 ? "," : "") << "{\"instanceId\":\"" << e.id << "\",\"hostPort\":\"127.0.0.1:" << e.port
        << "\",\"zone\":\"nbi-dc1\",\"machineType\":\"std-2core\",\"cell\":" << e.cell << ",\"lifecycle\":\""
        << e.state << "\",\"weight\":1.0,\"startedAtMs\":" << e.startedAtMs << "}";
  }
  out << "]}";
  return out.str();
}

inline std::string chunk(const std::string& text) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

// The configuration of one aggregator: the figures of `dawa-collect-nbi`, with `cells` cells of two branch
// groups each.
inline std::string platformConfig(int listen, int discovery, const std::string& known, int cells) {
  std::ostringstream out;
  out << "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" << listen << "\",\"discovery\":\"127.0.0.1:" << discovery
      << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":0.5,\"memory_mb\":192,\"sockets\":512},"
         "\"known\":"
      << known
      << ",\"settings\":{\"az\":0,\"balancers\":2,\"selfIndex\":0,\"discovery\":\"pushed\",\"tickNs\":"
         "5000000,"
      << "\"localities\":[\"nbi-dc1\"],\"clients\":{\"marksRetry\":true},\"familyInfo\":{\"slabs\":"
      << 2 * cells << ",\"sets\":" << cells
      << ",\"reach\":3,\"partsACall\":1,\"overheadNs\":0,\"minShare\":[0.8,1.0],\"needByClass\":[1.0,1.0],"
      << "\"classPartial\":[0.8,0.9],\"fetchParts\":[0,0]},\"limits\":{\"maxOpen\":126,\"maxAttempts\":4,"
         "\"secondCopies\":true,"
      << "\"cancelling\":true,\"retryAfter\":true,\"maxRetryAfterNs\":2000000000,\"streamsPerConn\":32,"
      << "\"connectTimeoutNs\":250000000,\"connIdleNs\":30000000000},\"guarantees\":{\"drainGraceNs\":"
         "500000000,"
      << "\"coldFrom\":0.22,\"coldNs\":17000000000,\"tipMultiple\":4.0,\"overloadForNs\":2000000000,"
         "\"graceToAnswerNs\":20000000},"
      << "\"profiles\":[{\"name\":\"wide-search\",\"aimNs\":3000000000,\"deadlineNs\":6000000000,\"value\":2."
         "0,\"lateWorth\":0.3,"
      << "\"semantics\":\"repeatable\",\"windowNs\":5000000000},{\"name\":\"basket-check\",\"aimNs\":"
         "2000000000,"
      << "\"deadlineNs\":4000000000,\"value\":1.0,\"lateWorth\":0.3,\"semantics\":\"repeatable\","
         "\"windowNs\":5000000000}]}}";
  return out.str();
}

// A client that asks one query on a connection of its own.
struct Query {
  std::unique_ptr<Http> connection;
  std::string id;
  double at = 0, answeredAt = -1;
  int status = -1;  // of the final answer
  std::string body;
  Query(int port, std::string called, const std::string& kind, const std::vector<int>& shards,
        double deadline)
      : id(std::move(called)), at(now()) {
    const int fd = connectTo(port);
    if (fd < 0) return;
    connection = std::make_unique<Http>(fd);
    connection->take = [this](Http&, const std::string& head, const std::string& text) {
      status = std::atoi(head.c_str() + 9);
      body = text;
      answeredAt = now();
    };
    std::ostringstream targets;
    targets.precision(10);
    for (std::size_t i = 0; i < shards.size(); ++i)
      targets << (i > 0 ? "," : "") << "{\"partition\":" << shards[i]
              << ",\"share\":" << 1.0 / static_cast<double>(shards.size()) << "}";
    const auto text = "{\"targets\":[" + targets.str() + "],\"query\":\"q" + id + "\"}";
    std::ostringstream head;
    head << "POST /" << kind << " HTTP/1.1\r\nHost: api.internal\r\nReq-Id: " << id
         << "\r\nReq-Kind: " << kind
         << "\r\nReq-Owner: nairobi-metro\r\nReq-Key: 7f3a9c21e0b4d655\r\nReq-Deadline: " << deadline
         << "\r\nContent-Length: " << text.size() << "\r\n\r\n";
    connection->write(head.str() + text);
  }
};

inline int upSays(int port) {
  const int fd = connectTo(port);
  if (fd < 0) return -1;
  Http client(fd);
  int status = -1;
  client.take = [&](Http&, const std::string& head, const std::string&) {
    status = std::atoi(head.c_str() + 9);
  };
  client.write("GET /up HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  loop().until(1, [&] { return status > 0 || client.gone; });
  return status;
}

}  // namespace play
