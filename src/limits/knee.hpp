#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "core/time.hpp"

// How much a front may have in work: an adaptive cap found from first-token times, caps by route and customer
// under it, and what may spill from one hall into another. Above single inferences: what is worked out here
// reaches the module as a mark on an arrival, or as zones that are closed to a route, and the module decides
// with it. Free of I/O, clocks and threads; not thread-safe. docs/limits.md weighs the options.
namespace calicograde::limits {

struct KneeRules {
  enum class By { Aimd, Gradient } by = By::Aimd;
  double first = 64, least = 8, most = 100000;  // inferences in work
  Span window = Span::millis(500);              // between two looks
  double late_share = 0.1;                      // of first tokens later than their target, that is too many
  double cut = 0.9;                             // AIMD: the cap times this when too many are late
  double grow = 0.04;    // AIMD: of the cap, at least 1, while it is used and nobody late
  double start = 0.5;    // the same until it was cut for the first time
  double tolerance = 2;  // gradient: times the usual wait that is still usual
};

// One cap. It rises while it is used and first tokens are in time, and falls once they are late: more in work
// than that only waits somewhere.
class Knee {
 public:
  explicit Knee(KneeRules rules) : rules_(rules), cap_(rules.first) {}

  // `in_work`: after what happened.
  void work(Instant now, std::size_t in_work);
  // A first token came: what it took, as a share of its target.
  void first_token(Instant now, double share);
  // Looks, if it is time; true if the cap moved.
  bool look(Instant now);

  double cap() const { return cap_; }
  // Of the last window that was looked at.
  double late() const { return late_; }

 private:
  static constexpr std::size_t enough = 8, windows_kept = 120;  // samples to judge by; windows for the usual

  const KneeRules rules_;
  double cap_, late_ = 0;
  bool cut_once_ = false;
  std::optional<Instant> looked_at_;
  std::size_t peak_ = 0;        // in work, in this window
  std::vector<double> shares_;  // first tokens of this window
  std::deque<double> usual_;    // medians of the last windows that were quiet enough to judge by
};

}  // namespace calicograde::limits
