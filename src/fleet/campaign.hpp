#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/time.hpp"

// One command given to many fronts: which are asked when, what each came to, when to stop. Free of I/O and
// clocks; not thread-safe. A front counts as done only by its own whole word: silence, half an answer and a
// refusal are three other things.
namespace calicograde::fleet {

enum class Result {
  Done,
  Refused,      // it said no
  Unreachable,  // it was not asked: nothing listens there, or no connection came about
  Unknown,      // it was asked, and no whole answer was heard
  HeldBack      // not asked: too many of its hall would be out
};
const char* word(Result r);

struct Target {
  std::string name, hall;
};
struct Rules {
  std::size_t at_once = 16;
  // Halted once so many did not come to done: what has not begun is not asked. 0 = never.
  std::size_t halt_after = 0;
  // Of a hall's fronts, that may be out at a time, for commands that take fronts out. 1 = all.
  double hall_share = 1;
  bool takes_out = false;
  Span in_all = Span::millis(600000);  // nothing is begun later
};

class Campaign {
 public:
  // `hall_sizes`: fronts of each hall in the whole fleet; `out`: those of them that are out already, or that
  // nobody knows of.
  Campaign(Rules rules, std::vector<Target> targets, std::map<std::string, std::size_t> hall_sizes,
           std::map<std::string, std::set<std::string>> out);

  // As a journal has them, before anything is begun: what was done is not asked again.
  void already(const std::string& name, Result result);

  // Those to be asked now, by their places among the targets; each is begun with it.
  std::vector<std::size_t> next(Instant now);
  void ended(std::size_t target, Result result, std::string what);

  bool over() const;  // nothing is out, and nothing more will begin
  bool halted() const { return halted_; }
  struct Outcome {
    std::optional<Result> result;  // none = not begun
    std::string what;              // its words, or why
  };
  const std::vector<Outcome>& outcomes() const { return outcomes_; }
  std::map<Result, std::size_t> totals() const;
  std::size_t not_begun() const;
  std::size_t running() const { return running_.size(); }

 private:
  std::size_t may_be_out(const std::string& hall) const;

  const Rules rules_;
  const std::vector<Target> targets_;
  const std::map<std::string, std::size_t> hall_sizes_;
  std::map<std::string, std::set<std::string>> out_;  // by hall: out, being taken out, or in doubt
  std::vector<Outcome> outcomes_;
  std::set<std::size_t> running_, waiting_;
  std::size_t failed_ = 0;
  std::optional<Instant> begun_;
  bool halted_ = false;
};

// The exit code of a command: 0 all done, else 16 and a bit for each kind of what was not.
int exit_code(const Campaign& c);
constexpr int exit_base = 16, exit_refused = 1, exit_unreachable = 2, exit_unknown = 4, exit_not_begun = 8;

// How many at once: "5", or a share such as "10%" of all, at least one. None if it is neither.
std::optional<std::size_t> how_many(const std::string& text, std::size_t all);

}  // namespace calicograde::fleet
