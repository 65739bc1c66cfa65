#include "keep/state.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstring>

#include "state_generated.h"

namespace calicograde::keep {
namespace {

constexpr char magic[8] = {'C', 'A', 'L', 'I', 'K', 'E', 'E', 'P'};
enum Kind : std::uint32_t { about = 1, marks = 2, pool = 3 };
constexpr std::size_t head_bytes = 16, section_head = 24, record_head = 12;
constexpr std::uint32_t most_sections = 4096;

template <class T>
void put(std::string& out, T n) {
  char bytes[sizeof n];
  std::memcpy(bytes, &n, sizeof n);
  out.append(bytes, sizeof n);
}
template <class T>
T get(std::string_view in, std::size_t at) {
  T n;
  std::memcpy(&n, in.data() + at, sizeof n);
  return n;
}
std::uint64_t sum(std::string_view s) { return XXH3_64bits(s.data(), s.size()); }

std::string_view view(const flatbuffers::FlatBufferBuilder& b) {
  return {reinterpret_cast<const char*>(b.GetBufferPointer()), b.GetSize()};
}
void section(std::string& out, Kind kind, std::string_view payload) {
  put(out, static_cast<std::uint32_t>(kind)), put(out, std::uint32_t{1});
  put(out, static_cast<std::uint64_t>(payload.size())), put(out, sum(payload));
  out += payload;
}

flatbuffers::Offset<fb::Mark> put_mark(flatbuffers::FlatBufferBuilder& b, const Mark& m) {
  return fb::CreateMark(b, b.CreateString(m.route), b.CreateString(m.key), m.first_ms, m.ran, m.unsure,
                        m.over, m.first_boot_ms, b.CreateString(m.boot));
}
Mark take_mark(const fb::Mark& m) {
  return {m.route() ? m.route()->str() : "",
          m.key() ? m.key()->str() : "",
          m.first_ms(),
          m.ran(),
          m.unsure(),
          m.over(),
          m.first_boot_ms(),
          m.boot() ? m.boot()->str() : ""};
}

template <class T>
const T* verified(std::string_view bytes) {
  // Its tables are aligned to 8 bytes; what is read from disk is not.
  flatbuffers::Verifier v(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size(), 64, 50000000);
  if (!v.VerifyBuffer<T>(nullptr)) return nullptr;
  return flatbuffers::GetRoot<T>(bytes.data());
}

std::string put_pool(const PoolMemory& p) {
  flatbuffers::FlatBufferBuilder b(1 << 20);
  std::vector<flatbuffers::Offset<fb::Engine>> engines;
  for (const auto& e : p.engines)
    engines.push_back(
        fb::CreateEngine(b, b.CreateString(e.address), b.CreateString(e.incarnation), e.taken_per_s));
  std::vector<flatbuffers::Offset<fb::Run>> runs;
  for (const auto& r : p.runs) {
    std::vector<fb::Part> kept;
    for (const auto& part : r.kept) kept.emplace_back(part.engine, part.blocks, part.distance);
    const auto blocks = b.CreateVector(r.blocks);
    const auto parts = b.CreateVectorOfStructs(kept);
    runs.push_back(fb::CreateRun(b, r.after, r.depth, blocks, parts));
  }
  const auto name = b.CreateString(p.name);
  const auto all_engines = b.CreateVector(engines);
  const auto all_runs = b.CreateVector(runs);
  const auto held = b.CreateVectorOfStrings(p.held_engines), halls = b.CreateVectorOfStrings(p.held_halls);
  b.Finish(fb::CreatePool(b, name, all_engines, all_runs, p.cap, held, halls));
  return std::string(view(b));
}

std::optional<PoolMemory> take_pool(std::string_view bytes) {
  const auto* p = verified<fb::Pool>(bytes);
  if (!p) return std::nullopt;
  PoolMemory out;
  if (p->name()) out.name = p->name()->str();
  out.cap = p->cap();
  if (p->engines())
    for (const auto* e : *p->engines())
      out.engines.push_back({e->address() ? e->address()->str() : "",
                             e->incarnation() ? e->incarnation()->str() : "", e->taken_per_s()});
  if (p->runs())
    for (const auto* r : *p->runs()) {
      RunMemory run;
      run.after = r->after(), run.depth = r->depth();
      if (r->blocks()) run.blocks.assign(r->blocks()->begin(), r->blocks()->end());
      if (r->kept())
        for (const auto* k : *r->kept()) {
          if (k->engine() >= out.engines.size()) return std::nullopt;
          run.kept.push_back({k->engine(), k->blocks(), k->distance()});
        }
      out.runs.push_back(std::move(run));
    }
  if (p->held_engines())
    for (const auto* h : *p->held_engines()) out.held_engines.push_back(h->str());
  if (p->held_halls())
    for (const auto* h : *p->held_halls()) out.held_halls.push_back(h->str());
  return out;
}

}  // namespace

std::string encode(const State& s) {
  std::string out(magic, sizeof magic);
  put(out, format), put(out, static_cast<std::uint32_t>(2 + s.pools.size()));
  {
    flatbuffers::FlatBufferBuilder b;
    b.Finish(fb::CreateAbout(b, b.CreateString(s.front), s.wall_ms, s.generation, s.boot_ms,
                             b.CreateString(s.boot)));
    section(out, about, view(b));
  }
  {
    flatbuffers::FlatBufferBuilder b(1 << 16);
    std::vector<flatbuffers::Offset<fb::Mark>> all;
    for (const auto& m : s.marks) all.push_back(put_mark(b, m));
    b.Finish(fb::CreateMarks(b, b.CreateVector(all)));
    section(out, marks, view(b));
  }
  for (const auto& p : s.pools) section(out, pool, put_pool(p));
  // Of all that stands before it: the heads of sections have no sum of their own.
  put(out, sum(out));
  return out;
}

Decoded decode(std::string_view in) {
  Decoded out;
  const auto wrong = [&](const std::string& what) {
    out.state.reset(), out.wrong = what;
    return out;
  };
  if (in.size() < head_bytes + 8 || std::memcmp(in.data(), magic, sizeof magic) != 0)
    return wrong("it is no state of a front");
  if (const auto version = get<std::uint32_t>(in, 8); version > format) {
    out.newer = true;
    return wrong("it is of format " + std::to_string(version) + ", this program reads up to " +
                 std::to_string(format));
  }
  const std::string_view body = in.substr(0, in.size() - 8);
  if (get<std::uint64_t>(in, body.size()) != sum(body))
    return wrong("its checksum differs: it was damaged or cut off");
  const auto sections = get<std::uint32_t>(in, 12);
  if (sections > most_sections) return wrong("it has " + std::to_string(sections) + " sections");
  State s;
  bool told = false;
  std::size_t at = head_bytes;
  for (std::uint32_t k = 0; k < sections; ++k) {
    const std::string where = "section " + std::to_string(k + 1);
    if (body.size() - at < section_head) return wrong(where + " is cut off");
    const auto kind = get<std::uint32_t>(body, at);
    const auto size = get<std::uint64_t>(body, at + 8), expected = get<std::uint64_t>(body, at + 16);
    at += section_head;
    if (size > body.size() - at) return wrong(where + " is longer than the file");
    // Aligned, as its reader wants it.
    std::vector<std::uint64_t> aligned(size / 8 + 1);
    std::memcpy(aligned.data(), body.data() + at, size);
    const std::string_view payload(reinterpret_cast<const char*>(aligned.data()), size);
    at += size;
    if (sum(payload) != expected) return wrong(where + " has another checksum");
    if (kind == about) {
      const auto* a = verified<fb::About>(payload);
      if (!a) return wrong(where + " can't be read");
      s.front = a->front() ? a->front()->str() : "", s.wall_ms = a->wall_ms(), s.generation = a->generation();
      s.boot_ms = a->boot_ms(), s.boot = a->boot() ? a->boot()->str() : "";
      told = true;
    } else if (kind == marks) {
      const auto* m = verified<fb::Marks>(payload);
      if (!m) return wrong(where + " can't be read");
      if (m->marks())
        for (const auto* one : *m->marks()) s.marks.push_back(take_mark(*one));
    } else if (kind == pool) {
      auto p = take_pool(payload);
      if (!p) return wrong(where + " can't be read");
      s.pools.push_back(std::move(*p));
    }
    // Other kinds come from a later program of the same format: passed over.
  }
  if (at != body.size()) return wrong("something follows its last section");
  if (!told) return wrong("it does not say whose it is");
  out.state = std::move(s);
  return out;
}

std::string encode_mark(const Mark& m) {
  flatbuffers::FlatBufferBuilder b;
  b.Finish(put_mark(b, m));
  std::string out;
  put(out, static_cast<std::uint32_t>(b.GetSize())), put(out, sum(view(b)));
  out += view(b);
  return out;
}

std::vector<Mark> decode_marks(std::string_view in, std::size_t& whole) {
  std::vector<Mark> out;
  whole = 0;
  while (in.size() - whole >= record_head) {
    const auto size = get<std::uint32_t>(in, whole);
    if (size > (1 << 20) || size > in.size() - whole - record_head) break;
    std::vector<std::uint64_t> aligned(size / 8 + 1);
    std::memcpy(aligned.data(), in.data() + whole + record_head, size);
    const std::string_view payload(reinterpret_cast<const char*>(aligned.data()), size);
    if (sum(payload) != get<std::uint64_t>(in, whole + 4)) break;
    const auto* m = verified<fb::Mark>(payload);
    if (!m) break;
    out.push_back(take_mark(*m));
    whole += record_head + size;
  }
  return out;
}

}  // namespace calicograde::keep
