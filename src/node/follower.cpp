#include "node/follower.hpp"

#include <poll.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <tuple>
#include <utility>
#include <vector>

#include "net/clock.hpp"
#include "platform/objects.hpp"

namespace calicograde::node {
namespace {

using http::BodyEnd;
using log::Level;
using net::clock_now;

constexpr int believed_after = 3;  // times that an older list is told, it is the registry that was set back

}  // namespace

Follower::Follower(front::Core& core, std::size_t pool, platform::Decoded names, Span wall_offset,
                   Rules rules, std::uint64_t seed)
    : core_(core),
      pool_(pool),
      names_(std::move(names)),
      rules_(rules),
      starts_(wall_offset),
      random_(static_cast<std::uint32_t>(seed ^ seed >> 32)) {}

Follower::~Follower() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    shut_watches();
    changed_.notify_all();
  }
  if (thread_.joinable()) thread_.join();
}

// Under the lock. Whoever waits for them finds their end.
void Follower::shut_watches() {
  if (open_) open_->shut();
  for (const auto& watch : unanswered_) watch.link.stream().shut();
}

void Follower::known(const platform::Listing& listing) { take(listing, ListScope::Cached); }

void Follower::follow(const net::Address& at) {
  const std::lock_guard lock(mutex_);
  at_ = at, ++moves_;
  shut_watches();
  changed_.notify_all();
  if (!thread_.joinable()) thread_ = std::thread([this] { run(); });
}

bool Follower::wait_heard(Instant deadline) {
  std::unique_lock lock(mutex_);
  const Span left = std::max(Span{}, deadline - clock_now());
  return changed_.wait_for(lock, std::chrono::microseconds(left.as_micros()), [&] { return heard_; });
}

void Follower::run() {
  int failed = 0;
  for (std::uint64_t seen = 0;;) {
    net::Address at;
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) return;
      if (seen != moves_) failed = 0, unanswered_.clear();  // those are elsewhere
      at = *at_, seen = moves_;
    }
    failed = watch(at) ? 0 : std::min(failed + 1, 8);
    std::unique_lock lock(mutex_);
    const Span pause =
        failed == 0 ? spread(rules_.soon) : spread(std::min(rules_.again * failed, rules_.again_most));
    if (!stopping_ && seen == moves_)
      changed_.wait_for(lock, std::chrono::microseconds(pause.as_micros()),
                        [&] { return stopping_ || seen != moves_; });
  }
}

// Hundreds of nodes lose their watches together: they come back one after the other.
Span Follower::spread(Span mean) { return mean * std::uniform_real_distribution<double>(0.5, 1.5)(random_); }

bool Follower::follows(const net::Address& at) {
  const std::lock_guard lock(mutex_);
  return !stopping_ && *at_ == at;
}

// Whether it was asked for; its answer is waited for with those of the watches before it.
bool Follower::open_watch(const net::Address& at) {
  spare_.refill();
  auto [how, stream] = net::Stream::connect(at, clock_now() + rules_.connect);
  if (how == net::ConnectEnd::Local && spare_.release())
    std::tie(how, stream) = net::Stream::connect(at, clock_now() + rules_.connect);
  if (how != net::ConnectEnd::Connected)
    return core_.log().line(Level::Warn, "registry not reached", {{"at", net::text_of(at)}}), false;
  Watches opened;
  opened.push_back({http::ClientConnection(std::move(stream)), clock_now()});
  const std::string target = "/registry/instances?follow=1&since=" + std::to_string(version_);
  if (!opened.back().link.ask("GET", target, {{"Host", "registry"}}, "", clock_now() + rules_.answer))
    return false;
  const std::lock_guard lock(mutex_);
  if (stopping_ || *at_ != at) return false;
  unanswered_.splice(unanswered_.end(), opened);
  return true;
}

// True where the head is here. A watch that was refused, or is none, is dropped.
bool Follower::read_answer_head(Watches::iterator watch, Instant deadline) {
  http::Response head;
  const BodyEnd end = watch->link.read_head(head, deadline);
  if (end == BodyEnd::TimedOut) return false;
  if (end == BodyEnd::Done && head.status == 200) return true;
  const std::lock_guard lock(mutex_);
  unanswered_.erase(watch);
  return false;
}

// The first of the watches whose answer begins; the others are dropped then.
std::optional<http::ClientConnection> Follower::first_answered(Instant deadline) {
  while (!unanswered_.empty()) {
    std::vector<pollfd> readable;
    for (const auto& watch : unanswered_) readable.push_back({watch.link.stream().fd(), POLLIN, 0});
    if (net::wait_ready(readable.data(), readable.size(), deadline) == 0) return std::nullopt;
    auto watch = unanswered_.begin();
    for (const auto& ready : readable) {
      const auto next = std::next(watch);
      if (ready.revents != 0 && read_answer_head(watch, deadline)) {
        const std::lock_guard lock(mutex_);
        std::optional<http::ClientConnection> link(std::move(watch->link));
        unanswered_.clear();
        return link;
      }
      watch = next;
    }
  }
  return std::nullopt;
}

void Follower::drop_stale_watches() {
  const Instant now = clock_now();
  const std::lock_guard lock(mutex_);
  while (!unanswered_.empty() && (unanswered_.size() >= rules_.most_unanswered ||
                                  now - unanswered_.front().asked >= rules_.slow_answer))
    unanswered_.pop_front();
}

// Whether a watch was served, and ended as one.
bool Follower::watch(const net::Address& at) {
  drop_stale_watches();
  const bool opened = open_watch(at);
  if (!opened && unanswered_.empty()) return false;
  auto link = first_answered(clock_now() + rules_.answer);
  bool sound = false;
  if (link) {
    {
      const std::lock_guard lock(mutex_);
      if (stopping_ || *at_ != at) return false;
      open_ = &link->stream();
    }
    sound = read_objects(*link);
    const std::lock_guard lock(mutex_);
    open_ = nullptr;
  }
  if (!follows(at)) return link.has_value();
  core_.log().line(Level::Warn, "registry's watch opened anew",
                   {{"at", net::text_of(at)},
                    {"sound", std::int64_t{sound}},
                    {"unanswered", static_cast<std::int64_t>(unanswered_.size())}});
  return sound;
}

// Until its end. False: what came was no watch.
bool Follower::read_objects(http::ClientConnection& link) {
  platform::Objects objects(platform::most_listing_bytes);
  for (Instant last = clock_now();;) {
    std::string bytes;
    const BodyEnd end = link.read_body(bytes, last + rules_.silence);
    if (!bytes.empty()) last = clock_now(), heard_before_ = std::exchange(heard_at_, last);
    std::vector<std::string> whole;
    const bool sound = objects.feed(bytes, whole);
    for (const auto& object : whole)
      if (!take_object(object)) return false;
    if (!sound)
      return core_.log().line(Level::Error, "registry not understood", {{"what", "no JSON object"}}), false;
    if (!bytes.empty()) {
      const std::lock_guard lock(mutex_);
      if (!std::exchange(heard_, true)) changed_.notify_all();
    }
    if (end != BodyEnd::More) return true;
  }
}

bool Follower::take_object(const std::string& object) {
  auto parsed = platform::parse_listing(object, names_);
  if (const auto* wrong = std::get_if<std::string>(&parsed)) {
    core_.log().line(Level::Error, "registry not understood", {{"what", *wrong}});
    return false;
  }
  const auto& listing = std::get<platform::Listing>(parsed);
  if (listing.version < version_) {
    // A list from before what is known would bring back what has gone; a registry that was set back says so
    // again and again.
    if (!listing.whole || ++older_ < believed_after) {
      core_.log().line(Level::Warn, "registry told an older list",
                       {{"version", static_cast<std::int64_t>(listing.version)},
                        {"known", static_cast<std::int64_t>(version_)}});
      return !listing.whole;
    }
  }
  older_ = 0;
  take(listing, listing.whole ? ListScope::Full : ListScope::Delta);
  return true;
}

void Follower::take(const platform::Listing& listing, ListScope scope) {
  for (const auto& what : listing.skipped)
    core_.log().line(Level::Warn, "registry entry passed over", {{"what", what}});
  if (listing.skipped_count > listing.skipped.size())
    core_.log().line(Level::Warn, "registry entries passed over",
                     {{"count", static_cast<std::int64_t>(listing.skipped_count)}});
  version_ = listing.version;
  FleetListed list;
  list.scope = scope, list.version = listing.version;
  std::map<EngineId, net::Address> reached;
  const Instant now = clock_now();
  for (const auto& e : listing.engines)
    if (e.started_at) starts_.heard(*e.started_at, now);
  for (const auto& e : listing.engines) {
    const EngineId id = e.entry.engine;
    const auto [owner, fresh] = instances_.emplace(id, e.instance);
    if (!fresh && owner->second != e.instance) {
      core_.log().line(Level::Error, "two instances have one id; the second is passed over",
                       {{"first", owner->second}, {"second", e.instance}});
      continue;
    }
    const auto at = net::parse_address(e.host_port);
    if (e.entry.lifecycle == Lifecycle::Gone) {
      reached_.erase(id), instances_.erase(id);
    } else if (!at || !net::is_literal(*at)) {
      core_.log().line(Level::Warn, "registry entry passed over",
                       {{"what", e.instance + ": hostPort is no address"}});
      if (fresh) instances_.erase(id);
      continue;
    } else {
      reached[id] = *at;
    }
    list.entries.push_back(e.entry);
    if (e.started_at) list.entries.back().started = starts_.started(id, *e.started_at, now, heard_before_);
  }
  if (scope == ListScope::Delta && list.entries.empty()) return;
  if (scope != ListScope::Delta) {
    std::erase_if(instances_, [&](const auto& i) { return !reached.contains(i.first); });
    reached_.clear();
  }
  for (const auto& [id, at] : reached) reached_[id] = at;
  core_.log().line(Level::Info, "registry heard",
                   {{"version", static_cast<std::int64_t>(listing.version)},
                    {"lines", static_cast<std::int64_t>(list.entries.size())},
                    {"engines", static_cast<std::int64_t>(reached_.size())},
                    {"whole", std::int64_t{scope != ListScope::Delta}}});
  core_.listed(pool_, std::move(list), reached_);
}

}  // namespace calicograde::node
