#pragma once

#include <functional>

#include "fleet/asking.hpp"
#include "fleet/journal.hpp"

namespace calicograde::fleet {

// Carries a campaign out, a thread a front under way. `what` asks one front, by the deadline that it is
// given; `told` hears of each end, one at a time, with how many are through. `journal` may be null. Returns
// once the campaign is over, or `stop` was raised and those under way have ended.
void run(Campaign& campaign, const std::vector<Front>& targets,
         const std::function<Answer(const Front&, Instant)>& what, Span each, Journal* journal,
         const std::function<void(std::size_t, const Answer&)>& told);

}  // namespace calicograde::fleet
