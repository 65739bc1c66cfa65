// Requests for which a front node has no room at the moment.
#include "node_rig.hpp"

namespace calicograde::node {
namespace {

const std::string little_memory = R"({"cores":1.0,"memory_mb":16,"sockets":1024})";
constexpr int enough_to_fill_the_room = 20;

std::string large_request(const std::string& id) {
  const std::string body(250 << 10, 'x');
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id +
         "\r\nRequest-Class: chat\r\nRequest-Timeout-Ms: 2000\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Guards against a connection that ends behind a 503 which did not say so: a client that sends its next
// request on it gets no answer.
TEST(RequestRoom, ARefusalForWantOfRoomSaysThatTheConnectionEnds) {
  Rig rig(little_memory);
  std::vector<net::Stream> half_requests;
  for (int k = 0; k < enough_to_fill_the_room; ++k) {
    half_requests.push_back(rig.dial());
    std::string half = large_request("half" + std::to_string(k));
    half.resize(half.size() / 2);
    rig.put(half_requests.back(), half);
  }
  EXPECT_TRUE(until([&] { return rig.ask("refused", 2000, std::string(250 << 10, 'x')).status == 503; }));
  EXPECT_EQ(rig.raw("GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").substr(0, 12),
            "HTTP/1.1 200");
  int refused = 0;
  for (auto& client : half_requests) {
    const std::string said = rig.drain(client);
    if (!said.starts_with("HTTP/1.1 503")) continue;
    ++refused;
    EXPECT_NE(said.find("connection: close\r\n"), std::string::npos) << said;
  }
  EXPECT_GT(refused, 0);
  EXPECT_TRUE(rig.usual("afterwards"));
}

}  // namespace
}  // namespace calicograde::node
