#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "rpc/message.hpp"
#include "rpc/session.hpp"

namespace calicograde::rpc {
namespace {

Wrong wrong(std::string_view text) {
  const auto m = parse(text);
  if (const auto* w = std::get_if<Wrong>(&m)) return *w;
  ADD_FAILURE() << text;
  return {};
}

TEST(Rpc, MessagesAreToldApart) {
  const auto r =
      std::get<Request>(parse(R"({"jsonrpc":"2.0","id":"a","method":"tools/call","params":{"name":"x"}})"));
  EXPECT_TRUE(r.id == "\"a\"" && r.method == "tools/call" && r.params == R"({"name":"x"})");
  EXPECT_EQ(std::get<Notification>(parse(R"({"jsonrpc":"2.0","method":"notifications/initialized"})")).params,
            "");
  EXPECT_EQ(std::get<Response>(parse(R"({"jsonrpc":"2.0","id":7,"result":{}})")).id, "7");
  EXPECT_EQ(text_of(r), R"({"jsonrpc":"2.0","id":"a","method":"tools/call","params":{"name":"x"}})");
}

TEST(Rpc, ErrorsHaveTheCodesOfTheSpecification) {
  EXPECT_EQ(wrong("{").code, parse_error);
  EXPECT_EQ(wrong("").code, parse_error);
  EXPECT_EQ(wrong(std::string(10 << 20, '[')).code, parse_error);  // 10 MiB of nesting
  EXPECT_EQ(wrong("[{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"ping\"}]").code, invalid_message);
  EXPECT_EQ(wrong(R"({"id":1,"method":"ping"})").code, invalid_message);
  for (const char* id : {"null", "1.5", "true", "{}", "[1]"})
    EXPECT_EQ(wrong("{\"jsonrpc\":\"2.0\",\"id\":" + std::string(id) + ",\"method\":\"ping\"}").code,
              invalid_message)
        << id;
  const auto bad = wrong(R"({"jsonrpc":"2.0","id":5,"method":"ping","params":[1]})");
  EXPECT_TRUE(bad.code == bad_params && bad.id == "5");
  wrong(R"({"jsonrpc":"2.0","id":5,"result":{},"error":{"code":1}})");
  wrong(R"({"jsonrpc":"2.0","id":5,"error":{}})");
}

RC_GTEST_PROP(Rpc, NoTextMakesTheParserFail, (const std::string& text)) {
  parse(text);
  parse("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"a\",\"params\":" + text + "}");
  member_text(text, {"a", "b"});
  with_member(text, {"_meta", "progressToken"}, "1");
}

TEST(Rpc, AnIdIsUsedOnceAndAnsweredOnce) {
  Session s("s", 2, 1000);
  const Request ping{"1", "ping", ""}, call{"2", "tools/call", ""};
  EXPECT_EQ(s.ask(call), Session::Ask::NotOpened);
  EXPECT_EQ(s.ask(ping), Session::Ask::Go);
  EXPECT_TRUE(s.answer("1"));
  EXPECT_FALSE(s.answer("1"));
  EXPECT_EQ(s.ask({"0", "initialize", ""}), Session::Ask::Go);
  s.answer("0"), s.opened(agreed_revision("1999-01-01"), true, false), s.ready();
  EXPECT_EQ(s.revision(), "2025-06-18");
  EXPECT_EQ(s.ask(ping), Session::Ask::Again);
  EXPECT_EQ(s.ask(call), Session::Ask::Go);
  EXPECT_EQ(s.ask({"\"2\"", "tools/call", ""}), Session::Ask::Go);  // another id
  EXPECT_EQ(s.ask({"3", "tools/call", ""}), Session::Ask::TooMany);
  // A cancel that crosses the result: whichever comes first counts, and there is never a second.
  EXPECT_TRUE(s.cancel("2"));
  EXPECT_FALSE(s.answer("2"));
  EXPECT_TRUE(s.answer("\"2\""));
  EXPECT_FALSE(s.cancel("\"2\""));
  EXPECT_TRUE(s.may_be_asked("sampling/createMessage"));
  EXPECT_FALSE(s.may_be_asked("elicitation/create"));
  EXPECT_FALSE(s.may_be_asked("roots/list"));
}

// Whatever was sent before the break, and wherever the client stopped: nothing lost, nothing repeated, or
// plainly refused.
RC_GTEST_PROP(Rpc, AStreamIsTakenUpWhereItBroke, (const std::vector<bool>& which)) {
  Session s("s", 10, 1 << 20);
  const std::uint64_t a = s.begin_stream(), b = s.begin_stream();
  std::map<std::uint64_t, std::vector<std::pair<std::string, std::string>>> sent;
  int n = 0;
  for (const bool first : which) {
    const std::string data = std::to_string(n++);
    sent[first ? a : b].emplace_back(s.add(first ? a : b, data), data);
  }
  for (const auto& [stream, events] : sent)
    for (std::size_t k = 0; k < events.size(); ++k) {
      const auto rest = s.after(events[k].first);
      RC_ASSERT(rest && rest->stream == stream && rest->events.size() == events.size() - k - 1);
      for (std::size_t j = 0; j < rest->events.size(); ++j)
        RC_ASSERT(rest->events[j].data == events[k + 1 + j].second);
    }
}

TEST(Rpc, WhatIsKeptNoMoreIsNotTakenUpInPart) {
  Session s("s", 10, 10);
  const auto stream = s.begin_stream();
  const auto first = s.add(stream, "aaaa");
  s.add(stream, "bbbb");
  EXPECT_EQ(s.after(first)->events.size(), 1u);
  const auto last = s.add(stream, "cccc");  // over the bound: what was kept goes
  EXPECT_FALSE(s.after(first));
  EXPECT_TRUE(s.after(last)->events.empty());
  for (const char* bad : {"", "-", "x", "1", "1-", "9-1", "1-99", "1-2x"}) EXPECT_FALSE(s.after(bad)) << bad;
}

}  // namespace
}  // namespace calicograde::rpc
