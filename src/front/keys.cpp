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
  if (fresh && now < doubted_until_) return book_.erase(it), Says::Unsure;
  if (fresh) {
    e.first = now;
    return Says::Take;
  }
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

std::vector<KeyBook::Kept> KeyBook::all() const {
  std::vector<Kept> out;
  for (const auto& [name, e] : book_)
    out.push_back({name.first, name.second, e.first, e.unsure, e.ran || !e.in_work});
  return out;
}

void KeyBook::restore(const Kept& k) {
  const auto [it, fresh] = book_.try_emplace({k.route, k.key});
  if (!fresh) return;
  it->second.in_work = false, it->second.ran = true, it->second.first = k.first, it->second.unsure = k.unsure;
  ran_.push_back(it->first);
}

}  // namespace calicograde::front
