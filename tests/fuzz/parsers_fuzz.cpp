// libFuzzer target over everything that reads bytes from clients, engines and tool servers. Built and run by
// hand (bench/fuzz.md); what it found stands in the tests beside it. Its first byte picks the parser.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "engines/completions.hpp"
#include "http/http.hpp"
#include "messages/call.hpp"
#include "roster/roster.hpp"
#include "rpc/message.hpp"
#include "rpc/session.hpp"

using namespace calicograde;

namespace {

// What is read and written again must be read as the same.
void messages_of_rpc(std::string_view text) {
  const auto m = rpc::parse(text);
  std::string again;
  if (const auto* r = std::get_if<rpc::Request>(&m)) again = rpc::text_of(*r);
  if (const auto* n = std::get_if<rpc::Notification>(&m)) again = rpc::text_of(*n);
  if (const auto* a = std::get_if<rpc::Response>(&m)) again = rpc::text_of(*a);
  if (!again.empty() && rpc::parse(again).index() != m.index()) std::abort();
  rpc::member_text(text, {"_meta", "progressToken"});
  rpc::with_member(text, {"_meta", "progressToken"}, "1");
  rpc::tools_of(text);
  rpc::text_of_result(text);
}

// The same bytes in any pieces are the same events.
void events(std::string_view text) {
  std::vector<http::ServerEvent> whole, pieces;
  http::EventReader a(4096), b(4096);
  const bool one = a.feed(text, whole);
  bool two = true;
  for (const char c : text) two = two && b.feed(std::string_view(&c, 1), pieces);
  if (one != two || (one && whole.size() != pieces.size())) std::abort();
}

void calls(std::string_view text) {
  auto parsed = messages::parse_call(text);
  if (const auto* c = std::get_if<messages::Call>(&parsed)) {
    if (c->prompt.turns.empty() || c->prompt.turns.back().assistant) std::abort();
    engines::ask_body(engines::Leg::Whole, c->model, c->prompt, "", "");
  }
  messages::parse_call(text, true);
}

void chunks(std::string_view text) {
  engines::CallAssembler assembler;
  int number = 0;
  for (std::size_t at = 0; at < text.size();) {
    const auto end = std::min(text.find('\n', at), text.size());
    if (const auto chunk = engines::parse_chunk(text.substr(at, end - at)))
      for (const auto& piece : chunk->calls) assembler.take(piece, "x", number);
    at = end + 1;
  }
  engines::parse_read(text), engines::parse_error(text), engines::parse_load(text);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::string_view text(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % 5) {
    case 0: messages_of_rpc(text); break;
    case 1: events(text); break;
    case 2: calls(text); break;
    case 3: chunks(text); break;
    case 4: roster::parse(text); break;
  }
  return 0;
}
