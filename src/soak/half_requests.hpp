#pragma once

#include <cstddef>
#include <vector>

#include "net/socket.hpp"
#include "soak/journal.hpp"

// A crowd of clients of one node that stop in the middle of a request and stay. Each is owed an answer or the
// end of its connection. For one thread.
namespace calicograde::soak {

class HalfRequests {
 public:
  HalfRequests(std::size_t node, Journal& journal) : node_(node), journal_(journal) {}
  // Opens the connections and writes half a request on each, in several forms.
  void begin(const net::Address& address);
  // Looks which have ended, and lets those go that were not ended for long. To be called now and then.
  void look();
  bool empty() const { return clients_.empty(); }

 private:
  struct Client {
    net::Stream stream;
    Instant at;
  };
  const std::size_t node_;
  Journal& journal_;
  std::vector<Client> clients_;
};

// What is written on such a connection; forms count up from 0 and repeat.
std::string half_request(std::size_t form, const std::string& id);

// How long such a client stays at most.
constexpr Span half_request_stays = Span::millis(4500);

}  // namespace calicograde::soak
