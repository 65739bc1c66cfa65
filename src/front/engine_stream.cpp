#include "front/engine_stream.hpp"

#include <algorithm>
#include <utility>

#include "net/clock.hpp"

namespace calicograde::front {
namespace {

using http::BodyEnd;
using net::clock_now;

constexpr std::size_t longest_tail = 64 << 10;  // of an event that is held until it is whole

}  // namespace

EngineStream::EngineStream(http::ClientConnection link, Begun begun, net::Address engine, Usage usage,
                           std::shared_ptr<EngineSign> sign)
    : link_(std::move(link)),
      begun_(std::move(begun)),
      engine_(std::move(engine)),
      usage_(usage),
      sign_(std::move(sign)) {}

EngineStream::Next EngineStream::next_bytes(std::string& out, Instant deadline, int client_fd) {
  // An event that has come in part is of use to nobody yet, and each write costs the client's side a
  // delivery.
  const auto whole = [&] {
    const std::size_t n =
        body_done_ || tail_.size() > longest_tail ? tail_.size() : http::whole_events(tail_);
    out = tail_.substr(0, n), tail_.erase(0, n);
  };
  out.clear();
  if (!begun_.bytes.empty()) return tail_ = std::exchange(begun_.bytes, {}), whole(), Next::Chunk;
  if (body_done_) return Next::Finished;
  link_.stream().watch(client_fd);
  const std::size_t before = tail_.size();
  const BodyEnd end = link_.read_body(tail_, deadline);
  if (tail_.size() > before && sign_) sign_->note(clock_now());
  if (end == BodyEnd::Done) body_done_ = true;
  if (tail_.size() > before || (body_done_ && !tail_.empty())) return whole(), Next::Chunk;
  switch (end) {
    case BodyEnd::Done: return Next::Finished;
    case BodyEnd::Broken: return link_.garbled() ? Next::Garbage : Next::Broken;
    case BodyEnd::Aborted: return Next::ClientLeft;
    default: return Next::Silent;
  }
}

EngineStream::Next EngineStream::next(engines::Chunk& out, Instant deadline, int client_fd) {
  link_.stream().watch(client_fd);
  for (;;) {
    while (at_ < begun_.ready.size()) {
      auto chunk = engines::parse_chunk(begun_.ready[at_++].data);
      if (!chunk) return Next::Garbage;
      if (chunk->usage) {
        const double kept = std::max(usage_.kept_tokens, chunk->usage->kept_tokens);
        usage_ = *chunk->usage, usage_.kept_tokens = std::min(kept, usage_.prompt_tokens);
      }
      if (chunk->done) finished_ = true;
      if (!chunk->says()) continue;
      out = std::move(*chunk);
      return Next::Chunk;
    }
    begun_.ready.clear(), at_ = 0;
    if (body_done_) return finished_ ? Next::Finished : Next::Broken;
    std::string bytes;
    const BodyEnd end = link_.read_body(bytes, deadline);
    if (!bytes.empty() && sign_) sign_->note(clock_now());
    if (!begun_.events.feed(bytes, begun_.ready)) return Next::Garbage;
    if (end == BodyEnd::Done) body_done_ = true;
    if (end == BodyEnd::Broken) return Next::Broken;
    if (end == BodyEnd::Aborted) return Next::ClientLeft;
    if (end == BodyEnd::TimedOut) return Next::Silent;
  }
}

}  // namespace calicograde::front
