#include "lab/plan.hpp"

#include <map>
#include <set>

#include "lab/day_schema.hpp"

namespace calicograde::lab {
namespace {

std::string ms(Span s) { return std::to_string(static_cast<long>(s.as_millis())) + "ms"; }

const std::map<std::string, Stage> stages = {
    {"read", Stage::Read}, {"write", Stage::Write}, {"both", Stage::Both}};
const std::map<std::string, Effect> effects = {
    {"retriable", Effect::Retriable}, {"deduped", Effect::Deduped}, {"non-retriable", Effect::NonRetriable}};
const std::map<std::string, DedupeGroup> groups = {
    {"all", DedupeGroup::All}, {"zone", DedupeGroup::Zone}, {"rack", DedupeGroup::Rack}};

template <class T>
const char* word(const std::map<std::string, T>& words, T value) {
  for (const auto& [name, v] : words)
    if (v == value) return name.c_str();
  return "";
}
template <class T>
T pick(const std::map<std::string, T>& words, const std::string& name, T absent) {
  const auto it = words.find(name);
  return it == words.end() ? absent : it->second;
}

}  // namespace

std::optional<Plan> read_plan(const std::string& file, std::string_view text,
                              std::vector<settings::Fault>& faults) {
  const auto before = faults.size();
  const auto root = settings::read_xml(file, text, day_schema(), faults);
  if (!root || faults.size() > before) return std::nullopt;
  Plan p;
  const auto fault = [&](const settings::Element& at, const std::string& what, const char* mend) {
    faults.push_back({file, at.line, what, mend});
  };
  p.name = root->text("name", "day"), p.seed = static_cast<std::uint32_t>(root->number("seed", 1));
  p.length = root->time("length", p.length);
  if (const auto* r = root->child("rules")) {
    p.rules.answer_grace = r->time("answer-grace", p.rules.answer_grace),
    p.rules.drain_grace = r->time("drain-grace", p.rules.drain_grace);
    p.rules.pin_limit = r->time("pin-limit", p.rules.pin_limit), p.rules.cold = r->time("cold", p.rules.cold),
    p.rules.fall = r->time("fall", p.rules.fall);
    p.rules.cold_from = r->number("cold-from", p.rules.cold_from),
    p.rules.fall_multiple = r->number("fall-multiple", p.rules.fall_multiple);
  }
  if (const auto* r = root->child("roster")) p.roster_late = r->time("late", p.roster_late);
  if (const auto* f = root->child("fronts"))
    p.fronts = static_cast<int>(f->number("count", 1)), p.held = static_cast<int>(f->number("held", 512)),
    p.admin = f->flag("admin", false), p.limits = f->flag("limits", false);
  const auto* fleet = root->child("fleet");
  const int racks = static_cast<int>(fleet->number("racks", 1));
  p.zones = static_cast<int>(fleet->number("zones", 1));
  std::set<std::string> kinds;
  for (const auto* e : fleet->all("engines")) {
    if (!kinds.insert(e->text("kind")).second)
      fault(*e, "kind '" + e->text("kind") + "' stands twice", "give each kind one line");
    for (int k = 0; k < static_cast<int>(e->number("count", 1)); ++k) {
      EngineOptions o;
      const int rack = k % racks;
      o.kind = e->text("kind"), o.stage = pick(stages, e->text("stage"), Stage::Both);
      o.rack = "r" + std::to_string(rack), o.zone = "hall-" + std::to_string(rack % p.zones);
      o.slots = static_cast<int>(e->number("slots", o.stage == Stage::Read ? 8 : 32)),
      o.queue = static_cast<int>(e->number("queue", o.queue));
      o.memory_tokens = e->number("memory-tokens", o.memory_tokens),
      o.read_per_s = e->number("read-per-s", o.read_per_s);
      o.token = e->time("token", o.token), o.rate = e->number("rate", o.rate);
      o.places = e->flag("places", false), o.reports = e->flag("reports", false);
      o.cache_events = e->flag("cache-events", false), o.emulated = e->flag("emulated", false);
      o.cold_from = p.rules.cold_from, o.fall_multiple = p.rules.fall_multiple, o.cold = p.rules.cold,
      o.fall = p.rules.fall;
      o.seed = p.seed * 1000 + p.engines.size();
      p.engines.push_back(o);
    }
  }
  for (const auto* r : root->all("route")) {
    PlannedRoute route{r->text("name"),
                       pick(effects, r->text("effect"), Effect::NonRetriable),
                       pick(groups, r->text("dedupe-group"), DedupeGroup::All),
                       r->time("first-token-target", {}),
                       r->time("route-timeout", {}),
                       r->time("dedupe-window", {}),
                       r->number("value", 1),
                       r->text("relay"),
                       static_cast<int>(r->number("rounds", 8))};
    p.routes.push_back(route);
  }
  if (const auto* t = root->child("tools")) {
    p.tool_servers = static_cast<int>(t->number("servers", 1)), p.tool_takes = t->time("takes", {});
    for (const auto* x : t->all("tool"))
      p.tools.push_back({x->text("name"), pick(effects, x->text("effect"), Effect::NonRetriable),
                         x->time("time-out", Span::millis(3000))});
  }
  for (const auto* l : root->all("tool-load")) {
    p.tool_loads.push_back({l->text("tool"), l->number("rate", 1), l->number("leave", 0), l->time("from", {}),
                            l->time("for", p.length)});
    bool known = false;
    for (const auto& t : p.tools) known |= t.name == l->text("tool");
    if (!known) fault(*l, "unknown tool '" + l->text("tool") + "'", "name one under <tools>");
  }
  for (const auto* l : root->all("load")) {
    Load load;
    load.route = l->text("route"), load.rate = l->number("rate", 1), load.from = l->time("from", {}),
    load.length = l->time("for", p.length);
    load.shared = static_cast<int>(l->number("shared", 0)),
    load.shared_bytes = static_cast<int>(l->number("shared-bytes", 0));
    load.bytes = static_cast<int>(l->number("bytes", load.bytes)),
    load.max_tokens = static_cast<int>(l->number("max-tokens", load.max_tokens));
    load.retries = static_cast<int>(l->number("retries", 0)), load.budget = l->time("budget", {}),
    load.stream = l->flag("stream", true);
    load.calls = l->text("calls");
    load.leave = l->number("leave", 0), load.slow_readers = l->number("slow-readers", 0);
    bool known = false;
    for (const auto& r : p.routes) known |= r.name == load.route;
    if (!known) fault(*l, "unknown route '" + load.route + "'", "name one of the routes above");
    p.loads.push_back(load);
  }
  for (const auto* t : root->all("trouble")) {
    Trouble trouble{t->text("kind"),
                    t->text("engines"),
                    t->text("route"),
                    t->time("at", {}),
                    t->time("for", Span::millis(2000)),
                    static_cast<int>(t->number("count", 1)),
                    t->number("size", 0)};
    if (!trouble.engines.empty() && !kinds.contains(trouble.engines))
      fault(*t, "no engines of kind '" + trouble.engines + "'", "name a kind of the fleet");
    p.troubles.push_back(trouble);
  }
  if (faults.size() > before) return std::nullopt;
  return p;
}

Plan small_plan() {
  Plan p;
  for (int k = 0; k < 4; ++k) {
    EngineOptions o;
    o.kind = k < 2 ? "prefill" : "decode", o.stage = k < 2 ? Stage::Read : Stage::Write, o.places = k >= 2;
    o.zone = "hall-0", o.token = Span::millis(30), o.slots = 64;
    p.engines.push_back(o);
  }
  p.routes = {
      {"member-chat", Effect::Retriable, DedupeGroup::All, Span::millis(3000), Span::millis(12000), {}, 2},
      {"offer-text", Effect::Retriable, DedupeGroup::All, Span::millis(2000), Span::millis(10000), {}, 1}};
  return p;
}

std::string front_settings(const Plan& p, int number, const std::string& roster, const std::string& log_file,
                           const std::vector<std::string>& tool_servers, const std::string& folder) {
  const std::string admin = p.admin && !folder.empty()
                                ? "    <admin listen=\"unix:" + folder + "/front-" + std::to_string(number) +
                                      ".sock\" state=\"" + folder + "/front-" + std::to_string(number) +
                                      "\"/>\n"
                                : "";
  std::string out = "<calicograde version=\"1\">\n  <front name=\"front-" + std::to_string(number) +
                    "\" number=\"" + std::to_string(number) + "\" of=\"" + std::to_string(p.fronts) +
                    "\" zone=\"hall-" + std::to_string(number % p.zones) + "\" seed=\"" +
                    std::to_string(p.seed * 100 + static_cast<unsigned>(number) + 1) +
                    "\">\n    <listen address=\"127.0.0.1:0\"/>\n" + "    <limits connections=\"" +
                    std::to_string(p.held * 2) + "\" held=\"" + std::to_string(p.held) + "\"/>\n" +
                    "    <times write=\"2s\" stop=\"5s\"/>\n" + admin + "    <log level=\"info\"" +
                    (log_file.empty() ? "" : " file=\"" + log_file + "\"") + "/>\n  </front>\n  <zones>\n";
  for (int z = 0; z < p.zones; ++z) out += "    <zone name=\"hall-" + std::to_string(z) + "\"/>\n";
  out += "  </zones>\n  <pool name=\"main\">\n";
  std::set<std::string> kinds;
  for (const auto& e : p.engines)
    if (kinds.insert(e.kind).second)
      out += "    <kind name=\"" + e.kind + "\" stage=\"" + word(stages, e.stage) + "\" memory-tokens=\"" +
             std::to_string(static_cast<long>(e.memory_tokens)) + "\" release=\"true\" places=\"" +
             (e.places ? "true" : "false") + "\" reports=\"" + (e.reports ? "true" : "false") +
             "\" cache-events=\"" + (e.cache_events ? "true" : "false") + "\"/>\n";
  const bool tiers = p.limits && p.zones > 1;
  char figures[96];
  std::snprintf(figures, sizeof figures, "cold-from=\"%.3f\" fall-multiple=\"%.3f\"", p.rules.cold_from,
                p.rules.fall_multiple);
  out += "    <roster server=\"" + roster + "\" every=\"50ms\"/>\n    <rules drain-grace=\"" +
         ms(p.rules.drain_grace) + "\" pin-limit=\"" + ms(p.rules.pin_limit) + "\" cold=\"" +
         ms(p.rules.cold) + "\" fall=\"" + ms(p.rules.fall) + "\" " + figures + "/>\n" +
         (p.limits ? "    <sends repeats=\"0.2\"/>\n    <caps/>\n    <spill/>\n" : "") + "  </pool>\n";
  for (const auto& r : p.routes) {
    out += "  <route name=\"" + r.name + "\" model=\"" + r.name + "\" pool=\"main\" first-token-target=\"" +
           ms(r.target) + "\" route-timeout=\"" + ms(r.timeout) + "\" value=\"" + std::to_string(r.value) +
           "\" effect=\"" + word(effects, r.effect) + "\"";
    if (r.effect == Effect::Deduped)
      out += std::string(" dedupe-group=\"") + word(groups, r.group) + "\" dedupe-window=\"" + ms(r.window) +
             "\"";
    std::string parts;
    if (tiers) {
      std::string others;
      for (int z = 0; z < p.zones; ++z)
        if (z != number % p.zones) others += (others.empty() ? "hall-" : " hall-") + std::to_string(z);
      parts += "    <prefer zones=\"hall-" + std::to_string(number % p.zones) + "\"/>\n    <prefer zones=\"" +
               others + "\"/>\n";
    }
    if (!r.relay.empty())
      parts += "    <relay tools=\"" + r.relay + "\" rounds=\"" + std::to_string(r.rounds) +
               "\" call-time=\"2s\"/>\n";
    out += parts.empty() ? "/>\n" : ">\n" + parts + "  </route>\n";
  }
  if (!tool_servers.empty()) {
    out += "  <tools list-every=\"200ms\">\n";
    for (std::size_t k = 0; k < tool_servers.size(); ++k)
      out += "    <server name=\"tools-" + std::to_string(k) + "\" address=\"" + tool_servers[k] + "\"/>\n";
    for (const auto& t : p.tools)
      out += "    <tool name=\"" + t.name + "\" effect=\"" + word(effects, t.effect) + "\" time-out=\"" +
             ms(t.time_out) + "\"" + (t.effect == Effect::Deduped ? " dedupe-window=\"10s\"" : "") + "/>\n";
    out += "  </tools>\n";
  }
  return out + "</calicograde>\n";
}

}  // namespace calicograde::lab
