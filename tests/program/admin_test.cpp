// The admin interface and the fleet's tool against real fronts on loopback, and against fronts that
// misbehave. Events are awaited.
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <atomic>
#include <fstream>
#include <thread>

#include "fleet/run.hpp"
#include "front/admin_front.hpp"
#include "front/messages_front.hpp"
#include "haproxy/import.hpp"
#include "keep/store.hpp"
#include "lab/client.hpp"
#include "lab/engine_standin.hpp"
#include "lab/plan.hpp"
#include "lab/roster_standin.hpp"
#include "net/clock.hpp"
#include "until.hpp"

namespace calicograde::front {
namespace {

using fleet::Result;
using net::clock_now;

constexpr Span each = Span::millis(5000);

std::string folder() {
  const std::string path = testing::TempDir() + "admin-" + std::to_string(getpid());
  ::mkdir(path.c_str(), 0700);
  return path;
}

// A front with its admin interface, in this process.
struct AFront {
  AFront(const lab::Plan& plan, int number, const std::string& roster, const std::string& token = "") {
    std::vector<settings::Fault> faults;
    settings = settings::load("rig.xml", lab::front_settings(plan, number, roster, ""), faults);
    settings->stack = 256 << 10;
    state = folder() + "/" + settings->name + ".json";
    start(token);
  }
  ~AFront() { end(); }
  void start(const std::string& token = "") {
    core = std::make_unique<Core>(*settings, log);
    std::vector<std::unique_ptr<Protocol>> protocols;
    protocols.push_back(messages_front(*core));
    server = std::make_unique<Server>(*core, std::move(protocols));
    core->start();
    EXPECT_TRUE(core->wait_for_rosters(clock_now() + Span::millis(10000)));
    draining = std::make_unique<Draining>(
        *core, [this] { return server->in_work(); }, state);
    std::vector<std::unique_ptr<Protocol>> operators;
    operators.push_back(admin_front(*core, *draining, *server, token));
    admin = std::make_unique<Server>(*core, std::move(operators),
                                     *net::parse_address("unix:" + folder() + "/" + settings->name + ".sock"),
                                     64);
    admin->start();
    server->start();
    target.name = settings->name, target.admin = admin->addresses()[0];
  }
  void end() {
    if (!server) return;
    admin.reset(), draining.reset();
    server->stop(clock_now() + Span::millis(5000));
    server.reset(), core.reset();
  }
  std::string drain_state() {
    const auto a = fleet::ask(target, "GET", "/admin/v1/drain", {}, clock_now() + each);
    return a.result == Result::Done ? a.body["drain"]["state"].get<std::string>() : fleet::word(a.result);
  }
  std::optional<settings::Front> settings;
  log::Log log{"/dev/null", log::Level::Info};
  std::unique_ptr<Core> core;
  std::unique_ptr<Server> server, admin;
  std::unique_ptr<Draining> draining;
  std::string state;
  fleet::Front target;
};

struct Town {
  explicit Town(int fronts, lab::Plan p = lab::small_plan()) : plan(std::move(p)) {
    plan.fronts = fronts;
    for (const auto& o : plan.engines) {
      engines.push_back(std::make_unique<lab::EngineStandin>(o, records, nullptr));
      auto& e = *engines.back();
      roster::Line l;
      l.address = e.address(), l.kind = e.options().kind, l.zone = e.options().zone,
      l.rack = e.options().rack;
      l.incarnation = e.incarnation();
      roster.change(l);
    }
    for (int k = 0; k < fronts; ++k) all.push_back(std::make_unique<AFront>(plan, k, roster.address()));
  }
  lab::ClientCall call(int front, const std::string& mark) const {
    lab::ClientCall c;
    c.front = all[static_cast<std::size_t>(front)]->server->addresses()[0], c.front_name = "front";
    c.route = "member-chat", c.mark = mark, c.text = "What do my points buy?", c.budget = Span::millis(8000);
    return c;
  }
  lab::Plan plan;
  lab::Recorder records;
  lab::RosterStandin roster{Span{}, records};
  std::vector<std::unique_ptr<lab::EngineStandin>> engines;
  std::vector<std::unique_ptr<AFront>> all;
};

TEST(Admin, TellsOfStateEnginesInferencesAndSettings) {
  Town town(1);
  auto& f = *town.all[0];
  ASSERT_EQ(lab::call(town.call(0, "a"), town.records).how, "completed");
  const auto get = [&](const std::string& path) {
    return fleet::ask(f.target, "GET", "/admin/v1" + path, {}, clock_now() + each);
  };
  const auto state = get("/state");
  ASSERT_EQ(state.result, Result::Done) << state.what;
  EXPECT_EQ(state.body["settings_digest"], f.settings->digest);
  EXPECT_EQ(state.body["drain"]["state"], "serving");
  EXPECT_EQ(state.body["pools"][0]["halls"][0]["state"], "up");
  const auto engines = get("/engines");
  ASSERT_EQ(engines.result, Result::Done) << engines.what;
  ASSERT_EQ(engines.body["engines"].size(), town.engines.size());
  EXPECT_EQ(engines.body["engines"][0]["judged"], "trusted");
  EXPECT_EQ(get("/settings").body["settings"], f.settings->text);
  EXPECT_EQ(get("/latency").body["routes"]["member-chat"]["outcomes"]["completed"], 1);
  std::thread one([&] {
    auto c = town.call(0, "b");
    lab::call(c, town.records);
  });
  EXPECT_TRUE(until([&] { return !get("/inferences").body["inferences"].empty(); }));
  one.join();
  EXPECT_EQ(get("/nowhere").result, Result::Refused);
}

TEST(Admin, HoldsEnginesAndHallsOutByHandAndCountsFronts) {
  Town town(1);
  auto& f = *town.all[0];
  const auto post = [&](const std::string& path, const nlohmann::ordered_json& body) {
    return fleet::ask(f.target, "POST", "/admin/v1" + path, body, clock_now() + each);
  };
  const std::string held = town.engines[0]->address();
  ASSERT_EQ(post("/hold-out", {{"engine", held}, {"out", true}}).result, Result::Done);
  for (int k = 0; k < 6; ++k)
    EXPECT_EQ(lab::call(town.call(0, "h" + std::to_string(k)), town.records).how, "completed");
  for (const auto& r : town.records.all()) EXPECT_FALSE(r.what == "send" && r.where == held);
  const auto list = fleet::ask(f.target, "GET", "/admin/v1/engines", {}, clock_now() + each);
  for (const auto& e : list.body["engines"])
    EXPECT_EQ(e["judged"], e["address"] == held ? "held out" : "trusted");
  EXPECT_EQ(post("/hold-out", {{"engine", held}, {"out", false}}).result, Result::Done);
  EXPECT_EQ(post("/hold-out", {{"hall", "nowhere"}, {"out", true}}).result, Result::Refused);
  EXPECT_EQ(post("/hold-out", {{"hall", "hall-0"}, {"out", true}}).result, Result::Done);
  EXPECT_EQ(post("/hold-out", {{"hall", "hall-0"}, {"out", false}}).result, Result::Done);
  EXPECT_EQ(post("/fronts", {{"count", 200}}).body["acting"], 200);
  EXPECT_EQ(post("/fronts", {{"count", 0}}).result, Result::Refused);
  EXPECT_EQ(post("/log-level", {{"level", "debug"}}).result, Result::Done);
  EXPECT_EQ(post("/log-level", {{"level", "loud"}}).result, Result::Refused);
  EXPECT_EQ(post("/drain", {{"limit_ms", "soon"}}).result, Result::Refused);
}

TEST(Admin, WrongTokensAndVersionsAreRefused) {
  Town town(1);
  auto& f = *town.all[0];
  f.end();
  f.start("a-token-of-some-length");
  EXPECT_EQ(fleet::ask(f.target, "GET", "/admin/v1/state", {}, clock_now() + each).result, Result::Refused);
  f.target.token_file = folder() + "/token";
  std::ofstream(f.target.token_file) << "a-token-of-some-lengtX\n";
  EXPECT_EQ(fleet::ask(f.target, "GET", "/admin/v1/state", {}, clock_now() + each).result, Result::Refused);
  std::ofstream(f.target.token_file) << "a-token-of-some-length\n";
  EXPECT_EQ(fleet::ask(f.target, "GET", "/admin/v1/state", {}, clock_now() + each).result, Result::Done);
  EXPECT_EQ(fleet::ask(f.target, "GET", "/admin/v2/state", {}, clock_now() + each).result, Result::Refused);
  f.target.name = "another";
  EXPECT_EQ(fleet::ask(f.target, "GET", "/admin/v1/state", {}, clock_now() + each).result, Result::Unknown);
}

// Twenty fronts under load, half of them drained: nothing new is sent by one after its drain reports done,
// and every call has one final answer.
TEST(Admin, HalfOfTwentyDrainedUnderLoadTakeNothingNewAndLoseNothing) {
  constexpr int fronts = 20;
  Town town(fronts);
  std::atomic<bool> over = false;
  std::atomic<int> calls = 0, bad = 0, shed = 0;
  std::vector<std::thread> clients;
  for (int t = 0; t < 10; ++t)
    clients.emplace_back([&, t] {
      for (int k = 0; !over; ++k) {
        auto c = town.call((t * 2 + k % 2) % fronts, std::to_string(t) + "-" + std::to_string(k));
        c.max_tokens = 6;
        const auto end = lab::call(c, town.records);
        ++calls;
        if (end.how == "shed") ++shed;
        else if (end.how != "completed") ++bad;
      }
    });
  EXPECT_TRUE(until([&] { return calls > 20; }));
  std::vector<fleet::Front> targets;
  std::vector<fleet::Target> names;
  for (int k = 0; k < fronts; k += 2) {
    targets.push_back(town.all[static_cast<std::size_t>(k)]->target);
    names.push_back({targets.back().name, ""});
  }
  fleet::Rules rules;
  rules.at_once = 4, rules.takes_out = true;
  fleet::Campaign campaign(rules, names, {{"", fronts}}, {});
  std::map<std::string, Instant> done;
  fleet::run(
      campaign, targets,
      [](const fleet::Front& f, Instant until) {
        return fleet::drain(f, {"test", Span::millis(20000), true, false, true}, each, until);
      },
      Span::millis(30000), nullptr,
      [&](std::size_t k, const fleet::Answer& a) {
        if (a.result == Result::Done) done[targets[k].name] = clock_now();
      });
  EXPECT_EQ(done.size(), targets.size());
  EXPECT_EQ(fleet::exit_code(campaign), 0);
  const int then = calls;
  EXPECT_TRUE(until([&] { return calls > then + 40; }));
  over = true;
  for (auto& c : clients) c.join();
  EXPECT_EQ(bad, 0);
  EXPECT_GT(shed, 0);
  for (const auto& r : town.records.all()) {
    if (r.what != "send") continue;
    const auto it = done.find(r.name.substr(0, r.name.find('.')));
    EXPECT_TRUE(it == done.end() || r.at <= it->second) << r.name;
  }
  // Taken back, it serves again.
  auto& first = *town.all[0];
  EXPECT_EQ(fleet::ask(first.target, "DELETE", "/admin/v1/drain", {{"number", 9}}, clock_now() + each).result,
            Result::Refused);
  EXPECT_EQ(fleet::ask(first.target, "DELETE", "/admin/v1/drain", {{"number", 1}}, clock_now() + each).result,
            Result::Done);
  EXPECT_EQ(lab::call(town.call(0, "again"), town.records).how, "completed");
}

TEST(Admin, ADrainWaitsForAStreamIsCutAtItsLimitAndStandsThroughARestart) {
  auto plan = lab::small_plan();
  for (auto& e : plan.engines) e.first_token = Span::millis(30), e.token = Span::millis(2000);
  Town town(1, plan);
  auto& f = *town.all[0];
  std::string how;
  std::thread client([&] {
    auto c = town.call(0, "long");
    c.max_tokens = 1000;
    how = lab::call(c, town.records).how;
  });
  const auto streams = [&] {
    for (const auto& r : town.records.all())
      if (r.what == "first") return true;
    return false;
  };
  EXPECT_TRUE(until(streams));
  const auto ask = [&](const char* by, int limit, bool remember) {
    return fleet::ask(f.target, "POST", "/admin/v1/drain",
                      {{"by", by}, {"limit_ms", limit}, {"remember", remember}}, clock_now() + each);
  };
  ASSERT_EQ(ask("a", 60000, true).result, Result::Done);
  EXPECT_EQ(f.drain_state(), "draining");
  EXPECT_EQ(lab::call(town.call(0, "late"), town.records).how, "shed");
  const auto second = ask("b", 300, false);  // two tools at once: one drain, the earlier limit
  EXPECT_EQ(second.body["drain"]["number"], 1);
  EXPECT_EQ(second.body["drain"]["by"], "a");
  EXPECT_TRUE(until([&] { return f.drain_state() == "drained"; }));
  client.join();
  EXPECT_EQ(how, "errored");
  f.end();
  f.start();
  EXPECT_EQ(f.drain_state(), "drained");
  EXPECT_EQ(lab::call(town.call(0, "after"), town.records).how, "shed");
  EXPECT_EQ(fleet::ask(f.target, "DELETE", "/admin/v1/drain", {}, clock_now() + each).result, Result::Done);
  f.end();
  f.start();
  EXPECT_EQ(f.drain_state(), "serving");
  // What cannot be read was a drain all the same.
  f.end();
  std::ofstream(f.state) << "{\"vers";
  f.start();
  EXPECT_TRUE(until([&] { return f.drain_state() == "drained"; }));
  f.end();
  ::unlink(f.state.c_str());
}

// A front that is started again knows which reader keeps what, what is held out by hand, and which keys may
// have run.
TEST(Keeping, WhatWasLearntStandsThroughARestart) {
  auto plan = lab::small_plan();
  for (auto& e : plan.engines) e.emulated = true;
  plan.routes.push_back({"pay", Effect::Deduped, DedupeGroup::Zone, Span::millis(3000), Span::millis(12000),
                         Span::millis(60000), 2});
  Town town(2, plan);
  auto& f = *town.all[0];
  f.end();
  const std::string kept = folder() + "/kept";
  ::mkdir(kept.c_str(), 0700);
  f.settings->keep = settings::Keep{kept, Span::millis(100)};
  f.start();
  const auto ask = [&](int text, const std::string& mark) {
    auto c = town.call(0, mark);
    c.text = std::string(3000, static_cast<char>('a' + text));
    EXPECT_EQ(lab::call(c, town.records).how, "completed");
    std::string where;
    for (const auto& r : town.records.all())
      if (r.what == "send" && r.how == "read" && r.mark == mark) where = r.where;
    return where;
  };
  std::vector<std::string> readers;
  for (int k = 0; k < 8; ++k) readers.push_back(ask(k, "first-" + std::to_string(k)));
  auto pay = town.call(0, "pay-1");
  pay.route = "pay", pay.key = "order-1";
  EXPECT_EQ(lab::call(pay, town.records).how, "completed");
  const std::string held = town.engines[3]->address();
  ASSERT_EQ(fleet::ask(f.target, "POST", "/admin/v1/hold-out", {{"engine", held}, {"out", true}},
                       clock_now() + each)
                .result,
            Result::Done);
  // Until a snapshot holds all of it.
  EXPECT_TRUE(until([&] {
    keep::Folder disk(kept, true);
    std::string wrong;
    for (const auto& name : disk.list(wrong).value_or(std::vector<std::string>{})) {
      if (!name.ends_with(".snap")) continue;
      const auto bytes = disk.read(name, wrong);
      const auto state = bytes ? keep::decode(*bytes).state : std::nullopt;
      if (state && state->pools[0].runs.size() >= 8 && !state->pools[0].held_engines.empty() &&
          !state->marks.empty())
        return true;
    }
    return false;
  }));
  f.end();
  f.start();
  for (int k = 0; k < 8; ++k)
    EXPECT_EQ(ask(k, "again-" + std::to_string(k)), readers[static_cast<std::size_t>(k)]) << k;
  pay.mark = "pay-2", pay.front = f.server->addresses()[0];
  EXPECT_EQ(lab::call(pay, town.records).how,
            "refused");  // 409: it may have run where a repeat can't be bound to
  const auto list = fleet::ask(f.target, "GET", "/admin/v1/engines", {}, clock_now() + each);
  for (const auto& e : list.body["engines"]) EXPECT_EQ(e["judged"] == "held out", e["address"] == held);
  // A second process on the folder, and a folder that is not there: a plain line, and a front that serves.
  auto& second = *town.all[1];
  second.end();
  second.settings->keep = settings::Keep{"/nowhere/at/all", Span::millis(100)};
  second.start();
  auto c = town.call(0, "second");
  c.front = second.server->addresses()[0];
  EXPECT_EQ(lab::call(c, town.records).how, "completed");
}

// Settings made from HAProxy's format, before stand-ins: each message reaches the pool that the file says,
// and a server with maxconn 3 never sees a fourth.
TEST(Imported, MessagesReachThePoolsOfTheFileAndMaxconnHolds) {
  lab::Recorder records;
  std::vector<std::unique_ptr<lab::EngineStandin>> engines;
  for (int k = 0; k < 3; ++k) {
    lab::EngineOptions o;
    o.kind = "both", o.stage = Stage::Both, o.slots = 64, o.token = Span::millis(30);
    engines.push_back(std::make_unique<lab::EngineStandin>(o, records, nullptr));
  }
  const std::string text =
      "defaults\n timeout connect 200\n timeout server 12s\n retry-on all-retryable-errors\nfrontend in\n "
      "bind 127.0.0.1:0\n"
      " acl red hdr(x-budget-ms) 9001\n use_backend one if red\n default_backend two\nbackend one\n server "
      "a " +
      engines[0]->address() + " maxconn 3\nbackend two\n server b " + engines[1]->address() + "\n server c " +
      engines[2]->address() + "\n";
  const auto made = haproxy::import(haproxy::read({{"x.cfg", text}}, {}), {});
  std::vector<settings::Fault> faults;
  auto s = settings::load("x.xml", made.settings, faults);
  ASSERT_TRUE(s) << made.settings;
  s->stack = 256 << 10;
  log::Log log{"/dev/null", log::Level::Info};
  Core core(*s, log);
  std::vector<std::unique_ptr<Protocol>> protocols;
  protocols.push_back(messages_front(core));
  Server server(core, std::move(protocols));
  core.start();
  ASSERT_TRUE(core.wait_for_rosters(clock_now() + Span::millis(5000)));
  server.start();
  std::vector<std::thread> clients;
  std::atomic<int> completed = 0;
  for (int k = 0; k < 16; ++k)
    clients.emplace_back([&, k] {
      lab::ClientCall c;
      c.front = server.addresses()[0], c.front_name = "in", c.route = "any-model", c.mark = std::to_string(k);
      c.text = "What do my points buy?", c.max_tokens = 4, c.budget = Span::millis(k % 2 ? 9001 : 9000);
      completed += lab::call(c, records).how == "completed";
    });
  for (auto& c : clients) c.join();
  EXPECT_EQ(completed, 16);
  std::map<std::string, int> out;
  for (const auto& r : records.all()) {
    if (r.what == "send") {
      EXPECT_EQ(r.where == engines[0]->address(), std::stoi(r.mark) % 2 == 1) << r.mark;
      ++out[r.where];
    }
    if (r.what == "send_end") --out[r.where];
    EXPECT_LE(out[engines[0]->address()], 3);
  }
  server.stop(clock_now() + Span::millis(5000));
}

// Fronts that misbehave: each ends as what it is, and none as done.
TEST(Fleet, SilentHalfAnsweringDyingAndRefusingFrontsAreNoSuccess) {
  enum class Does { Silent, HalfLine, Garbage, DiesAfterAsked, Refuses, OtherVersion };
  for (const auto& [does, expected] :
       {std::pair{Does::Silent, Result::Unknown}, std::pair{Does::HalfLine, Result::Unknown},
        std::pair{Does::Garbage, Result::Unknown}, std::pair{Does::DiesAfterAsked, Result::Unknown},
        std::pair{Does::Refuses, Result::Refused}, std::pair{Does::OtherVersion, Result::Refused}}) {
    net::Listener listener({"127.0.0.1", 0});
    std::atomic<bool> over = false;
    std::thread server([&, does = does] {
      std::vector<net::Stream> kept;
      for (int asked = 0; !over;) {
        auto s = listener.accept(clock_now() + Span::millis(50));
        if (!s) continue;
        if (does == Does::DiesAfterAsked && ++asked > 1) continue;  // it accepts, and is gone
        http::ServerConnection c(std::move(*s), {});
        http::Request r;
        if (does == Does::Silent) {
          kept.push_back(std::move(c.stream()));
          continue;
        }
        if (c.read(r) != http::ReadEnd::Ok) continue;
        boost::system::error_code ec;
        c.stream().set_deadline(clock_now() + Span::millis(1000));
        if (does == Does::HalfLine)
          c.stream().write_some(
              boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{\"versi")), ec);
        if (does == Does::Garbage) c.respond(200, {}, "hello", false);
        if (does == Does::DiesAfterAsked)
          c.respond(200, {},
                    "{\"version\":1,\"front\":\"f\",\"drain\":{\"state\":\"draining\",\"number\":1}}", false);
        if (does == Does::Refuses) c.respond(409, {}, "{\"version\":1,\"error\":\"no\"}", false);
        if (does == Does::OtherVersion) c.respond(200, {}, "{\"version\":2,\"front\":\"f\"}", false);
      }
    });
    fleet::Front f;
    f.name = "f", f.admin = {"127.0.0.1", listener.port()};
    const auto a = fleet::drain(f, {"test", Span::millis(1000), true, false, true}, Span::millis(400),
                                clock_now() + Span::millis(3000));
    EXPECT_EQ(a.result, expected) << static_cast<int>(does) << " " << a.what;
    EXPECT_FALSE(a.what.empty());
    over = true;
    server.join();
  }
  fleet::Front nobody;
  nobody.name = "n", nobody.admin = {"127.0.0.1", net::Listener({"127.0.0.1", 0}).port()};
  EXPECT_EQ(fleet::ask(nobody, "GET", "/admin/v1/state", {}, clock_now() + Span::millis(500)).result,
            Result::Unreachable);
}

// The number of fronts goes from 3 to 200 and back while engines start cold: the module takes it without a
// restart, and spaces its sends by it.
TEST(Membership, ANewCountSpacesSendsToColdEnginesWithoutARestart) {
  Settings s;
  ModelRoute r;
  r.first_token_target = Span::millis(1000), r.token_pace = Span::millis(20);
  s.routes = {r}, s.kinds = {{Stage::Both, 200000}};
  s.fronts = 3, s.max_sends = 3, s.cold = Span::millis(12000), s.cold_from = 0.25, s.fall_multiple = 2.5;
  s.fall = Span::millis(1500);
  const auto sends = [&](int count) {
    Router router(7, s);
    FleetListed list;
    list.scope = ListScope::Full;
    EngineEntry e;
    e.engine = {{10, 0, 0, 1}, 80}, e.started = Instant::at(Span::millis(100000));
    list.entries = {e};
    router.handle(Instant::at(Span::millis(100000)), list);
    if (count != 3) router.handle(Instant::at(Span::millis(100000)), FrontsCounted{count});
    int n = 0;
    for (InfId k = 1; k <= 40; ++k) {
      Arrived a;
      a.inf = k, a.budget = Span::millis(8000), a.prompt_tokens = 200, a.max_answer_tokens = 20;
      const Instant now = Instant::at(Span::millis(100000 + k * 100));
      for (const Event& event : {Event(a), Event(TimerFired{0})})
        for (const auto& action : router.handle(now, event))
          if (const auto* send = std::get_if<SendTo>(&action)) {
            ++n;
            router.handle(
                now,
                SendEnded{
                    send->inf, 0, send->engine, EndedAs::Completed, Span::millis(5), true, 0, false, {}});
          }
    }
    return n;
  };
  EXPECT_GT(sends(3), sends(200));
}

}  // namespace
}  // namespace calicograde::front
