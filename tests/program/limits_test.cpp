// Caps, tiers and the bound on spill: plain cases, and random runs against what must always hold.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "front/bounds.hpp"
#include "routing/router.hpp"

namespace calicograde::limits {
namespace {

Instant at(double ms) { return Instant::at(Span::from_millis(ms)); }

// Works like a place that bears `knee` inferences: more than that, and first tokens are late.
double settle(Knee& k, double knee, double share_below = 0.4) {
  for (int w = 1; w <= 400; ++w) {
    const double now = w * 500.0, in_work = std::min(k.cap(), knee * 2);
    k.work(at(now - 400), static_cast<std::size_t>(in_work));
    for (int n = 0; n < 20; ++n) k.first_token(at(now - 300), in_work > knee ? 1.5 : share_below);
    k.look(at(now));
  }
  return k.cap();
}

TEST(Knee, FindsWhatAPlaceBearsFromBelowAndAbove) {
  for (const double knee : {30.0, 300.0}) {
    Knee k({});
    EXPECT_NEAR(settle(k, knee), knee, knee * 0.2) << knee;
  }
}

TEST(Knee, StaysWhereItIsNotUsedOrLittleIsSeen) {
  Knee k({});
  for (int w = 1; w < 50; ++w) {
    k.work(at(w * 500.0 - 100), 10);  // far below its cap
    for (int n = 0; n < 20; ++n) k.first_token(at(w * 500.0 - 50), 0.2);
    k.look(at(w * 500.0));
  }
  EXPECT_EQ(k.cap(), 64);
  k.work(at(40000), 64);
  k.first_token(at(40100), 9);  // one late token is no sign
  k.look(at(50000));
  EXPECT_EQ(k.cap(), 64);
}

CapRules capped(double cap) {
  CapRules r;
  r.on = true, r.knee.first = r.knee.most = cap, r.knee.least = 1;
  return r;
}

TEST(Caps, TheDearerRouteGoesFirstAndTheCheaperKeepsItsFloor) {
  Caps c(capped(100), {{2, 0}, {1, 0}});
  InfId inf = 0;
  int chat = 0, offers = 0;
  for (int k = 0; k < 300; ++k) {
    chat += c.ask(at(k), ++inf, 0, 0) == Caps::Says::Take;
    offers += c.ask(at(k), ++inf, 1, 0) == Caps::Says::Take;
  }
  EXPECT_GE(offers, 10);
  EXPECT_LE(chat + offers, 110);
  // The dear ones leave, and come again: they find their places, and the cheap ones keep no more than theirs.
  for (InfId k = 1; k <= inf; k += 2) c.ended(at(400), k);
  chat = 0;
  for (int k = 0; k < 300; ++k) chat += c.ask(at(500 + k), ++inf, 0, 0) == Caps::Says::Take;
  EXPECT_GE(chat, 40);
}

TEST(Caps, OneRouteAloneMayHaveAllAndOneCustomerHalf) {
  Caps c(capped(100), {{2, 0}, {1, 0}});
  InfId inf = 0;
  int taken = 0;
  for (int k = 0; k < 200; ++k) taken += c.ask(at(k), ++inf, 1, 7) == Caps::Says::Take;
  EXPECT_EQ(taken, 50);
  for (int k = 0; k < 200; ++k) taken += c.ask(at(200 + k), ++inf, 1, 8) == Caps::Says::Take;
  EXPECT_EQ(taken, 100);
}

TEST(Caps, ItsModeIsToldOnceWhenItBeginsAndOnceWhenItEnds) {
  Caps c(capped(1), {{1, 0}});
  c.ask(at(0), 1, 0, 0);
  int begun = 0, ended = 0;
  for (int t = 0; t < 30000; t += 100) {
    if (t < 10000) c.ask(at(t), static_cast<InfId>(t + 2), 0, 0);
    const auto line = c.look(at(t));
    begun += line.starts_with("cap reached"), ended += line.starts_with("cap no longer reached");
  }
  EXPECT_EQ(begun, 1);
  EXPECT_EQ(ended, 1);
}

TEST(Caps, AFixedCapOfARouteHoldsEvenWhereNothingElseIsOn) {
  Caps c({}, {{1, 3}});
  EXPECT_EQ(c.ask(at(0), 1, 0, 0), Caps::Says::Take);
  EXPECT_EQ(c.ask(at(0), 2, 0, 0), Caps::Says::Take);
  EXPECT_EQ(c.ask(at(0), 3, 0, 0), Caps::Says::Take);
  EXPECT_EQ(c.ask(at(0), 4, 0, 0), Caps::Says::RouteFull);
  c.ended(at(1), 2);
  EXPECT_EQ(c.ask(at(1), 5, 0, 0), Caps::Says::Take);
}

RC_GTEST_PROP(Caps, NeverAboveCapAndFloorsAndNothingIsLeftBehind, ()) {
  Caps c(capped(20), {{2, 0}, {1, 0}, {1, 5}});
  std::vector<InfId> in;
  InfId inf = 0;
  double now = 0;
  for (const auto& [route, what] : *rc::gen::container<std::vector<std::pair<int, int>>>(
           rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 10)))) {
    now += 50;
    if (what < 6) {
      if (c.ask(at(now), ++inf, static_cast<std::uint16_t>(route), static_cast<std::uint16_t>(what)) ==
          Caps::Says::Take)
        in.push_back(inf);
    } else if (!in.empty()) {
      const auto k = static_cast<std::size_t>(what) % in.size();
      c.ended(at(now), in[k]), in.erase(in.begin() + static_cast<std::ptrdiff_t>(k));
    }
    RC_ASSERT(c.in_work() == in.size());
    RC_ASSERT(in.size() <= 22u);
    RC_ASSERT(c.in_work(2) <= 5u);
  }
  for (const InfId k : in) c.ended(at(now), k);
  RC_ASSERT(c.in_work() == 0u);
}

// ---- spill

struct Town {
  explicit Town(SpillRules rules = {}) : spill(rules, {{2, {{0}, {1}}}, {1, {{0}, {1}}}}, {"a", "b"}) {
    hear(spill.tick(at(0)));
  }
  void hear(const std::vector<SpillStep>& steps) {
    for (const auto& s : steps) std::holds_alternative<ZonesClosed>(s) ? ++told : ++notes;
  }
  void send(double now, std::uint16_t route, std::uint8_t zone) {
    hear(spill.sent(at(now), ++inf, route, zone));
  }
  void quiet(double from, double to) {
    for (double t = from; t <= to; t += 100) hear(spill.tick(at(t)));
  }
  Spill spill;
  InfId inf = 0;
  int told = 0, notes = 0;
};

TEST(Spill, KeepsToItsFirstTierWhileThereIsRoom) {
  Town t;
  EXPECT_TRUE(t.spill.closed(0, 1));
  EXPECT_FALSE(t.spill.closed(0, 0));
  for (int k = 0; k < 30; ++k) t.send(k, 0, 0);
  EXPECT_TRUE(t.spill.closed(0, 1));
  for (int k = 0; k < 32; ++k) t.send(100 + k, 0, 0);
  EXPECT_FALSE(t.spill.closed(0, 1));
}

TEST(Spill, ALostHallOpensTheNextTierUpToItsBound) {
  SpillRules rules;
  rules.fill = 0;  // only the bound
  Town t(rules);
  t.spill.hall(at(100), 0, Spill::Hall::Lost);
  t.hear(t.spill.tick(at(100)));
  EXPECT_FALSE(t.spill.closed(0, 1));
  int sent = 0;
  while (!t.spill.closed(0, 1) && sent < 1000) t.send(200 + sent, 0, 1), ++sent;
  EXPECT_EQ(sent, 16);  // a quarter of 64
  // The cheaper route has its floor beside it, and no more.
  int cheap = 0;
  while (!t.spill.closed(1, 1) && cheap < 1000) t.send(2000 + cheap, 1, 1), ++cheap;
  EXPECT_GE(cheap, 3);
  EXPECT_LE(cheap, 4);
  // Some end: there is room again.
  for (InfId k = 1; k <= 8; ++k) t.hear(t.spill.ended(at(3000), k));
  EXPECT_FALSE(t.spill.closed(0, 1));
}

TEST(Spill, WhatTheHallItselfLeavesFreeMayBeFilled) {
  Town t;
  t.spill.hall(at(0), 0, Spill::Hall::Lost);
  t.hear(t.spill.tick(at(0)));
  int sent = 0;
  while (!t.spill.closed(0, 1) && sent < 1000) t.send(sent, 0, 1), ++sent;
  EXPECT_EQ(sent, 58);  // 0.9 of 64
}

// Back cold it bears a part only: all at once would push it over, so the next tier stays open for a while.
TEST(Spill, AHallThatIsBackIsFilledAsItWarmsUp) {
  Town t;
  t.spill.hall(at(0), 0, Spill::Hall::Lost);
  t.quiet(0, 3000);
  t.spill.hall(at(3000), 0, Spill::Hall::Returning);
  t.hear(t.spill.tick(at(3000)));
  for (int k = 0; k < 20; ++k) t.send(3100 + k, 0, 0);  // more than a quarter of 64
  EXPECT_FALSE(t.spill.closed(0, 1));
  t.quiet(3200, 5500);  // three quarters of what it bears by now
  EXPECT_FALSE(t.spill.closed(0, 1));
  t.quiet(5500, 20000);  // warm: 20 are far below 64
  EXPECT_TRUE(t.spill.closed(0, 1));
}

TEST(Spill, WhoWaitsOpensTheNextTierThoughLittleIsInWork) {
  Town t;
  t.spill.press(at(100), 0);
  t.hear(t.spill.tick(at(100)));
  EXPECT_FALSE(t.spill.closed(0, 1));
  EXPECT_TRUE(t.spill.closed(1, 1));
}

TEST(Spill, ATierThatFlapsStaysOpenLongerEachTime) {
  Town t;
  double now = 0;
  std::vector<double> open_for;
  for (int k = 0; k < 4; ++k) {
    t.spill.press(at(now), 0);
    t.hear(t.spill.tick(at(now)));
    const double from = now;
    while (!t.spill.closed(0, 1)) now += 100, t.hear(t.spill.tick(at(now)));
    open_for.push_back(now - from);
    now += 200;
  }
  EXPECT_LT(open_for[0] * 1.5, open_for[1]);
  EXPECT_LT(open_for[1] * 1.5, open_for[2]);
}

TEST(Spill, BothHallsLostAndBackLeaveItAsItWas) {
  Town t;
  for (const std::uint8_t z : {std::uint8_t{0}, std::uint8_t{1}}) t.spill.hall(at(100), z, Spill::Hall::Lost);
  t.quiet(100, 5000);
  for (const std::uint8_t z : {std::uint8_t{0}, std::uint8_t{1}}) t.spill.hall(at(5000), z, Spill::Hall::Up);
  t.quiet(5000, 40000);
  EXPECT_TRUE(t.spill.closed(0, 1));
  EXPECT_FALSE(t.spill.closed(0, 0));
}

RC_GTEST_PROP(Spill, FirstTiersStayOpenCountsHoldAndTheBoundIsKept, ()) {
  SpillRules rules;
  rules.fill = 0;
  Town t(rules);
  std::map<InfId, std::pair<std::uint16_t, std::uint8_t>> in;
  double now = 0;
  for (const auto& [what, which] : *rc::gen::container<std::vector<std::pair<int, int>>>(
           rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 100)))) {
    now += 30;
    const auto route = static_cast<std::uint16_t>(which % 2);
    if (what < 5) {
      const std::uint8_t zone = t.spill.closed(route, 1) || which < 30 ? 0 : 1;
      t.send(now, route, zone), in[t.inf] = {route, zone};
    } else if (what < 7 && !in.empty()) {
      const auto it = std::next(in.begin(), which % static_cast<int>(in.size()));
      t.hear(t.spill.ended(at(now), it->first)), in.erase(it);
    } else if (what == 7) {
      t.spill.hall(at(now), static_cast<std::uint8_t>(which % 2),
                   which % 3 == 0 ? Spill::Hall::Lost : Spill::Hall::Up);
    } else {
      t.hear(t.spill.tick(at(now)));
    }
    std::size_t zone_1 = 0;
    for (const auto& [id, w] : in) zone_1 += w.second == 1;
    RC_ASSERT(t.spill.in_work(1) == zone_1);
    RC_ASSERT(t.spill.spilled(1) == zone_1);
    RC_ASSERT(!t.spill.closed(0, 0) && !t.spill.closed(1, 0));
    RC_ASSERT(zone_1 <= 21u);  // a quarter of 64, a floor above it, and one that crossed it
  }
}

}  // namespace
}  // namespace calicograde::limits

namespace calicograde::front {
namespace {

Instant at(double ms) { return Instant::at(Span::from_millis(ms)); }

struct Rig {
  Rig() {
    ModelRoute r;
    r.first_token_target = Span::millis(1000), r.token_pace = Span::millis(20), r.value = 1;
    settings.routes = {r};
    settings.kinds = {{Stage::Both, 200000}};
    settings.max_sends = 6, settings.second_copies = true, settings.may_cancel = true;
    settings.retry_advice = true, settings.max_retry_after = Span::millis(1000);
  }
  // Engine k stands in zone k.
  FleetListed list(int engines) const {
    FleetListed out;
    out.scope = ListScope::Full, out.version = 1;
    for (int k = 0; k < engines; ++k) {
      EngineEntry e;
      e.engine = {{10, 0, 0, static_cast<std::uint8_t>(k)}, 80}, e.zone = static_cast<std::uint8_t>(k);
      out.entries.push_back(e);
    }
    return out;
  }
  static Arrived arrival(InfId inf) {
    Arrived a;
    a.inf = inf, a.budget = Span::millis(8000), a.prompt_tokens = 500, a.max_answer_tokens = 50;
    return a;
  }
  template <class T>
  static std::vector<T> all(const std::vector<Action>& actions) {
    std::vector<T> out;
    for (const auto& a : actions)
      if (const auto* t = std::get_if<T>(&a)) out.push_back(*t);
    return out;
  }
  Settings settings;
};

// What a cap refuses is shed by the module, at once and with a time to come back, and nothing is sent for it.
TEST(Bounds, WhatIsOverALimitIsShedAtOnce) {
  Rig rig;
  Bounds bounds({}, {}, rig.settings, {{1, 1}}, {{1, {}}}, {"a"});
  Router router(1, rig.settings);
  router.handle(at(0), rig.list(1));
  auto first = Rig::arrival(1), second = Rig::arrival(2);
  bounds.arrived(at(1), first), bounds.arrived(at(1), second);
  EXPECT_FALSE(first.over_limit);
  ASSERT_TRUE(second.over_limit);
  const auto taken = router.handle(at(1), first), refused = router.handle(at(1), second);
  EXPECT_EQ(Rig::all<SendTo>(taken).size(), 1u);
  EXPECT_TRUE(Rig::all<SendTo>(refused).empty());
  ASSERT_EQ(Rig::all<Shed>(refused).size(), 1u);
  EXPECT_GT(Rig::all<Shed>(refused)[0].retry_after, Span{});
}

// A zone that is closed to a route gets no new pair of it, and gets them again once it is open.
TEST(Bounds, NewPairsKeepOutOfAClosedZone) {
  Rig rig;
  Router router(1, rig.settings);
  router.handle(at(0), rig.list(2));
  ZonesClosed closed;
  closed.by_route = {{1}};
  router.handle(at(1), closed);
  for (InfId k = 1; k <= 12; ++k)
    for (const auto& s : Rig::all<SendTo>(router.handle(at(1 + k), Rig::arrival(k))))
      EXPECT_EQ(s.engine.address[3], 0);
  router.handle(at(50), ZonesClosed{{{0}}});
  int there = 0;
  for (InfId k = 21; k <= 30; ++k)
    for (const auto& s : Rig::all<SendTo>(router.handle(at(50 + k), Rig::arrival(k)))) {
      EXPECT_EQ(s.engine.address[3], 1);
      ++there;
    }
  EXPECT_GT(there, 0);
}

// Every send fails at once: without a budget each inference is sent as often as it may be, with one the
// repeats stay a share of the first sends.
TEST(Bounds, RepeatedSendsStayWithinTheirBudget) {
  for (const double share : {0.0, 0.2}) {
    Rig rig;
    rig.settings.repeat_share = share;
    Router router(1, rig.settings);
    router.handle(at(0), rig.list(3));
    int sends = 0;
    std::map<InfId, std::uint8_t> count;
    for (InfId k = 1; k <= 200; ++k) {
      std::vector<Event> events{Rig::arrival(k)};
      while (!events.empty()) {
        const Event e = events.back();
        events.pop_back();
        for (const auto& s : Rig::all<SendTo>(router.handle(at(k * 10.0), e))) {
          ++sends;
          events.push_back(SendEnded{
              s.inf, count[s.inf]++, s.engine, EndedAs::Reset, Span::millis(1), false, 0, false, {}});
        }
      }
    }
    if (share > 0) EXPECT_LE(sends, 200 + 10 + 100);
    else EXPECT_GT(sends, 600);
  }
}

}  // namespace
}  // namespace calicograde::front
