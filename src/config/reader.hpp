// Typed access to a parsed configuration file. Keys are named by dotted paths such as "limits.sockets";
// errors name that path, and line and column where the syntax has positions. The reader records which keys
// were requested, to find unknown keys, and the resulting values, for `topazweir check`.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "config/tree.hpp"
#include "topazweir/aggregator.hpp"

namespace topazweir::config {

// An effective setting.
struct Setting {
  std::string path;
  std::string value;
  bool isExplicit = false;  // set in the file; otherwise the value is the default
};

// Whether `text` is an IPv4 address and port such as "1.2.3.4:80". Host names are not accepted, since
// resolving them would block.
bool isAddress(std::string_view text);

// Reads the values of one object. A getter without a default throws ConfigError if the key is missing; all
// getters throw it for a value of the wrong type or out of bounds (bounds are inclusive).
class Reader {
 public:
  // `node` must outlive this reader and all readers obtained from it. `prefix` is put before paths in errors.
  // `file` is the name in errors; empty if the syntax has no positions.
  explicit Reader(const Node& node, std::string prefix = {}, std::string file = {});

  // Throws ConfigError for the key at `path`.
  [[noreturn]] void fail(std::string_view path, std::string_view what) const;
  // Returns the value at `path`, or null if it is absent.
  const Node* find(std::string_view path) const;
  std::string text(std::string_view path, std::optional<std::string_view> defaultValue = {}) const;
  bool flag(std::string_view path, std::optional<bool> defaultValue = {}) const;
  std::int64_t integer(std::string_view path, std::int64_t min, std::int64_t max,
                       std::optional<std::int64_t> defaultValue = {}) const;
  // A duration in milliseconds, returned in nanoseconds; bounds and default are milliseconds.
  Nanos millis(std::string_view path, std::int64_t min, std::int64_t max,
               std::optional<std::int64_t> defaultValue = {}) const {
    return integer(path, min, max, defaultValue) * 1'000'000;
  }
  double number(std::string_view path, double min, double max, std::optional<double> defaultValue = {}) const;
  // The index of the value among the allowed `words`; the default is an index as well.
  std::size_t choice(std::string_view path, const std::vector<std::string_view>& words,
                     std::optional<std::size_t> defaultValue = {}) const;
  std::vector<Reader> objects(std::string_view path) const;  // a list of objects, or all blocks of that type
  // One object or one block; throws if there are several.
  std::optional<Reader> object(std::string_view path) const;
  std::vector<std::string> texts(std::string_view path) const;  // empty if the key is absent
  // A list of integers, each within the bounds; empty if the key is absent.
  std::vector<std::int64_t> integers(std::string_view path, std::int64_t min, std::int64_t max) const;
  // An object of texts as key and value, in the order of the file.
  std::vector<std::pair<std::string, std::string>> pairs(std::string_view path) const;
  // The number at `index` of a list of numbers; the default if the list is absent or shorter.
  double listed(std::string_view path, std::size_t index, double defaultValue) const;
  // An IPv4 address and port (see isAddress), as written.
  std::string address(std::string_view path, std::optional<std::string_view> defaultValue = {}) const;

  // Throws ConfigError for the first key in the file that no getter has requested; the message suggests the
  // nearest known key.
  void refuseUnknown() const;
  // All values returned by getters so far, over all readers of the file.
  const std::vector<Setting>& settings() const { return record_->settings; }

 private:
  // Shared by all readers of one file.
  struct Record {
    std::string file;
    std::map<const Node*, std::set<std::string, std::less<>>> requestedKeys;  // by object
    std::map<const Node*, std::string> paths;                                 // of the objects
    std::vector<Setting> settings;
  };
  Reader(const Node& node, std::string prefix, std::shared_ptr<Record> record);
  template <class Value>
  std::optional<Value> valueAt(std::string_view path, std::string_view typeName) const;
  template <class Value>
  Value valueOrDefault(std::string_view path, std::optional<Value> value,
                       std::optional<Value> defaultValue) const;
  const Node::List* findList(std::string_view path) const;
  void addSetting(std::string_view path, std::string value, bool isExplicit) const;
  std::string positionText(const Node& node) const;
  void refuseUnknown(const Node& node) const;

  const Node* root_;
  std::string prefix_;
  std::shared_ptr<Record> record_;
};

}  // namespace topazweir::config
