#include "soak/discovery.hpp"

#include <unistd.h>

#include "net/clock.hpp"

namespace calicograde::soak {
namespace {

using net::clock_now;

constexpr Span empty_line_every = Span::millis(2000), look_every = Span::millis(20);
constexpr Span crowded_answer = Span::millis(600);
// After a watch fell silent, or a call was refused or slow, a change counts as told so much later.
constexpr Span told_at_the_latest = Span::millis(6000);

const char* name_of(Lifecycle lifecycle) {
  switch (lifecycle) {
    case Lifecycle::Ready: return "Ready";
    case Lifecycle::Draining: return "Terminating";
    case Lifecycle::Gone: break;
  }
  return "Gone";
}

}  // namespace

void EngineList::change(std::size_t engine, Entry entry) {
  const std::lock_guard lock(mutex_);
  entry.version = ++version_, entry.changed = clock_now();
  entries_[engine] = std::move(entry);
  changed_.notify_all();
}

std::map<std::size_t, EngineList::Entry> EngineList::since(std::uint64_t version) const {
  const std::lock_guard lock(mutex_);
  std::map<std::size_t, Entry> out;
  for (const auto& [engine, entry] : entries_)
    if (entry.version > version) out[engine] = entry;
  return out;
}

std::uint64_t EngineList::version() const {
  const std::lock_guard lock(mutex_);
  return version_;
}

void EngineList::wait_for_newer(std::uint64_t version, Span most) const {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, std::chrono::microseconds(most.as_micros()), [&] { return version_ > version; });
}

DiscoveryAgent::DiscoveryAgent(std::size_t node, const EngineList& list, Journal& journal)
    : node_(node), list_(list), journal_(journal), server_([this](net::Stream s) { serve(std::move(s)); }) {}

DiscoveryAgent::~DiscoveryAgent() { stopping_ = true; }

std::string DiscoveryAgent::document(const std::map<std::size_t, EngineList::Entry>& entries,
                                     std::uint64_t version, bool whole) {
  std::string lines;
  for (const auto& [engine, e] : entries) {
    if (whole && e.lifecycle == Lifecycle::Gone) continue;
    lines += (lines.empty() ? "" : ",") + std::string(R"({"instanceId":"s-)") + std::to_string(engine) +
             R"(","hostPort":")" + e.host_port + R"(","zone":"a","machineType":")" + e.machine_type +
             R"(","cell":0,"lifecycle":")" + name_of(e.lifecycle) + R"(","weight":1.0,"startedAtMs":)" +
             std::to_string(e.started_at_ms) + "}";
  }
  return R"({"generation":)" + std::to_string(version) + R"(,"reset":)" + (whole ? "true" : "false") +
         R"(,"instances":[)" + lines + "]}";
}

std::string DiscoveryAgent::whole_list() const {
  const std::uint64_t version = list_.version();
  return document(list_.since(0), version, true);
}

void DiscoveryAgent::told(const std::map<std::size_t, EngineList::Entry>& entries, Instant at) {
  const std::lock_guard lock(mutex_);
  for (const auto& [engine, e] : entries) {
    std::uint64_t& version = told_versions_[engine];
    if (e.version <= version) continue;
    version = e.version;
    journal_.add(LifecycleTold{node_, engine, e.version, e.lifecycle, at});
  }
}

void DiscoveryAgent::down(bool on) {
  {
    const std::lock_guard lock(mutex_);
    if (!on) troubled_until_ = std::max(troubled_until_, clock_now() + told_at_the_latest);
  }
  down_ = on;
}

void DiscoveryAgent::crowded(bool on) {
  crowded_ = on;
  const std::lock_guard lock(mutex_);
  troubled_until_ = std::max(troubled_until_, clock_now() + told_at_the_latest);
}

void DiscoveryAgent::silence_watches() {
  silenced_ = opened_.load();
  const std::lock_guard lock(mutex_);
  troubled_until_ = std::max(troubled_until_, clock_now() + told_at_the_latest);
}

void DiscoveryAgent::reset_watches() {
  {
    const std::lock_guard lock(mutex_);
    troubled_until_ = std::max(troubled_until_, clock_now() + told_at_the_latest);
  }
  server_.drop_connections();
}

void DiscoveryAgent::node_starts() { told(list_.since(0), clock_now()); }

void DiscoveryAgent::run_deadlines() {
  const Instant now = clock_now();
  bool troubled = down_ || crowded_;
  {
    const std::lock_guard lock(mutex_);
    troubled |= now < troubled_until_;
  }
  if (troubled) return;
  std::map<std::size_t, EngineList::Entry> due;
  constexpr Span on_its_way =
      Span::millis(500);  // a healthy agent has written it by then, be it to a machine under load
  for (auto& [engine, entry] : list_.since(0))
    if (now - entry.changed > on_its_way) due[engine] = entry;
  told(due, now);
}

void DiscoveryAgent::serve(net::Stream stream) {
  http::ServerConnection connection(std::move(stream), {});
  http::Request request;
  if (connection.read(request) != http::ReadEnd::Ok) return;
  const auto gone = [&] { return stopping_ || connection.stream().peer_left(); };
  while (down_ && !gone()) usleep(static_cast<useconds_t>(look_every.as_micros()));
  if (crowded_) usleep(static_cast<useconds_t>(crowded_answer.as_micros()));
  if (gone()) return;
  const auto at = request.target.find("since=");
  const bool follows = request.target.find("follow=1") != std::string::npos;
  if (!follows) {
    connection.respond(200, {}, whole_list(), false);
    return;
  }
  follow(connection, at == std::string::npos ? 0 : std::stoull(request.target.substr(at + 6)));
}

void DiscoveryAgent::follow(http::ServerConnection& connection, std::uint64_t known) {
  const int own = ++opened_;
  if (!connection.begin_stream(200, {})) return;
  Instant last;
  for (bool first = true; !stopping_ && !connection.stream().peer_left();) {
    const std::uint64_t version = list_.version();
    const bool mute = down_ || own <= silenced_;
    if (!mute && (first || version > known)) {
      const auto entries = list_.since(first && known == 0 ? 0 : known);
      if (!connection.piece(document(entries, version, first && known == 0) + "\n")) return;
      told(entries, clock_now());
      known = version, first = false, last = clock_now();
    } else if (!mute && clock_now() - last > empty_line_every) {
      if (!connection.piece("\n")) return;
      last = clock_now();
    }
    list_.wait_for_newer(known, look_every);
  }
}

}  // namespace calicograde::soak
