// What shows that an engine runs, and what is done about calls to engines that do not: connections of the
// kernel, with nobody behind them who reads.
#include "front/engine_signs.hpp"

#include <gtest/gtest.h>

#include <atomic>

#include "front/abandoned_calls.hpp"
#include "front/release_race.hpp"
#include "lab/platform_standin.hpp"
#include "until.hpp"

namespace calicograde::front {
namespace {

using net::clock_now;

EngineId engine(int n) { return {{10, 0, 0, static_cast<std::uint8_t>(n)}, 80}; }
Instant at(int ms) { return Instant::at(Span::millis(ms)); }

TEST(EngineSigns, OnlyAByteAfterTheWriteShowsThatAnAttemptHasArrived) {
  EngineSigns signs;
  const auto sign = signs.of(engine(1));
  EXPECT_FALSE(sign->follows(at(0)));
  sign->note(at(1000));
  EXPECT_TRUE(sign->follows(at(900)));
  EXPECT_FALSE(sign->follows(at(1000)));
  EXPECT_FALSE(sign->follows(at(998)));  // it may have been under way
  sign->note(at(500));                   // heard of late
  EXPECT_EQ(signs.last(engine(1)), at(1000));
  EXPECT_EQ(signs.last(engine(2)), std::nullopt);
}

TEST(EngineSigns, ThoseThatAreNotListedAnyMoreAreForgotten) {
  EngineSigns signs;
  for (int n : {1, 2, 3}) signs.of(engine(n))->note(at(n));
  signs.keep({engine(1), engine(2)});
  EXPECT_EQ(signs.all().size(), 2u);
  signs.forget(engine(1));
  EXPECT_EQ(signs.all().size(), 1u);
  EXPECT_EQ(signs.last(engine(1)), std::nullopt);
}

TEST(EngineSigns, OneProbeIsOutAtATime) {
  EngineSign sign;
  EXPECT_TRUE(sign.begin_probe());
  EXPECT_FALSE(sign.begin_probe());
  sign.end_probe();
  EXPECT_TRUE(sign.begin_probe());
}

// The kernel takes connections and bytes for it; nobody accepts.
struct StoppedEngine {
  net::Listener listener{net::Address{"127.0.0.1", 0}};
  net::Address address() const { return {"127.0.0.1", listener.port()}; }
};

struct RunningEngine {
  lab::PlatformHall hall;
  lab::PlatformEngine engine{"e", true, hall};
  net::Address address() const { return *net::parse_address(engine.address()); }
};

http::ClientConnection dial(const net::Address& address) {
  return http::ClientConnection(net::Stream::connect(address, clock_now() + Span::millis(2000)).second);
}

struct Race {
  std::vector<net::Address> engines;
  std::vector<std::size_t> asked;
  int writes_allowed = 100;
  std::size_t at_once = 1;
  Span most = Span::millis(3000);

  ReleaseRace::End run() {
    static const auto nothing = std::make_shared<const std::string>();
    const Words words{"DELETE", "/state/id", {{"Host", "x"}}, nothing};
    ReleaseRace::Calls calls;
    calls.connect = [this](std::size_t engine, Instant) {
      asked.push_back(engine);
      return std::optional(dial(engines[engine]));
    };
    calls.may_write = [this] { return writes_allowed-- > 0; };
    calls.ended = [](std::size_t, int, http::ClientConnection) {};
    return ReleaseRace(words, engines.size(), {Span::millis(25), at_once, clock_now() + most}, calls)
        .run([](const http::Response& head) { return head.status == 204; });
  }
};

TEST(ReleaseRace, AsksTheNextEngineWhileStoppedOnesMayStillAnswer) {
  StoppedEngine stopped[3];
  RunningEngine running;
  running.hall.hold("id", "e");
  Race race{{stopped[0].address(), stopped[1].address(), stopped[2].address(), running.address()}, {}};
  const Instant begun = clock_now();
  EXPECT_EQ(race.run(), ReleaseRace::End::Taken);
  EXPECT_LT(clock_now() - begun, Span::millis(1500));
  EXPECT_EQ(race.asked.size(), 4u);
  EXPECT_EQ(running.hall.held(), 0u);
}

TEST(ReleaseRace, AsksOneWhereThatOneAnswers) {
  RunningEngine first, second;
  Race race{{first.address(), second.address()}, {}};
  EXPECT_EQ(race.run(), ReleaseRace::End::Taken);
  EXPECT_EQ(race.asked, std::vector<std::size_t>{0});
}

TEST(ReleaseRace, EndsWhereNobodyAnswersAndWhereAnAttemptWasWritten) {
  StoppedEngine stopped;
  Race unanswered{{stopped.address()}, {}};
  unanswered.most = Span::millis(120);
  EXPECT_EQ(unanswered.run(), ReleaseRace::End::NotTaken);
  Race overtaken{{stopped.address(), stopped.address()}, {}};
  overtaken.writes_allowed = 1;
  EXPECT_EQ(overtaken.run(), ReleaseRace::End::Withheld);
}

TEST(AbandonedCalls, TellWhenAnEngineThatWasStoppedTakesTheCall) {
  StoppedEngine stopped;
  AbandonedCalls calls(4);
  auto connection = dial(stopped.address());
  ASSERT_TRUE(connection.ask("POST", "/state/id", {{"Host", "x"}}, "", clock_now() + Span::millis(2000)));
  std::atomic<int> answered = -1;
  calls.keep(engine(1), std::move(connection), [&](bool with_bytes) { answered = with_bytes; });
  EXPECT_EQ(calls.count(), 1u);
  auto accepted = stopped.listener.accept(clock_now() + Span::millis(2000));  // it goes on
  ASSERT_TRUE(accepted);
  EXPECT_EQ(answered, -1);
  http::ServerConnection server(std::move(*accepted), {});
  http::Request request;
  ASSERT_EQ(server.read(request), http::ReadEnd::Ok);  // the sending has ended behind the request
  server.respond(204, {}, "", true);
  EXPECT_TRUE(until([&] { return answered == 1; }));
  EXPECT_EQ(calls.count(), 0u);
}

TEST(AbandonedCalls, TellOfAnEndWithoutBytes) {
  StoppedEngine stopped;
  std::atomic<int> over = 0, answered = 0;
  AbandonedCalls calls(4);
  for (int k = 0; k < 3; ++k)
    calls.keep(engine(1), dial(stopped.address()), [&](bool with_bytes) { answered += with_bytes, ++over; });
  for (int k = 0; k < 3; ++k)
    stopped.listener.accept(clock_now() + Span::millis(2000));  // and closed at once
  EXPECT_TRUE(until([&] { return over == 3; }));
  EXPECT_EQ(answered, 0);
}

// Found by the soak (seed 3012): a proxy ended the connection, and the engine took the call half a second
// later.
TEST(AbandonedCalls, AnEndWithoutBytesIsToldOnceMoreAfterTheEnginesNextAnswer) {
  StoppedEngine stopped;
  std::atomic<int> over = 0;
  AbandonedCalls calls(4);
  calls.keep(engine(1), dial(stopped.address()), [&](bool) { ++over; });
  stopped.listener.accept(clock_now() + Span::millis(2000));  // and closed at once
  EXPECT_TRUE(until([&] { return over == 1; }));
  EXPECT_EQ(calls.count(), 0u);
  calls.engine_answered(engine(2));
  calls.engine_answered(engine(1));
  EXPECT_TRUE(until([&] { return over == 2; }));
}

// Found by the soak (seed 2001): more calls were given up at stopped engines than connections may be kept,
// and what the engines held for the others once they went on was released by nobody.
TEST(AbandonedCalls, ThoseOfWhichNoConnectionIsKeptAreUndoneOnceTheirEngineGoesOn) {
  StoppedEngine busy, other;
  std::atomic<int> over_at_busy = 0, over_at_other = 0;
  AbandonedCalls calls(2);
  calls.keep(engine(2), dial(other.address()), [&](bool) { ++over_at_other; });
  std::vector<net::Stream> accepted;
  for (int k = 0; k < 5; ++k) {
    calls.keep(engine(1), dial(busy.address()), [&](bool) { ++over_at_busy; });
    accepted.push_back(std::move(*busy.listener.accept(clock_now() + Span::millis(2000))));
  }
  EXPECT_EQ(calls.count(), 6u);
  EXPECT_EQ(calls.connections(), 2u);  // one to each engine
  EXPECT_EQ(over_at_busy, 0);
  accepted.clear();  // it goes on, and ends them
  EXPECT_TRUE(until([&] { return over_at_busy == 5; }));
  EXPECT_EQ(over_at_other, 0);
  EXPECT_EQ(calls.count(), 1u);
}

}  // namespace
}  // namespace calicograde::front
