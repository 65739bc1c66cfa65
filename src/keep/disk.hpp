#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/socket.hpp"

// The few things that a store does to one folder, so that tests can fail each of them. Every call says what
// went wrong, or nothing. Not thread-safe.
namespace calicograde::keep {

class Disk {
 public:
  virtual ~Disk() = default;
  virtual std::string create(const std::string& name) = 0;  // empty; what was there is gone
  virtual std::string append(const std::string& name, std::string_view bytes) = 0;
  virtual std::string sync(const std::string& name) = 0;
  virtual std::string rename(const std::string& from, const std::string& to) = 0;
  virtual std::string remove(const std::string& name) = 0;
  virtual std::string sync_folder() = 0;
  virtual std::optional<std::vector<std::string>> list(std::string& wrong) = 0;
  virtual std::optional<std::string> read(const std::string& name, std::string& wrong) = 0;
};

// A folder, locked against a second process. Throws std::runtime_error where it can't be had.
class Folder : public Disk {
 public:
  // `reading`: nothing will be written, and no lock is taken.
  explicit Folder(std::string path, bool reading = false);
  std::string create(const std::string& name) override;
  std::string append(const std::string& name, std::string_view bytes) override;
  std::string sync(const std::string& name) override;
  std::string rename(const std::string& from, const std::string& to) override;
  std::string remove(const std::string& name) override;
  std::string sync_folder() override;
  std::optional<std::vector<std::string>> list(std::string& wrong) override;
  std::optional<std::string> read(const std::string& name, std::string& wrong) override;

 private:
  std::string path_;
  net::Fd folder_, lock_;
  std::map<std::string, net::Fd> open_;
};

}  // namespace calicograde::keep
