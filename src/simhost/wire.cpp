#include "simhost/wire.hpp"

#include <bit>
#include <cmath>

namespace calicograde::simhost {
namespace {

std::uint64_t big_endian(std::span<const std::uint8_t> b) {
  std::uint64_t v = 0;
  for (auto byte : b) v = (v << 8) | byte;
  return v;
}

constexpr double longest_ms = 1e14;  // beyond this a time no longer fits in microseconds

template <class... F>
struct Overload : F... {
  using F::operator()...;
};

}  // namespace

BatchHeader read_header(std::span<const std::uint8_t> b) {
  const double ms = std::bit_cast<double>(big_endian(b.subspan(8, 8)));
  const auto number = static_cast<std::uint32_t>(big_endian(b.subspan(0, 4)));
  if (!std::isfinite(ms) || std::abs(ms) > longest_ms)
    throw WireError("batch " + std::to_string(number) + ": header, byte 8: the clock is not a time");
  return {number, static_cast<std::uint32_t>(big_endian(b.subspan(4, 4))),
          Instant::at(Span::from_millis(ms))};
}

void RecordReader::fail(const std::string& why) const {
  throw WireError("batch " + std::to_string(batch_) + ": record " + std::to_string(record_) + " (" + name_ +
                  ") at byte " + std::to_string(record_at_) + ", byte " + std::to_string(at_ - record_at_) +
                  " of it: " + why);
}

std::span<const std::uint8_t> RecordReader::take(std::size_t n) {
  if (n > body_.size() - at_) fail("the batch ends inside this record");
  at_ += n;
  return body_.subspan(at_ - n, n);
}

std::uint64_t RecordReader::number(int bytes) { return big_endian(take(static_cast<std::size_t>(bytes))); }

double RecordReader::f64() {
  const double v = std::bit_cast<double>(number(8));
  if (!std::isfinite(v) || std::abs(v) > longest_ms) fail("a number that is not finite or far too large");
  return v;
}

double RecordReader::f32() {
  const float v = std::bit_cast<float>(static_cast<std::uint32_t>(number(4)));
  if (!std::isfinite(v)) fail("a number that is not finite");
  return static_cast<double>(v);
}

Span RecordReader::span() { return Span::from_millis(f64()); }

EngineId RecordReader::engine() {
  EngineId e;
  for (auto& byte : e.address) byte = static_cast<std::uint8_t>(number(1));
  e.port = static_cast<std::uint16_t>(number(2));
  return e;
}

bool RecordReader::flag(const char* what) {
  const auto v = number(1);
  if (v > 1) fail(std::string("unknown value of ") + what);
  return v == 1;
}

EndedAs RecordReader::outcome() {
  const auto code = number(2);
  switch (code) {
    case 200: return EndedAs::Completed;
    case 502: return EndedAs::Errored;
    case 429: return EndedAs::Full;
    case 408: return EndedAs::TimedOut;
    case 521: return EndedAs::ConnectFailed;
    case 520: return EndedAs::Reset;
    case 444: return EndedAs::Cancelled;
    case 409: return EndedAs::Moot;
    case 77: return EndedAs::ReadDone;
    default: fail("unknown outcome " + std::to_string(code));
  }
}

void RecordReader::report(Record& out) {
  out.report.clear();
  for (auto n = number(1); n > 0; --n) out.report.push_back(static_cast<float>(f32()));
}

void RecordReader::next(Record& out) {
  record_at_ = at_;
  ++record_;
  name_ = "record";
  const auto code = number(2);
  static constexpr const char* names[] = {"",     "Reminder", "Abandoned", "FirstByte",
                                          "Boot", "Demand",   "Shutdown",  "CheckResult",
                                          "View", "Note",     "Outcome",   "Mail"};
  if (code < 1 || code > 11) fail("unknown code " + std::to_string(code));
  name_ = names[code];
  out.instance = static_cast<std::uint32_t>(number(4));
  out.what = Record::What::Happened;
  out.report.clear();
  const auto inf = [&] { return static_cast<InfId>(number(4)); };
  const auto send = [&] { return static_cast<std::uint8_t>(number(1)); };
  switch (code) {
    case 1: out.event = TimerFired{number(8)}; break;
    case 2: out.event = ClientLeft{inf()}; break;
    case 3: out.event = StreamStarted{inf(), send(), engine(), span()}; break;
    case 4: {
      out.what = Record::What::Boot;
      out.seed = number(8);
      const auto text = take(number(4));
      out.settings = {reinterpret_cast<const char*>(text.data()), text.size()};
      break;
    }
    case 5: {
      Arrived a;
      a.inf = inf();
      a.route = static_cast<std::uint16_t>(number(2));
      a.customer = static_cast<std::uint16_t>(number(2));
      a.session = number(8);
      a.budget = span();
      const Span hint = span();
      a.shared_text = number(8);
      a.prompt_tokens = f32();
      a.shared_tokens = f32();
      a.max_answer_tokens = f32();
      const auto bits = number(1);
      if (bits & 1) a.answer_hint = hint;
      a.repeat = (bits & 2) != 0;
      a.resumed = (bits & 16) != 0;
      out.event = a;
      break;
    }
    case 6: out.what = Record::What::Shutdown; break;
    case 7: {
      ProbeEnded p;
      p.engine = engine();
      p.as = outcome();
      p.elapsed = span();
      out.event = p;
      report(out);
      break;
    }
    case 8: {
      FleetListed f;
      switch (const auto scope = number(1)) {
        case 0: f.scope = ListScope::Full; break;
        case 1: f.scope = ListScope::Failed; break;
        case 2: f.scope = ListScope::Cached; break;
        case 3: f.scope = ListScope::Delta; break;
        default: fail("unknown scope " + std::to_string(scope));
      }
      f.version = number(8);
      for (auto n = number(4); n > 0; --n) {
        EngineEntry e;
        const double started = f64();
        if (started != 0) e.started = Instant::at(Span::from_millis(started));
        e.kind = static_cast<std::uint8_t>(number(1));
        e.zone = static_cast<std::uint8_t>(number(1));
        e.rack = static_cast<std::uint16_t>(number(2));
        e.size = f32();
        e.engine = engine();
        switch (const auto state = number(1)) {
          case 0: e.lifecycle = Lifecycle::Draining; break;
          case 1: e.lifecycle = Lifecycle::Gone; break;
          case 2: e.lifecycle = Lifecycle::Ready; break;
          default: fail("unknown lifecycle " + std::to_string(state));
        }
        f.entries.push_back(e);
      }
      out.event = std::move(f);
      break;
    }
    case 9: {
      PlaceAnswered p;
      p.inf = inf();
      p.send = send();
      p.engine = engine();
      const auto topic = number(1);
      if (topic != 1 && topic != 2) fail("unknown topic " + std::to_string(topic));
      p.held = topic == 1;
      f32();
      out.event = p;
      break;
    }
    case 10: {
      SendEnded s;
      s.inf = inf();
      s.send = send();
      s.engine = engine();
      s.as = outcome();
      s.elapsed = span();
      s.inference_over = flag("last");
      const auto detail = static_cast<std::uint32_t>(number(4));
      s.kept_tokens = s.as == EndedAs::ReadDone || s.as == EndedAs::Completed ? detail : 0;
      s.no_state = s.as == EndedAs::Full && detail == 1;
      out.event = s;
      report(out);
      break;
    }
    default: {
      PeerSpoke p;
      p.from = static_cast<std::uint32_t>(number(4));
      const auto text = take(number(2));
      p.text.assign(text.begin(), text.end());
      out.event = std::move(p);
    }
  }
}

std::optional<LoadReport> name_report(const std::vector<float>& values,
                                      const std::vector<platform::ReportField>& fields) {
  if (values.empty()) return std::nullopt;
  LoadReport r;
  for (std::size_t k = 0; k < values.size() && k < fields.size(); ++k) {
    const double v = static_cast<double>(values[k]);
    using platform::ReportField;
    switch (fields[k]) {
      case ReportField::Held: r.inferences_held = v; break;
      case ReportField::Waiting: r.waiting = v; break;
      case ReportField::Memory: r.memory_share = v; break;
      case ReportField::Tokens: r.tokens_waiting = v * 1000.0; break;
      case ReportField::Unknown: break;
    }
  }
  return r;
}

void ReplyWriter::number(std::uint64_t value, int bytes) {
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    out_.push_back(static_cast<std::uint8_t>(value >> shift));
}

void ReplyWriter::time(Span s) { number(std::bit_cast<std::uint64_t>(s.as_millis()), 8); }

void ReplyWriter::engine(const EngineId& e) {
  out_.insert(out_.end(), e.address.begin(), e.address.end());
  number(e.port, 2);
}

void ReplyWriter::text(std::string_view t) {
  t = t.substr(0, 0xffff);
  number(t.size(), 2);
  out_.insert(out_.end(), t.begin(), t.end());
}

void ReplyWriter::head(std::uint16_t code, std::uint32_t instance) {
  number(code, 2);
  number(instance, 4);
}

void ReplyWriter::begin(std::uint32_t batch) {
  out_.clear();
  number(batch, 4);
  number(0, 4);
}

void ReplyWriter::panic(std::uint32_t instance, std::string_view words) {
  head(15, instance);
  text(words);
}

void ReplyWriter::add(std::uint32_t i, const Action& action) {
  std::visit(Overload{
                 [&](const HoldPlace& a) { head(1, i), number(a.inf, 4), engine(a.engine); },
                 [&](const Subscribe& a) { head(2, i), number(a.on ? 1 : 0, 1); },
                 [&](const SendTo& a) { head(3, i), number(a.inf, 4), engine(a.engine), time(a.time_out); },
                 [&](const CloseLinks& a) { head(4, i), engine(a.engine); },
                 [&](const Log& a) { head(5, i), text(a.text); },
                 [&](const SetTimer& a) { head(6, i), time(a.in), number(a.token, 8); },
                 [&](const Fail& a) { head(7, i), number(a.inf, 4); },
                 [&](const LetGo& a) { head(8, i), number(a.inf, 4); },
                 [&](const Shed& a) { head(9, i), number(a.inf, 4), time(a.retry_after); },
                 [&](const CancelSend& a) { head(10, i), number(a.inf, 4), number(a.send, 1); },
                 [&](const Probe& a) { head(11, i), engine(a.engine); },
                 [&](const TellPeer& a) { head(12, i), number(a.to, 2), text(a.text); },
                 [&](const MoveStream& a) { head(13, i), number(a.inf, 4); },
                 [&](const FetchList&) { head(14, i); },
             },
             action);
}

const std::vector<std::uint8_t>& ReplyWriter::finish() {
  const auto length = static_cast<std::uint32_t>(out_.size() - 8);
  for (std::size_t k = 0; k < 4; ++k) out_[4 + k] = static_cast<std::uint8_t>(length >> (24 - 8 * k));
  return out_;
}

}  // namespace calicograde::simhost
