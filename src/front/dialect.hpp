#pragma once

#include <memory>
#include <optional>
#include <string>

#include "engines/completions.hpp"
#include "front/cases.hpp"
#include "front/core.hpp"
#include "http/http.hpp"

namespace calicograde::front {

// What is written to an engine.
struct Words {
  std::string method, target;
  http::Headers headers;
  std::shared_ptr<const std::string> body;
  std::shared_ptr<const std::string> rest_of_head = {};  // null = the headers are all of it
};

// How the engines of one pool are spoken to: what is written to them, and what their answers mean. It holds
// nothing that changes, and is called from many threads.
class Dialect {
 public:
  virtual ~Dialect() = default;

  virtual Words send(const StartSend& send, const Asked& asked, const settings::Route& route) const = 0;
  // Whether what follows this head is the answer's stream; else it is read whole.
  virtual bool streams(engines::Leg leg, const http::Response& head) const = 0;
  // From every answer's head.
  virtual void head(const http::Response& head, engines::SendFacts& facts, Ending& ending) const = 0;
  // Of an answer that is no stream, its body; what it told of the prompt, if anything.
  virtual std::optional<Usage> whole(engines::Leg leg, const std::string& text, engines::SendFacts& facts,
                                     Ending& ending) const = 0;
  // What has come of a stream. True once the client may be told of it; facts.understood is false for garbage.
  virtual bool begins(std::string bytes, EngineStream::Begun& begun, engines::SendFacts& facts) const = 0;
  virtual engines::Judged judge(engines::Leg leg, const engines::SendFacts& facts) const = 0;

  virtual Words place(const AskPlace& ask, const Asked& asked) const = 0;
  // Held or not, by the answer; none = nobody can tell.
  virtual std::optional<bool> place_held(const http::Response& head, const std::string& text) const = 0;
  // An engine grants a place only while it knows of the read: it is asked once the read was written.
  virtual bool place_after_read() const = 0;

  // A question that an engine answers at once, whatever it has in work; none where there is no such thing.
  virtual std::optional<Words> probe() const { return std::nullopt; }

  virtual Words release(const Release& release) const = 0;
  virtual bool released(const http::Response& head) const = 0;
  // One release lets go of all that is held for an inference, and any engine takes it; else each state and
  // place is let go by its own name where it is.
  virtual bool releases_whole() const = 0;
};

// Chat completions with kv_transfer_params, and the extension of docs/front.md.
std::shared_ptr<const Dialect> completions_dialect(std::string front_name);

}  // namespace calicograde::front
