#include "lab/emulated.hpp"

#include <chrono>

#include "net/clock.hpp"

namespace calicograde::lab {

using emulator::JobId;
using net::clock_now;

namespace {

std::chrono::microseconds micros(Span s) {
  return std::chrono::microseconds(
      std::max<std::int64_t>(0, static_cast<std::int64_t>(s.as_millis() * 1000)));
}
constexpr Span longest = Span::millis(200);  // that the driver sleeps

}  // namespace

Emulated::Emulated(emulator::Shape shape, Events events)
    : engine_(shape), events_(std::move(events)), driver_([this] { run(); }) {}

Emulated::~Emulated() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  driver_.join();
}

void Emulated::run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const Instant now = clock_now();
    engine_.advance(now);
    hear();
    const Instant next = std::min(engine_.next().value_or(now + longest), now + longest);
    changed_.wait_for(lock, micros(next - clock_now()));
  }
}

void Emulated::hear() {
  using What = Word::What;
  bool any = false;
  for (const auto& [at, said] : engine_.take()) {
    any = true;
    if (const auto* d = std::get_if<emulator::ReadDone>(&said))
      words_[d->job].push_back({What::ReadDone, d->found});
    else if (const auto* w = std::get_if<emulator::WantState>(&said))
      words_[w->job].push_back({What::WantState, 0});
    else if (const auto* t = std::get_if<emulator::Token>(&said)) words_[t->job].push_back({What::Token, 0});
    else if (const auto* r = std::get_if<emulator::Refused>(&said))
      words_[r->job].push_back({r->state_gone ? What::Gone : What::Full, 0});
  }
  if (any) heard_.notify_all();
  if (auto events = engine_.take_events(); !events.empty() && events_) events_(std::move(events));
}

JobId Emulated::submit(emulator::Job::Kind kind, prefix::Chain chain, std::uint32_t answer_tokens,
                       bool state) {
  const std::lock_guard lock(mutex_);
  const JobId job = next_job_++;
  // A prompt shorter than a block is one block of its own.
  if (chain.empty()) chain.push_back(0x9E3779B97F4A7C15ULL ^ job);
  words_[job];
  engine_.submit(clock_now(), {job, kind, std::make_shared<const prefix::Chain>(std::move(chain)),
                               answer_tokens, state ? job : 0});
  hear();
  changed_.notify_all();
  return job;
}

Emulated::Word Emulated::next(JobId job, Instant until) {
  std::unique_lock lock(mutex_);
  for (;;) {
    const auto it = words_.find(job);
    if (it == words_.end()) return {Word::What::Lost, 0};
    if (!it->second.empty()) {
      const Word out = it->second.front();
      it->second.pop_front();
      return out;
    }
    const Instant now = clock_now();
    if (now >= until) return {};
    heard_.wait_for(lock, micros(until - now));
  }
}

void Emulated::state(JobId job, bool there) {
  const std::lock_guard lock(mutex_);
  engine_.state(clock_now(), job, there);
  hear();
  changed_.notify_all();
}

void Emulated::cancel(JobId job) {
  const std::lock_guard lock(mutex_);
  engine_.cancel(clock_now(), job);
  hear();
  words_.erase(job);
  changed_.notify_all();
}

bool Emulated::take_state(JobId read) {
  const std::lock_guard lock(mutex_);
  const bool there = engine_.take_state(clock_now(), read);
  hear();
  words_.erase(read);
  changed_.notify_all();
  return there;
}

void Emulated::restart() {
  const std::lock_guard lock(mutex_);
  engine_.restart(clock_now());
  words_.clear();
  heard_.notify_all(), changed_.notify_all();
}

std::uint32_t Emulated::kept(const prefix::Chain& chain) const {
  const std::lock_guard lock(mutex_);
  return engine_.kept(chain);
}

double Emulated::memory_share() const {
  const std::lock_guard lock(mutex_);
  return static_cast<double>(engine_.blocks_used()) / static_cast<double>(engine_.shape().blocks);
}

}  // namespace calicograde::lab
