#include "soak/half_requests.hpp"

#include "net/clock.hpp"

namespace calicograde::soak {
namespace {

using net::clock_now;

constexpr std::size_t clients_in_crowd = 60;
constexpr Span connect_within = Span::millis(50);

}  // namespace

std::string half_request(std::size_t form, const std::string& id) {
  const std::string head =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\nRequest-Class: first\r\n";
  switch (form % 4) {
    case 0: return "POST /v1/ch";
    case 1: return head;
    case 2: return head + "Content-Length: 100\r\n\r\nhalf";
    default: return head + "Transfer-Encoding: chunked\r\n\r\n10\r\nhalf";
  }
}

void HalfRequests::begin(const net::Address& address) {
  for (std::size_t k = 0; k < clients_in_crowd; ++k) {
    auto [how, stream] = net::Stream::connect(address, clock_now() + connect_within);
    if (how != net::ConnectEnd::Connected) continue;
    boost::system::error_code failed;
    stream.set_deadline(clock_now() + connect_within);
    stream.write_some(boost::asio::buffer(half_request(k, "half")), failed);
    if (!failed) clients_.push_back({std::move(stream), clock_now()});
  }
}

void HalfRequests::look() {
  const Instant now = clock_now();
  std::erase_if(clients_, [&](const Client& client) {
    const bool ended = client.stream.stale();  // the node has answered, or ended the connection
    if (!ended && now - client.at < half_request_stays) return false;
    journal_.add(HalfRequest{node_, client.at, ended ? std::optional(now) : std::nullopt});
    return true;
  });
}

}  // namespace calicograde::soak
