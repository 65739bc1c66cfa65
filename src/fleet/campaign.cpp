#include "fleet/campaign.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace calicograde::fleet {

const char* word(Result r) {
  switch (r) {
    case Result::Done: return "done";
    case Result::Refused: return "refused";
    case Result::Unreachable: return "unreachable";
    case Result::Unknown: return "unknown";
    case Result::HeldBack: return "held back";
  }
  return "?";
}

Campaign::Campaign(Rules rules, std::vector<Target> targets, std::map<std::string, std::size_t> hall_sizes,
                   std::map<std::string, std::set<std::string>> out)
    : rules_(rules),
      targets_(std::move(targets)),
      hall_sizes_(std::move(hall_sizes)),
      out_(std::move(out)),
      outcomes_(targets_.size()) {
  for (std::size_t k = 0; k < targets_.size(); ++k) waiting_.insert(k);
}

void Campaign::already(const std::string& name, Result result) {
  for (std::size_t k = 0; k < targets_.size(); ++k) {
    if (targets_[k].name != name) continue;
    // In doubt counts as out: it was asked, and may have done it.
    if (rules_.takes_out && (result == Result::Done || result == Result::Unknown))
      out_[targets_[k].hall].insert(name);
    if (result != Result::Done) continue;
    waiting_.erase(k);
    outcomes_[k] = {Result::Done, "done before"};
  }
}

// At least one: a hall of one front could never be drained else.
std::size_t Campaign::may_be_out(const std::string& hall) const {
  const auto it = hall_sizes_.find(hall);
  const double size = it == hall_sizes_.end() ? 1 : static_cast<double>(it->second);
  return std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(size * rules_.hall_share + 1e-9)));
}

std::vector<std::size_t> Campaign::next(Instant now) {
  if (!begun_) begun_ = now;
  std::vector<std::size_t> out;
  if (now - *begun_ >= rules_.in_all) halted_ = true;
  if (halted_) return out;
  for (auto it = waiting_.begin(); it != waiting_.end() && running_.size() < rules_.at_once;) {
    const Target& t = targets_[*it];
    auto& gone = out_[t.hall];
    // One that is out already may be asked again: it takes nobody else out.
    if (rules_.takes_out && !gone.contains(t.name) && gone.size() >= may_be_out(t.hall)) {
      ++it;
      continue;
    }
    if (rules_.takes_out) gone.insert(t.name);
    running_.insert(*it), out.push_back(*it);
    it = waiting_.erase(it);
  }
  // Nothing runs, and what is left may not begin: it never will.
  if (out.empty() && running_.empty())
    for (const std::size_t k : std::exchange(waiting_, {}))
      outcomes_[k] = {Result::HeldBack,
                      "more of hall " + targets_[k].hall + " would be out than the share allows"};
  return out;
}

void Campaign::ended(std::size_t target, Result result, std::string what) {
  if (running_.erase(target) == 0) return;
  outcomes_[target] = {result, std::move(what)};
  if (result == Result::Done) return;
  // Who refused, or was never asked, is not out by this command.
  if (result == Result::Refused || result == Result::Unreachable)
    out_[targets_[target].hall].erase(targets_[target].name);
  if (++failed_ >= rules_.halt_after && rules_.halt_after > 0) halted_ = true;
}

bool Campaign::over() const { return running_.empty() && (halted_ || waiting_.empty()); }

std::map<Result, std::size_t> Campaign::totals() const {
  std::map<Result, std::size_t> out;
  for (const auto& o : outcomes_)
    if (o.result) ++out[*o.result];
  return out;
}

std::size_t Campaign::not_begun() const {
  return static_cast<std::size_t>(
      std::count_if(outcomes_.begin(), outcomes_.end(), [](const Outcome& o) { return !o.result; }));
}

int exit_code(const Campaign& c) {
  const auto totals = c.totals();
  int bits = 0;
  if (totals.contains(Result::Refused)) bits |= exit_refused;
  if (totals.contains(Result::Unreachable)) bits |= exit_unreachable;
  if (totals.contains(Result::Unknown)) bits |= exit_unknown;
  if (totals.contains(Result::HeldBack) || c.not_begun() > 0) bits |= exit_not_begun;
  return bits == 0 ? 0 : exit_base | bits;
}

std::optional<std::size_t> how_many(const std::string& text, std::size_t all) {
  double n = 0;
  const bool share = text.ends_with('%');
  const char* end = text.data() + text.size() - (share ? 1 : 0);
  const auto [at, error] = std::from_chars(text.data(), end, n);
  if (error != std::errc{} || at != end || !(n > 0) || n > 1e6 || (share && n > 100)) return std::nullopt;
  if (!share) return n == std::floor(n) ? std::optional(static_cast<std::size_t>(n)) : std::nullopt;
  return std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(static_cast<double>(all) * n / 100)));
}

}  // namespace calicograde::fleet
