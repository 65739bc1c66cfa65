#include "soak/client.hpp"

#include <unistd.h>

#include "net/clock.hpp"
#include "soak/half_requests.hpp"

namespace calicograde::soak {
namespace {

using net::clock_now;

constexpr Span connect_within = Span::millis(1500);
constexpr Span waits_longer = Span::millis(3000);  // than its own deadline, to tell late from lost
constexpr Span stream_within = Span::millis(12000);
constexpr int requests_in_storm = 5;
constexpr std::string_view event_end = "\n\n";

}  // namespace

struct SoakClient::Link {
  http::ClientConnection connection;
  int generation = 0;
  Instant connected;
  unsigned short port = 0;
};

SoakClient::SoakClient(std::size_t number, std::size_t node, NodeProcess& process, const Schedule& schedule,
                       const RunSettings& settings, Instant began, Journal& journal)
    : node_(node),
      process_(process),
      schedule_(schedule),
      settings_(settings),
      began_(began),
      journal_(journal),
      random_(schedule.seed * 7919 + number),
      thread_([this] { run(); }) {}

SoakClient::~SoakClient() {
  stopping_ = true;
  thread_.join();
}

bool SoakClient::in(Trouble trouble) const { return schedule_.holds(trouble, node_, clock_now() - began_); }

bool SoakClient::chance(double share) { return std::uniform_real_distribution<double>()(random_) < share; }

std::string SoakClient::next_id() {
  char text[24];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random_()));
  return text;
}

void SoakClient::run() {
  while (!stopping_) {
    if (in(Trouble::ClientStops) && chance(0.1)) stop_in_mid_request();
    else if (connect()) ask();
    else usleep(20000);
    if (at_once_ > 0) --at_once_;
    else usleep(static_cast<useconds_t>(random_() % 60000));
  }
}

bool SoakClient::connect() {
  if (link_ && link_->generation == process_.generation() && !link_->connection.stream().stale()) return true;
  link_.reset();
  const int generation = process_.generation();
  const auto address = process_.address();
  if (!address) return false;
  auto [how, stream] = net::Stream::connect(*address, clock_now() + connect_within);
  if (how != net::ConnectEnd::Connected) return false;
  const unsigned short port = stream.local_port();
  link_ =
      std::make_unique<Link>(Link{http::ClientConnection(std::move(stream)), generation, clock_now(), port});
  return true;
}

void SoakClient::ask() {
  const std::size_t of = random_() % std::size(class_names);
  const auto longest = static_cast<int>(settings_.give_up.as_millis());
  const int timeout = longest * 2 / 5 + static_cast<int>(random_() % static_cast<unsigned>(longest * 3 / 5));
  RequestSent sent{next_id(), node_, settings_.effects[of], {}, {}};
  http::Headers headers{{"Host", "x"},
                        {"Request-Id", sent.id},
                        {"Request-Class", class_names[of]},
                        {"Affinity-Key", std::to_string(random_() % 40)},
                        {"Request-Timeout-Ms", std::to_string(timeout)}};
  if (at_once_ > 0) headers.emplace_back("Client-Retry", "1");
  const bool fresh = link_->connection.uses() == 0;
  const std::string body = "{\"model\":\"" + std::string(1 + random_() % 4000, 'x') + "\"}";
  if (!link_->connection.ask("POST", "/v1/chat/completions", headers, body, clock_now() + connect_within))
    return link_.reset();  // its last byte was not written
  sent.at = clock_now(), sent.deadline = sent.at + Span::millis(timeout);
  journal_.add(sent);
  if (in(Trouble::ClientLeaves) && chance(0.4)) return leave(sent);
  const RequestEnded ended = read_answer(sent, fresh);
  journal_.add(ended);
  if (ended.kind != AnswerKind::Stream && ended.kind != AnswerKind::Refused &&
      ended.kind != AnswerKind::Failed)
    link_.reset();
  const bool answered = ended.kind == AnswerKind::Stream;
  if (in(Trouble::RetryStorm) && !answered && at_once_ == 0) at_once_ = requests_in_storm;
}

void SoakClient::leave(const RequestSent& sent) {
  usleep(static_cast<useconds_t>(random_() % 120000));
  link_.reset();
  journal_.add(RequestEnded{sent.id, clock_now(), AnswerKind::ClientLeft, {}});
}

RequestEnded SoakClient::read_answer(const RequestSent& sent, bool fresh) {
  RequestEnded ended;
  ended.id = sent.id;
  ended.connected = link_->connected, ended.port = link_->port;
  ended.bytes_written = link_->connection.stream().bytes_written();
  const auto as = [&](AnswerKind kind) {
    ended.kind = kind, ended.at = clock_now();
    return ended;
  };
  auto& connection = link_->connection;
  http::Response head;
  switch (connection.read_head(head, sent.deadline + waits_longer)) {
    case http::BodyEnd::Done: break;
    case http::BodyEnd::TimedOut: return as(AnswerKind::Silence);
    default: {
      const bool may_be_unread = !fresh || in(Trouble::DescriptorsUsedUp);
      return as(may_be_unread ? AnswerKind::NotReceived : AnswerKind::NoAnswer);
    }
  }
  const Instant until = clock_now() + stream_within;
  for (;;) {
    const http::BodyEnd end = connection.read_body(ended.body, until);
    note_events(ended);
    if (end == http::BodyEnd::Done) break;
    if (end == http::BodyEnd::TimedOut) return as(AnswerKind::Silence);
    if (end != http::BodyEnd::More)
      return as(head.status == 200 ? AnswerKind::CutStream : AnswerKind::NoAnswer);
  }
  if (!connection.reusable()) link_->generation = -1;  // opened anew next time
  if (head.status == 200) return as(AnswerKind::Stream);
  return as(head.status == 429 || head.status == 503 ? AnswerKind::Refused : AnswerKind::Failed);
}

// The whole events that have come by now.
void SoakClient::note_events(RequestEnded& ended) {
  const Instant now = clock_now();
  std::size_t whole = 0;
  for (std::size_t at = ended.body.find(event_end); at != std::string::npos;
       at = ended.body.find(event_end, at + event_end.size()))
    ++whole;
  while (ended.events_read.size() < whole) ended.events_read.push_back(now);
}

void SoakClient::stop_in_mid_request() {
  link_.reset();
  if (!connect()) return;
  auto& stream = link_->connection.stream();
  boost::system::error_code failed;
  stream.set_deadline(clock_now() + connect_within);
  stream.write_some(boost::asio::buffer(half_request(random_(), next_id())), failed);
  const Instant at = clock_now();
  if (!failed) {
    while (!stopping_ && !stream.stale() && clock_now() - at < half_request_stays) usleep(20000);
    const bool ended = stream.stale();
    if (ended || !stopping_)
      journal_.add(HalfRequest{node_, at, ended ? std::optional(clock_now()) : std::nullopt});
  }
  link_.reset();
}

}  // namespace calicograde::soak
