#include "lab/audit.hpp"

#include <gtest/gtest.h>

#include <set>

namespace calicograde::lab {
namespace {

Instant at(int ms) { return Instant::at(Span::millis(100000 + ms)); }

Plan plan() {
  Plan p = small_plan();
  p.routes = {
      {"chat", Effect::Retriable, DedupeGroup::All, Span::millis(500), Span::millis(2000), {}, 1},
      {"booking", Effect::Deduped, DedupeGroup::Zone, Span::millis(500), Span::millis(2000),
       Span::millis(1000), 1},
      {"redeem", Effect::NonRetriable, DedupeGroup::All, Span::millis(500), Span::millis(2000), {}, 1}};
  return p;
}

// A day on which one inference is read, written and completed as it should be.
std::vector<Record> good(const std::string& route = "chat", const std::string& key = "") {
  return {{at(0), "engine", "r:1", "hall-0", "", "r0", 0},
          {at(0), "engine", "w:1", "hall-0", "", "r0", 0},
          {at(0), "engine", "w:2", "hall-1", "", "r1", 0},
          {at(0), "told", "front-0", "w:1", "1", "ready", 1},
          {at(10), "asked", route, "front-0", "m1", key, 2000},
          {at(20), "send", "r:1", "front-0.x.0.5.0", "m1", "read", 100},
          {at(60), "held", "r:1", "front-0.x.0.5.0", "", "state", 100},
          {at(60), "send_end", "r:1", "front-0.x.0.5.0", "m1", "read", 0},
          {at(62), "send", "w:1", "front-0.x.0.5.1", "m1", "write", 100},
          {at(70), "unheld", "r:1", "front-0.x.0.5.0", "", "taken", 0},
          {at(72), "effect", "w:1", "front-0.x.0.5.1", "m1", key, 0},
          {at(90), "first", route, "front-0", "m1", "", 80},
          {at(200), "send_end", "w:1", "front-0.x.0.5.1", "m1", "completed", 0},
          {at(202), "final", route, "front-0", "m1", "completed", 192},
          {at(3000), "told", "front-0", "w:1", "1", "ready", 2}};
}

// The rules that are found broken.
std::set<int> broken(std::vector<Record> records) {
  std::set<int> out;
  for (const auto& b : audit(plan(), std::move(records)).breaches) out.insert(b.rule);
  return out;
}
std::vector<Record> with(std::vector<Record> day, std::vector<Record> more) {
  day.insert(day.end(), more.begin(), more.end());
  return day;
}
std::vector<Record> without(std::vector<Record> day, const std::string& what, const std::string& where = "") {
  std::erase_if(day, [&](const Record& r) { return r.what == what && (where.empty() || r.where == where); });
  return day;
}
using Rules = std::set<int>;

TEST(Audit, AGoodDayHasNoBreach) {
  for (const char* route : {"chat", "booking", "redeem"}) EXPECT_EQ(broken(good(route, "k")), Rules{});
  const auto v = audit(plan(), good());
  EXPECT_EQ(v.routes.at("chat").completed, 1);
  EXPECT_NE(table(v).find("chat"), std::string::npos);
}

TEST(Audit, Rule1IsCaught) {
  EXPECT_EQ(broken(without(good(), "final")), Rules{1});
  EXPECT_EQ(broken(with(good(), {{at(300), "final", "chat", "front-0", "m1", "errored", 290}})), Rules{1});
  EXPECT_EQ(broken(with(good(), {{at(300), "after", "chat", "front-0", "m1", "ping", 0}})), Rules{1});
  EXPECT_EQ(broken(with(good(), {{at(700), "send", "w:2", "front-0.x.0.5.2", "m1", "write", 100},
                                 {at(701), "send_end", "w:2", "front-0.x.0.5.2", "m1", "left", 0}})),
            Rules{1});
  auto late = without(good(), "first");
  for (auto& r : late)
    if (r.what == "final") r.at = at(2500), r.number = 2490;
  EXPECT_EQ(broken(late), Rules{1});
  auto cut = good();
  for (auto& r : cut)
    if (r.what == "final") r.how = "cut";
  EXPECT_EQ(broken(cut), Rules{1});
  // Unless its front was killed: then it is no longer that front's duty.
  EXPECT_EQ(broken(with(cut, {{at(150), "front_down", "front-0", "", "", "", 0}})), Rules{});
}

TEST(Audit, Rule2IsCaught) {
  const std::vector<Record> second = {{at(210), "send", "w:2", "front-0.x.0.5.2", "m1", "write", 100},
                                      {at(240), "send_end", "w:2", "front-0.x.0.5.2", "m1", "internal", 0}};
  EXPECT_EQ(broken(with(good("redeem"), second)), Rules{2});
  EXPECT_EQ(broken(with(good("booking", "k"), second)), Rules{2});  // another zone
  EXPECT_EQ(broken(with(good("chat"), second)), Rules{});
  auto refused = second;
  refused[1].how = "queue_full";
  EXPECT_EQ(broken(with(good("redeem"), refused)), Rules{});
  auto shed = good("redeem");
  for (auto& r : shed)
    if (r.what == "final") r.how = "shed";
  EXPECT_EQ(broken(shed), Rules{2});
  EXPECT_EQ(
      broken(with(good("booking", "k"), {{at(1500), "effect", "w:2", "front-1.y.0.1.1", "m9", "k", 0}})),
      Rules{2});
}

TEST(Audit, Rule3IsCaught) {
  const auto send = [](int ms) {
    return std::vector<Record>{{at(100), "told", "front-0", "w:1", "1", "draining", 2},
                               {at(50), "asked", "chat", "front-0", "m2", "", 2000},
                               {at(ms), "send", "w:1", "front-0.x.0.6.0", "m2", "whole", 9},
                               {at(ms + 1), "send_end", "w:1", "front-0.x.0.6.0", "m2", "completed", 0},
                               {at(ms + 2), "final", "chat", "front-0", "m2", "completed", 100}};
  };
  EXPECT_EQ(broken(with(good(), send(500))), Rules{});
  EXPECT_EQ(broken(with(good(), send(900))), Rules{3});
}

TEST(Audit, Rule4IsCaught) {
  auto day = good();
  day.push_back({at(300), "started", "w:2", "2", "", "cold", 10});
  day.push_back({at(400), "told", "front-0", "w:2", "2", "ready", 3});
  for (int k = 0; k < 30; ++k) {
    const std::string name = "front-0.x.0." + std::to_string(100 + k) + ".0";
    day.push_back({at(500 + k), "send", "w:2", name, "", "whole", 9});
    day.push_back({at(501 + k), "send_end", "w:2", name, "", "queue_full", 0});
  }
  EXPECT_EQ(broken(day), Rules{4});
  // From fronts that could not know of the start it is nobody's fault.
  EXPECT_EQ(broken(without(day, "told")), Rules{});
}

TEST(Audit, Rule5IsCaught) {
  EXPECT_EQ(broken(without(good(), "unheld")), Rules{5});
  auto late = good();
  for (auto& r : late) {
    if (r.what == "unheld") r.at = at(1000);
    if (r.name == "front-0.x.0.5.1") r.at = r.at + Span::millis(920);
  }
  EXPECT_TRUE(broken(late).contains(5));
  // An engine that hears nothing can't let go.
  EXPECT_EQ(broken(with(without(good(), "unheld"), {{at(50), "trouble", "r:1", "", "", "vanish", 5000}})),
            Rules{});
}

}  // namespace
}  // namespace calicograde::lab
