// The second front on loopback sockets, against stand-in tool servers: each test causes one hard case.
#include "front/tools_front.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <thread>

#include "lab/tool_standin.hpp"
#include "net/clock.hpp"
#include "rpc/message.hpp"
#include "until.hpp"

namespace calicograde::front {
namespace {

using lab::ToolFaults;
using lab::ToolStandin;
using net::clock_now;

const std::string look = R"({"name":"look_up","inputSchema":{"type":"object"}})";
const std::string look_otherwise = R"({"name":"look_up","inputSchema":{"type":"string"}})";
const std::string pay =
    R"({"name":"pay","inputSchema":{"type":"object"},"annotations":{"idempotentHint":true,"readOnlyHint":true}})";

struct Answer {
  int status = 0;
  std::string session, body;
  std::vector<http::ServerEvent> events;
};

struct Rig {
  explicit Rig(std::vector<std::vector<std::string>> offers) {
    std::string servers;
    for (const auto& tools : offers) {
      boxes.push_back(
          std::make_unique<ToolStandin>("box" + std::to_string(boxes.size()), tools, boxes.size() % 2 == 0));
      servers += "<server name=\"box" + std::to_string(boxes.size()) + "\" address=\"" +
                 net::text_of(boxes.back()->address()) + "\" calls=\"8\"/>";
    }
    char file[] = "/tmp/calicograde-roster-XXXXXX";
    ::close(mkstemp(file));
    roster = file;
    std::vector<settings::Fault> faults;
    auto s = settings::load(
        "rig.xml",
        R"(<calicograde version="1"><front name="f"><listen address="127.0.0.1:0"/></front>
      <pool name="main"><kind name="r" stage="both"/><roster file=")" +
            roster + R"("/></pool>
      <route name="m" model="m" pool="main" first-token-target="1s" route-timeout="2s" effect="retriable"/>
      <tools list-every="50ms"><origin allow="https://club.example.org"/>)" +
            servers +
            R"(<tool name="look*" effect="retriable" time-out="3s" at-once="4" waiting="2"/><tool name="pay" effect="non-retriable" time-out="3s"/></tools></calicograde>)",
        faults);
    for (const auto& f : faults) ADD_FAILURE() << settings::text_of(f);
    s->stack = 256 << 10;
    core = std::make_unique<Core>(*s, log);
    std::vector<std::unique_ptr<Protocol>> protocols;
    protocols.push_back(tools_front(*core, std::make_shared<ToolCalls>(*core)));
    server = std::make_unique<Server>(*core, std::move(protocols));
    core->start();
    server->start();
    session = begin();
    EXPECT_TRUE(until([&] {
      return ask(R"({"jsonrpc":"2.0","id":)" + std::to_string(++ids) + R"(,"method":"tools/list"})")
                 .body.find("look_up") != std::string::npos;
    }));
  }
  ~Rig() {
    server->stop(clock_now() + Span::millis(5000));
    server.reset(), core.reset();
    ::unlink(roster.c_str());
  }
  std::string begin(const std::string& capabilities = "{}") {
    const auto a = send(
        "POST",
        R"({"jsonrpc":"2.0","id":0,"method":"initialize","params":{"protocolVersion":"2025-06-18","capabilities":)" +
            capabilities + R"(,"clientInfo":{"name":"t","version":"1"}}})",
        {});
    EXPECT_EQ(a.status, 200);
    EXPECT_EQ(send("POST", R"({"jsonrpc":"2.0","method":"notifications/initialized"})",
                   {{"mcp-session-id", a.session}})
                  .status,
              202);
    return a.session;
  }
  // `events_most`: hangs up after so many events.
  Answer send(const std::string& method, const std::string& body, http::Headers headers,
              std::size_t events_most = 1000) {
    Answer out;
    auto [how, stream] = net::Stream::connect(server->addresses()[0], clock_now() + Span::millis(5000));
    http::ClientConnection link(std::move(stream));
    const Instant end = clock_now() + Span::millis(15000);
    headers.emplace_back("accept", "application/json, text/event-stream"), headers.emplace_back("host", "f");
    http::Response head;
    if (!link.ask(method, "/mcp", headers, body, end) || link.read_head(head, end) != http::BodyEnd::Done)
      return out;
    out.status = head.status, out.session = http::header(head.headers, "mcp-session-id");
    http::EventReader reader;
    const bool streams = http::header(head.headers, "content-type") == "text/event-stream";
    for (auto more = http::BodyEnd::More; more == http::BodyEnd::More && out.events.size() < events_most;) {
      std::string piece;
      more = link.read_body(piece, end);
      if (streams) reader.feed(piece, out.events);
      out.body += piece;
    }
    return out;
  }
  Answer ask(const std::string& body, std::size_t events_most = 1000) {
    return send("POST", body, {{"mcp-session-id", session}}, events_most);
  }
  Answer call(const std::string& tool, const std::string& meta = "", std::size_t events_most = 1000) {
    return ask(R"({"jsonrpc":"2.0","id":)" + std::to_string(++ids) +
                   R"(,"method":"tools/call","params":{"name":")" + tool + "\"" + meta + "}}",
               events_most);
  }
  int runs() const {
    int n = 0;
    for (const auto& b : boxes) n += b->runs();
    return n;
  }
  void set(const std::function<void(ToolFaults&)>& change) {
    for (auto& b : boxes) b->set(change);
  }

  log::Log log{"/dev/null", log::Level::Info};
  std::vector<std::unique_ptr<ToolStandin>> boxes;
  std::string roster, session;
  std::unique_ptr<Core> core;
  std::unique_ptr<Server> server;
  int ids = 0;
};

bool errored(const Answer& a, int code) {
  return a.body.find("\"code\":" + std::to_string(code)) != std::string::npos;
}
int responses(const Answer& a) {
  int n = 0;
  for (auto at = a.body.find("\"result\":"); at != std::string::npos; at = a.body.find("\"result\":", at + 1))
    ++n;
  return n;
}

TEST(ToolsFront, CallsAreAnsweredByEitherKindOfServer) {
  Rig rig({{look, pay}, {look}});
  for (int k = 0; k < 6; ++k) EXPECT_EQ(responses(rig.call("look_up")), 1);
  EXPECT_TRUE(errored(rig.call("nothing"), rpc::bad_params));
  EXPECT_TRUE(
      errored(rig.ask(R"({"jsonrpc":"2.0","id":900,"method":"resources/list"})"), rpc::unknown_method));
}

TEST(ToolsFront, SessionsOriginsAndMessagesAreChecked) {
  Rig rig({{look}});
  EXPECT_EQ(rig.send("POST", R"({"jsonrpc":"2.0","id":1,"method":"ping"})", {}).status, 400);
  EXPECT_EQ(rig.send("POST", R"({"jsonrpc":"2.0","id":1,"method":"ping"})", {{"mcp-session-id", "x"}}).status,
            404);
  EXPECT_EQ(rig.send("POST", "{}", {{"origin", "https://evil.example.org"}}).status, 403);
  EXPECT_EQ(rig.send("POST", R"({"jsonrpc":"2.0","id":77,"method":"ping"})",
                     {{"origin", "https://club.example.org"}, {"mcp-session-id", rig.session}})
                .status,
            200);
  EXPECT_TRUE(
      errored(rig.ask(R"({"jsonrpc":"2.0","id":77,"method":"ping"})"), rpc::invalid_message));  // used before
  EXPECT_TRUE(errored(rig.ask("{"), rpc::parse_error));
  EXPECT_EQ(rig.send("POST", "{}", {{"mcp-protocol-version", "1999-01-01"}}).status, 400);
  EXPECT_EQ(rig.send("DELETE", "", {{"mcp-session-id", rig.session}}).status, 204);
  EXPECT_EQ(rig.ask(R"({"jsonrpc":"2.0","id":78,"method":"ping"})").status, 404);
}

TEST(ToolsFront, AServerThatDiesCostsARetriableCallNothing) {
  Rig rig({{look}, {look}});
  rig.boxes[0]->set([](ToolFaults& f) { f.die = ToolFaults::Die::BeforeHead; });
  for (int k = 0; k < 4; ++k) EXPECT_EQ(responses(rig.call("look_up")), 1);
  rig.boxes[0]->set([](ToolFaults& f) { f.die = ToolFaults::Die::MidStream; });
  for (int k = 0; k < 4; ++k) EXPECT_EQ(responses(rig.call("look_up")), 1);
}

TEST(ToolsFront, ANonRetriableCallRunsOnceAndItsOutcomeIsSaidToBeUnknown) {
  Rig rig({{look, pay}, {look, pay}});
  for (const auto die : {ToolFaults::Die::BeforeHead, ToolFaults::Die::MidStream}) {
    rig.set([&](ToolFaults& f) { f.die = die; });
    const int before = rig.runs();
    EXPECT_TRUE(errored(rig.call("pay"), rpc::outcome_unknown));
    EXPECT_EQ(rig.runs(), before + 1);
  }
  // Turned away before it began: it may go elsewhere, and the client is told that it did not run if nobody
  // takes it.
  rig.set([](ToolFaults& f) { f = {}, f.turns_away = true; });
  EXPECT_TRUE(errored(rig.call("pay"), rpc::busy));
}

TEST(ToolsFront, ProgressComesUnderTheClientsTokenAndNeverAfterTheAnswer) {
  Rig rig({{look}});
  rig.set([](ToolFaults& f) { f.progress = 3, f.late_progress = true; });
  const auto a = rig.call("look_up", R"(,"_meta":{"progressToken":"mine"})");
  ASSERT_EQ(a.events.size(), 4u) << a.body;
  for (std::size_t k = 0; k < 3; ++k)
    EXPECT_NE(a.events[k].data.find("\"progressToken\":\"mine\""), std::string::npos) << a.events[k].data;
  EXPECT_NE(a.events[3].data.find("\"result\""), std::string::npos);
}

TEST(ToolsFront, AClientThatLeftTakesItsStreamUpWithNothingLostOrRepeated) {
  Rig rig({{look}});
  rig.set([](ToolFaults& f) { f.progress = 20, f.takes = Span::millis(100); });
  const auto first = rig.call("look_up", R"(,"_meta":{"progressToken":5})", 3);
  ASSERT_EQ(first.events.size(), 3u);
  const auto rest =
      rig.send("GET", "", {{"mcp-session-id", rig.session}, {"last-event-id", first.events[2].id}});
  ASSERT_EQ(first.events.size() + rest.events.size(), 21u);
  std::vector<http::ServerEvent> all = first.events;
  all.insert(all.end(), rest.events.begin(), rest.events.end());
  for (int k = 1; k <= 20; ++k)
    EXPECT_NE(all[static_cast<std::size_t>(k - 1)].data.find("\"progress\":" + std::to_string(k) + "}"),
              std::string::npos);
  EXPECT_NE(all[20].data.find("\"result\""), std::string::npos);
  EXPECT_EQ(rig.send("GET", "", {{"mcp-session-id", rig.session}, {"last-event-id", "99-1"}}).status, 404);
}

TEST(ToolsFront, ACancelEndsTheCallAndReachesTheServer) {
  Rig rig({{look}});
  rig.set([](ToolFaults& f) { f.silent = true; });
  std::thread client([&] {
    EXPECT_EQ(
        responses(rig.ask(R"({"jsonrpc":"2.0","id":"c","method":"tools/call","params":{"name":"look_up"}})")),
        0);
  });
  ASSERT_TRUE(until([&] { return rig.runs() == 1; }));
  EXPECT_EQ(
      rig.ask(R"({"jsonrpc":"2.0","method":"notifications/cancelled","params":{"requestId":"c"}})").status,
      202);
  client.join();
  EXPECT_TRUE(until([&] { return rig.boxes[0]->cancels() == 1; }));
  rig.set([](ToolFaults& f) { f.silent = false; });
}

TEST(ToolsFront, AServerAsksBackOnlyWhatTheClientOffers) {
  Rig rig({{look}});
  rig.set([](ToolFaults& f) { f.asks_back = "sampling/createMessage", f.takes = Span::millis(50); });
  EXPECT_EQ(rig.call("look_up").events.size(), 1u);
  ASSERT_TRUE(until([&] { return rig.boxes[0]->told_back().size() == 1; }));
  EXPECT_NE(rig.boxes[0]->told_back()[0].find("\"code\":-32601"), std::string::npos);
  rig.session = rig.begin(R"({"sampling":{}})");
  const auto a = rig.call("look_up");
  ASSERT_EQ(a.events.size(), 2u);
  EXPECT_NE(a.events[0].data.find("\"id\":\"back-1\""), std::string::npos);
  EXPECT_EQ(rig.ask(R"({"jsonrpc":"2.0","id":"back-1","result":{"role":"assistant"}})").status, 202);
  EXPECT_NE(rig.boxes[0]->told_back().back().find("\"id\":77"), std::string::npos);
  EXPECT_EQ(rig.ask(R"({"jsonrpc":"2.0","id":"back-1","result":{}})").status, 400);  // answered once
}

TEST(ToolsFront, TwoSchemasUnderOneNameAreNotMixed) {
  Rig rig({{look}, {look_otherwise}});
  for (int k = 0; k < 4; ++k) EXPECT_EQ(responses(rig.call("look_up")), 1);
  EXPECT_EQ(rig.boxes[1]->runs(), 0);
}

TEST(ToolsFront, NonsenseFromAServerIsNotPassedOn) {
  Rig rig({{look}});
  rig.set([](ToolFaults& f) { f.garbage = true; });
  EXPECT_TRUE(errored(rig.call("look_up"), rpc::outcome_unknown));
}

}  // namespace
}  // namespace calicograde::front
