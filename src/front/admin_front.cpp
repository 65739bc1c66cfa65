#include "front/admin_front.hpp"

#include <unistd.h>

#include <charconv>
#include <ctime>
#include <nlohmann/json.hpp>

#include "net/clock.hpp"
#include "routing/state.hpp"
#include "version.hpp"

namespace calicograde::front {
namespace {

using Json = nlohmann::ordered_json;
using net::clock_now;

constexpr int speaks = 1;  // the version of this interface
constexpr std::size_t slice = 128, inferences_most = 100000;
constexpr Span busy_after = Span::millis(2000);

Json of(const std::optional<Span>& s) { return s ? Json(std::llround(s->as_millis())) : Json(); }

Json json_of(const drain::Progress& p) {
  Json j{
      {"state", drain::word(p.state)},
      {"number", p.number},
      {"left", {{"inferences", p.left.inferences}, {"calls", p.left.calls}, {"holdings", p.left.holdings}}}};
  if (p.state == drain::State::Serving) return j;
  j["left"]["oldest_ms"] =
      p.left.oldest ? Json(std::llround((clock_now() - *p.left.oldest).as_millis())) : Json();
  j["by"] = p.by, j["at_first"] = p.at_first, j["since_ms"] = of(p.since), j["ends_in_ms"] = of(p.ends_in);
  j["limit_in_ms"] = of(p.limit_in), j["at_limit"] = p.cut ? "cut" : "go-on", j["remembered"] = p.remember;
  j["late"] = p.late;
  return j;
}

const char* word(Stage s) { return s == Stage::Read ? "read" : s == Stage::Write ? "write" : "both"; }
const char* word(Lifecycle l) {
  return l == Lifecycle::Ready ? "ready" : l == Lifecycle::Draining ? "draining" : "gone";
}
// One engine as this front judges it, and why.
Json json_of(const Core::Judged& e) {
  const EngineView& v = e.view;
  std::string judged = v.entry.lifecycle == Lifecycle::Gone       ? "gone"
                       : e.by_hand                                ? "held out"
                       : e.withheld                               ? "withheld"
                       : v.entry.lifecycle == Lifecycle::Draining ? "draining"
                       : v.doubted                                ? "doubted"
                       : v.closed                                 ? "full"
                                                                  : "trusted";
  std::string why = v.why;
  if (e.by_hand) why = "held out by hand";
  else if (e.withheld) why = "its hall is lost, or returns in stages";
  Json j{{"address", e.address},
         {"kind", e.kind},
         {"zone", e.zone},
         {"rack", v.entry.rack},
         {"stage", word(v.stage)},
         {"state", word(v.entry.lifecycle)},
         {"judged", judged},
         {"why", why},
         {"sends_out", v.out},
         {"reading", {{"inferences", v.reading}, {"tokens", std::llround(v.reading_tokens)}}},
         {"writing", {{"inferences", v.writing}, {"tokens", std::llround(v.writing_tokens)}}},
         {"failed_of_last", {v.failures, v.judged}}};
  if (v.entry.started) j["started_ms_ago"] = std::llround((clock_now() - *v.entry.started).as_millis());
  if (v.silence) j["silent_ms"] = std::llround(v.silence->as_millis());
  return j;
}

class Admin : public Protocol {
 public:
  Admin(Core& core, Draining& draining, const Server& clients, std::string token)
      : core_(core), draining_(draining), clients_(clients), token_(std::move(token)), since_(clock_now()) {}

  bool takes(const std::string& path) const override { return path.starts_with("/admin/"); }

  void refuse(int status, const std::string& what, Visit& visit) override {
    say(visit, status, fault(what), false);
  }

  bool serve(http::Request& r, Visit& visit) override {
    if (!may(r)) return fail(visit, 401, "the token is missing or wrong; send authorization: Bearer TOKEN");
    const auto asked = http::header(r.headers, "x-calicograde-admin");
    if (!r.target.starts_with("/admin/v1/") || (!asked.empty() && asked != std::to_string(speaks)))
      return fail(visit, 400,
                  "this front speaks version " + std::to_string(speaks) + " of the admin interface");
    const std::string path = r.target.substr(std::string_view("/admin/v1").size());
    const std::string name = path.substr(0, path.find('?'));
    const bool get = r.method == "GET";
    if (name == "/state" && get) return state(visit);
    if (name == "/engines" && get) return engines(visit);
    if (name == "/inferences" && get) return inferences(visit);
    if (name == "/latency" && get) return latency(visit);
    if (name == "/settings" && get) return settings(visit);
    if (name == "/drain") return drain(r, visit);
    if (name == "/hold-out" && r.method == "POST") return hold_out(r, visit);
    if (name == "/fronts" && (r.method == "POST" || r.method == "DELETE")) return fronts(r, visit);
    if (name == "/log-level" && r.method == "POST") return log_level(r, visit);
    for (const char* known :
         {"/state", "/engines", "/inferences", "/latency", "/settings", "/hold-out", "/fronts", "/log-level"})
      if (name == known) return fail(visit, 405, r.method + " is not served at " + r.target.substr(0, 100));
    return fail(visit, 404, "nothing is served at " + r.target.substr(0, 100));
  }

 private:
  // As long whatever differs, so that its time tells nothing of the token.
  bool may(const http::Request& r) const {
    if (token_.empty()) return true;
    const std::string wanted = "Bearer " + token_;
    const auto given = http::header(r.headers, "authorization");
    unsigned differ = given.size() == wanted.size() ? 0 : 1;
    for (std::size_t k = 0; k < wanted.size(); ++k)
      differ |= static_cast<unsigned char>(wanted[k] ^ (k < given.size() ? given[k] : '\0'));
    return differ == 0;
  }

  static Json fault(const std::string& what) { return {{"version", speaks}, {"error", what}}; }
  static bool say(Visit& visit, int status, const Json& body, bool keep = true) {
    return visit.connection.respond(status, {{"content-type", "application/json"}},
                                    body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n", keep) &&
           keep;
  }
  static bool fail(Visit& visit, int status, const std::string& what) {
    return say(visit, status, fault(what), status != 401);
  }
  static bool busy(Visit& visit) { return fail(visit, 503, "this front is too busy to tell; ask again"); }
  Json head() const { return {{"version", speaks}, {"front", core_.settings().name}}; }
  static Instant soon() { return clock_now() + busy_after; }

  bool state(Visit& visit) {
    const auto pools = core_.status(soon());
    const auto fronts = core_.fronts(soon());
    if (!pools || !fronts) return busy(visit);
    const auto counts = core_.counts();
    Json j = head();
    j["build"] = version, j["pid"] = getpid(), j["up_ms"] = std::llround((clock_now() - since_).as_millis());
    j["settings_digest"] = core_.settings().digest;
    j["drain"] = json_of(draining_.progress());
    j["counts"] = {{"inferences", counts.open},
                   {"calls", clients_.in_work()},
                   {"connections", clients_.connections()},
                   {"queued", counts.queued},
                   {"sends", counts.sends}};
    j["limits"] = {{"connections", core_.settings().connections},
                   {"held", core_.settings().held},
                   {"sends", core_.settings().sends},
                   {"queue", core_.settings().queue}};
    j["fronts"] = {{"acting", fronts->acting},
                   {"settings", fronts->settings},
                   {"roster", fronts->roster ? Json(*fronts->roster) : Json()},
                   {"by_hand", fronts->hand ? Json(*fronts->hand) : Json()}};
    j["pools"] = Json::array();
    for (const auto& p : *pools) {
      Json pool{{"name", p.name},       {"roster_heard", p.heard}, {"cut_off", p.cut_off},
                {"inferences", p.open}, {"holdings", p.holdings},  {"halls", Json::array()}};
      for (const auto& h : p.halls)
        pool["halls"].push_back({{"name", h.name},
                                 {"state", h.state},
                                 {"by_hand", h.by_hand},
                                 {"in_work", h.in_work},
                                 {"spilled", h.spilled},
                                 {"capacity", std::llround(h.capacity)}});
      if (p.cap_on)
        pool["cap"] = {{"most", std::llround(p.cap)}, {"in_work", p.in_work}, {"refused", p.refused}};
      for (const auto& [route, zones] : p.closed) pool["closed"][route] = zones;
      j["pools"].push_back(std::move(pool));
    }
    return say(visit, 200, j);
  }

  // Streamed: a slice of the engines at a time, each copied out between two events of the owner.
  bool engines(Visit& visit) {
    bool begun = false, first = true;
    const auto piece = [&](const std::string& text) {
      if (!begun && !(begun = visit.connection.begin_stream(200, {{"content-type", "application/json"}})))
        return false;
      return visit.connection.piece(text);
    };
    std::string out = "{\"version\":" + std::to_string(speaks) +
                      ",\"front\":" + Json(core_.settings().name).dump() + ",\"engines\":[";
    for (std::size_t pool = 0; pool < core_.settings().pools.size(); ++pool) {
      std::optional<EngineId> after;
      for (;;) {
        const auto some = core_.engines(pool, after, slice, soon());
        // A part of a list is worse than none: its end is missing, which every reader of JSON sees.
        if (!some) return begun ? false : busy(visit);
        for (const auto& e : *some) {
          Json j = json_of(e);
          j["pool"] = core_.settings().pools[pool].name;
          out += (first ? "\n" : ",\n") + j.dump(-1, ' ', false, Json::error_handler_t::replace),
              first = false;
          after = e.view.entry.engine;
        }
        if (!piece(out)) return false;
        out.clear();
        if (some->size() < slice) break;
      }
    }
    return piece("]}\n") && visit.connection.end_stream();
  }

  bool inferences(Visit& visit) {
    Json j = head();
    j["inferences"] = Json::array();
    for (std::size_t pool = 0; pool < core_.settings().pools.size(); ++pool) {
      for (InfId after = 0; j["inferences"].size() < inferences_most;) {
        const auto some = core_.inferences(pool, after, slice, soon());
        if (!some) return busy(visit);
        for (const auto& v : *some) {
          after = v.inf;
          std::string route = "?";
          for (const auto& r : core_.settings().routes)
            if (r.pool == pool && r.number == v.route) route = r.name;
          j["inferences"].push_back({{"inference", v.inf},
                                     {"pool", core_.settings().pools[pool].name},
                                     {"route", route},
                                     {"phase", v.phase},
                                     {"sends", v.sends},
                                     {"sends_out", v.out},
                                     {"prompt_tokens", std::llround(v.prompt_tokens)},
                                     {"reader", v.reader ? Json(text_of(*v.reader)) : Json()},
                                     {"writer", v.writer ? Json(text_of(*v.writer)) : Json()},
                                     {"budget_left_ms", std::llround(v.ends_in.as_millis())}});
        }
        if (some->size() < slice) break;
      }
    }
    return say(visit, 200, j);
  }

  bool latency(Visit& visit) {
    Json j = head();
    j["buckets"] = metrics::Latency::version;
    j["routes"] = Json::object();
    for (const auto& [name, r] : core_.figures().all()) {
      Json outcomes = Json::object();
      for (const auto& [how, n] : r.outcomes) outcomes[how] = n;
      j["routes"][name] = {
          {"outcomes", outcomes}, {"first_token", r.first_token.counts()}, {"whole", r.whole.counts()}};
    }
    return say(visit, 200, j);
  }

  bool settings(Visit& visit) {
    Json j = head();
    j["digest"] = core_.settings().digest, j["settings"] = core_.settings().text;
    return say(visit, 200, j);
  }

  static std::optional<Json> body_of(const http::Request& r) {
    if (r.body.empty()) return Json::object();
    Json j = Json::parse(r.body, nullptr, false);
    return j.is_object() ? std::optional(std::move(j)) : std::nullopt;
  }
  static std::string word_in(const Json& j, const char* name, const std::string& absent = {}) {
    const auto it = j.find(name);
    return it != j.end() && it->is_string() ? it->get<std::string>().substr(0, 200) : absent;
  }
  // A number from 0 to `most`; none if it is anything else.
  static std::optional<double> number_in(const Json& j, const char* name, double absent, double most) {
    const auto it = j.find(name);
    if (it == j.end()) return absent;
    if (!it->is_number()) return std::nullopt;
    const double n = it->get<double>();
    return n >= 0 && n <= most ? std::optional(n) : std::nullopt;
  }

  bool drain(const http::Request& r, Visit& visit) {
    const auto body = body_of(r);
    if (!body) return fail(visit, 400, "the body is no JSON object");
    const std::string by = word_in(*body, "by", "somebody");
    if (r.method == "POST") {
      const auto limit = number_in(*body, "limit_ms", 300000, 1e9);
      if (!limit) return fail(visit, 400, "limit_ms: a number from 0 (none) to 1e9 is wanted");
      const std::string at_limit = word_in(*body, "at_limit", "cut");
      if (at_limit != "cut" && at_limit != "go-on")
        return fail(visit, 400, "at_limit: cut or go-on is wanted");
      const auto remember = body->find("remember");
      if (remember != body->end() && !remember->is_boolean())
        return fail(visit, 400, "remember: true or false is wanted");
      const std::string wrong = draining_.ask({by, Span::from_millis(*limit), at_limit == "cut",
                                               remember != body->end() && remember->get<bool>()});
      if (!wrong.empty()) return fail(visit, 409, wrong);
    } else if (r.method == "DELETE") {
      const auto number = number_in(*body, "number", 0, 9e15);
      if (!number) return fail(visit, 400, "number: of the drain that is meant");
      using B = drain::Drain::Back;
      const auto back = draining_.take_back(
          *number > 0 ? std::optional(static_cast<std::uint64_t>(*number)) : std::nullopt, by);
      if (back == B::OtherNumber)
        return fail(visit, 409,
                    "another drain stands: " + std::to_string(draining_.progress().number) + ", by " +
                        draining_.progress().by);
    } else if (r.method != "GET") {
      return fail(visit, 405, r.method + " is not served at /drain");
    }
    Json j = head();
    j["drain"] = json_of(draining_.progress());
    return say(visit, 200, j);
  }

  bool hold_out(const http::Request& r, Visit& visit) {
    const auto body = body_of(r);
    const std::string hall = body ? word_in(*body, "hall") : "",
                      engine = body ? word_in(*body, "engine") : "";
    if (!body || hall.empty() == engine.empty()) return fail(visit, 400, "one of hall and engine is wanted");
    const auto out = body->find("out");
    if (out == body->end() || !out->is_boolean()) return fail(visit, 400, "out: true or false is wanted");
    const auto held = hall.empty() ? core_.hold_engine(engine, out->get<bool>(), soon())
                                   : core_.hold_hall(hall, out->get<bool>(), soon());
    if (held == Core::Held::Busy) return busy(visit);
    if (held == Core::Held::Unknown)
      return fail(visit, 404, hall.empty() ? "no engine " + engine + " was ever listed" : "no hall " + hall);
    Json j = head();
    j[hall.empty() ? "engine" : "hall"] = hall.empty() ? engine : hall, j["out"] = out->get<bool>();
    return say(visit, 200, j);
  }

  bool fronts(const http::Request& r, Visit& visit) {
    const auto body = body_of(r);
    if (!body) return fail(visit, 400, "the body is no JSON object");
    const auto count = number_in(*body, "count", 0, 100000), lasts = number_in(*body, "for_ms", 0, 1e9);
    const bool set = r.method == "POST";
    if (!count || !lasts || (set && *count < 1)) return fail(visit, 400, "count: 1 to 100000 is wanted");
    if (!core_.set_fronts(set ? std::optional(static_cast<int>(*count)) : std::nullopt,
                          Span::from_millis(*lasts), soon()))
      return busy(visit);
    const auto now = core_.fronts(soon());
    if (!now) return busy(visit);
    Json j = head();
    j["acting"] = now->acting;
    return say(visit, 200, j);
  }

  bool log_level(const http::Request& r, Visit& visit) {
    const auto body = body_of(r);
    const std::string level = body ? word_in(*body, "level") : "";
    if (level != "debug" && level != "info" && level != "warn" && level != "error")
      return fail(visit, 400, "level: one of debug, info, warn, error is wanted");
    core_.log().set_level(log::level_named(level));
    Json j = head();
    j["level"] = level;
    return say(visit, 200, j);
  }

  Core& core_;
  Draining& draining_;
  const Server& clients_;
  const std::string token_;
  const Instant since_;
};

}  // namespace

std::unique_ptr<Protocol> admin_front(Core& core, Draining& draining, const Server& clients,
                                      std::string token) {
  return std::make_unique<Admin>(core, draining, clients, std::move(token));
}

}  // namespace calicograde::front
