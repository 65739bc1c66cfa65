#pragma once

#include <functional>
#include <list>
#include <mutex>
#include <thread>
#include <vector>

#include "core/types.hpp"
#include "http/http.hpp"

// Calls that were given up without an answer, to engines that may not run. Their requests stay in the kernel
// of the engine's machine, which may still take them once it runs again and hold something for them. So their
// connections are kept, with the sending ended, until the engine answers or ends them; then whatever came of
// the call can be undone.
namespace calicograde::front {

class AbandonedCalls {
 public:
  // Called on a thread of this object when the engine has taken the call or ended its connection, or may
  // have. `answered`: bytes have come; else it is called once more, a moment after the engine was next heard
  // of.
  using Over = std::function<void(bool answered)>;

  // At most so many connections are kept. Of more, one is closed of the engine that has most of them, and the
  // call counts as taken a moment after another one at that engine.
  explicit AbandonedCalls(std::size_t most) : most_(most) {}
  ~AbandonedCalls();
  void keep(const EngineId& engine, http::ClientConnection connection, Over over);
  // Another call was answered by that engine.
  void engine_answered(const EngineId& engine);
  std::size_t connections() const;
  std::size_t count() const;  // of calls, those included whose connections were closed

 private:
  struct Call {
    EngineId engine;
    http::ClientConnection connection;
    Over over;
    Instant since;
  };
  // Its connection was closed.
  struct Unwatched {
    EngineId engine;
    Over over;
    Instant due;
    bool told_before = false;
  };
  bool has_thread();
  void run();
  void make_room();
  void tell(Call call);
  void add_unwatched(Call call, bool told_before);
  std::list<Call>::iterator oldest_of_busiest_engine();
  std::list<Call> take_those_over();
  std::vector<Over> take_due(Instant now);
  void hurry(const EngineId& engine, Instant due);
  Instant next_look(Instant now) const;
  void close_old(Instant now);

  const std::size_t most_;
  mutable std::mutex mutex_;
  std::list<Call> calls_;           // oldest first
  std::list<Unwatched> unwatched_;  // oldest first
  net::Wake changed_;
  bool stopping_ = false;
  std::thread thread_;  // started with the first call
};

}  // namespace calicograde::front
