#include "front/engine_signs.hpp"

namespace calicograde::front {
namespace {

// Bytes that an engine wrote before it was stopped may be read here a moment after a write to it.
constexpr Span under_way = Span::millis(10);

}  // namespace

void EngineSign::note(Instant at) {
  const std::int64_t micros = (at - Instant{}).as_micros();
  std::int64_t before = last_micros_;
  while (before < micros && !last_micros_.compare_exchange_weak(before, micros)) {}
}

std::optional<Instant> EngineSign::last() const {
  const std::int64_t micros = last_micros_;
  return micros < 0 ? std::nullopt : std::optional(Instant::at(Span::micros(micros)));
}

bool EngineSign::follows(Instant written) const {
  const auto sign = last();
  return sign && *sign > written + under_way;
}

std::shared_ptr<EngineSign> EngineSigns::of(const EngineId& engine) {
  const std::lock_guard lock(mutex_);
  auto& sign = signs_[engine];
  if (!sign) sign = std::make_shared<EngineSign>();
  return sign;
}

std::optional<Instant> EngineSigns::last(const EngineId& engine) const {
  const std::lock_guard lock(mutex_);
  const auto it = signs_.find(engine);
  return it == signs_.end() ? std::nullopt : it->second->last();
}

std::vector<std::pair<EngineId, Instant>> EngineSigns::all() const {
  const std::lock_guard lock(mutex_);
  std::vector<std::pair<EngineId, Instant>> out;
  for (const auto& [engine, sign] : signs_)
    if (const auto last = sign->last()) out.emplace_back(engine, *last);
  return out;
}

void EngineSigns::keep(const std::set<EngineId>& named) {
  const std::lock_guard lock(mutex_);
  std::erase_if(signs_, [&](const auto& sign) { return !named.contains(sign.first); });
}

void EngineSigns::forget(const EngineId& engine) {
  const std::lock_guard lock(mutex_);
  signs_.erase(engine);
}

}  // namespace calicograde::front
