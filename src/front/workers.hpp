#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>

#include "core/time.hpp"

namespace calicograde::front {

// Threads with small stacks that do short-lived jobs; kept for a while when idle. Their number has a limit,
// and so has the line of jobs that may wait for one of them.
class Workers {
 public:
  // A thread that finds nothing to do for `spare` ends.
  Workers(std::size_t most, std::size_t stack_bytes, std::size_t waiting_most = 0,
          Span spare = Span::millis(10000));
  ~Workers();
  // False if all are busy, no further thread can be had and no more may wait: the job is not done then.
  bool submit(std::function<void()> job);
  std::size_t count() const;
  std::size_t idle() const;
  // Jobs that run or wait for a thread.
  std::size_t unfinished() const;
  // Until no job runs: jobs end by their own deadlines.
  void wait_idle() const;

 private:
  struct Shared {
    std::mutex mutex;
    std::condition_variable work;
    std::deque<std::function<void()>> jobs;
    std::size_t idle = 0, threads = 0, running = 0;  // jobs that run
    bool stopping = false;
    Span spare;
  };
  static void run(const std::shared_ptr<Shared>& shared);
  const std::size_t most_, stack_, waiting_most_;
  std::shared_ptr<Shared> shared_ = std::make_shared<Shared>();
};

}  // namespace calicograde::front
