#include "node/request_ids.hpp"

namespace calicograde::node {

bool RequestIds::begin(const std::string& id, Instant now) {
  const std::lock_guard lock(mutex_);
  while (!ended_.empty() && (now - ended_.front().at >= remembered_ || ended_.size() > most_remembered_)) {
    known_.erase(ended_.front().id);
    ended_.pop_front();
  }
  return known_.insert(id).second;
}

void RequestIds::end(const std::string& id, Instant now) {
  const std::lock_guard lock(mutex_);
  ended_.push_back({now, id});
}

void RequestIds::forget(const std::string& id) {
  const std::lock_guard lock(mutex_);
  known_.erase(id);
}

}  // namespace calicograde::node
