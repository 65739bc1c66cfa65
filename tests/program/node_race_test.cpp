// A front node of the platform at the moments in which a signal, a close, an answer or a list comes between
// two of its steps. Each test forces one: engines wait until the crossing has come about.
#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <thread>

#include "front/core.hpp"
#include "node/dialect.hpp"
#include "node/follower.hpp"
#include "node/node.hpp"
#include "node/request_ids.hpp"
#include "node_rig.hpp"
#include "platform/config.hpp"

namespace calicograde::node {
namespace {

void pause(Rig& rig, bool readers, bool on) {
  for (auto* engine : rig.engines())
    if (engine->reader() == readers) engine->pause(on);
}

int waiting(Rig& rig, bool readers) {
  int n = 0;
  for (auto* engine : rig.engines()) n += engine->reader() == readers ? engine->waiting() : 0;
  return n;
}

// A client asks, and closes its connection while its prompt is read and a place is asked for; then the read
// would go on.
void leave_during_the_read(Rig& rig) {
  pause(rig, true, true);
  {
    auto client = rig.dial();
    rig.put(client, post("Content-Length: 2\r\n"));
    EXPECT_TRUE(until([&] { return waiting(rig, true) > 0 && rig.hall.count("POST", "/state/") > 0; }));
  }
  EXPECT_TRUE(rig.logged("\"reason\":\"cancelled\""));
  pause(rig, true, false);
}

// From here on the node ends only what it has taken: newcomers find nobody listening.
bool listens_no_more(const Rig& rig) {
  return until([&] {
    return net::Stream::connect(rig.listen, clock_now() + Span::millis(1000)).first ==
           net::ConnectEnd::Refused;
  });
}

// ---- SIGTERM

TEST(NodeRace, SigtermBeforeTheFirstByteOfANewConnection) {
  Rig rig;
  http::ClientConnection opened(rig.dial()), kept(rig.dial());
  EXPECT_TRUE(rig.ask_on(kept, "before").whole);
  kill(rig.pid, SIGTERM);
  ASSERT_TRUE(rig.logged("\"event\":\"stopping\""));
  EXPECT_TRUE(rig.ask_on(opened, "opened").whole);
  EXPECT_TRUE(rig.ask_on(kept, "kept").whole);
  EXPECT_FALSE(kept.reusable());  // its answer said that it is the last one
  EXPECT_EQ(rig.ended(), 0);
}

TEST(NodeRace, SigtermWhileARequestIsHeld) {
  Rig rig;
  const auto writers = [&](const char* state) {
    rig.registry.change("s-w1", rig.writer.address(), "decode", state);
    rig.registry.change("s-w2", rig.writer2.address(), "decode", state);
  };
  writers("Terminating");
  ASSERT_TRUE(rig.logged("\"version\":7"));
  Reply reply;
  std::thread client([&] { reply = rig.ask("held", 8000); });
  EXPECT_TRUE(rig.logged("holding on"));
  kill(rig.pid, SIGTERM);
  EXPECT_TRUE(listens_no_more(rig));
  writers("Ready");
  client.join();
  EXPECT_TRUE(reply.whole) << reply.status << rig.text();
  EXPECT_EQ(reply.body, lab::PlatformEngine::answer(3));
  EXPECT_EQ(rig.ended(), 0);
}

TEST(NodeRace, SigtermTwiceDuringTheReadAndTheAnswer) {
  for (const bool reader : {true, false}) {
    Rig rig;
    pause(rig, reader, true);
    Reply reply;
    std::thread client([&] { reply = rig.ask("caught", 8000); });
    EXPECT_TRUE(until([&] { return waiting(rig, reader) > 0; }));
    kill(rig.pid, SIGTERM);
    EXPECT_TRUE(rig.logged("\"event\":\"stopping\""));
    kill(rig.pid, SIGTERM);
    EXPECT_TRUE(listens_no_more(rig));
    pause(rig, reader, false);
    client.join();
    EXPECT_TRUE(reply.whole) << reader << reply.status << rig.text();
    EXPECT_EQ(rig.ended(), 0);
    EXPECT_EQ(rig.hall.held(), 0u);
  }
}

// SIGKILL may come 3.7 s after SIGTERM, whatever the clients' own deadlines: what was taken is answered
// before.
TEST(NodeRace, SigtermWhileAllEnginesOfARoleAnswerNothing) {
  for (const bool reader : {true, false}) {
    Rig rig;
    pause(rig, reader, true);
    Reply reply;
    Instant answered;
    std::thread client([&] { reply = rig.ask("kept-waiting", 9000), answered = clock_now(); });
    EXPECT_TRUE(until([&] { return waiting(rig, reader) > 0; }));
    const Instant told = clock_now();
    kill(rig.pid, SIGTERM);
    client.join();
    EXPECT_GE(reply.status, 500) << rig.text();
    EXPECT_LT(answered - told, Span::millis(3700));
    EXPECT_TRUE(rig.all_let_go()) << rig.story();
    pause(rig, reader, false);
  }
}

// A proxy before an engine, or the kernel of a machine whose process has stopped, takes all that is sent
// there.
TEST(NodeRace, AnEngineWhoseConnectionsSwallowBytesIsLeftForAnotherWithinThePinLimit) {
  Rig rig;
  // It grants places, so that it is chosen, and takes nothing else.
  lab::LoopbackServer swallows([&rig](net::Stream stream) {
    http::ServerConnection connection(std::move(stream), {});
    http::Request request;
    while (connection.read(request) == http::ReadEnd::Ok && request.target.starts_with("/state/")) {
      const std::string id = request.target.substr(7);
      if (request.method == "DELETE") rig.hall.let_go(id);
      const bool granted = request.method == "POST" && rig.hall.grant(id, "s-w1");
      connection.respond(granted ? 200 : 204, {}, "", true);
    }
    connection.stream().set_deadline(clock_now() + Span::millis(20000));
    Rig::drain(connection.stream());
  });
  rig.registry.change("s-w1", swallows.address(), "decode", "Ready");
  ASSERT_TRUE(rig.logged("\"version\":6"));
  for (int k = 0; k < 8; ++k) {
    const Instant asked = clock_now();
    EXPECT_TRUE(rig.usual("swallowed" + std::to_string(k)));
    EXPECT_LT(clock_now() - asked, Span::millis(900));
  }
  EXPECT_TRUE(rig.logged("no sign of the engine"));
  EXPECT_TRUE(rig.all_let_go()) << rig.story();
}

TEST(NodeRace, SigtermWhileTheNodeStarts) {
  Rig rig;
  kill(rig.pid, SIGKILL), waitpid(rig.pid, nullptr, 0);
  rig.registry.mute(true);  // so that the start waits for the registry's first word
  rig.spawn();
  ASSERT_TRUE(rig.logged("registry heard"));  // the list of the configuration
  kill(rig.pid, SIGTERM);
  EXPECT_EQ(rig.ended(), 0);
}

// Found by reading: signals were not looked at any more once the node drained, so that what it held was sent
// by a list that the old registry had left behind.
TEST(NodeRace, SighupWhileTheNodeDrains) {
  Rig rig;
  lab::PlatformRegistry other;
  for (auto* e : rig.engines())
    other.change(e->name(), e->address(), e->reader() ? "prefill" : "decode", "Ready");
  other.change("s-w1", rig.writer.address(), "decode", "Gone");
  pause(rig, true, true);
  Reply reply;
  std::thread client([&] { reply = rig.ask("moved", 8000); });
  EXPECT_TRUE(until([&] { return waiting(rig, true) > 0; }));
  kill(rig.pid, SIGTERM);
  EXPECT_TRUE(rig.logged("\"event\":\"stopping\""));
  rig.write(other.address(), all_limits);
  kill(rig.pid, SIGHUP);
  EXPECT_TRUE(rig.logged("\"version\":6"));
  pause(rig, true, false);
  client.join();
  EXPECT_TRUE(reply.whole) << rig.text();
  for (const auto& a : rig.hall.all())
    EXPECT_FALSE(a.engine == "s-w1" && a.target.starts_with("/v1")) << a.target;
  EXPECT_EQ(rig.ended(), 0);
}

TEST(NodeRace, AStateThatIsHeldAsTheNodeEndsIsLetGo) {
  Rig rig;
  pause(rig, false, true);
  {
    auto client = rig.dial();
    rig.put(client, post("Content-Length: 2\r\n"));
    EXPECT_TRUE(until([&] { return waiting(rig, false) > 0; }));
    kill(rig.pid, SIGTERM);
    EXPECT_TRUE(rig.logged("\"event\":\"stopping\""));
  }
  EXPECT_EQ(rig.ended(), 0);
  EXPECT_EQ(rig.hall.held(), 0u) << rig.story();
  pause(rig, false, false);
}

// ---- clients that have gone

TEST(NodeRace, AClientThatLeavesDuringTheReadGetsNoAnswerBegun) {
  Rig rig;
  leave_during_the_read(rig);
  EXPECT_TRUE(rig.all_let_go()) << rig.story();
  for (const auto& a : rig.hall.all())
    EXPECT_FALSE(a.engine.starts_with("s-w") && a.target.starts_with("/v1")) << a.engine;
}

// Found in the logs of join+brink: a client left, another one asked under the same id 0.14 s later, and a
// place was held for a request that was over.
TEST(NodeRace, TheIdOfAClientThatLeftIsNotWorkedOnAgain) {
  Rig rig;
  leave_during_the_read(rig);
  const auto sent_on = [&] { return rig.hall.count("POST", "/v1") + rig.hall.count("POST", "/state/"); };
  EXPECT_TRUE(rig.all_let_go()) << rig.story();
  const int before = sent_on();
  EXPECT_EQ(rig.raw(post("Content-Length: 2\r\n")).substr(0, 12), "HTTP/1.1 409");
  EXPECT_EQ(sent_on(), before);
  EXPECT_EQ(rig.hall.held(), 0u);
}

TEST(RequestIds, AreRefusedForAWhileAndInBoundedNumber) {
  const auto at = [](std::int64_t millis) { return Instant::at(Span::millis(millis)); };
  RequestIds ids(Span::millis(1000), 2);
  EXPECT_TRUE(ids.begin("a", at(0)));
  EXPECT_FALSE(ids.begin("a", at(1)));
  ids.end("a", at(500));
  EXPECT_FALSE(ids.begin("a", at(1499)));
  EXPECT_TRUE(ids.begin("a", at(1500)));
  EXPECT_TRUE(ids.begin("b", at(1500)));
  ids.forget("b");
  EXPECT_TRUE(ids.begin("b", at(1500)));
  for (const char* id : {"c", "d"}) EXPECT_TRUE(ids.begin(id, at(1500)));
  for (const char* id : {"b", "c", "d"}) ids.end(id, at(1500));
  EXPECT_TRUE(ids.begin("b", at(1501)));  // the oldest of more than may be remembered
  EXPECT_FALSE(ids.begin("c", at(1501)));
}

// The core in this process, with the platform's dialect: what the client's thread would do is left out, so
// that the moment between two steps stays open.
struct CoreRig {
  explicit CoreRig(std::shared_ptr<const front::Dialect> dialect = platform_dialect())
      : config(platform::read_config(config_text("127.0.0.1:1", all_limits, known_list()))),
        settings(in_process(front_settings(config))),
        core(settings, log, {std::move(dialect)}),
        follower(core, 0, config.told, Span{}, Follower::Rules{}, 1) {
    core.start();
    follower.known(config.known);
  }
  static settings::Front in_process(settings::Front settings) {
    settings.stack = 256 << 10;
    return settings;
  }
  std::string known_list() {
    registry.change("s-r1", reader.address(), "prefill", "Ready");
    registry.change("s-w1", writer.address(), "decode", "Ready");
    return registry.list();
  }
  static front::Asked asked(const std::string& id) {
    front::Asked out;
    out.prompt_tokens = 512, out.max_answer_tokens = 40;
    out.ends = clock_now() + Span::millis(3000);
    out.key_taken = true;
    out.passed = std::make_shared<const front::Passed>(
        id, "POST", "/v1/chat/completions",
        front::Passed::Content{nullptr, "Request-Id: " + id + "\r\n\r\n", R"({"model":"chat"})"});
    return out;
  }

  lab::PlatformHall hall;
  lab::PlatformRegistry registry;
  lab::PlatformEngine reader{"s-r1", true, hall}, writer{"s-w1", false, hall};
  log::Log log{"/dev/null", log::Level::Info};
  const platform::NodeConfig config;
  const settings::Front settings;
  front::Core core;
  Follower follower;
};

// Found by reading: between the last look for a client's hang-up and the write stood a connection that had to
// come up, a release to wait for and the way through two threads.
TEST(CoreRace, NothingIsWrittenForAClientThatLeftBeforeTheWrite) {
  CoreRig rig;
  net::Listener listener(net::Address{"127.0.0.1", 0});
  auto client = net::Stream::connect({"127.0.0.1", listener.port()}, clock_now() + Span::millis(5000)).second;
  auto accepted = listener.accept(clock_now() + Span::millis(5000));
  ASSERT_TRUE(accepted);
  http::ServerConnection served(std::move(*accepted), {});
  client.close();
  ASSERT_TRUE(until([&] { return served.stream().peer_left(); }));
  auto asked = CoreRig::asked("gone");
  asked.client = &served;
  const auto opened = rig.core.open(std::move(asked));
  ASSERT_TRUE(opened.ticket);
  EXPECT_EQ(opened.ticket->wait(-1, clock_now() + Span::millis(5000)), net::Waited::Woken);
  EXPECT_TRUE(std::holds_alternative<front::Final>(opened.ticket->take()));
  EXPECT_EQ(rig.hall.count("POST", "/v1"), 0);
  opened.ticket->forget_client();
  rig.core.closed(*opened.ticket);
}

// A second copy that is written once the first one's answer has begun would be an attempt after the final
// answer, and without the body that is let go then.
TEST(CoreRace, NothingIsWrittenOnceTheClientHasItsAnswer) {
  CoreRig rig;
  rig.reader.pause(true);
  const auto opened = rig.core.open(CoreRig::asked("answered"));
  ASSERT_TRUE(opened.ticket);
  ASSERT_TRUE(until([&] { return rig.reader.waiting() > 0; }));
  EXPECT_EQ(opened.ticket->demand(), front::Ticket::Demand::Waiting);
  EXPECT_TRUE(opened.ticket->claim_stream(0));
  EXPECT_EQ(opened.ticket->demand(), front::Ticket::Demand::Answered);
  rig.reader.pause(false);
  EXPECT_TRUE(until([&] { return rig.hall.held() == 0 && rig.core.counts().sends == 0; }));
  EXPECT_EQ(rig.hall.count("POST", "/v1"), 1);
  rig.core.closed(*opened.ticket);
}

// An attempt that fails in this process, for want of memory say.
class FailingDialect : public front::Dialect {
 public:
  front::Words send(const front::StartSend&, const front::Asked&, const settings::Route&) const override {
    throw std::bad_alloc();
  }
  bool streams(engines::Leg leg, const http::Response& head) const override {
    return usual_->streams(leg, head);
  }
  void head(const http::Response& head, engines::SendFacts& facts, front::Ending& ending) const override {
    usual_->head(head, facts, ending);
  }
  std::optional<Usage> whole(engines::Leg leg, const std::string& text, engines::SendFacts& facts,
                             front::Ending& ending) const override {
    return usual_->whole(leg, text, facts, ending);
  }
  bool begins(std::string bytes, front::EngineStream::Begun& begun,
              engines::SendFacts& facts) const override {
    return usual_->begins(std::move(bytes), begun, facts);
  }
  engines::Judged judge(engines::Leg leg, const engines::SendFacts& facts) const override {
    return usual_->judge(leg, facts);
  }
  front::Words place(const front::AskPlace& ask, const front::Asked& asked) const override {
    return usual_->place(ask, asked);
  }
  std::optional<bool> place_held(const http::Response& head, const std::string& text) const override {
    return usual_->place_held(head, text);
  }
  bool place_after_read() const override { return true; }
  front::Words release(const front::Release& release) const override { return usual_->release(release); }
  bool released(const http::Response& head) const override { return usual_->released(head); }
  bool releases_whole() const override { return true; }

 private:
  const std::shared_ptr<const front::Dialect> usual_ = platform_dialect();
};

TEST(CoreRace, AnAttemptThatFailsInThisProcessHasAnOutcome) {
  CoreRig rig(std::make_shared<const FailingDialect>());
  const auto opened = rig.core.open(CoreRig::asked("fails"));
  ASSERT_TRUE(opened.ticket);
  EXPECT_EQ(opened.ticket->wait(-1, clock_now() + Span::millis(2500)), net::Waited::Woken);
  EXPECT_TRUE(std::holds_alternative<front::Final>(opened.ticket->take()));
  rig.core.closed(*opened.ticket);
}

// ---- connections

// Found by reading: a node at its limit answered and closed without a look at what the client was sending,
// and the reset that follows takes the answer away.
TEST(NodeRace, WhoIsTurnedAwayIsToldWithoutAReset) {
  Rig rig(R"({"cores":1.0,"memory_mb":32,"sockets":64})");
  std::vector<net::Stream> clients;
  for (int k = 0; k < 30; ++k) {
    clients.push_back(rig.dial());
    rig.put(clients.back(), post("Content-Length: 500\r\n", "{\"half"));
  }
  auto& last = clients.back();
  std::string told;
  char piece[512];
  for (boost::system::error_code ec; !ec;) told.append(piece, last.read_some(boost::asio::buffer(piece), ec));
  EXPECT_EQ(told.substr(0, 12), "HTTP/1.1 503");
  EXPECT_TRUE(rig.put(last, std::string(50000, 'x')));
  EXPECT_EQ(::shutdown(last.fd(), SHUT_WR), 0);
  pollfd ended{last.fd(), 0, 0};
  EXPECT_EQ(::poll(&ended, 1, 5000), 1);
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(last.fd(), SOL_SOCKET, SO_ERROR, &error, &size);
  EXPECT_EQ(error, 0);
}

// Idle clients at the limit, and a registry that has to be asked anew: what the node needs for itself is
// left.
TEST(NodeRace, IdleClientsLeaveRoomForTheWatchAndTheEngines) {
  Rig rig(R"({"cores":1.0,"memory_mb":32,"sockets":64})");
  std::vector<net::Stream> idle;
  for (int k = 0; k < 60; ++k) idle.push_back(rig.dial());
  const int watches = rig.registry.watches();
  rig.registry.say("{broken");
  EXPECT_TRUE(until([&] { return rig.registry.watches() > watches; }));
  rig.registry.change("s-w1", rig.writer.address(), "decode", "Terminating");
  EXPECT_TRUE(rig.logged("\"version\":6"));
  EXPECT_TRUE(rig.usual("served"));
  EXPECT_TRUE(rig.all_let_go()) << rig.story();
}

// ---- the registry

// Found on the day herd+mass of a site with a grace of 0.3 s: engines began to drain as the registry came
// back, and nodes asked them for places until their next call, up to 1.2 s later.
TEST(NodeRace, ARegistryThatComesBackIsHeardWellWithinTheGrace) {
  Rig rig;
  const auto failed_calls = [&] {
    const std::string log = rig.text(), line = "registry's watch opened anew";
    int n = 0;
    for (auto at = log.find(line); at != std::string::npos; at = log.find(line, at + 1)) ++n;
    return n;
  };
  rig.registry.mute(true);
  EXPECT_TRUE(until([&] { return failed_calls() >= 4; }));
  const Instant back = clock_now();  // the next call is a pause away
  rig.registry.change("s-w1", rig.writer.address(), "decode", "Terminating");
  rig.registry.mute(false);
  EXPECT_TRUE(rig.logged("\"version\":6"));
  EXPECT_LT(clock_now() - back, Span::millis(350));
}

// Guards against a discovery that answers slowly and is never heard (review/3): each watch was given up after
// 1 s and opened anew with the same limit. A change counts as told 6 s after discovery had it.
TEST(NodeRace, ADiscoveryThatAnswersSlowlyIsHeardInTime) {
  for (const int delay_ms : {600, 1500, 3000}) {
    Rig rig;
    rig.registry.answer_after(Span::millis(delay_ms));
    rig.registry.say("{broken");  // the watch that is served ends
    EXPECT_TRUE(rig.logged("registry's watch opened anew"));
    const Instant had = clock_now();
    rig.registry.change("s-w1", rig.writer.address(), "decode", "Terminating");
    EXPECT_TRUE(rig.logged("\"version\":6")) << delay_ms;
    EXPECT_LT(clock_now() - had, Span::millis(6000)) << delay_ms;
    EXPECT_TRUE(rig.usual("after"));
  }
}

// What a watch misses counts as told 6 s after it fell silent: the next watch may do so too.
TEST(NodeRace, AChangeIsHeardInTimeThoughTwoWatchesFallSilent) {
  for (const std::string first_bytes : {"", "{\"generation\":9,"}) {
    Rig rig;
    rig.registry.mute(true);
    const Instant silent = clock_now();
    rig.registry.silent_watches(1, first_bytes);
    rig.registry.change("s-w1", rig.writer.address(), "decode", "Terminating");
    const int watches = rig.registry.watches();
    EXPECT_TRUE(until([&] { return rig.registry.watches() > watches; }));
    rig.registry.mute(false);  // the second is answered, and falls silent
    EXPECT_TRUE(rig.logged("\"version\":6"));
    EXPECT_LT(clock_now() - silent, Span::millis(6000));
  }
}

}  // namespace
}  // namespace calicograde::node
