#ifndef QUETZALLINE_PROGRAMS_TOML_READER_H_
#define QUETZALLINE_PROGRAMS_TOML_READER_H_

#include <toml++/toml.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"

namespace quetzalline {

/// A fault in a settings or service file, with what to do about it.
struct FileFault {
  std::string file_;
  std::int64_t line_ = 0;
  std::string key_;
  std::string message_;
};

/// The fault as one line: file:line: key: message.
std::string Text(const FileFault& fault);

/// Parses a file; a fault is added where it is no TOML or cannot be read.
std::optional<toml::table> ParseTomlFile(const std::string& path,
                                         std::vector<FileFault>& faults);

/// Reads one TOML table key by key. Each missing or malformed value adds a
/// fault and reads as its default; Finish adds one for each key nobody asked
/// for. Everything is checked before anything is used.
class TomlReader {
 public:
  TomlReader(std::string file, std::string prefix, const toml::table& table,
             std::vector<FileFault>& faults)
      : file_(std::move(file)),
        prefix_(std::move(prefix)),
        table_(table),
        faults_(faults) {}

  /// A value without a default is required.
  std::string String(const std::string& key);
  std::string String(const std::string& key, const std::string& otherwise);
  std::vector<std::string> Strings(const std::string& key);
  std::int64_t Integer(const std::string& key, std::int64_t otherwise,
                       std::int64_t least, std::int64_t most);
  bool Bool(const std::string& key, bool otherwise);
  /// A text such as 500ms, 5s, 2m or 1h.
  Duration Time(const std::string& key, Duration otherwise);
  Duration RequiredTime(const std::string& key);
  /// A text such as 512KB, 8MB or 250GB, in bytes.
  std::int64_t Bytes(const std::string& key, std::int64_t otherwise);
  /// A number of cores such as 0.5 or 64, in thousandths.
  std::int64_t MilliCores(const std::string& key, std::int64_t otherwise);
  /// A numeric address with a port, as text.
  std::string Address(const std::string& key);

  /// The table of this key; empty where there is none.
  std::optional<TomlReader> Table(const std::string& key);
  std::vector<TomlReader> Tables(const std::string& key);

  void Fault(const std::string& key, const std::string& message);
  void Finish();

 private:
  const toml::node* Find(const std::string& key);
  template <typename T>
  std::optional<T> Value(const std::string& key, const char* expected);
  std::string FullKey(const std::string& key) const;

  std::string file_;
  std::string prefix_;
  const toml::table& table_;
  std::vector<FileFault>& faults_;
  std::set<std::string> asked_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_TOML_READER_H_
