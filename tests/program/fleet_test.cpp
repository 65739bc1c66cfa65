// Drain, count of fronts, campaigns and reports: their decisions, with time handed in.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>

#include "drain/drain.hpp"
#include "files/atomic_file.hpp"
#include "fleet/fleet_file.hpp"
#include "fleet/journal.hpp"
#include "fleet/report.hpp"
#include "membership/membership.hpp"
#include "settings/diff.hpp"
#include "settings/settings.hpp"

namespace calicograde {
namespace {

Instant at(double ms) { return Instant::at(Span::from_millis(ms)); }
template <class T, class V>
bool has(const std::vector<V>& steps) {
  return std::any_of(steps.begin(), steps.end(), [](const V& s) { return std::holds_alternative<T>(s); });
}

// ---- drain

TEST(Drain, IsDoneOnceNothingIsLeftAndNotBefore) {
  drain::Drain d;
  EXPECT_TRUE(has<drain::RefuseNew>(d.ask(at(0), {"a", Span::millis(10000), true, false})));
  d.seen(at(10), {2, 1, 1, at(0)});
  EXPECT_EQ(d.state(), drain::State::Draining);
  d.seen(at(20), {0, 0, 1, {}});  // a state is still held somewhere
  EXPECT_EQ(d.state(), drain::State::Draining);
  d.seen(at(30), {0, 0, 0, {}});
  EXPECT_EQ(d.state(), drain::State::Done);
  EXPECT_EQ(d.progress(at(40)).at_first, 3u);
}

TEST(Drain, AtItsLimitWhatIsLeftIsCutOrGoesOn) {
  for (const bool cut : {true, false}) {
    drain::Drain d;
    d.ask(at(0), {"a", Span::millis(1000), cut, false});
    EXPECT_FALSE(has<drain::CutOff>(d.seen(at(999), {1, 0, 0, at(0)})));
    EXPECT_EQ(has<drain::CutOff>(d.seen(at(1000), {1, 0, 0, at(0)})), cut);
    EXPECT_FALSE(has<drain::CutOff>(d.seen(at(1100), {1, 0, 0, at(0)})));  // once
    EXPECT_EQ(d.progress(at(1100)).late, !cut);
    d.seen(at(1200), {});
    EXPECT_EQ(d.state(), drain::State::Done);
  }
}

TEST(Drain, TwoWhoAskShareOneAndTheEarlierLimitStands) {
  drain::Drain d;
  d.ask(at(0), {"a", Span::millis(10000), true, false});
  EXPECT_TRUE(has<drain::Keep>(d.ask(at(100), {"b", Span::millis(60000), true, true})));
  EXPECT_EQ(d.progress(at(100)).number, 1u);
  EXPECT_EQ(d.progress(at(100)).by, "a");
  EXPECT_EQ(d.progress(at(100)).limit_in, Span::millis(9900));
  d.ask(at(200), {"c", Span::millis(1000), true, false});
  EXPECT_EQ(d.progress(at(200)).limit_in, Span::millis(1000));
}

TEST(Drain, IsTakenBackByItsNumberOnly) {
  drain::Drain d;
  using B = drain::Drain::Back;
  EXPECT_EQ(d.take_back(at(0), {}, "x").first, B::NotDraining);
  d.ask(at(0), {"a", Span::millis(1000), true, true});
  EXPECT_EQ(d.take_back(at(1), 7, "x").first, B::OtherNumber);
  const auto [back, steps] = d.take_back(at(2), 1, "x");
  EXPECT_EQ(back, B::Taken);
  EXPECT_TRUE(has<drain::TakeNew>(steps) && has<drain::Keep>(steps));
  d.ask(at(3), {"a", Span::millis(1000), true, false});
  EXPECT_EQ(d.progress(at(3)).number, 2u);  // the next one: a late "done" of the first is none of it
}

TEST(Drain, TellsWhenItWillEndByItsPace) {
  drain::Drain d;
  d.ask(at(0), {"a", Span{}, true, false});
  d.seen(at(0), {100, 0, 0, at(0)});
  EXPECT_FALSE(d.progress(at(0)).ends_in);
  d.seen(at(1000), {60, 0, 0, at(0)});
  EXPECT_EQ(d.progress(at(1000)).ends_in, Span::millis(1500));
}

RC_GTEST_PROP(Drain, DoneMeansThatNothingWasLeftSinceItWasAskedFor, ()) {
  drain::Drain d;
  double now = 0;
  std::optional<double> asked;
  bool none_seen = false;
  for (const auto& [what, n] : *rc::gen::container<std::vector<std::pair<int, int>>>(
           rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 4)))) {
    now += 100;
    if (what == 0) {
      const bool fresh = d.state() == drain::State::Serving;
      d.ask(at(now), {"a", Span::millis(n * 300), n % 2 == 0, false});
      if (fresh) asked = now, none_seen = false;
    } else if (what == 1) {
      d.take_back(at(now), n == 0 ? std::optional<std::uint64_t>() : std::optional<std::uint64_t>(n), "b");
      if (d.state() == drain::State::Serving) asked.reset();
    } else {
      const auto left = static_cast<std::size_t>(n);
      d.seen(at(now), {left, 0, 0, {}});
      none_seen = none_seen || (asked && n == 0);
    }
    RC_ASSERT((d.state() == drain::State::Serving) == !asked.has_value());
    RC_ASSERT(d.state() != drain::State::Done || none_seen);
  }
}

// ---- count of fronts

TEST(Membership, RisesAtOnceAndFallsOnceNothingHigherWasHeardForAWhile) {
  membership::Membership m(3, {});
  EXPECT_EQ(m.count(at(0)).first, 3);
  m.roster(at(1000), 200, true);
  EXPECT_EQ(m.count(at(1000)).first, 200);
  m.roster(at(2000), 150, true);
  for (double t = 2000; t < 31000; t += 1000) EXPECT_EQ(m.count(at(t)).first, 200) << t;
  EXPECT_EQ(m.count(at(33000)).first, 150);
}

TEST(Membership, ASteepFallIsBelievedLaterAndAFlapNotAtAll) {
  membership::Membership m(3, {});
  m.roster(at(0), 200, true);
  m.count(at(0));
  m.roster(at(1000), 2, true);  // more likely a broken list
  for (double t = 1000; t < 118000; t += 1000) EXPECT_EQ(m.count(at(t)).first, 200);
  EXPECT_EQ(m.count(at(125000)).first, 2);
  // Up and down every ten seconds: the higher one stands.
  for (int k = 0; k < 20; ++k) {
    m.roster(at(200000 + k * 10000), k % 2 ? 8 : 10, true);
    EXPECT_EQ(m.count(at(200000 + k * 10000)).first, 10);
  }
}

TEST(Membership, ByHandGoesFirstForItsTimeAndThisFrontCountsItself) {
  membership::Membership m(4, {});
  m.roster(at(0), 4, false);
  EXPECT_EQ(m.count(at(0)).first, 5);
  m.by_hand(at(0), 50, Span::millis(60000));
  EXPECT_EQ(m.count(at(1000)).first, 50);
  EXPECT_EQ(m.count(at(59000)).first, 50);
  EXPECT_EQ(m.count(at(61000)).first, 50);  // nothing lower for long enough yet
  EXPECT_EQ(m.count(at(200000)).first, 5);
}

RC_GTEST_PROP(Membership, NeverActsOnFewerThanWhatItHearsNow, ()) {
  membership::Membership m(3, {});
  double now = 0;
  int roster = 0;
  for (const auto& [step, count] : *rc::gen::container<std::vector<std::pair<int, int>>>(
           rc::gen::pair(rc::gen::inRange(0, 60000), rc::gen::inRange(1, 300)))) {
    now += step;
    m.roster(at(now), roster = count, true);
    RC_ASSERT(m.count(at(now)).first >= roster);
  }
}

// ---- campaigns

using fleet::Campaign;
using fleet::Result;

std::vector<fleet::Target> targets(int n, int halls = 1) {
  std::vector<fleet::Target> out;
  for (int k = 0; k < n; ++k) out.push_back({"f" + std::to_string(k), "h" + std::to_string(k % halls)});
  return out;
}

TEST(Campaign, AsksInBatchesAndHaltsAfterFailures) {
  fleet::Rules r;
  r.at_once = 3, r.halt_after = 2;
  Campaign c(r, targets(10), {}, {});
  auto batch = c.next(at(0));
  ASSERT_EQ(batch.size(), 3u);
  EXPECT_TRUE(c.next(at(1)).empty());
  c.ended(batch[0], Result::Done, "");
  EXPECT_EQ(c.next(at(2)).size(), 1u);
  c.ended(batch[1], Result::Unknown, "");
  c.ended(batch[2], Result::Unreachable, "");
  EXPECT_TRUE(c.halted());
  EXPECT_TRUE(c.next(at(3)).empty());
  EXPECT_FALSE(c.over());  // one is under way
  c.ended(3, Result::Done, "");
  EXPECT_TRUE(c.over());
  EXPECT_EQ(c.not_begun(), 6u);
  EXPECT_EQ(fleet::exit_code(c), 16 + 2 + 4 + 8);
}

TEST(Campaign, NeverMoreOfAHallOutThanItsShare) {
  fleet::Rules r;
  r.at_once = 100, r.hall_share = 0.5, r.takes_out = true;
  Campaign c(r, targets(8, 2), {{"h0", 4}, {"h1", 4}}, {{"h0", {"other"}}});
  const auto first = c.next(at(0));
  EXPECT_EQ(first.size(), 3u);  // one of h0 is out already
  for (const auto k : first) c.ended(k, k == 0 ? Result::Refused : Result::Done, "");
  EXPECT_EQ(c.next(at(1)).size(), 1u);  // who refused is not out: another of its hall may be
  c.ended(2, Result::Unknown, "");      // whoever that was: in doubt counts as out
  EXPECT_TRUE(c.next(at(2)).empty());
}

TEST(Campaign, WhatAJournalHasDoneIsNotAskedAgain) {
  fleet::Rules r;
  r.takes_out = true, r.hall_share = 0.5;
  Campaign c(r, targets(4), {{"h0", 4}}, {});
  c.already("f0", Result::Done);
  c.already("f1", Result::Unknown);
  const auto next = c.next(at(0));
  ASSERT_EQ(next.size(), 1u);  // f1 again; both count as out, so nobody else
  EXPECT_EQ(next[0], 1u);
}

RC_GTEST_PROP(Campaign, AllEndAndTheSharesAreKept, ()) {
  fleet::Rules r;
  r.at_once = static_cast<std::size_t>(*rc::gen::inRange(1, 9)), r.takes_out = true;
  r.hall_share = *rc::gen::inRange(1, 11) / 10.0;
  Campaign c(r, targets(20, 3), {{"h0", 7}, {"h1", 7}, {"h2", 6}}, {});
  std::vector<std::size_t> out;
  std::map<std::size_t, std::size_t> gone;
  while (!c.over()) {
    for (const auto k : c.next(at(0))) out.push_back(k), ++gone[k % 3];
    RC_ASSERT(out.size() <= r.at_once);
    for (std::size_t h = 0; h < 3; ++h)
      RC_ASSERT(gone[h] <=
                std::max<std::size_t>(1, static_cast<std::size_t>((h < 2 ? 7 : 6) * r.hall_share + 1e-9)));
    if (out.empty()) continue;
    const auto k = out.back();
    out.pop_back();
    const auto how = static_cast<Result>(*rc::gen::inRange(0, 4));
    c.ended(k, how, "");
    if (how == Result::Refused || how == Result::Unreachable) --gone[k % 3];
  }
  RC_ASSERT(c.not_begun() == 0u);
}

TEST(Journal, GoesOnAfterATornLineAndRefusesAnotherCommand) {
  const std::string path = testing::TempDir() + "journal-" + std::to_string(getpid());
  ::unlink(path.c_str());
  {
    fleet::Journal j(path, "drain", {"a", "b", "c"});
    j.asked("a"), j.ended("a", Result::Done, ""), j.asked("b"), j.asked("c"),
        j.ended("c", Result::Refused, "no");
  }
  std::ofstream(path, std::ios::app) << "{\"ended\":\"b\",\"res";  // killed in the middle of a line
  {
    fleet::Journal j(path, "drain", {"a", "b", "c"});
    EXPECT_TRUE(j.resumed());
    EXPECT_EQ(j.before().at("a"), Result::Done);
    EXPECT_EQ(j.before().at("b"), Result::Unknown);
    EXPECT_EQ(j.before().at("c"), Result::Refused);
    j.ended("b", Result::Done, "");
  }
  EXPECT_EQ(fleet::Journal(path, "drain", {"a", "b", "c"}).before().at("b"), Result::Done);
  EXPECT_THROW(fleet::Journal(path, "undrain", {"a", "b", "c"}), std::runtime_error);
  EXPECT_THROW(fleet::Journal(path, "drain", {"a"}), std::runtime_error);
  ::unlink(path.c_str());
}

TEST(Fleet, NamesAreMeantByPatternGroupHallAndTag) {
  EXPECT_TRUE(fleet::matches("front-*.hakata-1.example.org", "front-07.hakata-1.example.org"));
  EXPECT_FALSE(fleet::matches("front-*.hakata-1.example.org", "front-07.hakata-2.example.org"));
  EXPECT_TRUE(fleet::matches("*a*b*", "xxaxxbxx"));
  EXPECT_FALSE(fleet::matches("a", "ab"));
  std::vector<settings::Fault> faults;
  const auto f = fleet::read_fleet(
      "f.xml",
      "<fleet version=\"1\">\n<fronts name=\"front-{08..11}\" admin=\"127.0.0.1:{9008..9011}\" "
      "hall=\"h1\" tags=\"new big\"/>\n<fronts name=\"odd\" admin=\"unix:/run/x.sock\"/>\n"
      "<group name=\"some\" fronts=\"front-1* odd\"/>\n</fleet>",
      faults);
  ASSERT_TRUE(f && faults.empty());
  EXPECT_EQ(f->fronts[1].name, "front-09");
  EXPECT_EQ(f->fronts[3].admin.port, 9011);
  std::vector<std::string> unknown;
  EXPECT_EQ(fleet::select(*f, {"some"}, unknown).size(), 3u);
  EXPECT_EQ(fleet::select(*f, {"hall:h1", "front-08"}, unknown).size(), 4u);
  EXPECT_EQ(fleet::select(*f, {"tag:big", "nobody"}, unknown).size(), 4u);
  EXPECT_EQ(unknown, std::vector<std::string>{"nobody"});
}

TEST(Fleet, FaultsNameTheLineAndTheMend) {
  const std::pair<const char*, const char*> bad[] = {
      {"<fronts name=\"a\" admin=\"nowhere\"/>", "'nowhere' is no address"},
      {"<fronts name=\"a{1..3}\" admin=\"127.0.0.1:9000\"/>", "many fronts with one address"},
      {"<fronts name=\"a{1..3}\" admin=\"127.0.0.1:{1..2}\"/>", "count different numbers"},
      {"<fronts name=\"a{3..1}\" admin=\"127.0.0.1:{3..1}\"/>", "counts no fronts"},
      {"<fronts name=\"a\" admin=\"127.0.0.1:1\"/><fronts name=\"a\" admin=\"127.0.0.1:2\"/>",
       "stands already"},
      {"<fronts name=\"a\" admin=\"127.0.0.1:1\"/><group name=\"g\" fronts=\"b\"/>", "'b' means no front"}};
  for (const auto& [xml, what] : bad) {
    std::vector<settings::Fault> faults;
    EXPECT_FALSE(
        fleet::read_fleet("f.xml", std::string("<fleet version=\"1\">\n") + xml + "</fleet>", faults))
        << xml;
    ASSERT_FALSE(faults.empty());
    EXPECT_EQ(faults[0].line, 2);
    EXPECT_NE(faults[0].what.find(what), std::string::npos) << faults[0].what;
    EXPECT_FALSE(faults[0].mend.empty());
  }
  EXPECT_EQ(fleet::how_many("10%", 200), 20u);
  EXPECT_EQ(fleet::how_many("1%", 5), 1u);
  EXPECT_EQ(fleet::how_many("7", 5), 7u);
  for (const char* text : {"", "%", "0", "-1", "1.5", "x", "120%"})
    EXPECT_FALSE(fleet::how_many(text, 9)) << text;
}

// Sums of buckets, never means of quantiles: what two fronts saw is what one would have seen.
TEST(Report, AddsLatenciesExactlyAndNamesWhoDiffers) {
  metrics::Latency one, two, both;
  for (int k = 1; k <= 1000; ++k) (k % 10 ? one : two).add(Span::millis(k)), both.add(Span::millis(k));
  const auto said = [](const std::string& front, const metrics::Latency& l, const char* digest,
                       const char* judged) {
    fleet::Said s;
    s.front = front;
    s.state = {{"settings_digest", digest},
               {"build", "1"},
               {"fronts", {{"acting", 3}}},
               {"drain", {{"state", "serving"}}}};
    s.latency = {
        {"buckets", 1},
        {"routes",
         {{"chat",
           {{"outcomes", {{"completed", l.total()}}}, {"first_token", l.counts()}, {"whole", l.counts()}}}}}};
    s.engines = {
        {"engines", nlohmann::json::array({{{"pool", "main"}, {"address", "e1"}, {"judged", judged}}})}};
    return s;
  };
  auto silent = fleet::Said{"d", nullptr, nullptr, nullptr};
  auto other = said("c", one, "x", "trusted");
  other.latency["buckets"] = 2;
  const auto r =
      fleet::put_together({said("a", one, "x", "trusted"), said("b", two, "y", "doubted"), other, silent});
  EXPECT_EQ(r.asked, 4u);
  EXPECT_EQ(r.heard, 3u);
  EXPECT_EQ(r.routes.at("chat").first_token.counts(), both.counts());
  EXPECT_EQ(r.routes.at("chat").first_token.quantile_ms(0.99), both.quantile_ms(0.99));
  EXPECT_NEAR(both.quantile_ms(0.5), 500, 25);
  EXPECT_EQ(r.other_buckets, std::vector<std::string>{"c"});
  EXPECT_EQ(r.not_heard, std::vector<std::string>{"d"});
  EXPECT_EQ(r.digests.size(), 2u);
  ASSERT_EQ(r.odd.size(), 1u);
  EXPECT_EQ(r.odd[0].usual, "trusted");
  EXPECT_EQ(r.odd[0].others.at("doubted"), std::vector<std::string>{"b"});
}

TEST(Files, AreWholeOrNotThere) {
  const std::string path = testing::TempDir() + "file-" + std::to_string(getpid());
  std::string wrong;
  EXPECT_FALSE(files::read_small(path, wrong));
  EXPECT_TRUE(wrong.empty());
  EXPECT_EQ(files::write_atomically(path, "one"), "");
  EXPECT_EQ(files::write_atomically(path, "two"), "");
  EXPECT_EQ(files::read_small(path, wrong), "two");
  EXPECT_EQ(files::remove_durably(path), "");
  EXPECT_EQ(files::remove_durably(path), "");
  EXPECT_NE(files::write_atomically("/nowhere/at/all", "x"), "");
}

TEST(SettingsDiff, SpeaksInRoutesAndPools) {
  settings::Element a, b;
  a.name = b.name = "calicograde";
  const auto route = [](const char* name, const char* value) {
    settings::Element e;
    e.name = "route", e.attributes = {{"name", name}, {"value", value}};
    return e;
  };
  a.children = {route("chat", "2"), route("offer", "1"), route("old", "1")};
  b.children = {route("offer", "1"), route("chat", "3"), route("new", "1")};
  EXPECT_EQ(settings::diff(a, b),
            (std::vector<std::string>{"route chat: value 2 is now 3", "route old is gone", "route new is new",
                                      "routes are tried in another order: route offer, route chat"}));
  EXPECT_TRUE(settings::diff(a, a).empty());
}

}  // namespace
}  // namespace calicograde
