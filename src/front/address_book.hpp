#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "front/permissions.hpp"
#include "net/clock.hpp"
#include "net/socket.hpp"

namespace calicograde::front {

// Addresses of the engines of one pool, literal, and whether anything new may be asked there; written by
// whoever follows the lists, read by the sends. Thread-safe.
class AddressBook {
 public:
  void set(const EngineId& id, const net::Address& at, bool draining) {
    const std::lock_guard lock(mutex_);
    Listed& listed = book_[id];
    listed.at = at;
    if (draining && !listed.draining) listed.told_at = net::clock_now();
    if (!draining) listed.told_at.reset();
    listed.draining = draining;
    gone_.erase(id);
  }
  std::optional<net::Address> find(const EngineId& id) const {
    const std::lock_guard lock(mutex_);
    const auto it = book_.find(id);
    return it == book_.end() ? std::nullopt : std::optional(it->second.at);
  }
  EngineStanding standing(const EngineId& id) const {
    const std::lock_guard lock(mutex_);
    if (const auto it = book_.find(id); it != book_.end())
      return {true, it->second.draining, it->second.told_at};
    const auto gone = gone_.find(id);
    return {false, false, gone == gone_.end() ? std::nullopt : std::optional(gone->second)};
  }
  // Keeps only those that are named.
  void keep(const std::set<EngineId>& named) {
    const std::lock_guard lock(mutex_);
    for (auto it = book_.begin(); it != book_.end();) {
      const auto here = it++;
      if (!named.contains(here->first)) forget(here);
    }
  }
  std::optional<net::Address> drop(const EngineId& id) {
    const std::lock_guard lock(mutex_);
    const auto it = book_.find(id);
    if (it == book_.end()) return std::nullopt;
    const net::Address at = it->second.at;
    forget(it);
    return at;
  }
  std::optional<EngineId> named(const std::string& address) const {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, listed] : book_)
      if (net::text_of(listed.at) == address) return id;
    return std::nullopt;
  }

 private:
  struct Listed {
    net::Address at;
    bool draining = false;
    std::optional<Instant> told_at;
  };
  using Book = std::map<EngineId, Listed>;
  void forget(Book::iterator it) {
    if (gone_.size() >= most_gone) gone_.erase(gone_.begin());
    gone_[it->first] = it->second.told_at.value_or(net::clock_now());
    book_.erase(it);
  }
  static constexpr std::size_t most_gone = 4096;
  mutable std::mutex mutex_;
  Book book_;
  std::map<EngineId, Instant> gone_;  // since when, of those that were listed once
};

}  // namespace calicograde::front
