#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "emulator/engine.hpp"

namespace calicograde::lab {

// The emulator's engine on the machine's clock: a thread of its own brings it up to the time and hands each
// job's words to whoever waits for them. Thread-safe. Simulated as in docs/emulator.md; real are the sockets.
class Emulated {
 public:
  using Events = std::function<void(std::vector<prefix::CacheEvent>)>;
  // `events` is called with this object's lock held: it must not call back.
  Emulated(emulator::Shape shape, Events events);
  ~Emulated();

  struct Word {
    enum class What { Nothing, ReadDone, WantState, Token, Full, Gone, Lost } what = What::Nothing;
    std::uint32_t found = 0;  // blocks, of ReadDone
  };
  // `state` only says that one is to be fetched: WantState comes when it is time, and state() answers it.
  emulator::JobId submit(emulator::Job::Kind kind, prefix::Chain chain, std::uint32_t answer_tokens,
                         bool state);
  // The job's next word; Nothing if none came by then, Lost after a restart.
  Word next(emulator::JobId job, Instant until);
  void state(emulator::JobId job, bool there);
  void cancel(emulator::JobId job);
  bool take_state(emulator::JobId read);  // false: it is gone
  void restart();
  std::uint32_t kept(const prefix::Chain& chain) const;
  double memory_share() const;

 private:
  void run();
  void hear();  // under the lock

  mutable std::mutex mutex_;
  std::condition_variable changed_, heard_;
  emulator::Engine engine_;
  const Events events_;
  std::map<emulator::JobId, std::deque<Word>> words_;
  emulator::JobId next_job_ = 1;
  bool stopping_ = false;
  std::thread driver_;
};

}  // namespace calicograde::lab
