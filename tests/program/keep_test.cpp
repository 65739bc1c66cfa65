// What is kept through a restart: its form, recovery at every point of a crash, and ageing.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstring>
#include <functional>

#include "front/keys.hpp"
#include "keep/ageing.hpp"
#include "keep/store.hpp"
#include "prefix/index.hpp"

namespace calicograde::keep {
namespace {

Instant at(double ms) { return Instant::at(Span::from_millis(ms)); }

State sample(int n) {
  State s;
  s.front = "front-1", s.wall_ms = 1000000 + n;
  for (int k = 0; k < 3; ++k)
    s.marks.push_back({"pay", "k" + std::to_string(n * 10 + k), 5000 + k, true, k == 1, true});
  PoolMemory p;
  p.name = "main", p.cap = 42;
  p.engines = {{"10.0.0.1:80", "7", 1000}, {"10.0.0.2:80", "", 0}};
  p.runs = {{0, 0, {1, 2, 3}, {{0, 3, 10.5f}, {1, 2, 0}}}, {3, 3, {4, 5}, {{0, 1, 2}}}};
  p.held_engines = {"10.0.0.2:80"}, p.held_halls = {"hall-1"};
  s.pools.push_back(p);
  return s;
}

TEST(KeepState, ReadsBackWhatItWrote) {
  const auto read = decode(encode(sample(1)));
  ASSERT_TRUE(read.state) << read.wrong;
  EXPECT_EQ(read.state->marks, sample(1).marks);
  ASSERT_EQ(read.state->pools.size(), 1u);
  const auto& p = read.state->pools[0];
  EXPECT_EQ(p.engines[0].incarnation, "7");
  EXPECT_EQ(p.runs[1].after, 3u);
  EXPECT_EQ(p.runs[0].blocks, (std::vector<std::uint64_t>{1, 2, 3}));
  EXPECT_EQ(p.runs[0].kept[0].distance, 10.5f);
  EXPECT_EQ(p.held_halls, std::vector<std::string>{"hall-1"});
}

TEST(KeepState, EveryFlippedBitAndEveryCutIsNoticed) {
  const std::string good = encode(sample(1));
  for (std::size_t k = 0; k < good.size(); ++k) {
    std::string bad = good;
    bad[k] = static_cast<char>(bad[k] ^ (1 << (k % 8)));
    EXPECT_FALSE(decode(bad).state) << k;
    EXPECT_FALSE(decode(std::string_view(good).substr(0, k)).state) << k;
  }
}

TEST(KeepState, ALaterFormatIsRefusedByItsNumber) {
  std::string later = encode(sample(1));
  later[8] = 2;
  const auto read = decode(later);
  EXPECT_FALSE(read.state);
  EXPECT_TRUE(read.newer);
  EXPECT_EQ(read.wrong, "it is of format 2, this program reads up to 1");
}

TEST(KeepState, MarksAreReadUpToTheLastWholeOne) {
  std::string log;
  for (const auto& m : sample(1).marks) log += encode_mark(m);
  std::size_t whole = 0;
  for (std::size_t cut = 0; cut <= log.size(); ++cut) {
    const auto marks = decode_marks(std::string_view(log).substr(0, cut), whole);
    EXPECT_LE(whole, cut);
    EXPECT_EQ(marks.size(), whole == 0 ? 0 : whole == log.size() ? 3 : marks.size());
    for (std::size_t k = 0; k < marks.size(); ++k) EXPECT_EQ(marks[k], sample(1).marks[k]);
  }
  EXPECT_EQ(whole, log.size());
}

// ---- a disk that forgets what was not synced

// What a file system may leave after a power failure: of each file the synced bytes and any part of what came
// after; of the folder's changes since its last sync any that do not contradict each other.
class FakeDisk : public Disk {
 public:
  struct Content {
    std::string bytes;
    std::size_t synced = 0;
  };
  using Ref = std::shared_ptr<Content>;
  struct Change {
    std::string from, to;  // created: from empty; removed: to empty
    Ref file;
  };
  int fail_at = -1;  // this call fails, and all after it: the power is gone
  int calls = 0;
  bool unlisted = false;  // the folder can't be listed for now
  int failures = 0;       // so many calls from now on fail, and then no more: the disk was full for a while
  std::set<std::string> broken;  // files that can't be read for now

  std::string create(const std::string& n) override {
    return step([&] {
      auto f = std::make_shared<Content>();
      now_[n] = f, changes_.push_back({"", n, f});
    });
  }
  std::string append(const std::string& n, std::string_view b) override {
    return step([&] { now_.at(n)->bytes += b; });
  }
  std::string sync(const std::string& n) override {
    return step([&] { now_.at(n)->synced = now_.at(n)->bytes.size(); });
  }
  std::string rename(const std::string& a, const std::string& b) override {
    return step([&] {
      const Ref f = now_.at(a);
      now_.erase(a), now_[b] = f, changes_.push_back({a, b, f});
    });
  }
  std::string remove(const std::string& n) override {
    return step([&] {
      if (now_.erase(n) > 0) changes_.push_back({n, "", nullptr});
    });
  }
  std::string sync_folder() override {
    return step([&] { durable_ = now_, changes_.clear(); });
  }
  std::optional<std::vector<std::string>> list(std::string& wrong) override {
    if (unlisted) return wrong = "cannot list: Input/output error", std::nullopt;
    std::vector<std::string> out;
    for (const auto& [n, f] : now_) out.push_back(n);
    return out;
  }
  std::optional<std::string> read(const std::string& n, std::string& wrong) override {
    const auto it = now_.find(n);
    if (it == now_.end()) return wrong = "not there", std::nullopt;
    if (broken.contains(n)) return wrong = "cannot read " + n + ": Input/output error", std::nullopt;
    return it->second->bytes;
  }
  std::size_t pending() const { return changes_.size(); }

  // The disk after a power failure: `which` of the folder's changes came through, and how much of what was
  // not synced of each file.
  FakeDisk after_crash(std::size_t which, int tail) const {
    FakeDisk out;
    std::map<std::string, Ref> names = durable_;
    for (std::size_t k = 0; k < changes_.size(); ++k) {
      if ((which >> k & 1) == 0) continue;
      if (!changes_[k].from.empty()) names.erase(changes_[k].from);
      if (!changes_[k].to.empty()) names[changes_[k].to] = changes_[k].file;
    }
    for (const auto& [n, f] : names) {
      auto copy = std::make_shared<Content>();
      const std::size_t more = f->bytes.size() - f->synced;
      copy->bytes = f->bytes.substr(0, f->synced + (tail == 0 ? 0 : tail == 1 ? more / 2 : more));
      // Or its length came through, and its bytes did not.
      if (tail == 3)
        std::fill(copy->bytes.begin() + static_cast<std::ptrdiff_t>(f->synced), copy->bytes.end(), '\0');
      copy->synced = copy->bytes.size();
      out.now_[n] = copy;
    }
    out.durable_ = out.now_;
    return out;
  }

 private:
  std::string step(const std::function<void()>& what) {
    if (fail_at >= 0 && calls++ >= fail_at) return "no power";
    if (failures > 0) return --failures, "no space";
    what();
    return {};
  }
  std::map<std::string, Ref> now_, durable_;
  std::vector<Change> changes_;
};

std::vector<std::string> names_of(Disk& disk) {
  std::string wrong;
  return disk.list(wrong).value_or(std::vector<std::string>{});
}

bool holds(const State& s, const std::string& key) {
  return std::any_of(s.marks.begin(), s.marks.end(), [&](const Mark& m) { return m.key == key; });
}

// The power fails at every call that a life of the store makes, in every way that its disk allows: what was
// marked and acknowledged is there, and the state is the old one or the new one, whole.
TEST(KeepStore, EveryPointOfACrashLeavesTheOldStateOrTheNewOneAndAllMarks) {
  int lives = 0;
  for (int fail = 0;; ++fail) {
    FakeDisk disk;
    disk.fail_at = fail;
    Store store(disk);
    store.load("front-1");
    std::vector<std::string> acknowledged;
    std::uint64_t last_asked = 0, last_kept = 0;
    State known;
    const auto mark = [&](const std::string& key) {
      if (store.mark({{"pay", key, 7000, true, false, false}}).empty()) acknowledged.push_back(key);
      known.marks.push_back({"pay", key, 7000, true, false, false});
    };
    for (int g = 1; g <= 4; ++g) {
      mark("a" + std::to_string(g)), mark("b" + std::to_string(g));
      std::uint64_t number = 0;
      if (!store.rotate(number).empty()) continue;
      mark("during" + std::to_string(g));
      State s = sample(g);
      s.marks = known.marks;
      last_asked = static_cast<std::uint64_t>(s.wall_ms);
      if (store.snapshot(number, s).empty()) last_kept = last_asked;
    }
    const std::size_t ways = std::size_t{1} << std::min<std::size_t>(disk.pending(), 8);
    for (std::size_t which = 0; which < ways; ++which)
      for (int tail = 0; tail < 4; ++tail) {
        ++lives;
        FakeDisk found = disk.after_crash(which, tail);
        Store again(found);
        const auto loaded = again.load("front-1");
        EXPECT_EQ(again.begun(), "");
        for (const auto& key : acknowledged)
          EXPECT_TRUE(holds(loaded.state, key)) << fail << " " << which << " " << key;
        const auto wall = static_cast<std::uint64_t>(loaded.state.wall_ms);
        EXPECT_TRUE(last_kept == 0 || wall >= last_kept) << fail;
        EXPECT_LE(wall, std::max(last_asked, last_kept));
        // And it goes on from there.
        EXPECT_EQ(again.mark({{"pay", "later", 9000, true, false, true}}), "");
        Store third(found);
        EXPECT_TRUE(holds(third.load("front-1").state, "later"));
      }
    if (disk.calls <= fail) break;  // nothing failed: all points are through
  }
  EXPECT_GT(lives, 500);
}

TEST(KeepStore, DamagedOnesAreSetAsideLaterOnesAndOthersLeftAlone) {
  FakeDisk disk;
  Store store(disk);
  store.load("front-1");
  for (int g = 1; g <= 2; ++g) {
    std::uint64_t n = 0;
    ASSERT_EQ(store.rotate(n), "");
    ASSERT_EQ(store.snapshot(n, sample(g)), "");
  }
  std::string newest;
  for (const auto& n : names_of(disk))
    if (n.ends_with(".snap")) newest = n;
  std::string bytes = *disk.read(newest, bytes), wrong;
  bytes[40] = static_cast<char>(bytes[40] ^ 1);
  disk.create(newest), disk.append(newest, bytes);
  Store again(disk);
  auto loaded = again.load("front-1");
  EXPECT_EQ(loaded.state.wall_ms, 1000001);  // the one before it
  ASSERT_EQ(loaded.notes.size(), 1u);
  EXPECT_NE(loaded.notes[0].find("checksum"), std::string::npos);
  EXPECT_TRUE(disk.read(newest + ".damaged", wrong));
  // Another front's file, and one of a later program.
  std::string later = encode(sample(5));
  later[8] = 9;
  disk.create("state-0000000099.snap"), disk.append("state-0000000099.snap", later);
  Store third(disk);
  loaded = third.load("front-2");
  EXPECT_FALSE(loaded.any);
  EXPECT_EQ(loaded.notes.size(), 2u);
  for (int g = 1; g <= 3; ++g) {
    std::uint64_t n = 0;
    ASSERT_EQ(third.rotate(n), "");
    EXPECT_GT(n, 99u);
    ASSERT_EQ(third.snapshot(n, sample(g)), "");
  }
  EXPECT_TRUE(disk.read("state-0000000099.snap", wrong));
}

TEST(KeepStore, ATryThatRanNowhereTakesItsMarkBackAndNoEarlierOne) {
  FakeDisk disk;
  Store store(disk);
  store.load("f");
  const auto begin = [](const char* key, int t) { return Mark{"pay", key, t, true, false, false}; };
  const auto over = [](const char* key, int t, bool ran) { return Mark{"pay", key, t, ran, false, true}; };
  store.mark({begin("x", 10), over("x", 20, false)});
  store.mark({begin("y", 10), over("y", 10, true), begin("y", 30), over("y", 40, false)});
  store.mark({begin("z", 50)});
  Store again(disk);
  const auto s = again.load("f").state;
  EXPECT_FALSE(holds(s, "x"));
  ASSERT_TRUE(holds(s, "y") && holds(s, "z"));
  for (const auto& m : s.marks) EXPECT_EQ(m.first_ms, m.key == "y" ? 10 : 50);
}

TEST(KeepStore, AFolderIsOneProcesssAlone) {
  const std::string path = testing::TempDir() + "keep-" + std::to_string(getpid());
  ::mkdir(path.c_str(), 0700);
  {
    Folder mine(path);
    EXPECT_THROW(Folder{path}, std::runtime_error);
    Store store(mine);
    store.load("f");
    EXPECT_EQ(store.mark({{"pay", "k", 1, true, false, true}}), "");
  }
  Folder next(path);
  Store store(next);
  EXPECT_TRUE(holds(store.load("f").state, "k"));
  EXPECT_THROW(Folder("/nowhere/at/all"), std::runtime_error);
}

TEST(KeepStore, AFailureAtTheStartIsNotForLife) {
  for (int failures = 1; failures <= 3; ++failures) {
    FakeDisk disk;
    disk.failures = failures;
    Store store(disk);
    store.load("f");
    EXPECT_NE(store.begun(), "");
    disk.failures = 0;
    EXPECT_EQ(store.mark({{"pay", "k", 10, true, false, false}}), "") << failures;
    Store again(disk);
    EXPECT_TRUE(holds(again.load("f").state, "k")) << failures;
  }
}

TEST(KeepStore, WhatCanNotBeReadForNowIsNotSetAsideAndIsMissed) {
  FakeDisk disk;
  Store store(disk);
  store.load("f");
  std::uint64_t n = 0;
  ASSERT_EQ(store.rotate(n), "");
  ASSERT_EQ(store.snapshot(n, sample(1)), "");
  ASSERT_EQ(store.mark({{"pay", "k", 10, true, false, false}}), "");
  const auto names = names_of(disk);
  disk.broken = std::set<std::string>(names.begin(), names.end());
  Store blind(disk);
  EXPECT_TRUE(blind.load("f").incomplete);
  for (const auto& name : names) {
    const auto now = names_of(disk);
    EXPECT_NE(std::find(now.begin(), now.end(), name), now.end()) << name;
  }
  disk.broken.clear();
  Store again(disk);
  EXPECT_TRUE(holds(again.load("f").state, "k"));
}

// A log of an earlier life must not be begun anew, and so emptied, because nobody could see that it is there.
TEST(KeepStore, AFolderThatCanNotBeListedLosesNothing) {
  FakeDisk disk;
  Store store(disk);
  store.load("f");
  ASSERT_EQ(store.mark({{"pay", "k", 10, true, false, false}}), "");
  disk.unlisted = true;
  Store blind(disk);
  EXPECT_TRUE(blind.load("f").incomplete);
  EXPECT_NE(blind.mark({{"pay", "lost", 20, true, false, false}}), "");
  disk.unlisted = false;
  EXPECT_EQ(blind.mark({{"pay", "later", 30, true, false, false}}), "");
  Store again(disk);
  const auto found = again.load("f");
  EXPECT_FALSE(found.incomplete);
  EXPECT_TRUE(holds(found.state, "k") && holds(found.state, "later"));
}

TEST(KeyBook, WhileMarksAreMissingAnUnknownKeyMayHaveRun) {
  front::KeyBook keys(100);
  const auto ask = [&](int ms) { return keys.ask(at(ms), "pay", "k", DedupeGroup::All, Span::millis(5000)); };
  keys.doubt_unknown(at(5000));
  EXPECT_EQ(ask(4999), front::KeyBook::Says::Unsure);
  EXPECT_EQ(ask(5000), front::KeyBook::Says::Take);
}

// ---- ageing

// A moment by a wall clock alone, as an earlier format told it.
Moment wall(std::int64_t ms) { return {ms, 0, ""}; }

TEST(KeepAgeing, ClocksThatWereSetAndDaysAwayAreNotBelieved) {
  EXPECT_EQ(away(wall(1000000), wall(1005000), {}), Span::millis(5000));
  EXPECT_FALSE(away(wall(1000000), wall(999999), {}));                     // back
  EXPECT_FALSE(away(wall(1000000), wall(1000000 + 2 * 3600 * 1000), {}));  // too long
  EXPECT_FALSE(away(wall(0), wall(1000000), {}));
  const Instant now = at(5000);
  EXPECT_EQ(age({"r", "k", 900000, true, false, true}, wall(1000000), now).first, now - Span::millis(100000));
  EXPECT_FALSE(age({"r", "k", 900000, true, false, true}, wall(1000000), now).unsure);
  EXPECT_TRUE(age({"r", "k", 1100000, true, false, true}, wall(1000000), now).unsure);  // from the future
  EXPECT_TRUE(age({"r", "k", 900000, true, true, true}, wall(1000000), now).unsure);
}

// Set back by less than the time away, a wall clock would make a window seem open that is over.
TEST(KeepAgeing, WithinOneStartOfTheMachineTheWallClockDoesNotCount) {
  const Instant now = at(500000);
  const Moment kept{1000000, 70000, "boot-1"};
  Mark mark{"pay", "k", kept.wall_ms, true, false, true, kept.boot_ms, kept.boot};
  for (const std::int64_t step : {0, -290000, -3600000, 3600000}) {
    const Moment found{kept.wall_ms + 300000 + step, kept.boot_ms + 300000, "boot-1"};
    EXPECT_EQ(age(mark, found, now).first, now - Span::millis(300000)) << step;
    EXPECT_FALSE(age(mark, found, now).unsure) << step;
    EXPECT_EQ(away(kept, found, {}), Span::millis(300000)) << step;
    // After another start of the machine nothing vouches for the wall clock.
    const Moment anew{found.wall_ms, 1000, "boot-2"};
    EXPECT_TRUE(age(mark, anew, now).unsure) << step;
  }
}

TEST(KeepAgeing, AnotherProcessIsNotBelievedAndTextsGetOlderByWhatWasTakenIn) {
  const EngineMemory e{"a", "7", 100};
  EXPECT_EQ(more_distance(e, "7", Span::millis(10000)), 1000);
  EXPECT_FALSE(more_distance(e, "8", Span::millis(10000)));
  EXPECT_FALSE(more_distance({"a", "", 100}, "", Span::millis(1)));
  EXPECT_NEAR(aged_cap(200, 64, Span::millis(60000)), 132, 0.1);
  EXPECT_EQ(aged_cap(0, 64, Span::millis(1)), 64);
}

// ---- what is restored

TEST(KeepIndex, GoesThroughACopyAndKnowsNothingNewer) {
  prefix::Index a({1 << 16, 16, 200000, 1});
  const EngineId one{{10, 0, 0, 1}, 80}, two{{10, 0, 0, 2}, 80};
  a.listed(one, 1, 200000), a.listed(two, 1, 200000);
  const auto chain = [](std::uint64_t opening, std::uint64_t rest, std::size_t n) {
    prefix::Chain c;
    for (std::size_t k = 0; k < n; ++k) c.push_back(k < 5 ? opening * 1000 + k + 1 : rest * 100000 + k + 1);
    return c;
  };
  for (std::uint64_t k = 1; k <= 20; ++k)
    a.read(k % 2 ? one : two, chain(k % 3 + 1, k, 12), 1200, std::nullopt, 0);
  std::vector<prefix::Index::KeptRun> runs;
  for (std::optional<std::size_t> from = 0; from;) from = a.copy(*from, 3, runs);
  std::stable_sort(runs.begin(), runs.end(), [](const auto& x, const auto& y) { return x.depth < y.depth; });
  prefix::Index b({1 << 16, 16, 200000, 1});
  b.listed(one, 1, 200000), b.listed(two, 1, 200000);
  for (auto& r : runs) {
    std::erase_if(r.kept, [&](const auto& p) { return p.engine == two; });  // another process by now
    b.restore(r);
  }
  for (std::uint64_t k = 1; k <= 20; ++k)
    for (const auto& kept : a.look_up(chain(k % 3 + 1, k, 12))) {
      const auto now = b.look_up(chain(k % 3 + 1, k, 12));
      const auto it =
          std::find_if(now.begin(), now.end(), [&](const auto& x) { return x.engine == kept.engine; });
      if (kept.engine == two) {
        EXPECT_EQ(it, now.end());
        continue;
      }
      ASSERT_NE(it, now.end());
      EXPECT_EQ(it->blocks, kept.blocks);
      EXPECT_NEAR(it->likely, kept.likely, 0.01);
    }
}

TEST(KeepKeys, WhatMayHaveRunIsRefusedOrBoundAfterARestart) {
  using front::KeyBook;
  KeyBook before(100);
  before.ask(at(0), "pay", "in-work", DedupeGroup::All, Span::millis(60000));
  before.ask(at(0), "pay", "ran", DedupeGroup::All, Span::millis(60000));
  before.ended("pay", "ran", true, at(10));
  before.ask(at(0), "pay", "not", DedupeGroup::All, Span::millis(60000));
  before.ended("pay", "not", false, {});
  KeyBook after(100);
  for (const auto& k : before.all()) after.restore(k);
  EXPECT_EQ(after.size(), 2u);
  EXPECT_EQ(after.ask(at(1000), "pay", "ran", DedupeGroup::All, Span::millis(60000)), KeyBook::Says::Take);
  EXPECT_EQ(after.ask(at(1000), "pay", "in-work", DedupeGroup::Zone, Span::millis(60000)),
            KeyBook::Says::Unsure);
  KeyBook late(100);
  for (const auto& k : before.all()) late.restore(k);
  EXPECT_EQ(late.ask(at(61000), "pay", "in-work", DedupeGroup::All, Span::millis(60000)),
            KeyBook::Says::Expired);
}

}  // namespace
}  // namespace calicograde::keep
