// Crowds of clients that each keep just inside what one may do: together they must not take a front node, a
// process of its own, over its memory.
#include <algorithm>
#include <atomic>
#include <thread>

#include "node_rig.hpp"

namespace calicograde::node {
namespace {

constexpr int usual_memory_mb = 64, least_memory_mb = 32;
constexpr int crowd = 340;         // near all connections that so many descriptors leave to clients
constexpr int asking_crowd = 300;  // whose requests come again and again
constexpr Span bad_clients_are_owed = Span::millis(3000);

// How much more memory the node has at its highest than when this began.
class MemoryGrowth {
 public:
  explicit MemoryGrowth(const Rig& rig) : rig_(rig), before_kb_(rig.resident_kb()) {
    thread_ = std::thread([this] { watch(); });
  }
  ~MemoryGrowth() { stop(); }
  long most_mb() {
    stop();
    return (most_kb_ - before_kb_) >> 10;
  }

 private:
  void watch() {
    while (!stopping_) {
      most_kb_ = std::max(most_kb_.load(), rig_.resident_kb());
      usleep(5000);
    }
  }
  void stop() {
    stopping_ = true;
    if (thread_.joinable()) thread_.join();
  }

  const Rig& rig_;
  const long before_kb_;
  std::atomic<long> most_kb_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

std::string limits(int memory_mb) {
  return R"({"cores":1.0,"sockets":1024,"memory_mb":)" + std::to_string(memory_mb) + "}";
}

struct CrowdMemory : testing::Test {
  explicit CrowdMemory(int limit_mb = usual_memory_mb) : memory_mb(limit_mb) {}
  // Each sends its text and reads what it is told; all of them at once.
  void send_all(const std::function<std::string(const std::string& id)>& text) {
    for (int k = 0; k < crowd; ++k) {
      clients.push_back(rig.dial());
      rig.put(clients.back(), text("c" + std::to_string(k)));
    }
  }
  void expect_all_answered() {
    for (auto& client : clients) {
      const std::string said = rig.drain(client);
      EXPECT_TRUE(said.empty() || said.starts_with("HTTP/1.1 ")) << said.substr(0, 200);
    }
  }
  void expect_bad_clients_told() {
    const Instant sent = clock_now();
    for (auto& client : clients) {
      const std::string said = rig.drain(client);
      EXPECT_TRUE(said.empty() || said.starts_with("HTTP/1.1 4") || said.starts_with("HTTP/1.1 503"))
          << said.substr(0, 200);
    }
    EXPECT_LT(clock_now() - sent, bad_clients_are_owed);
  }
  void expect_memory_kept() {
    EXPECT_LT(memory.most_mb(), memory_mb);
    // Engines that have answered nobody for a while are tried again.
    int tries = 0;
    EXPECT_TRUE(until([&] { return rig.ask("after" + std::to_string(++tries)).whole; }));
  }

  const int memory_mb;
  Rig rig{limits(memory_mb)};
  MemoryGrowth memory{rig};
  std::vector<net::Stream> clients;
};

std::string request(const std::string& id, const std::string& fields, const std::string& body) {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id +
         "\r\nRequest-Class: chat\r\nRequest-Info: prompt_len=512,max_out=40\r\nRequest-Timeout-Ms: 2000\r\n"
         "Connection: close\r\n" +
         fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string without_its_end(std::string text) {
  text.pop_back();
  return text;
}

std::string very_many_short_fields() {
  constexpr std::size_t most_head_bytes = 15 << 10;
  std::string fields;
  while (fields.size() < most_head_bytes) fields += "a:\r\n";
  return fields;
}

// Guards against heads of very many short fields: parsed, each field took some thirty times its bytes, for as
// long as its request was read and in work.
TEST_F(CrowdMemory, HeadsOfVeryManyShortFieldsThatStopHalfWay) {
  send_all([](const std::string& id) {
    return without_its_end(request(id, very_many_short_fields(), std::string(200, 'x')));
  });
  expect_bad_clients_told();
  expect_memory_kept();
}

TEST_F(CrowdMemory, HeadsOfVeryManyShortFieldsInWork) {
  for (auto* engine : rig.engines()) engine->pause(true);
  send_all([](const std::string& id) { return request(id, very_many_short_fields(), "{}"); });
  expect_all_answered();
  for (auto* engine : rig.engines()) engine->pause(false);
  expect_memory_kept();
}

struct SmallNodeCrowdMemory : CrowdMemory {
  SmallNodeCrowdMemory() : CrowdMemory(least_memory_mb) {}
  static std::string large_request(const std::string& id) {
    constexpr int large_fields = 60;
    std::string fields;
    for (int k = 0; k < large_fields; ++k)
      fields += "X-Context-" + std::to_string(k) + ": " + std::string(185, 'c') + "\r\n";
    return request(id, fields, std::string(15000, 'x'));
  }
};

// Guards against heads without a common bound: each request held five copies of its head.
TEST_F(SmallNodeCrowdMemory, LargeHeadsInWork) {
  const Instant until_asked = clock_now() + Span::millis(2000);
  std::atomic<int> answered = 0;
  std::vector<std::thread> threads;
  for (int k = 0; k < asking_crowd; ++k)
    threads.emplace_back([&, k] {
      for (int n = 0; clock_now() < until_asked; ++n) {
        auto [how, client] = net::Stream::connect(rig.listen, until_asked);
        if (how != net::ConnectEnd::Connected) continue;
        client.set_deadline(clock_now() + Span::millis(20000));
        Rig::put(client, large_request("c" + std::to_string(k) + "-" + std::to_string(n)));
        const std::string said = Rig::drain(client);
        EXPECT_TRUE(said.empty() || said.starts_with("HTTP/1.1 ")) << said.substr(0, 200);
        answered += said.starts_with("HTTP/1.1 200");
      }
    });
  for (auto& thread : threads) thread.join();
  EXPECT_GT(answered, 0);
  expect_memory_kept();
}

TEST_F(SmallNodeCrowdMemory, LargeHeadsWhoseBodiesStopHalfWay) {
  send_all([](const std::string& id) { return without_its_end(large_request(id)); });
  expect_bad_clients_told();
  expect_memory_kept();
}

TEST_F(SmallNodeCrowdMemory, HalfHeads) {
  send_all([](const std::string&) { return "POST / HTTP/1.1\r\nx: " + std::string(15 << 10, 'x'); });
  expect_bad_clients_told();
  expect_memory_kept();
}

TEST_F(CrowdMemory, HalfHeads) {
  send_all([](const std::string&) { return "POST / HTTP/1.1\r\nx: " + std::string(15 << 10, 'x'); });
  expect_bad_clients_told();
  expect_memory_kept();
}

TEST_F(CrowdMemory, LargeRequestsThatStopHalfWay) {
  send_all(
      [](const std::string& id) { return without_its_end(request(id, "", std::string(250 << 10, 'x'))); });
  expect_bad_clients_told();
  expect_memory_kept();
}

TEST_F(CrowdMemory, LargeRequestsInChunksThatStopHalfWay) {
  send_all([](const std::string&) {
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3ffff\r\n" +
           std::string(200 << 10, 'x');
  });
  expect_bad_clients_told();
  expect_memory_kept();
}

TEST_F(CrowdMemory, LargeRequestsInWork) {
  for (auto* engine : rig.engines()) engine->pause(true);
  send_all([](const std::string& id) { return request(id, "", std::string(250 << 10, 'x')); });
  expect_all_answered();
  for (auto* engine : rig.engines()) engine->pause(false);
  expect_memory_kept();
}

// Each answer waits for its client to read the answers before it.
TEST_F(CrowdMemory, LongAnswersReadSlowly) {
  for (auto* engine : rig.engines()) engine->events(2000);
  send_all([](const std::string& id) { return request(id, "", "{}"); });
  expect_all_answered();
  for (auto* engine : rig.engines()) engine->events(3);
  expect_memory_kept();
}

TEST_F(CrowdMemory, PipelinesWhoseAnswersAreNotRead) {
  std::string many;
  for (int k = 0; k < 8000; ++k) many += "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
  for (int k = 0; k < crowd; ++k) {
    clients.push_back(rig.dial());
    clients.back().set_deadline(clock_now() + Span::millis(20));  // what is not taken by then is not sent
    rig.put(clients.back(), many);
  }
  clients.clear();
  expect_memory_kept();
}

// What lies behind a request is read ahead, to see whether its client has left.
TEST_F(CrowdMemory, PipelinesBehindRequestsInWork) {
  for (auto* engine : rig.engines()) engine->pause(true);
  std::string many;
  for (int k = 0; k < 100; ++k) many += request("p" + std::to_string(k), "", std::string(4000, 'x'));
  for (int k = 0; k < crowd; ++k) {
    clients.push_back(rig.dial());
    clients.back().set_deadline(clock_now() + Span::millis(20));  // what is not taken by then is not sent
    rig.put(clients.back(), request("c" + std::to_string(k), "", "{}") + many);
  }
  clients.clear();
  for (auto* engine : rig.engines()) engine->pause(false);
  expect_memory_kept();
}

}  // namespace
}  // namespace calicograde::node
