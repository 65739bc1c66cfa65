#include "tools/tool_desk.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "core/pattern.hpp"

namespace calicograde::tools {
namespace {

constexpr std::size_t gaps_kept = 16, gaps_wanted = 4, stays_kept = 65536;
constexpr Span first_patience = Span::millis(5000);  // until gaps have been seen
constexpr Span least_patience = Span::millis(200);
constexpr Span trial_every = Span::millis(2000);  // of a doubted server, by an ordinary call
constexpr double careful_trials = 10;
constexpr Span busy_back = Span::millis(500);   // told to a client whose call found no place
constexpr Span margin = Span::millis(250);      // a repeat still takes its time to arrive
constexpr Span most_rest = Span::millis(2000);  // of a call before its next send
constexpr double deviations = 6;

}  // namespace

ToolDesk::ToolDesk(DeskSettings settings)
    : settings_(std::move(settings)), servers_(settings_.most_calls.size()) {}

const ToolRule& ToolDesk::rule_of(const std::string& tool) const {
  // What no rule speaks of is handled with the most care.
  static const ToolRule careful;
  for (const auto& r : settings_.rules)
    if (fits(r.pattern, tool)) return r;
  return careful;
}

Effect ToolDesk::effect_of(const std::string& tool, ServerIndex server) const {
  const Effect set = rule_of(tool).effect;
  const auto it = servers_[server].offers.find(tool);
  if (set != Effect::Retriable || it == servers_[server].offers.end()) return set;
  // A server that itself says a repeat does harm is believed; one that says it does none changes nothing.
  const bool harms = it->second.idempotent == false && it->second.read_only != true;
  return harms ? Effect::NonRetriable : set;
}

std::vector<std::pair<std::string, ServerIndex>> ToolDesk::catalogue() const {
  std::map<std::string, ServerIndex> first;
  for (ServerIndex k = 0; k < servers_.size(); ++k)
    for (const auto& [tool, offer] : servers_[k].offers) first.emplace(tool, k);
  return {first.begin(), first.end()};
}

std::size_t ToolDesk::busy(ServerIndex server) const { return servers_[server].awaited.size(); }

std::size_t ToolDesk::at_once(const std::string& tool) const {
  return static_cast<std::size_t>(std::count_if(calls_.begin(), calls_.end(), [&](const auto& c) {
    return c.second.tool == tool &&
           std::any_of(c.second.sends.begin(), c.second.sends.end(), [](const Send& s) { return s.out; });
  }));
}

bool ToolDesk::ran(const Call& c) const {
  return std::any_of(c.sends.begin(), c.sends.end(), [](const Send& s) { return s.ran; });
}

// Rule 2 for tools: a call that may have run goes again only if the tool is retriable, or deduped and within
// its window; and never beside a send that is still out, unless that one was given up.
bool ToolDesk::may_go_to(Instant now, const Call& c, ServerIndex server) const {
  for (const Send& s : c.sends) {
    if (!s.ran) continue;
    const Effect careful = std::max(effect_of(c.tool, s.server), effect_of(c.tool, server));
    if (careful == Effect::NonRetriable) return false;
    if (careful == Effect::Deduped && now - s.at >= rule_of(c.tool).dedupe_window - margin) return false;
  }
  return true;
}

// The least busy by its own limit, among the servers that offer the shape that the catalogue shows.
std::optional<ServerIndex> ToolDesk::choose(Instant now, const Call& c, bool any) const {
  std::optional<ServerIndex> best, shown;
  for (ServerIndex k = 0; k < servers_.size() && !shown; ++k)
    if (servers_[k].offers.contains(c.tool)) shown = k;
  if (!shown) return std::nullopt;
  const std::uint64_t shape = servers_[*shown].offers.at(c.tool).shape;
  const auto stays = stays_.find({c.session, c.tool});
  // Those that have not failed this call before those that have, the trusted before the doubted, then by
  // load.
  std::tuple<bool, bool, double> least{true, true, 1};
  for (ServerIndex k = 0; k < servers_.size(); ++k) {
    const Server& s = servers_[k];
    const auto offer = s.offers.find(c.tool);
    if (offer == s.offers.end() || offer->second.shape != shape || !may_go_to(now, c, k)) continue;
    if (stays != stays_.end() && stays->second != k) continue;
    const bool failed = c.failed_at.contains(k), trusted = !doubted(k) || now >= trial_of(c, k);
    if (!any && (failed || !trusted)) continue;
    const double load =
        static_cast<double>(busy(k)) / static_cast<double>(std::max<std::size_t>(1, settings_.most_calls[k]));
    if (load >= 1) continue;
    if (const std::tuple rank{failed, !trusted, load}; !best || rank < least) best = k, least = rank;
  }
  return best;
}

// A doubted server is tried by calls that lose nothing; by others only long after.
Instant ToolDesk::trial_of(const Call& c, ServerIndex k) const {
  const Instant next = servers_[k].next_trial;
  return effect_of(c.tool, k) == Effect::Retriable ? next : next + trial_every * careful_trials;
}

// A call rests before it goes to a server that has just failed it, before its last send goes to a doubted
// one, and before a call that must not run twice goes to one that fails calls: the sends that are left are
// spread over the time that is left, so that an outage shorter than that costs it nothing. A server that is
// trusted again ends the rest.
bool ToolDesk::rests(Instant now, Call& c, ServerIndex server) const {
  const auto left = static_cast<double>(settings_.most_sends) - static_cast<double>(c.sends.size());
  const bool careful = effect_of(c.tool, server) != Effect::Retriable;
  const bool risky = servers_[server].doubt == Server::Doubt::Failing && (careful || left <= 1);
  if (!risky && !c.failed_at.contains(server)) return false;
  if (!c.rests_until) c.rests_until = now + std::min(most_rest, (c.ends - now) * (1 / (left + 1)));
  return now < *c.rests_until;
}

// Sends a call, leaves it in the line, or ends it.
void ToolDesk::place(Instant now, CallId id) {
  Call& c = calls_.at(id);
  const ToolRule& rule = rule_of(c.tool);
  if (now >= c.ends) return fail(id, ran(c) ? FailCall::Why::OutcomeUnknown : FailCall::Why::TimedOut);
  const bool again = !c.sends.empty();
  if (again && static_cast<int>(c.sends.size()) >= settings_.most_sends)
    return fail(id, ran(c) ? FailCall::Why::OutcomeUnknown : FailCall::Why::NoServer);
  const bool may_anywhere = [&] {
    for (ServerIndex k = 0; k < servers_.size(); ++k)
      if (servers_[k].offers.contains(c.tool) && may_go_to(now, c, k)) return true;
    return false;
  }();
  if (!may_anywhere) return fail(id, ran(c) ? FailCall::Why::OutcomeUnknown : FailCall::Why::UnknownTool);
  auto server = at_once(c.tool) < rule.most_at_once ? choose(now, c, false) : std::nullopt;
  // Only where nobody else is left are the doubted ones, and those that failed this one, taken.
  if (!server && at_once(c.tool) < rule.most_at_once) {
    bool sound = false;
    for (ServerIndex k = 0; k < servers_.size(); ++k)
      sound |= servers_[k].offers.contains(c.tool) && !doubted(k) && !c.failed_at.contains(k);
    const bool bound = stays_.contains({c.session, c.tool});
    if (!sound || bound) server = choose(now, c, true);
  }
  if (!server) {
    if (std::find(line_.begin(), line_.end(), id) == line_.end()) line_.push_back(id);
    return;
  }
  std::erase(line_, id);
  if (rests(now, c, *server)) return;
  c.rests_until.reset();
  Server& s = servers_[*server];
  if (doubted(*server)) s.next_trial = now + trial_every;
  if (rule.stays && c.session != 0) {
    if (stays_.size() >= stays_kept) stays_.erase(stays_.begin());
    stays_.emplace(std::pair{c.session, c.tool}, *server);
  }
  const auto number = static_cast<std::uint32_t>(c.sends.size());
  c.sends.push_back({*server, now});
  s.awaited[{id, number}] = now;
  out_.push_back(SendCall{id, number, *server, std::min(c.ends, now + rule.time_out)});
}

void ToolDesk::fail(CallId id, FailCall::Why why, Span retry_after) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  for (std::uint32_t k = 0; k < it->second.sends.size(); ++k) {
    Send& s = it->second.sends[k];
    if (s.out && !s.stopped) out_.push_back(StopCall{id, k});
    servers_[s.server].awaited.erase({id, k});
  }
  out_.push_back(FailCall{why, id, retry_after});
  std::erase(line_, id);
  calls_.erase(it);
}

void ToolDesk::admit(Instant now) {
  const auto waiting = line_;
  for (const CallId id : waiting)
    if (calls_.contains(id)) place(now, id);
  if (!std::exchange(trust_grew_, false)) return;
  std::vector<CallId> resting;
  for (const auto& [id, c] : calls_)
    if (c.rests_until) resting.push_back(id);
  for (const CallId id : resting) place(now, id);
}

std::vector<DeskAction> ToolDesk::offered(Instant now, ServerIndex server,
                                          const std::optional<std::vector<Offer>>& offers) {
  Server& s = servers_[server];
  if (!offers) {
    doubt(now, server, false, "its list can't be had");
    return done();
  }
  s.offers.clear();
  for (const auto& o : *offers) s.offers[o.tool] = o;
  sign(now, server);
  admit(now);
  return done();
}

std::vector<DeskAction> ToolDesk::called(Instant now, CallId id, const std::string& tool,
                                         std::uint64_t session, Instant ends) {
  const auto [it, fresh] = calls_.try_emplace(id);
  if (!fresh) return {};
  it->second.tool = tool, it->second.session = session, it->second.ends = ends;
  const bool known =
      std::any_of(servers_.begin(), servers_.end(), [&](const Server& s) { return s.offers.contains(tool); });
  const auto waiting = static_cast<std::size_t>(
      std::count_if(line_.begin(), line_.end(), [&](CallId w) { return calls_.at(w).tool == tool; }));
  if (!known) fail(id, FailCall::Why::UnknownTool);
  else if (waiting >= rule_of(tool).most_waiting) fail(id, FailCall::Why::Busy, busy_back);
  else if (waiting > 0) line_.push_back(id);  // none passes those that came before it
  else place(now, id);
  return done();
}

std::vector<DeskAction> ToolDesk::heard(Instant now, CallId id, std::uint32_t send) {
  const auto it = calls_.find(id);
  if (it != calls_.end() && send < it->second.sends.size() && it->second.sends[send].out)
    sign(now, it->second.sends[send].server);
  return done();
}

std::vector<DeskAction> ToolDesk::ended(Instant now, CallId id, std::uint32_t send, CallEnd end) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || send >= it->second.sends.size() || !it->second.sends[send].out) return done();
  Call& c = it->second;
  Send& s = c.sends[send];
  s.out = false;
  if (end == CallEnd::NotReached || end == CallEnd::TurnedAway) s.ran = false;
  if (end == CallEnd::Answered || end == CallEnd::TurnedAway) sign(now, s.server, end == CallEnd::Answered);
  servers_[s.server].awaited.erase({id, send});
  if (end == CallEnd::NotReached || end == CallEnd::Broken || end == CallEnd::Garbage)
    doubt(now, s.server, end != CallEnd::NotReached,
          end == CallEnd::NotReached ? "not reached"
          : end == CallEnd::Broken   ? "broke off"
                                     : "answers nonsense");
  if (end == CallEnd::Answered) {
    // The first answer is the call's; what else is out for it is for nobody.
    for (std::uint32_t k = 0; k < c.sends.size(); ++k)
      if (c.sends[k].out) out_.push_back(StopCall{id, k}), servers_[c.sends[k].server].awaited.erase({id, k});
    calls_.erase(it);
  } else {
    c.failed_at.insert(s.server);
    const bool other_out = std::any_of(c.sends.begin(), c.sends.end(), [](const Send& o) { return o.out; });
    if (!other_out) place(now, id);
  }
  admit(now);
  return done();
}

std::vector<DeskAction> ToolDesk::cancelled(Instant now, CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return {};
  for (std::uint32_t k = 0; k < it->second.sends.size(); ++k)
    if (it->second.sends[k].out)
      out_.push_back(StopCall{id, k}), servers_[it->second.sends[k].server].awaited.erase({id, k});
  std::erase(line_, id);
  calls_.erase(it);
  admit(now);
  return done();
}

std::vector<DeskAction> ToolDesk::tick(Instant now) {
  for (ServerIndex k = 0; k < servers_.size(); ++k) {
    Server& s = servers_[k];
    if (doubted(k) || s.awaited.empty()) continue;
    Instant oldest = now;
    for (const auto& [name, at] : s.awaited) oldest = std::min(oldest, at);
    if (now - std::max(oldest, s.last_sign) > patience(s)) doubt(now, k, false, "unusually silent");
  }
  std::vector<CallId> over, move, rested;
  for (const auto& [id, c] : calls_) {
    if (now >= c.ends) over.push_back(id);
    else if (c.rests_until && now >= *c.rests_until) rested.push_back(id);
    // What waits at a doubted server goes elsewhere where it may: its send there is given up.
    else if (!c.sends.empty() && c.sends.back().out && !c.sends.back().stopped &&
             doubted(c.sends.back().server) &&
             now - c.sends.back().at > patience(servers_[c.sends.back().server]))
      move.push_back(id);
  }
  for (const CallId id : over)
    fail(id, ran(calls_.at(id)) ? FailCall::Why::OutcomeUnknown : FailCall::Why::TimedOut);
  for (const CallId id : rested) place(now, id);
  for (const CallId id : move) {
    Call& c = calls_.at(id);
    c.failed_at.insert(c.sends.back().server);
    if (static_cast<int>(c.sends.size()) >= settings_.most_sends || !choose(now, c, false)) continue;
    c.sends.back().stopped = true;
    out_.push_back(StopCall{id, static_cast<std::uint32_t>(c.sends.size() - 1)});
    place(now, id);
  }
  admit(now);
  return done();
}

void ToolDesk::session_over(std::uint64_t session) {
  std::erase_if(stays_, [&](const auto& s) { return s.first.first == session; });
}

void ToolDesk::sign(Instant now, ServerIndex server, bool answered) {
  Server& s = servers_[server];
  if (!s.awaited.empty()) {
    Instant oldest = now;
    for (const auto& [name, at] : s.awaited) oldest = std::min(oldest, at);
    s.gaps.push_back((now - std::max(oldest, s.last_sign)).seconds());
    if (s.gaps.size() > gaps_kept) s.gaps.pop_front();
  }
  s.last_sign = now;
  if (s.doubt == Server::Doubt::Silent || (s.doubt == Server::Doubt::Failing && answered)) {
    s.doubt = Server::Doubt::None, trust_grew_ = true;
    out_.push_back(SayOnce{"tool server " + std::to_string(server) + " trusted again"});
  }
}

// The silence that is still usual, by the gaps seen before.
Span ToolDesk::patience(const Server& s) const {
  if (s.gaps.size() < gaps_wanted) return first_patience;
  double sum = 0, squares = 0, most = 0;
  for (const double g : s.gaps) sum += g, squares += g * g, most = std::max(most, g);
  const double n = static_cast<double>(s.gaps.size()), mean = sum / n;
  const double deviation = std::sqrt(std::max(0.0, squares / n - mean * mean));
  return Span::from_seconds(std::max(3 * most, mean + deviations * deviation)) + least_patience;
}

void ToolDesk::doubt(Instant now, ServerIndex server, bool failing, const char* why) {
  Server& s = servers_[server];
  s.next_trial = now + trial_every;
  const bool known = doubted(server);
  if (failing || !known) s.doubt = failing ? Server::Doubt::Failing : Server::Doubt::Silent;
  if (known) return;
  char text[160];
  const double silent = s.awaited.empty() ? 0 : (now - s.last_sign).as_millis();
  std::snprintf(text, sizeof text, "tool server %zu doubted: %s, %zu calls out, last sign %.0f ms ago",
                server, why, s.awaited.size(), silent);
  out_.push_back(SayOnce{text});
}

}  // namespace calicograde::tools
