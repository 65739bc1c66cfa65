#include "settings/settings.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <limits>
#include <map>
#include <set>
#include <utility>

#include "core/pattern.hpp"

namespace calicograde::settings {
namespace {

class Reader {
 public:
  Reader(const std::string& file, std::vector<Fault>& faults) : file_(file), faults_(faults) {}

  Front read(const Element& root) {
    Front out;
    if (const auto* zones = root.child("zones"))
      for (const auto* z : zones->all("zone")) {
        if (index(out.zones, z->text("name")) >= 0)
          fault(*z, "zone '" + z->text("name") + "' stands twice", "remove one");
        out.zones.push_back(z->text("name"));
      }
    if (out.zones.empty()) out.zones.push_back("default");
    if (const auto* f = root.child("front")) front(*f, out);
    std::map<std::string, int> seen;
    for (const auto* p : root.all("pool")) {
      const auto [it, fresh] = seen.emplace(p->text("name"), p->line);
      if (!fresh)
        fault(*p, "pool '" + p->text("name") + "' stands already in line " + std::to_string(it->second),
              "give it another name");
      out.pools.push_back(pool(*p, out));
    }
    for (const auto* r : root.all("route")) route(*r, out);
    if (const auto* t = root.child("tools")) out.tools = tools(*t, out);
    for (const auto* r : root.all("route"))
      if (const auto* relay = r->child("relay"); relay && !out.tools)
        fault(*relay, "route '" + r->text("name") + "' relays tools, but there are none",
              "add <tools> with a server, or drop <relay>");
    return out;
  }

 private:
  void fault(const Element& at, std::string what, std::string mend) {
    faults_.push_back({file_, at.line, std::move(what), std::move(mend)});
  }
  static int index(const std::vector<std::string>& names, const std::string& name) {
    const auto it = std::find(names.begin(), names.end(), name);
    return it == names.end() ? -1 : static_cast<int>(it - names.begin());
  }
  std::size_t count(const Element& e, const char* name, std::size_t absent, double most) {
    const double n = e.number(name, static_cast<double>(absent));
    if (n > most)
      fault(e,
            std::string(name) + " is " + e.text(name) + ", more than " +
                std::to_string(static_cast<long>(most)),
            "lower it");
    return static_cast<std::size_t>(std::min(n, most));
  }

  void front(const Element& e, Front& out) {
    out.name = e.text("name");
    out.number = static_cast<int>(e.number("number", 0));
    out.of = static_cast<int>(e.number("of", 1));
    out.seed = static_cast<std::uint64_t>(e.number("seed", 0));
    if (out.number >= out.of)
      fault(e, "front number " + std::to_string(out.number) + " of " + std::to_string(out.of),
            "numbers go from 0 to one less than 'of'");
    zone_ = index(out.zones, e.text("zone", out.zones.front()));
    if (zone_ < 0) fault(e, "unknown zone '" + e.text("zone") + "'", "name it under <zones>"), zone_ = 0;
    for (const auto* l : e.all("listen")) {
      const auto a = net::parse_address(l->text("address"));
      if (!a)
        fault(*l, "'" + l->text("address") + "' is no address to listen on",
              "write IP:PORT, port 0 to 65535");
      else if (std::find(out.listen.begin(), out.listen.end(), *a) != out.listen.end() && a->port != 0)
        fault(*l, l->text("address") + " is listened on twice", "remove one");
      else out.listen.push_back(*a);
    }
    if (const auto* l = e.child("limits")) {
      out.connections = count(*l, "connections", out.connections, 1e6);
      out.held = count(*l, "held", out.held, 1e6);
      out.sends = count(*l, "sends", out.sends, 1e6);
      out.queue = count(*l, "queue", out.queue, 1e6);
      out.http.header_bytes = l->size("header", out.http.header_bytes);
      out.http.body_bytes = l->size("body", out.http.body_bytes);
      out.stack = l->size("stack", out.stack);
      if (out.stack < (64 << 10))
        fault(*l, "a stack of " + l->text("stack") + " is too small", "give 64KiB or more");
      if (out.http.header_bytes < 1024)
        fault(*l, "header limit " + l->text("header") + " is too small for any client", "give 1KiB or more");
      if (out.http.header_bytes > (1 << 20))
        fault(*l, "header limit " + l->text("header") + " is over 1MiB", "lower it");
      if (out.held > out.connections)
        fault(*l,
              "held (" + std::to_string(out.held) + ") is more than connections (" +
                  std::to_string(out.connections) + ")",
              "an inference needs a connection: lower held or raise connections");
      if (out.queue < out.held)
        fault(
            *l,
            "queue (" + std::to_string(out.queue) + ") is less than held (" + std::to_string(out.held) + ")",
            "raise queue");
    }
    if (const auto* t = e.child("times")) {
      out.http.idle = t->time("idle", out.http.idle);
      out.http.head = t->time("header", out.http.head);
      out.http.body = t->time("body", out.http.body);
      out.http.write = t->time("write", out.http.write);
      out.stream_silence = t->time("stream-silence", out.stream_silence);
      out.ping = t->time("ping", out.ping);
      out.stop = t->time("stop", out.stop);
      for (const char* name : {"idle", "header", "body", "write", "stream-silence", "ping", "stop"})
        if (t->attribute(name) && t->time(name, Span::millis(1)) <= Span{})
          fault(*t, std::string(name) + " is 0", "every wait needs an end above 0");
    }
    if (const auto* b = e.child("budget")) out.budget_header = b->text("header");
    if (const auto* k = e.child("keep")) {
      out.keep = Keep{k->text("folder"), k->time("every", Span::millis(10000))};
      if (out.keep->every < Span::millis(100)) fault(*k, "every is under 100ms", "give 100ms or more");
    }
    if (const auto* a = e.child("admin")) out.admin = admin(*a);
    if (const auto* l = e.child("log"))
      out.log_level = l->text("level", "info"), out.log_file = l->text("file");
  }

  Admin admin(const Element& e) {
    Admin out;
    const auto at = net::parse_address(e.text("listen"));
    if (!at) fault(e, "'" + e.text("listen") + "' is no address", "write unix:/PATH or 127.0.0.1:PORT");
    else out.listen = *at;
    if (at && !net::is_loopback(*at))
      fault(e, "the admin interface can't listen on " + e.text("listen") + ": it has no encryption",
            "listen on a unix socket or on loopback, and bring callers there");
    out.token_file = e.text("token-file"), out.state = e.text("state");
    if (at && !net::is_local_path(*at) && out.token_file.empty())
      fault(e, "anybody on this machine could reach " + e.text("listen"),
            "name a token-file, or listen on a unix socket");
    out.connections = count(e, "connections", out.connections, 10000);
    return out;
  }

  Pool pool(const Element& e, const Front& front) {
    Pool out;
    out.name = e.text("name");
    Settings& s = out.routing;
    bool reads = false, writes = false;
    std::map<std::string, int> seen;
    for (const auto* k : e.all("kind")) {
      if (!seen.emplace(k->text("name"), k->line).second)
        fault(*k, "kind '" + k->text("name") + "' stands twice in pool '" + out.name + "'", "remove one");
      const std::string stage = k->text("stage");
      EngineKind kind;
      kind.stage = stage == "read" ? Stage::Read : stage == "write" ? Stage::Write : Stage::Both;
      kind.memory_tokens = k->number("memory-tokens", 0);
      reads |= kind.stage != Stage::Write, writes |= kind.stage != Stage::Read;
      s.kinds.push_back(kind);
      out.kinds.push_back({k->text("name"), k->flag("release", false), k->flag("places", false),
                           k->flag("reports", false), k->flag("cache-events", false)});
      if (kind.stage == Stage::Read && k->flag("places", false))
        fault(*k, "kind '" + k->text("name") + "' only reads, yet offers places",
              "places are held at writers: drop places");
      if (kind.stage != Stage::Read && k->flag("places", false)) s.may_hold_places = true;
    }
    if (const auto* r = e.child("roster")) {
      const auto* server = r->attribute("server");
      out.roster_file = r->text("file");
      out.roster_every = r->time("every", out.roster_every);
      if (server) out.roster_server = net::parse_address(*server);
      if ((server != nullptr) == !out.roster_file.empty())
        fault(*r, "the roster of pool '" + out.name + "' needs one source", "give either server or file");
      if (server && !out.roster_server) fault(*r, "'" + *server + "' is no address", "write HOST:PORT");
      if (out.roster_every < Span::millis(10)) fault(*r, "every is under 10ms", "give 10ms or more");
    }
    if (const auto* list = e.child("engines")) engines(*list, out, front);
    else if (!e.child("roster"))
      fault(e, "pool '" + out.name + "' has neither roster nor engines", "add one of the two");
    if (const auto* i = e.child("index")) {
      out.index_block = i->size("block", out.index_block);
      out.index_blocks = count(*i, "blocks", out.index_blocks, 1e8);
      out.index_engines = count(*i, "engines", out.index_engines, 60000);
      if (out.index_block < 16 || out.index_block > (64 << 10))
        fault(*i, "a block of " + i->text("block") + " is no use",
              "give 16B to 64KiB, as engines that send cache events have it");
    }
    if (const auto* h = e.child("halls")) {
      halls::Rules& r = out.halls;
      r.on = h->flag("on", true), r.window = h->time("window", r.window);
      r.lost_share = h->number("lost-share", r.lost_share), r.first_hold = h->time("hold", r.first_hold);
      r.most_hold = h->time("hold-most", r.most_hold), r.stage = h->time("stage", r.stage);
      if (r.lost_share <= 0 || r.lost_share > 1)
        fault(*h, "lost-share is " + h->text("lost-share"), "give a share above 0, at most 1");
      if (r.window <= Span{} || r.first_hold <= Span{} || r.stage <= Span{})
        fault(*h, "window, hold or stage is 0", "every one needs a time above 0");
      if (r.most_hold < r.first_hold) fault(*h, "hold-most is below hold", "raise hold-most");
    }
    if (const auto* c = e.child("caps")) caps(*c, out.caps);
    if (const auto* x = e.child("spill")) {
      limits::SpillRules& r = out.spill;
      r.bound = x->number("bound", r.bound), r.floor = x->number("floor", r.floor);
      r.fill = x->number("fill", r.fill);
      r.high = x->number("high", r.high), r.low = x->number("low", r.low);
      r.hold = x->time("hold", r.hold), r.most_hold = x->time("hold-most", r.most_hold);
      if (r.bound > 1) fault(*x, "bound is " + x->text("bound"), "give a share of at most 1");
      if (r.floor > 1) fault(*x, "floor is " + x->text("floor"), "give a share of at most 1");
      if (r.low >= r.high) fault(*x, "low is not below high", "a tier must close at less than it opens at");
      if (r.hold <= Span{} || r.most_hold < r.hold)
        fault(*x, "hold is 0, or hold-most below it", "give hold a time, and hold-most no less");
    }
    const Element none;
    const Element* rules = e.child("rules");
    if (!rules) rules = &none;
    const Span grace = rules->time("drain-grace", Span::millis(1000));
    s.pin_limit = rules->time("pin-limit", Span::millis(500));
    s.cold = rules->time("cold", Span::millis(12000));
    s.cold_from = rules->number("cold-from", 0.25);
    s.fall_multiple = rules->number("fall-multiple", 2.5);
    s.fall = rules->time("fall", Span::millis(1500));
    if (s.cold_from <= 0 || s.cold_from > 1)
      fault(*rules, "cold-from is " + rules->text("cold-from"), "give a share above 0, at most 1");
    if (s.pin_limit < Span::millis(150))
      fault(*rules, "pin-limit is under 150ms",
            "the module looks every 20ms and needs 60ms: give 150ms or more");
    if (s.fall <= Span{})
      fault(*rules, "fall is 0", "give the length of the window over which a cold engine falls");
    out.spill.cold = s.cold, out.spill.cold_from = s.cold_from;
    const Element* sends = e.child("sends");
    if (!sends) sends = &none;
    s.max_sends = static_cast<int>(count(*sends, "most", 6, 100));
    s.second_copies = sends->flag("second-copies", true);
    s.may_cancel = sends->flag("cancel", true);
    s.writers_read = sends->flag("writers-read", false);
    s.sizes_told = sends->flag("sizes-told", false);
    s.repeat_share = sends->number("repeats", 0);
    if (s.repeat_share > 10) fault(*sends, "repeats is " + sends->text("repeats"), "give at most 10");
    out.connect = sends->time("connect", out.connect);
    s.link_idle = sends->time("link-idle", Span::millis(15000));
    s.max_retry_after = sends->time("retry-after-most", Span::millis(1000));
    s.retry_advice = s.max_retry_after > Span{};
    if (out.connect >= grace)
      fault(sends == &none ? e : *sends,
            "connect is not below drain-grace: a send could reach an engine after the grace",
            "lower connect or raise drain-grace");
    if (out.connect <= Span{}) fault(*sends, "connect is 0", "give a time above 0");
    reads |= s.writers_read;
    if (!reads) fault(e, "no kind of pool '" + out.name + "' reads", "add a kind with stage read or both");
    if (!writes) fault(e, "no kind of pool '" + out.name + "' writes", "add a kind with stage write or both");
    if (const auto* p = e.child("prices"))
      s.far_price = p->number("far", 0), s.zone_price = p->number("zone", 0);
    s.fronts = front.of;
    s.zone = static_cast<std::uint8_t>(zone_);
    s.ask_within = Span::millis(10000);
    return out;
  }

  void caps(const Element& e, limits::CapRules& r) {
    r.on = e.flag("on", true);
    r.knee.by =
        e.text("by", "aimd") == "gradient" ? limits::KneeRules::By::Gradient : limits::KneeRules::By::Aimd;
    r.knee.first = e.number("first", r.knee.first), r.knee.least = e.number("least", r.knee.least);
    r.knee.most = e.number("most", r.knee.most),
    r.knee.late_share = e.number("late-share", r.knee.late_share);
    r.knee.window = e.time("window", r.knee.window);
    r.floor = e.number("floor", r.floor), r.headroom = e.number("headroom", r.headroom);
    r.customer_share = e.number("customer-share", r.customer_share);
    for (const char* name : {"late-share", "floor", "headroom", "customer-share"})
      if (e.number(name, 0) > 1)
        fault(e, std::string(name) + " is " + e.text(name), "give a share of at most 1");
    if (r.knee.least > r.knee.first || r.knee.first > r.knee.most)
      fault(e, "first is not between least and most", "give least <= first <= most");
    if (r.knee.window < Span::millis(50)) fault(e, "window is under 50ms", "give 50ms or more");
  }

  // The tiers of zones that a route prefers; those it names nowhere are closed to it.
  limits::RouteTiers tiers(const Element& e, const Front& front) {
    limits::RouteTiers out;
    std::set<std::uint8_t> named;
    for (const auto* p : e.all("prefer")) {
      std::set<std::uint8_t> tier;
      std::string word;
      for (const char c : p->text("zones") + " ") {
        if (c != ' ') {
          word += c;
          continue;
        }
        if (word.empty()) continue;
        const int z = index(front.zones, word);
        if (z < 0) fault(*p, "unknown zone '" + word + "'", "name it under <zones>");
        else if (!named.insert(static_cast<std::uint8_t>(z)).second)
          fault(*p, "zone '" + word + "' stands in two tiers", "remove one");
        else tier.insert(static_cast<std::uint8_t>(z));
        word.clear();
      }
      if (tier.empty()) fault(*p, "a tier without a zone", "name zones, with spaces between");
      out.tiers.push_back(std::move(tier));
    }
    return out;
  }

  void engines(const Element& e, Pool& out, const Front& front) {
    if (out.roster_server || !out.roster_file.empty())
      fault(e, "pool '" + out.name + "' has a roster and engines", "drop one of the two");
    for (const auto* x : e.all("engine")) {
      StaticEngine s{x->text("address"),
                     x->text("kind"),
                     x->text("zone", front.zones.front()),
                     x->number("size", 1),
                     static_cast<std::uint32_t>(count(*x, "most", 0, 1e6)),
                     x->text("state") == "draining"};
      if (!net::parse_address(s.address)) fault(*x, "'" + s.address + "' is no address", "write HOST:PORT");
      if (std::none_of(out.kinds.begin(), out.kinds.end(),
                       [&](const KindOffers& k) { return k.name == s.kind; }))
        fault(*x, "no kind '" + s.kind + "' in pool '" + out.name + "'", "name one of its kinds");
      if (index(front.zones, s.zone) < 0) fault(*x, "unknown zone '" + s.zone + "'", "name it under <zones>");
      for (const auto& other : out.engines)
        if (other.address == s.address) fault(*x, "engine " + s.address + " stands twice", "remove one");
      out.engines.push_back(std::move(s));
    }
  }

  std::vector<matching::When> conditions(const Element& e) {
    using W = matching::When::What;
    static const std::map<std::string, W> words = {{"path", W::Path},          {"path-begins", W::PathBegins},
                                                   {"path-ends", W::PathEnds}, {"header", W::Header},
                                                   {"method", W::Method},      {"source", W::Source},
                                                   {"port", W::Port}};
    std::vector<matching::When> out;
    for (const auto* x : e.all("when")) {
      matching::When w;
      w.what = words.at(x->text("what")), w.name = x->text("name");
      w.no = x->flag("not", false), w.ignore_case = x->flag("ignore-case", false);
      std::string value;
      for (const char c : x->text("values") + "|") {
        if (c != '|') value += c;
        else if (!value.empty()) w.values.push_back(std::exchange(value, {}));
      }
      if (w.what == W::Header && w.name.empty()) fault(*x, "a header without its name", "add name");
      if (w.what != W::Header && w.values.empty())
        fault(*x, "nothing to look for", "give values, with | between them");
      if (w.what == W::Source)
        for (const auto& v : w.values)
          if (!matching::is_network(v))
            fault(*x, "'" + v + "' is no address or IPv4 network", "write 10.0.0.0/8");
      out.push_back(std::move(w));
    }
    return out;
  }

  void route(const Element& e, Front& out) {
    Route r;
    r.name = e.text("name"), r.model = e.text("model"), r.engine_model = e.text("engine-model");
    r.timeout = e.time("route-timeout", Span::millis(10000));
    r.timeout_per_1000_tokens = e.time("timeout-per-1000-tokens", Span{});
    r.max_tokens = e.number("max-tokens", 0), r.line = e.line;
    const std::string effect = e.text("effect");
    r.effect = effect == "retriable" ? Effect::Retriable
               : effect == "deduped" ? Effect::Deduped
                                     : Effect::NonRetriable;
    ModelRoute m;
    m.first_token_target = e.time("first-token-target", Span::millis(1000));
    m.target_per_1000_tokens = e.time("target-per-1000-tokens", Span{});
    m.token_pace = e.time("token-pace", Span::millis(80));
    m.effect = r.effect;
    m.value = e.number("value", 1), m.late_value = e.number("late-value", 0.2);
    const std::string group = e.text("dedupe-group", "rack");
    m.dedupe_group = group == "all"    ? DedupeGroup::All
                     : group == "zone" ? DedupeGroup::Zone
                                       : DedupeGroup::Rack;
    m.dedupe_window = e.time("dedupe-window", Span{});
    if (r.effect == Effect::Deduped && m.dedupe_window <= Span{})
      fault(e, "route '" + r.name + "' is deduped without a dedupe-window",
            "say for how long engines drop repeats");
    if (r.effect != Effect::Deduped && (e.attribute("dedupe-window") || e.attribute("dedupe-group")))
      fault(e, "route '" + r.name + "' names a dedupe group or window, but is " + effect,
            "drop them, or set effect to deduped");
    if (m.first_token_target <= Span{}) fault(e, "first-token-target is 0", "give a time above 0");
    if (r.timeout < m.first_token_target)
      fault(e, "route-timeout is below first-token-target",
            "nothing could be late but in time: raise route-timeout");
    if (!is_pattern(r.model))
      fault(e, "model '" + r.model + "' is no pattern", "write a name, or a prefix that ends in *");
    r.when = conditions(e);
    for (const auto& other : out.routes) {
      if (other.name == r.name)
        fault(e, "route '" + r.name + "' stands already in line " + std::to_string(other.line),
              "give it another name");
      // Who has conditions may leave something for those below.
      if (!other.when.empty()) continue;
      if (other.model == r.model)
        fault(e,
              "route '" + r.name + "' matches the same model '" + r.model + "' as route '" + other.name +
                  "' in line " + std::to_string(other.line),
              "give each its own model or prefix");
      else if (other.model.ends_with('*') && fits(other.model, r.model))
        fault(e,
              "route '" + r.name + "' is never reached: route '" + other.name + "' in line " +
                  std::to_string(other.line) + " takes its models first",
              "move it above that line");
    }
    if (const auto* x = e.child("relay")) r.relay = relay(*x);
    const auto at = std::find_if(out.pools.begin(), out.pools.end(),
                                 [&](const Pool& p) { return p.name == e.text("pool"); });
    if (at == out.pools.end()) {
      fault(e, "unknown pool '" + e.text("pool") + "'",
            out.pools.empty() ? "add a <pool>" : "use '" + out.pools.front().name + "' or add the pool");
    } else {
      r.pool = static_cast<std::size_t>(at - out.pools.begin());
      r.number = static_cast<std::uint16_t>(at->routing.routes.size());
      at->routing.routes.push_back(m);
      at->route_caps.push_back({m.value, count(e, "most-in-work", 0, 1e6)});
      auto preferred = tiers(e, out);
      preferred.value = m.value;
      at->route_tiers.push_back(std::move(preferred));
    }
    out.routes.push_back(std::move(r));
  }

  rounds::Rules relay(const Element& e) {
    rounds::Rules out;
    std::string word;
    for (const char c : e.text("tools") + " ") {
      if (c != ' ') {
        word += c;
        continue;
      }
      if (!word.empty() && !is_pattern(word))
        fault(e, "'" + word + "' is no pattern", "write a name, or a prefix that ends in *");
      if (!word.empty()) out.tools.push_back(std::exchange(word, {}));
    }
    if (out.tools.empty()) fault(e, "relay names no tool", "list names or prefixes, with spaces between");
    out.most_rounds = static_cast<int>(count(e, "rounds", 8, 100));
    out.most_at_once = count(e, "at-once", out.most_at_once, 64);
    out.most_calls = count(e, "calls", out.most_calls, 1000);
    out.call_time = e.time("call-time", out.call_time);
    out.input_bytes = e.size("input", out.input_bytes), out.result_bytes = e.size("result", out.result_bytes);
    if (out.call_time <= Span{}) fault(e, "call-time is 0", "give a time above 0");
    return out;
  }

  Tools tools(const Element& e, const Front& front) {
    Tools out;
    out.path = e.text("path", out.path);
    if (!out.path.starts_with('/') || out.path.starts_with("/v1/"))
      fault(e, "path '" + out.path + "' can't be served",
            "begin it with /, and not with /v1/, where messages are");
    out.sessions = count(e, "sessions", out.sessions, 1e6);
    out.kept_bytes = e.size("kept", out.kept_bytes);
    out.desk.most_sends = static_cast<int>(count(e, "most-sends", 3, 100));
    out.list_every = e.time("list-every", out.list_every);
    if (out.list_every < Span::millis(10)) fault(e, "list-every is under 10ms", "give 10ms or more");
    for (const auto* o : e.all("origin")) out.origins.push_back(o->text("allow"));
    for (const auto* s : e.all("server")) {
      const auto at = net::parse_address(s->text("address"));
      if (!at) fault(*s, "'" + s->text("address") + "' is no address", "write HOST:PORT");
      for (const auto& other : out.servers)
        if (other.name == s->text("name"))
          fault(*s, "tool server '" + other.name + "' stands twice", "give it another name");
      out.servers.push_back({s->text("name"), s->text("path", "/mcp"), at.value_or(net::Address{})});
      out.desk.most_calls.push_back(count(*s, "calls", 64, 1e5));
    }
    for (const auto* t : e.all("text-tool")) {
      TextTool x{t->text("name"), t->text("description"), t->text("system"), 0,
                 static_cast<int>(count(*t, "max-tokens", 256, 1e6))};
      const auto at = std::find_if(front.routes.begin(), front.routes.end(),
                                   [&](const Route& r) { return r.name == t->text("route"); });
      if (at == front.routes.end())
        fault(*t, "unknown route '" + t->text("route") + "'", "name one of the routes above");
      else if (at->effect == Effect::Deduped)
        fault(*t, "route '" + at->name + "' is deduped, and a tool's call has no key of its client",
              "name a route that is not");
      else x.route = static_cast<std::size_t>(at - front.routes.begin());
      for (const auto& other : out.texts)
        if (other.name == x.name)
          fault(*t, "text tool '" + x.name + "' stands twice", "give it another name");
      out.texts.push_back(std::move(x));
    }
    for (const auto* t : e.all("tool")) {
      tools::ToolRule r;
      r.pattern = t->text("name");
      const std::string effect = t->text("effect");
      r.effect = effect == "retriable" ? Effect::Retriable
                 : effect == "deduped" ? Effect::Deduped
                                       : Effect::NonRetriable;
      r.dedupe_window = t->time("dedupe-window", {}), r.time_out = t->time("time-out", r.time_out);
      r.most_at_once = count(*t, "at-once", r.most_at_once, 1e5),
      r.most_waiting = count(*t, "waiting", r.most_waiting, 1e5);
      r.stays = t->flag("stays", false);
      if (r.effect == Effect::Deduped && r.dedupe_window <= Span::millis(250))
        fault(*t, "tool '" + r.pattern + "' is deduped without a dedupe-window above 250ms",
              "say for how long its servers drop repeats");
      if (r.effect != Effect::Deduped && t->attribute("dedupe-window"))
        fault(*t, "tool '" + r.pattern + "' names a dedupe-window, but is " + effect,
              "drop it, or set effect to deduped");
      if (r.time_out <= Span{}) fault(*t, "time-out is 0", "give a time above 0");
      if (!is_pattern(r.pattern))
        fault(*t, "'" + r.pattern + "' is no pattern", "write a name, or a prefix that ends in *");
      for (const auto& other : out.desk.rules)
        if (other.pattern == r.pattern || (other.pattern.ends_with('*') && fits(other.pattern, r.pattern)))
          fault(*t, "tool '" + r.pattern + "' is never reached: '" + other.pattern + "' takes it first",
                "move it above");
      out.desk.rules.push_back(r);
    }
    return out;
  }

  const std::string& file_;
  std::vector<Fault>& faults_;
  int zone_ = 0;
};

std::string digest_of(std::string_view text) {
  const XXH128_hash_t h = XXH3_128bits(text.data(), text.size());
  char hex[40];
  std::snprintf(hex, sizeof hex, "%016llx%016llx", static_cast<unsigned long long>(h.high64),
                static_cast<unsigned long long>(h.low64));
  return hex;
}

}  // namespace

std::optional<Front> load(const std::string& file, std::string_view text, std::vector<Fault>& faults) {
  const auto before = faults.size();
  const auto root = read_xml(file, text, schema(), faults);
  if (!root) return std::nullopt;
  Front out = Reader(file, faults).read(*root);
  std::stable_sort(faults.begin() + static_cast<std::ptrdiff_t>(before), faults.end(),
                   [](const Fault& a, const Fault& b) { return a.line < b.line; });
  if (faults.size() > before) return std::nullopt;
  out.text = text, out.digest = digest_of(text);
  return out;
}

std::optional<Front> load_file(const std::string& file, std::vector<Fault>& faults) {
  const auto text = read_file(file, faults);
  return text ? load(file, *text, faults) : std::nullopt;
}

}  // namespace calicograde::settings
