#pragma once

#include <cstddef>
#include <deque>
#include <mutex>
#include <set>
#include <string>

#include "core/time.hpp"

namespace calicograde::node {

// The Request-Ids that this node works on or lately worked on. An id names one request for good: engines hold
// states and places under it, so a second request under the same id, while the first is in work or what it
// held is still being released, would take or leave behind what is the first one's. Guards against clients
// that send the id of another's request, and those that send a request anew unchanged. Thread-safe.
class RequestIds {
 public:
  // `remembered`: how long after its end an id is refused; `most_remembered`: the oldest go beyond that many.
  explicit RequestIds(Span remembered = Span::millis(60000), std::size_t most_remembered = 8192)
      : remembered_(remembered), most_remembered_(most_remembered) {}

  // False: the id is in work or was lately. Else end() or forget() follows.
  bool begin(const std::string& id, Instant now);
  // The request has had its last answer.
  void end(const std::string& id, Instant now);
  // Nothing was begun under the id: it may come again at once.
  void forget(const std::string& id);

 private:
  struct Ended {
    Instant at;
    std::string id;
  };
  const Span remembered_;
  const std::size_t most_remembered_;
  std::mutex mutex_;
  std::set<std::string> known_;  // in work and ended
  std::deque<Ended> ended_;      // oldest first
};

}  // namespace calicograde::node
