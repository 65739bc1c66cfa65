#include "settings/settings.hpp"

#include <gtest/gtest.h>

namespace calicograde::settings {
namespace {

const std::string front = R"(<calicograde version="1">
  <front name="f"><listen address="127.0.0.1:0"/></front>
)";
const std::string pool = R"(  <pool name="main">
    <kind name="prefill" stage="read"/>
    <kind name="decode" stage="write" release="true"/>
    <roster file="engines.json"/>
  </pool>
)";
const std::string route =
    R"(  <route name="chat" model="chat" pool="main" first-token-target="1s" route-timeout="4s" effect="retriable"/>
)";

std::vector<Fault> faults_of(const std::string& text) {
  std::vector<Fault> faults;
  const bool loaded = load("f.xml", text, faults).has_value();
  EXPECT_EQ(loaded, faults.empty());
  return faults;
}
bool told(const std::vector<Fault>& faults, int line, const std::string& part) {
  for (const auto& f : faults)
    if (f.line == line && f.what.find(part) != std::string::npos && !f.mend.empty()) return true;
  for (const auto& f : faults) ADD_FAILURE() << text_of(f);
  return false;
}

TEST(Settings, GoodOnesAreReadWithTheirUnits) {
  std::vector<Fault> faults;
  const auto s = load("f.xml", front + pool + route + "</calicograde>", faults);
  ASSERT_TRUE(s) << (faults.empty() ? "" : text_of(faults[0]));
  EXPECT_EQ(s->pools[0].routing.routes[0].first_token_target, Span::millis(1000));
  EXPECT_EQ(s->routes[0].timeout, Span::millis(4000));
  EXPECT_TRUE(s->pools[0].kinds[1].release);
  EXPECT_EQ(parse_time("1.5s"), Span::millis(1500));
  EXPECT_EQ(parse_size("16KiB"), 16384u);
  EXPECT_FALSE(parse_time("500") || parse_time("") || parse_time("ms") || parse_time("-1s") ||
               parse_size("12"));
}

TEST(Settings, UnitsAreRequired) {
  auto bad = route;
  bad.replace(bad.find("\"1s\""), 4, "\"500\"");
  EXPECT_TRUE(told(faults_of(front + pool + bad + "</calicograde>"), 8, "500"));
}

TEST(Settings, AllFaultsAreListedByLineNotOnlyTheFirst) {
  const std::string text = R"(<calicograde version="1">
  <front name="f" number="3" of="2" zone="nowhere">
    <listen address="127.0.0.1:0"/>
    <limits connections="10" held="20" stack="1KiB"/>
  </front>
  <pool name="main">
    <kind name="prefill" stage="read" places="true"/>
    <roster server="a:1" file="b"/>
    <rules drain-grace="200ms" pin-limit="50ms"/>
    <sends connect="250ms"/>
  </pool>
  <route name="a" model="m" pool="other" first-token-target="2s" route-timeout="1s" effect="deduped"/>
  <route name="b" model="m" pool="main" first-token-target="1s" route-timeout="4s" effect="retriable" dedupe-window="3s"/>
  <route name="c*" model="x*y" pool="main" first-token-target="1s" route-timeout="4s" effect="sometimes"/>
  <route name="d" model="p*" pool="main" first-token-target="1s" route-timeout="4s" effect="retriable"/>
  <route name="e" model="pq" pool="main" first-token-target="1s" route-timeout="4s" effect="retriable" colour="blue"/>
</calicograde>)";
  const auto faults = faults_of(text);
  EXPECT_TRUE(told(faults, 2, "number 3 of 2"));
  EXPECT_TRUE(told(faults, 2, "unknown zone 'nowhere'"));
  EXPECT_TRUE(told(faults, 4, "held (20) is more than connections (10)"));
  EXPECT_TRUE(told(faults, 4, "stack"));
  EXPECT_TRUE(told(faults, 6, "writes"));
  EXPECT_TRUE(told(faults, 7, "offers places"));
  EXPECT_TRUE(told(faults, 8, "one source"));
  EXPECT_TRUE(told(faults, 9, "pin-limit"));
  EXPECT_TRUE(told(faults, 10, "connect is not below drain-grace"));
  EXPECT_TRUE(told(faults, 12, "unknown pool 'other'"));
  EXPECT_TRUE(told(faults, 12, "dedupe-window"));
  EXPECT_TRUE(told(faults, 12, "below first-token-target"));
  EXPECT_TRUE(told(faults, 13, "same model 'm' as route 'a' in line 12"));
  EXPECT_TRUE(told(faults, 13, "names a dedupe group or window"));
  EXPECT_TRUE(told(faults, 14, "is no pattern"));
  EXPECT_TRUE(told(faults, 14, "sometimes"));
  EXPECT_TRUE(told(faults, 16, "never reached"));
  EXPECT_TRUE(told(faults, 16, "colour"));
  for (std::size_t k = 1; k < faults.size(); ++k) EXPECT_LE(faults[k - 1].line, faults[k].line);
}

TEST(Settings, WhatIsNoXmlIsSaidWithItsPlace) {
  EXPECT_FALSE(faults_of("").empty());
  EXPECT_FALSE(faults_of("{}").empty());
  EXPECT_TRUE(told(faults_of("<calicograde version=\"1\">\n<front>\n"), 3, "Premature end"));
  EXPECT_FALSE(faults_of("<!DOCTYPE a [<!ENTITY x SYSTEM \"file:///etc/hostname\">]><calicograde "
                         "version=\"1\">&x;</calicograde>")
                   .empty());
  std::vector<Fault> faults;
  EXPECT_FALSE(load_file("/no/such/file.xml", faults));
  EXPECT_EQ(faults.size(), 1u);
}

}  // namespace
}  // namespace calicograde::settings
