#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "prefix/index.hpp"

namespace calicograde::prefix {

// What one front knows of the prompts that the engines of a pool keep, between what happens and the module:
// reads that ended, engines that come and go, engines' own words. Free of I/O and clocks; not thread-safe.
class Knowledge {
 public:
  // `kinds` as the module's settings have them, with whether engines of the kind send cache events.
  Knowledge(Limits limits, std::vector<EngineKind> kinds, std::vector<bool> tell);

  void listed(const FleetListed& list);
  void fronts(int count) { limits_.fronts = count; }
  // Fills in what is known of an arrival's prompt.
  void arrived(Arrived& arrival, std::shared_ptr<const Chain> chain);
  // The engine has read the prompt; `found`: tokens that it had kept of it, where it tells.
  void read(InfId inf, const EngineId& engine, std::optional<double> found);
  void over(InfId inf);
  // Nothing listens where the engine was: it is not running, and comes back with nothing.
  void refused(const EngineId& engine) { index_.forget(engine); }
  // An engine's own word. False: a resync is to be asked for.
  bool heard(const EngineId& engine, const CacheEvent& event) { return index_.heard(engine, event); }
  void unheard(const EngineId& engine) { index_.unheard(engine); }
  void synced(const EngineId& engine, std::uint64_t number, const std::vector<Chain>& kept) {
    index_.synced(engine, number, kept);
  }
  const Index& index() const { return index_; }
  void restore(const Index::KeptRun& run) { index_.restore(run); }

 private:
  struct Open {
    std::shared_ptr<const Chain> chain;
    double tokens = 0;
    std::map<EngineId, std::uint32_t> expected;  // blocks
  };
  Limits limits_;
  const std::vector<EngineKind> kinds_;
  const std::vector<bool> tell_;
  Index index_;
  std::map<EngineId, std::uint8_t> readers_;  // those that are ready, with their kinds
  std::map<InfId, Open> open_;
};

}  // namespace calicograde::prefix
