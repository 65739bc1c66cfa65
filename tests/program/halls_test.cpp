#include "halls/halls.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <map>

namespace calicograde::halls {
namespace {

Instant at(int ms) { return Instant::at(Span::millis(ms)); }
EngineId box(int hall, int k) {
  return {{10, 0, static_cast<std::uint8_t>(hall), static_cast<std::uint8_t>(k)}, 80};
}

struct Rig {
  explicit Rig(int count = 2, int engines = 8, Rules rules = {})
      : halls(rules, {"hakata", "tenjin", "momochi"}, 0, 7), count_(count), engines_(engines) {
    take(halls.listed(at(0), list()));
  }
  FleetListed list() const {
    FleetListed l;
    l.scope = ListScope::Full, l.version = 1;
    for (int h = 0; h < count_; ++h)
      for (int k = 0; k < engines_; ++k) {
        EngineEntry e;
        e.engine = box(h, k), e.zone = static_cast<std::uint8_t>(h);
        l.entries.push_back(e);
      }
    return l;
  }
  void take(const std::vector<Step>& steps) {
    looks.clear();
    for (const auto& s : steps) {
      if (const auto* t = std::get_if<Tell>(&s))
        for (const auto& e : t->list.entries) module[e.engine] = e;
      if (const auto* l = std::get_if<Look>(&s)) looks.push_back(l->engine);
      if (std::holds_alternative<Note>(s)) ++notes;
    }
  }
  void met(int ms, int hall, int k, Sign sign) { take(halls.met(at(ms), box(hall, k), sign)); }
  void lose(int ms, int hall, int engines = 4) {
    for (int k = 0; k < engines; ++k) met(ms, hall, k, Sign::Refused);
  }
  // Ticks, answering looks; `there`: whether something listens.
  void go(int from, int to, const std::function<bool(const EngineId&)>& there) {
    for (int ms = from; ms <= to; ms += 100) {
      take(halls.tick(at(ms)));
      for (const auto& id : std::vector<EngineId>(looks))
        take(halls.met(at(ms), id, there(id) ? Sign::Answered : Sign::Refused));
    }
  }
  int open(int hall) const {
    return static_cast<int>(std::count_if(module.begin(), module.end(), [&](const auto& m) {
      return m.second.zone == hall && m.second.lifecycle == Lifecycle::Ready;
    }));
  }
  Halls halls;
  std::map<EngineId, EngineEntry> module;  // what the module believes
  std::vector<EngineId> looks;
  int notes = 0;

 private:
  const int count_, engines_;
};
bool yes(const EngineId&) { return true; }
bool no(const EngineId&) { return false; }

TEST(Halls, AHallWhoseEnginesAreRefusedIsHeldOutWhole) {
  Rig r;
  r.met(100, 0, 0, Sign::Answered);
  r.met(100, 1, 0, Sign::Refused);
  EXPECT_EQ(r.open(1), 8);  // one engine is one engine
  r.met(110, 1, 1, Sign::Refused);
  EXPECT_EQ(r.halls.state(1), State::Lost);
  EXPECT_EQ(r.open(1), 0);
  EXPECT_EQ(r.open(0), 8);
  EXPECT_EQ(r.notes, 1);
}

TEST(Halls, SlowEnginesBrokenSendsAndSingleSilencesAreNoLostHall) {
  Rig r;
  for (int k = 0; k < 8; ++k) {
    r.met(100 + k, 1, k, Sign::Broken);  // time-outs of sends whose connection stood
    r.met(200 + k, 1, k, Sign::Answered);
    r.met(300 + k, 1, k, Sign::Silent);  // one lost packet each
  }
  EXPECT_EQ(r.halls.state(1), State::Up);
  for (int k = 0; k < 8; ++k) r.met(400 + k, 1, k, Sign::Silent);
  r.met(410, 0, 0, Sign::Answered);
  EXPECT_EQ(r.halls.state(1), State::Lost);
}

// Half a hall lost is many engines lost: the module's doubt is for that.
TEST(Halls, AHallInWhichMostEnginesAnswerStays) {
  Rig r;
  for (int k = 4; k < 8; ++k) r.met(90, 1, k, Sign::Answered);
  r.lose(100, 1, 4);
  EXPECT_EQ(r.halls.state(1), State::Up);
  EXPECT_EQ(r.open(1), 8);
}

TEST(Halls, AFrontThatReachesNobodyHoldsNobodyOut) {
  Rig r;
  r.lose(100, 0), r.lose(100, 1);
  EXPECT_TRUE(r.halls.cut_off());
  EXPECT_EQ(r.open(0) + r.open(1) > 0, true);
  EXPECT_EQ(r.open(1), 8);
}

TEST(Halls, ItReturnsInStagesOnceEnoughIsSeenThere) {
  Rig r;
  r.met(90, 0, 0, Sign::Answered);
  r.lose(100, 1);
  r.go(200, 5000, no);
  EXPECT_EQ(r.open(1), 0);
  r.met(5050, 0, 0, Sign::Answered);
  std::vector<int> open;
  for (int ms = 5100; ms < 10500; ms += 100) {
    r.go(ms, ms, yes);
    if (open.empty() || open.back() != r.open(1)) open.push_back(r.open(1));
  }
  EXPECT_EQ(open, (std::vector<int>{0, 1, 2, 4, 8}));
  EXPECT_EQ(r.halls.state(1), State::Up);
  // They were refused and are there now, though the roster has no later start: they count as fresh (rule 4).
  int fresh = 0;
  for (const auto& [id, e] : r.module) fresh += e.zone == 1 && e.started.has_value();
  EXPECT_EQ(fresh, 8);
}

TEST(Halls, AHallThatFlapsStaysOutLongerEachTime) {
  Rig r;
  std::vector<int> out;
  int ms = 100;
  for (int round = 0; round < 4; ++round) {
    r.met(ms, 0, 0, Sign::Answered);
    r.lose(ms + 10, 1, 8);
    ASSERT_EQ(r.halls.state(1), State::Lost) << round;
    const int lost = ms;
    while (r.halls.state(1) == State::Lost) {
      r.met(ms, 0, 0, Sign::Answered);
      r.go(ms, ms, yes), ms += 100;
    }
    out.push_back(ms - lost);
  }
  EXPECT_GT(out[1], out[0]);
  EXPECT_GT(out[3], out[1] * 2);
}

TEST(Halls, TheRosterMaySayGoneOrStartedAnew) {
  Rig r;
  r.met(90, 0, 0, Sign::Answered);
  r.lose(100, 1);
  auto gone = r.list();
  for (auto& e : gone.entries)
    if (e.zone == 1) e.lifecycle = Lifecycle::Gone;
  r.take(r.halls.listed(at(500), gone));
  r.go(600, 8000, yes);
  EXPECT_EQ(r.open(1), 0);  // the roster has it gone: nothing is looked at
  auto back = r.list();
  for (auto& e : back.entries)
    if (e.zone == 1) e.started = at(8000);
  r.take(r.halls.listed(at(8300), back));
  r.met(8300, 0, 0, Sign::Answered);
  r.go(8400, 14000, yes);
  EXPECT_EQ(r.open(1), 8);
  for (const auto& [id, e] : r.module)
    if (e.zone == 1) {
      EXPECT_TRUE(e.started && *e.started >= at(8000));
    }
}

TEST(Halls, ByHandItStaysOutUntilItIsLetIn) {
  Rig r;
  r.take(r.halls.hold_out(at(100), 1, true));
  EXPECT_EQ(r.open(1), 0);
  r.go(200, 60000, yes);
  r.take(r.halls.listed(at(60000), r.list()));
  EXPECT_EQ(r.open(1), 0);
  r.take(r.halls.hold_out(at(60100), 1, false));
  r.go(60200, 66000, yes);
  EXPECT_EQ(r.open(1), 8);
}

TEST(Halls, OffMeansThatNothingIsJudged) {
  Rules off;
  off.on = false;
  Rig r(2, 8, off);
  r.met(90, 0, 0, Sign::Answered), r.lose(100, 1, 8);
  EXPECT_EQ(r.open(1), 8);
}

// Whatever is met, some hall that the roster has ready is open to the module, unless all are held out by
// hand; and once all answers, all is open in the end.
RC_GTEST_PROP(Halls, SomeHallIsOpenAndInTheEndAllAre, ()) {
  Rig r(3, 4);
  int ms = 100;
  const int steps = *rc::gen::inRange(1, 120);
  for (int k = 0; k < steps; ++k) {
    ms += *rc::gen::inRange(0, 400);
    const int hall = *rc::gen::inRange(0, 3), engine = *rc::gen::inRange(0, 4);
    const auto sign =
        *rc::gen::element(Sign::Answered, Sign::Refused, Sign::Refused, Sign::Silent, Sign::Broken);
    if (*rc::gen::inRange(0, 3) == 0) r.go(ms, ms, no);
    else r.met(ms, hall, engine, sign);
    RC_ASSERT(r.open(0) + r.open(1) + r.open(2) > 0);
  }
  for (int k = 0; k < 2000; ++k, ms += 100) {
    for (int h = 0; h < 3; ++h)
      for (int e = 0; e < 4; ++e)
        if (!r.halls.withheld(box(h, e))) r.met(ms, h, e, Sign::Answered);
    r.go(ms, ms, yes);
  }
  RC_ASSERT(r.open(0) + r.open(1) + r.open(2) == 12);
}

}  // namespace
}  // namespace calicograde::halls
