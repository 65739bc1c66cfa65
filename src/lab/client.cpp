#include "lab/client.hpp"

#include <unistd.h>

#include <charconv>
#include <nlohmann/json.hpp>

#include "http/http.hpp"
#include "net/clock.hpp"

namespace calicograde::lab {

using Json = nlohmann::ordered_json;
using net::clock_now;

ClientEnd call(const ClientCall& c, Recorder& records) {
  const Instant asked = clock_now();
  const auto say = [&](const char* what, const std::string& how, double n = 0) {
    records.add({clock_now(), what, c.route, c.front_name, c.mark, how, n});
  };
  const auto final = [&](const std::string& how) {
    say("final", how, (clock_now() - asked).as_millis());
    return how;
  };
  ClientEnd out;
  auto [how, stream] = net::Stream::connect(c.front, clock_now() + Span::millis(1000));
  if (how != net::ConnectEnd::Connected) return out.how = "unreachable", out;
  http::ClientConnection link(std::move(stream));
  Json body{{"model", c.route}, {"max_tokens", c.max_tokens}, {"stream", c.stream}};
  if (!c.system.empty()) body["system"] = c.system;
  if (!c.user.empty()) body["metadata"] = {{"user_id", c.user}};
  body["messages"] = Json::array({{{"role", "user"}, {"content", c.text + " [mark " + c.mark + "]"}}});
  http::Headers headers{{"host", "front"},
                        {"content-type", "application/json"},
                        {"x-budget-ms", std::to_string(static_cast<long>(c.budget.as_millis()))}};
  if (!c.key.empty()) headers.emplace_back("idempotency-key", c.key);
  say("asked", c.key, c.budget.as_millis());
  // Patient beyond its own budget, so that a late answer is seen as late and not as none.
  const Instant until = asked + c.budget + Span::millis(3000);
  if (!link.ask("POST", "/v1/messages", headers, body.dump(), until)) return out.how = final("cut"), out;
  http::Response head;
  const Instant leave = c.leave_after > Span{} ? asked + c.leave_after : until;
  const auto end = link.read_head(head, leave);
  if (end == http::BodyEnd::TimedOut && leave < until) return say("left", ""), out.how = "left", out;
  if (end != http::BodyEnd::Done) return out.how = final("cut"), out;
  std::string bytes;
  if (head.status != 200 || !c.stream) {
    if (link.read_whole(bytes, until, 1 << 20) != http::BodyEnd::Done) return out.how = final("cut"), out;
    double wait = 0;
    const auto advice = http::header(head.headers, "retry-after-ms");
    std::from_chars(advice.data(), advice.data() + advice.size(), wait);
    out.retry_after = Span::from_millis(wait);
    out.how = final(head.status == 200   ? "completed"
                    : head.status == 529 ? "shed"
                    : head.status < 500  ? "refused"
                                         : "errored");
    return out;
  }
  http::EventReader events;
  bool first = true, ended = false;
  for (Instant limit = until;;) {
    std::vector<http::ServerEvent> got;
    bytes.clear();
    if (c.reads_slowly) usleep(200000);
    const auto piece = link.read_body(bytes, std::min(limit, leave > clock_now() ? leave : limit));
    events.feed(bytes, got);
    for (const auto& e : got) {
      if (ended) say("after", e.event);
      if (e.event == "content_block_start" && std::exchange(first, false))
        say("first", "", (clock_now() - asked).as_millis());
      if (e.event == "content_block_delta") out.text += Json::parse(e.data)["delta"].value("text", "");
      if (e.event == "content_block_start") {
        const Json b = Json::parse(e.data)["content_block"];
        if (b["type"] == "mcp_tool_result") ++out.results;
      }
      if (e.event == "message_delta") out.reason = Json::parse(e.data)["delta"].value("stop_reason", "");
      if ((e.event == "message_stop" || e.event == "error") && !std::exchange(ended, true))
        out.how = final(e.event == "error" ? "errored" : "completed");
    }
    if (!got.empty()) limit = clock_now() + Span::millis(10000);  // a stream that runs has no deadline
    if (piece == http::BodyEnd::TimedOut && leave < until && clock_now() >= leave && !ended)
      return say("left", ""), out.how = "left", out;
    if (piece == http::BodyEnd::More) continue;
    if (!ended) out.how = final("cut");
    return out;
  }
}

ClientEnd call_tool(const ClientCall& c, Recorder& records) {
  const Instant asked = clock_now(), until = asked + c.budget + Span::millis(4000);
  const auto say = [&](const char* what, const std::string& how, double n = 0) {
    records.add({clock_now(), what, c.route, c.front_name, c.mark, how, n});
  };
  ClientEnd out;
  out.how = "unreachable";
  auto [how, stream] = net::Stream::connect(c.front, clock_now() + Span::millis(1000));
  if (how != net::ConnectEnd::Connected) return out;
  http::ClientConnection link(std::move(stream));
  http::Headers headers{{"host", "front"},
                        {"content-type", "application/json"},
                        {"accept", "application/json, text/event-stream"}};
  http::Response head;
  std::string body;
  const Json hello{{"jsonrpc", "2.0"},
                   {"id", 0},
                   {"method", "initialize"},
                   {"params",
                    {{"protocolVersion", "2025-06-18"},
                     {"capabilities", Json::object()},
                     {"clientInfo", {{"name", "lab"}, {"version", "1"}}}}}};
  if (!link.ask("POST", "/mcp", headers, hello.dump(), until) ||
      link.read_head(head, until) != http::BodyEnd::Done ||
      link.read_whole(body, until, 1 << 20) != http::BodyEnd::Done || head.status != 200)
    return out;
  headers.emplace_back("mcp-session-id", http::header(head.headers, "mcp-session-id"));
  const Json ask{{"jsonrpc", "2.0"},
                 {"id", 1},
                 {"method", "tools/call"},
                 {"params", {{"name", c.route}, {"arguments", {{"mark", c.mark}, {"call", "0"}}}}}};
  say("asked", "", c.budget.as_millis());
  const auto final = [&](const std::string& word) {
    if (out.how != "unreachable") return say("after", word);
    out.how = word;
    say("final", word, (clock_now() - asked).as_millis());
  };
  if (!link.ask("POST", "/mcp", headers, ask.dump(), until)) return final("cut"), out;
  const Instant leave = c.leave_after > Span{} ? asked + c.leave_after : until;
  const auto end = link.read_head(head, leave);
  if (end == http::BodyEnd::TimedOut && leave < until) return say("left", ""), out.how = "left", out;
  body.clear();
  if (end != http::BodyEnd::Done || link.read_whole(body, until, 1 << 20) != http::BodyEnd::Done)
    return final("cut"), out;
  http::EventReader reader;
  std::vector<http::ServerEvent> events;
  if (http::header(head.headers, "content-type") == "text/event-stream") reader.feed(body, events);
  else events.push_back({"", body, ""});
  for (const auto& e : events) {
    const Json j = Json::parse(e.data, nullptr, false);
    if (!j.is_object() || j.value("id", Json()) != 1) continue;
    if (j.contains("result")) final("completed");
    else final(j["error"].value("code", 0) == -32001 ? "shed" : "errored");
  }
  if (out.how == "unreachable") final("cut");
  return out;
}

}  // namespace calicograde::lab
