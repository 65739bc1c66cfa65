#pragma once

#include <atomic>
#include <functional>
#include <string>

#include "lab/platform_standin.hpp"
#include "soak/engine_channel.hpp"

// An engine of a soak run: a stand-in on loopback, written from the platform's protocol page. Each is a
// process of its own (engine_process.hpp), so that it can be stopped and killed as one.
namespace calicograde::soak {

class SoakEngine {
 public:
  // Listens at that port of 127.0.0.1; 0 lets the kernel choose.
  SoakEngine(Role role, unsigned short port, int backlog, EngineChannel& channel);
  ~SoakEngine();
  unsigned short port() const { return server_.port(); }
  void set(const EngineCommand& command);

 private:
  struct Attempt;
  void serve(net::Stream stream);
  void serve_state(const http::Request& request, http::ServerConnection& connection);
  bool serve_attempt(const http::Request& request, http::ServerConnection& connection, Instant received);
  // The time between a request's arrival at the machine and at the engine.
  void take_late() const;
  bool read_prompt(Attempt& attempt, http::ServerConnection& connection);
  bool write_answer(Attempt& attempt, http::ServerConnection& connection);
  // Until the time has passed and the engine does not hang; false where the other side has left meanwhile.
  bool work(http::ServerConnection& connection, Span time, bool notices_leaving = true) const;
  bool work_while(http::ServerConnection& connection, Span time, bool notices_leaving,
                  const std::function<bool()>& hangs) const;
  bool hangs_on_attempts() const { return hanging_ || hanging_on_attempts_; }
  // The same for a decode attempt, whose end the engine may hear late, and which may run out of time.
  bool work_on_answer(Attempt& attempt, http::ServerConnection& connection, Span time) const;
  bool end_is_heard(Attempt& attempt, http::ServerConnection& connection) const;
  void stay_open(http::ServerConnection& connection) const;

  const Role role_;
  EngineChannel& channel_;
  std::atomic<bool> hanging_ = false, cutting_ = false, doubling_ = false, busy_ = false,
                    late_notice_ = false, takes_nothing_ = false, hanging_on_attempts_ = false,
                    quiet_ends_ = false, drops_at_time_ = false, stopping_ = false;
  std::atomic<int> takes_late_millis_ = 0, ends_late_millis_ = 0;
  lab::LoopbackServer server_;
};

// The main function of an engine process, over the descriptors that it inherits.
int run_engine(Role role, unsigned short port, int backlog);

}  // namespace calicograde::soak
