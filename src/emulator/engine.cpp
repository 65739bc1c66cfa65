#include "emulator/engine.hpp"

#include <algorithm>
#include <cmath>

namespace calicograde::emulator {

using prefix::BlockName;
using prefix::CacheEvent;
using prefix::Chain;

double Engine::speed(Instant at) const {
  const double age = (at - started_) / shape_.cold;
  return age >= 1 ? 1 : shape_.cold_from + (1 - shape_.cold_from) * std::max(0.0, age);
}

void Engine::tell(CacheEvent::What what, BlockName after, std::vector<BlockName> blocks) {
  if (!shape_.events) return;
  events_.push_back({next_event_++, what, after, std::move(blocks)});
}

std::uint32_t Engine::kept(const Chain& chain) const {
  std::uint32_t n = 0;
  while (n < chain.size() && cache_.contains(chain[n])) ++n;
  return n;
}

std::vector<JobId> Engine::jobs() const {
  std::vector<JobId> out;
  for (const auto& [id, w] : works_) out.push_back(id);
  return out;
}

std::size_t Engine::streams() const {
  return static_cast<std::size_t>(std::count_if(works_.begin(), works_.end(), [](const auto& w) {
    return w.second.phase == Phase::Running || w.second.phase == Phase::Ready;
  }));
}

// ---- memory

// Makes room by forgetting what nobody uses, the least recently used first; where that is not enough the
// newest answer is preempted: it is read again later.
bool Engine::room(std::size_t blocks, const Work* for_whom) {
  for (;;) {
    std::vector<BlockName> removed;
    while (used_ + blocks > shape_.blocks && !idle_.empty()) {
      removed.push_back(idle_.front());
      cache_.erase(idle_.front()), idle_.pop_front(), --used_;
    }
    if (!removed.empty()) tell(CacheEvent::What::Removed, 0, std::move(removed));
    if (used_ + blocks <= shape_.blocks) return true;
    const std::size_t before = used_ - idle_.size();
    preempt_newest(for_whom);
    if (used_ - idle_.size() >= before) return false;
  }
}

void Engine::preempt_newest(const Work* but) {
  Work* newest = nullptr;
  for (auto& [id, w] : works_)
    if (&w != but && w.phase == Phase::Running && (!newest || w.order > newest->order)) newest = &w;
  // Never the one that asks, nor one that is older than it.
  if (!newest || (but && newest->order < but->order)) return;
  ++preempted_;
  const Job job = newest->job;
  free(*newest);
  newest->phase = Phase::Queued, newest->own = 0, newest->read = newest->found = newest->held_blocks = 0;
  queue_.push_front(job.id);
}

void Engine::refer(const Chain& chain, std::uint32_t from, std::uint32_t to) {
  std::vector<BlockName> stored;
  for (std::uint32_t k = from; k < to; ++k) {
    const auto [it, fresh] = cache_.try_emplace(chain[k]);
    if (fresh) ++used_, stored.push_back(chain[k]);
    else if (it->second.refs == 0) idle_.erase(it->second.at);
    ++it->second.refs;
  }
  if (!stored.empty()) tell(CacheEvent::What::Stored, from == 0 ? 0 : chain[from - 1], std::move(stored));
}

// From the last block to the first, so that a text's end is forgotten before its opening.
void Engine::unrefer(const Chain& chain, std::uint32_t to) {
  for (std::uint32_t k = to; k > 0; --k) {
    const auto it = cache_.find(chain[k - 1]);
    if (it == cache_.end() || it->second.refs == 0 || --it->second.refs > 0) continue;
    idle_.push_back(chain[k - 1]);
    it->second.at = std::prev(idle_.end());
  }
}

void Engine::free(Work& w) {
  unrefer(*w.job.chain, w.held_blocks);
  used_ -= w.own;
  w.own = 0, w.held_blocks = 0;
}

// ---- what comes in

void Engine::submit(Instant now, const Job& job) {
  advance(now);
  Work w;
  w.job = job, w.order = next_order_++;
  if (job.kind == Job::Kind::Write) {
    if (streams() >= shape_.running + shape_.queue)
      return said_.emplace_back(now, Refused{job.id, false}), void();
    w.phase = Phase::Fetching;
    w.until = now + Span::from_seconds(static_cast<double>(job.chain->size()) * shape_.block_tokens /
                                       shape_.fetch_tokens_a_s);
  } else {
    if (queue_.size() >= shape_.queue) return said_.emplace_back(now, Refused{job.id, false}), void();
    queue_.push_back(job.id);
  }
  works_.emplace(job.id, std::move(w));
  if (!step_ends_) begin_step(now);
}

void Engine::state(Instant now, JobId job, bool there) {
  advance(now);
  const auto it = works_.find(job);
  if (it == works_.end()) return;
  Work& w = it->second;
  const std::size_t blocks = w.job.chain->size();
  if (!there || !room(blocks, &w)) {
    said_.emplace_back(now, Refused{job, !there});
    works_.erase(it);
    return;
  }
  w.own = blocks, used_ += blocks, w.phase = Phase::Ready;
  if (!step_ends_) begin_step(now);
}

bool Engine::take_state(Instant now, JobId read) {
  advance(now);
  const auto it = works_.find(read);
  if (it == works_.end() || it->second.phase != Phase::Held) return false;
  free(it->second);
  works_.erase(it);
  return true;
}

void Engine::cancel(Instant now, JobId job) {
  advance(now);
  const auto it = works_.find(job);
  if (it == works_.end()) return;
  free(it->second);
  std::erase(queue_, job), in_step_.erase(job);
  works_.erase(it);
}

void Engine::restart(Instant now) {
  works_.clear(), queue_.clear(), in_step_.clear(), cache_.clear(), idle_.clear();
  used_ = 0, step_ends_.reset(), started_ = at_ = now, next_event_ = 0;
  said_.clear(), events_.clear();
}

// ---- steps

std::optional<Instant> Engine::next() const {
  std::optional<Instant> out = step_ends_;
  for (const auto& [id, w] : works_)
    if ((w.phase == Phase::Fetching || w.phase == Phase::Held) && w.until > Instant{})
      out = out ? std::min(*out, w.until) : w.until;
  return out;
}

void Engine::advance(Instant now) {
  for (;;) {
    const auto at = next();
    if (!at || *at > now) break;
    at_ = std::max(at_, *at);
    expire(at_);
    if (step_ends_ && *step_ends_ <= at_) step_over(*step_ends_), begin_step(at_);
  }
  at_ = std::max(at_, now);
}

// Fetches that are over, and states that nobody came for.
void Engine::expire(Instant at) {
  for (auto it = works_.begin(); it != works_.end();) {
    Work& w = it->second;
    if (w.phase == Phase::Fetching && w.until > Instant{} && w.until <= at) {
      w.until = Instant{};
      said_.emplace_back(at, WantState{w.job.id, w.job.state});
    }
    if (w.phase == Phase::Held && w.until <= at) free(w), it = works_.erase(it);
    else ++it;
  }
}

// One step: a part of the reads that wait, in order, under the budget; and a token for each stream.
void Engine::begin_step(Instant at) {
  in_step_.clear();
  double read = 0, context = 0;
  std::size_t streams = 0;
  for (auto& [id, w] : works_)
    if (w.phase == Phase::Ready) w.phase = Phase::Running;
  for (const auto& [id, w] : works_)
    if (w.phase == Phase::Running)
      ++streams, context += static_cast<double>(w.job.chain->size()) * shape_.block_tokens + w.answered;
  const auto waiting = queue_;
  for (const JobId id : waiting) {
    if (read >= shape_.step_tokens) break;
    Work& w = works_.at(id);
    if (w.phase == Phase::Queued) {
      if (w.job.kind != Job::Kind::Read && streams >= shape_.running) continue;
      w.phase = Phase::Reading;
      // At least the last block is read, whatever is kept.
      w.found = w.read =
          std::min<std::uint32_t>(kept(*w.job.chain), static_cast<std::uint32_t>(w.job.chain->size()) - 1);
      refer(*w.job.chain, 0, w.found), w.held_blocks = w.found;
    }
    const double wanted = (static_cast<double>(w.job.chain->size()) - w.read) * shape_.block_tokens - w.part;
    const auto tokens = static_cast<std::uint32_t>(std::min(wanted, shape_.step_tokens - read));
    const auto blocks = static_cast<std::uint32_t>((w.part + tokens) / shape_.block_tokens);
    if (!room(blocks, &w)) break;  // it waits for memory, and those behind it too
    in_step_[id] = tokens, read += tokens;
  }
  if (read <= 0 && streams == 0) return step_ends_.reset();
  const double ms = shape_.step_ms +
                    (read * shape_.read_us + static_cast<double>(streams) * shape_.stream_us) / 1e3 +
                    context * shape_.context_ns / 1e6;
  step_ends_ = at + Span::from_millis(ms / speed(at));
}

void Engine::step_over(Instant at) {
  step_ends_.reset();
  for (const auto& [id, tokens] : std::exchange(in_step_, {})) {
    const auto it = works_.find(id);
    if (it == works_.end() || it->second.phase != Phase::Reading) continue;
    Work& w = it->second;
    const Chain& chain = *w.job.chain;
    w.part += tokens;
    const auto whole = static_cast<std::uint32_t>(w.part / shape_.block_tokens);
    w.part -= static_cast<double>(whole) * shape_.block_tokens;
    const auto upto = std::min(w.read + whole, static_cast<std::uint32_t>(chain.size()));
    refer(chain, w.read, upto), w.read = w.held_blocks = upto;
    if (w.read < chain.size()) continue;
    std::erase(queue_, id);
    if (w.job.kind == Job::Kind::Read) {
      w.phase = Phase::Held, w.until = at + shape_.state_life;
      said_.emplace_back(at, ReadDone{id, w.found});
    } else {
      w.phase = Phase::Running;
      if (w.answered == 0) said_.emplace_back(at, ReadDone{id, w.found});
    }
  }
  std::vector<JobId> running;
  for (const auto& [id, w] : works_)
    if (w.phase == Phase::Running) running.push_back(id);
  for (const JobId id : running) {
    const auto it = works_.find(id);
    if (it == works_.end() || it->second.phase != Phase::Running) continue;  // preempted meanwhile
    Work& w = it->second;
    if (w.answered % shape_.block_tokens == 0) {
      if (!room(1, &w)) continue;  // no token this time
      ++w.own, ++used_;
    }
    ++w.answered;
    const bool last = w.answered >= w.job.answer_tokens;
    said_.emplace_back(at, Token{id, w.answered == 1, last});
    if (last) free(w), works_.erase(it);
  }
}

}  // namespace calicograde::emulator
