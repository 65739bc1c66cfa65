#include "node/dialect.hpp"

#include <algorithm>

#include "net/clock.hpp"
#include "platform/outcomes.hpp"
#include "platform/request.hpp"

namespace calicograde::node {
namespace {

using engines::Leg;
using engines::SendFacts;
using front::Words;

constexpr const char* host = "service.internal";

Words bare(const char* method, const std::string& id) {
  static const auto nothing = std::make_shared<const std::string>();
  return {method, std::string(platform::state_path) + id, {{"Host", host}}, nothing};
}

class PlatformDialect : public front::Dialect {
 public:
  Words send(const front::StartSend& s, const front::Asked& asked, const settings::Route&) const override {
    const front::Passed& passed = *asked.passed;
    const double left = std::max(1.0, (s.until - net::clock_now()).as_millis());
    http::Headers headers{{"Host", host},
                          {platform::timeout_header, std::to_string(static_cast<long long>(left))}};
    const auto content = passed.content();
    return {passed.method,
            passed.target,
            std::move(headers),
            {content, &content->body},
            {content, &content->rest_of_head}};
  }
  bool streams(Leg leg, const http::Response& head) const override {
    return head.status == 200 && leg != Leg::Read;
  }
  void head(const http::Response& head, SendFacts& facts, front::Ending&) const override {
    facts.status = head.status;
    facts.not_started = http::header(head.headers, platform::not_run_header) == "1";
  }
  std::optional<Usage> whole(Leg leg, const std::string& text, SendFacts& facts,
                             front::Ending& ending) const override {
    if (leg != Leg::Read || facts.status != 202 || !facts.body_whole) return std::nullopt;
    ending.state = "kept";  // where it is, engines know by the inference's id
    if (const auto kept = platform::kept_tokens(text))
      ending.kept_told = true, ending.kept_tokens = static_cast<std::uint32_t>(*kept);
    return std::nullopt;
  }
  bool begins(std::string bytes, front::EngineStream::Begun& begun, SendFacts& facts) const override {
    begun.bytes += bytes;
    const auto opening = platform::opening_of(begun.bytes);
    facts.understood = opening != platform::Opening::Garbage;
    return opening == platform::Opening::Event;
  }
  engines::Judged judge(Leg leg, const SendFacts& f) const override {
    using C = SendFacts::Connect;
    platform::Facts facts;
    using To = platform::Facts::Connect;
    facts.connect = f.connect == C::Connected ? To::Connected
                    : f.connect == C::Local   ? To::Local
                                              : To::Failed;
    facts.not_sent = f.not_sent;
    facts.cancelled = f.cancelled, facts.asked_whole = f.asked_whole, facts.timed_out = f.timed_out;
    facts.status = f.status, facts.not_started = f.not_started, facts.body_whole = f.body_whole;
    facts.garbled = f.garbled || !f.understood;
    const auto judged = platform::judge(leg == Leg::Read, facts);
    return {judged.as, judged.no_state, judged.refused};
  }

  Words place(const front::AskPlace&, const front::Asked& asked) const override {
    return bare("POST", asked.passed->id);
  }
  std::optional<bool> place_held(const http::Response& head, const std::string&) const override {
    const auto place = platform::place_of(head.status);
    if (place == platform::Place::Unheard) return std::nullopt;
    return place == platform::Place::Held;
  }
  bool place_after_read() const override { return true; }

  std::optional<Words> probe() const override {
    static const auto nothing = std::make_shared<const std::string>();
    return Words{"GET", std::string(platform::live_path), {{"Host", host}}, nothing};
  }

  Words release(const front::Release& r) const override { return bare("DELETE", r.name); }
  bool released(const http::Response& head) const override { return head.status / 100 == 2; }
  bool releases_whole() const override { return true; }
};

}  // namespace

std::shared_ptr<const front::Dialect> platform_dialect() { return std::make_shared<const PlatformDialect>(); }

}  // namespace calicograde::node
