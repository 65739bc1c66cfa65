#include "front/keys.hpp"

namespace calicograde::front {

namespace {
// A send of a repeat still takes its time to arrive; engines count from the arrival of the first.
constexpr Span margin = Span::millis(250);
}  // namespace

KeyBook::Says KeyBook::ask(Instant now, const std::string& route, const std::string& key, DedupeGroup group,
                           Span window) {
  const auto [it, fresh] = book_.try_emplace({route, key});
  Entry& e = it->second;
  if (fresh) return Says::Take;
  if (e.in_work) return Says::InWork;
  if (e.unsure || (e.ran && group != DedupeGroup::All)) return Says::Unsure;
  if (e.ran && now - e.first >= window - margin) return Says::Expired;
  e.in_work = true;
  return Says::Take;
}

void KeyBook::ended(const std::string& route, const std::string& key, bool ran, Instant first, bool unsure) {
  const auto it = book_.find({route, key});
  if (it == book_.end()) return;
  Entry& e = it->second;
  e.in_work = false, e.unsure |= unsure;
  if (!ran && !e.ran) {
    book_.erase(it);
    return;
  }
  // A second try that ran nowhere does not undo the first; nor does one that ran make the first any younger.
  if (e.ran) return;
  e.ran = true, e.first = first;
  ran_.push_back(it->first);
  while (ran_.size() > most_) {
    const auto oldest = book_.find(ran_.front());
    if (oldest != book_.end() && !oldest->second.in_work) book_.erase(oldest);
    ran_.pop_front();
  }
}

}  // namespace calicograde::front
