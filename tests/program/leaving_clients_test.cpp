// Clients that leave with much still unread, at a front node as a process of its own: nothing is begun for
// them afterwards.
#include <algorithm>
#include <thread>

#include "node_rig.hpp"

namespace calicograde::node {
namespace {

std::string request(const std::string& id, std::size_t body_bytes, int timeout_ms = 3000) {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id +
         "\r\nRequest-Class: chat\r\nRequest-Timeout-Ms: " + std::to_string(timeout_ms) +
         "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x');
}

// Attempts that engines have got, of any leg.
int attempts(const Rig& rig) { return rig.hall.count("POST", "/v1"); }

// Sends requests with what lies behind them, and leaves. `sent_whole`: all of it fits into the buffers
// between.
void send_and_leave(const Rig& rig, const std::string& text) {
  auto client = rig.dial();
  client.set_deadline(clock_now() + Span::millis(500));
  rig.put(client, text);
  // A first read has reached an engine, if any may.
  until([&] { return attempts(rig) > 0; }, Span::millis(300));
}

std::string pipeline(int requests, std::size_t body_bytes) {
  std::string text;
  for (int k = 0; k < requests; ++k) text += request("p" + std::to_string(k), body_bytes);
  return text;
}

// Guards against attempts for a client whose end of the connection lies behind more than the kernel takes in:
// it was not seen, so the decode leg was sent, and requests behind the first one were too.
TEST(LeavingClients, NothingIsBegunForOneThatLeftWithMuchUnread) {
  struct Case {
    int requests;
    std::size_t body_bytes;
  };
  for (const auto& [requests, body_bytes] : {Case{2, 20000},
                                             {2, 60000},
                                             {3, 60000},
                                             {30, 2000},
                                             {100, 2000},
                                             {400, 4000},
                                             {3000, 2},
                                             {20, 200000}}) {
    SCOPED_TRACE(std::to_string(requests) + " of " + std::to_string(body_bytes));
    Rig rig;
    for (auto* engine : rig.engines()) engine->pause(true);
    send_and_leave(rig, pipeline(requests, body_bytes));
    usleep(150000);  // no event: what begins so long after the close is a fault
    const int before = attempts(rig);
    EXPECT_LE(before, 1);
    for (auto* engine : rig.engines()) engine->pause(false);
    EXPECT_TRUE(rig.usual("after"));
    EXPECT_TRUE(rig.all_let_go()) << rig.story();
    const auto all = rig.hall.all();
    const auto for_the_client = std::count_if(all.begin(), all.end(), [](const auto& asked) {
      return asked.target.starts_with("/v1") && asked.id != "after";
    });
    EXPECT_EQ(for_the_client, before);
  }
}

// The id of a request that was still unread when its client left, and comes again, runs once.
TEST(LeavingClients, AnIdThatComesAgainRunsOnce) {
  Rig rig;
  for (auto* engine : rig.engines()) engine->pause(true);
  send_and_leave(rig, pipeline(300, 4000));
  for (auto* engine : rig.engines()) engine->pause(false);
  const auto reply = rig.ask("p1");
  EXPECT_TRUE(reply.status == 200 || reply.status == 409) << reply.status;
  EXPECT_TRUE(rig.usual("after"));
  int reads = 0, decodes = 0;
  for (const auto& asked : rig.hall.all())
    if (asked.target.starts_with("/v1") && asked.id == "p1")
      ++(asked.engine.starts_with("s-r") ? reads : decodes);
  EXPECT_LE(reads, 1);
  EXPECT_LE(decodes, 1);
}

// Who stays is answered in turn, however much it sends at once; what can't be forwarded is refused.
TEST(LeavingClients, OneThatStaysIsAnsweredInTurn) {
  Rig rig;
  auto client = rig.dial();
  constexpr int requests = 200;
  std::thread sender([&] {
    rig.put(client,
            pipeline(requests, 4000) + "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  });
  const std::string got = rig.drain(client);
  sender.join();
  int served = 0, refused = 0;
  for (auto at = got.find("HTTP/1.1 "); at != std::string::npos; at = got.find("HTTP/1.1 ", at + 1)) {
    served += got.compare(at, 12, "HTTP/1.1 200") == 0;
    refused += got.compare(at, 12, "HTTP/1.1 503") == 0;
  }
  EXPECT_EQ(served + refused, requests + 1);
  EXPECT_GT(served, 2);
}

}  // namespace
}  // namespace calicograde::node
