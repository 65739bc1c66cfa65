#include "limits/knee.hpp"

#include <algorithm>
#include <cmath>

namespace calicograde::limits {
namespace {

constexpr double used = 0.8;  // of the cap: less tells nothing of what more would do
constexpr double smoothing = 0.2, least_gradient = 0.5, usual_part = 0.1;
constexpr std::size_t most_samples = 4096;

double part_of(std::vector<double> v, double part) {
  const auto at = v.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(v.size() - 1) * part);
  std::nth_element(v.begin(), at, v.end());
  return *at;
}

}  // namespace

void Knee::work(Instant now, std::size_t in_work) {
  if (!looked_at_) looked_at_ = now;
  peak_ = std::max(peak_, in_work);
}

void Knee::first_token(Instant now, double share) {
  if (!looked_at_) looked_at_ = now;
  if (shares_.size() < most_samples) shares_.push_back(share);
}

bool Knee::look(Instant now) {
  if (!looked_at_ || now - *looked_at_ < rules_.window) return false;
  // Too few to judge by: the window goes on, up to four times its length; what is that idle needs no cap.
  if (shares_.size() < enough && now - *looked_at_ < rules_.window * 4) return false;
  looked_at_ = now;
  const std::size_t peak = std::exchange(peak_, 0);
  const auto shares = std::exchange(shares_, {});
  const double before = cap_;
  if (shares.size() < enough) return false;
  late_ = static_cast<double>(std::count_if(shares.begin(), shares.end(), [](double s) { return s > 1; })) /
          static_cast<double>(shares.size());
  const bool was_used = static_cast<double>(peak) >= used * cap_;
  if (rules_.by == KneeRules::By::Aimd) {
    // Cut from what was in work: a cap far above it would take many cuts to be felt.
    if (late_ > rules_.late_share)
      cap_ = std::min(cap_, static_cast<double>(peak)) * rules_.cut, cut_once_ = true;
    else if (was_used) cap_ += std::max(1.0, cap_ * (cut_once_ ? rules_.grow : rules_.start));
  } else {
    const double median = part_of(shares, 0.5);
    const double usual = usual_.empty() ? median : part_of({usual_.begin(), usual_.end()}, usual_part);
    const double gradient =
        std::clamp(rules_.tolerance * usual / std::max(1e-6, median), least_gradient, 1.0);
    const double fresh = std::min(cap_, std::max(static_cast<double>(peak), cap_ * used)) * gradient;
    if (gradient < 1 || was_used)
      cap_ = (1 - smoothing) * cap_ + smoothing * (fresh + (gradient < 1 ? 0 : std::sqrt(cap_)));
    usual_.push_back(median);
    if (usual_.size() > windows_kept) usual_.pop_front();
  }
  cap_ = std::clamp(cap_, rules_.least, rules_.most);
  return cap_ != before;
}

}  // namespace calicograde::limits
