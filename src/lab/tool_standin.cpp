#include "lab/tool_standin.hpp"

#include <unistd.h>

#include "net/clock.hpp"
#include "net/thread.hpp"
#include "rpc/message.hpp"

namespace calicograde::lab {

using net::clock_now;

ToolStandin::ToolStandin(std::string name, std::vector<std::string> tools, bool stream, Recorder* records)
    : name_(std::move(name)),
      tools_(std::move(tools)),
      stream_(stream),
      records_(records),
      listener_(net::Address{"127.0.0.1", 0}),
      port_(listener_.port()) {
  acceptor_ = std::thread([this] {
    while (!stopping_) {
      auto s = listener_.accept(clock_now() + Span::millis(1000));
      if (!s) continue;
      ++threads_;
      auto shared = std::make_shared<net::Stream>(std::move(*s));
      if (!net::start_thread(256 << 10, [this, shared] { serve(std::move(*shared)), --threads_; }))
        --threads_;
    }
  });
}

ToolStandin::~ToolStandin() { stop(); }

void ToolStandin::stop() {
  if (stopping_.exchange(true)) return;
  listener_.stop();
  acceptor_.join();
  while (threads_ > 0) usleep(1000);
}

void ToolStandin::set(const std::function<void(ToolFaults&)>& change) {
  const std::lock_guard lock(mutex_);
  change(faults_);
}

std::vector<std::string> ToolStandin::told_back() const {
  const std::lock_guard lock(mutex_);
  return told_back_;
}

void ToolStandin::serve(net::Stream stream) {
  http::Limits limits;
  limits.idle = Span::millis(50);
  http::ServerConnection c(std::move(stream), limits);
  while (!stopping_) {
    http::Request r;
    const auto end = c.read(r);
    if (end == http::ReadEnd::Closed && c.stream().peer_left()) return;
    if (end == http::ReadEnd::Closed) continue;
    if (end != http::ReadEnd::Ok || !answer(r, c)) return c.stream().reset_hard();
  }
}

bool ToolStandin::answer(const http::Request& request, http::ServerConnection& c) {
  const auto m = rpc::parse(request.body);
  const http::Headers json{{"content-type", "application/json"}};
  if (const auto* n = std::get_if<rpc::Notification>(&m)) {
    if (n->method == "notifications/cancelled") ++cancels_;
    return c.respond(202, {}, "", true);
  }
  if (std::holds_alternative<rpc::Response>(m)) {
    const std::lock_guard lock(mutex_);
    told_back_.push_back(request.body);
    return c.respond(202, {}, "", true);
  }
  const auto* r = std::get_if<rpc::Request>(&m);
  if (!r) return c.respond(400, json, "{}", true);
  if (r->method == "initialize") {
    auto h = json;
    h.emplace_back("mcp-session-id", name_ + "-" + std::to_string(++sessions_));
    return c.respond(
        200, h,
        rpc::text_of(rpc::Response{
            r->id,
            R"({"protocolVersion":"2025-06-18","capabilities":{"tools":{}},"serverInfo":{"name":"s","version":"1"}})",
            {}}),
        true);
  }
  if (r->method == "tools/list") {
    // A page a tool, so that the cursor is followed.
    const auto cursor = rpc::member_text(r->params, {"cursor"});
    const std::size_t k = cursor ? std::stoul(*cursor) : 0;
    std::string result = "{\"tools\":[" + (k < tools_.size() ? tools_[k] : "") + "]";
    if (k + 1 < tools_.size()) result += ",\"nextCursor\":\"" + std::to_string(k + 1) + "\"";
    return c.respond(200, json, rpc::text_of(rpc::Response{r->id, result + "}", {}}), true);
  }
  return call(r->id, r->params, c);
}

bool ToolStandin::call(const std::string& id, const std::string& params, http::ServerConnection& c) {
  ToolFaults f;
  {
    const std::lock_guard lock(mutex_);
    f = faults_;
  }
  if (f.turns_away) return c.respond(503, {}, "", true);
  ++runs_;
  if (records_)
    records_->add({clock_now(), "tool_run", name_, rpc::member_text(params, {"name"}).value_or(""),
                   rpc::member_text(params, {"arguments", "mark"}).value_or(""),
                   rpc::member_text(params, {"arguments", "call"}).value_or(""), 0});
  static const net::Wake never;
  const auto rest = [&](Span span) {
    return net::wait_for(never, c.stream().fd(), clock_now() + span) != net::Waited::PeerLeft;
  };
  if (f.die == ToolFaults::Die::BeforeHead) return false;
  while (f.silent && !stopping_) {
    if (!rest(Span::millis(20))) return false;
    const std::lock_guard lock(mutex_);
    f.silent = faults_.silent;
  }
  const std::string result =
      rpc::text_of(rpc::Response{id, "{\"content\":[{\"type\":\"text\",\"text\":\"" + name_ + "\"}]}", {}});
  if (f.garbage) return c.respond(200, {{"content-type", "application/json"}}, "{\"what\":", true);
  if (!stream_) {
    rest(f.takes);
    return f.die != ToolFaults::Die::MidStream &&
           c.respond(200, {{"content-type", "application/json"}}, result, true);
  }
  if (!c.begin_stream(200, {{"content-type", "text/event-stream"}})) return false;
  const auto token = rpc::member_json(params, {"_meta", "progressToken"});
  const auto progress = [&](int k) {
    if (!token) return true;
    return c.piece(http::event_text(
        "message", rpc::text_of(rpc::Notification{
                       "notifications/progress",
                       "{\"progressToken\":" + *token + ",\"progress\":" + std::to_string(k) + "}"})));
  };
  for (int k = 1; k <= f.progress; ++k) {
    if (!progress(k) || !rest(Span::millis(2))) return false;
  }
  if (!f.asks_back.empty() &&
      !c.piece(http::event_text("message", rpc::text_of(rpc::Request{"77", f.asks_back, "{}"}))))
    return false;
  if (f.die == ToolFaults::Die::MidStream) return false;
  if (f.takes > Span{} && !rest(f.takes)) return false;
  if (!c.piece(http::event_text("message", result))) return false;
  if (f.late_progress) progress(99);
  return c.end_stream();
}

}  // namespace calicograde::lab
