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

}  // namespace

std::string Store::snap_name(std::uint64_t n) { return numbered("state-%010llu.snap", n); }
std::string Store::log_name(std::uint64_t n) { return numbered("marks-%010llu.log", n); }

std::string Store::begin_log(std::uint64_t n) {
  for (const auto& wrong : {disk_.create(log_name(n)), disk_.sync(log_name(n)), disk_.sync_folder()})
    if (!wrong.empty()) return wrong;
  log_ = n, torn_ = false;
  return {};
}

Loaded Store::load(const std::string& front) {
  Loaded out;
  std::vector<std::uint64_t> snaps, logs;
  std::uint64_t highest = 0;
  for (const auto& name : disk_.list()) {
    if (const auto n = number_of(name, "state-", ".snap"); n > 0)
      snaps.push_back(n), highest = std::max(highest, n);
    if (const auto n = number_of(name, "marks-", ".log"); n > 0)
      logs.push_back(n), highest = std::max(highest, n);
    // Set aside earlier; its number is not given again.
    if (const auto n = number_of(name, "state-", ".snap.damaged"); n > 0) highest = std::max(highest, n);
  }
  std::sort(snaps.rbegin(), snaps.rend()), std::sort(logs.begin(), logs.end());
  std::uint64_t base = 0;
  for (const auto n : snaps) {
    std::string wrong;
    const auto bytes = disk_.read(snap_name(n), wrong);
    auto read = bytes ? decode(*bytes) : Decoded{std::nullopt, wrong, false};
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
    std::optional<std::int64_t> ran, in_work;
    bool unsure = false;
  };
  std::map<std::pair<std::string, std::string>, Key> marks;
  const auto take = [&](const Mark& m) {
    Key& k = marks[{m.route, m.key}];
    k.unsure |= m.unsure;
    if (!m.over) k.in_work = std::min(k.in_work.value_or(m.first_ms), m.first_ms);
    else if (k.in_work.reset(); m.ran) k.ran = std::min(k.ran.value_or(m.first_ms), m.first_ms);
  };
  for (const auto& m : out.state.marks) take(m);
  for (const auto n : logs) {
    if (n < base) continue;
    std::string wrong;
    const auto bytes = disk_.read(log_name(n), wrong);
    std::size_t whole = 0;
    for (const auto& m : decode_marks(bytes.value_or(""), whole)) take(m);
    if (bytes && whole < bytes->size())
      out.notes.push_back(log_name(n) + ": cut off after " + std::to_string(whole) + " of " +
                          std::to_string(bytes->size()) + " bytes");
    if (!wrong.empty()) out.notes.push_back(log_name(n) + ": " + wrong);
  }
  out.state.marks.clear();
  // What was in work at the end may have run; an earlier try that may have is the older one.
  for (const auto& [key, k] : marks)
    if (k.ran || k.in_work || k.unsure)
      out.state.marks.push_back(
          {key.first, key.second, k.ran ? *k.ran : k.in_work.value_or(0), true, k.unsure, true});
  out.state.front = front;
  wrong_ = begin_log(highest + 1);
  return out;
}

std::string Store::rotate(std::uint64_t& number) {
  if (!wrong_.empty() && log_ == 0) return wrong_;
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
  for (const auto& name : disk_.list()) {
    const auto snap = number_of(name, "state-", ".snap"), log = number_of(name, "marks-", ".log");
    const std::uint64_t least = snap_before_ > 0 ? snap_before_ : last_snap_;
    if (!spared_.contains(name) && ((snap > 0 && snap < least) || (log > 0 && log < least)))
      disk_.remove(name);
  }
  return {};
}

std::string Store::mark(const std::vector<Mark>& marks) {
  if (log_ == 0) return wrong_;
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
