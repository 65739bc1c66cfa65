#include "keep/store.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <optional>

namespace calicograde::keep {
namespace {

constexpr const char* fresh = "state.new";

// The number in a name such as state-00000012.snap; 0 for any other name.
std::uint64_t number_of(const std::string& name, std::string_view before, std::string_view after) {
  if (!name.starts_with(before) || !name.ends_with(after) || name.size() <= before.size() + after.size())
    return 0;
  std::uint64_t n = 0;
  const char* end = name.data() + name.size() - after.size();
  const auto r = std::from_chars(name.data() + before.size(), end, n);
  return r.ec == std::errc{} && r.ptr == end ? n : 0;
}

std::string numbered(const char* form, std::uint64_t n) {
  char out[64];
  std::snprintf(out, sizeof out, form, static_cast<unsigned long long>(n));
  return out;
}

constexpr int most_reads = 3;

// Within one start of the machine by its boot clock; of two starts, what was read first is the older one.
Mark earlier(const std::optional<Mark>& known, const Mark& next) {
  if (!known) return next;
  if (known->boot != next.boot) return *known;
  const bool by_boot = !next.boot.empty();
  return (by_boot ? next.first_boot_ms < known->first_boot_ms : next.first_ms < known->first_ms) ? next
                                                                                                 : *known;
}

// The highest number that a file of that name has taken; those set aside included, which is not given again.
std::uint64_t highest_number(const std::string& name) {
  return std::max({number_of(name, "state-", ".snap"), number_of(name, "marks-", ".log"),
                   number_of(name, "state-", ".snap.damaged")});
}

}  // namespace

std::string Store::snap_name(std::uint64_t n) { return numbered("state-%010llu.snap", n); }
std::string Store::log_name(std::uint64_t n) { return numbered("marks-%010llu.log", n); }

std::string Store::begin_log(std::uint64_t n) {
  std::string wrong = disk_.create(log_name(n));
  if (wrong.empty()) wrong = disk_.sync(log_name(n));
  if (wrong.empty()) wrong = disk_.sync_folder();
  if (!wrong.empty()) return wrong;
  log_ = n, torn_ = false;
  return {};
}

// A disk that fails for a moment may answer the next time.
std::optional<std::string> Store::read(const std::string& name, std::string& wrong) {
  for (int k = 0; k < most_reads; ++k) {
    wrong.clear();
    if (auto bytes = disk_.read(name, wrong)) return bytes;
  }
  return std::nullopt;
}

std::string Store::begin_first_log() {
  std::string wrong;
  const auto names = disk_.list(wrong);
  if (!names) return wrong;
  std::uint64_t highest = 0;
  for (const auto& name : *names) highest = std::max(highest, highest_number(name));
  return begin_log(highest + 1);
}

std::string Store::ensure_log() { return log_ == 0 ? wrong_ = begin_first_log() : std::string(); }

Loaded Store::load(const std::string& front) {
  Loaded out;
  out.state.front = front;
  std::vector<std::uint64_t> snaps, logs;
  std::string unlisted;
  const auto names = disk_.list(unlisted);
  // What is there is not known: nothing may be written over it.
  if (!names) return out.incomplete = true, out.notes.push_back(wrong_ = unlisted), out;
  for (const auto& name : *names) {
    if (const auto n = number_of(name, "state-", ".snap"); n > 0) snaps.push_back(n);
    if (const auto n = number_of(name, "marks-", ".log"); n > 0) logs.push_back(n);
  }
  std::sort(snaps.rbegin(), snaps.rend()), std::sort(logs.begin(), logs.end());
  std::uint64_t base = 0;
  for (const auto n : snaps) {
    std::string wrong;
    const auto bytes = this->read(snap_name(n), wrong);
    if (!bytes) {
      // The one before it and the logs since then hold all the marks.
      out.incomplete = true, out.notes.push_back(snap_name(n) + ": " + wrong + "; it is left as it is");
      spared_.insert(snap_name(n));
      continue;
    }
    auto read = decode(*bytes);
    if (read.state && read.state->front != front) {
      out.notes.push_back(snap_name(n) + " is of front " + read.state->front + ": not used");
      continue;
    }
    if (read.state) {
      out.state = std::move(*read.state), out.any = true, base = n;
      break;
    }
    out.notes.push_back(snap_name(n) + ": " + read.wrong +
                        (read.newer ? "; it is left as it is" : "; set aside"));
    if (read.newer) spared_.insert(snap_name(n));
    else disk_.rename(snap_name(n), snap_name(n) + ".damaged");
  }
  // The one before it stays for as long as this one is the latest.
  for (const auto n : snaps)
    if (n < base) snap_before_ = std::max(snap_before_, n);
  last_snap_ = base;
  // By key: what may have run before, and what was in work when the front ended.
  struct Key {
    std::optional<Mark> ran, in_work;  // the first of each
    bool unsure = false;
  };
  std::map<std::pair<std::string, std::string>, Key> marks;
  const auto take = [&](const Mark& m) {
    Key& k = marks[{m.route, m.key}];
    k.unsure |= m.unsure;
    if (!m.over) k.in_work = earlier(k.in_work, m);
    else if (k.in_work.reset(); m.ran) k.ran = earlier(k.ran, m);
  };
  for (const auto& m : out.state.marks) take(m);
  for (const auto n : logs) {
    if (n < base) continue;
    std::string wrong;
    const auto bytes = this->read(log_name(n), wrong);
    if (!bytes) out.incomplete = true, spared_.insert(log_name(n));
    std::size_t whole = 0;
    for (const auto& m : decode_marks(bytes.value_or(""), whole)) take(m);
    if (bytes && whole < bytes->size())
      out.notes.push_back(log_name(n) + ": cut off after " + std::to_string(whole) + " of " +
                          std::to_string(bytes->size()) + " bytes");
    if (!wrong.empty()) out.notes.push_back(log_name(n) + ": " + wrong);
  }
  out.state.marks.clear();
  // What was in work at the end may have run; an earlier try that may have is the older one.
  for (const auto& [key, k] : marks) {
    if (!k.ran && !k.in_work && !k.unsure) continue;
    Mark mark = k.ran ? *k.ran : k.in_work ? *k.in_work : Mark{key.first, key.second};
    mark.ran = true, mark.unsure = k.unsure, mark.over = true;
    out.state.marks.push_back(std::move(mark));
  }
  out.state.front = front;
  wrong_ = begin_first_log();
  return out;
}

std::string Store::rotate(std::uint64_t& number) {
  if (auto wrong = ensure_log(); !wrong.empty()) return wrong;
  number = log_ + 1;
  return begin_log(number);
}

std::string Store::snapshot(std::uint64_t number, State state) {
  state.generation = number;
  const std::string bytes = encode(state);
  if (bytes.size() > most_bytes)
    return "the state has grown to " + std::to_string(bytes.size()) + " bytes: not kept";
  std::string wrong = disk_.create(fresh);
  // In pieces, so that a full disk is noticed before all of it is handed over.
  for (std::size_t at = 0; wrong.empty() && at < bytes.size(); at += 1 << 20)
    wrong = disk_.append(fresh, std::string_view(bytes).substr(at, 1 << 20));
  if (wrong.empty()) wrong = disk_.sync(fresh);
  if (wrong.empty()) wrong = disk_.rename(fresh, snap_name(number));
  if (wrong.empty()) wrong = disk_.sync_folder();
  if (!wrong.empty()) return wrong;
  snap_before_ = last_snap_, last_snap_ = number;
  std::string unlisted;  // what is old goes the next time then
  for (const auto& name : disk_.list(unlisted).value_or(std::vector<std::string>{})) {
    const auto snap = number_of(name, "state-", ".snap"), log = number_of(name, "marks-", ".log");
    const std::uint64_t least = snap_before_ > 0 ? snap_before_ : last_snap_;
    if (!spared_.contains(name) && ((snap > 0 && snap < least) || (log > 0 && log < least)))
      disk_.remove(name);
  }
  return {};
}

std::string Store::mark(const std::vector<Mark>& marks) {
  if (auto wrong = ensure_log(); !wrong.empty()) return wrong;
  if (torn_)
    if (auto wrong = begin_log(log_ + 1); !wrong.empty()) return wrong;
  std::string bytes;
  for (const auto& m : marks) bytes += encode_mark(m);
  std::string wrong = disk_.append(log_name(log_), bytes);
  if (wrong.empty()) wrong = disk_.sync(log_name(log_));
  torn_ = !wrong.empty();
  return wrong;
}

}  // namespace calicograde::keep
