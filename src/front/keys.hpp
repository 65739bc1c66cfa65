#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/types.hpp"

namespace calicograde::front {

// The idempotency keys that this front has seen on deduped routes: whether an inference of that key is in
// work, or may have run and when. Guards rule 2 where a client sends its key again as a new inference, of
// which the module knows nothing: what may have run goes again only where every engine drops its repeats, and
// only while they remember it. Free of I/O and clocks; bounded: the oldest that may have run are forgotten
// first. Not thread-safe.
class KeyBook {
 public:
  enum class Says {
    Take,     // it is in work now
    InWork,   // an inference of this key is not over yet
    Unsure,   // one may have run at a group of engines that a new inference can't be bound to
    Expired,  // one may have run so long ago that engines no longer drop its repeat
  };
  explicit KeyBook(std::size_t most) : most_(most) {}

  Says ask(Instant now, const std::string& route, const std::string& key, DedupeGroup group, Span window);
  // All that was done under that key is over. `ran`: it may have run, for the first time at `first`;
  // `unsure`: something may have happened under it that no engine drops a repeat of (a tool's call).
  void ended(const std::string& route, const std::string& key, bool ran, Instant first, bool unsure = false);
  std::size_t size() const { return book_.size(); }
  // For what is kept through a restart. One in work counts as one that may have run, since it was asked for.
  struct Kept {
    std::string route, key;
    Instant first;
    bool unsure = false, over = true;  // not over: in work
  };
  std::vector<Kept> all() const;
  void restore(const Kept& kept);
  // Until then a key that is not known may have run all the same, and counts as unsure.
  void doubt_unknown(Instant until) { doubted_until_ = until; }

 private:
  using Name = std::pair<std::string, std::string>;
  struct Entry {
    bool in_work = true, ran = false, unsure = false;
    Instant first;
  };
  const std::size_t most_;
  std::map<Name, Entry> book_;
  Instant doubted_until_;
  std::deque<Name> ran_;  // in the order in which they ended
};

}  // namespace calicograde::front
