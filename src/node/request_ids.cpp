#include "node/request_ids.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace calicograde::node {

RequestIds::Hash RequestIds::hash_of(std::string_view id) {
  const XXH128_hash_t hash = XXH3_128bits(id.data(), id.size());
  return {hash.low64, hash.high64};
}

bool RequestIds::begin(const std::string& id, Instant now) {
  const std::lock_guard lock(mutex_);
  while (!ended_.empty() && (now - ended_.front().at >= remembered_ || ended_.size() > most_remembered_)) {
    known_.erase(ended_.front().id);
    ended_.pop_front();
  }
  return known_.insert(hash_of(id)).second;
}

void RequestIds::end(const std::string& id, Instant now) {
  const std::lock_guard lock(mutex_);
  ended_.push_back({now, hash_of(id)});
}

void RequestIds::forget(const std::string& id) {
  const std::lock_guard lock(mutex_);
  known_.erase(hash_of(id));
}

}  // namespace calicograde::node
