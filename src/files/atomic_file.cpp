#include "files/atomic_file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

#include "net/interrupted.hpp"
#include "net/socket.hpp"

namespace calicograde::files {
namespace {

std::string cause(const char* what, const std::string& path) {
  return std::string("cannot ") + what + " " + path + ": " + std::strerror(errno);
}

std::string sync_folder_of(const std::string& path) {
  const auto slash = path.rfind('/');
  const std::string folder = slash == std::string::npos ? "." : slash == 0 ? "/" : path.substr(0, slash);
  const net::Fd fd(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!fd || net::retry_interrupted([&] { return ::fsync(fd.get()); }) != 0) return cause("sync", folder);
  return {};
}

}  // namespace

std::string write_atomically(const std::string& path, std::string_view text) {
  const std::string fresh = path + ".new";
  {
    const net::Fd fd(::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    if (!fd) return cause("write", fresh);
    for (std::size_t at = 0; at < text.size();) {
      const ssize_t n = ::write(fd.get(), text.data() + at, text.size() - at);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return cause("write", fresh);
      at += static_cast<std::size_t>(n);
    }
    if (net::retry_interrupted([&] { return ::fsync(fd.get()); }) != 0) return cause("sync", fresh);
  }
  if (::rename(fresh.c_str(), path.c_str()) != 0) return cause("rename", fresh);
  return sync_folder_of(path);
}

std::string remove_durably(const std::string& path) {
  if (::unlink(path.c_str()) != 0 && errno != ENOENT) return cause("remove", path);
  return sync_folder_of(path);
}

std::optional<std::string> read_small(const std::string& path, std::string& wrong, std::size_t most) {
  const net::Fd fd(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!fd) {
    if (errno != ENOENT) wrong = cause("read", path);
    return std::nullopt;
  }
  std::string out;
  char piece[4096];
  for (ssize_t n = 0; (n = ::read(fd.get(), piece, sizeof piece)) != 0;) {
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return wrong = cause("read", path), std::nullopt;
    out.append(piece, static_cast<std::size_t>(n));
    if (out.size() > most) return wrong = path + " is larger than it can be", std::nullopt;
  }
  return out;
}

}  // namespace calicograde::files
