#include "front/answering.hpp"

#include "front/hangups.hpp"
#include "net/clock.hpp"

namespace calicograde::front {

using net::clock_now;
using How = AnswerEnd::How;

namespace {

// A whole answer still has to be written when it is here.
constexpr Span write_margin = Span::millis(10);
constexpr Span look_every = Span::millis(1000);

AnswerEnd end_of(How how) {
  AnswerEnd out;
  out.how = how;
  return out;
}

}  // namespace

void Answering::stop() {
  stopped_ = true;
  const std::lock_guard lock(mutex_);
  if (ticket_) ticket_->poke();
}

AnswerEnd Answering::run(Asked asked, const Terms& terms, Reader& reader) {
  // A request may have stood behind others, or its client have gone right after its last byte: nothing is
  // begun for who has left.
  if (terms.client) {
    using Client = http::ServerConnection::Client;
    const Client client = terms.client->look_at_client();
    if (client == Client::Gone) return end_of(How::Left);
    // It could have left as well: what it sent too much of is refused, and nothing was done for it.
    if (client == Client::Unseen) {
      core_.permissions().note(Denial::ClientUnseen, "begin request", asked.passed ? asked.passed->id : "");
      return end_of(How::NotTaken);
    }
  }
  asked.client = terms.client;
  const auto opened = core_.open(std::move(asked));
  if (!opened.ticket) {
    AnswerEnd out = end_of(How::NotTaken);
    out.not_taken = opened.why, out.retry_after = Span::millis(1000);
    return out;
  }
  const auto show = [&](std::shared_ptr<Ticket> ticket) {
    const std::lock_guard lock(mutex_);
    ticket_ = std::move(ticket);
  };
  // However this ends, an exception included, nothing of it stays with the core.
  struct Closing {
    Core& core;
    Ticket& ticket;
    ~Closing() {
      ticket.forget_client();
      if (ticket.leave()) core.left(ticket);
      core.closed(ticket);
    }
  } const closing{core_, *opened.ticket};
  show(opened.ticket);
  AnswerEnd out = attend(opened.ticket, terms, reader);
  show(nullptr);
  out.inf = opened.ticket->inf();
  out.attempted = opened.ticket->any_attempt_ordered();
  std::tie(out.ran, out.first_run) = opened.ticket->may_have_run();
  return out;
}

AnswerEnd Answering::ended(const Final& f) {
  using H = Final::How;
  AnswerEnd out = end_of(f.how == H::Shed       ? How::Shed
                         : f.how == H::Refused  ? How::Refused
                         : f.how == H::Stopping ? How::Stopping
                                                : How::Late);
  out.retry_after = f.retry_after, out.message = f.message, out.outcome_unknown = f.outcome_unknown;
  return out;
}

// Waits for what the module decides, with an eye on the client.
AnswerEnd Answering::attend(const std::shared_ptr<Ticket>& held, const Terms& terms, Reader& reader) {
  Ticket& ticket = *held;
  auto watch = std::make_unique<const Hangups::Watch>(core_.hangups(), terms.client_fd(), held);
  // A moment more than the budget: the module's own answer comes first.
  const Instant last = terms.ends + Span::millis(5);
  for (bool left = false;;) {
    Instant until = last;
    if (terms.waited) until = std::min(until, clock_now() + core_.settings().ping);
    const auto waited = ticket.wait(terms.client_fd(), until);
    auto said = ticket.take();
    if (auto* stream = std::get_if<std::unique_ptr<EngineStream>>(&said))
      return watch.reset(), follow(ticket, std::move(*stream), terms, reader);
    if (const auto* final = std::get_if<Final>(&said)) return ended(*final);
    left |= waited == net::Waited::PeerLeft || stopped_;
    if (!left && waited == net::Waited::Woken) continue;
    if (!left && clock_now() < last) {
      left = !reader.quiet();
      if (!left) continue;
    }
    // The asker has left, or the module's owner did not answer in time (guards rule 1 against a stalled
    // owner).
    if (ticket.leave()) {
      core_.left(ticket);
      return end_of(left ? How::Left : How::Late);
    }
    // Something was claimed in that very moment: a final answer is here; a stream that is not, ends by
    // itself.
    auto late = ticket.take();
    auto* stream = std::get_if<std::unique_ptr<EngineStream>>(&late);
    if (left) {
      if (stream) core_.stream_ended(ticket, EndedAs::Cancelled, std::move(*stream));
      return end_of(How::Left);
    }
    if (stream) return follow(ticket, std::move(*stream), terms, reader);
    if (const auto* final = std::get_if<Final>(&late)) return ended(*final);
    return end_of(How::Late);
  }
}

// The answer has begun. Reads it to its end; a failure from here on is this inference's last word.
AnswerEnd Answering::follow(Ticket& ticket, std::unique_ptr<EngineStream> stream, const Terms& terms,
                            Reader& reader) {
  const auto& settings = core_.settings();
  using Next = EngineStream::Next;
  AnswerEnd out;
  EndedAs as = EndedAs::Completed;
  const auto fail = [&](EndedAs how_ended, How how, const char* message) {
    as = how_ended, out.how = how, out.message = message;
  };
  const Instant begun = clock_now();
  Instant heard = begun, quiet = heard;
  double pieces = 0;
  const bool passes = ticket.asked().passed != nullptr;
  for (bool more = true; more && as == EndedAs::Completed;) {
    engines::Chunk chunk;
    std::string bytes;
    Instant until = std::min(clock_now() + std::min(settings.ping, look_every),
                             heard + settings.stream_silence + Span::millis(1));
    // Who does not stream has the budget for the whole answer.
    if (!terms.stream) until = std::min(until, terms.ends - write_margin);
    const Next next = passes ? stream->next_bytes(bytes, until, terms.client_fd())
                             : stream->next(chunk, until, terms.client_fd());
    switch (next) {
      case Next::Chunk:
        heard = quiet = clock_now(), pieces += !passes && chunk.text.empty() && chunk.calls.empty() ? 0 : 1;
        out.begun = true;
        // Who does not read, or has gone: whatever the engine still writes is for nobody.
        if (passes ? !reader.bytes(bytes) : !reader.chunk(chunk, stream->usage()))
          fail(EndedAs::Cancelled, How::Left, "");
        if (!chunk.finish.empty()) out.last = std::move(chunk);
        break;
      case Next::Finished: more = false; break;
      case Next::Broken: fail(EndedAs::Reset, How::Broken, "the engine broke off"); break;
      case Next::Garbage: fail(EndedAs::Errored, How::Broken, "the engine's answer can't be read"); break;
      case Next::ClientLeft: fail(EndedAs::Cancelled, How::Left, ""); break;
      case Next::Silent:
        if (core_.aborting()) fail(EndedAs::Cancelled, How::Stopping, "this front is stopping");
        else if (!terms.stream && clock_now() >= terms.ends - write_margin)
          fail(EndedAs::Cancelled, How::Broken, "the answer was not whole in time");
        else if (clock_now() - heard > settings.stream_silence)
          fail(EndedAs::TimedOut, How::Broken, "the engine fell silent");
        else if (clock_now() - quiet >= settings.ping) {
          quiet = clock_now();
          if (!reader.quiet()) fail(EndedAs::Cancelled, How::Left, "");
        }
        break;
    }
    if (as == EndedAs::Completed && more && stopped_) fail(EndedAs::Cancelled, How::Left, "");
  }
  if (!out.message.empty())
    core_.log().line(log::Level::Info, "stream broke",
                     {{"inference", std::int64_t{ticket.inf()}},
                      {"engine", net::text_of(stream->engine())},
                      {"what", out.message},
                      {"pieces", pieces},
                      {"after_ms", (clock_now() - begun).as_millis()},
                      {"since_last_ms", (clock_now() - heard).as_millis()}});
  out.usage = stream->usage();
  if (out.usage.answer_tokens <= 0) out.usage.answer_tokens = pieces;
  if (as == EndedAs::Completed) out.how = How::Completed;
  core_.stream_ended(ticket, as, std::move(stream));
  return out;
}

}  // namespace calicograde::front
