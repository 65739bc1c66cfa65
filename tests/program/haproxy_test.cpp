// The importer of HAProxy's format: how it is read, what becomes of every line, what comes out.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "haproxy/import.hpp"
#include "settings/settings.hpp"

namespace calicograde::haproxy {
namespace {

Imported import_text(const std::string& text, std::map<std::string, std::string> env = {}, Options o = {}) {
  return import(read({{"a.cfg", text}}, env), o);
}
std::optional<settings::Front> settings_of(const Imported& i) {
  std::vector<settings::Fault> faults;
  auto s = settings::load("out.xml", i.settings, faults);
  for (const auto& f : faults) ADD_FAILURE() << settings::text_of(f);
  return s;
}
Fate fate(const Imported& i, int line, const std::string& file = "a.cfg") {
  for (const auto& l : i.lines)
    if (l.file == file && l.line == line) return l.fate;
  ADD_FAILURE() << "line " << line << " has no fate";
  return Fate::Blank;
}
std::string why(const Imported& i, int line) {
  for (const auto& l : i.lines)
    if (l.line == line) return l.why;
  return {};
}
// What a request would be routed to, by the settings that came out.
std::string pool_for(const settings::Front& f, const matching::Seen& seen) {
  for (const auto& r : f.routes)
    if (matching::all_hold(r.when, seen)) return f.pools[r.pool].name;
  return "none";
}
using Headers = std::vector<std::pair<std::string, std::string>>;

const std::string two_backs = "backend x\n server s1 10.0.0.1:80\nbackend y\n server s2 10.0.0.2:80\n";

TEST(HaproxyWords, QuotesEscapesVariablesAndComments) {
  const auto c = read({{"f", "global\n a \"b c\" 'd \"e' f\\ g # h\n v \"${X}-$Y\" '$X' \"${Z-none}\"\n"}},
                      {{"X", "1"}, {"Y", "2"}});
  EXPECT_TRUE(c.wrong.empty());
  EXPECT_EQ(c.sections[0].lines[0].words, (std::vector<std::string>{"a", "b c", "d \"e", "f g"}));
  EXPECT_EQ(c.sections[0].lines[1].words, (std::vector<std::string>{"v", "1-2", "$X", "none"}));
}

TEST(HaproxyWords, WhatCantBeReadIsNamedAndTheRestGoesOn) {
  const std::string bad[] = {
      "\"open", "'open", "end\\", "\"$\"", "\"${X\"", "\"$MISSING\"", std::string("a\0b", 3), "\xff\xfe"};
  for (const auto& line : bad) {
    const auto i = import_text("frontend f\n bind :8080\n " + line + "\n default_backend x\n" + two_backs);
    EXPECT_EQ(fate(i, 3), Fate::NotCarried) << line;
    EXPECT_FALSE(why(i, 3).empty());
    EXPECT_TRUE(settings_of(i)) << line;
  }
}

TEST(HaproxyWords, ConditionalBlocksCrLfTabsAndNoFinalNewline) {
  const auto i = import_text(
      "frontend f\r\n\tbind\t:8080\r\n.if defined(BIG)\r\n default_backend x\r\n.elif streq(a,a)\r\n"
      " default_backend y\r\n.else\r\n default_backend x\r\n.endif\r\nbackend x\r\n server s1 "
      "10.0.0.1:80\r\nbackend y\r\n server s2 10.0.0.2:80");
  const auto s = settings_of(i);
  ASSERT_TRUE(s);
  EXPECT_EQ(pool_for(*s, {"POST", "/", "", nullptr, 8080}), "y");
  EXPECT_EQ(fate(i, 4), Fate::Blank);
  EXPECT_EQ(fate(import_text(".if 1\nglobal\n"), 1), Fate::NotCarried);  // never closed
  EXPECT_EQ(fate(import_text("global\n.endif\n"), 2), Fate::NotCarried);
}

TEST(HaproxyRules, TheFirstThatMatchesWinsNegatedOredAndAnonymous) {
  const auto i = import_text(
      "frontend f\n bind :8080\n acl team hdr(X-Team) -i red blue\n acl v1 path_beg /v1/\n acl v1 path /one\n"
      " acl near src 10.1.0.0/16\n use_backend y if team !near\n use_backend x if v1 near or { method PUT }\n"
      " use_backend y unless v1 team\n default_backend x\n" +
      two_backs);
  const auto s = settings_of(i);
  ASSERT_TRUE(s);
  const Headers red{{"x-team", "RED"}}, none;
  const auto at = [&](const char* method, const char* path, const char* from, const Headers& h) {
    return pool_for(*s, {method, path, from, &h, 8080});
  };
  EXPECT_EQ(at("POST", "/v1/messages", "10.2.0.1", red), "y");  // line 7
  EXPECT_EQ(at("POST", "/v1/messages", "10.1.0.1", red), "x");  // line 8, first part
  EXPECT_EQ(at("PUT", "/other", "10.2.0.1", none), "x");        // line 8, second part
  EXPECT_EQ(at("POST", "/one", "10.2.0.1", none), "y");         // line 9: no team
  EXPECT_EQ(at("POST", "/other", "10.1.0.1", red), "y");        // line 9: not v1
  EXPECT_EQ(at("POST", "/one", "10.1.0.1", red), "x");          // line 8
}

TEST(HaproxyRules, WhatCantBeSaidHereIsNotCarriedWithItsReason) {
  const auto i = import_text(
      "frontend f\n bind :8080 ssl crt /x.pem\n bind :8081\n acl a url_param(x) 1\n use_backend x if a\n"
      " use_backend y if later\n acl later path /x\n use_backend %[req.hdr(x)]\n use_backend nowhere if { "
      "path /z }\n"
      " http-request deny if later\n errorfile 503 /x.http\n default_backend y\nbackend x\n balance "
      "roundrobin\n server "
      "s1 10.0.0.1:80 ssl\n server s3 nowhere\nbackend y\n server s2 10.0.0.2:80 maxconn 3 check inter 2s "
      "cookie c\n"
      "peers p\n peer a 10.0.0.9:1\n");
  for (const int line : {2, 4, 5, 6, 8, 9, 10, 11, 15, 16, 19, 20}) {
    EXPECT_EQ(fate(i, line), Fate::NotCarried) << line;
    EXPECT_FALSE(why(i, line).empty()) << line;
  }
  EXPECT_EQ(fate(i, 14), Fate::Replaced);
  EXPECT_EQ(fate(i, 18), Fate::Changed);
  EXPECT_NE(why(i, 18).find("cookie"), std::string::npos);
  const auto s = settings_of(i);
  ASSERT_TRUE(s);
  EXPECT_EQ(s->pools[0].engines[0].most, 3u);
}

TEST(HaproxySections, DefaultsSplitBackendsListenAndSeveralFiles) {
  const auto c =
      read({{"1.cfg",
             "defaults d1\n timeout connect 100\n timeout server 7s\n retries 2\nfrontend a\n bind :8080\n"
             " default_backend x\nbackend x\n server s1 10.0.0.1:80\n"},
            {"2.cfg",
             "defaults d2 from d1\n timeout server 9s\n option redispatch\nbackend x\n server s9 10.0.0.9:80 "
             "backup weight 5\nbackend z from d1\n server q 10.0.0.7:80 disabled\n"
             "listen both\n bind 127.0.0.1:9090\n server s5 10.0.0.5:80 slowstart 30s\n"}},
           {});
  Options o;
  o.roles = {{"s1", "read"}, {"s9", "write"}};
  const auto i = import(c, o);
  const auto s = settings_of(i);
  ASSERT_TRUE(s);
  EXPECT_EQ(fate(i, 4, "2.cfg"), Fate::Changed);
  ASSERT_EQ(s->pools[0].engines.size(), 2u);
  EXPECT_EQ(s->pools[0].engines[1].zone, "backup");
  EXPECT_EQ(s->pools[0].connect, Span::millis(100));
  EXPECT_EQ(s->pools[0].routing.kinds[0].stage, Stage::Read);
  EXPECT_EQ(s->routes[0].timeout, Span::millis(7000));  // of its own first section's defaults
  EXPECT_EQ(s->routes[1].timeout, Span::millis(9000));
  EXPECT_EQ(pool_for(*s, {"POST", "/", "", nullptr, 9090}), "both");
  EXPECT_EQ(pool_for(*s, {"POST", "/", "", nullptr, 8080}), "x");
  EXPECT_EQ(s->pools[2].routing.cold, Span::millis(30000));
  // Twice the same bytes.
  EXPECT_EQ(i.settings, import(c, o).settings);
}

RC_GTEST_PROP(Haproxy, EveryLineHasOneFateAndTotalsAddUp, ()) {
  const std::vector<std::string> pieces = {"global",
                                           "defaults",
                                           "defaults d",
                                           "frontend f",
                                           "backend x",
                                           "backend y",
                                           "listen l",
                                           "peers p",
                                           " bind :8080",
                                           " bind *:1-9",
                                           " acl a path /x",
                                           " acl a hdr(h) -m reg x",
                                           " use_backend x if a",
                                           " use_backend y if !a or a",
                                           " use_backend x unless { src 1.2.3.4 }",
                                           " default_backend x",
                                           " server s 10.0.0.1:80",
                                           " server t 10.0.0.2:80 check backup",
                                           " server",
                                           " server-template w 3 h.example.org:80",
                                           " timeout server 5s",
                                           " timeout x",
                                           " retries many",
                                           "",
                                           "# x",
                                           " \"",
                                           ".if 1",
                                           ".if 0",
                                           ".else",
                                           ".endif",
                                           " balance source",
                                           " option httpchk",
                                           " maxconn 10",
                                           "nonsense",
                                           " mode tcp",
                                           "\xff"};
  std::string text;
  const auto chosen =
      *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, pieces.size()));
  for (const auto k : chosen) text += pieces[k] + "\n";
  const auto i = import_text(text);
  std::size_t all = 0;
  for (const auto& [unused, n] : i.totals) all += n;
  RC_ASSERT(all == chosen.size());
  RC_ASSERT(i.lines.size() == chosen.size());
  for (std::size_t k = 0; k < i.lines.size(); ++k) {
    RC_ASSERT(i.lines[k].line == static_cast<int>(k + 1));
    RC_ASSERT(i.lines[k].fate != Fate::NotCarried || !i.lines[k].why.empty());
  }
  std::vector<settings::Fault> faults;
  RC_ASSERT(i.settings.empty() || settings::load("x", i.settings, faults).has_value());
}

}  // namespace
}  // namespace calicograde::haproxy
