// Engines that run slowly, before a front node as a process of its own: a slow answer is passed on to its
// end, and a slow reader of a large request delays nobody's final answer.
#include <sys/socket.h>

#include <atomic>

#include "node_rig.hpp"

namespace calicograde::node {
namespace {

constexpr Span late_at_most = Span::millis(500);  // of a final answer, after its time

// Guards against a stream that was cut 4.5 s after its engine's last event; 5 s are allowed.
TEST(SlowEngines, AStreamWithPausesJustInsideTheLimitIsPassedOnToItsEnd) {
  Rig rig;
  rig.writer.pause_between_events(Span::millis(4750)), rig.writer2.pause_between_events(Span::millis(4750));
  const auto reply = rig.ask("slow");
  EXPECT_EQ(reply.status, 200);
  EXPECT_TRUE(reply.whole);
  EXPECT_EQ(reply.body, lab::PlatformEngine::answer(3));
}

// An engine that takes what it is sent a little at a time, and answers nothing.
class SlowReader {
 public:
  int connections() const { return connections_; }
  std::string address() const { return server_.address(); }

 private:
  void serve(net::Stream stream) {
    ++connections_;
    const int little = 4096;
    setsockopt(stream.fd(), SOL_SOCKET, SO_RCVBUF, &little, sizeof little);
    char piece[1024];
    for (boost::system::error_code ec; !ec && !server_.stopping(); usleep(20000)) {
      stream.set_deadline(clock_now() + Span::millis(20000));
      stream.read_some(boost::asio::buffer(piece), ec);
    }
  }
  std::atomic<int> connections_ = 0;
  lab::LoopbackServer server_{[this](net::Stream stream) { serve(std::move(stream)); }};
};

// Engines of one role are replaced by ones that read slowly.
struct SlowRole {
  SlowRole(Rig& rig, const std::string& role) {
    const std::string prefix = role == "prefill" ? "s-r" : "s-w";
    rig.registry.change(prefix + "1", first.address(), role, "Ready");
    rig.registry.change(prefix + "2", second.address(), role, "Ready");
    // The four engines of the start, and these two.
    EXPECT_TRUE(rig.logged("\"version\":7"));
  }
  SlowReader first, second;
};

const std::string large(250 << 10, 'x');

// Guards against a final answer that waits until an engine has taken the rest of a large request.
TEST(SlowEngines, OnesThatReadALargeRequestSlowlyDelayNoFinalAnswer) {
  for (const char* const role : {"prefill", "decode"}) {
    Rig rig;
    const SlowRole slow(rig, role);
    for (const int timeout_ms : {300, 1000, 3000}) {
      const Instant begun = clock_now();
      const auto reply = rig.ask(role + std::to_string(timeout_ms), timeout_ms, large);
      EXPECT_GE(reply.status, 500) << role << timeout_ms;
      EXPECT_LT(clock_now() - begun, Span::millis(timeout_ms) + late_at_most) << role << timeout_ms;
    }
    EXPECT_GT(slow.first.connections() + slow.second.connections(), 0) << role;
  }
}

// The same for a request that a node which was told to end has still to answer.
TEST(SlowEngines, OnesThatReadALargeRequestSlowlyDelayNoFinalAnswerAfterSigterm) {
  for (const char* const role : {"prefill", "decode"}) {
    Rig rig;
    const SlowRole slow(rig, role);
    http::ClientConnection client(rig.dial());
    const Instant begun = clock_now(), end = begun + Span::millis(20000);
    ASSERT_TRUE(client.ask("POST", "/v1/chat/completions", Rig::headers("a1", 3000), large, end));
    EXPECT_TRUE(until([&] { return slow.first.connections() + slow.second.connections() > 0; }));
    kill(rig.pid, SIGTERM);
    http::Response head;
    EXPECT_EQ(client.read_head(head, end), http::BodyEnd::Done) << role;
    EXPECT_GE(head.status, 500) << role;
    EXPECT_LT(clock_now() - begun, Span::millis(3000) + late_at_most) << role;
    EXPECT_EQ(rig.ended(), 0) << role;
  }
}

}  // namespace
}  // namespace calicograde::node
