#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
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

  // As it was found at the start, with the time then and this start's clock.
  const keep::State& found() const { return loaded_.state; }
  // Marks may be missing from it: something could not be read.
  bool found_incomplete() const { return loaded_.incomplete; }
  std::optional<Span> away() const { return away_; }
  const keep::Moment& moment_at_start() const { return moment_; }
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
  bool failed(std::uint64_t number) const;
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
  const keep::Moment moment_;
  Instant start_;
  std::mutex mutex_;
  std::condition_variable changed_, synced_;
  std::vector<keep::Mark> waiting_;
  std::uint64_t asked_ = 0, done_ = 0;  // marks: asked for, and through up to here
  // Of those that are through, the numbers of marks that could not be kept: from, up to.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> failed_;
  bool stopping_ = false;
  std::function<bool(keep::State&)> collect_;
  std::thread marker_, snapper_;
};

}  // namespace calicograde::front
