#include "roster/roster.hpp"

#include <gtest/gtest.h>

namespace calicograde::roster {
namespace {

const Instant t0 = Instant::at(Span::millis(100000));

Document doc(std::uint64_t version, std::vector<Line> lines, bool full = true, std::uint64_t base = 0) {
  return {version, full, base, std::move(lines)};
}
Line line(const std::string& address, const std::string& incarnation = "1",
          Lifecycle state = Lifecycle::Ready) {
  Line l;
  l.address = address, l.kind = "prefill", l.rack = "r", l.incarnation = incarnation, l.lifecycle = state;
  return l;
}
Follower follower() { return Follower({"prefill", "decode"}, {"a", "b"}); }

TEST(Roster, DocumentsSurviveTheWayThereAndBack) {
  auto l = line("h:1");
  l.age = Span::millis(1500), l.zone = "b";
  const auto back = parse(text_of(doc(7, {l, line("[::1]:2", "x", Lifecycle::Draining)}, false, 6)));
  ASSERT_TRUE(std::holds_alternative<Document>(back)) << std::get<std::string>(back);
  const auto& d = std::get<Document>(back);
  EXPECT_TRUE(d.version == 7 && !d.full && d.base == 6 && d.lines.size() == 2 &&
              d.lines[0].age == Span::millis(1500));
  EXPECT_EQ(d.lines[1].lifecycle, Lifecycle::Draining);
}

TEST(Roster, WhatIsWrongIsNamed) {
  for (const char* bad : {"", "[]", "{}", R"({"version":1})", R"({"version":1,"engines":[{}]})",
                          R"({"version":1,"engines":[{"address":"x","kind":"k"}]})",
                          R"({"version":1,"scope":"delta","engines":[]})",
                          R"({"version":1,"engines":[{"address":"h:1","kind":"k","state":"odd"}]})",
                          R"({"version":-1,"engines":[]})"})
    EXPECT_TRUE(std::holds_alternative<std::string>(parse(bad))) << bad;
}

TEST(Roster, IdsAreStableAndTheSameEverywhere) {
  EXPECT_EQ(id_for("10.1.2.3:8000", {}), (EngineId{{10, 1, 2, 3}, 8000}));
  const auto six = id_for("[2001:db8::1]:8000", {}), name = id_for("box.example.org:8000", {});
  EXPECT_EQ(six, id_for("[2001:db8::1]:8000", {}));
  EXPECT_NE(six, name);
  EXPECT_GE(six.address[0], 240);
  // A clash moves on; the address that has the id already keeps it.
  const auto moved = id_for("box.example.org:8000", {{name, "other:1"}});
  EXPECT_NE(moved, name);
  EXPECT_EQ(id_for("box.example.org:8000", {{name, "box.example.org:8000"}}), name);
}

TEST(Roster, AnAgeThatWasOnItsWayIsNoRestart) {
  auto f = follower();
  auto l = line("10.0.0.1:1");
  l.age = Span::millis(5000);
  const auto first = f.follow(t0, doc(1, {l}));
  l.age = Span::millis(5900);
  const auto again = f.follow(t0 + Span::millis(1000), doc(2, {l}));
  EXPECT_EQ(first.listed->entries[0].started, again.listed->entries[0].started);
  l.incarnation = "2", l.age = Span::millis(100);
  const auto restarted = f.follow(t0 + Span::millis(2000), doc(3, {l}));
  EXPECT_EQ(restarted.listed->entries[0].started, t0 + Span::millis(1900));
  EXPECT_EQ(restarted.listed->entries[0].engine, first.listed->entries[0].engine);
  // A new incarnation whose age is not told counts from when it was heard of: it must not look warm.
  l.incarnation = "3", l.age.reset();
  EXPECT_EQ(f.follow(t0 + Span::millis(9000), doc(4, {l})).listed->entries[0].started,
            t0 + Span::millis(9000));
}

TEST(Roster, GapsAreAskedForAndOldNewsIsPassedOver) {
  auto f = follower();
  EXPECT_TRUE(f.follow(t0, doc(5, {line("10.0.0.1:1")}, false, 4)).need_full);  // nothing to build on
  EXPECT_FALSE(f.follow(t0, doc(5, {line("10.0.0.1:1")})).need_full);
  EXPECT_EQ(f.follow(t0, doc(6, {line("10.0.0.2:1")}, false, 5)).listed->scope, ListScope::Delta);
  const auto gap = f.follow(t0, doc(9, {}, false, 8));
  EXPECT_TRUE(gap.need_full && !gap.listed);
  const auto old = f.follow(t0, doc(6, {line("10.0.0.2:1")}, false, 5));
  EXPECT_TRUE(!old.need_full && !old.listed);
  EXPECT_EQ(f.follow(t0, doc(9, {line("10.0.0.2:1")})).listed->scope, ListScope::Full);
}

TEST(Roster, EnginesOfUnknownKindsAreLeftOutAndNamed) {
  auto f = follower();
  auto odd = line("10.0.0.9:1");
  odd.kind = "other";
  const auto out = f.follow(t0, doc(1, {odd, line("10.0.0.1:1")}));
  EXPECT_EQ(out.listed->entries.size(), 1u);
  EXPECT_NE(out.note.find("10.0.0.9:1"), std::string::npos);
}

// Found by the fuzzer: a document without a version, and numbers that fit no counter.
TEST(Roster, NumbersThatAreNoneAreRefused) {
  for (const char* bad : {R"({"scope":"full","engines":[]})", R"({"version":1e300,"engines":[]})",
                          R"({"version":-1,"engines":[]})",
                          R"({"version":1,"engines":[{"address":"127.0.0.1:1","kind":"k","age_ms":1e300}]})"})
    EXPECT_TRUE(std::holds_alternative<std::string>(parse(bad))) << bad;
}

}  // namespace
}  // namespace calicograde::roster
