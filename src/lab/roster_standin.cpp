#include "lab/roster_standin.hpp"

#include <unistd.h>

#include "net/clock.hpp"
#include "net/thread.hpp"

namespace calicograde::lab {

using net::clock_now;

RosterStandin::RosterStandin(Span late, Recorder& records)
    : late_(late),
      records_(records),
      listener_(net::Address{"127.0.0.1", 0}),
      acceptor_([this] { accept(); }) {}

RosterStandin::~RosterStandin() {
  stopping_ = true;
  listener_.stop();
  changed_.notify_all();
  acceptor_.join();
  while (threads_ > 0) usleep(1000);
}

void RosterStandin::change(const roster::Line& line) {
  const std::lock_guard lock(mutex_);
  versions_.push_back({clock_now(), versions_.size() + 1, line, std::exchange(lose_next_, false)});
  changed_.notify_all();
}

void RosterStandin::lose_one() {
  const std::lock_guard lock(mutex_);
  lose_next_ = true;
}

void RosterStandin::accept() {
  while (!stopping_) {
    auto stream = listener_.accept(clock_now() + Span::millis(1000));
    if (!stream) continue;
    ++threads_;
    auto shared = std::make_shared<net::Stream>(std::move(*stream));
    if (!net::start_thread(256 << 10, [this, shared] { serve(std::move(*shared)), --threads_; })) --threads_;
  }
}

bool RosterStandin::push(http::ServerConnection& c, const std::string& front, const roster::Document& d) {
  for (const auto& l : d.lines) {
    const char* state = l.lifecycle == Lifecycle::Ready      ? "ready"
                        : l.lifecycle == Lifecycle::Draining ? "draining"
                                                             : "gone";
    records_.add(
        {clock_now(), "told", front, l.address, l.incarnation, state, static_cast<double>(d.version)});
  }
  return c.piece(http::event_text("roster", roster::text_of(d)));
}

void RosterStandin::serve(net::Stream stream) {
  http::ServerConnection c(std::move(stream), {});
  http::Request request;
  if (c.read(request) != http::ReadEnd::Ok) return;
  const std::string front(http::header(request.headers, "x-front"));
  if (!c.begin_stream(200, {{"content-type", "text/event-stream"}})) return;
  std::uint64_t sent = 0;
  bool first = true;
  for (Instant beat = clock_now(); !stopping_;) {
    roster::Document d;
    {
      std::unique_lock lock(mutex_);
      changed_.wait_for(lock, std::chrono::milliseconds(5), [&] { return stopping_.load(); });
      const Instant now = clock_now();
      // A start is known for as long as the process runs; its age is that at the time of telling.
      std::map<std::string, roster::Line> lines;
      std::uint64_t newest = sent;
      for (const auto& v : versions_) {
        if (v.at + (first ? Span{} : late_) > now) break;
        roster::Line line = v.line;
        if (line.age) line.age = *line.age + (now - v.at);
        if (first || (v.number > sent && !v.lost)) lines[line.address] = line;
        newest = v.number;
        // A change that is lost takes those beside it along: the next one builds on a version that nobody
        // has.
        if (!first && v.number > sent && v.lost) sent = v.number;
      }
      if (!first && lines.empty()) newest = sent;
      d = {newest, first, sent, {}};
      for (auto& [a, l] : lines)
        if (!first || l.lifecycle != Lifecycle::Gone) d.lines.push_back(std::move(l));
    }
    if (first || !d.lines.empty()) {
      if (!push(c, front, d)) return;
      sent = d.version, first = false;
    } else if (clock_now() - beat > Span::millis(500)) {
      beat = clock_now();
      if (!c.piece(": alive\n\n")) return;
    }
    if (c.stream().stale()) return;
  }
}

}  // namespace calicograde::lab
