#include "fleet/journal.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "files/atomic_file.hpp"
#include "net/interrupted.hpp"

namespace calicograde::fleet {

using Json = nlohmann::ordered_json;

Journal::Journal(const std::string& path, const std::string& command, const std::vector<std::string>& targets)
    : path_(path) {
  std::string wrong;
  const auto text = files::read_small(path, wrong, 64 << 20);
  if (!wrong.empty()) throw std::runtime_error(wrong);
  // A torn last line was being written when the tool was killed; whoever it was about counts as asked.
  std::string whole = text.value_or("");
  whole.resize(whole.rfind('\n') == std::string::npos ? 0 : whole.rfind('\n') + 1);
  std::size_t number = 0;
  for (std::size_t at = 0; at < whole.size();) {
    const auto end = whole.find('\n', at);
    const Json j = Json::parse(whole.substr(at, end - at), nullptr, false);
    ++number, at = end + 1;
    if (!j.is_object())
      throw std::runtime_error(path + ":" + std::to_string(number) +
                               ": is no line of a journal; name another file");
    if (number == 1) {
      if (j.value("journal", 0) != 1 || j.value("command", "") != command || j["targets"] != Json(targets))
        throw std::runtime_error(path + ":1: is the journal of another command or other fronts (" +
                                 j.value("command", "?") + "); give the same, or name another file");
      resumed_ = true;
    } else if (j.contains("asked")) {
      before_[j.value("asked", "")] = Result::Unknown;
    } else if (j.contains("ended")) {
      const std::string result = j.value("result", "");
      for (const Result r :
           {Result::Done, Result::Refused, Result::Unreachable, Result::Unknown, Result::HeldBack})
        if (result == word(r)) before_[j.value("ended", "")] = r;
    }
  }
  fd_ = net::Fd(::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600));
  if (!fd_ || ::ftruncate(fd_.get(), static_cast<off_t>(whole.size())) != 0 ||
      ::lseek(fd_.get(), 0, SEEK_END) < 0)
    throw std::runtime_error("cannot write " + path + ": " + std::strerror(errno));
  if (!resumed_) line(Json{{"journal", 1}, {"command", command}, {"targets", targets}}.dump());
}

void Journal::line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  const std::string out = text + "\n";
  for (std::size_t at = 0; at < out.size();) {
    const ssize_t n = ::write(fd_.get(), out.data() + at, out.size() - at);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) throw std::runtime_error("cannot write " + path_ + ": " + std::strerror(errno));
    at += static_cast<std::size_t>(n);
  }
  if (net::retry_interrupted([&] { return ::fsync(fd_.get()); }) != 0)
    throw std::runtime_error("cannot sync " + path_ + ": " + std::strerror(errno));
}

void Journal::asked(const std::string& name) { line(Json{{"asked", name}}.dump()); }
void Journal::ended(const std::string& name, Result result, const std::string& what) {
  line(Json{{"ended", name}, {"result", word(result)}, {"what", what}}.dump(-1, ' ', false,
                                                                            Json::error_handler_t::replace));
}

}  // namespace calicograde::fleet
