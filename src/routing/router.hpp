#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "core/types.hpp"

namespace calicograde {

struct State;

// The decisions of one front. Feed it everything that happens, in order, with the time at which it
// happened; do what it returns, in order, at that same time. It keeps no clock and no threads of its
// own, and two routers share nothing.
class Router {
 public:
  Router(std::uint64_t seed, const Settings& settings);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  std::vector<Action> handle(Instant now, const Event& event);
  // What it knows, to be shown (routing/view.hpp); valid until the next event.
  const State& state() const;

 private:
  class Desk;
  std::unique_ptr<Desk> desk_;
};

}  // namespace calicograde
