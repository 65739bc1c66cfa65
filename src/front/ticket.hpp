#pragma once

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "front/asked.hpp"
#include "front/claim.hpp"
#include "front/engine_stream.hpp"
#include "net/socket.hpp"

namespace calicograde::front {

struct Final {
  enum class How { Shed, Errored, Refused, Stopping } how = How::Errored;
  Span retry_after;
  bool outcome_unknown = false;
  int status = 0;       // of the engine's refusal
  std::string message;  // of the engine's refusal
};

// One inference that this front has taken, as its client's thread sees it.
class Ticket {
 public:
  Ticket(InfId inf, Instant opened, std::size_t pool, Asked asked)
      : inf_(inf), opened_(opened), pool_(pool), asked_(std::move(asked)) {
    usage_.prompt_tokens = asked_.prompt_tokens;
    client_ = asked_.client;
  }
  InfId inf() const { return inf_; }
  Instant opened() const { return opened_; }
  std::size_t pool() const { return pool_; }
  const Asked& asked() const { return asked_; }

  // The client's thread: until something has come, the client behind that descriptor hangs up (-1 = nobody is
  // watched; seen within half a second if Hangups does not tell), or the deadline. It costs no descriptor.
  net::Waited wait(int client_fd, Instant deadline);
  void poke();       // from any thread: wait() returns
  void peer_left();  // from any thread: wait() tells so
  // The client's thread: what has come.
  std::variant<std::monostate, Final, std::unique_ptr<EngineStream>> take();
  // The client's thread gives up. True if the module must hear that the client left.
  bool leave();
  std::uint8_t streaming_send() const;
  // The client's thread: from now on it reads from the client's connection again, or ends it.
  void forget_client();

  // Others:
  // The last look before an attempt is written, in the same step as the write: whether the client still waits
  // for one, whoever else has heard of its leaving so far.
  enum class Demand { Waiting, Answered, ClientGone, ClientUnseen };
  Demand demand() const;
  // Others: whoever claims first speaks to the client.
  bool claim_stream(std::uint8_t send);
  bool deliver(std::unique_ptr<EngineStream>& stream);  // false: the client has left meanwhile
  bool answer(const Final& final);
  // Writes that were ordered and not proven unrun since: whether the inference may have run, and since when.
  void write_ordered(Instant now);
  void write_unrun();
  // An attempt of either leg was ordered: from here on engines may keep something under the request's id.
  void attempt_ordered();
  bool any_attempt_ordered() const;
  int writes() const;                      // ordered, and not proven unrun
  std::optional<Instant> left_at() const;  // when its client was heard to have hung up
  std::pair<bool, Instant> may_have_run() const;
  // What a read told of the prompt.
  void learn(const Usage& usage);
  Usage usage() const;

 private:
  const InfId inf_;
  const Instant opened_;
  const std::size_t pool_;
  const Asked asked_;
  mutable std::mutex mutex_;
  std::condition_variable come_;
  bool poked_ = false, peer_left_ = false;
  std::optional<Instant> left_at_;
  Claim claim_;
  bool left_ = false;
  http::ServerConnection* client_ = nullptr;
  Usage usage_;
  int writes_ = 0;
  bool attempt_ordered_ = false;
  Instant first_write_;
  std::optional<Final> final_;
  std::unique_ptr<EngineStream> stream_;
};

}  // namespace calicograde::front
