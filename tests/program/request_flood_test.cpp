// One client that sends small requests on its connection at full speed, before a front node as a process of
// its own: others are answered in time, no memory of it stays, and no id that ran is forgotten for it.
#include <atomic>
#include <functional>
#include <thread>

#include "node_rig.hpp"

namespace calicograde::node {
namespace {

constexpr Span first_token_aim = Span::millis(2000);  // of the class that the rig serves
constexpr long most_growth_kb = 16 << 10;
constexpr int requests_at_once = 50;
constexpr Span one_connection_lasts = Span::millis(2000);

std::string request(int number, int timeout_ms, const std::string& info = "") {
  const std::string name = std::to_string(number);
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nRequest-Id: f" + name +
         "\r\nRequest-Class: chat\r\nAffinity-Key: k" + name + "\r\nRequest-Info: prefix=" + name + info +
         "\r\nRequest-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\nContent-Length: 2\r\n\r\n{}";
}

// Sends texts, and reads what it is told, for as long as it lives; anew where its connection ends.
class Flood {
 public:
  Flood(const Rig& rig, std::function<std::string(int)> text) : rig_(rig), text_(std::move(text)) {
    thread_ = std::thread([this] {
      while (!over_) send_on_one_connection();
    });
  }
  ~Flood() {
    over_ = true;
    thread_.join();
  }
  long sent() const { return sent_; }

 private:
  void send_on_one_connection() {
    auto connection = rig_.dial();
    connection.set_deadline(clock_now() + one_connection_lasts);
    std::thread reader([&] { rig_.drain(connection); });
    while (!over_ && send_some(connection)) {}
    connection.shut();
    reader.join();
  }
  bool send_some(net::Stream& connection) {
    std::string texts;
    for (int k = 0; k < requests_at_once; ++k) texts += text_(next_++);
    sent_ += requests_at_once;
    return rig_.put(connection, texts);
  }

  const Rig& rig_;
  const std::function<std::string(int)> text_;
  int next_ = 0;
  std::atomic<bool> over_ = false;
  std::atomic<long> sent_ = 0;
  std::thread thread_;
};

struct FloodKind {
  const char* name;
  std::function<std::string(int)> text;
};

void PrintTo(const FloodKind& kind, std::ostream* out) { *out << kind.name; }

std::vector<FloodKind> kinds() {
  return {
      {"ready", [](int) { return "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"; }},
      {"unknown_path",
       [](int number) { return "GET /" + std::to_string(number) + " HTTP/1.1\r\nHost: x\r\n\r\n"; }},
      {"without_id",
       [](int) { return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"; }},
      {"no_time", [](int number) { return request(number, 1); }},
      {"long_prompt",
       [](int number) { return request(number, 3000, ",prefix_len=5000000,prompt_len=99999999"); }},
      {"sound", [](int number) { return request(number, 3000); }},
  };
}

class RequestFlood : public testing::TestWithParam<FloodKind> {};

TEST_P(RequestFlood, OthersAreAnsweredInTimeAndNoMemoryOfItStays) {
  Rig rig;
  EXPECT_TRUE(rig.usual("before"));
  const long before_kb = rig.resident_kb();
  const Flood flood(rig, GetParam().text);
  for (int k = 0; k < 40; ++k) {
    const Instant begun = clock_now();
    EXPECT_TRUE(rig.usual("beside" + std::to_string(k)));
    EXPECT_LT(clock_now() - begun, first_token_aim);
  }
  EXPECT_GT(flood.sent(), requests_at_once);
  EXPECT_LT(rig.resident_kb() - before_kb, most_growth_kb);
}

INSTANTIATE_TEST_SUITE_P(Kinds, RequestFlood, testing::ValuesIn(kinds()),
                         [](const auto& kind) { return std::string(kind.param.name); });

// Guards against ids that a flood of other ids pushes out: requests that reach no engine leave none behind.
TEST(RequestFloodIds, AFloodOfOtherIdsPushesNoneOutThatRan) {
  Rig rig;
  EXPECT_TRUE(rig.usual("first"));
  auto flood = rig.dial();
  constexpr int requests = 12000;
  std::thread sender([&] {
    for (int k = 0; k < requests; ++k)
      if (!rig.put(flood, request(k, 1))) break;
    rig.put(flood, "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  });
  rig.drain(flood);
  sender.join();
  EXPECT_EQ(rig.ask("first").status, 409);
}

}  // namespace
}  // namespace calicograde::node
