#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "prefix/index.hpp"

namespace calicograde::prefix {
namespace {

EngineId box(std::uint16_t n) { return {{127, 0, 0, 1}, n}; }

Chain chain(const std::string& text, std::size_t block = 4) {
  Cutter c(block);
  c.add(text);
  return c.chain();
}
std::map<EngineId, std::uint32_t> held(const Index& i, const Chain& c) {
  std::map<EngineId, std::uint32_t> out;
  for (const auto& k : i.look_up(c)) out[k.engine] = k.blocks;
  return out;
}
void read(Index& i, std::uint16_t at, const Chain& c, std::optional<double> found = {}) {
  std::uint32_t expected = 0;
  for (const auto& k : i.look_up(c))
    if (k.engine == box(at)) expected = k.blocks;
  i.read(box(at), c, static_cast<double>(c.size()) * 10, found, expected);
}

TEST(Prefix, BlocksAreNamedByAllThatStandsBefore) {
  EXPECT_EQ(chain("abcdefgh").size(), 2u);
  EXPECT_EQ(chain("abcdefghi"), chain("abcdefgh"));
  EXPECT_NE(chain("abcdefgh")[1], chain("xbcdefgh")[1]);
  Cutter parts(4);
  for (const char c : std::string("abcdefghijkl")) parts.add(std::string(1, c));
  EXPECT_EQ(parts.chain(), chain("abcdefghijkl"));
}

TEST(Prefix, TheLongestKeptPrefixIsFoundAtAllEnginesInOneWalk) {
  Index i({});
  read(i, 1, chain("aaaabbbbcccc"));
  read(i, 2, chain("aaaabbbbdddd"));
  read(i, 3, chain("aaaa"));
  const auto found = held(i, chain("aaaabbbbddddeeee"));
  EXPECT_EQ(found, (std::map<EngineId, std::uint32_t>{{box(1), 2}, {box(2), 3}, {box(3), 1}}));
  EXPECT_TRUE(i.look_up(chain("bbbb")).empty());
  EXPECT_TRUE(i.look_up({}).empty());
}

// A prompt that differs in its last block only; one of 32,000 tokens.
TEST(Prefix, LongPromptsThatDifferAtTheirEndShareTheRest) {
  Index i({});
  const std::string body(128000, 'x');
  read(i, 1, chain(body + "aaaa", 64));
  const auto other = chain(body + "bbbb" + std::string(60, 'y'), 64);
  EXPECT_EQ(held(i, other)[box(1)], 2000u);
  read(i, 2, other);
  EXPECT_LE(i.blocks(), 2002u);
}

TEST(Prefix, ManySessionsOnOneOpeningShareIt) {
  Index i({});
  const std::string opening(4000, 'o');
  for (int k = 0; k < 10000; ++k)
    read(i, static_cast<std::uint16_t>(1 + k % 3), chain(opening + std::to_string(100000 + k) + "..", 64));
  EXPECT_LT(i.blocks(), 10100u);
  EXPECT_EQ(held(i, chain(opening, 64)).size(), 3u);
}

TEST(Prefix, ARestartIsForgottenWhicheverSignComesFirst) {
  const Chain c = chain("aaaabbbbccccddddeeee");
  Index roster({});
  roster.listed(box(1), 1, 0), read(roster, 1, c), roster.listed(box(1), 2, 0);
  EXPECT_TRUE(held(roster, c).empty());
  Index refused({});
  read(refused, 1, c), refused.forget(box(1));
  EXPECT_TRUE(held(refused, c).empty());
  // A box back with empty memory under the same id: a read with nothing kept tells of all its texts.
  Index silent({});
  const Chain other = chain("zzzzyyyyxxxxwwwwvvvv");
  read(silent, 1, c), read(silent, 1, other);
  read(silent, 1, c, 0.0);
  EXPECT_TRUE(held(silent, other).empty());
  EXPECT_EQ(held(silent, c)[box(1)], 5u);
  Index stream({});
  EXPECT_TRUE(stream.heard(box(1), {0, CacheEvent::What::Stored, 0, c}));
  EXPECT_TRUE(stream.heard(box(1), {1, CacheEvent::What::Cleared, 0, {}}));
  EXPECT_TRUE(held(stream, c).empty());
  Index left({});
  read(left, 1, c), left.gone(box(1));
  EXPECT_TRUE(held(left, c).empty());
  left.listed(box(1), 1, 0);
  EXPECT_TRUE(held(left, c).empty());
}

// An eviction that the front never hears of shows in what a read finds.
TEST(Prefix, WhatAReadDidNotFindIsCutAndTeachesHowFarTheMemoryReaches) {
  Index i({});
  i.listed(box(1), 1, 1000);
  const Chain c = chain(std::string(400, 'a'));
  std::vector<double> likely;
  for (int round = 0; round < 8; ++round) {
    read(i, 1, c, round == 0 ? std::optional<double>() : 100.0);  // all but a little is gone each time
    // Other texts push it out.
    for (int k = 0; k < 3; ++k)
      read(i, 1, chain("t" + std::to_string(round * 10 + k) + std::string(400, 'b')));
    likely.push_back(i.look_up(c).front().likely);
  }
  EXPECT_LT(likely.back(), 0.2);
  EXPECT_GT(i.look_up(chain("t72" + std::string(400, 'b'))).front().likely, 0.9);
}

TEST(Prefix, EventsLostDoubledAndFromBeforeARestartAreNoticed) {
  Index i({});
  const Chain c = chain("aaaabbbbcccc");
  const auto stored = [&](std::uint64_t n, BlockName after, std::vector<BlockName> blocks) {
    return i.heard(box(1), {n, CacheEvent::What::Stored, after, std::move(blocks)});
  };
  EXPECT_TRUE(stored(0, 0, {c[0], c[1]}));
  EXPECT_TRUE(stored(0, 0, {c[0], c[1]}));  // doubled
  EXPECT_TRUE(i.tells(box(1)));
  EXPECT_TRUE(i.look_up(c).front().told);
  EXPECT_FALSE(stored(2, c[1], {c[2]}));  // one is missing
  EXPECT_TRUE(held(i, c).empty());
  EXPECT_FALSE(i.tells(box(1)));
  EXPECT_FALSE(stored(3, c[1], {c[2]}));  // until it is synced, sends count
  read(i, 1, chain("aaaa"));
  EXPECT_EQ(held(i, c)[box(1)], 1u);
  i.synced(box(1), 4, {c});
  EXPECT_EQ(held(i, c)[box(1)], 3u);
  EXPECT_TRUE(i.heard(box(1), {4, CacheEvent::What::Removed, 0, {c[1]}}));
  EXPECT_EQ(held(i, c)[box(1)], 1u);
  // A stream taken up in the middle is a gap from the start.
  EXPECT_FALSE(i.heard(box(2), {7, CacheEvent::What::Stored, 0, {c[0]}}));
  // Another incarnation begins its numbers anew.
  i.listed(box(1), 9, 0);
  EXPECT_TRUE(stored(0, 0, {c[0]}));
  EXPECT_EQ(held(i, c)[box(1)], 1u);
}

TEST(Prefix, TheOldestGoFirstAndTheBoundHolds) {
  Index i({100, 8, 1000, 1});
  for (int k = 0; k < 100; ++k) {
    read(i, 1, chain("h" + std::to_string(100 + k) + std::string(40, 'c')));
    read(i, 2, chain("keepkeepkeep"));
    EXPECT_LE(i.blocks(), 100u);
  }
  EXPECT_EQ(held(i, chain("keepkeepkeep"))[box(2)], 3u);
  EXPECT_TRUE(held(i, chain("h100" + std::string(40, 'c'))).empty());
  EXPECT_EQ(held(i, chain("h199" + std::string(40, 'c')))[box(1)], 11u);
  Index one({10, 8, 1000, 1});
  read(one, 1, chain(std::string(400, 'z')));  // a single prompt larger than the bound
  EXPECT_EQ(one.blocks(), 10u);
  EXPECT_EQ(held(one, chain(std::string(400, 'z')))[box(1)], 10u);
}

TEST(Prefix, MoreEnginesThanPlacesLoseKnowledgeNotTruth) {
  Index i({1000, 4, 1000, 1});
  const Chain c = chain("aaaabbbb");
  for (std::uint16_t k = 1; k <= 6; ++k) read(i, k, c);
  EXPECT_EQ(held(i, c).size(), 4u);
  i.gone(box(1)), i.gone(box(2));
  EXPECT_EQ(held(i, c).size(), 2u);
  read(i, 7, chain("aaaa"));
  EXPECT_EQ(held(i, c), (std::map<EngineId, std::uint32_t>{{box(3), 2}, {box(4), 2}, {box(7), 1}}));
}

// Against a naive model: sets of prefixes by engine. Reads, evictions by event, restarts, departures.
RC_GTEST_PROP(Prefix, TheIndexSaysWhatANaiveOneSays, ()) {
  Index index({1 << 20, 16, 1e9, 1});
  std::map<EngineId, std::set<BlockName>> naive;
  std::map<EngineId, std::uint64_t> next;
  const auto text = [&] {
    std::string out;
    const auto parts = *rc::gen::inRange(1, 7);
    for (int k = 0; k < parts; ++k) out += *rc::gen::element<std::string>("aaaa", "bbbb", "cccc");
    return out;
  };
  const auto expected = [&](const EngineId& e, const Chain& c) {
    std::uint32_t n = 0;
    while (n < c.size() && naive[e].contains(c[n])) ++n;
    return n;
  };
  const int steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    const auto e = box(*rc::gen::inRange<std::uint16_t>(1, 5));
    const bool tells = e.port <= 2;  // those send events, the others do not
    const Chain c = chain(text());
    switch (*rc::gen::inRange(0, tells ? 4 : 3)) {
      case 0:
      case 1:
        if (tells) {
          RC_ASSERT(index.heard(e, {next[e]++, CacheEvent::What::Stored, 0, c}));
        } else {
          index.read(e, c, 10.0 * static_cast<double>(c.size()), {}, expected(e, c));
        }
        naive[e].insert(c.begin(), c.end());
        break;
      case 2:
        if (*rc::gen::inRange(0, 4) > 0) break;
        if (tells) RC_ASSERT(index.heard(e, {next[e]++, CacheEvent::What::Cleared, 0, {}}));
        else index.forget(e);
        naive[e].clear();
        break;
      case 3: {
        // As engines do it: the last blocks of a text first.
        const std::uint32_t n = expected(e, c);
        if (n == 0) break;
        const BlockName last = c[n - 1];
        RC_ASSERT(index.heard(e, {next[e]++, CacheEvent::What::Removed, 0, {last}}));
        naive[e].erase(last);
        // What stood on it can't be used any more; the naive one finds that by itself.
        break;
      }
    }
    const Chain asked = chain(text());
    const auto found = held(index, asked);
    for (std::uint16_t k = 1; k < 5; ++k) {
      const auto it = found.find(box(k));
      const std::uint32_t said = it == found.end() ? 0 : it->second;
      const std::uint32_t truth = expected(box(k), asked);
      // A removed block hides what stood on it until that is stored anew: never more is said than is there.
      if (k <= 2) RC_ASSERT(said <= truth);
      else RC_ASSERT(said == truth);
    }
  }
}

}  // namespace
}  // namespace calicograde::prefix
