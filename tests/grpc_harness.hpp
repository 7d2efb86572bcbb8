// Test harness for the gRPC service: generic grpc++ clients and servers, an independent implementation on
// both sides, and between them the service, on a loop in a thread of its own.
#pragma once

#include <grpcpp/alarm.h>
#include <grpcpp/generic/async_generic_service.h>
#include <grpcpp/generic/generic_stub.h>
#include <grpcpp/grpcpp.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "check.hpp"
#include "config/operator_config.hpp"
#include "grpc/grpc_service.hpp"

namespace topazweir::test {

inline constexpr Nanos kMs = 1'000'000;

inline ::grpc::ByteBuffer toByteBuffer(const std::string& text) {
  const ::grpc::Slice slice(text);
  return {&slice, 1};
}
inline std::string toText(const ::grpc::ByteBuffer& buffer) {
  std::vector<::grpc::Slice> slices;
  std::string out;
  if (!buffer.Valid() || !buffer.Dump(&slices).ok()) return out;
  for (const auto& s : slices) out.append(reinterpret_cast<const char*>(s.begin()), s.size());
  return out;
}

// A fake service. The name of the method selects what it does, with parameters from the metadata:
//   Echo   returns each message, for unary and streaming calls
//   Count  after the first message, returns x-count messages of x-size bytes
//   Sum    at the end, returns one message: the number of messages received, and their bytes
//   Fail   ends with status x-code and message x-words, after x-after messages (0: a Trailers-Only response)
//   Slow   as Echo, x-ms later
//   Hang   reads the request and does not respond until it is cancelled
// It also returns metadata x-first* as initial metadata and x-back* as trailing metadata.
class Service : public ::grpc::CallbackGenericService {
 public:
  std::atomic<int> calls{0};
  std::atomic<int> open{0};
  std::atomic<int> cancelled{0};
  std::mutex mutex;  // for the metadata and the deadline
  std::multimap<std::string, std::string> lastMetadata;
  std::chrono::system_clock::time_point lastDeadline;
  std::string name;         // returned as trailing metadata x-server
  bool rejectsAll = false;  // ends each call with RESOURCE_EXHAUSTED at once

 private:
  struct Reactor : ::grpc::ServerGenericBidiReactor {
    Service& service;
    ::grpc::GenericCallbackServerContext& context;
    std::string method;
    ::grpc::ByteBuffer in;
    ::grpc::ByteBuffer out;
    long count = 0;      // x-count
    long size = 0;       // x-size
    long failAfter = 0;  // x-after
    long delayMs = 0;    // x-ms
    long received = 0;   // messages
    long receivedBytes = 0;
    long written = 0;  // messages
    int code = 0;
    std::string message;
    bool reading = true;
    bool finished = false;
    std::mutex mutex;
    ::grpc::Alarm alarm;

    Reactor(Service& s, ::grpc::GenericCallbackServerContext* c) : service(s), context(*c) {
      ++service.calls;
      ++service.open;
      method = context.method().substr(context.method().rfind('/') + 1);
      const auto number = [&](const char* key) {
        const auto at = context.client_metadata().find(key);
        return at == context.client_metadata().end()
                   ? 0L
                   : std::stol(std::string(at->second.data(), at->second.size()));
      };
      count = number("x-count");
      size = number("x-size");
      failAfter = number("x-after");
      delayMs = number("x-ms");
      code = static_cast<int>(number("x-code"));
      if (const auto at = context.client_metadata().find("x-words"); at != context.client_metadata().end())
        message.assign(at->second.data(), at->second.size());
      {
        const std::lock_guard<std::mutex> lock(service.mutex);
        service.lastMetadata.clear();
        for (const auto& [key, value] : context.client_metadata())
          service.lastMetadata.emplace(std::string(key.data(), key.size()),
                                       std::string(value.data(), value.size()));
        service.lastDeadline = context.deadline();
      }
      context.AddTrailingMetadata("x-server", service.name);
      for (const auto& [key, value] : context.client_metadata()) {
        const std::string k(key.data(), key.size());
        if (k.rfind("x-back", 0) == 0)
          context.AddTrailingMetadata(k, std::string(value.data(), value.size()));
        if (k.rfind("x-first", 0) == 0)
          context.AddInitialMetadata(k, std::string(value.data(), value.size()));
      }
      if (service.rejectsAll) {
        finish(::grpc::Status(::grpc::StatusCode::RESOURCE_EXHAUSTED, "full"));
      } else if (method == "Fail" && failAfter == 0) {
        finish(failure());
      } else {
        StartRead(&in);
      }
    }
    ::grpc::Status failure() const {
      return ::grpc::Status(static_cast<::grpc::StatusCode>(code), message, "\x01\x02 details");
    }
    void finish(const ::grpc::Status& status) {
      const std::lock_guard<std::mutex> lock(mutex);
      if (std::exchange(finished, true)) return;
      Finish(status);
    }
    void OnReadDone(bool ok) override {
      if (!ok) {
        reading = false;
        if (method == "Hang") return;
        if (method == "Sum") {
          out = toByteBuffer(std::to_string(received) + " " + std::to_string(receivedBytes));
          return StartWriteAndFinish(&out, {}, ::grpc::Status::OK);
        }
        if (method == "Count") return;  // ends after its last message
        return finish(method == "Fail" ? failure() : ::grpc::Status::OK);
      }
      ++received;
      receivedBytes += static_cast<long>(in.Length());
      if (method == "Sum" || method == "Hang") return StartRead(&in);
      if (method == "Slow") {
        return alarm.Set(std::chrono::system_clock::now() + std::chrono::milliseconds(delayMs),
                         [this](bool) { writeResponse(); });
      }
      writeResponse();
    }
    void writeResponse() {
      out = method == "Count" ? toByteBuffer(std::string(static_cast<std::size_t>(size), 'c')) : in;
      ++written;
      StartWrite(&out);
    }
    void OnWriteDone(bool ok) override {
      if (!ok) return finish(::grpc::Status::CANCELLED);
      if (method == "Count") {
        if (written < count) {
          ++written;
          return StartWrite(&out);
        }
        return finish(::grpc::Status::OK);
      }
      if (method == "Fail" && written >= failAfter) return finish(failure());
      StartRead(&in);
    }
    void OnCancel() override {
      ++service.cancelled;
      finish(::grpc::Status::CANCELLED);
    }
    void OnDone() override {
      --service.open;
      delete this;
    }
  };

 public:
  ::grpc::ServerGenericBidiReactor* CreateReactor(::grpc::GenericCallbackServerContext* context) override {
    return new Reactor(*this, context);
  }
};

// A grpc++ server with the fake service. `streams`: concurrent streams a connection; 0: no limit.
struct Server {
  Service service;
  std::string address;
  std::unique_ptr<::grpc::Server> server;
  explicit Server(std::string name = "s", int streams = 0) {
    service.name = std::move(name);
    ::grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort("127.0.0.1:0", ::grpc::InsecureServerCredentials(), &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.RegisterCallbackGenericService(&service);
    builder.SetMaxReceiveMessageSize(-1);
    if (streams > 0) builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS, streams);
    server = builder.BuildAndStart();
    CHECK(server != nullptr);
    address = "127.0.0.1:" + std::to_string(port);
  }
  ~Server() { stop(); }
  void stop() {
    if (server) server->Shutdown(std::chrono::system_clock::now());
    if (server) server->Wait();
    server.reset();
  }
};

// The gRPC service under test, on a thread of its own.
class Broker {
 public:
  explicit Broker(const std::string& hcl) : thread_([this, hcl] { run(hcl); }) { ready_.get_future().wait(); }
  ~Broker() {
    post([this] { loop_->stop(); });
    thread_.join();
  }
  std::string address;  // of the service, "address:port"

  // Runs `work` on the loop's thread and returns its result.
  template <class Work>
  auto runOnLoop(Work work) {
    std::promise<decltype(work(*side_))> promise;
    auto future = promise.get_future();
    post([&] { promise.set_value(work(*side_)); });
    return future.get();
  }
  // Applies an operator file.
  void reload(const std::string& hcl) {
    runOnLoop([&](grpc::GrpcService& side) {
      side.reload(*read(hcl).grpc);
      return 0;
    });
  }
  static config::OperatorConfig read(const std::string& hcl) {
    return config::readOperator(hcl, "test.hcl", config::standalone(7));
  }
  // The current value of a counter, by its printed name.
  std::uint64_t counter(const std::string& name) {
    const auto all = runOnLoop([](grpc::GrpcService& side) { return side.print(""); });
    const auto at = ("\n" + all).find("\n" + name + " ");
    CHECK(at != std::string::npos);
    return std::stoull(all.substr(at + name.size() + 1));
  }

 private:
  void run(const std::string& hcl) {
    net::Loop loop;
    loop_ = &loop;
    broker::Log log(
        [](auto event, auto message) {
          std::fprintf(stderr, "%s %s\n", std::string(event).c_str(), std::string(message).c_str());
        },
        [&] { return loop.now(); });
    grpc::GrpcService side(loop, log, *read(hcl).grpc);
    side_ = &side;
    address = side.front().address().toString();
    std::function<void()> poll = [&] {
      std::vector<std::function<void()>> work;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        work.swap(posted_);
      }
      for (auto& w : work) w();
      loop.after(2 * kMs, poll);
    };
    poll();
    ready_.set_value();
    loop.run();
  }
  void post(std::function<void()> work) {
    const std::lock_guard<std::mutex> lock(mutex_);
    posted_.push_back(std::move(work));
  }
  std::promise<void> ready_;
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;
  net::Loop* loop_ = nullptr;
  grpc::GrpcService* side_ = nullptr;
  std::thread thread_;
};

// One call of any type, as its client sees it.
class Call : public ::grpc::ClientBidiReactor<::grpc::ByteBuffer, ::grpc::ByteBuffer> {
 public:
  ::grpc::ClientContext context;
  std::vector<std::string> received;
  ::grpc::Status status;
  std::atomic<int> ends{0};  // how many times the call ended: must become 1
  Nanos duration = 0;

  Call(const std::string& method, std::vector<std::string> messages, int deadlineMs = 10'000)
      : method_(method), messages_(std::move(messages)) {
    context.set_deadline(std::chrono::system_clock::now() + std::chrono::milliseconds(deadlineMs));
  }
  Call& with(const std::string& key, const std::string& value) {
    context.AddMetadata(key, value);
    return *this;
  }
  // Does not end the request after its messages.
  Call& keepOpen() {
    open_ = true;
    return *this;
  }
  Call& start(::grpc::GenericStub& stub) {
    begin_ = std::chrono::steady_clock::now();
    stub.PrepareBidiStreamingCall(&context, method_, {}, this);
    StartRead(&in_);
    writeNext();
    StartCall();
    return *this;
  }
  Call& run(::grpc::GenericStub& stub) {
    start(stub);
    wait();
    return *this;
  }
  void wait() {
    std::unique_lock<std::mutex> lock(mutex_);
    CHECK(done_.wait_for(lock, std::chrono::seconds(60), [&] { return ends > 0; }));
  }
  void cancel() { context.TryCancel(); }
  std::string trailer(const std::string& key) const {
    const auto& all = context.GetServerTrailingMetadata();
    const auto at = all.find(key);
    return at == all.end() ? "" : std::string(at->second.data(), at->second.size());
  }
  std::size_t count() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return received.size();
  }
  // Waits until so many messages have been received, or the call has ended.
  void waitFor(std::size_t messages) {
    std::unique_lock<std::mutex> lock(mutex_);
    CHECK(done_.wait_for(lock, std::chrono::seconds(60),
                         [&] { return received.size() >= messages || ends > 0; }));
  }

 private:
  void writeNext() {
    if (next_ < messages_.size()) {
      out_ = toByteBuffer(messages_[next_++]);
      return StartWrite(&out_);
    }
    if (!open_) StartWritesDone();
  }
  void OnWriteDone(bool ok) override {
    if (ok) writeNext();
  }
  void OnReadDone(bool ok) override {
    if (!ok) return;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      received.push_back(toText(in_));
    }
    done_.notify_all();
    StartRead(&in_);
  }
  void OnDone(const ::grpc::Status& s) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    status = s;
    duration = std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::steady_clock::now() - begin_)
                   .count();
    ++ends;
    done_.notify_all();
  }
  std::string method_;
  std::vector<std::string> messages_;
  std::size_t next_ = 0;
  bool open_ = false;
  ::grpc::ByteBuffer in_, out_;
  std::chrono::steady_clock::time_point begin_;
  std::mutex mutex_;
  std::condition_variable done_;
};

// A client with a connection of its own, without retries.
struct Client {
  std::unique_ptr<::grpc::GenericStub> stub;
  explicit Client(const std::string& address) {
    ::grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(-1);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    stub = std::make_unique<::grpc::GenericStub>(
        ::grpc::CreateCustomChannel(address, ::grpc::InsecureChannelCredentials(), arguments));
  }
};

// Waits up to 5 s for a condition; whether it held.
inline bool eventually(const std::function<bool()>& holds) {
  for (int i = 0; i < 1000; ++i) {
    if (holds()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

}  // namespace topazweir::test
