// Requests whose body has no clear length, at a front node as a process of its own.
#include "node_rig.hpp"

namespace calicograde::node {
namespace {

std::string request(const std::string& id, const std::string& framing, const std::string& body,
                    const std::string& version = "HTTP/1.1") {
  return "POST /v1/chat/completions " + version + "\r\nHost: x\r\nRequest-Id: " + id +
         "\r\nRequest-Class: chat\r\nRequest-Timeout-Ms: 3000\r\n" + framing + "\r\n" + body;
}

// Guards against what stands in a body reaching engines as a request that no client sent (review/2).
TEST(BodyLength, WhereItIsUnclearNothingReachesEnginesAndTheConnectionEnds) {
  Rig rig;
  const std::vector<std::string> unclear = {
      "Transfer-Encoding: gzip\r\n",
      "Transfer-Encoding: identity\r\n",
      "Transfer-Encoding: xchunked\r\n",
      "Transfer-Encoding: chunkedx\r\n",
      "Transfer-Encoding: chunked, gzip\r\n",
      "Transfer-Encoding: gzip, chunked\r\n",
      "Transfer-Encoding: chunked, chunked\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
      "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: ,\r\n",
      "Transfer-Encoding:\r\n",
      "Transfer-Encoding: \"chunked\"\r\n",
      "Transfer-Encoding : chunked\r\n",
      "Transfer-Encoding: identity\r\nContent-Length: 2\r\n",
      "Content-Length: 2\r\nTransfer-Encoding: gzip\r\n",
      "Content-Length:\r\n",
      "Content-Length: 2, 2\r\n",
      "Content-Length: +2\r\n",
      "Content-Length: 0x2\r\n",
      "Content-Length : 2\r\n",
  };
  int number = 0;
  for (const auto& framing : unclear) {
    const std::string inner = request("inner" + std::to_string(++number), "Content-Length: 2\r\n", "{}");
    const std::string said = rig.raw(request("outer" + std::to_string(number), framing, inner));
    EXPECT_TRUE(said.empty() || said.starts_with("HTTP/1.1 4")) << framing << said;
    EXPECT_EQ(said.find("HTTP/1.1 4", 1), std::string::npos) << "a second answer: " << framing << said;
  }
  const std::string old = request("old", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n", "HTTP/1.0");
  EXPECT_EQ(rig.raw(old).substr(0, 10), "HTTP/1.1 4");
  for (const auto& asked : rig.hall.all())
    ADD_FAILURE() << asked.engine << ' ' << asked.target << ' ' << asked.id;
  EXPECT_TRUE(rig.usual("ok"));
}

TEST(BodyLength, ChunksAloneAreServedWithTheBodyUnchanged) {
  Rig rig;
  for (const std::string coding : {"chunked", "Chunked"}) {
    const std::string said =
        rig.raw(request(coding, "Connection: close\r\nTransfer-Encoding: " + coding + "\r\n",
                        "1\r\n{\r\n1\r\n}\r\n0\r\n\r\n"));
    EXPECT_EQ(said.substr(0, 12), "HTTP/1.1 200") << coding;
  }
  for (const auto& asked : rig.hall.all()) EXPECT_EQ(asked.body, asked.target.starts_with("/v1") ? "{}" : "");
}

}  // namespace
}  // namespace calicograde::node
