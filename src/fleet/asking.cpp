#include "fleet/asking.hpp"

#include <unistd.h>

#include "files/atomic_file.hpp"
#include "http/http.hpp"
#include "net/clock.hpp"

namespace calicograde::fleet {

using Json = nlohmann::ordered_json;
using net::clock_now;

namespace {

constexpr std::size_t answer_bytes = 256 << 20;
constexpr Span look_every = Span::millis(100), again_after = Span::millis(50);
constexpr int looks_lost = 3;  // looks in a row without an answer, until a drain's outcome is unknown

std::string named(const Json& j) {
  return j.is_object() && j.contains("error") && j["error"].is_string() ? j["error"].get<std::string>() : "";
}

}  // namespace

Answer ask(const Front& front, const std::string& method, const std::string& path, const Json& body,
           Instant until) {
  Answer out;
  std::string token;
  if (!front.token_file.empty()) {
    std::string wrong;
    const auto text = files::read_small(front.token_file, wrong, 4096);
    if (!text) return out.what = wrong.empty() ? front.token_file + ": no such file" : wrong, out;
    token = text->substr(0, text->find_first_of("\r\n"));
  }
  const auto at = net::resolve(front.admin);
  if (!at) return out.what = "its name has no address", out;
  auto [how, stream] = net::Stream::connect(*at, until);
  if (how != net::ConnectEnd::Connected) {
    out.what = how == net::ConnectEnd::Refused    ? "nothing listens there"
               : how == net::ConnectEnd::TimedOut ? "no connection came about in time"
                                                  : "there is no way there";
    return out;
  }
  http::ClientConnection link(std::move(stream));
  http::Headers headers{
      {"host", front.name}, {"content-type", "application/json"}, {"x-calicograde-admin", "1"}};
  if (!token.empty()) headers.emplace_back("authorization", "Bearer " + token);
  const auto before = link.stream().bytes_written();
  const bool asked = link.ask(method, path, headers, body.is_null() ? "" : body.dump(), until);
  if (!asked && link.stream().bytes_written() == before) return out.what = "it took no question", out;
  // From here on it may have heard.
  out.result = Result::Unknown;
  http::Response head;
  std::string text;
  if (!asked) return out.what = "the question was cut off", out;
  const auto began = link.read_head(head, until);
  if (began != http::BodyEnd::Done)
    return out.what = began == http::BodyEnd::TimedOut ? "no answer in time" : "the connection broke", out;
  const auto ended = link.read_whole(text, until, answer_bytes);
  if (ended != http::BodyEnd::Done)
    return out.what = ended == http::BodyEnd::TimedOut ? "half an answer in time" : "half an answer", out;
  Json j = Json::parse(text, nullptr, false);
  const bool ours = j.is_object() && j.contains("version") && j["version"].is_number_integer();
  if (head.status >= 400 && head.status < 600 && ours) {
    out.result = Result::Refused, out.what = named(j);
    if (out.what.empty()) out.what = "status " + std::to_string(head.status);
    return out;
  }
  if (!ours || head.status != 200) return out.what = "what answers there is no front", out;
  if (j["version"] != 1) {
    out.result = Result::Refused;
    out.what = "it answers in version " + j["version"].dump() + ", this tool reads 1";
    return out;
  }
  // Another front behind the address is asked by mistake: nothing that it says is this one's.
  if (j.contains("front") && j["front"].is_string() && j["front"] != front.name) {
    out.what = "front " + j["front"].get<std::string>() + " answers there";
    return out;
  }
  out.result = Result::Done, out.body = std::move(j);
  return out;
}

Answer ask_again(const Front& front, const std::string& method, const std::string& path, const Json& body,
                 Instant until, int tries) {
  for (int k = 1;; ++k) {
    // A silent front must not eat the time of the next try.
    const Span left = until - clock_now();
    const Instant mine = k < tries ? clock_now() + left * (1.0 / (tries - k + 1)) : until;
    auto out = ask(front, method, path, body, mine);
    const bool again = out.result == Result::Unreachable || out.result == Result::Unknown;
    if (!again || k >= tries || clock_now() + again_after >= until) return out;
    usleep(static_cast<useconds_t>(again_after.as_millis() * 1000));
  }
}

Answer drain(const Front& front, const DrainAsk& a, Span each, Instant until) {
  const Json body{{"by", a.by},
                  {"limit_ms", a.limit.as_millis()},
                  {"at_limit", a.cut ? "cut" : "go-on"},
                  {"remember", a.remember}};
  // Asking twice is harmless: both are one drain.
  auto said = ask_again(front, "POST", "/admin/v1/drain", body, std::min(until, clock_now() + each), 2);
  if (said.result != Result::Done) return said;
  const auto state = [&](const Json& j) {
    return j.contains("drain") && j["drain"].is_object() ? j["drain"].value("state", "") : "";
  };
  const auto number = [&](const Json& j) { return j["drain"].value("number", std::uint64_t{0}); };
  const std::uint64_t mine = state(said.body).empty() ? 0 : number(said.body);
  for (int lost = 0;;) {
    const std::string now = said.result == Result::Done ? state(said.body) : "?";
    if (said.result == Result::Done) {
      lost = 0;
      if (now == "drained" && number(said.body) == mine) return said;
      if (now == "serving" || now.empty() || number(said.body) != mine) {
        said.result = Result::Refused;
        said.what = now.empty() ? "its answer tells of no drain" : "the drain was taken back";
        return said;
      }
      if (!a.wait) return said;
    } else if (++lost >= looks_lost) {
      // It was asked and agreed, and nobody knows how that went.
      said.result = Result::Unknown;
      said.what = "asked, then silent: " + said.what;
      return said;
    }
    if (clock_now() + look_every >= until) {
      said.result = Result::Unknown;
      said.what = "still draining when the time was over";
      return said;
    }
    usleep(static_cast<useconds_t>(look_every.as_millis() * 1000));
    said = ask(front, "GET", "/admin/v1/drain", {}, std::min(until, clock_now() + each));
  }
}

}  // namespace calicograde::fleet
