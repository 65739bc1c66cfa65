// A client sends a request whose Transfer-Encoding can't be read, with bytes behind its head that look like
// another request. Nobody can tell how long such a body is.
#include "stand.hpp"

using namespace stand;

int main(int argc, char** argv) {
  const Place place = place_of(argc, argv);
  Discovery discovery;
  std::vector<std::unique_ptr<Engine>> engines;
  std::mutex mutex;
  std::map<std::string, std::vector<std::string>> bodies;  // that engines got, by request id
  for (int k = 0; k < 4; ++k) {
    engines.push_back(std::make_unique<Engine>(k, k < 2, Pace{}));
    engines.back()->instead = [&, k](int, const Message& m, const std::string& id, bool*) {
      const std::lock_guard lock(mutex);
      bodies[id].push_back(m.body);
      record.line("engine %d gets request %s with a body of %zu bytes", k, id.c_str(), m.body.size());
      return false;  // and answers it as usual
    };
    discovery.list(*engines.back(), "Ready");
  }
  Node node(place, 0, Settings{});
  node.configure(discovery.address(), discovery.whole());
  node.start();
  if (!node.ready_by(10000)) cannot_run("the front node did not become ready");

  int refused = 0, served = 0, foreign = 0, altered = 0, usual = 0;
  for (const char* coding : {"gzip", "identity", "xchunked", "chunked, gzip"}) {
    const std::string outer = new_id(), hidden = new_id();
    const std::string body = request_text(hidden, "chat", 6000);
    const std::string framing =
        trouble() ? std::string("Transfer-Encoding: ") + coding : "Content-Length: " + std::to_string(body.size());
    const int fd = connect_to(node.port());
    if (fd < 0) cannot_run("cannot connect to the front node");
    Reader in(fd);
    record.line("client sends %s with \"%s\"; the bytes behind its head name %s", outer.c_str(), framing.c_str(),
                hidden.c_str());
    send_all(fd, "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: " + outer +
                     "\r\nRequest-Class: chat\r\nAffinity-Key: 7f3a9c21e0b4d655\r\nRequest-Timeout-Ms: 6000\r\n" +
                     framing + "\r\n\r\n" + body);
    for (int k = 0; k < 2; ++k) {
      Result r;
      r.sent = now_ms();
      read_answer(fd, in, r, 0, r.sent + (k == 0 ? 7000 : 1500));
      record.line("client: answer %d on its connection: status %d, %s", k + 1, r.status,
                  r.whole ? "whole" : word_of(r.end));
      if (k == 0 && r.status / 100 == 2) ++served;
      if (k == 0 && (r.status / 100 == 4 || r.status / 100 == 5 || r.status == 0)) ++refused;
      if (!r.whole) break;
    }
    ::close(fd);
    const std::lock_guard lock(mutex);
    if (bodies.count(hidden)) ++foreign, record.line("%s was never sent as a request, and engines got it", hidden.c_str());
    for (const std::string& got : bodies[outer])
      if (got != body) {
        ++altered, record.line("%s reached an engine with another body", outer.c_str());
        break;
      }
  }
  // The usual clients are served meanwhile.
  for (int k = 0; k < 5; ++k) {
    const int fd = connect_to(node.port());
    Reader in(fd);
    Result r;
    r.id = new_id(), r.sent = now_ms();
    send_all(fd, request_text(r.id, "chat", 6000));
    read_answer(fd, in, r, 0, r.sent + 8000);
    ::close(fd);
    usual += r.status == 200 && r.whole;
  }
  if (usual < 5) cannot_run("usual requests were not served");
  if (!trouble() && served < 4) cannot_run("sound requests were not served");
  char text[256];
  std::snprintf(text, sizeof text,
                "of 4 such requests %d were served as if sound and %d refused or closed; engines got %d with another "
                "body, and %d requests that no client had sent",
                served, refused, altered, foreign);
  verdict(foreign > 0 || (trouble() && served > 0), text);
}
