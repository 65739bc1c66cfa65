#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "drain/drain.hpp"
#include "front/core.hpp"

namespace calicograde::front {

// A front's drain, as drain::Drain decides it: refuses new work, counts what is left, cuts it off at the
// limit, and keeps on disk what is to stand through a restart. Thread-safe.
class Draining {
 public:
  // `calls`: what protocols have in work beside the core's inferences. `file`: where a drain is kept; empty =
  // none can be. A drain that is found there stands from the first moment on.
  Draining(Core& core, std::function<std::size_t()> calls, std::string file);
  ~Draining();

  // Why it was not begun, in words; empty = it was.
  std::string ask(const drain::Ask& ask);
  drain::Drain::Back take_back(std::optional<std::uint64_t> number, const std::string& by);
  drain::Progress progress() const;

 private:
  void resume();
  void run();
  void obey(const std::vector<drain::Step>& steps, const std::string& by);  // under the lock

  Core& core_;
  const std::function<std::size_t()> calls_;
  const std::string file_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  drain::Drain drain_;
  std::string by_;
  bool stopping_ = false;
  std::thread watcher_;
};

}  // namespace calicograde::front
