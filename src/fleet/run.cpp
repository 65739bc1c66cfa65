#include "fleet/run.hpp"

#include <condition_variable>
#include <deque>
#include <exception>
#include <mutex>

#include "net/clock.hpp"
#include "net/thread.hpp"

namespace calicograde::fleet {

namespace {
constexpr std::size_t stack = 512 << 10;  // names are looked up on it
}

void run(Campaign& campaign, const std::vector<Front>& targets,
         const std::function<Answer(const Front&, Instant)>& what, Span each, Journal* journal,
         const std::function<void(std::size_t, const Answer&)>& told) {
  struct Shared {
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::pair<std::size_t, Answer>> ended;
  };
  const auto shared = std::make_shared<Shared>();
  std::exception_ptr problem;
  std::size_t out = 0;
  for (;;) {
    const Instant now = net::clock_now();
    for (const std::size_t k : problem ? std::vector<std::size_t>{} : campaign.next(now)) {
      try {
        if (journal) journal->asked(targets[k].name);
      } catch (...) {
        // What is not on disk is not asked; what is under way ends first.
        problem = std::current_exception();
        campaign.ended(k, Result::Unreachable, "not asked: the journal cannot be written");
        continue;
      }
      ++out;
      const bool started = net::start_thread(stack, [shared, what, each, k, front = targets[k]] {
        Answer a = what(front, net::clock_now() + each);
        const std::lock_guard lock(shared->mutex);
        shared->ended.emplace_back(k, std::move(a));
        shared->changed.notify_all();
      });
      if (started) continue;
      const std::lock_guard lock(shared->mutex);
      shared->ended.emplace_back(k, Answer{Result::Unreachable, "no thread could be had for it", {}});
    }
    if (out == 0 && (campaign.over() || problem)) break;
    std::unique_lock lock(shared->mutex);
    shared->changed.wait(lock, [&] { return !shared->ended.empty(); });
    auto ended = std::exchange(shared->ended, {});
    lock.unlock();
    for (auto& [k, a] : ended) {
      --out;
      campaign.ended(k, a.result, a.what);
      try {
        if (journal) journal->ended(targets[k].name, a.result, a.what);
      } catch (...) {
        problem = std::current_exception();
      }
      told(k, a);
    }
  }
  if (problem) std::rethrow_exception(problem);
}

}  // namespace calicograde::fleet
