#pragma once

#include <poll.h>

#include <boost/asio/buffer.hpp>
#include <boost/system/error_code.hpp>
#include <boost/system/system_error.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/time.hpp"

namespace calicograde::net {

// An owned descriptor; closed when it goes.
class Fd {
 public:
  Fd() = default;
  explicit Fd(int fd) : fd_(fd) {}
  Fd(Fd&& o) noexcept : fd_(std::exchange(o.fd_, -1)) {}
  Fd& operator=(Fd&& o) noexcept {
    if (this != &o) reset(), fd_ = std::exchange(o.fd_, -1);
    return *this;
  }
  ~Fd() { reset(); }
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  void reset();

 private:
  int fd_ = -1;
};

// An address to connect to: IPv4 or IPv6 literal and port. Host names are looked up elsewhere, since the
// look-up wants a large stack (see resolve).
struct Address {
  std::string host;
  unsigned short port = 0;
  auto operator<=>(const Address&) const = default;
};
// "127.0.0.1:80", "[::1]:80", "name:80", "unix:/path" (host is all of it, the port 0); none where the port is
// missing or out of range, or a path too long.
std::optional<Address> parse_address(std::string_view text);
bool is_local_path(const Address& address);  // a unix socket
bool is_loopback(const Address& address);    // or a unix socket
std::string text_of(const Address& address);
bool is_literal(const Address& address);  // whether it is an IP address, or a unix socket
// The first address of a host name as a literal; none if it has none. Needs a stack of 256 KiB or more.
std::optional<Address> resolve(const Address& address);

// Unreachable: the network between says so, or a route is missing; Local: this machine lacks a descriptor,
// memory, buffers or a local port (net/local_error.hpp), and nothing was sent.
enum class ConnectEnd { Connected, Refused, TimedOut, Unreachable, Local };

// A blocking byte stream whose every wait ends at a deadline. Meets Boost.Beast's SyncReadStream and
// SyncWriteStream. Errors: asio's timed_out, eof, connection_reset, operation_aborted (the watched one left).
// Calls that are interrupted or lack memory are made again until the deadline.
class Stream {
 public:
  Stream() = default;
  explicit Stream(Fd fd);
  static std::pair<ConnectEnd, Stream> connect(const Address& to, Instant deadline);

  void set_deadline(Instant deadline) { deadline_ = deadline; }
  Instant deadline() const { return deadline_; }
  // While set, a read ends with operation_aborted once the peer behind that descriptor has hung up, or once
  // the wake is raised; -1 = neither.
  void watch(int peer, int wake = -1) { watched_ = peer, wake_ = wake; }
  int fd() const { return fd_.get(); }
  bool open() const { return static_cast<bool>(fd_); }
  std::string peer() const;           // the other side's IP address; empty of a unix socket
  unsigned short local_port() const;  // 0 of a unix socket
  void close() { fd_.reset(); }
  // Ends it at once with a reset, so that the other side learns of it without an orderly end.
  void reset_hard();
  // From any thread that keeps the stream alive: wakes whoever waits on it.
  void shut() const;
  // Ends the sending alone: the other side reads to the end of what was written.
  void end_sending() const;
  // Whether the other side closed an idle connection or sent what nobody asked for, or does so before
  // `until`.
  bool stale(Instant until = {}) const;
  // Ended by the peer or broken, with nothing left to read.
  bool ended() const;
  // A read has failed: the connection was reset, or broke, and did not end in order.
  bool broken() const { return broken_; }
  // Whether the other side has closed its end; what it sent before may still be unread.
  bool peer_left() const;
  // What has come and fits, without a wait: 0 where nothing has.
  std::size_t read_now(void* to, std::size_t most);
  // Whether the other side's machine has acknowledged all that was written; none where the kernel can't tell.
  std::optional<bool> acknowledged() const;
  // How long ago the last byte from the other side came to this machine; none where the kernel can't tell.
  std::optional<Span> received_ago() const;
  std::size_t bytes_read() const { return bytes_read_; }
  std::size_t bytes_written() const { return bytes_written_; }

  template <class Buffers>
  std::size_t read_some(const Buffers& buffers, boost::system::error_code& ec) {
    for (auto it = boost::asio::buffer_sequence_begin(buffers);
         it != boost::asio::buffer_sequence_end(buffers); ++it)
      if (const boost::asio::mutable_buffer b = *it; b.size() > 0) return read(b.data(), b.size(), ec);
    ec = {};
    return 0;
  }
  template <class Buffers>
  std::size_t read_some(const Buffers& buffers) {
    boost::system::error_code ec;
    const auto n = read_some(buffers, ec);
    if (ec) throw boost::system::system_error(ec);
    return n;
  }
  template <class Buffers>
  std::size_t write_some(const Buffers& buffers, boost::system::error_code& ec) {
    for (auto it = boost::asio::buffer_sequence_begin(buffers);
         it != boost::asio::buffer_sequence_end(buffers); ++it)
      if (const boost::asio::const_buffer b = *it; b.size() > 0) return write(b.data(), b.size(), ec);
    ec = {};
    return 0;
  }
  template <class Buffers>
  std::size_t write_some(const Buffers& buffers) {
    boost::system::error_code ec;
    const auto n = write_some(buffers, ec);
    if (ec) throw boost::system::system_error(ec);
    return n;
  }

 private:
  std::size_t read(void* to, std::size_t most, boost::system::error_code& ec);
  std::size_t write(const void* from, std::size_t size, boost::system::error_code& ec);
  Fd fd_;
  Instant deadline_;
  int watched_ = -1, wake_ = -1;
  std::size_t bytes_read_ = 0, bytes_written_ = 0;
  bool broken_ = false;
};

// A descriptor held in reserve, so that what must go on can go on where all others are taken. Not
// thread-safe.
class SpareDescriptor {
 public:
  SpareDescriptor() { refill(); }
  // It may be used for something else now; false where there was none.
  bool release();
  void refill();  // where it was released and one can be had

 private:
  Fd fd_;
};

// A flag that one thread raises and another polls for (eventfd).
class Wake {
 public:
  Wake();
  bool ok() const { return static_cast<bool>(fd_); }
  void raise() const;
  void clear() const;
  int fd() const { return fd_.get(); }

 private:
  Fd fd_;
};

// A listening socket on an address; port 0 lets the kernel choose. Throws std::runtime_error with the address
// and the cause; a LocalError where trying again may help.
class Listener {
 public:
  explicit Listener(const Address& at, int backlog = 4096);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  unsigned short port() const { return port_; }
  // The next connection, or none at the deadline. After stop() those that the kernel had accepted before are
  // still given out, then none: a client may have written its request to them already. Where descriptors have
  // run out, and not for a moment only, a waiting one is accepted on a spare descriptor, given `refusal`
  // whole, and closed.
  std::optional<Stream> accept(Instant deadline, std::string_view refusal = {});
  void stop();

 private:
  void refuse_on_spare(std::string_view refusal);
  Fd fd_;
  Wake wake_;
  SpareDescriptor spare_;
  int short_of_descriptors_ = 0;  // tries in a row
  unsigned short port_ = 0;
  std::string path_;  // of a unix socket, removed with it
};

// Whether the peer behind a connected descriptor has closed its end; false where the kernel can't tell for
// now.
bool hung_up(int fd);

// Whether so much from the peer lies unread that this machine may take no more: an end that the peer has
// given would come behind it, and not be seen.
bool may_hide_hang_up(int fd);

// Waits until one of the descriptors is ready, or the deadline is over: how many are. A wait that is
// interrupted, or that fails for a lack of memory, goes on.
int wait_ready(pollfd* descriptors, std::size_t count, Instant deadline);

enum class Waited { Woken, PeerLeft, TimedOut };
// Until the flag is raised, the peer hangs up, or the deadline.
Waited wait_for(const Wake& wake, int peer, Instant deadline);

// Lifts the soft limit of descriptors to the hard one; returns what it is now.
std::size_t lift_descriptor_limit();

}  // namespace calicograde::net
