#include "tool/fleet_commands.hpp"

#include <unistd.h>

#include <cstdio>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <variant>

#include "fleet/report.hpp"
#include "fleet/run.hpp"
#include "net/clock.hpp"
#include "settings/diff.hpp"
#include "settings/settings.hpp"

namespace calicograde::tool {
namespace {

using fleet::Answer;
using fleet::Result;
using Json = nlohmann::ordered_json;

struct Words {
  std::string file = "fleet.xml", at_once = "16", each = "5s", in_all = "10m", journal, by, limit = "5m";
  std::string at_limit = "cut", hall, engine, every = "2s", level, lasts = "0s";
  std::vector<std::string> who;
  std::size_t halt_after = 0;
  double hall_share = 0.5;
  int count = 0, times = 0;
  bool json = false, dry_run = false, remember = false, no_wait = false, quiet = false, in = false,
       take_back = false;
};

struct Meant {
  fleet::Fleet fleet;
  std::vector<fleet::Front> fronts;
  std::map<std::string, std::size_t> hall_sizes;
  Span each, in_all;
  std::size_t at_once = 1;
};

int wrong(const std::string& what) {
  return std::fprintf(stderr, "calicograde fleet: %s\n", what.c_str()), 64;
}

// The fleet's file and who is meant; else the exit code.
std::variant<Meant, int> meant(const Words& w) {
  std::vector<settings::Fault> faults;
  const auto text = settings::read_file(w.file, faults);
  auto fleet = text ? fleet::read_fleet(w.file, *text, faults) : std::nullopt;
  for (const auto& f : faults) std::fprintf(stderr, "%s\n", settings::text_of(f).c_str());
  if (!fleet) return 2;
  Meant m;
  std::vector<std::string> unknown;
  for (const std::size_t k : fleet::select(*fleet, w.who, unknown)) m.fronts.push_back(fleet->fronts[k]);
  for (const auto& word : unknown)
    return wrong("'" + word + "' means no front of " + w.file +
                 "; give a name, a pattern such as front-*, a group, hall:NAME, tag:NAME or all");
  for (const auto& f : fleet->fronts) ++m.hall_sizes[f.hall];
  const auto each = settings::parse_time(w.each), in_all = settings::parse_time(w.in_all);
  if (!each || !in_all || *each <= Span{} || *in_all <= Span{})
    return wrong("--each and --in-all: a number and a unit above 0, such as 5s, is wanted");
  m.each = *each, m.in_all = *in_all;
  const auto at_once = fleet::how_many(w.at_once, m.fronts.size());
  if (!at_once)
    return wrong("--at-once '" + w.at_once + "': a whole number, or a share such as 10%, is wanted");
  m.at_once = *at_once;
  m.fleet = std::move(*fleet);
  return m;
}

const char* colour(Result r, bool on) {
  if (!on) return "";
  return r == Result::Done ? "\x1b[32m" : r == Result::Unknown ? "\x1b[33m" : "\x1b[31m";
}

std::string padded(std::string s, std::size_t wide) {
  if (s.size() < wide) s.append(wide - s.size(), ' ');
  return s;
}

// A command to all that are meant: asks, tells, sums up.
int carry_out(const Words& w, const Meant& m, const std::string& command, fleet::Campaign& campaign,
              const std::function<Answer(const fleet::Front&, Instant)>& what, Span each,
              const std::function<std::string(const Answer&)>& say) {
  std::unique_ptr<fleet::Journal> journal;
  if (!w.journal.empty()) {
    std::vector<std::string> names;
    for (const auto& f : m.fronts) names.push_back(f.name);
    journal = std::make_unique<fleet::Journal>(w.journal, command, names);
    for (const auto& [name, result] : journal->before()) campaign.already(name, result);
    if (journal->resumed())
      std::fprintf(stderr, "goes on from %s: %zu were asked before\n", w.journal.c_str(),
                   journal->before().size());
  }
  std::size_t wide = 5;
  for (const auto& f : m.fronts) wide = std::max(wide, f.name.size());
  const bool terminal = isatty(1) != 0, watched = isatty(2) != 0 && !w.json && !w.quiet;
  std::vector<Answer> all(m.fronts.size());
  std::size_t through = 0;
  const auto told = [&](std::size_t k, const Answer& a) {
    all[k] = a, ++through;
    if (watched)
      std::fprintf(stderr, "\r%zu of %zu through, %zu under way ", through, m.fronts.size(),
                   campaign.running());
  };
  fleet::run(campaign, m.fronts, what, each, journal.get(), told);
  if (watched) std::fprintf(stderr, "\r\x1b[K");
  for (std::size_t k = 0; k < m.fronts.size(); ++k) {
    const auto& o = campaign.outcomes()[k];
    const std::string result = o.result ? fleet::word(*o.result) : "not begun";
    const std::string words =
        o.result == Result::Done && all[k].result == Result::Done ? say(all[k]) : o.what;
    if (w.json) {
      Json j{{"front", m.fronts[k].name}, {"result", result}};
      if (!o.what.empty()) j["what"] = o.what;
      if (all[k].result == Result::Done) j["answer"] = all[k].body;
      std::printf("%s\n", j.dump(-1, ' ', false, Json::error_handler_t::replace).c_str());
    } else {
      std::printf("%s  %s%s%s  %s\n", padded(m.fronts[k].name, wide).c_str(),
                  colour(o.result.value_or(Result::Refused), terminal), padded(result, 11).c_str(),
                  terminal ? "\x1b[0m" : "", words.c_str());
    }
  }
  const auto totals = campaign.totals();
  std::string sum;
  for (const auto& [r, n] : totals)
    sum += (sum.empty() ? "" : ", ") + std::to_string(n) + " " + fleet::word(r);
  if (campaign.not_begun() > 0)
    sum += (sum.empty() ? "" : ", ") + std::to_string(campaign.not_begun()) + " not begun" +
           (campaign.halted() ? " (halted)" : "");
  if (!w.json) std::printf("%s\n", sum.c_str());
  return fleet::exit_code(campaign);
}

fleet::Campaign campaign_for(const Words& w, const Meant& m, bool takes_out,
                             std::map<std::string, std::set<std::string>> out) {
  fleet::Rules r;
  r.at_once = m.at_once, r.halt_after = w.halt_after, r.hall_share = w.hall_share, r.takes_out = takes_out;
  r.in_all = m.in_all;
  std::vector<fleet::Target> targets;
  for (const auto& f : m.fronts) targets.push_back({f.name, f.hall});
  return {r, std::move(targets), m.hall_sizes, std::move(out)};
}

bool dry(const Words& w, const Meant& m, const std::string& what) {
  if (!w.dry_run) return false;
  for (const auto& f : m.fronts)
    std::printf("would %s %s (%s%s%s)\n", what.c_str(), f.name.c_str(), net::text_of(f.admin).c_str(),
                f.hall.empty() ? "" : ", hall ", f.hall.c_str());
  return true;
}

std::string state_line(const Answer& a) {
  const Json& j = a.body;
  const Json drain = j.value("drain", Json::object()), counts = j.value("counts", Json::object());
  std::string halls;
  for (const auto& p : j.value("pools", Json::array()))
    for (const auto& h : p.value("halls", Json::array()))
      if (h.value("state", "up") != "up" || h.value("by_hand", false))
        halls +=
            ", hall " + h.value("name", "?") + " " + h.value("state", "?") + " in " + p.value("name", "?");
  char text[200];
  std::snprintf(text, sizeof text, "%s, %lld in work, %lld connections, of %lld fronts",
                drain.value("state", "?").c_str(), static_cast<long long>(counts.value("inferences", 0)),
                static_cast<long long>(counts.value("connections", 0)),
                static_cast<long long>(j.value("fronts", Json::object()).value("acting", 0)));
  return text + halls;
}

std::string engines_line(const Answer& a) {
  std::map<std::string, int> judged;
  std::string odd;
  for (const auto& e : a.body.value("engines", Json::array())) {
    const std::string how = e.value("judged", "?");
    ++judged[how];
    if (how != "trusted" && how != "gone")
      odd += "\n    " + e.value("address", "?") + "  " + how + "  " + e.value("why", "");
  }
  std::string out;
  for (const auto& [how, n] : judged) out += (out.empty() ? "" : ", ") + std::to_string(n) + " " + how;
  return out + odd;
}

// One question to each. Reading is harmless, and what changes sets what stands afterwards: asked twice, it is
// as asked once.
int ask_each(const Words& w, const std::string& command, const std::string& method, const std::string& path,
             const Json& body, const std::function<std::string(const Answer&)>& say) {
  const auto got = meant(w);
  if (const int* code = std::get_if<int>(&got)) return *code;
  const Meant& m = std::get<Meant>(got);
  if (dry(w, m, command)) return 0;
  auto c = campaign_for(w, m, false, {});
  return carry_out(
      w, m, command, c,
      [&](const fleet::Front& f, Instant until) { return fleet::ask_again(f, method, path, body, until, 2); },
      m.each, say);
}

int show(const Words& w) { return ask_each(w, "show", "GET", "/admin/v1/state", {}, state_line); }

int engines(const Words& w) { return ask_each(w, "engines", "GET", "/admin/v1/engines", {}, engines_line); }

std::string drain_line(const Answer& a) {
  const Json d = a.body.value("drain", Json::object());
  if (d.value("state", "") == "serving") return "serving";
  char text[160];
  std::snprintf(text, sizeof text, "%s, drain %llu by %s, %lld when it began", d.value("state", "?").c_str(),
                static_cast<unsigned long long>(d.value("number", 0)), d.value("by", "?").c_str(),
                static_cast<long long>(d.value("at_first", 0)));
  return text;
}

// Who is out already, by their own word; who says nothing counts as out.
std::map<std::string, std::set<std::string>> out_now(const Words& w, const Meant& m) {
  std::map<std::string, std::set<std::string>> out;
  Meant all = m;
  all.fronts = m.fleet.fronts;
  auto c = campaign_for(w, all, false, {});
  fleet::run(
      c, all.fronts,
      [&](const fleet::Front& f, Instant until) {
        return fleet::ask_again(f, "GET", "/admin/v1/drain", {}, until, 2);
      },
      m.each, nullptr,
      [&](std::size_t k, const Answer& a) {
        const auto& f = all.fronts[k];
        const bool serves =
            a.result == Result::Done && a.body.value("drain", Json::object()).value("state", "") == "serving";
        if (!serves) out[f.hall].insert(f.name);
      });
  return out;
}

int drain(const Words& w) {
  const auto got = meant(w);
  if (const int* code = std::get_if<int>(&got)) return *code;
  const Meant& m = std::get<Meant>(got);
  const auto limit = settings::parse_time(w.limit);
  if (!limit) return wrong("--limit '" + w.limit + "': a number and a unit, such as 5m, is wanted");
  if (!(w.hall_share > 0 && w.hall_share <= 1)) return wrong("--hall-share: above 0, at most 1");
  if (dry(w, m, "drain")) return 0;
  auto c = campaign_for(w, m, true, out_now(w, m));
  fleet::DrainAsk a{w.by, *limit, w.at_limit == "cut", w.remember, !w.no_wait};
  // Its own limit, and what the cut takes; without one, as long as all may take.
  const Span each = *limit > Span{} && a.cut ? *limit + m.each * 2 : m.in_all;
  return carry_out(
      w, m, "drain", c,
      [&](const fleet::Front& f, Instant until) { return fleet::drain(f, a, m.each, until); }, each,
      drain_line);
}

std::vector<fleet::Said> hear_all(const Words& w, const Meant& m, int& code) {
  std::vector<fleet::Said> said(m.fronts.size());
  auto c = campaign_for(w, m, false, {});
  for (std::size_t k = 0; k < said.size(); ++k) said[k].front = m.fronts[k].name;
  std::mutex mutex;
  const auto ask = [&](const fleet::Front& f, Instant until) {
    fleet::Said s;
    s.front = f.name;
    Answer last;
    for (const auto& [path, to] :
         {std::pair{"/admin/v1/state", &s.state}, std::pair{"/admin/v1/engines", &s.engines},
          std::pair{"/admin/v1/latency", &s.latency}}) {
      last = fleet::ask_again(f, "GET", path, {}, until, 2);
      if (last.result != Result::Done) break;
      *to = std::move(last.body);
    }
    const std::lock_guard lock(mutex);
    for (auto& mine : said)
      if (mine.front == f.name) mine = s;
    return last;
  };
  fleet::run(c, m.fronts, ask, m.each, nullptr, [](std::size_t, const Answer&) {});
  code = fleet::exit_code(c);
  return said;
}

std::string some(const std::vector<std::string>& names) {
  std::string out;
  for (std::size_t k = 0; k < names.size() && k < 5; ++k) out += (k ? ", " : "") + names[k];
  if (names.size() > 5) out += " and " + std::to_string(names.size() - 5) + " more";
  return out;
}

Json json_of(const fleet::Report& r) {
  Json j{{"asked", r.asked}, {"heard", r.heard}, {"not_heard", r.not_heard}, {"routes", Json::object()}};
  for (const auto& [name, route] : r.routes) {
    Json outcomes = Json::object();
    for (const auto& [how, n] : route.outcomes) outcomes[how] = n;
    j["routes"][name] = {
        {"outcomes", outcomes},
        {"first_token_ms",
         {{"p50", route.first_token.quantile_ms(0.5)},
          {"p99", route.first_token.quantile_ms(0.99)},
          {"counts", route.first_token.counts()}}},
        {"whole_ms", {{"p50", route.whole.quantile_ms(0.5)}, {"p99", route.whole.quantile_ms(0.99)}}}};
  }
  j["settings"] = r.digests, j["builds"] = r.builds, j["counts_of_fronts"] = r.counts, j["drains"] = r.drains;
  j["judged_otherwise"] = Json::array();
  for (const auto& o : r.odd)
    j["judged_otherwise"].push_back({{"engine", o.engine}, {"most", o.usual}, {"others", o.others}});
  j["lacking"] = r.lacking, j["other_buckets"] = r.other_buckets;
  return j;
}

void print(const fleet::Report& r) {
  std::printf("%zu fronts asked, %zu heard whole\n", r.asked, r.heard);
  if (!r.not_heard.empty()) std::printf("not heard: %s\n", some(r.not_heard).c_str());
  std::printf("\n%-20s %10s %10s %10s %10s %14s %14s\n", "route", "completed", "shed", "errored", "left",
              "first p50/p99", "whole p50/p99");
  for (const auto& [name, route] : r.routes) {
    const auto n = [&, &o = route.outcomes](const char* how) {
      const auto it = o.find(how);
      return static_cast<unsigned long long>(it == o.end() ? 0 : it->second);
    };
    std::printf("%-20s %10llu %10llu %10llu %10llu %6.0f/%-7.0f %6.0f/%-7.0f ms\n", name.c_str(),
                n("completed"), n("shed"), n("errored"), n("left"), route.first_token.quantile_ms(0.5),
                route.first_token.quantile_ms(0.99), route.whole.quantile_ms(0.5),
                route.whole.quantile_ms(0.99));
  }
  const auto groups = [](const char* what, const auto& by) {
    if (by.size() < 2) return;
    std::printf("\nfronts differ in %s:\n", what);
    for (const auto& [value, fronts] : by)
      std::printf("  %s: %zu fronts: %s\n", value.c_str(), fronts.size(), some(fronts).c_str());
  };
  groups("settings (digest)", r.digests), groups("build", r.builds);
  groups("the number of fronts they act on", r.counts), groups("drain", r.drains);
  if (!r.odd.empty()) std::printf("\nengines judged otherwise by some:\n");
  for (const auto& o : r.odd)
    for (const auto& [how, fronts] : o.others)
      std::printf("  %s: most say %s; %s by %s\n", o.engine.c_str(), o.usual.c_str(), how.c_str(),
                  some(fronts).c_str());
  if (!r.lacking.empty()) std::printf("\nengines that some do not list:\n");
  for (const auto& [engine, fronts] : r.lacking)
    std::printf("  %s: not at %s\n", engine.c_str(), some(fronts).c_str());
  if (!r.other_buckets.empty())
    std::printf("\nfigures of other buckets, not added: %s\n", some(r.other_buckets).c_str());
}

int report(const Words& w) {
  const auto got = meant(w);
  if (const int* code = std::get_if<int>(&got)) return *code;
  int code = 0;
  const auto r = fleet::put_together(hear_all(w, std::get<Meant>(got), code));
  if (w.json) std::printf("%s\n", json_of(r).dump().c_str());
  else print(r);
  return code;
}

int watch(const Words& w) {
  const auto every = settings::parse_time(w.every);
  if (!every || *every < Span::millis(100)) return wrong("--every: 100ms or more is wanted");
  int code = 0;
  for (int k = 0; w.times == 0 || k < w.times; ++k) {
    if (k > 0) usleep(static_cast<useconds_t>(every->as_millis() * 1000));
    if (isatty(1) != 0) std::printf("\x1b[H\x1b[2J");
    code = show(w);
    std::fflush(stdout);
    if (code == 2 || code == 64) return code;
  }
  return code;
}

int config_diff(const Words& w) {
  const auto got = meant(w);
  if (const int* code = std::get_if<int>(&got)) return *code;
  const Meant& m = std::get<Meant>(got);
  auto c = campaign_for(w, m, false, {});
  std::vector<Answer> all(m.fronts.size());
  fleet::run(
      c, m.fronts,
      [&](const fleet::Front& f, Instant until) {
        return fleet::ask_again(f, "GET", "/admin/v1/settings", {}, until, 2);
      },
      m.each, nullptr, [&](std::size_t k, const Answer& a) { all[k] = a; });
  // The first front that answers is what the others are compared with; its own name and address differ
  // anyway.
  std::optional<settings::Element> first;
  std::string first_name;
  for (std::size_t k = 0; k < all.size(); ++k) {
    const auto& f = m.fronts[k];
    if (all[k].result != Result::Done) {
      std::printf("%s: %s: %s\n", f.name.c_str(), fleet::word(all[k].result), all[k].what.c_str());
      continue;
    }
    std::vector<settings::Fault> faults;
    const auto tree =
        settings::read_xml(f.name, all[k].body.value("settings", ""), settings::schema(), faults);
    if (!tree || !faults.empty()) {
      std::printf("%s: its settings are of another schema\n", f.name.c_str());
      continue;
    }
    if (!first) {
      first = tree, first_name = f.name;
      std::printf("compared with %s\n", first_name.c_str());
      continue;
    }
    const auto lines = settings::diff(*first, *tree);
    for (const auto& line : lines) std::printf("%s: %s\n", f.name.c_str(), line.c_str());
    if (lines.empty()) std::printf("%s: no difference\n", f.name.c_str());
  }
  return fleet::exit_code(c);
}

}  // namespace

void add_fleet(CLI::App& app, std::function<int()>& chosen) {
  auto w = std::make_shared<Words>();
  char host[200] = "";
  gethostname(host, sizeof host - 1);
  w->by = std::string(getenv("USER") ? getenv("USER") : "operator") + "@" + host;
  auto* f = app.add_subcommand(
      "fleet",
      "show, drain and report on many fronts\nExit: 0 all done; else 16, and 1 more if some refused, 2 if "
      "some were unreachable, 4 if it is unknown what some did, 8 if some were not begun.");
  f->require_subcommand(1);
  f->add_option("--fleet", w->file, "the fleet's file, XML");
  f->add_option("--at-once", w->at_once, "fronts asked at a time: a number, or a share such as 10%");
  f->add_option("--each", w->each, "time for one front's answer");
  f->add_option("--in-all", w->in_all, "nothing is begun later");
  f->add_flag("--json", w->json, "JSON lines in place of a table");
  f->add_flag("--quiet", w->quiet, "no progress");
  const auto who = [w](CLI::App* c) {
    c->add_option("WHO", w->who, "names, patterns with *, groups, hall:NAME, tag:NAME, all")->required();
  };
  const auto changes = [w](CLI::App* c) {
    c->add_flag("--dry-run", w->dry_run, "only say who would be asked");
    c->add_option("--halt-after", w->halt_after,
                  "begin no more once so many did not come to done; 0 = never");
    c->add_option("--journal", w->journal,
                  "a file of what was asked; given again, the command goes on from it");
    c->add_option("--by", w->by, "who asks, for the fronts' logs");
  };
  const auto run = [&chosen, w](CLI::App* c, const std::function<int(const Words&)>& what) {
    c->fallthrough();
    c->callback([&chosen, w, what] { chosen = [w, what] { return what(*w); }; });
  };
  auto* c = f->add_subcommand("show", "what each front is doing");
  who(c), run(c, show);
  c = f->add_subcommand("engines", "engines as each front judges them, with why");
  who(c), run(c, engines);
  c = f->add_subcommand("drain",
                        "have fronts take nothing new and end what they have; waits until they have");
  who(c), changes(c);
  c->add_option("--limit", w->limit, "at each front, until --at-limit; 0s = none");
  c->add_option("--at-limit", w->at_limit, "cut: what is left is errored; go-on: it goes on")
      ->check(CLI::IsMember({"cut", "go-on"}));
  c->add_flag("--remember", w->remember, "the drain stands through a restart of the daemon");
  c->add_flag("--no-wait", w->no_wait, "done once the front has begun to drain");
  c->add_option("--hall-share", w->hall_share, "of a hall's fronts that may be out at a time");
  run(c, drain);
  c = f->add_subcommand("undrain", "have fronts take work again");
  who(c), changes(c);
  run(c, [](const Words& x) {
    return ask_each(x, "undrain", "DELETE", "/admin/v1/drain", Json{{"by", x.by}}, drain_line);
  });
  c = f->add_subcommand("report", "figures of all together, and where fronts differ");
  who(c), run(c, report);
  c = f->add_subcommand("watch", "show, again and again");
  who(c);
  c->add_option("--every", w->every, "time between");
  c->add_option("--times", w->times, "how often; 0 = until stopped");
  run(c, watch);
  auto* config = f->add_subcommand("config", "the settings in force");
  config->require_subcommand(1), config->fallthrough();
  c = config->add_subcommand("diff", "where fronts' settings differ, in routes and pools");
  who(c), run(c, config_diff);
  c = f->add_subcommand("hold-out", "hold a hall or an engine out by hand, or let it in again");
  who(c), changes(c);
  c->add_option("--hall", w->hall, "a zone"), c->add_option("--engine", w->engine, "HOST:PORT");
  c->add_flag("--in", w->in, "let it in again");
  run(c, [](const Words& x) {
    if (x.hall.empty() == x.engine.empty()) return wrong("one of --hall and --engine is wanted");
    Json body{{"out", !x.in}};
    body[x.hall.empty() ? "engine" : "hall"] = x.hall.empty() ? x.engine : x.hall;
    return ask_each(x, "hold-out", "POST", "/admin/v1/hold-out", body,
                    [&x](const Answer&) { return std::string(x.in ? "let in" : "held out"); });
  });
  c = f->add_subcommand("count", "tell fronts how many they are, by hand");
  who(c), changes(c);
  c->add_option("--count", w->count, "fronts in all")->check(CLI::Range(1, 100000));
  c->add_option("--for", w->lasts, "how long it stands; 0s = until it is taken back");
  c->add_flag("--take-back", w->take_back, "go by the roster and the settings again");
  run(c, [](const Words& x) {
    const auto lasts = settings::parse_time(x.lasts);
    if (!lasts) return wrong("--for: a number and a unit is wanted");
    if (!x.take_back && x.count == 0) return wrong("one of --count and --take-back is wanted");
    return ask_each(x, "count", x.take_back ? "DELETE" : "POST", "/admin/v1/fronts",
                    x.take_back ? Json::object() : Json{{"count", x.count}, {"for_ms", lasts->as_millis()}},
                    [](const Answer& a) { return "acts on " + a.body.value("acting", Json()).dump(); });
  });
  c = f->add_subcommand("log-level", "set the log's level");
  who(c), changes(c);
  c->add_option("--level", w->level, "debug, info, warn or error")->required();
  run(c, [](const Words& x) {
    return ask_each(x, "log-level", "POST", "/admin/v1/log-level", Json{{"level", x.level}},
                    [](const Answer& a) { return a.body.value("level", "?"); });
  });
}

}  // namespace calicograde::tool
