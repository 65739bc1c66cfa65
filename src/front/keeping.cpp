#include "front/keeping.hpp"

#include <algorithm>
#include <chrono>

#include "net/clock.hpp"

namespace calicograde::front {

using net::clock_now;

namespace {

constexpr std::chrono::milliseconds mark_within{250};
constexpr std::size_t marks_waiting = 65536;
constexpr std::size_t failures_remembered = 65536;  // runs of marks

}  // namespace

Keeping::Keeping(const settings::Keep& settings, const std::string& front, log::Log& log)
    : settings_(settings), log_(log), moment_(keep::moment_now()), start_(clock_now()) {
  try {
    folder_ = std::make_unique<keep::Folder>(settings_.folder);
    store_ = std::make_unique<keep::Store>(*folder_);
    loaded_ = store_->load(front);
  } catch (const std::exception& e) {
    store_.reset();
    tell(e.what());
    return;
  }
  for (const auto& note : loaded_.notes)
    log_.line(log::Level::Warn, "state", {{"folder", settings_.folder}, {"what", note}});
  if (!store_->begun().empty()) tell(store_->begun());
  if (loaded_.any) {
    const keep::State& kept = loaded_.state;
    away_ = keep::away({kept.wall_ms, kept.boot_ms, kept.boot}, moment_, {});
  }
  // What the clock can't vouch for is not used, but for the marks.
  if (!away_) loaded_.state.pools.clear();
  if (loaded_.any)
    log_.line(log::Level::Info, "state found",
              {{"away_ms", away_ ? away_->as_millis() : -1.0},
               {"pools", static_cast<std::int64_t>(loaded_.state.pools.size())},
               {"marks", static_cast<std::int64_t>(loaded_.state.marks.size())}});
  marker_ = std::thread([this] { run_marks(); });
}

Keeping::~Keeping() { stop(); }

void Keeping::tell(const std::string& wrong) {
  if (wrong == told_) return;
  told_ = wrong;
  if (wrong.empty()) log_.line(log::Level::Info, "state kept again", {{"folder", settings_.folder}});
  else
    log_.line(log::Level::Error, "state not kept",
              {{"folder", settings_.folder},
               {"what", wrong},
               {"mend", "the front serves without; see docs/operators/state.md"}});
}

bool Keeping::mark(const keep::Mark& m) {
  std::unique_lock lock(mutex_);
  if (!store_ || stopping_ || waiting_.size() >= marks_waiting) return false;
  waiting_.push_back(m);
  const std::uint64_t mine = ++asked_;
  changed_.notify_all();
  synced_.wait_for(lock, mark_within, [&] { return done_ >= mine || stopping_; });
  return done_ >= mine && !failed(mine);
}

bool Keeping::failed(std::uint64_t number) const {
  return std::any_of(failed_.begin(), failed_.end(),
                     [&](const auto& range) { return number > range.first && number <= range.second; });
}

void Keeping::mark_later(const keep::Mark& m) {
  const std::lock_guard lock(mutex_);
  if (!store_ || stopping_ || waiting_.size() >= marks_waiting) return;
  waiting_.push_back(m), ++asked_;
  changed_.notify_all();
}

// All that wait go with one sync: while it runs the next ones gather.
void Keeping::run_marks() {
  std::unique_lock lock(mutex_);
  for (;;) {
    changed_.wait(lock, [&] { return !waiting_.empty() || stopping_; });
    if (waiting_.empty()) return;
    const auto marks = std::exchange(waiting_, {});
    const std::uint64_t upto = asked_;
    lock.unlock();
    std::string wrong;
    {
      const std::lock_guard store(store_mutex_);
      wrong = store_->mark(marks);
      tell(wrong);
    }
    lock.lock();
    if (!wrong.empty()) failed_.emplace_back(done_, upto);
    // Nobody waits for longer than mark_within, in which no more than these can fail.
    if (failed_.size() > failures_remembered) failed_.pop_front();
    done_ = upto;
    synced_.notify_all();
  }
}

void Keeping::start(std::function<bool(keep::State&)> collect) {
  if (!store_) return;
  collect_ = std::move(collect);
  snapper_ = std::thread([this] { run_snapshots(); });
}

void Keeping::run_snapshots() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    changed_.wait_for(lock, std::chrono::milliseconds(static_cast<std::int64_t>(settings_.every.as_millis())),
                      [&] { return stopping_; });
    lock.unlock();
    snapshot();
    lock.lock();
  }
}

bool Keeping::snapshot() {
  const Instant from = clock_now();
  std::uint64_t number = 0;
  {
    const std::lock_guard store(store_mutex_);
    const std::string wrong = store_->rotate(number);
    tell(wrong);
    if (!wrong.empty()) return false;
  }
  keep::State state;
  const keep::Moment now = keep::moment_now();
  state.front = loaded_.state.front;
  state.wall_ms = now.wall_ms, state.boot_ms = now.boot_ms, state.boot = now.boot;
  if (!collect_(state)) return false;
  // Marks wait while it is written; those that wait too long are let go without (mark() says so).
  const std::size_t marks = state.marks.size();
  std::string wrong;
  {
    const std::lock_guard store(store_mutex_);
    wrong = store_->snapshot(number, std::move(state));
    tell(wrong);
  }
  log_.line(log::Level::Debug, "state kept",
            {{"ms", (clock_now() - from).as_millis()}, {"marks", static_cast<std::int64_t>(marks)}});
  return wrong.empty();
}

void Keeping::stop() {
  {
    const std::lock_guard lock(mutex_);
    if (std::exchange(stopping_, true)) return;
    changed_.notify_all(), synced_.notify_all();
  }
  if (snapper_.joinable()) snapper_.join();
  if (marker_.joinable()) marker_.join();
}

}  // namespace calicograde::front
