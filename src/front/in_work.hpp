#pragma once

#include <atomic>
#include <cstddef>

namespace calicograde::front {

// One piece of work, counted for as long as it lasts.
class InWork {
 public:
  explicit InWork(std::atomic<std::size_t>& count) : count_(count) { ++count_; }
  ~InWork() { --count_; }
  InWork(const InWork&) = delete;
  InWork& operator=(const InWork&) = delete;

 private:
  std::atomic<std::size_t>& count_;
};

}  // namespace calicograde::front
