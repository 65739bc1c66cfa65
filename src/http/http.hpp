#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/socket.hpp"

// HTTP/1.1 (RFC 9112) over the project's own blocking stream, with Boost.Beast's parsers and serializers.
namespace calicograde::http {

using Headers = std::vector<std::pair<std::string, std::string>>;
// The first value of a header, its name in any case; empty if absent.
std::string_view header(const Headers& headers, std::string_view name);
std::size_t header_count(const Headers& headers, std::string_view name);  // how often it stands there

// The lines of these fields, each with its end.
std::string field_lines(const Headers& headers);

// Room for requests, heads and bodies, shared by all connections of a server; what is taken is given back
// when the last holder lets go. Thread-safe.
class RequestRoom {
 public:
  explicit RequestRoom(std::size_t most_bytes) : most_(most_bytes) {}
  // Null where so much is not free.
  static std::shared_ptr<void> take(const std::shared_ptr<RequestRoom>& room, std::size_t bytes) {
    if (room->used_.fetch_add(bytes) + bytes > room->most_) {
      room->used_ -= bytes;
      ++room->refused_;
      return nullptr;
    }
    return {room.get(), [room, bytes](void*) { room->used_ -= bytes; }};
  }
  std::size_t used() const { return used_; }
  std::size_t refused() const { return refused_; }  // how often room was not free, so far

 private:
  const std::size_t most_;
  std::atomic<std::size_t> used_ = 0, refused_ = 0;
};

struct Request {
  std::string method, target;
  Headers headers;
  std::string body;
  bool keep_alive = true;
  std::shared_ptr<void> room = {};  // of its head and body, where the server's is bounded
  Instant received = {};  // its last byte, by this machine's kernel, where it may have lain for a while
};

// Finds the end of a message's head in what has come so far, before anything of it is parsed: what a parser
// keeps of a field is many times larger than the shortest field.
class HeadScanner {
 public:
  enum class Found { Unfinished, Whole, TooLarge };
  HeadScanner(std::size_t most_bytes, std::size_t most_fields)
      : most_bytes_(most_bytes), most_fields_(most_fields) {}
  // `bytes`: all that has come of the message, those of earlier calls included.
  Found scan(std::string_view bytes);

 private:
  const std::size_t most_bytes_, most_fields_;
  std::size_t scanned_ = 0, lines_ = 0;
};

struct Limits {
  std::size_t header_bytes = 16 << 10, body_bytes = 4 << 20;
  Span idle = Span::millis(60000), head = Span::millis(10000), body = Span::millis(30000),
       write = Span::millis(10000);
  // Where above zero: what a new connection brings first must be whole this long after it was made, and each
  // further request so long after its first byte.
  Span whole = {};
  std::shared_ptr<RequestRoom> room = {};  // null = no bound on all requests together
};

enum class ReadEnd {
  Ok,
  Closed,
  Malformed,
  BodyLengthUnclear,  // where its body ends can't be told: what follows may be another request, or not
  HeaderTooLarge,
  BodyTooLarge,
  TimedOut,
  NoRoom
};

// The serving end of one connection. Not shared between threads.
class ServerConnection {
 public:
  ServerConnection(net::Stream stream, const Limits& limits);
  ~ServerConnection();
  // The next request. Waits `idle` for its first byte, then `head` for the rest of its head, `body` for the
  // body. After anything but Ok the connection must be closed (an answer may be written first, save after
  // Closed).
  ReadEnd read(Request& out);
  // Until when the next request's first byte is waited for, counted from now.
  Instant idle_until() const;
  // Whether the client can still be seen to be there, once its request was read. Where it has sent so much
  // more that its end of the connection could hide behind that, some of it is read ahead first.
  enum class Client { There, Gone, Unseen };
  Client look_at_client();
  // Whether bytes behind the last request are here already.
  bool behind() const;
  // Each returns false when the client did not take it within `write`; the connection is of no use then.
  bool respond(int status, const Headers& headers, std::string_view body, bool keep_alive);
  bool begin_stream(int status, const Headers& headers, bool keep_alive = true);
  bool piece(std::string_view bytes);  // one chunk
  bool end_stream();
  // Says that no further answer comes.
  void end_answers() const;
  // Reads and drops what is here now. False once the client has ended the connection too, or sent more than a
  // body may have.
  bool drop_some();
  net::Stream& stream() { return stream_; }

 private:
  struct Parts;
  bool write_all(std::string_view a, std::string_view b = {}, std::string_view c = {});
  // An end that holds for the whole of a connection's first request, where `holds`.
  Instant by_whole(Instant usual, Instant from, bool holds) const;
  net::Stream stream_;
  Limits limits_;
  std::unique_ptr<Parts> parts_;
};

struct Response {
  int status = 0;
  Headers headers;
};

enum class BodyEnd { More, Done, Broken, TimedOut, Aborted };

// The asking end of one connection, kept alive between requests.
class ClientConnection {
 public:
  explicit ClientConnection(net::Stream stream);
  ClientConnection(ClientConnection&&) noexcept;
  ClientConnection& operator=(ClientConnection&&) noexcept;
  ~ClientConnection();
  // False when it could not be written whole by the deadline; stream().bytes_written() tells whether any was.
  // `rest_of_head` follows the headers: further field lines, and the empty line.
  bool ask(std::string_view method, std::string_view target, const Headers& headers, std::string_view body,
           Instant deadline, std::string_view rest_of_head = "\r\n");
  // The head of the answer, after any provisional ones (1xx). Done means it is here; Broken includes what is
  // no HTTP.
  BodyEnd read_head(Response& out, Instant deadline);
  // Appends what has come of the body. Done: that was the last of it.
  BodyEnd read_body(std::string& out, Instant deadline);
  // All of it, up to `most` bytes; larger is Broken.
  BodyEnd read_whole(std::string& out, Instant deadline, std::size_t most);
  // The three in one: false unless the whole answer is here by the deadline, whatever its status.
  bool exchange(std::string_view method, std::string_view target, const Headers& headers,
                std::string_view body, Response& head, std::string& answer, Instant deadline,
                std::size_t most);
  bool garbled() const;   // what was Broken was so by what came, not by the connection's end
  bool reusable() const;  // the last answer was read whole and the peer keeps the connection open
  std::size_t uses() const { return uses_; }
  Instant last_used() const { return last_used_; }  // when it was asked last
  net::Stream& stream() { return stream_; }
  const net::Stream& stream() const { return stream_; }
  bool open() const { return stream_.open(); }

 private:
  struct Parts;
  net::Stream stream_;
  std::unique_ptr<Parts> parts_;
  std::size_t uses_ = 0;
  Instant last_used_;
};

// How much of an event stream's bytes are whole events: up to and with its last empty line.
std::size_t whole_events(std::string_view bytes);
// Server-sent events (WHATWG HTML, 9.2), read piece by piece.
struct ServerEvent {
  std::string event, data, id;
};
class EventReader {
 public:
  explicit EventReader(std::size_t most_bytes = 1 << 20) : most_(most_bytes) {}
  // False when a line is longer than allowed.
  bool feed(std::string_view bytes, std::vector<ServerEvent>& out);

 private:
  std::size_t most_;
  std::string line_;
  ServerEvent now_;
  bool any_ = false;
};
std::string event_text(std::string_view event, std::string_view data);

const char* reason(int status);

}  // namespace calicograde::http
