#include "prefix/knowledge.hpp"

#include <algorithm>

namespace calicograde::prefix {
namespace {

// What is hardly there is not counted on: an engine chosen for it would have to read it all.
constexpr double likely_enough = 0.3;

}  // namespace

Knowledge::Knowledge(Limits limits, std::vector<EngineKind> kinds, std::vector<bool> tell)
    : limits_(limits), kinds_(std::move(kinds)), tell_(std::move(tell)), index_(limits) {}

void Knowledge::listed(const FleetListed& list) {
  if (list.scope == ListScope::Failed) return;
  std::map<EngineId, std::uint8_t> named;
  for (const auto& e : list.entries) {
    const EngineKind kind = e.kind < kinds_.size() ? kinds_[e.kind] : EngineKind{};
    if (kind.stage == Stage::Write) continue;
    if (e.lifecycle == Lifecycle::Gone) {
      index_.gone(e.engine), readers_.erase(e.engine);
      continue;
    }
    // Its start names the incarnation.
    const auto started =
        e.started ? static_cast<std::uint64_t>((*e.started - Instant{}).as_millis() * 1000) + 1 : 0;
    index_.listed(e.engine, started, kind.memory_tokens);
    named[e.engine] = e.kind;
    if (e.lifecycle == Lifecycle::Ready) readers_[e.engine] = e.kind;
    else readers_.erase(e.engine);
  }
  if (list.scope == ListScope::Delta) return;
  for (auto it = readers_.begin(); it != readers_.end();)
    if (named.contains(it->first)) ++it;
    else index_.gone(it->first), it = readers_.erase(it);
}

void Knowledge::arrived(Arrived& a, std::shared_ptr<const Chain> chain) {
  if (!chain || chain->empty() || open_.contains(a.inf)) return;
  Open o{std::move(chain), a.prompt_tokens, {}};
  const double each = a.prompt_tokens / static_cast<double>(o.chain->size());
  a.kept.emplace();
  for (const Kept& k : index_.look_up(*o.chain)) {
    o.expected[k.engine] = k.blocks;
    if (k.likely >= likely_enough) (*a.kept)[k.engine] = k.blocks * each * k.likely;
  }
  // Alone, a front has sent all that was sent; else every reader must tell by itself.
  a.kept_surely = limits_.fronts <= 1 || std::all_of(readers_.begin(), readers_.end(), [&](const auto& r) {
                    return r.second < tell_.size() && tell_[r.second] && index_.tells(r.first);
                  });
  open_[a.inf] = std::move(o);
}

void Knowledge::read(InfId inf, const EngineId& engine, std::optional<double> found) {
  const auto it = open_.find(inf);
  if (it == open_.end()) return;
  const Open& o = it->second;
  const auto expected = o.expected.find(engine);
  const std::uint32_t blocks = expected == o.expected.end() ? 0 : expected->second;
  index_.read(engine, *o.chain, o.tokens, found, blocks);
}

void Knowledge::over(InfId inf) { open_.erase(inf); }

}  // namespace calicograde::prefix
