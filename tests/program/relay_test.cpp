// Messages whose tools the front calls itself, on loopback sockets: stand-in engines that ask for tools, and
// stand-in tool servers. Each test causes one hard case.
#include <gtest/gtest.h>
#include <unistd.h>

#include <thread>

#include "front/links.hpp"
#include "front/messages_front.hpp"
#include "front/tools_front.hpp"
#include "lab/client.hpp"
#include "lab/engine_standin.hpp"
#include "lab/plan.hpp"
#include "lab/roster_standin.hpp"
#include "lab/tool_standin.hpp"
#include "net/clock.hpp"
#include "until.hpp"

namespace calicograde::front {
namespace {

using lab::ToolFaults;
using net::clock_now;

std::string offer(const std::string& name) {
  return R"({"name":")" + name + R"(","description":"d","inputSchema":{"type":"object"}})";
}

struct Rig {
  explicit Rig(const std::function<void(settings::Front&)>& change = {}) {
    plan.routes[0].relay = "look* pay say", plan.routes[0].rounds = 3;
    plan.tools = {{"look_up", Effect::Retriable, Span::millis(3000)},
                  {"pay", Effect::NonRetriable, Span::millis(3000)}};
    for (auto& e : plan.engines) e.token = Span::millis(1);
    for (const auto& o : plan.engines) {
      engines.push_back(std::make_unique<lab::EngineStandin>(o, records, nullptr));
      roster::Line l;
      l.address = engines.back()->address(), l.kind = o.kind, l.zone = o.zone, l.rack = o.rack,
      l.incarnation = "1", l.lifecycle = Lifecycle::Ready;
      roster.change(l);
    }
    std::vector<std::string> at;
    for (int k = 0; k < 2; ++k) {
      boxes.push_back(std::make_unique<lab::ToolStandin>(
          "box" + std::to_string(k), std::vector<std::string>{offer("look_up"), offer("pay")}, k == 0,
          &records));
      at.push_back(net::text_of(boxes.back()->address()));
    }
    std::vector<settings::Fault> faults;
    auto s = settings::load("rig.xml", lab::front_settings(plan, 0, roster.address(), "", at), faults);
    for (const auto& f : faults) ADD_FAILURE() << settings::text_of(f);
    s->stack = 256 << 10;
    s->tools->texts.push_back({"say", "says it shorter", "Say it shorter.", 1, 20});
    if (change) change(*s);
    core = std::make_unique<Core>(*s, log);
    calls = std::make_shared<ToolCalls>(*core);
    std::vector<std::unique_ptr<Protocol>> protocols;
    protocols.push_back(messages_front(*core, calls));
    protocols.push_back(tools_front(*core, calls));
    server = std::make_unique<Server>(*core, std::move(protocols));
    core->start();
    EXPECT_TRUE(core->wait_for_rosters(clock_now() + Span::millis(10000)));
    EXPECT_TRUE(until([&] { return calls->offered().size() == 3; }));
    server->start();
  }
  ~Rig() {
    server->stop(clock_now() + Span::millis(5000));
    server.reset(), calls.reset(), core.reset();
  }
  lab::ClientCall ask(const std::string& mark, const std::string& tools,
                      Span budget = Span::millis(6000)) const {
    lab::ClientCall c;
    c.front = server->addresses()[0], c.front_name = "front-0", c.route = "member-chat", c.mark = mark;
    c.text = "What do my points buy? " + tools, c.budget = budget, c.max_tokens = 500;
    return c;
  }
  lab::ClientEnd call(const std::string& mark, const std::string& tools, Span budget = Span::millis(6000)) {
    return lab::call(ask(mark, tools, budget), records);
  }
  int seen(const std::string& what, const std::string& name = "") {
    int n = 0;
    for (const auto& r : records.all()) n += r.what == what && (name.empty() || r.name == name);
    return n;
  }
  void set(const std::function<void(ToolFaults&)>& change) {
    for (auto& b : boxes) b->set(change);
  }
  bool quiet() {
    return until([&] { return core->counts().open == 0 && calls->open() == 0; });
  }

  lab::Plan plan = lab::small_plan();
  lab::Recorder records;
  log::Log log{"/dev/null", log::Level::Info};
  lab::RosterStandin roster{Span{}, records};
  std::vector<std::unique_ptr<lab::EngineStandin>> engines;
  std::vector<std::unique_ptr<lab::ToolStandin>> boxes;
  std::unique_ptr<Core> core;
  std::shared_ptr<ToolCalls> calls;
  std::unique_ptr<Server> server;
};

TEST(Relay, ToolsAreCalledAndTheirResultsFedBackInOneStream) {
  Rig rig;
  const auto end = rig.call("a", "[call look_up|pay] [call look_up]");
  EXPECT_EQ(end.how, "completed");
  EXPECT_EQ(end.reason, "end_turn");
  EXPECT_EQ(end.results, 3);
  EXPECT_EQ(rig.seen("tool_run", "look_up"), 2);
  EXPECT_EQ(rig.seen("tool_run", "pay"), 1);
  EXPECT_EQ(rig.seen("effect"), 3);  // three rounds, each an inference
  auto whole = rig.ask("b", "[call look_up]");
  whole.stream = false;
  EXPECT_EQ(lab::call(whole, rig.records).how, "completed");
  EXPECT_TRUE(rig.quiet());
}

TEST(Relay, AModelThatAsksWithoutEndIsPaused) {
  Rig rig;
  const auto end = rig.call("a", "[call look_up*]");
  EXPECT_EQ(end.how, "completed");
  EXPECT_EQ(end.reason, "pause_turn");
  EXPECT_EQ(end.results, 3);
}

TEST(Relay, AToolThatIsAnInferenceGoesThroughTheModule) {
  Rig rig;
  const auto end = rig.call("a", "[call say]");
  EXPECT_EQ(end.how, "completed");  // the stand-in's input names no text: the model is told so
  EXPECT_EQ(end.results, 1);
  ToolCalls::Ear nobody;
  Caller caller(1);
  const ToolCalls::Order order{"say", R"({"name":"say","arguments":{"text":"A long tale."}})", false,
                               clock_now() + Span::millis(5000)};
  const int sends = rig.seen("send");
  const auto done = rig.calls->make(rig.calls->begin(caller, order), caller, order, nobody);
  EXPECT_EQ(done.how, ToolCalls::Done::How::Answered);
  EXPECT_NE(done.result.find("w0 w1"), std::string::npos);
  EXPECT_EQ(rig.seen("send"), sends + 2);
  EXPECT_TRUE(rig.quiet());
}

TEST(Relay, ACallOfUnknownOutcomeIsNeitherRepeatedNorHidden) {
  Rig rig;
  rig.set([](ToolFaults& f) { f.die = ToolFaults::Die::MidStream; });
  const auto end = rig.call("a", "[call pay]");
  EXPECT_EQ(end.how, "completed");  // the model is told, and goes on
  EXPECT_EQ(rig.seen("tool_run", "pay"), 1);
  EXPECT_TRUE(rig.quiet());
}

TEST(Relay, AServerThatDiesCostsARetriableToolNothing) {
  Rig rig;
  rig.boxes[0]->set([](ToolFaults& f) { f.die = ToolFaults::Die::BeforeHead; });
  for (int k = 0; k < 6; ++k) {
    const auto end = rig.call("m" + std::to_string(k), "[call look_up]");
    EXPECT_EQ(end.how, "completed");
    EXPECT_EQ(end.results, 1);
  }
  EXPECT_TRUE(rig.quiet());
}

// After a tool has run that must not run twice, a shed reply would invite the client to have it run again.
TEST(Relay, AfterAnEffectNothingIsShed) {
  Rig rig;
  rig.set([](ToolFaults& f) { f.takes = Span::millis(300); });
  std::thread client([&] {
    auto c = rig.ask("a", "[call pay]", Span::millis(2000));
    c.stream = false;
    EXPECT_EQ(lab::call(c, rig.records).how, "errored");
  });
  ASSERT_TRUE(until([&] { return rig.seen("tool_run", "pay") == 1; }));
  for (auto& e : rig.engines)
    e->set([](lab::Faults& f) { f.closed_to = "member-chat"; });  // no engine takes the next round
  client.join();
  EXPECT_TRUE(rig.quiet());
}

TEST(Relay, AClientThatLeavesMidCallLeavesNothingBehind) {
  Rig rig;
  rig.set([](ToolFaults& f) { f.silent = true; });
  auto c = rig.ask("a", "[call look_up]");
  c.leave_after = Span::millis(1500);
  EXPECT_EQ(lab::call(c, rig.records).how, "left");
  EXPECT_TRUE(rig.quiet());
  EXPECT_TRUE(until([&] { return rig.boxes[0]->cancels() + rig.boxes[1]->cancels() >= 1; }));
  rig.set([](ToolFaults& f) { f = {}; });
}

TEST(Relay, ABudgetThatEndsWhileAToolRunsIsOneError) {
  Rig rig;
  rig.set([](ToolFaults& f) { f.silent = true; });
  const auto end = rig.call("a", "[call look_up]", Span::millis(1700));
  EXPECT_EQ(end.how, "errored");
  EXPECT_EQ(rig.seen("final"), 1);
  EXPECT_EQ(rig.seen("after"), 0);
  EXPECT_TRUE(rig.quiet());
  rig.set([](ToolFaults& f) { f = {}; });
}

TEST(Relay, TheClientsOwnToolIsTheClients) {
  Rig rig([](settings::Front& s) { s.routes[0].relay.tools = {"look*"}; });
  // `pay` is not relayed on this route, and nobody offers it: the model is told so.
  const auto end = rig.call("a", "[call pay]");
  EXPECT_EQ(end.how, "completed");
  EXPECT_EQ(rig.seen("tool_run", "pay"), 0);
  EXPECT_EQ(end.results, 1);
}

// Found by a day with tool servers: a kept link went on watching the descriptor of whoever used it last.
TEST(Relay, AKeptLinkWatchesNobody) {
  lab::ToolStandin box("b", {offer("look_up")});
  Links links(Span::millis(10000), 4);
  auto [how, stream] = net::Stream::connect(box.address(), clock_now() + Span::millis(2000));
  http::ClientConnection link(std::move(stream));
  const auto ask = [&] {
    http::Response head;
    std::string body;
    const Instant end = clock_now() + Span::millis(5000);
    return link.ask("POST", "/", {{"host", "x"}}, R"({"jsonrpc":"2.0","id":1,"method":"initialize"})", end) &&
           link.read_head(head, end) == http::BodyEnd::Done &&
           link.read_whole(body, end, 10000) == http::BodyEnd::Done;
  };
  ASSERT_TRUE(ask());
  const net::Wake gone;
  gone.raise();
  link.stream().watch(-1, gone.fd());
  links.give_back(box.address(), std::move(link));
  auto kept = links.take(box.address());
  ASSERT_TRUE(kept);
  link = std::move(*kept);
  EXPECT_TRUE(ask());
}

}  // namespace
}  // namespace calicograde::front
