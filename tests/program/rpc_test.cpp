#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

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

// Conversations against a small model of the protocol: what may be asked when, one response an id, cancels
// that cross, ids used for good, the bound on open calls.
RC_GTEST_PROP(Rpc, ConversationsFollowTheProtocol, ()) {
  constexpr std::size_t most = 3;
  Session s("s", most, 1 << 16);
  enum class State { Open, Answered, Cancelled };
  std::map<Id, State> model;
  bool opened = false, ready = false;
  const auto open = [&] {
    return static_cast<std::size_t>(
        std::count_if(model.begin(), model.end(), [](const auto& m) { return m.second == State::Open; }));
  };
  for (const int step : *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 100))) {
    const Id id = *rc::gen::element<Id>("1", "2", "\"1\"", "\"a\"", "9007199254740993");
    const std::string method =
        *rc::gen::element<std::string>("initialize", "ping", "tools/call", "tools/list");
    if (step < 50) {
      const auto said = s.ask({id, method, ""});
      const bool early = method == "ping" || (method == "initialize" && !opened);
      if (model.contains(id) || (method == "initialize" && opened)) RC_ASSERT(said == Session::Ask::Again);
      else if (!opened && !early) RC_ASSERT(said == Session::Ask::NotOpened);
      else if (open() >= most) RC_ASSERT(said == Session::Ask::TooMany);
      else {
        RC_ASSERT(said == Session::Ask::Go);
        model[id] = State::Open;
        if (method == "initialize") {
          // Its answer opens the session.
          RC_ASSERT(s.answer(id));
          model[id] = State::Answered, opened = true;
          s.opened(agreed_revision("2025-03-26"), false, true);
        }
      }
    } else if (step < 75) {
      const bool owed = model.contains(id) && model[id] == State::Open;
      RC_ASSERT(s.answer(id) == owed);
      if (owed) model[id] = State::Answered;
    } else if (step < 95) {
      const bool stands = model.contains(id) && model[id] == State::Open;
      RC_ASSERT(s.cancel(id) == stands);
      if (stands) model[id] = State::Cancelled;
    } else {
      s.ready();
      ready = ready || opened;
    }
    RC_ASSERT(s.open() == open());
    RC_ASSERT((s.phase() == Session::Phase::Ready) == ready);
    RC_ASSERT(s.may_be_asked("elicitation/create") == opened && !s.may_be_asked("sampling/createMessage"));
  }
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
