#include "lab/audit.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <optional>
#include <set>

#include "routing/state.hpp"

namespace calicograde::lab {
namespace {

// What the ways through sockets and threads may add to a time that is compared between two places.
constexpr Span slack = Span::millis(100);
constexpr int most_sends = 6;  // of an inference, as the settings of a day's fronts leave it

struct Sent {
  Instant at, end;
  bool ended = false;
  std::string engine, name, mark, leg, how;
  int round = 0;  // of a message whose tools the front calls: each is an inference of its own
  std::string front() const { return name.substr(0, name.find('.')); }
  std::string inference() const { return name.substr(0, name.rfind('.')); }
  bool writes() const { return leg == "write" || leg == "whole"; }
  // By its own word the engine never began it.
  bool refused() const { return how == "queue_full" || how == "kv_state_gone" || how == "invalid_request"; }
};
struct Holding {
  Instant from, to;
  bool open = true;
  std::string engine, name, kind;
};
struct Asked {
  Instant at, final_at;
  Span budget;
  std::string route, front, mark, key, final;
  int finals = 0, after = 0;
  bool left = false;
  std::optional<double> first;
};

class Auditor {
 public:
  Auditor(const Plan& plan, std::vector<Record> records) : plan_(plan), records_(std::move(records)) {
    std::stable_sort(records_.begin(), records_.end(),
                     [](const Record& a, const Record& b) { return a.at < b.at; });
    for (const auto& r : plan.routes) routes_[r.name] = &r;
    gather();
  }

  Verdict judge() {
    for (auto& [mark, a] : asked_) answers(a), tools(a), effects(a);
    keys();
    for (const auto& s : sends_) drains(s);
    for (const auto& r : records_)
      if (r.what == "started") cold(r);
    for (const auto& h : holdings_) pinned(h);
    figures();
    return std::move(v_);
  }

 private:
  void gather() {
    std::map<std::string, std::size_t> by_name;
    const Instant end = records_.empty() ? Instant{} : records_.back().at;
    for (const Record& r : records_) {
      if (r.what == "asked")
        asked_[r.mark] = {r.at,  r.at, Span::from_millis(r.number), r.where, r.name, r.mark, r.how, {}, 0, 0,
                          false, {}};
      if (r.what == "first") asked_[r.mark].first = r.number;
      if (r.what == "final")
        ++asked_[r.mark].finals, asked_[r.mark].final = r.how, asked_[r.mark].final_at = r.at;
      if (r.what == "after") ++asked_[r.mark].after;
      if (r.what == "left") asked_[r.mark].left = true;
      if (r.what == "send")
        by_name[r.name] = sends_.size(), sends_.push_back({r.at,
                                                           end,
                                                           false,
                                                           r.where,
                                                           r.name,
                                                           r.mark.substr(0, r.mark.find('#')),
                                                           r.how,
                                                           {},
                                                           round_of(r.mark)});
      if (r.what == "send_end")
        if (const auto it = by_name.find(r.name); it != by_name.end() && !sends_[it->second].ended)
          sends_[it->second].end = r.at, sends_[it->second].ended = true, sends_[it->second].how = r.how;
      if (r.what == "engine") engines_.emplace(r.where, &r);
      if (r.what == "held") holdings_.push_back({r.at, end, true, r.where, r.name, r.how});
      if (r.what == "unheld")
        for (auto& h : holdings_)
          if (h.open && h.engine == r.where && h.name == r.name) h.open = false, h.to = r.at;
      if (r.what == "down") {
        for (auto& s : sends_)
          if (s.engine == r.where && !s.ended) s.ended = true, s.end = r.at, s.how = "down";
        troubled_[r.where].emplace_back(r.at, r.at);
      }
      if (r.what == "trouble") troubled_[r.where].emplace_back(r.at, r.at + Span::from_millis(r.number));
      if (r.what == "front_down") front_down_[r.where].push_back(r.at);
      if (r.what == "told") told_[{r.where, r.name}].push_back(&r);
      if (r.what == "effect") effects_[r.mark].push_back(r.at);
      if (r.what == "tool_run") tool_runs_[r.mark].push_back(&r);
      if (r.what == "effect" && !r.how.empty()) key_effects_[r.how].push_back(&r);
    }
    for (const auto& s : sends_) of_mark_[s.mark].push_back(&s), of_inference_[s.inference()].push_back(&s);
  }

  void breach(int rule, Instant at, const std::string& inference, const std::string& what) {
    v_.breaches.push_back({rule, at, inference, what});
  }
  bool front_was_down(const std::string& front, Instant from, Instant to) const {
    const auto it = front_down_.find(front);
    return it != front_down_.end() && std::any_of(it->second.begin(), it->second.end(), [&](Instant t) {
             return t >= from - slack && t <= to + slack;
           });
  }

  void answers(const Asked& a) {
    ++v_.checks[1];
    if (a.left) return;
    if (a.finals != 1) breach(1, a.at, a.mark, std::to_string(a.finals) + " final answers");
    if (a.after > 0) breach(1, a.final_at, a.mark, "events after the final one");
    if (a.final == "cut") {
      if (!front_was_down(a.front, a.at, a.final_at))
        breach(1, a.final_at, a.mark, "the connection ended without a final answer");
      return;
    }
    // An answer that has begun has no deadline; until then the budget counts.
    const double took = a.first ? *a.first : (a.final_at - a.at).as_millis();
    const double most = (a.budget + plan_.rules.answer_grace).as_millis();
    if (took > most)
      breach(1, a.final_at, a.mark,
             a.final + " after " + std::to_string(static_cast<long>(took)) + " ms of " +
                 std::to_string(static_cast<long>(a.budget.as_millis())));
    for (const Sent* s : of_mark_[a.mark])
      if (s->at > a.final_at + slack)
        breach(1, s->at, a.mark, "sent to " + s->engine + " after the final answer");
  }

  static int round_of(const std::string& mark) {
    int n = 0;
    if (const auto at = mark.find('#'); at != std::string::npos)
      std::from_chars(mark.data() + at + 1, mark.data() + mark.size(), n);
    return n;
  }

  // A tool that is non-retriable runs once for each call that the model or the client asked for, and nobody
  // is invited to ask again after it ran.
  void tools(const Asked& a) {
    const auto it = tool_runs_.find(a.mark);
    if (it == tool_runs_.end()) return;
    std::map<std::pair<std::string, std::string>, int> runs;
    for (const Record* r : it->second) {
      const auto tool = std::find_if(plan_.tools.begin(), plan_.tools.end(),
                                     [&](const PlannedTool& t) { return t.name == r->name; });
      if (tool == plan_.tools.end() || tool->effect != Effect::NonRetriable) continue;
      ++v_.checks[2];
      if (++runs[{r->name, r->how}] > 1)
        breach(2, r->at, a.mark, "call " + r->how + " of " + r->name + " ran twice, last at " + r->where);
      if (a.final == "shed") breach(2, a.final_at, a.mark, "shed though " + r->name + " ran at " + r->where);
    }
  }

  void effects(const Asked& a) {
    int rounds = 0;
    for (const Sent* s : of_mark_[a.mark]) rounds = std::max(rounds, s->round);
    for (int k = 0; k <= rounds; ++k) effects(a, k);
  }
  void effects(const Asked& a, int round) {
    const auto it = routes_.find(a.route);
    if (it == routes_.end() || it->second->effect == Effect::Retriable) return;
    const PlannedRoute& r = *it->second;
    ++v_.checks[2];
    std::vector<const Sent*> ran;  // may have
    for (const Sent* s : of_mark_[a.mark])
      if (s->round == round && s->writes() && !s->refused()) ran.push_back(s);
    const bool binds = r.effect == Effect::NonRetriable || r.group != DedupeGroup::All;
    if (binds && !ran.empty() && a.final == "shed")
      breach(2, a.final_at, a.mark, "shed though it may have run at " + ran.front()->engine);
    if (r.effect == Effect::NonRetriable && ran.size() > 1)
      breach(2, ran[1]->at, a.mark,
             "sent to " + ran[1]->engine + " though it may have run at " + ran[0]->engine);
    const auto& seen = effects_[round == 0 ? a.mark : a.mark + "#" + std::to_string(round)];
    if (r.effect == Effect::NonRetriable && seen.size() > 1) breach(2, seen[1], a.mark, "a second effect");
    if (r.effect != Effect::Deduped || ran.empty()) return;
    for (const Sent* s : ran) {
      if (s->at - ran[0]->at > r.window + slack) breach(2, s->at, a.mark, "sent after the window");
      if (r.group != DedupeGroup::All && group(s->engine, r.group) != group(ran[0]->engine, r.group))
        breach(2, s->at, a.mark, "sent outside its group");
    }
  }

  std::string group(const std::string& engine, DedupeGroup g) const {
    const auto it = engines_.find(engine);
    if (it == engines_.end()) return engine;
    return g == DedupeGroup::Zone ? it->second->name : it->second->how;
  }

  // A key that a client used again, after whatever answer, has one effect.
  void keys() {
    for (const auto& [key, runs] : key_effects_) {
      ++v_.checks[2];
      if (runs.size() > 1)
        breach(2, runs[1]->at, runs[1]->mark,
               "key " + key + " took effect twice, at " + runs[0]->where + " and " + runs[1]->where);
    }
  }

  void drains(const Sent& s) {
    ++v_.checks[3];
    const auto it = told_.find({s.front(), s.engine});
    if (it == told_.end()) return;
    const Record* last = nullptr;
    for (const Record* r : it->second)
      if (r->at <= s.at) last = r;
    if (!last || last->how == "ready") return;
    // Counted from when it was first told so.
    Instant since = last->at;
    for (auto r = it->second.rbegin(); r != it->second.rend(); ++r)
      if ((*r)->at <= s.at) {
        if ((*r)->how == "ready") break;
        since = (*r)->at;
      }
    if (s.at > since + plan_.rules.drain_grace + slack)
      breach(3, s.at, s.inference(),
             "sent to " + s.engine + " " + std::to_string(static_cast<long>((s.at - since).as_millis())) +
                 " ms after " + s.front() + " was told: " + last->how);
  }

  void cold(const Record& start) {
    std::vector<const Sent*> recent;
    for (const auto& s : sends_) {
      if (s.engine != start.where || s.at < start.at || s.at > start.at + plan_.rules.cold) continue;
      ++v_.checks[4];
      recent.push_back(&s);
      std::erase_if(recent, [&](const Sent* o) { return s.at - o->at > plan_.rules.fall; });
      const double share = std::min(
          1.0, plan_.rules.cold_from + (1 - plan_.rules.cold_from) * ((s.at - start.at) / plan_.rules.cold));
      const double most = plan_.rules.fall_multiple * share * start.number * plan_.rules.fall.seconds() + 3;
      const auto knew = std::count_if(recent.begin(), recent.end(),
                                      [&](const Sent* o) { return told_of(o->front(), start, o->at); });
      if (static_cast<double>(recent.size()) > most && knew * 3 >= static_cast<long>(recent.size()) * 2) {
        breach(4, s.at, s.inference(),
               std::to_string(recent.size()) + " sends to the cold " + s.engine + " in a window that bears " +
                   std::to_string(static_cast<int>(most)));
        return;
      }
    }
  }
  bool told_of(const std::string& front, const Record& start, Instant at) const {
    const auto it = told_.find({front, start.where});
    return it != told_.end() && std::any_of(it->second.begin(), it->second.end(), [&](const Record* r) {
             return r->at <= at && r->mark == start.name;
           });
  }

  void pinned(const Holding& h) {
    ++v_.checks[5];
    if (front_was_down(h.name.substr(0, h.name.find('.')), h.from, h.to)) return;
    // An engine that hears nothing can't let go.
    if (const auto it = troubled_.find(h.engine); it != troubled_.end())
      for (const auto& [from, to] : it->second)
        if (from <= h.to + slack && to + Span::millis(1000) >= h.from) return;
    // The limit counts from the last outcome, and a send that found no engine to connect to had one as well.
    // Nobody but the front saw it, yet the sends of an inference are numbered: what is missing between two
    // that arrived was such a send; after the last one it may have been, if some engine was down.
    Instant idle = h.from;
    int last = std::max(0, number_of(h.name));
    const auto look = [&](Instant to, int unseen) {
      if (to - idle > (plan_.rules.pin_limit + slack) * (1.0 + unseen))
        breach(5, to, h.name,
               "a " + h.kind + " at " + h.engine + " stayed held " +
                   std::to_string(static_cast<long>((to - idle).as_millis())) + " ms with no send out");
    };
    const auto it = of_inference_.find(h.name.substr(0, h.name.rfind('.')));
    if (it != of_inference_.end())
      for (const Sent* s : it->second) {
        if (s->at >= h.to) continue;
        if (s->at > idle) look(s->at, std::max(0, number_of(s->name) - last - 1));
        idle = std::max(idle, s->end), last = std::max(last, number_of(s->name));
      }
    if (h.to > idle) look(h.to, any_down(idle, h.to) ? std::max(0, most_sends - 1 - last) : 0);
  }

  static int number_of(const std::string& name) {
    int n = -1;
    const auto at = name.rfind('.') + 1;
    std::from_chars(name.data() + at, name.data() + name.size(), n);
    return n;
  }
  bool any_down(Instant from, Instant to) const {
    for (const auto& [engine, spans] : troubled_)
      for (const auto& [begun, ended] : spans)
        if (begun <= to && ended + Span::millis(5000) >= from) return true;
    return false;
  }

  void figures() {
    for (const auto& [mark, a] : asked_) {
      RouteFigures& f = v_.routes[a.route];
      ++f.asked, f.sends += static_cast<double>(of_mark_[mark].size());
      if (a.left) ++f.left;
      else if (a.final == "completed") ++f.completed;
      else if (a.final == "shed") ++f.shed;
      else if (a.final == "errored") ++f.errored;
      else if (a.final == "refused") ++f.refused;
      else ++f.cut;
      if (a.first) f.first_token_ms.push_back(*a.first);
      if (const auto r = routes_.find(a.route);
          a.first && r != routes_.end() && *a.first > r->second->target.as_millis())
        ++f.late;
    }
  }

  const Plan& plan_;
  std::vector<Record> records_;
  std::map<std::string, const PlannedRoute*> routes_;
  std::map<std::string, const Record*> engines_;  // name: its zone, how: its rack
  std::map<std::string, Asked> asked_;
  std::vector<Sent> sends_;
  std::vector<Holding> holdings_;
  std::map<std::string, std::vector<const Sent*>> of_mark_, of_inference_;
  std::map<std::string, std::vector<std::pair<Instant, Instant>>> troubled_;
  std::map<std::string, std::vector<Instant>> front_down_, effects_;
  std::map<std::string, std::vector<const Record*>> key_effects_, tool_runs_;
  std::map<std::pair<std::string, std::string>, std::vector<const Record*>> told_;
  Verdict v_;
};

}  // namespace

Verdict audit(const Plan& plan, std::vector<Record> records) {
  return Auditor(plan, std::move(records)).judge();
}

std::string table(const Verdict& v) {
  std::string out =
      "route              asked completed  shed errored  left   cut  late  first token p50/p99 ms  sends "
      "each\n";
  char row[256];
  for (const auto& [name, f] : v.routes) {
    std::snprintf(row, sizeof row, "%-18s %5d %9d %5d %7d %5d %5d %5d  %9.0f / %-9.0f  %10.2f\n",
                  name.c_str(), f.asked, f.completed, f.shed, f.errored + f.refused, f.left, f.cut, f.late,
                  quantile(f.first_token_ms, 0.5, 0), quantile(f.first_token_ms, 0.99, 0),
                  f.asked ? f.sends / f.asked : 0);
    out += row;
  }
  static const char* const names[] = {"",
                                      "one final answer in time",
                                      "no effect twice",
                                      "drains kept",
                                      "no cold engine pushed over",
                                      "nothing left pinned"};
  for (int rule = 1; rule <= 5; ++rule) {
    const auto n =
        std::count_if(v.breaches.begin(), v.breaches.end(), [&](const Breach& b) { return b.rule == rule; });
    const auto it = v.checks.find(rule);
    std::snprintf(row, sizeof row, "rule %d  %-28s %6d checks  %4d breaches\n", rule, names[rule],
                  it == v.checks.end() ? 0 : it->second, static_cast<int>(n));
    out += row;
  }
  int shown = 0;
  for (const auto& b : v.breaches) {
    if (++shown > 20) break;
    std::snprintf(row, sizeof row, "  rule %d at %.1f ms, inference %s: ", b.rule,
                  (b.at - Instant{}).as_millis(), b.inference.c_str());
    out += row + b.what + "\n";
  }
  return out;
}

}  // namespace calicograde::lab
