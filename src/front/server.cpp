#include "front/server.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <random>

#include "net/clock.hpp"
#include "net/thread.hpp"

namespace calicograde::front {
namespace {

constexpr std::string_view overloaded =
    "HTTP/1.1 529 Overloaded\r\ncontent-type: application/json\r\nretry-after: 1\r\nconnection: close\r\n"
    "content-length: 98\r\n\r\n"
    R"({"type":"error","error":{"type":"overloaded_error","message":"too many connections at this front"}})";

// A wait for clients that fails is no reason to serve nobody: it is told and made again.
std::function<void(int)> log_failed_wait(Core& core) {
  return [&core](int error) {
    core.log().line(log::Level::Error, "wait for clients failed", {{"what", std::strerror(error)}});
  };
}

constexpr Span accepted_after_stop = Span::millis(100);

// Connections that were answered and are left to their clients to close, beside those that are open.
std::size_t leaving_of(std::size_t connections) { return std::max<std::size_t>(4, connections / 8); }

}  // namespace

std::string_view Protocol::too_many() const { return overloaded; }

Server::Server(Core& core, std::vector<std::unique_ptr<Protocol>> protocols)
    : core_(core),
      listen_(core.settings().listen),
      most_(core.settings().connections),
      protocols_(std::move(protocols)),
      lobby_([this](const Lobby::Shared& guest) { begin(guest); }, leaving_of(most_), log_failed_wait(core)) {
  std::random_device chance;
  char stamp[16];
  std::snprintf(stamp, sizeof stamp, "%08x", chance());
  stamp_ = stamp;
}

Server::Server(Core& core, std::vector<std::unique_ptr<Protocol>> protocols, net::Address listen,
               std::size_t connections)
    : core_(core),
      for_clients_(false),
      listen_{std::move(listen)},
      most_(connections),
      protocols_(std::move(protocols)),
      stamp_("admin"),
      lobby_([this](const Lobby::Shared& guest) { begin(guest); }, leaving_of(most_), log_failed_wait(core)) {
}

std::size_t Server::in_work() const {
  std::size_t n = 0;
  for (const auto& p : protocols_) n += p->open();
  return n;
}

Server::~Server() {
  stop(net::clock_now());
  // Their threads hold on to this server; each of their waits has an end. One that has closed the last
  // connection may still be in the lobby.
  while (open_ > 0) usleep(1000);
  threads_.wait_idle();
}

void Server::start() {
  for (const auto& at : listen_) {
    listeners_.push_back(std::make_unique<net::Listener>(at));
    addresses_.push_back({at.host, listeners_.back()->port()});
  }
  for (auto& l : listeners_) acceptors_.emplace_back([this, &l] { accept(*l); });
}

std::vector<net::Address> Server::addresses() const { return addresses_; }

void Server::accept(net::Listener& listener) {
  const std::string_view too_many = protocols_.front()->too_many();
  for (std::optional<Instant> last; !last || net::clock_now() < *last;) {
    auto stream = listener.accept(net::clock_now() + Span::millis(1000), too_many);
    if (stream) admit(std::move(*stream));
    else if (stopping_) return;
    // Those that had connected before the stop are still answered; newcomers must not keep it from ending.
    if (stopping_ && !last) last = net::clock_now() + accepted_after_stop;
  }
}

void Server::admit(net::Stream stream) {
  auto guest = std::make_shared<Lobby::Guest>(std::move(stream), core_.settings().http, open_);
  if (!stopping_ && (open_ <= most_ || lobby_.make_room())) lobby_.wait(std::move(guest));
  else turn_away(guest);
}

// One too many: told at once, so that it can go elsewhere. Nothing was taken. What it sends meanwhile is read
// and dropped for a while, since a close over unread bytes could take the answer with it.
void Server::turn_away(const Lobby::Shared& guest) {
  boost::system::error_code ec;
  const std::string_view too_many = protocols_.front()->too_many();
  auto& stream = guest->connection.stream();
  stream.set_deadline(net::clock_now());
  stream.write_some(boost::asio::buffer(too_many.data(), too_many.size()), ec);
  lobby_.leave(guest);
}

void Server::begin(const Lobby::Shared& guest) {
  if (!threads_.submit([this, guest] { serve(guest); })) turn_away(guest);
}

Protocol* Server::protocol_for(const std::string& target) const {
  const std::string path = target.substr(0, target.find('?'));
  for (const auto& p : protocols_)
    if (p->takes(path)) return p.get();
  return nullptr;
}

void Server::serve(const Lobby::Shared& guest) {
  auto& connection = guest->connection;
  Visit visit{connection, {}};
  // Also while the server stops: what has begun to come is read and answered, be it with a refusal.
  for (bool more = true; more;) {
    visit.request_id = "req_" + stamp_ + std::to_string(++requests_);
    http::Request request;
    const http::ReadEnd end = connection.read(request);
    guest->fresh = false;
    if (end == http::ReadEnd::Closed) break;
    if (end != http::ReadEnd::Ok) {
      refuse(end, visit);
      break;
    }
    more = serve_one(request, visit);
    if (more && !connection.behind()) return lobby_.wait(guest);
  }
  lobby_.leave(guest);
}

// False: the connection ends with this answer.
bool Server::serve_one(http::Request& request, Visit& visit) {
  Protocol* const protocol = protocol_for(request.target);
  if (!protocol) {
    protocols_.front()->refuse(
        404, request.method + " " + request.target.substr(0, 200) + " is not served here", visit);
    return false;
  }
  const auto written = visit.connection.stream().bytes_written();
  // The last guard: whatever goes wrong with one request ends its connection, never the front. Who has been
  // told nothing yet is told so.
  try {
    visit.keep_alive = request.keep_alive && !winding_, visit.winding_down = winding_;
    // An answer that did not say so is not its connection's last: the next request may be on its way.
    const bool stays = protocol->serve(request, visit) && visit.keep_alive;
    if (stays) return true;
    return end_answered(*protocol, visit, written), false;
  } catch (const std::exception& problem) {
    core_.log().line(log::Level::Error, "request failed",
                     {{"request_id", visit.request_id}, {"what", problem.what()}});
    visit.keep_alive = false;
    if (visit.connection.stream().bytes_written() == written)
      protocol->refuse(500, "this front failed with the request", visit);
    return false;
  }
}

// Before a connection ends with this request: it has had an answer, or its client has gone.
void Server::end_answered(Protocol& protocol, Visit& visit, std::size_t written_before) {
  const auto& stream = visit.connection.stream();
  const CloseView view{stream.bytes_written() == written_before, stream.peer_left()};
  if (core_.permissions().note(may_close(view), "close", visit.request_id) == Denial::None) return;
  core_.permissions().violated(Violation::ClosedUnanswered, visit.request_id);
  visit.keep_alive = false;
  protocol.refuse(500, "this front failed with the request", visit);
}

void Server::refuse(http::ReadEnd end, Visit& visit) {
  Protocol& first = *protocols_.front();
  visit.keep_alive = false;  // what follows on this connection is not read
  switch (end) {
    case http::ReadEnd::HeaderTooLarge: return first.refuse(431, "the request's head is too large", visit);
    case http::ReadEnd::BodyTooLarge:
      return first.refuse(
          413, "the body is larger than " + std::to_string(core_.settings().http.body_bytes) + " bytes",
          visit);
    case http::ReadEnd::BodyLengthUnclear:
      return first.refuse(400, "send one Content-Length, or Transfer-Encoding: chunked and nothing else",
                          visit);
    case http::ReadEnd::TimedOut: return first.refuse(408, "the request did not come whole in time", visit);
    case http::ReadEnd::NoRoom:
      return first.refuse(503, "too much is being asked at once; come again", visit);
    default: return first.refuse(400, "this is no HTTP/1.1 request", visit);
  }
}

bool Server::stop(Instant deadline, const std::function<void()>& meanwhile) {
  if (stopping_.exchange(true)) return true;
  winding_ = true;
  const auto pause = [&] { meanwhile ? meanwhile() : void(usleep(2000)); };
  if (for_clients_) core_.refuse_new();
  for (auto& l : listeners_) l->stop();
  for (auto& t : acceptors_) t.join();
  // Closed, not only left unheard: who still connects is refused at once and can go elsewhere.
  listeners_.clear();
  lobby_.close();
  const auto left = [&] { return in_work() + (for_clients_ ? core_.counts().open : 0); };
  while (left() > 0 && net::clock_now() < deadline) pause();
  const bool clean = left() == 0;
  if (for_clients_) core_.abort_all();  // streams that only listen end with it too
  const Instant last = net::clock_now() + Span::millis(3000);
  while (open_ > 0 && net::clock_now() < last) pause();
  // The process may end next: who has been answered has a moment to read it.
  lobby_.wait_empty(net::clock_now() + Span::millis(1000));
  return clean;
}

}  // namespace calicograde::front
