// The configurations of the site variants (deploy/sites) through the product's own reader: what they say
// reaches the decisions meant.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "../world.hpp"
#include "node/node.hpp"
#include "platform/config.hpp"

namespace calicograde::test {
namespace {

platform::NodeConfig read_site(const std::string& name) {
  std::ifstream in(std::string(CALICOGRADE_SITES) + "/" + name + "/config.json");
  std::stringstream text;
  text << in.rdbuf();
  return platform::read_config(text.str());
}

const ModelRoute& route_of(const platform::NodeConfig& config, const std::string& name) {
  const auto& routes = config.told.routes;
  const auto at = std::find(routes.begin(), routes.end(), name);
  EXPECT_NE(at, routes.end()) << name;
  return config.told.settings.routes.at(static_cast<std::size_t>(at - routes.begin()));
}

EngineEntry in_zone(EngineEntry e, std::uint8_t zone) {
  e.zone = zone;
  return e;
}

// Two engines of each role in each of two zones.
std::vector<EngineEntry> fleet() {
  std::vector<EngineEntry> out;
  for (int n = 0; n < 8; ++n)
    out.push_back(in_zone(entry(n + 1, n % 2, n / 4), static_cast<std::uint8_t>(n / 4)));
  return out;
}

// One request of that class, read, and its answer's attempt out.
void bring_to_its_answer(World& w, std::uint16_t route) {
  w.list(fleet());
  w.arrive(1, 800, ms(20000), route);
  ASSERT_EQ(w.sends(1), 1u);
  w.pass(ms(40));
  w.end(1, 0, EndedAs::ReadDone);
  ASSERT_EQ(w.sends(1), 2u);
}

TEST(Sites, ParcelDeskIsReadWhole) {
  const auto c = read_site("parcel-desk");
  const Settings& s = c.told.settings;
  EXPECT_EQ(c.told.routes, (std::vector<std::string>{"status-mail", "driver-chat"}));
  EXPECT_EQ(c.told.zones, (std::vector<std::string>{"depot-east", "depot-west"}));
  const ModelRoute &mail = route_of(c, "status-mail"), &chat = route_of(c, "driver-chat");
  EXPECT_EQ(mail.effect, Effect::Retriable);
  EXPECT_EQ(mail.first_token_target, ms(1500));
  EXPECT_EQ(mail.target_per_1000_tokens, ms(60));
  EXPECT_EQ(mail.token_pace, ms(60));
  EXPECT_EQ(mail.value, 1);
  EXPECT_EQ(mail.late_value, 0.4);
  EXPECT_EQ(chat.effect, Effect::Deduped);
  EXPECT_EQ(chat.dedupe_group, DedupeGroup::All);
  EXPECT_EQ(chat.dedupe_window, ms(6000));
  EXPECT_EQ(chat.value, 3);
  EXPECT_EQ(c.give_up, (std::vector<Span>{ms(6000), ms(8000)}));
  EXPECT_EQ(c.drain_grace, ms(800));
  EXPECT_EQ(s.pin_limit, ms(700));
  EXPECT_EQ(s.connect, ms(400));
  EXPECT_EQ(s.link_idle, ms(8000));
  EXPECT_EQ(s.max_sends, 5);
  EXPECT_EQ(s.fall, ms(1200));
  EXPECT_EQ(s.fall_multiple, 3);
  EXPECT_EQ(s.zone_price, 0.03);
  EXPECT_TRUE(s.second_copies);
  const auto front = node::front_settings(c);
  EXPECT_EQ(front.routes.at(1).name, "driver-chat");
  EXPECT_EQ(front.routes.at(1).timeout, ms(8000));
  EXPECT_EQ(front.pools.at(0).connect, ms(400));
}

TEST(Sites, TicketOfficeIsReadWhole) {
  const auto c = read_site("ticket-office");
  const Settings& s = c.told.settings;
  EXPECT_EQ(c.told.routes, (std::vector<std::string>{"seat-advice", "seat-hold", "seat-sale"}));
  EXPECT_EQ(route_of(c, "seat-advice").effect, Effect::Retriable);
  const ModelRoute &hold = route_of(c, "seat-hold"), &sale = route_of(c, "seat-sale");
  EXPECT_EQ(hold.effect, Effect::Deduped);
  EXPECT_EQ(hold.dedupe_group, DedupeGroup::Zone);
  EXPECT_EQ(hold.dedupe_window, ms(600));
  EXPECT_EQ(sale.effect, Effect::NonRetriable);
  EXPECT_EQ(sale.value, 4);
  EXPECT_EQ(c.give_up, (std::vector<Span>{ms(3500), ms(3000), ms(4000)}));
  EXPECT_EQ(c.drain_grace, ms(300));
  EXPECT_EQ(s.pin_limit, ms(400));
  EXPECT_EQ(s.max_sends, 4);
  EXPECT_EQ(s.max_retry_after, ms(600));
  EXPECT_FALSE(s.second_copies);
}

// Which attempt follows one at a writer that broke off after it was written, by class.
TEST(Sites, WhatMayFollowAnAttemptThatMayHaveRunIsTheClasss) {
  struct Case {
    const char* site;
    std::uint16_t route;
    bool again;
  };
  for (const Case& c :
       {Case{"parcel-desk", 0, true}, Case{"parcel-desk", 1, true}, Case{"ticket-office", 0, true},
        Case{"ticket-office", 1, true}, Case{"ticket-office", 2, false}}) {
    auto config = read_site(c.site);
    config.told.settings.may_hold_places = false;  // nobody here answers for them
    World w(config.told.settings);
    bring_to_its_answer(w, c.route);
    const EngineId first = w.sent(1, 1).engine;
    const std::uint8_t zone = w.engines.at(first).zone;
    w.pass(ms(60));
    w.end(1, 1, EndedAs::Reset);
    EXPECT_EQ(w.sends(1) > 2, c.again) << c.site << c.route;
    EXPECT_EQ(w.infs.at(1).over, !c.again) << c.site << c.route;
    EXPECT_FALSE(w.infs.at(1).shed);
    if (!c.again) continue;
    const auto& next = w.sent(1, w.sends(1) - 1);
    const ModelRoute& route = config.told.settings.routes[c.route];
    EXPECT_GT(next.write_within, Span{});  // while a state waits, and within the window where one binds
    if (route.effect == Effect::Deduped) EXPECT_LE(next.write_within, route.dedupe_window - ms(60));
    EXPECT_LE(next.write_within, config.told.settings.pin_limit);
    EXPECT_LE(next.reach, config.told.settings.pin_limit);
    const bool bound = route.effect == Effect::Deduped && route.dedupe_group == DedupeGroup::Zone;
    EXPECT_TRUE(!bound || w.engines.at(next.engine).zone == zone);
    EXPECT_EQ(w.broken, "");
  }
}

// After the window nothing follows: the request is given up at once, not held to its deadline.
TEST(Sites, AfterTheWindowNothingFollows) {
  const auto config = read_site("ticket-office");
  World w(config.told.settings);
  bring_to_its_answer(w, 1);
  w.pass(ms(650));
  if (w.sent(1, 1).out) w.end(1, 1, EndedAs::Reset);
  EXPECT_EQ(w.sends(1), 2u);
  EXPECT_TRUE(w.infs.at(1).over);
  EXPECT_FALSE(w.infs.at(1).shed);  // a retry might find engines of another zone
  EXPECT_EQ(w.broken, "");
}

TEST(Sites, AttemptsAreAsManyAsTheSiteAllowsAndOneAtATimeWhereItSays) {
  for (const char* site : {"parcel-desk", "ticket-office"}) {
    const auto config = read_site(site);
    World w(config.told.settings);
    w.list(fleet());
    w.arrive(1, 800, ms(20000));
    for (int k = 0; k < 200 && !w.infs.at(1).over; ++k) {
      const auto& sends = w.infs.at(1).sends;
      const auto out = std::count_if(sends.begin(), sends.end(), [](const auto& x) { return x.out; });
      EXPECT_LE(out, config.told.settings.second_copies ? 2 : 1);
      w.pass(ms(20));
      for (std::size_t n = 0; n < w.sends(1); ++n)
        if (w.sent(1, n).out && k % 4 == 0) w.end(1, n, EndedAs::Errored);
    }
    EXPECT_EQ(static_cast<int>(w.sends(1)), config.told.settings.max_sends) << site;
    EXPECT_TRUE(w.infs.at(1).over) << site;
  }
}

}  // namespace
}  // namespace calicograde::test
