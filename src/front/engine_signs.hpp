#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/types.hpp"

// When each engine has last shown that its process runs: by a byte of its own, on any connection. What its
// kernel accepts or acknowledges shows nothing, since it does so for a stopped process too.
namespace calicograde::front {

// Of one engine. Thread-safe.
class EngineSign {
 public:
  void note(Instant at);
  std::optional<Instant> last() const;
  // Whether there was a sign so long after a write that no byte which was under way before it can be meant.
  bool follows(Instant written) const;
  // One probe at a time: false while another is out.
  bool begin_probe() { return !probing_.exchange(true); }
  void end_probe() { probing_ = false; }

 private:
  std::atomic<std::int64_t> last_micros_ = -1;
  std::atomic<bool> probing_ = false;
};

// Of all engines of a pool. Thread-safe.
class EngineSigns {
 public:
  std::shared_ptr<EngineSign> of(const EngineId& engine);
  std::optional<Instant> last(const EngineId& engine) const;
  // Of all that have shown one.
  std::vector<std::pair<EngineId, Instant>> all() const;
  void forget(const EngineId& engine);
  void keep(const std::set<EngineId>& named);  // and forget the others

 private:
  mutable std::mutex mutex_;
  std::map<EngineId, std::shared_ptr<EngineSign>> signs_;
};

}  // namespace calicograde::front
