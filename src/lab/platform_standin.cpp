#include "lab/platform_standin.hpp"

#include <unistd.h>

#include <algorithm>
#include <chrono>

#include "net/clock.hpp"
#include "net/thread.hpp"

namespace calicograde::lab {

using net::clock_now;

namespace {

constexpr Span pauses_at_most = Span::millis(20000);
constexpr std::chrono::milliseconds looks_for_ends_every{5};

}  // namespace

LoopbackServer::LoopbackServer(Serve serve, unsigned short port, int backlog)
    : serve_(std::move(serve)),
      listener_(net::Address{"127.0.0.1", port}, backlog),
      acceptor_([this] { accept(); }) {}

LoopbackServer::~LoopbackServer() {
  stopping_ = true;
  listener_.stop();
  acceptor_.join();
  {
    const std::lock_guard lock(mutex_);
    for (const auto* s : open_) s->shut();
  }
  while (threads_ > 0) usleep(1000);
}

void LoopbackServer::drop_connections() {
  const std::lock_guard lock(mutex_);
  for (const auto* s : open_) s->shut();
}

void LoopbackServer::accept() {
  while (!stopping_) {
    auto stream = listener_.accept(clock_now() + Span::millis(1000));
    if (!stream) continue;
    auto shared = std::make_shared<net::Stream>(std::move(*stream));
    // A second descriptor, through which the connection can be ended while it is served.
    auto handle = std::make_shared<net::Stream>(net::Fd(::dup(shared->fd())));
    ++threads_;
    const auto run = [this, shared, handle] {
      {
        const std::lock_guard lock(mutex_);
        open_.insert(handle.get());
      }
      if (!stopping_) serve_(std::move(*shared));
      {
        const std::lock_guard lock(mutex_);
        open_.erase(handle.get());
      }
      handle->shut();
      --threads_;  // last: whoever waits for it takes all this down
    };
    if (!net::start_thread(256 << 10, run)) --threads_;
  }
}

void PlatformHall::add(Asked asked) {
  const std::lock_guard lock(mutex_);
  asked_.push_back(std::move(asked));
}
std::vector<PlatformHall::Asked> PlatformHall::all() const {
  const std::lock_guard lock(mutex_);
  return asked_;
}
int PlatformHall::count(const std::string& method, const std::string& target_start) const {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(std::count_if(asked_.begin(), asked_.end(), [&](const Asked& a) {
    return a.method == method && a.target.starts_with(target_start);
  }));
}
void PlatformHall::hold(const std::string& id, const std::string& engine) {
  std::unique_lock lock(mutex_);
  held_[id].insert(engine), read_.insert(id);
  changed_.notify_all();
  changed_.wait_for(lock, std::chrono::milliseconds(100), [&] { return !releasing_.contains(id); });
}
void PlatformHall::reading(const std::string& id, bool on) {
  const std::lock_guard lock(mutex_);
  if (on) reading_.insert(id);
  else if (const auto it = reading_.find(id); it != reading_.end()) reading_.erase(it);
}
bool PlatformHall::grant(const std::string& id, const std::string& engine) {
  const std::lock_guard lock(mutex_);
  return reading_.contains(id) && (held_[id].insert(engine), true);
}
bool PlatformHall::wait_for_state(const std::string& id) {
  const std::lock_guard lock(mutex_);
  if (!held_.contains(id)) return false;
  waiting_.insert(id);
  return true;
}
void PlatformHall::first_token(const std::string& id) {
  const std::lock_guard lock(mutex_);
  read_.erase(id), held_.erase(id);
  end_wait(id);
}
void PlatformHall::attempt_ends(const std::string& id) {
  const std::lock_guard lock(mutex_);
  end_wait(id);
}
void PlatformHall::end_wait(const std::string& id) {
  if (const auto it = waiting_.find(id); it != waiting_.end()) waiting_.erase(it);
}
void PlatformHall::let_go(const std::string& id) {
  std::unique_lock lock(mutex_);
  const auto here = releasing_.insert(id);
  if (late_ > 0)
    changed_.wait_for(lock, std::chrono::milliseconds(late_), [&] { return read_.contains(id); });
  releasing_.erase(here);
  if (!waiting_.contains(id)) held_.erase(id), read_.erase(id);
  changed_.notify_all();
}
std::size_t PlatformHall::held() const {
  const std::lock_guard lock(mutex_);
  return held_.size();
}

bool PlatformHall::holds(const std::string& id) const {
  const std::lock_guard lock(mutex_);
  return held_.contains(id);
}

PlatformEngine::PlatformEngine(std::string name, bool reader, PlatformHall& hall, int events)
    : name_(std::move(name)), reader_(reader), hall_(hall), events_(events), server_([this](net::Stream s) {
        serve(std::move(s));
      }) {}

void PlatformEngine::next(Act act, int times) {
  const std::lock_guard lock(mutex_);
  act_ = act, times_ = times;
}

void PlatformEngine::pause(bool on) {
  const std::lock_guard lock(mutex_);
  paused_ = on;
  resumed_.notify_all();
}

void PlatformEngine::reply_to_places(const PlaceReply& reply) {
  const std::lock_guard lock(mutex_);
  place_reply_ = reply;
}

bool PlatformEngine::answer_place(http::ServerConnection& c, const std::string& id) {
  std::optional<PlaceReply> reply;
  {
    const std::lock_guard lock(mutex_);
    reply = place_reply_;
  }
  const bool may_be_held = !reply || reply->status == 200 || reply->status == 204;
  const bool held = may_be_held && hall_.grant(id, name_);
  if (!reply) return c.respond(held ? 200 : 204, {}, "", true);
  usleep(static_cast<useconds_t>(reply->after.as_micros()));
  return !reply->ends_connection && c.respond(reply->status, {}, "", true);
}

Act PlatformEngine::next_act() {
  const std::lock_guard lock(mutex_);
  if (times_ <= 0) return Act::Usual;
  --times_;
  return act_;
}

std::string PlatformEngine::answer(int events) {
  std::string out;
  for (int k = 0; k < events; ++k)
    out += "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w" + std::to_string(k) + "\"}}]}\n\n";
  return out + "data: [DONE]\n\n";
}

void PlatformEngine::serve(net::Stream stream) {
  ++connections_;
  http::ServerConnection c(std::move(stream), {});
  http::Request r;
  while (!server_.stopping() && c.read(r) == http::ReadEnd::Ok) {
    std::string id(http::header(r.headers, "request-id"));
    const bool state = r.target.starts_with("/state/");
    if (state) id = r.target.substr(7);
    hall_.add({name_, r.method, r.target, id, r.body, r.headers});
    bool on = true;
    if (state && r.method == "DELETE") hall_.let_go(id), on = c.respond(204, {}, "", true);
    else if (state) on = answer_place(c, id);
    else on = complete(r, c, id);
    if (!on) return;
  }
}

bool PlatformEngine::complete(const http::Request&, http::ServerConnection& c, const std::string& id) {
  const auto raw = [&](std::string_view bytes) {
    boost::system::error_code ec;
    c.stream().set_deadline(clock_now() + Span::millis(5000));
    while (!bytes.empty() && !ec) bytes.remove_prefix(c.stream().write_some(boost::asio::buffer(bytes), ec));
    return !ec;
  };
  const auto endless = [&](std::string_view start, std::string_view piece) {
    return send_endlessly(c.stream(), start, piece);
  };
  const auto idle = [&] {  // until the other side ends it
    char drop[64];
    boost::system::error_code ec;
    c.stream().set_deadline(clock_now() + Span::millis(20000));
    while (!ec) c.stream().read_some(boost::asio::buffer(drop), ec);
    return false;
  };
  const Act act = next_act();
  struct Reading {
    PlatformHall& hall;
    const std::string id;
    Reading(PlatformHall& h, std::string i) : hall(h), id(std::move(i)) { hall.reading(id, true); }
    ~Reading() { hall.reading(id, false); }
  };
  const auto reading = reader_ ? std::make_unique<Reading>(hall_, id) : nullptr;
  struct Waiting {
    PlatformHall& hall;
    const std::string id;
    Waiting(PlatformHall& h, std::string i) : hall(h), id(std::move(i)) {}
    ~Waiting() {
      if (!over) hall.attempt_ends(id);
    }
    bool over = false;
  };
  const bool has_state = !reader_ && hall_.wait_for_state(id);
  const auto waiting = has_state ? std::make_unique<Waiting>(hall_, id) : nullptr;
  {
    std::unique_lock lock(mutex_);
    ++waiting_;
    const bool waited = paused_;
    // Whoever closes the connection meanwhile has called it off.
    for (const Instant until = clock_now() + pauses_at_most; paused_ && clock_now() < until;) {
      resumed_.wait_for(lock, looks_for_ends_every);
      if (c.stream().peer_left()) break;
    }
    --waiting_;
    if (waited && c.stream().peer_left()) return false;
  }
  // A moment, in which a place for it can be asked for.
  for (int k = 0; reader_ && k < 100 && hall_.count("POST", "/state/" + id) == 0; ++k) usleep(1000);
  if (reader_) usleep(static_cast<useconds_t>(read_micros_));
  switch (act) {
    case Act::Error: return c.respond(500, {}, "{}", true);
    case Act::Full: return c.respond(503, {{"Not-Started", "1"}}, "", true);
    case Act::NoState: return c.respond(410, {{"Not-Started", "1"}}, "", true);
    case Act::Noise: return raw("\x01\x02 this is no answer\r\n\r\n\r\n") && idle();
    case Act::EndlessHead:
      raw("HTTP/1.1 200 OK\r\n");
      while (raw("x-more: " + std::string(1000, 'x') + "\r\n")) {}
      return false;
    case Act::Silent: return idle();
    case Act::CutAtOnce: return c.stream().reset_hard(), false;
    case Act::LateBreak:
      if (reader_) hall_.hold(id, name_);
      return c.stream().reset_hard(), false;
    case Act::Provisional:
      raw("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n");
      break;
    default: break;
  }
  if (reader_) {
    hall_.hold(id, name_);
    return c.respond(202, {}, R"({"cached_tokens":64})", true) && act != Act::HangUp;
  }
  if (!waiting) return c.respond(410, {{"Not-Started", "1"}}, "", true);
  hall_.first_token(id);
  waiting->over = true;
  if (!c.begin_stream(200, {{"content-type", "text/event-stream"}})) return false;
  if (act == Act::EndlessSizeFirst) return endless("", std::string(4096, 'x'));
  const int events = events_;
  std::string all = answer(events);
  for (int k = 0; !all.empty(); ++k) {
    if (k > 0) std::this_thread::sleep_for(std::chrono::microseconds(event_pause_micros_));
    const auto end = all.find("\n\n") + 2;
    const std::size_t step = act == Act::InPieces ? 7 : end;
    for (std::size_t at = 0; at < end; at += step) {
      if (!c.piece(all.substr(at, std::min(step, end - at)))) return false;
      if (act == Act::InPieces) usleep(500);  // so that they come apart
    }
    all.erase(0, end);
    if (k > 0) continue;
    switch (act) {
      case Act::CutMidway: return c.stream().reset_hard(), false;
      case Act::StallMidway: return idle();
      case Act::BadSize: return raw("zzz\r\ndata: x\r\n") && idle();
      case Act::HugeChunk:
        raw("C0000000\r\n");
        while (raw(std::string(4096, 'x'))) {}
        return false;
      case Act::EndlessSize: return endless("", std::string(4096, 'x'));
      case Act::EndlessDigits: return endless("", std::string(4096, '0'));
      case Act::EndlessExtension: return endless("5;", std::string(4096, 'x'));
      case Act::EndlessTrailer: return endless("0\r\n", "x: " + std::string(100, 'x') + "\r\n");
      default: break;
    }
  }
  if (!c.end_stream()) return false;
  if (act == Act::Behind) raw("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi");
  return act != Act::HangUp;
}

bool PlatformEngine::send_endlessly(net::Stream& stream, std::string_view start, std::string_view piece) {
  constexpr std::size_t enough = 64 << 20;  // for who must not take nearly as much
  boost::system::error_code ec;
  std::size_t sent = 0;
  for (std::string_view rest = start; !ec && sent < enough;) {
    stream.set_deadline(clock_now() + Span::millis(5000));
    if (rest.empty()) rest = piece;
    const std::size_t taken = stream.write_some(boost::asio::buffer(rest), ec);
    rest.remove_prefix(taken);
    sent += taken;
  }
  most_endless_bytes_ = std::max(most_endless_bytes_.load(), sent);
  return false;
}

PlatformRegistry::PlatformRegistry() : server_([this](net::Stream s) { serve(std::move(s)); }) {}

void PlatformRegistry::change(const std::string& instance, const std::string& host_port,
                              const std::string& kind, const std::string& state, long long started) {
  const std::lock_guard lock(mutex_);
  entries_[instance] = {++version_,
                        "{\"instanceId\":\"" + instance + "\",\"hostPort\":\"" + host_port +
                            "\",\"zone\":\"a\",\"machineType\":\"" + kind + "\",\"cell\":0,\"lifecycle\":\"" +
                            state + "\",\"weight\":1.0,\"startedAtMs\":" + std::to_string(started) + "}",
                        state};
  changed_.notify_all();
}

std::string PlatformRegistry::document(std::uint64_t since, bool whole) const {
  std::string entries;
  for (const auto& [name, e] : entries_)
    if (whole ? e.state != "Gone" : e.version > since) entries += (entries.empty() ? "" : ",") + e.json;
  return "{\"generation\":" + std::to_string(version_) + ",\"reset\":" + (whole ? "true" : "false") +
         ",\"instances\":[" + entries + "]}";
}

std::string PlatformRegistry::list() const {
  const std::lock_guard lock(mutex_);
  return document(0, true);
}
void PlatformRegistry::mute(bool on) {
  const std::lock_guard lock(mutex_);
  mute_ = on;
  changed_.notify_all();
}
void PlatformRegistry::answer_after(Span delay) {
  const std::lock_guard lock(mutex_);
  answer_delay_ = delay;
}
void PlatformRegistry::say(const std::string& raw) {
  const std::lock_guard lock(mutex_);
  said_.push_back(raw);
  changed_.notify_all();
}

void PlatformRegistry::silent_watches(int count, const std::string& first_bytes) {
  const std::lock_guard lock(mutex_);
  silent_watches_ = count, first_bytes_ = first_bytes;
  changed_.notify_all();
}

void PlatformRegistry::serve(net::Stream stream) {
  http::ServerConnection c(std::move(stream), {});
  http::Request r;
  if (c.read(r) != http::ReadEnd::Ok) return;
  if (r.target.find("follow=1") == std::string::npos) return void(c.respond(200, {}, list(), false));
  ++watches_;
  const auto at = r.target.find("since=");
  std::uint64_t told = at == std::string::npos ? 0 : std::stoull(r.target.substr(at + 6));
  std::unique_lock lock(mutex_);
  std::size_t said = said_.size();
  const auto gone = [&] { return server_.stopping() || c.stream().peer_left(); };
  const Instant answer_at = clock_now() + answer_delay_;
  while ((mute_ || clock_now() < answer_at) && !gone())
    changed_.wait_for(lock, std::chrono::milliseconds(50));
  if (gone() || !c.begin_stream(200, {})) return;
  if (silent_watches_ > 0) {
    --silent_watches_;
    c.piece(first_bytes_);
    while (!gone()) changed_.wait_for(lock, std::chrono::milliseconds(50));
    return;
  }
  Instant last = clock_now();
  for (bool first = true; !gone();) {
    std::string line;
    if (!mute_ && (first || told < version_))
      line = document(told, first && told == 0) + "\n", told = version_;
    else if (!mute_ && said < said_.size()) line = said_[said++] + "\n";
    else if (!mute_ && clock_now() - last > Span::millis(500)) line = "\n";
    first = first && line.empty();
    if (!line.empty()) {
      lock.unlock();
      if (!c.piece(line)) return;
      lock.lock();
      last = clock_now();
      continue;
    }
    changed_.wait_for(lock, std::chrono::milliseconds(50));
  }
}

}  // namespace calicograde::lab
