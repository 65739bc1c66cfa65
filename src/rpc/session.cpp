#include "rpc/session.hpp"

#include <algorithm>
#include <charconv>

namespace calicograde::rpc {

namespace {
constexpr std::size_t most_used = 100000;  // ids of one session
constexpr std::size_t most_streams = 4096;
}  // namespace

const std::vector<std::string>& revisions() {
  static const std::vector<std::string> all = {"2025-06-18", "2025-03-26"};
  return all;
}

std::string agreed_revision(std::string_view asked) {
  const auto& all = revisions();
  return std::find(all.begin(), all.end(), asked) != all.end() ? std::string(asked) : all.front();
}

void Session::opened(std::string revision, bool sampling, bool elicitation) {
  phase_ = Phase::Opened, revision_ = std::move(revision);
  sampling_ = sampling, elicitation_ = elicitation;
}

bool Session::may_be_asked(std::string_view method) const {
  if (method == "ping") return true;
  if (method == "sampling/createMessage") return sampling_;
  if (method == "elicitation/create") return elicitation_;
  return false;
}

Session::Ask Session::ask(const Request& r) {
  if (used_.contains(r.id) || used_.size() >= most_used) return Ask::Again;
  const bool early = r.method == "ping" || (r.method == "initialize" && phase_ == Phase::New);
  if (!early && phase_ == Phase::New) return Ask::NotOpened;
  if (r.method == "initialize" && phase_ != Phase::New) return Ask::Again;
  if (open_.size() >= most_open_) return Ask::TooMany;
  used_.insert(r.id), open_.insert(r.id);
  return Ask::Go;
}

bool Session::answer(const Id& id) { return open_.erase(id) > 0; }
bool Session::cancel(const Id& id) { return open_.erase(id) > 0; }

std::string Session::add(std::uint64_t stream, std::string data) {
  Kept& k = streams_[stream];
  const std::uint64_t number = k.next++;
  kept_bytes_ += data.size();
  k.events.push_back({number, std::move(data)});
  make_room();
  return std::to_string(stream) + "-" + std::to_string(number);
}

void Session::end_stream(std::uint64_t stream) { streams_[stream].ended = true; }

// The oldest streams give way first, those that have ended before those that run.
void Session::make_room() {
  const auto drop = [&](bool ended) {
    for (auto it = streams_.begin();
         it != streams_.end() && (kept_bytes_ > most_kept_ || streams_.size() > most_streams);) {
      if (it->second.ended != ended) {
        ++it;
        continue;
      }
      for (auto& e : it->second.events) kept_bytes_ -= e.data.size();
      it->second.events.clear();
      if (ended) it = streams_.erase(it);
      else ++it;
    }
  };
  if (kept_bytes_ <= most_kept_ && streams_.size() <= most_streams) return;
  drop(true), drop(false);
}

std::optional<Session::Rest> Session::after(std::string_view event_id) const {
  std::uint64_t stream = 0, number = 0;
  const char* end = event_id.data() + event_id.size();
  const auto first = std::from_chars(event_id.data(), end, stream);
  if (first.ec != std::errc{} || first.ptr == end || *first.ptr != '-') return std::nullopt;
  const auto second = std::from_chars(first.ptr + 1, end, number);
  if (second.ec != std::errc{} || second.ptr != end) return std::nullopt;
  const auto it = streams_.find(stream);
  if (it == streams_.end() || number >= it->second.next) return std::nullopt;
  const Kept& k = it->second;
  // The next one that it has not seen must still be here, or there must be none.
  if (number + 1 < k.next && (k.events.empty() || k.events.front().number > number + 1)) return std::nullopt;
  Rest out{stream, {}, k.ended};
  for (const auto& e : k.events)
    if (e.number > number) out.events.push_back(e);
  return out;
}

}  // namespace calicograde::rpc
