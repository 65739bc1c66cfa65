#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_set>

#include "core/time.hpp"

namespace calicograde::node {

// The Request-Ids that this node works on or lately worked on. An id names one request for good: engines hold
// states and places under it, so a second request under the same id, while the first is in work or what it
// held is still being released, would take or leave behind what is the first one's. Guards against clients
// that send the id of another's request, and those that send a request anew unchanged. Thread-safe.
class RequestIds {
 public:
  // `remembered`: how long after its end an id is refused; `most_remembered`: the oldest go beyond that many,
  // some 70 bytes each, and could run again.
  explicit RequestIds(Span remembered = Span::millis(60000), std::size_t most_remembered = 65536)
      : remembered_(remembered), most_remembered_(most_remembered) {}

  // False: the id is in work or was lately. Else end() or forget() follows.
  bool begin(const std::string& id, Instant now);
  // The request has had its last answer, and engines were asked something under its id.
  void end(const std::string& id, Instant now);
  // No engine was asked anything under the id: it may come again at once. So requests that never reach an
  // engine, however many, push no id out that did.
  void forget(const std::string& id);

 private:
  // An id by its hash: ids are as long as their clients like.
  struct Hash {
    std::uint64_t low = 0, high = 0;
    bool operator==(const Hash&) const = default;
  };
  struct LowHalf {
    std::size_t operator()(const Hash& hash) const { return static_cast<std::size_t>(hash.low); }
  };
  struct Ended {
    Instant at;
    Hash id;
  };
  static Hash hash_of(std::string_view id);
  const Span remembered_;
  const std::size_t most_remembered_;
  std::mutex mutex_;
  std::unordered_set<Hash, LowHalf> known_;  // in work and ended
  std::deque<Ended> ended_;                  // oldest first
};

}  // namespace calicograde::node
