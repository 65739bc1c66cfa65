#include "node/client_front.hpp"

#include <cstdio>
#include <nlohmann/json.hpp>

#include "front/answering.hpp"
#include "net/clock.hpp"
#include "node/request_ids.hpp"
#include "platform/request.hpp"

namespace calicograde::node {
namespace {

using front::AnswerEnd;
using front::Visit;
using How = AnswerEnd::How;

// An answer so long after its deadline is lost.
constexpr Span late_at_most = Span::millis(500);
constexpr std::string_view no_room =
    "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

// Keeps an id from being used again, from the request's arrival on.
struct IdInUse {
  RequestIds& ids;
  const std::string& id;
  bool begun = true;  // false: no engine was asked anything under it
  ~IdInUse() { begun ? ids.end(id, net::clock_now()) : ids.forget(id); }
};

class ClientFront : public front::Protocol {
 public:
  ClientFront(front::Core& core, const platform::Decoded& names) : core_(core), names_(names) {}

  bool takes(const std::string& path) const override {
    return path == platform::completions_path || path == platform::ready_path;
  }

  bool serve(http::Request& request, Visit& visit) override {
    const bool ready = request.target.substr(0, request.target.find('?')) == platform::ready_path;
    if (request.method != (ready ? "GET" : "POST"))
      return fail(405, "use " + std::string(ready ? "GET" : "POST") + " here", visit);
    if (ready) return visit.connection.respond(visit.winding_down ? 503 : 200, {}, "", visit.keep_alive);
    if (http::header(request.headers, "content-length").empty() &&
        http::header(request.headers, "transfer-encoding").empty())
      return fail(411, "send one Content-Length", visit);
    auto read = platform::read_request(request.headers, request.body.size(), names_);
    if (const auto* refusal = std::get_if<platform::Refusal>(&read))
      return fail(refusal->status, refusal->what, visit);
    return ask(std::get<platform::Wanted>(read), request, visit);
  }

  void refuse(int status, const std::string& what, Visit& visit) override { fail(status, what, visit); }
  std::string_view too_many() const override { return no_room; }

 private:
  // Passes the answer's bytes on.
  struct Passing : front::Answering::Reader {
    Passing(Visit& v, const front::Passed& p) : visit(v), passed(p) {}
    bool chunk(const engines::Chunk&, const Usage&) override { return false; }
    bool bytes(const std::string& bytes) override {
      if (!std::exchange(begun, true)) {
        passed.let_content_go();  // nothing is sent again from here on
        if (!visit.connection.begin_stream(200, {{"content-type", "text/event-stream"}}, visit.keep_alive))
          return false;
      }
      return bytes.empty() || visit.connection.piece(bytes);
    }
    Visit& visit;
    const front::Passed& passed;
    bool begun = false;
  };

  bool ask(const platform::Wanted& w, http::Request& request, Visit& visit) {
    const Instant now = net::clock_now();
    if (!ids_.begin(w.id, now))
      return fail(409, "a request with this Request-Id is in work or was lately; give each a new one", visit);
    IdInUse id_in_use{ids_, w.id};
    front::Asked asked;
    asked.route = w.route, asked.session = w.session, asked.shared_text = w.shared_text;
    asked.prompt_tokens = w.prompt_tokens, asked.shared_tokens = w.shared_tokens;
    asked.max_answer_tokens = w.max_answer_tokens;
    asked.repeat = w.repeat, asked.resumed = w.resumed;
    const Instant asked_until = request.received + w.budget;
    asked.ends = asked_until;
    asked.key_taken = true;  // each try comes under an id of its own
    front::Passed::Content content;
    content.room = std::move(request.room);
    content.rest_of_head =
        http::field_lines(platform::end_to_end_headers(std::move(request.headers))) + "\r\n";
    content.body = std::move(request.body);
    asked.passed =
        std::make_shared<const front::Passed>(w.id, request.method, request.target, std::move(content));
    Passing passing(visit, *asked.passed);
    front::Answering answering(core_);
    const front::Answering::Terms terms{asked.ends, true, false, &visit.connection};
    const AnswerEnd end = answering.run(std::move(asked), terms, passing);
    id_in_use.begun = end.attempted;
    if (passing.begun) {
      // What broke ends without its last chunk; the server ends the connection.
      return end.how == How::Completed && visit.connection.end_stream();
    }
    if (end.how == How::Left) return false;
    if (const Span late = net::clock_now() - asked_until; late > late_at_most)
      core_.permissions().violated(front::Violation::AnsweredLate, w.id, late);
    switch (end.how) {
      case How::Shed:
      case How::NotTaken: return shed(end.how == How::Shed ? end.retry_after : Span{}, visit);
      case How::Late: return fail(504, "no answer came in time", visit);
      default: return fail(502, "no engine could answer", visit);
    }
  }

  bool shed(Span retry_after, Visit& visit) {
    http::Headers headers;
    if (retry_after > Span{}) {
      char text[32];
      std::snprintf(text, sizeof text, "%.3f", retry_after.seconds());
      headers.emplace_back("Retry-After", text);
    }
    return visit.connection.respond(503, headers, "", visit.keep_alive);
  }

  bool fail(int status, const std::string& what, Visit& visit) {
    const nlohmann::json body{{"error", {{"message", what}}}};
    // What came wrong once is not read on from.
    const bool on = visit.keep_alive && status >= 500;
    return visit.connection.respond(status, {{"content-type", "application/json"}},
                                    body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                                    on) &&
           on;
  }

  front::Core& core_;
  const platform::Decoded names_;
  RequestIds ids_;
};

}  // namespace

std::unique_ptr<front::Protocol> client_front(front::Core& core, const platform::Decoded& names) {
  return std::make_unique<ClientFront>(core, names);
}

}  // namespace calicograde::node
