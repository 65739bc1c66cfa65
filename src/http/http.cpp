#include "http/http.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>

#include "net/clock.hpp"

namespace calicograde::http {
namespace beast = boost::beast;
namespace bh = boost::beast::http;

namespace {

constexpr std::uint64_t largest_chunk = 16 << 20;      // of an answer: a claim above it is garbage
constexpr int most_provisional = 8;                    // 1xx answers before the one
constexpr std::size_t most_fields = 100;               // of a head
constexpr std::size_t answer_head_bytes = 32 << 10;    // of one answer
constexpr std::size_t answer_buffer_bytes = 64 << 10;  // read of an answer and not parsed yet
constexpr std::size_t read_step_bytes = 4096;
constexpr std::size_t one_write_bytes = 8192;   // up to which parts of a message are copied into one write
constexpr std::size_t parsed_field_bytes = 64;  // that a field takes beside its own bytes
constexpr std::size_t head_copies = 2;          // one parsed, or to be passed on; one being read or written

template <class Fields>
Headers take_headers(const Fields& fields) {
  Headers out;
  for (const auto& f : fields) out.emplace_back(std::string(f.name_string()), std::string(f.value()));
  return out;
}

std::string head_text(const Headers& headers) { return field_lines(headers) + "\r\n"; }

// What a request takes while it is read and in work.
std::size_t request_bytes(std::size_t head_bytes, const bh::request_header<>& head, std::size_t body_bytes) {
  const auto fields = static_cast<std::size_t>(std::distance(head.begin(), head.end()));
  return head_copies * head_bytes + fields * parsed_field_bytes + body_bytes;
}

std::string_view text_in(const beast::flat_buffer& buffer) {
  return {static_cast<const char*>(buffer.data().data()), buffer.size()};
}

// Reads until the whole head is in the buffer. Where it is too large, or has too many fields, the error is
// header_limit.
void read_whole_head(net::Stream& stream, beast::flat_buffer& buffer, std::size_t most_bytes,
                     boost::system::error_code& ec) {
  HeadScanner scanner(most_bytes, most_fields);
  for (ec = {};;) {
    const auto found = scanner.scan(text_in(buffer));
    if (found == HeadScanner::Found::Whole) return;
    if (found == HeadScanner::Found::TooLarge) return void(ec = bh::error::header_limit);
    const std::size_t size = stream.read_some(buffer.prepare(read_step_bytes), ec);
    if (ec) return;
    buffer.commit(size);
  }
}

// One number, and no list of the same one.
bool is_number(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

// Whether every receiver finds the same end of the body: one Content-Length, or Transfer-Encoding with
// `chunked` alone, or neither (RFC 9112, 6.1 and 6.3). Codings beside `chunked` can't be undone here.
bool body_length_is_clear(const bh::request_header<>& head) {
  const auto lengths = head.count(bh::field::content_length);
  const auto encodings = head.count(bh::field::transfer_encoding);
  if (lengths + encodings > 1) return false;
  if (lengths == 1) return is_number(head[bh::field::content_length]);
  if (encodings == 0) return true;
  constexpr unsigned first_version_with_chunks = 11;
  return head.version() >= first_version_with_chunks &&
         beast::iequals(head[bh::field::transfer_encoding], "chunked");
}

bool write_every(net::Stream& s, std::string_view bytes) {
  while (!bytes.empty()) {
    boost::system::error_code ec;
    const auto n = s.write_some(boost::asio::buffer(bytes.data(), bytes.size()), ec);
    if (ec) return false;
    bytes.remove_prefix(n);
  }
  return true;
}

}  // namespace

std::string_view header(const Headers& headers, std::string_view name) {
  for (const auto& [n, v] : headers)
    if (beast::iequals(n, name)) return v;
  return {};
}

std::size_t header_count(const Headers& headers, std::string_view name) {
  return static_cast<std::size_t>(std::count_if(
      headers.begin(), headers.end(), [&](const auto& h) { return beast::iequals(h.first, name); }));
}

std::string field_lines(const Headers& headers) {
  std::string out;
  for (const auto& [name, value] : headers) out.append(name).append(": ").append(value).append("\r\n");
  return out;
}

const char* reason(int status) {
  if (status == 529) return "Overloaded";
  const auto text = bh::obsolete_reason(static_cast<bh::status>(status));
  return text.data();
}

HeadScanner::Found HeadScanner::scan(std::string_view bytes) {
  constexpr std::string_view end_of_head = "\r\n\r\n";
  for (; scanned_ < bytes.size(); ++scanned_) {
    if (scanned_ >= most_bytes_) return Found::TooLarge;
    if (bytes[scanned_] != '\n') continue;
    if (bytes.substr(0, scanned_ + 1).ends_with(end_of_head)) return Found::Whole;
    ++lines_;
    const std::size_t fields = lines_ - 1;  // the first line is none
    if (fields > most_fields_) return Found::TooLarge;
  }
  return Found::Unfinished;
}

struct ServerConnection::Parts {
  beast::flat_buffer buffer;
  Instant made = net::clock_now();
  bool first = true;  // nothing was read yet
  std::size_t dropped = 0;
  std::shared_ptr<void> ahead_room;  // for what was read ahead, as for bodies
  bool may_read_ahead(const Limits& limits) {
    if (!limits.room || ahead_room) return true;
    ahead_room = RequestRoom::take(limits.room, buffer.max_size());
    return ahead_room != nullptr;
  }
  // What a large head or body has left is freed: hundreds of connections may rest, or wait for their answers.
  void trim_buffer(std::size_t kept_bytes) {
    if (buffer.size() > read_step_bytes || buffer.capacity() <= read_step_bytes) return;
    buffer.shrink_to_fit();
    buffer.reserve(kept_bytes);
  }
  void give_back_ahead_room() {
    trim_buffer(0);
    if (buffer.size() <= read_step_bytes) ahead_room.reset();
  }
};

ServerConnection::ServerConnection(net::Stream stream, const Limits& limits)
    : stream_(std::move(stream)), limits_(limits), parts_(std::make_unique<Parts>()) {
  parts_->buffer.max_size(limits.header_bytes + 65536);
}
ServerConnection::~ServerConnection() = default;

ServerConnection::Client ServerConnection::look_at_client() {
  auto& buffer = parts_->buffer;
  for (;;) {
    if (stream_.peer_left()) return Client::Gone;
    if (!net::may_hide_hang_up(stream_.fd())) return Client::There;
    if (buffer.size() + read_step_bytes > buffer.max_size() || !parts_->may_read_ahead(limits_))
      return Client::Unseen;
    const auto room = buffer.prepare(read_step_bytes);
    const std::size_t taken = stream_.read_now(room.data(), room.size());
    if (taken == 0) return Client::Unseen;
    buffer.commit(taken);
  }
}

bool ServerConnection::behind() const { return parts_->buffer.size() > 0; }

Instant ServerConnection::by_whole(Instant usual, Instant from, bool holds) const {
  return holds && limits_.whole > Span{} ? std::min(usual, from + limits_.whole) : usual;
}

Instant ServerConnection::idle_until() const {
  return by_whole(net::clock_now() + limits_.idle, parts_->made, parts_->first);
}

ReadEnd ServerConnection::read(Request& out) {
  bh::request_parser<bh::string_body> parser;
  parser.header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
  parser.body_limit(limits_.body_bytes);
  boost::system::error_code ec;
  stream_.watch(-1);
  if (parts_->buffer.size() == 0) {
    stream_.set_deadline(idle_until());
    const auto n = stream_.read_some(parts_->buffer.prepare(read_step_bytes), ec);
    if (ec) return ReadEnd::Closed;
    parts_->buffer.commit(n);
  }
  const Instant from = std::exchange(parts_->first, false) ? parts_->made : net::clock_now();
  stream_.set_deadline(by_whole(net::clock_now() + limits_.head, from, true));
  const auto end_of = [&] {
    if (ec == boost::asio::error::timed_out) return ReadEnd::TimedOut;
    if (ec == bh::error::header_limit || ec == bh::error::buffer_overflow) return ReadEnd::HeaderTooLarge;
    if (ec == bh::error::body_limit) return ReadEnd::BodyTooLarge;
    if (ec == bh::error::end_of_stream || ec == boost::asio::error::eof ||
        ec == boost::asio::error::connection_reset || ec == bh::error::partial_message)
      return ReadEnd::Closed;
    if (ec == bh::error::bad_content_length || ec == bh::error::bad_transfer_encoding)
      return ReadEnd::BodyLengthUnclear;
    return ReadEnd::Malformed;
  };
  read_whole_head(stream_, parts_->buffer, limits_.header_bytes, ec);
  const std::size_t before_head = parts_->buffer.size();
  if (!ec) bh::read_header(stream_, parts_->buffer, parser, ec);
  if (ec) return end_of();
  const std::size_t head_bytes = before_head - parts_->buffer.size();
  parts_->trim_buffer(read_step_bytes);
  if (!body_length_is_clear(parser.get().base())) return ReadEnd::BodyLengthUnclear;
  // A body that is declared too large is told so before it is sent.
  if (const auto n = parser.content_length(); n && *n > limits_.body_bytes) return ReadEnd::BodyTooLarge;
  std::shared_ptr<void> room;
  const auto declared = parser.content_length();
  const bool without_body = !parser.chunked() && declared.value_or(0) == 0;
  // A short question, such as whether this server is ready, is answered however much is in work.
  const bool is_short = without_body && head_bytes <= read_step_bytes;
  if (limits_.room && !is_short) {
    const std::size_t bytes =
        declared ? static_cast<std::size_t>(*declared) : (parser.chunked() ? limits_.body_bytes : 0);
    room = RequestRoom::take(limits_.room, request_bytes(head_bytes, parser.get().base(), bytes));
    if (!room) return ReadEnd::NoRoom;
  }
  if (beast::iequals(parser.get()[bh::field::expect], "100-continue")) {
    stream_.set_deadline(net::clock_now() + limits_.write);
    if (!write_every(stream_, "HTTP/1.1 100 Continue\r\n\r\n")) return ReadEnd::Closed;
  }
  stream_.set_deadline(by_whole(net::clock_now() + limits_.body, from, true));
  if (!parser.is_done()) bh::read(stream_, parts_->buffer, parser, ec);
  if (ec) return end_of();
  parts_->give_back_ahead_room();
  out.received = net::clock_now() - stream_.received_ago().value_or(Span{});
  auto message = parser.release();
  out.method = std::string(message.method_string());
  out.target = std::string(message.target());
  out.headers = take_headers(message.base());
  out.keep_alive = message.keep_alive();
  out.body = std::move(message.body());
  out.room = std::move(room);
  return ReadEnd::Ok;
}

bool ServerConnection::write_all(std::string_view a, std::string_view b, std::string_view c) {
  stream_.set_deadline(net::clock_now() + limits_.write);
  std::string whole;
  whole.reserve(a.size() + b.size() + c.size());
  whole.append(a).append(b).append(c);
  return write_every(stream_, whole);
}

bool ServerConnection::respond(int status, const Headers& headers, std::string_view body, bool keep_alive) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reason(status) + "\r\n";
  head += "content-length: " + std::to_string(body.size()) + "\r\n";
  if (!keep_alive) head += "connection: close\r\n";
  return write_all(head, head_text(headers), body);
}

bool ServerConnection::begin_stream(int status, const Headers& headers, bool keep_alive) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reason(status) + "\r\n";
  if (!keep_alive) head += "connection: close\r\n";
  return write_all(head, "transfer-encoding: chunked\r\ncache-control: no-cache\r\n", head_text(headers));
}

bool ServerConnection::piece(std::string_view bytes) {
  if (bytes.empty()) return true;
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return write_all(size, bytes, "\r\n");
}

bool ServerConnection::end_stream() { return write_all("0\r\n\r\n"); }

void ServerConnection::end_answers() const { ::shutdown(stream_.fd(), SHUT_WR); }

bool ServerConnection::drop_some() {
  stream_.watch(-1);
  stream_.set_deadline(net::clock_now());
  char drop[4096];
  boost::system::error_code ec;
  for (int k = 0; k < 16 && !ec; ++k) parts_->dropped += stream_.read_some(boost::asio::buffer(drop), ec);
  return (!ec || ec == boost::asio::error::timed_out) && parts_->dropped < limits_.body_bytes;
}

struct ClientConnection::Parts {
  beast::flat_buffer buffer;
  std::optional<bh::response_parser<bh::buffer_body>> parser;
  bool whole = true;
  bool garbled = false;
  std::function<void(std::uint64_t, beast::string_view, boost::system::error_code&)> on_chunk =
      [this](std::uint64_t size, beast::string_view, boost::system::error_code& ec) {
        if (size > largest_chunk) ec = bh::error::body_limit;
      };
  void begin_answer() {
    parser.emplace();
    parser->header_limit(answer_head_bytes);
    parser->body_limit(boost::none);
    parser->on_chunk_header(on_chunk);
  }
  // Broken by the connection, or by what came on it.
  BodyEnd broken(const boost::system::error_code& ec) {
    const bool cut = ec == boost::asio::error::eof || ec == bh::error::end_of_stream ||
                     ec == bh::error::partial_message || ec.category() == boost::system::system_category();
    garbled = !cut;
    return BodyEnd::Broken;
  }
};

ClientConnection::ClientConnection(net::Stream stream)
    : stream_(std::move(stream)), parts_(std::make_unique<Parts>()) {
  parts_->buffer.max_size(answer_buffer_bytes);
}
ClientConnection::ClientConnection(ClientConnection&&) noexcept = default;
ClientConnection& ClientConnection::operator=(ClientConnection&&) noexcept = default;
ClientConnection::~ClientConnection() = default;

bool ClientConnection::ask(std::string_view method, std::string_view target, const Headers& headers,
                           std::string_view body, Instant deadline, std::string_view rest_of_head) {
  std::string text;
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  text += "content-length: " + std::to_string(body.size()) + "\r\n" + field_lines(headers);
  ++uses_, parts_->whole = false, last_used_ = net::clock_now();
  stream_.set_deadline(deadline);
  // Large parts are not copied for the sake of one write.
  for (const std::string_view part : {rest_of_head, body}) {
    if (part.size() <= one_write_bytes) {
      text.append(part);
      continue;
    }
    if (!write_every(stream_, text) || !write_every(stream_, part)) return false;
    text.clear();
  }
  return write_every(stream_, text);
}

BodyEnd ClientConnection::read_head(Response& out, Instant deadline) {
  stream_.set_deadline(deadline);
  for (int k = 0;; ++k) {
    parts_->garbled = false;
    boost::system::error_code ec;
    read_whole_head(stream_, parts_->buffer, answer_head_bytes, ec);
    if (ec == boost::asio::error::timed_out) return BodyEnd::TimedOut;
    if (ec == boost::asio::error::operation_aborted) return BodyEnd::Aborted;
    parts_->begin_answer();
    if (!ec) bh::read_header(stream_, parts_->buffer, *parts_->parser, ec);
    if (ec) return parts_->broken(ec);
    if (parts_->parser->get().result_int() / 100 != 1) break;
    if (k >= most_provisional) return parts_->garbled = true, BodyEnd::Broken;
  }
  out.status = static_cast<int>(parts_->parser->get().result_int());
  out.headers = take_headers(parts_->parser->get().base());
  if (parts_->parser->is_done()) parts_->whole = true;
  return BodyEnd::Done;
}

BodyEnd ClientConnection::read_body(std::string& out, Instant deadline) {
  auto& p = *parts_->parser;
  if (p.is_done()) return parts_->whole = true, BodyEnd::Done;
  stream_.set_deadline(deadline);
  char piece[4096];
  p.get().body().data = piece;
  p.get().body().size = sizeof piece;
  p.get().body().more = true;
  boost::system::error_code ec;
  bh::read_some(stream_, parts_->buffer, p, ec);
  if (ec == bh::error::need_buffer) ec = {};
  out.append(piece, sizeof piece - p.get().body().size);
  if (ec == boost::asio::error::timed_out) return BodyEnd::TimedOut;
  if (ec == boost::asio::error::operation_aborted) return BodyEnd::Aborted;
  if (ec) return parts_->broken(ec);
  if (!p.is_done()) return BodyEnd::More;
  return parts_->whole = true, BodyEnd::Done;
}

BodyEnd ClientConnection::read_whole(std::string& out, Instant deadline, std::size_t most) {
  for (;;) {
    const BodyEnd end = read_body(out, deadline);
    if (out.size() > most) return BodyEnd::Broken;
    if (end != BodyEnd::More) return end;
  }
}

bool ClientConnection::exchange(std::string_view method, std::string_view target, const Headers& headers,
                                std::string_view body, Response& head, std::string& answer, Instant deadline,
                                std::size_t most) {
  return ask(method, target, headers, body, deadline) && read_head(head, deadline) == BodyEnd::Done &&
         read_whole(answer, deadline, most) == BodyEnd::Done;
}

bool ClientConnection::garbled() const { return parts_->garbled; }

bool ClientConnection::reusable() const {
  return parts_->whole && parts_->buffer.size() == 0 &&
         (!parts_->parser || parts_->parser->get().keep_alive()) && !stream_.stale();
}

std::size_t whole_events(std::string_view bytes) {
  for (std::size_t at = bytes.size(); at > 1; --at) {
    if (bytes[at - 1] != '\n') continue;
    if (bytes[at - 2] == '\n') return at;
    if (at > 2 && bytes[at - 2] == '\r' && bytes[at - 3] == '\n') return at;
  }
  return 0;
}

bool EventReader::feed(std::string_view bytes, std::vector<ServerEvent>& out) {
  for (const char c : bytes) {
    if (c != '\n') {
      line_ += c;
      if (line_.size() + now_.data.size() > most_) return false;
      continue;
    }
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    if (line_.empty()) {
      if (any_) out.push_back(std::exchange(now_, {}));
      any_ = false;
      continue;
    }
    const auto colon = line_.find(':');
    const std::string_view name = std::string_view(line_).substr(0, colon);
    std::string_view value =
        colon == std::string::npos ? std::string_view{} : std::string_view(line_).substr(colon + 1);
    if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    if (name == "event") now_.event = value, any_ = true;
    if (name == "id") now_.id = value;
    if (name == "data") {
      if (!now_.data.empty()) now_.data += '\n';
      now_.data += value, any_ = true;
    }
    line_.clear();
  }
  return true;
}

std::string event_text(std::string_view event, std::string_view data) {
  std::string out;
  if (!event.empty()) out.append("event: ").append(event).append("\n");
  return out.append("data: ").append(data).append("\n\n");
}

}  // namespace calicograde::http
