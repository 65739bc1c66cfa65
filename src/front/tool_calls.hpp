#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "core/prompt.hpp"
#include "front/core.hpp"
#include "front/links.hpp"
#include "rpc/message.hpp"
#include "tools/tool_desk.hpp"

namespace calicograde::front {

class Answering;

// Whoever calls tools: a client's session, or the messages of one session. It has a session of its own at
// each server that it has called. Shared by the threads of its calls.
class Caller {
 public:
  // `key`: under which the desk knows it; 0 = it has none. Capabilities and info as JSON.
  explicit Caller(std::uint64_t key, std::string capabilities = "{}", std::string info = "{}")
      : key_(key), capabilities_(std::move(capabilities)), info_(std::move(info)) {}
  std::uint64_t key() const { return key_; }

 private:
  friend class ToolCalls;
  const std::uint64_t key_;
  const std::string capabilities_, info_;
  std::mutex mutex_;
  std::map<std::size_t, std::string> upstream_;
};

// Makes calls at the tool servers of the settings, and those of tools that are inferences, for all client
// protocols. Which server takes a call and whether it goes again is tools::ToolDesk's to say; an inference
// goes through the core. All functions may be called by any thread.
class ToolCalls {
 public:
  using CallId = tools::CallId;
  struct Order {
    std::string tool, params;  // of tools/call, as JSON
    bool progress = false;     // whether it is wanted
    Instant ends;
  };
  // Hears what comes before the answer, on the thread that makes the call.
  class Ear {
   public:
    virtual ~Ear() = default;
    // Params of a notification without its token; never after the answer.
    virtual void progress(const std::string&) {}
    virtual void message(const std::string&) {}
    // A server asks back. False: whoever called does not offer that.
    virtual bool asked(std::size_t, const std::string& /*its session there*/, const rpc::Request&) {
      return false;
    }
  };
  struct Done {
    enum class How { Answered, Failed, Cancelled } how = How::Failed;
    std::string result, error;  // of the answer, as JSON: one of them
    tools::FailCall fail;
    bool ran = false, unsure = false;  // it ran; whether it did is unknown
  };

  explicit ToolCalls(Core& core);
  ~ToolCalls();

  // Registers a call, and makes it: returns when it has ended, at the latest a second after its time. Between
  // the two it may be cancelled already.
  CallId begin(const Caller& caller, const Order& order);
  Done make(CallId id, Caller& caller, const Order& order, Ear& ear);
  void cancel(CallId id);
  void abandon(CallId id);  // of a call begun that nobody will make
  void session_over(std::uint64_t key);
  // A message to a server beside a call: an answer to what it asked back, or a cancel.
  void tell(std::size_t server, const std::string& upstream, const std::string& message);

  // What is offered just now, by name: definitions as JSON, and in the words of a prompt.
  std::string catalogue() const;
  struct Offered {
    ToolOffer tool;
    std::string server;
    Effect effect = Effect::NonRetriable;
  };
  std::vector<Offered> offered() const;
  Span time_of(const std::string& tool) const;
  std::size_t open() const;
  const settings::Tools& settings() const { return settings_; }

 private:
  struct Post;
  struct Way;
  using PostRef = std::shared_ptr<Post>;
  const settings::TextTool* text_tool(const std::string& name) const;
  Done infer(const settings::TextTool& tool, const Order& order, Post& post);
  bool attempt(Way& w, const tools::SendCall& s);
  std::optional<http::ClientConnection> connect(std::size_t server, Instant until);
  http::Headers headers_for(const std::string& upstream, const char* revision) const;
  std::optional<std::string> open_upstream(std::size_t server, http::ClientConnection& link,
                                           const std::string& capabilities, const std::string& info,
                                           Instant until);
  std::optional<std::string> upstream_of(Caller& caller, std::size_t server, http::ClientConnection& link,
                                         Instant until);
  tools::CallEnd relay(Way& w, const tools::SendCall& s, const std::string& upstream,
                       http::ClientConnection& link);
  bool passed(Way& w, const tools::SendCall& s, const std::string& upstream, const std::string& id,
              const std::string& text);
  bool stop_wanted(const Post& post) const;
  void heard(CallId id, std::uint32_t send);
  void cancel_upstream(std::size_t server, const std::string& upstream, const std::string& id);
  void dispatch(const std::vector<tools::DeskAction>& actions);
  PostRef post_of(CallId id) const;
  bool pause(Span span);
  void list();
  using Found = std::pair<std::vector<tools::Offer>, std::map<std::string, rpc::Tool>>;
  std::optional<Found> ask_tools(std::size_t server);

  Core& core_;
  const settings::Tools& settings_;
  mutable std::mutex desk_mutex_;
  std::condition_variable stopped_;
  bool stopping_ = false;
  tools::ToolDesk desk_;
  std::map<CallId, PostRef> posts_;
  std::map<std::size_t, std::map<std::string, rpc::Tool>> definitions_;
  Links links_;
  std::map<std::size_t, std::string> listing_;  // the lister's own sessions; its thread's alone
  std::uint64_t list_id_ = 0;
  std::atomic<CallId> next_call_ = 1;
  std::thread lister_, ticker_;
};

}  // namespace calicograde::front
