#include "keep/disk.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "files/atomic_file.hpp"
#include "keep/state.hpp"
#include "net/interrupted.hpp"

namespace calicograde::keep {
namespace {

std::string cause(const char* what, const std::string& name) {
  return std::string("cannot ") + what + " " + name + ": " + std::strerror(errno);
}

}  // namespace

Folder::Folder(std::string path, bool reading) : path_(std::move(path)) {
  folder_ = net::Fd(::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!folder_) throw std::runtime_error(cause("open folder", path_));
  if (reading) return;
  lock_ = net::Fd(::openat(folder_.get(), "lock", O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (!lock_) throw std::runtime_error(cause("write in folder", path_));
  if (::flock(lock_.get(), LOCK_EX | LOCK_NB) != 0)
    throw std::runtime_error("folder " + path_ + " is another process's: give each front its own");
}

std::string Folder::create(const std::string& name) {
  net::Fd fd(
      ::openat(folder_.get(), name.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600));
  if (!fd) return cause("create", path_ + "/" + name);
  open_[name] = std::move(fd);
  return {};
}

std::string Folder::append(const std::string& name, std::string_view bytes) {
  const auto it = open_.find(name);
  if (it == open_.end()) return "cannot write " + name + ": it was not created";
  while (!bytes.empty()) {
    const ssize_t n = ::write(it->second.get(), bytes.data(), bytes.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return cause("write", path_ + "/" + name);
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return {};
}

std::string Folder::sync(const std::string& name) {
  const auto it = open_.find(name);
  if (it == open_.end()) return "cannot sync " + name + ": it was not created";
  return net::retry_interrupted([&] { return ::fdatasync(it->second.get()); }) == 0
             ? std::string()
             : cause("sync", path_ + "/" + name);
}

std::string Folder::rename(const std::string& from, const std::string& to) {
  open_.erase(from), open_.erase(to);
  if (::renameat(folder_.get(), from.c_str(), folder_.get(), to.c_str()) != 0)
    return cause("rename", path_ + "/" + from);
  return {};
}

std::string Folder::remove(const std::string& name) {
  open_.erase(name);
  if (::unlinkat(folder_.get(), name.c_str(), 0) != 0 && errno != ENOENT)
    return cause("remove", path_ + "/" + name);
  return {};
}

std::string Folder::sync_folder() {
  return net::retry_interrupted([&] { return ::fsync(folder_.get()); }) == 0 ? std::string()
                                                                             : cause("sync", path_);
}

std::optional<std::vector<std::string>> Folder::list(std::string& wrong) {
  std::vector<std::string> out;
  const std::unique_ptr<DIR, int (*)(DIR*)> dir(::opendir(path_.c_str()), ::closedir);
  if (!dir) return wrong = cause("list", path_), std::nullopt;
  errno = 0;
  while (const dirent* e = ::readdir(dir.get())) out.emplace_back(e->d_name);
  if (errno != 0) return wrong = cause("list", path_), std::nullopt;
  std::sort(out.begin(), out.end());
  return out;
}

std::optional<std::string> Folder::read(const std::string& name, std::string& wrong) {
  auto out = files::read_small(path_ + "/" + name, wrong, most_bytes);
  if (!out && wrong.empty()) wrong = name + " is not there";
  return out;
}

}  // namespace calicograde::keep
