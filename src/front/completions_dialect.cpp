#include <algorithm>
#include <cstdio>

#include "front/dialect.hpp"

namespace calicograde::front {
namespace {

using engines::Leg;
using engines::SendFacts;

class CompletionsDialect : public Dialect {
 public:
  explicit CompletionsDialect(std::string front_name) : front_(std::move(front_name)) {}

  Words send(const StartSend& s, const Asked& asked, const settings::Route& route) const override {
    return words("/v1/chat/completions",
                 engines::ask_body(s.leg, route.engine_model.empty() ? route.model : route.engine_model,
                                   *asked.prompt, s.state, s.place),
                 s.name, &asked);
  }
  bool streams(Leg leg, const http::Response& head) const override {
    return head.status == 200 && leg != Leg::Read;
  }
  void head(const http::Response& head, SendFacts& facts, Ending& ending) const override {
    facts.status = head.status;
    if (const auto load = http::header(head.headers, "x-calicograde-load"); !load.empty())
      ending.report = engines::parse_load(load);
  }
  std::optional<Usage> whole(Leg, const std::string& text, SendFacts& facts, Ending& ending) const override {
    if (facts.status != 200) {
      const auto error = engines::parse_error(text);
      facts.error_code = error.code, ending.state = error.message;
      return std::nullopt;
    }
    if (!facts.body_whole) return std::nullopt;
    const auto answer = engines::parse_read(text);
    facts.understood = answer.has_value();
    if (!answer) return std::nullopt;
    ending.state = answer->state;
    ending.kept_told = answer->kept_told;
    ending.kept_tokens = static_cast<std::uint32_t>(std::min(answer->usage.kept_tokens, 4e9));
    return answer->usage;
  }
  bool begins(std::string bytes, EngineStream::Begun& begun, SendFacts& facts) const override {
    bool says = false;
    facts.understood = begun.events.feed(bytes, begun.ready);
    for (const auto& e : begun.ready) {
      const auto chunk = engines::parse_chunk(e.data);
      facts.understood = facts.understood && chunk;
      if (!facts.understood) return false;
      says |= chunk->says();
    }
    return says;
  }
  engines::Judged judge(Leg leg, const SendFacts& facts) const override { return engines::judge(leg, facts); }

  Words place(const AskPlace& ask, const Asked& asked) const override {
    char body[160];
    std::snprintf(body, sizeof body, "{\"prompt_tokens\":%.0f,\"max_tokens\":%.0f}", asked.prompt_tokens,
                  asked.max_answer_tokens);
    return words("/calicograde/v1/hold", body, ask.name, nullptr);
  }
  std::optional<bool> place_held(const http::Response& head, const std::string& text) const override {
    if (head.status != 200) return std::nullopt;
    return text.find("\"held\":true") != std::string::npos;
  }
  bool place_after_read() const override { return false; }

  Words release(const Release& r) const override {
    return words("/calicograde/v1/release", "{}", r.name, nullptr);
  }
  bool released(const http::Response& head) const override { return head.status == 200; }
  bool releases_whole() const override { return false; }

 private:
  Words words(const char* target, std::string body, const std::string& name, const Asked* asked) const {
    Words w{"POST",
            target,
            {{"host", front_}, {"content-type", "application/json"}, {"x-request-id", name}},
            std::make_shared<const std::string>(std::move(body))};
    if (asked && !asked->dedupe_key.empty()) w.headers.emplace_back("idempotency-key", asked->dedupe_key);
    return w;
  }
  const std::string front_;
};

}  // namespace

std::shared_ptr<const Dialect> completions_dialect(std::string front_name) {
  return std::make_shared<const CompletionsDialect>(std::move(front_name));
}

}  // namespace calicograde::front
