#pragma once

#include <functional>
#include <list>
#include <mutex>
#include <thread>

#include "http/http.hpp"

// Calls that were given up without an answer, to engines that may not run. Their requests stay in the kernel
// of the engine's machine, which may still take them once it runs again and hold something for them. So their
// connections are kept, with the sending ended, until the engine answers or ends them; then whatever came of
// the call can be undone.
namespace calicograde::front {

class AbandonedCalls {
 public:
  // At most so many; of more, the oldest are closed.
  explicit AbandonedCalls(std::size_t most) : most_(most) {}
  ~AbandonedCalls();
  // `over`: called once, on a thread of this object, when something has come or the connection has ended;
  // `answered`: bytes have come. Not called where the connection is closed here.
  void keep(http::ClientConnection connection, std::function<void(bool answered)> over);
  std::size_t count() const;

 private:
  struct Call {
    http::ClientConnection connection;
    std::function<void(bool answered)> over;
    Instant since;
  };
  bool has_thread();
  void run();
  std::list<Call> take_those_over();
  void close_old(Instant now);

  const std::size_t most_;
  mutable std::mutex mutex_;
  std::list<Call> calls_;  // oldest first
  net::Wake changed_;
  bool stopping_ = false;
  std::thread thread_;  // started with the first call
};

}  // namespace calicograde::front
