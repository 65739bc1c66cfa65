#pragma once

#include <map>
#include <vector>

#include "core/types.hpp"

namespace calicograde::emulator {

// What is compared with, and never runs in the daemon: readers and writers in turn, whatever they have in
// work; what fails goes to the next one until its time ends.
class RoundRobin {
 public:
  explicit RoundRobin(const Settings& settings) : settings_(settings) {}
  std::vector<Action> handle(Instant now, const Event& event);

 private:
  struct Inf {
    Instant ends;
    int sends = 0;
    bool read = false, over = false;
  };
  std::optional<EngineId> next(bool read);
  void go_on(Instant now, InfId inf, Inf& f, std::vector<Action>& out);

  const Settings settings_;
  std::vector<EngineId> readers_, writers_;
  std::size_t read_at_ = 0, write_at_ = 0;
  std::map<EngineId, EngineEntry> listed_;
  std::map<InfId, Inf> infs_;
};

}  // namespace calicograde::emulator
