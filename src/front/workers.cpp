#include "front/workers.hpp"

#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <exception>

#include "net/thread.hpp"

namespace calicograde::front {

Workers::Workers(std::size_t most, std::size_t stack_bytes, std::size_t waiting_most, Span spare)
    : most_(most), stack_(stack_bytes), waiting_most_(waiting_most) {
  shared_->spare = spare;
}
Workers::~Workers() {
  const std::lock_guard lock(shared_->mutex);
  shared_->stopping = true;
  shared_->work.notify_all();
}

bool Workers::submit(std::function<void()> job) {
  const std::lock_guard lock(shared_->mutex);
  if (shared_->idle <= shared_->jobs.size()) {
    const bool more =
        shared_->threads < most_ && net::start_thread(stack_, [shared = shared_] { run(shared); });
    if (more) ++shared_->threads;
    // Where no thread runs at all, nobody would come for a job that waits.
    else if (shared_->threads == 0 || shared_->jobs.size() >= shared_->idle + waiting_most_) return false;
  }
  shared_->jobs.push_back(std::move(job));
  shared_->work.notify_one();
  return true;
}

std::size_t Workers::count() const {
  const std::lock_guard lock(shared_->mutex);
  return shared_->threads;
}

std::size_t Workers::idle() const {
  const std::lock_guard lock(shared_->mutex);
  return shared_->idle;
}

void Workers::run(const std::shared_ptr<Shared>& shared) {
  std::unique_lock lock(shared->mutex);
  for (;;) {
    if (shared->jobs.empty()) {
      ++shared->idle;
      const bool got = shared->work.wait_for(lock, std::chrono::microseconds(shared->spare.as_micros()),
                                             [&] { return !shared->jobs.empty() || shared->stopping; });
      --shared->idle;
      if (!got || (shared->stopping && shared->jobs.empty())) break;
    }
    auto job = std::move(shared->jobs.front());
    shared->jobs.pop_front();
    ++shared->running;
    lock.unlock();
    // A job answers for its own failures; one that does not must not end the whole process.
    try {
      job();
    } catch (const std::exception& problem) {
      std::fprintf(stderr, "{\"event\":\"job failed\",\"what\":\"%s\"}\n", problem.what());
    }
    job = {};
    lock.lock();
    --shared->running;
  }
  --shared->threads;
}

std::size_t Workers::unfinished() const {
  const std::lock_guard lock(shared_->mutex);
  return shared_->running + shared_->jobs.size();
}

void Workers::wait_idle() const {
  while (unfinished() > 0) usleep(1000);
}

}  // namespace calicograde::front
