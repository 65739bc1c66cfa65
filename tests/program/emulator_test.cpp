#include <gtest/gtest.h>

#include <algorithm>

#include "emulator/experiment.hpp"
#include "routing/state.hpp"

namespace calicograde::emulator {
namespace {

Instant at(double ms) { return Instant::at(Span::from_millis(ms)); }

std::shared_ptr<const prefix::Chain> text(std::uint64_t seed, std::size_t blocks) {
  auto c = std::make_shared<prefix::Chain>();
  for (std::size_t k = 0; k < blocks; ++k) c->push_back(seed * 100000 + k + 1);
  return c;
}
template <class T>
std::vector<std::pair<Instant, T>> all(std::vector<std::pair<Instant, Said>> said) {
  std::vector<std::pair<Instant, T>> out;
  for (auto& [when, s] : said)
    if (auto* t = std::get_if<T>(&s)) out.emplace_back(when, *t);
  return out;
}

// docs/emulator.md, "A step": base + tokens read, and nothing else on an idle engine.
TEST(Emulator, AReadTakesWhatTheFormulaSays) {
  Engine e({});
  e.submit(at(0), {1, Job::Kind::Read, text(1, 20), 1, 0});
  e.advance(at(1000));
  const auto done = all<ReadDone>(e.take());
  ASSERT_EQ(done.size(), 1u);
  EXPECT_NEAR((done[0].first - Instant{}).as_millis(), 4 + 20 * 64 * 0.06, 0.01);
  EXPECT_EQ(done[0].second.found, 0u);
  // Again: all but the last block is kept.
  e.submit(at(1000), {2, Job::Kind::Read, text(1, 20), 1, 0});
  e.advance(at(2000));
  const auto again = all<ReadDone>(e.take());
  EXPECT_EQ(again.at(0).second.found, 19u);
  EXPECT_NEAR((again[0].first - at(1000)).as_millis(), 4 + 64 * 0.06, 0.01);
}

TEST(Emulator, LongReadsAreCutSoThatStreamsGoOn) {
  Engine e({});
  e.submit(at(0), {1, Job::Kind::Whole, text(1, 2), 1000, 0});
  e.advance(at(50));
  e.take();
  e.submit(at(50), {2, Job::Kind::Whole, text(2, 500), 1, 0});  // 32,000 tokens: 16 steps
  e.advance(at(5000));
  const auto tokens = all<Token>(e.take());
  Span worst;
  for (std::size_t k = 1; k < tokens.size(); ++k)
    if (tokens[k].second.job == 1) worst = std::max(worst, tokens[k].first - tokens[k - 1].first);
  EXPECT_LT(worst, Span::millis(140));  // one step of 2,048 tokens read
}

// Latency bends where work comes faster than it is read, and throughput levels off there.
TEST(Emulator, LatencyBendsAndThroughputLevelsOffUnderRisingLoad) {
  std::vector<double> latency, throughput;
  for (const double gap_ms : {400.0, 200.0, 100.0, 50.0, 25.0}) {  // a read takes about 81 ms
    Shape shape;
    shape.queue = 10000, shape.blocks = 1000000;
    Engine e(shape);
    std::map<JobId, Instant> sent;
    std::vector<double> took;
    const auto hear = [&] {
      for (const auto& [when, d] : all<ReadDone>(e.take())) took.push_back((when - sent[d.job]).as_millis());
    };
    for (JobId k = 0; static_cast<double>(k) * gap_ms < 8000; ++k) {
      const Instant now = at(static_cast<double>(k) * gap_ms);
      sent[k + 1] = now;
      e.submit(now, {k + 1, Job::Kind::Read, text(k + 1, 20), 1, 0});
      hear();
    }
    e.advance(at(8000));
    hear();
    latency.push_back(mean(took)), throughput.push_back(static_cast<double>(took.size()) / 8);
  }
  EXPECT_LT(latency[1], latency[0] * 1.2);
  EXPECT_GT(latency[4], latency[0] * 10);
  EXPECT_NEAR(throughput[4], throughput[3], throughput[3] * 0.1);
  EXPECT_GT(throughput[3], throughput[0] * 3);
}

TEST(Emulator, MemoryForgetsTheLeastRecentlyUsedAndTheEndOfATextFirst) {
  Shape shape;
  shape.blocks = 50, shape.events = true;
  Engine e(shape);
  JobId id = 1;
  const auto read = [&](std::uint64_t which) {
    const JobId job = id++;
    e.submit(at(static_cast<double>(job) * 1000), {job, Job::Kind::Read, text(which, 20), 1, 0});
    e.advance(at(static_cast<double>(job) * 1000 + 900));
    EXPECT_TRUE(e.take_state(at(static_cast<double>(job) * 1000 + 900), job));
  };
  read(1), read(2), read(1), read(3);
  EXPECT_EQ(e.kept(*text(1, 20)), 20u);
  EXPECT_EQ(e.kept(*text(3, 20)), 20u);
  EXPECT_EQ(e.kept(*text(2, 20)), 10u);  // its first half is still there
  EXPECT_LE(e.blocks_used(), 50u);
  std::uint64_t next = 0;
  for (const auto& event : e.take_events()) EXPECT_EQ(event.number, next++);
  EXPECT_FALSE(e.take_state(at(9000), 1));  // gone
  e.restart(at(9000));
  EXPECT_EQ(e.kept(*text(1, 20)), 0u);
  EXPECT_EQ(e.blocks_used(), 0u);
}

TEST(Emulator, AFullMemoryPreemptsTheNewestAnswerWhichStillEnds) {
  Shape shape;
  shape.blocks = 24, shape.block_tokens = 4;
  Engine e(shape);
  e.submit(at(0), {1, Job::Kind::Whole, text(1, 5), 40, 0});
  e.submit(at(1), {2, Job::Kind::Whole, text(2, 5), 40, 0});
  e.advance(at(20000));
  EXPECT_GT(e.preempted(), 0u);
  std::map<JobId, int> tokens, last;
  for (const auto& [when, t] : all<Token>(e.take())) ++tokens[t.job], last[t.job] += t.last;
  EXPECT_EQ(tokens[1], 40);
  EXPECT_EQ(tokens[2], 40);
  EXPECT_EQ(last[2], 1);
  EXPECT_EQ(e.jobs().size(), 0u);
}

TEST(Emulator, AStateThatIsGoneIsSaidSo) {
  Engine e({});
  e.submit(at(0), {1, Job::Kind::Write, text(1, 20), 3, 77});
  e.advance(at(100));
  const auto wants = all<WantState>(e.take());
  ASSERT_EQ(wants.size(), 1u);
  EXPECT_NEAR((wants[0].first - Instant{}).as_millis(), 20 * 64 / 300.0, 0.01);
  e.state(at(100), 1, false);
  EXPECT_TRUE(all<Refused>(e.take()).at(0).second.state_gone);
  e.submit(at(200), {2, Job::Kind::Write, text(1, 20), 3, 77});
  e.advance(at(300)), e.take();
  e.state(at(300), 2, true);
  e.advance(at(400));
  EXPECT_EQ(all<Token>(e.take()).size(), 3u);
}

TEST(Emulator, AFleetPlaysTheSameTwiceAndKnowledgePays) {
  WorldShape w;
  w.length = Span::millis(20000), w.warm_up = Span::millis(4000), w.load.sessions_a_s = 6;
  const auto hit = [&](Knows k) {
    w.knows = k;
    double asked = 0, found = 0;
    for (const Row& r : simulate(w))
      if (r.outcome == 0) asked += r.prompt_tokens, found += r.found_tokens;
    return found / asked;
  };
  const double nothing = hit(Knows::Nothing), sends = hit(Knows::Sends), perfect = hit(Knows::Perfect);
  EXPECT_EQ(sends, hit(Knows::Sends));
  EXPECT_GT(sends, nothing * 1.1);
  EXPECT_GT(sends, perfect * 0.9);
}

TEST(Emulator, AnExperimentsFaultsAreNamedByLine) {
  std::vector<settings::Fault> faults;
  EXPECT_FALSE(read_experiment("e.xml",
                               "<experiment name=\"e\">\n<load name=\"a\" sessions=\"0\"/>\n<arm name=\"x\" "
                               "knows=\"table\"/>\n<arm name=\"x\" knows=\"table\"/></experiment>",
                               faults));
  ASSERT_EQ(faults.size(), 2u);
  EXPECT_EQ(faults[0].line, 2);
  EXPECT_EQ(faults[1].line, 4);
}

}  // namespace
}  // namespace calicograde::emulator
