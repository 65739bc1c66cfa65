#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "keep/ageing.hpp"
#include "keep/store.hpp"
#include "log/log.hpp"
#include "settings/settings.hpp"

namespace calicograde::front {

// What a front has learnt, kept in its folder: snapshots now and then, marks of idempotency keys at once,
// many with one sync. Where the folder can't be had, is full or slow, the front serves without, and one line
// says so. Thread-safe.
class Keeping {
 public:
  Keeping(const settings::Keep& settings, const std::string& front, log::Log& log);
  ~Keeping();

  // As it was found at the start, with the wall time then and this start's clock.
  const keep::State& found() const { return loaded_.state; }
  std::optional<Span> away() const { return away_; }
  std::int64_t wall_at_start() const { return wall_; }
  Instant at_start() const { return start_; }

  // On disk when it returns true; false where that took too long or can't be.
  bool mark(const keep::Mark& mark);
  // Some time soon.
  void mark_later(const keep::Mark& mark);
  // Begins to take snapshots: `collect` copies out what is known; false = not now.
  void start(std::function<bool(keep::State&)> collect);
  void stop();  // with a last snapshot, if there is time

 private:
  void run_marks();
  void run_snapshots();
  bool snapshot();
  void tell(const std::string& wrong);  // once a change

  const settings::Keep settings_;
  log::Log& log_;
  std::unique_ptr<keep::Folder> folder_;
  std::mutex store_mutex_;  // of the two below
  std::unique_ptr<keep::Store> store_;
  std::string told_;
  keep::Loaded loaded_;
  std::optional<Span> away_;
  std::int64_t wall_ = 0;
  Instant start_;
  std::mutex mutex_;
  std::condition_variable changed_, synced_;
  std::vector<keep::Mark> waiting_;
  std::uint64_t asked_ = 0, done_ = 0, kept_ = 0;  // marks: asked for, through, and on disk up to here
  bool stopping_ = false;
  std::function<bool(keep::State&)> collect_;
  std::thread marker_, snapper_;
};

std::int64_t wall_now_ms();

}  // namespace calicograde::front
