#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "front/core.hpp"
#include "front/in_work.hpp"
#include "front/lobby.hpp"
#include "front/workers.hpp"
#include "http/http.hpp"
#include "net/socket.hpp"

namespace calicograde::front {

// One client's connection, served by a thread of its own while something is asked.
struct Visit {
  http::ServerConnection& connection;
  std::string request_id;
  bool keep_alive = true;     // false: the answer should say that the connection ends with it
  bool winding_down = false;  // this front has been told to end
};

// A client protocol: answers one request. False ends the connection.
class Protocol {
 public:
  virtual ~Protocol() = default;
  virtual bool takes(const std::string& path) const = 0;
  // It may move the request's parts out.
  virtual bool serve(http::Request& request, Visit& visit) = 0;
  // What it has in work, beside the core's inferences.
  virtual std::size_t open() const { return 0; }
  // What is no HTTP, too large or too slow; and paths that nobody takes.
  virtual void refuse(int status, const std::string& what, Visit& visit) = 0;
  // The whole answer to a connection that is one too many.
  virtual std::string_view too_many() const;
};

// Listeners and connections: accepts, limits, reads requests and hands them to the protocol that takes their
// path.
class Server {
 public:
  Server(Core& core, std::vector<std::unique_ptr<Protocol>> protocols);
  // For operators: listens there alone, and its end ends nothing else.
  Server(Core& core, std::vector<std::unique_ptr<Protocol>> protocols, net::Address listen,
         std::size_t connections);
  ~Server();
  void start();  // throws std::runtime_error if an address can't be listened on
  std::vector<net::Address> addresses() const;
  // From now on each answer is its connection's last; everything is taken as before.
  void wind_down() { winding_ = true; }
  // No new work; what runs may end until the deadline, then is errored. True if nothing had to be errored.
  // `meanwhile` is called again and again while it waits, and should take some milliseconds.
  bool stop(Instant deadline, const std::function<void()>& meanwhile = {});
  std::size_t connections() const { return open_; }
  std::size_t in_work() const;  // of its protocols, beside the core's inferences

 private:
  void accept(net::Listener& listener);
  void admit(net::Stream stream);
  void begin(const Lobby::Shared& guest);
  void serve(const Lobby::Shared& guest);
  void end_answered(Protocol& protocol, Visit& visit, std::size_t written_before);
  bool serve_one(http::Request& request, Visit& visit);
  void refuse(http::ReadEnd end, Visit& visit);
  void turn_away(const Lobby::Shared& guest);
  Protocol* protocol_for(const std::string& target) const;

  Core& core_;
  const bool for_clients_ = true;
  const std::vector<net::Address> listen_;
  const std::size_t most_;
  std::vector<std::unique_ptr<Protocol>> protocols_;
  std::vector<std::unique_ptr<net::Listener>> listeners_;
  std::vector<net::Address> addresses_;
  std::vector<std::thread> acceptors_;
  std::atomic<bool> stopping_ = false;
  std::atomic<std::size_t> open_ = 0;
  std::atomic<std::uint64_t> requests_ = 0;
  std::string stamp_;
  std::atomic<bool> winding_ = false;
  // Before the threads that come back to it.
  Lobby lobby_;
  // One for each connection on which something is asked; kept for the next request of whichever, but not for
  // long, since each thread costs a node that is held back to its share.
  Workers threads_{most_, core_.settings().stack, 0, Span::millis(200)};
};

}  // namespace calicograde::front
