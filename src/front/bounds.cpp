#include "front/bounds.hpp"

#include <algorithm>

namespace calicograde::front {
namespace {

constexpr double pressing = 0.1;  // of its target, that an inference may wait for its first send

}  // namespace

Bounds::Bounds(const limits::CapRules& caps, const limits::SpillRules& spill, const Settings& settings,
               const std::vector<limits::RouteCap>& routes, const std::vector<limits::RouteTiers>& tiers,
               std::vector<std::string> zones)
    : settings_(settings), caps_(caps, routes), spill_(spill, tiers, std::move(zones)) {
  // What no tier names is closed from the first inference on.
  take(spill_.tick(Instant{}));
}

void Bounds::take(std::vector<limits::SpillStep> steps) {
  for (auto& step : steps)
    if (auto* closed = std::get_if<ZonesClosed>(&step)) {
      // Only the last word counts.
      std::erase_if(events_, [](const Event& e) { return std::holds_alternative<ZonesClosed>(e); });
      events_.push_back(std::move(*closed));
    } else {
      notes_.push_back(std::move(std::get<limits::SpillNote>(step).text));
    }
}

void Bounds::arrived(Instant now, Arrived& a) {
  Watched w;
  w.came = now, w.route = a.route;
  if (a.route < settings_.routes.size()) {
    const ModelRoute& r = settings_.routes[a.route];
    w.target = r.first_token_target + r.target_per_1000_tokens * (a.prompt_tokens / 1000);
  }
  a.over_limit = w.refused = caps_.ask(now, a.inf, a.route, a.customer) != limits::Caps::Says::Take;
  watched_[a.inf] = w;
}

void Bounds::sent(Instant now, InfId inf, const EngineId& to) {
  const auto it = watched_.find(inf);
  const auto zone = zones_.find(to);
  if (it == watched_.end() || zone == zones_.end()) return;
  it->second.sent = true;
  take(spill_.sent(now, inf, it->second.route, zone->second));
}

void Bounds::started(Instant now, InfId inf) {
  const auto it = watched_.find(inf);
  if (it == watched_.end() || std::exchange(it->second.first, true)) return;
  const double share = it->second.target > Span{} ? (now - it->second.came) / it->second.target : 0;
  caps_.first_token(now, inf, share);
  spill_.first_token(now, inf, share);
}

void Bounds::over(Instant now, InfId inf) {
  const auto it = watched_.find(inf);
  if (it == watched_.end()) return;
  watched_.erase(it);
  caps_.ended(now, inf);
  take(spill_.ended(now, inf));
}

void Bounds::listed(const FleetListed& list) {
  for (const auto& e : list.entries)
    if (e.lifecycle == Lifecycle::Gone) zones_.erase(e.engine);
    else zones_[e.engine] = e.zone;
}

void Bounds::hall(Instant now, std::uint8_t zone, halls::State state) {
  using H = limits::Spill::Hall;
  spill_.hall(now, zone,
              state == halls::State::Lost        ? H::Lost
              : state == halls::State::Returning ? H::Returning
                                                 : H::Up);
}

void Bounds::tick(Instant now) {
  if (auto line = caps_.look(now); !line.empty()) notes_.push_back(std::move(line));
  // What is held before its read is in work nowhere: that it waits is the sign that its tiers are full.
  if (spill_.on())
    for (const auto& [inf, w] : watched_)
      if (!w.sent && !w.refused && now - w.came >= w.target * pressing) spill_.press(now, w.route);
  take(spill_.tick(now));
}

}  // namespace calicograde::front
