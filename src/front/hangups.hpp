#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include "front/core.hpp"
#include "net/socket.hpp"

namespace calicograde::front {

// Tells inferences that wait, at once, that their client has hung up: one epoll and one thread for all, so
// that waiting costs no descriptor. Thread-safe.
class Hangups {
 public:
  // `before_telling`, for tests: called between hearing of a hang-up and telling its ticket. Throws
  // net::LocalError where descriptors have run out. `wait_failed` is told each errno value with which a wait
  // failed; the wait is made again.
  explicit Hangups(std::function<void(int)> wait_failed = {}, std::function<void()> before_telling = {});
  ~Hangups();
  // While it lives; ended before the client's connection is.
  class Watch {
   public:
    Watch(Hangups& hangups, int client_fd, std::shared_ptr<Ticket> ticket);
    ~Watch();
    Watch(const Watch&) = delete;
    Watch& operator=(const Watch&) = delete;

   private:
    Hangups& hangups_;
    const int fd_;
    std::uint64_t number_ = 0;
  };

 private:
  void run();
  const net::Fd epoll_;
  const net::Wake stop_;
  const std::function<void(int)> wait_failed_;
  const std::function<void()> before_telling_;
  std::mutex mutex_;
  // By a number that is never used again. Guards against a hang-up that is heard of while its watch ends: its
  // descriptor may be another client's by then.
  std::map<std::uint64_t, std::shared_ptr<Ticket>> watched_;
  std::uint64_t numbers_ = 0;
  std::thread thread_;
};

}  // namespace calicograde::front
