#include <gtest/gtest.h>

#include "engines/completions.hpp"

namespace calicograde::engines {
namespace {

using C = SendFacts::Connect;

SendFacts answered(int status, const std::string& code = "") {
  SendFacts f;
  f.any_written = true, f.status = status, f.error_code = code;
  return f;
}

// The table of docs/front.md, a line each; whether it proves that nothing ran is the module's own table.
TEST(Outcomes, EveryWayToEndHasOneOutcome) {
  const auto as = [](SendFacts f, Leg leg = Leg::Write) { return judge(leg, f).as; };
  for (const C c : {C::Refused, C::TimedOut, C::Unreachable})
    EXPECT_EQ(as({.connect = c, .error_code = {}}), EndedAs::ConnectFailed);
  EXPECT_EQ(as({.connect = C::Local, .error_code = {}}), EndedAs::LocalFailure);
  EXPECT_EQ(as({.not_sent = true, .error_code = {}}), EndedAs::Moot);
  EXPECT_EQ(as({.error_code = {}}), EndedAs::ConnectFailed);               // not one byte left
  EXPECT_EQ(as({.any_written = true, .error_code = {}}), EndedAs::Reset);  // no head came
  EXPECT_EQ(as({.any_written = true, .timed_out = true, .error_code = {}}), EndedAs::TimedOut);
  EXPECT_EQ(as({.cancelled = true, .any_written = true, .error_code = {}}), EndedAs::Cancelled);
  EXPECT_EQ(as(answered(429)), EndedAs::Full);
  EXPECT_EQ(as(answered(503, "queue_full")), EndedAs::Full);
  EXPECT_EQ(as(answered(503)), EndedAs::Errored);  // of a proxy between, perhaps: it may have run
  EXPECT_EQ(as(answered(500)), EndedAs::Errored);
  EXPECT_EQ(as(answered(302)), EndedAs::Errored);
  const auto gone = judge(Leg::Write, answered(409, "kv_state_gone"));
  EXPECT_TRUE(gone.as == EndedAs::Full && gone.no_state);
  EXPECT_TRUE(judge(Leg::Read, answered(400)).refused && judge(Leg::Write, answered(413)).refused);
  auto read = answered(200);
  EXPECT_EQ(as(read, Leg::Read), EndedAs::ReadDone);
  read.body_whole = false;
  EXPECT_EQ(as(read, Leg::Read), EndedAs::Reset);
  read = answered(200), read.understood = false;
  EXPECT_EQ(as(read, Leg::Read), EndedAs::Errored);
  auto stream = answered(200);
  EXPECT_EQ(as(stream), EndedAs::Reset);  // ended before its own end
  stream.finished = true;
  EXPECT_EQ(as(stream), EndedAs::Completed);
}

TEST(Completions, ABodySaysWhatItsLegIs) {
  const Prompt p{"sys", {{false, "hi"}}, 50, {"X"}, {}, {}, {}};
  const auto read = ask_body(Leg::Read, "m", p, "", "");
  EXPECT_NE(read.find(R"("max_tokens":1,"stream":false)"), std::string::npos);
  EXPECT_NE(read.find(R"("do_remote_decode":true,"do_remote_prefill":false)"), std::string::npos);
  const auto write = ask_body(Leg::Write, "m", p, R"({"remote_block_ids":[1]})", "place");
  EXPECT_NE(
      write.find(R"("max_tokens":50,"stream":true,"stream_options":{"include_usage":true},"stop":["X"])"),
      std::string::npos);
  EXPECT_NE(write.find(R"("kv_transfer_params":{"remote_block_ids":[1]})"), std::string::npos);
  EXPECT_EQ(ask_body(Leg::Whole, "m", p, "", "").find("kv_transfer_params"), std::string::npos);
}

TEST(Completions, ToolsUsesAndResultsHaveTheShapeOfTheApi) {
  Prompt p{
      "", {{false, "hi"}, {true, "", {{"a", "look", "{}"}}, {}}, {false, "", {}, {{"a", "found", false}}}},
      50, {},
      {}, {},
      {}};
  p.tools = {{"look", "d", R"({"type":"object"})"}};
  p.choice.how = ToolChoice::How::Any;
  const auto body = ask_body(Leg::Whole, "m", p, "", "");
  EXPECT_NE(
      body.find(
          R"({"role":"assistant","content":null,"tool_calls":[{"id":"a","type":"function","function":{"name":"look","arguments":"{}"}}]},{"role":"tool","tool_call_id":"a","content":"found"}])"),
      std::string::npos)
      << body;
  EXPECT_NE(body.find(R"("tool_choice":"required")"), std::string::npos);
  EXPECT_NE(body.find(R"("parameters":{"type":"object"})"), std::string::npos);
}

TEST(Completions, PartsOfCallsArePutTogether) {
  CallAssembler a;
  int number = 0;
  const auto piece = [&](const std::string& call) {
    const auto chunk = parse_chunk(R"({"choices":[{"delta":{"tool_calls":[)" + call + "]}}]}");
    return chunk ? a.take(chunk->calls.at(0), "t", number) : CallAssembler::Took::Garbage;
  };
  using T = CallAssembler::Took;
  EXPECT_EQ(piece(R"({"index":0,"id":"x","function":{"name":"look","arguments":"{\"a\""}})"), T::Opened);
  EXPECT_EQ(piece(R"({"index":0,"function":{"arguments":":1}"}})"), T::More);
  EXPECT_EQ(piece(R"({"index":1,"function":{"name":"pay"}})"), T::Opened);
  EXPECT_EQ(piece(R"({"index":0,"function":{"arguments":"late"}})"), T::Garbage);
  EXPECT_EQ(piece(R"({"index":2,"function":{"arguments":"{}"}})"), T::Garbage);
  EXPECT_EQ(piece(R"({"index":-1,"function":{"name":"x"}})"), T::Garbage);
  EXPECT_EQ(a.uses()[0].input, R"({"a":1})");
  EXPECT_EQ(a.uses()[1].id, "t2");
  EXPECT_TRUE(is_object("") && is_object("{}") && !is_object("{") && !is_object("[]"));
}

TEST(Completions, GarbageIsNoAnswer) {
  for (const char* bad : {"", "{", "[]", "{}", R"({"error":{}})", R"({"kv_transfer_params":3,"usage":{}})",
                          R"({"kv_transfer_params":{},"usage":{"prompt_tokens":-1}})"}) {
    EXPECT_FALSE(parse_read(bad)) << bad;
    if (std::string_view(bad).find("usage") == std::string_view::npos) {
      EXPECT_FALSE(parse_chunk(bad)) << bad;
    }
  }
  const auto read = parse_read(
      R"({"kv_transfer_params":{"a":1},"usage":{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":4}}})");
  ASSERT_TRUE(read);
  EXPECT_EQ(read->usage.kept_tokens, 4);
  EXPECT_TRUE(parse_chunk("[DONE]")->done);
  EXPECT_EQ(parse_chunk(R"({"choices":[{"delta":{"content":"x"},"finish_reason":null}]})")->text, "x");
}

TEST(Completions, LoadReportsMayBePartial) {
  const auto r = parse_load("held=3 memory=0.5 colour=7 tokens=x");
  ASSERT_TRUE(r);
  EXPECT_TRUE(r->inferences_held == 3 && r->memory_share == 0.5 && !r->waiting && !r->tokens_waiting);
  EXPECT_FALSE(parse_load("nothing here"));
  EXPECT_EQ(text_of(*r), "held=3 memory=0.5");
}

}  // namespace
}  // namespace calicograde::engines
