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

/// Describes an error in a settings or service file and how to correct it.
struct FileError {
  std::string file_;
  /// Line number from 1; 0 if the error applies to the whole file.
  std::int64_t line_ = 0;
  /// Full key, such as "entry.zone"; empty if the error is not about a key.
  std::string key_;
  std::string message_;
};

/// Formats an error as one line: "file:line: key: message".
std::string FormatError(const FileError& error);

/// Parses a TOML file. Adds an error and returns nothing if the file cannot be
/// read or is not valid TOML.
std::optional<toml::table> ParseTomlFile(const std::string& path,
                                         std::vector<FileError>& errors);

/// Reads one TOML table key by key. A missing required value or a malformed
/// value adds an error and yields the default, so that all errors of a file are
/// reported together before any value is used.
class TomlReader {
 public:
  TomlReader(std::string file, std::string prefix, const toml::table& table,
             std::vector<FileError>& errors)
      : file_(std::move(file)),
        prefix_(std::move(prefix)),
        table_(table),
        errors_(errors) {}

  /// Reads a required, non-empty string.
  std::string String(const std::string& key);
  std::string String(const std::string& key, const std::string& default_value);
  /// Reads an array of strings; a missing key yields an empty array.
  std::vector<std::string> Strings(const std::string& key);
  /// Reads a whole number in the range [min_value, max_value].
  std::int64_t Integer(const std::string& key, std::int64_t default_value,
                       std::int64_t min_value, std::int64_t max_value);
  bool Bool(const std::string& key, bool default_value);
  /// Reads a time with its unit, such as "500ms", "5s", "2m" or "1h".
  Duration Time(const std::string& key, Duration default_value);
  Duration RequiredTime(const std::string& key);
  /// Reads a size such as "512KB", "8MB" or "250GB"; returns bytes.
  std::int64_t Bytes(const std::string& key, std::int64_t default_value);
  /// Reads a number of cores such as 0.5 or 64; returns thousandths of a core.
  std::int64_t MilliCores(const std::string& key, std::int64_t default_value);
  /// Reads a required numeric address with a port, such as "127.0.0.1:7000".
  std::string Address(const std::string& key);

  /// Returns a reader of the table at this key, or nothing if there is none.
  std::optional<TomlReader> Table(const std::string& key);
  /// Returns a reader of each element of an array of tables.
  std::vector<TomlReader> Tables(const std::string& key);

  /// Adds an error about a key, with its line.
  void AddError(const std::string& key, const std::string& message);
  /// Adds an error for each key of the table that was not read.
  void Finish();

 private:
  const toml::node* Find(const std::string& key);
  template <typename T>
  std::optional<T> Value(const std::string& key, const char* expected);
  std::string FullKey(const std::string& key) const;

  std::string file_;
  std::string prefix_;
  const toml::table& table_;
  std::vector<FileError>& errors_;
  std::set<std::string> read_keys_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_TOML_READER_H_
