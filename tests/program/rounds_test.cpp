#include "rounds/rounds.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <set>

namespace calicograde::rounds {
namespace {

Instant at(int ms) { return Instant::at(Span::millis(ms)); }

struct Rig {
  explicit Rig(Rules rules = {{"*"}, 3, 2, 6, Span::millis(1000), 100, 100}, bool streams = true,
               int budget = 5000, int tokens = 1000)
      : rounds(std::move(rules), {{"look", Effect::Retriable}, {"pay", Effect::NonRetriable}}, {"mine"},
               at(0), Span::millis(budget), streams, tokens) {}
  void answer(int ms, std::vector<Use> uses, bool cut = false, double tokens = 10) {
    for (auto& s : rounds.answer_ended(at(ms), std::move(uses), cut, tokens)) steps.push_back(std::move(s));
  }
  void ended(int ms, std::size_t use, Ran ran = Ran::Yes, const std::string& text = "ok",
             bool error = false) {
    for (auto& s : rounds.call_ended(at(ms), use, ran, {text, error})) steps.push_back(std::move(s));
  }
  template <class T>
  std::vector<T> all() const {
    std::vector<T> out;
    for (const auto& s : steps)
      if (const auto* t = std::get_if<T>(&s)) out.push_back(*t);
    return out;
  }
  template <class T>
  std::size_t count() const {
    return all<T>().size();
  }
  EndMessage::Why why() const { return all<EndMessage>().at(0).why; }
  Rounds rounds;
  std::vector<Step> steps;
};
Use use(const std::string& name, const std::string& id, const std::string& input = "{}") {
  return {id, name, input, true};
}

TEST(Rounds, AnAnswerWithoutUsesEndsTheMessage) {
  Rig r;
  r.answer(10, {});
  EXPECT_EQ(r.why(), EndMessage::Why::Natural);
}

TEST(Rounds, CallsAreMadeAsManyAtOnceAsAllowedAndTheirResultsBeginTheNextRound) {
  Rig r;
  r.answer(10, {use("look", "1"), use("look", "2"), use("pay", "3")});
  EXPECT_EQ(r.count<MakeCall>(), 2u);
  EXPECT_EQ(r.all<MakeCall>()[0].until, at(1010));
  r.ended(20, 1);
  EXPECT_EQ(r.count<MakeCall>(), 3u);
  r.ended(30, 0), r.ended(40, 2);
  EXPECT_EQ(r.count<ShowResult>(), 3u);
  ASSERT_EQ(r.count<NextRound>(), 1u);
  EXPECT_EQ(r.all<NextRound>()[0].max_tokens, 990);
  const auto settled = r.rounds.settled();
  ASSERT_EQ(settled.size(), 3u);
  EXPECT_EQ(settled[1].use.id, "2");
  EXPECT_FALSE(r.rounds.harmless());  // pay ran
  EXPECT_FALSE(r.rounds.unsure());
}

// A tool that asks for a tool, without end.
TEST(Rounds, RoundsCallsAndTokensHaveAnEnd) {
  Rig r;
  for (int k = 0; k < 3; ++k) r.answer(k * 100, {use("look", std::to_string(k))}), r.ended(k * 100 + 10, 0);
  EXPECT_EQ(r.count<NextRound>(), 2u);
  EXPECT_EQ(r.why(), EndMessage::Why::Paused);
  Rig many({{"*"}, 100, 8, 6, Span::millis(1000), 100, 100});
  std::vector<Use> uses;
  for (int k = 0; k < 8; ++k) uses.push_back(use("look", std::to_string(k)));
  many.answer(0, uses);
  EXPECT_EQ(many.count<MakeCall>(), 6u);
  EXPECT_EQ(many.count<ShowResult>(), 2u);  // the model is told that the most is reached
  Rig tokens({{"*"}, 100, 8, 6, Span::millis(1000), 100, 100}, true, 5000, 20);
  tokens.answer(0, {use("look", "1")}, false, 20), tokens.ended(10, 0);
  EXPECT_EQ(tokens.why(), EndMessage::Why::MaxTokens);
}

TEST(Rounds, TheClientsOwnToolsAreHandedOverOnceThisFrontsAreDone) {
  Rig r;
  r.answer(10, {use("mine", "1"), use("look", "2")});
  EXPECT_EQ(r.count<EndMessage>(), 0u);
  r.ended(20, 1);
  EXPECT_EQ(r.why(), EndMessage::Why::ForClient);
  Rounds none({}, {}, {}, at(0), Span::millis(100), true, 10);
  EXPECT_EQ(none.whose("anything"), Rounds::Whose::Client);
}

TEST(Rounds, WhatTheModelGotWrongIsToldToTheModel) {
  Rig r;
  Use broken = use("look", "1");
  broken.input = "{\"a\":", broken.object = false;
  r.answer(10, {broken, use("nothing", "2"), use("look", "3", std::string(200, 'x')), use("look", "1")});
  EXPECT_EQ(r.count<MakeCall>(), 0u);
  EXPECT_EQ(r.count<ShowResult>(), 4u);
  for (const auto& s : r.all<ShowResult>()) EXPECT_TRUE(s.result.error);
  EXPECT_EQ(r.count<NextRound>(), 1u);
  EXPECT_TRUE(r.rounds.harmless());
}

TEST(Rounds, AnAnswerCutShortMakesNoCall) {
  Rig r;
  r.answer(10, {use("pay", "1", "{\"amou")}, true);
  EXPECT_EQ(r.count<MakeCall>(), 0u);
  EXPECT_EQ(r.why(), EndMessage::Why::MaxTokens);
}

// Rule 2 against the model itself: told that the outcome is unknown, it asks again.
TEST(Rounds, ACallWithUnknownOutcomeIsNotMadeAgainThoughTheModelAsks) {
  Rig r;
  r.answer(10, {use("pay", "1", "{\"to\":1}")});
  r.ended(20, 0, Ran::Unknown, "unknown", true);
  EXPECT_TRUE(r.rounds.unsure());
  r.answer(30, {use("pay", "2", "{\"to\":1}"), use("pay", "3", "{\"to\":2}")});
  EXPECT_EQ(r.count<MakeCall>(), 2u);  // the first, and the one with another input
  EXPECT_TRUE(r.all<ShowResult>()[1].result.error);
}

TEST(Rounds, EqualCallsThatMustNotRunTwiceGoOneAfterTheOther) {
  Rig r;
  r.answer(10, {use("pay", "1"), use("pay", "2")});
  EXPECT_EQ(r.count<MakeCall>(), 1u);
  r.ended(20, 0, Ran::Unknown, "unknown", true);
  EXPECT_EQ(r.count<MakeCall>(), 1u);
  EXPECT_EQ(r.count<NextRound>(), 1u);
}

TEST(Rounds, TheBudgetStandsStillWhileAnAnswerComesToAClientThatStreams) {
  Rig r;
  r.rounds.answer_began(at(1000));
  r.answer(9000, {use("look", "1")});
  EXPECT_EQ(r.rounds.ends(), at(13000));
  Rig whole({{"*"}, 3, 2, 6, Span::millis(1000), 100, 100}, false);
  whole.rounds.answer_began(at(1000));
  whole.answer(4990, {use("look", "1")});
  EXPECT_EQ(whole.count<MakeCall>(), 0u);  // no time is left, and it did not run
  EXPECT_EQ(whole.rounds.ends(), at(5000));
}

TEST(Rounds, TheBudgetsEndDropsWhatIsOut) {
  Rig r({{"*"}, 3, 2, 6, Span::millis(60000), 100, 100});
  r.answer(10, {use("pay", "1"), use("look", "2"), use("look", "3")});
  EXPECT_TRUE(r.rounds.tick(at(4999)).empty());
  r.steps = r.rounds.tick(at(5000));
  EXPECT_EQ(r.count<DropCall>(), 2u);
  EXPECT_EQ(r.count<FailMessage>(), 1u);
  EXPECT_TRUE(r.rounds.unsure() && !r.rounds.harmless());
  EXPECT_TRUE(r.rounds.call_ended(at(5001), 0, Ran::Yes, {}).empty());
  EXPECT_TRUE(r.rounds.tick(at(6000)).empty());
}

TEST(Rounds, AResultThatIsTooLargeIsSaidToBe) {
  Rig r;
  r.answer(10, {use("look", "1")});
  r.ended(20, 0, Ran::Yes, std::string(1000, 'x'));
  EXPECT_TRUE(r.all<ShowResult>()[0].result.error);
  EXPECT_LT(r.all<ShowResult>()[0].result.text.size(), 100u);
}

// Whatever the model asks and however calls end: each use has one result or is the client's, the bounds hold,
// the message ends once, and a call with unknown outcome is never made again.
RC_GTEST_PROP(Rounds, EveryMessageEndsOnceWithinItsBounds, ()) {
  const auto most = *rc::gen::inRange<std::size_t>(1, 4);
  Rules rules{
      {"*"}, *rc::gen::inRange(1, 5), most, *rc::gen::inRange<std::size_t>(1, 8), Span::millis(500), 50, 50};
  Rig r(rules, *rc::gen::arbitrary<bool>(), 5000, 200);
  int now = 0, ends = 0, rounds_begun = 1, ids = 0;
  std::set<std::size_t> out;
  std::map<std::size_t, std::pair<std::string, std::string>> asked;
  std::set<std::pair<std::string, std::string>> unsure;
  std::size_t made = 0, shown = 0, uses_now = 0, clients_now = 0;
  bool wants_answer = true;
  const auto take = [&](std::vector<Step> steps) {
    for (auto& s : steps) {
      RC_ASSERT(ends == 0);
      if (auto* c = std::get_if<MakeCall>(&s)) {
        RC_ASSERT(out.insert(c->use).second);
        RC_ASSERT(out.size() <= rules.most_at_once && ++made <= rules.most_calls);
        RC_ASSERT(!unsure.contains(asked[c->use]));
      } else if (std::holds_alternative<ShowResult>(s)) {
        ++shown;
      } else if (std::holds_alternative<NextRound>(s)) {
        RC_ASSERT(out.empty() && shown + clients_now == uses_now && clients_now == 0u);
        wants_answer = true, ++rounds_begun;
        RC_ASSERT(rounds_begun <= rules.most_rounds);
      } else if (std::holds_alternative<EndMessage>(s) || std::holds_alternative<FailMessage>(s)) {
        ++ends;
      }
    }
  };
  for (int step = 0; step < 60 && ends == 0; ++step) {
    now += *rc::gen::inRange(0, 300);
    if (wants_answer) {
      wants_answer = false;
      std::vector<Use> uses;
      asked.clear();
      const int n = *rc::gen::inRange(0, 4);
      clients_now = 0, shown = 0;
      for (int k = 0; k < n; ++k) {
        const auto name = *rc::gen::element<std::string>("look", "pay", "mine", "nobody");
        const auto input = *rc::gen::element<std::string>("{}", "{\"a\":1}");
        clients_now += name == "mine";
        asked[uses.size()] = {name, input};
        uses.push_back(use(name, std::to_string(ids++), input));
      }
      uses_now = uses.size();
      take(r.rounds.answer_ended(at(now), uses, false, 5));
    } else if (!out.empty() && *rc::gen::inRange(0, 4) > 0) {
      const auto which = *out.begin();
      out.erase(which);
      const auto ran = *rc::gen::element(Ran::No, Ran::Yes, Ran::Unknown);
      if (ran == Ran::Unknown && asked[which].first == "pay") unsure.insert(asked[which]);
      take(r.rounds.call_ended(at(now), which, ran, {"x", false}));
    } else {
      take(r.rounds.tick(at(now)));
    }
  }
  RC_ASSERT(ends <= 1);
  if (ends == 0) {
    take(r.rounds.tick(at(1000000)));
    RC_ASSERT(ends == 1 || wants_answer);
  }
}

}  // namespace
}  // namespace calicograde::rounds
