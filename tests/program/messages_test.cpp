#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "http/http.hpp"
#include "intake/intake.hpp"
#include "messages/call.hpp"

namespace calicograde::messages {
namespace {

Call good(const std::string& body) {
  auto parsed = parse_call(body);
  if (const auto* e = std::get_if<ApiError>(&parsed)) ADD_FAILURE() << e->message;
  return std::get_if<Call>(&parsed) ? std::get<Call>(parsed) : Call{};
}
std::string refusal(const std::string& body) {
  const auto parsed = parse_call(body);
  const auto* e = std::get_if<ApiError>(&parsed);
  EXPECT_TRUE(e && e->status == 400 && e->type == "invalid_request_error");
  return e ? e->message : "";
}
std::string with(const std::string& more) {
  return R"({"model":"m","max_tokens":5,"messages":[{"role":"user","content":"hi"}])" + more + "}";
}

TEST(Messages, TextsComeAsStringsOrBlocks) {
  const auto c =
      good(R"({"model":"m","max_tokens":5,"stream":true,"metadata":{"user_id":"u"},"stop_sequences":["X"],
    "system":[{"type":"text","text":"Be "},{"type":"text","text":"kind.","cache_control":{"type":"ephemeral"}}],
    "messages":[{"role":"user","content":[{"type":"text","text":"Rules. ","cache_control":{"type":"ephemeral"}},{"type":"text","text":"Hi"}]},
                {"role":"assistant","content":"Yes?"},{"role":"user","content":"a"},{"role":"user","content":"b"}]})");
  EXPECT_EQ(c.prompt.system, "Be kind.");
  EXPECT_EQ(c.opening, "Be kind.Rules. ");
  ASSERT_EQ(c.prompt.turns.size(), 3u);
  EXPECT_EQ(c.prompt.turns[2].text, "a\nb");
  EXPECT_TRUE(c.stream && c.user_id == "u" && c.prompt.stops.size() == 1);
}

TEST(Messages, WhatIsNotSupportedIsRefusedByName) {
  EXPECT_NE(refusal(with(R"(,"thinking":{})")).find("thinking"), std::string::npos);
  EXPECT_NE(
      refusal(
          R"({"model":"m","max_tokens":5,"messages":[{"role":"user","content":[{"type":"image","source":{}}]}]})")
          .find("messages.0.content.0: content blocks of type 'image'"),
      std::string::npos);
  EXPECT_NE(refusal(R"({"model":"m","messages":[{"role":"user","content":"x"}]})").find("max_tokens"),
            std::string::npos);
  EXPECT_NE(refusal(with(R"(,"temperature":7)")).find("temperature"), std::string::npos);
  for (const char* bad : {"", "[", "[]", "null", "7", "\"x\"", "{\"model\":7}", "{\"messages\":{}}"})
    refusal(bad);
  refusal(std::string(100000, '['));
  refusal("8e388e3");  // found by the fuzzer: numbers that no double holds ended the process
  refusal(with(R"(,"temperature":1e999)"));
  refusal(R"({"model":"m","max_tokens":0,"messages":[{"role":"user","content":"x"}]})");
  refusal(R"({"model":"m","max_tokens":5,"messages":[{"role":"assistant","content":"x"}]})");
  refusal(R"({"model":"m","max_tokens":5,"messages":[]})");
}

RC_GTEST_PROP(Messages, NoBodyMakesTheParserFail, (const std::string& text)) {
  parse_call(text);
  parse_call(with(",\"system\":" + text));
}

TEST(Messages, EventsHaveTheNamesOfTheApi) {
  AnswerWriter w("msg_1", "m", true);
  http::EventReader reader;
  std::vector<http::ServerEvent> events;
  std::string all = w.begin({100, 60, 0});
  all += w.text("a\"\n\xff");
  all += AnswerWriter::ping();
  all += w.end(StopReason::StopSequence, "X", {100, 60, 3});
  all += AnswerWriter::error(overloaded("full"));
  for (const char c : all) ASSERT_TRUE(reader.feed(std::string(1, c), events));  // one byte at a time
  std::string names;
  for (const auto& e : events) names += e.event + " ";
  EXPECT_EQ(names,
            "message_start content_block_start content_block_delta ping content_block_stop message_delta "
            "message_stop error ");
  EXPECT_NE(events[0].data.find(
                R"("input_tokens":40,"cache_creation_input_tokens":0,"cache_read_input_tokens":60)"),
            std::string::npos);
  EXPECT_NE(events[5].data.find(R"("stop_reason":"stop_sequence","stop_sequence":"X")"), std::string::npos);
  EXPECT_NE(events[7].data.find("overloaded_error"), std::string::npos);
}

const std::string tools =
    R"(,"tools":[{"name":"look","description":"d","input_schema":{"type":"object"}}],"tool_choice":{"type":"tool","name":"look","disable_parallel_tool_use":true})";

std::string talk(const std::string& turns) {
  return R"({"model":"m","max_tokens":5,"messages":[{"role":"user","content":"hi"},)" + turns + "]}";
}

TEST(Messages, ToolsUsesAndResultsAreTaken) {
  const auto c = good(with(tools));
  ASSERT_EQ(c.prompt.tools.size(), 1u);
  EXPECT_TRUE(c.prompt.choice.how == ToolChoice::How::One && c.prompt.choice.one_at_once);
  EXPECT_EQ(c.opening, R"(lookd{"type":"object"})");
  const auto t = good(talk(
      R"({"role":"assistant","content":[{"type":"text","text":"so"},{"type":"tool_use","id":"a","name":"look","input":{"x":1}}]},
         {"role":"user","content":[{"type":"tool_result","tool_use_id":"a","is_error":true,"content":[{"type":"text","text":"no"}]},{"type":"text","text":"go on"}]})"));
  ASSERT_EQ(t.prompt.turns.size(), 3u);
  EXPECT_EQ(t.prompt.turns[1].uses.at(0).input, R"({"x":1})");
  EXPECT_TRUE(t.prompt.turns[2].results.at(0).error && t.prompt.turns[2].text == "go on");
}

// What this front called itself comes back in the assistant's message; it becomes the rounds that the model
// saw.
TEST(Messages, RoundsThatTheFrontMadeAreTakenApartAgain) {
  const std::string rounds =
      R"({"type":"mcp_tool_use","id":"a","name":"look","server_name":"s","input":{}},
         {"type":"mcp_tool_result","tool_use_id":"a","is_error":false,"content":[{"type":"text","text":"1"}]})";
  const auto c = good(talk(R"({"role":"assistant","content":[{"type":"text","text":"one"},)" + rounds +
                           R"(,{"type":"text","text":"two"}]},{"role":"user","content":"and?"})"));
  ASSERT_EQ(c.prompt.turns.size(), 5u);
  EXPECT_EQ(c.prompt.turns[1].uses.size(), 1u);
  EXPECT_EQ(c.prompt.turns[2].results.at(0).text, "1");
  EXPECT_EQ(c.prompt.turns[3].text, "two");
  // A message that paused is sent on as it stands.
  const auto paused = good(talk(R"({"role":"assistant","content":[)" + rounds + "]}"));
  EXPECT_FALSE(paused.prompt.turns.back().assistant);
  // The client's own use beside this front's: both results reach the model together.
  const auto both = good(talk(
      R"({"role":"assistant","content":[{"type":"tool_use","id":"b","name":"mine","input":{}},)" + rounds +
      R"(]},{"role":"user","content":[{"type":"tool_result","tool_use_id":"b","content":"2"}]})"));
  ASSERT_EQ(both.prompt.turns.size(), 3u);
  EXPECT_EQ(both.prompt.turns[2].results.size(), 2u);
}

TEST(Messages, UsesAndResultsThatDoNotPairAreRefused) {
  const std::string use =
      R"({"role":"assistant","content":[{"type":"tool_use","id":"a","name":"x","input":{}}]})";
  refusal(talk(use));
  refusal(talk(use + R"(,{"role":"user","content":"so?"})"));
  refusal(talk(use + R"(,{"role":"user","content":[{"type":"tool_result","tool_use_id":"z"}]})"));
  refusal(talk(
      use +
      R"(,{"role":"user","content":[{"type":"text","text":"t"},{"type":"tool_result","tool_use_id":"a"}]})"));
  refusal(talk(
      R"({"role":"assistant","content":[{"type":"mcp_tool_use","id":"a","name":"x","input":{}}]},{"role":"user","content":"x"})"));
  refusal(talk(
      R"({"role":"assistant","content":[{"type":"tool_use","id":"a","name":"x","input":3}]},{"role":"user","content":"x"})"));
  refusal(talk(R"({"role":"user","content":[{"type":"tool_result","tool_use_id":"a"}]})"));
  refusal(with(R"(,"tools":[{"name":"a"}])"));
  refusal(with(R"(,"tools":[{"name":"a","input_schema":{}},{"name":"a","input_schema":{}}])"));
  refusal(with(R"(,"tools":[{"type":"web_search_20250305","name":"web_search"}])"));
  refusal(with(R"(,"tool_choice":{"type":"tool","name":"a"})"));
}

TEST(Messages, AnAnswerWithUsesIsTheSameWholeAndStreamed) {
  const auto write = [](AnswerWriter& w) {
    std::string out = w.begin({});
    out += w.text("so ");
    out += w.text("then");
    out += w.use(Calls::Front, "a", "look", "s");
    out += w.input("{\"x\":");
    out += w.input("1}");
    out += w.use(Calls::Client, "b", "mine", "");
    out += w.result("a", "found", false);
    return out + w.end(StopReason::ToolUse, "", {5, 0, 7});
  };
  AnswerWriter whole("msg_1", "m", false), stream("msg_1", "m", true);
  const std::string body = write(whole);
  EXPECT_NE(
      body.find(
          R"("content":[{"type":"text","text":"so then"},{"type":"mcp_tool_use","id":"a","name":"look","server_name":"s","input":{"x":1}},{"type":"tool_use","id":"b","name":"mine","input":{}},{"type":"mcp_tool_result","tool_use_id":"a","is_error":false,"content":[{"type":"text","text":"found"}]}],"stop_reason":"tool_use")"),
      std::string::npos)
      << body;
  http::EventReader reader;
  std::vector<http::ServerEvent> events;
  ASSERT_TRUE(reader.feed(write(stream), events));
  int open = 0, blocks = 0;
  for (const auto& e : events) {
    open += e.event == "content_block_start", open -= e.event == "content_block_stop";
    blocks += e.event == "content_block_start";
    EXPECT_TRUE(open == 0 || open == 1);  // one block at a time
    if (e.event == "content_block_start") {
      EXPECT_NE(e.data.find("\"index\":" + std::to_string(blocks - 1)), std::string::npos);
    }
  }
  EXPECT_EQ(blocks, 4);
  EXPECT_EQ(open, 0);
}

TEST(Intake, SessionsAndOpeningsHaveKeysThatHold) {
  Prompt first{"sys", {{false, "hello"}}, 1, {}, {}, {}, {}}, later = first;
  later.turns.push_back({true, "hi"}), later.turns.push_back({false, "more"});
  EXPECT_EQ(intake::session_key("u", first), intake::session_key("u", later));
  EXPECT_NE(intake::session_key("u", first), intake::session_key("v", first));
  const std::string opening(1000, 'x');
  EXPECT_EQ(intake::shared_key("m", opening), intake::shared_key("m", opening));
  EXPECT_NE(intake::shared_key("m", opening), intake::shared_key("n", opening));
  EXPECT_EQ(intake::shared_key("m", "short"), 0u);
}

TEST(Intake, EstimatesFollowWhatEnginesReport) {
  intake::TokenMeter m;
  EXPECT_DOUBLE_EQ(m.estimate("a", 400), 100);
  for (int k = 0; k < 100; ++k) m.learn("a", 200, 100);
  EXPECT_DOUBLE_EQ(m.estimate("a", 400), 200);
  // An engine that reports nonsense must not turn every later estimate into nonsense.
  m.learn("a", 10, 1e9), m.learn("a", 1000000, 1), m.learn("a", 0, 5);
  EXPECT_DOUBLE_EQ(m.estimate("a", 400), 200);
  EXPECT_DOUBLE_EQ(m.estimate("b", 400), 100);
}

TEST(Intake, ABudgetIsShortenedNeverMadeLonger) {
  const intake::BudgetRule rule{Span::millis(4000), Span::millis(100)};
  EXPECT_EQ(intake::budget(rule, 2000, ""), Span::millis(4200));
  EXPECT_EQ(intake::budget(rule, 0, "1500"), Span::millis(1500));
  EXPECT_EQ(intake::budget(rule, 0, "1.5s"), Span::millis(1500));
  EXPECT_EQ(intake::budget(rule, 0, "99s"), Span::millis(4000));
  for (const char* bad : {"soon", "-5", "5m", "nan"}) EXPECT_FALSE(intake::budget(rule, 0, bad)) << bad;
}

}  // namespace
}  // namespace calicograde::messages
