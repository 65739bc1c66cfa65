#include "emulator/baseline.hpp"

namespace calicograde::emulator {

std::optional<EngineId> RoundRobin::next(bool read) {
  auto& at = read ? read_at_ : write_at_;
  const auto& from = read ? readers_ : writers_;
  if (from.empty()) return std::nullopt;
  return from[at++ % from.size()];
}

void RoundRobin::go_on(Instant now, InfId inf, Inf& f, std::vector<Action>& out) {
  const auto to = next(!f.read);
  if (!to || f.sends >= settings_.max_sends || now + Span::millis(30) >= f.ends) {
    f.over = true;
    out.push_back(Shed{inf, {}}), out.push_back(LetGo{inf});
    return;
  }
  ++f.sends;
  out.push_back(SendTo{inf, *to, {}});
}

std::vector<Action> RoundRobin::handle(Instant now, const Event& event) {
  std::vector<Action> out;
  if (const auto* a = std::get_if<Arrived>(&event)) {
    Inf& f = infs_[a->inf];
    f.ends = now + a->budget;
    go_on(now, a->inf, f, out);
  } else if (const auto* e = std::get_if<SendEnded>(&event)) {
    const auto it = infs_.find(e->inf);
    if (it == infs_.end()) return out;
    if (e->inference_over || it->second.over) {
      out.push_back(LetGo{e->inf});
      infs_.erase(it);
      return out;
    }
    Inf& f = it->second;
    if (e->as == EndedAs::ReadDone) f.read = true;
    else if (e->no_state) f.read = false;
    go_on(now, e->inf, f, out);
  } else if (const auto* c = std::get_if<ClientLeft>(&event)) {
    out.push_back(LetGo{c->inf});
    infs_.erase(c->inf);
  } else if (const auto* l = std::get_if<FleetListed>(&event)) {
    if (l->scope != ListScope::Delta) listed_.clear();
    for (const auto& entry : l->entries) listed_[entry.engine] = entry;
    readers_.clear(), writers_.clear();
    for (const auto& [id, entry] : listed_) {
      if (entry.lifecycle != Lifecycle::Ready || entry.kind >= settings_.kinds.size()) continue;
      const Stage stage = settings_.kinds[entry.kind].stage;
      if (stage == Stage::Read) readers_.push_back(id);
      else writers_.push_back(id);
    }
  }
  return out;
}

}  // namespace calicograde::emulator
