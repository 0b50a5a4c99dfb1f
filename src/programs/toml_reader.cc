#include "programs/toml_reader.h"

#include <charconv>
#include <cmath>
#include <fstream>
#include <utility>

#include "adapters/socket_address.h"
#include "core/limits.h"

namespace quetzalline {
namespace {

struct Unit {
  std::string_view name_;
  std::int64_t size_;
};

constexpr Unit kTimeUnits[] = {{"ms", 1000},
                               {"s", 1000 * 1000},
                               {"m", std::int64_t{60} * 1000 * 1000},
                               {"h", std::int64_t{3600} * 1000 * 1000}};
constexpr Unit kByteUnits[] = {{"KB", std::int64_t{1} << 10},
                               {"MB", std::int64_t{1} << 20},
                               {"GB", std::int64_t{1} << 30}};
constexpr double kMilliPerCore = 1000.0;
constexpr double kMaxCores =
    static_cast<double>(kMaxResourceAmount) / kMilliPerCore;
// Largest time in microseconds or size in bytes.
constexpr std::int64_t kMaxWithUnit = std::int64_t{1} << 53;

// Parses a whole number that is followed directly by one of the units. Returns
// the product of number and unit, or nothing if it exceeds kMaxWithUnit.
template <std::size_t Count>
std::optional<std::int64_t> ParseWithUnit(const std::string& text,
                                          const Unit (&units)[Count]) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || number < 0) return std::nullopt;
  const std::string_view unit(stop, static_cast<std::size_t>(end - stop));
  for (const Unit& known : units) {
    if (known.name_ != unit) continue;
    if (number > kMaxWithUnit / known.size_) return std::nullopt;
    return number * known.size_;
  }
  return std::nullopt;
}

}  // namespace

std::string FormatError(const FileError& error) {
  std::string text = error.file_;
  if (error.line_ > 0) text += ":" + std::to_string(error.line_);
  if (!error.key_.empty()) text += ": " + error.key_;
  return text + ": " + error.message_;
}

std::optional<toml::table> ParseTomlFile(const std::string& path,
                                         std::vector<FileError>& errors) {
  std::ifstream in(path);
  if (!in) {
    errors.push_back({path, 0, "", "cannot be read; check the path"});
    return std::nullopt;
  }
  try {
    return toml::parse(in, path);
  } catch (const toml::parse_error& error) {
    const auto line = static_cast<std::int64_t>(error.source().begin.line);
    errors.push_back(
        {path, line, "", "is not TOML: " + std::string(error.description())});
    return std::nullopt;
  }
}

std::string TomlReader::FullKey(const std::string& key) const {
  return prefix_.empty() ? key : prefix_ + "." + key;
}

void TomlReader::AddError(const std::string& key, const std::string& message) {
  const toml::node* node = table_.get(key);
  const toml::source_region& region =
      node == nullptr ? table_.source() : node->source();
  errors_.push_back({file_, static_cast<std::int64_t>(region.begin.line),
                     FullKey(key), message});
}

const toml::node* TomlReader::Find(const std::string& key) {
  read_keys_.insert(key);
  return table_.get(key);
}

template <typename T>
std::optional<T> TomlReader::Value(const std::string& key,
                                   const char* expected) {
  const toml::node* node = Find(key);
  if (node == nullptr) return std::nullopt;
  const std::optional<T> value = node->value_exact<T>();
  if (!value) AddError(key, std::string("must be ") + expected);
  return value;
}

std::string TomlReader::String(const std::string& key) {
  const std::optional<std::string> value = Value<std::string>(key, "a string");
  if (value && !value->empty()) return *value;
  if (value || Find(key) == nullptr) AddError(key, "is missing; set a string");
  return {};
}

std::string TomlReader::String(const std::string& key,
                               const std::string& default_value) {
  return Value<std::string>(key, "a string").value_or(default_value);
}

std::vector<std::string> TomlReader::Strings(const std::string& key) {
  std::vector<std::string> strings;
  const toml::node* node = Find(key);
  if (node == nullptr) return strings;
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    AddError(key, "must be an array of strings");
    return strings;
  }
  for (const toml::node& element : *array) {
    const std::optional<std::string> text = element.value_exact<std::string>();
    if (text) strings.push_back(*text);
    if (!text) AddError(key, "must be an array of strings");
  }
  return strings;
}

std::int64_t TomlReader::Integer(const std::string& key,
                                 std::int64_t default_value,
                                 std::int64_t min_value,
                                 std::int64_t max_value) {
  const std::optional<std::int64_t> value =
      Value<std::int64_t>(key, "a whole number");
  if (!value) return default_value;
  if (*value >= min_value && *value <= max_value) return *value;
  AddError(key, "must be from " + std::to_string(min_value) + " to " +
                    std::to_string(max_value));
  return default_value;
}

bool TomlReader::Bool(const std::string& key, bool default_value) {
  return Value<bool>(key, "true or false").value_or(default_value);
}

Duration TomlReader::Time(const std::string& key, Duration default_value) {
  const std::optional<std::string> text =
      Value<std::string>(key, "a time such as \"500ms\", \"5s\" or \"2m\"");
  if (!text) return default_value;
  const auto parsed = ParseWithUnit(*text, kTimeUnits);
  if (parsed) return Duration(*parsed);
  AddError(key, "must be a whole number with ms, s, m or h, such as \"500ms\"");
  return default_value;
}

Duration TomlReader::RequiredTime(const std::string& key) {
  if (Find(key) == nullptr) {
    AddError(key, "is missing; set a time such as \"2s\"");
  }
  return Time(key, Duration::zero());
}

std::int64_t TomlReader::Bytes(const std::string& key,
                               std::int64_t default_value) {
  const std::optional<std::string> text =
      Value<std::string>(key, "a size such as \"512KB\" or \"8GB\"");
  if (!text) return default_value;
  const auto parsed = ParseWithUnit(*text, kByteUnits);
  if (parsed) return *parsed;
  AddError(key, "must be a whole number with KB, MB or GB, such as \"8GB\"");
  return default_value;
}

std::int64_t TomlReader::MilliCores(const std::string& key,
                                    std::int64_t default_value) {
  const toml::node* node = Find(key);
  if (node == nullptr) return default_value;
  const std::optional<double> cores = node->value<double>();
  if (cores && node->is_number() && *cores >= 0 && *cores <= kMaxCores) {
    return std::llround(*cores * kMilliPerCore);
  }
  AddError(key, "must be a number of cores such as 0.5");
  return default_value;
}

std::string TomlReader::Address(const std::string& key) {
  const std::string text = String(key);
  if (!text.empty() && !ParseSocketAddress(text)) {
    AddError(key,
             "must be a numeric address with a port, such as "
             "\"127.0.0.1:7000\"");
  }
  return text;
}

std::optional<TomlReader> TomlReader::Table(const std::string& key) {
  const toml::node* node = Find(key);
  if (node == nullptr) return std::nullopt;
  const toml::table* table = node->as_table();
  if (table != nullptr) return TomlReader(file_, FullKey(key), *table, errors_);
  AddError(key, "must be a table, written [" + FullKey(key) + "]");
  return std::nullopt;
}

std::vector<TomlReader> TomlReader::Tables(const std::string& key) {
  std::vector<TomlReader> readers;
  const toml::node* node = Find(key);
  if (node == nullptr) return readers;
  const toml::array* array = node->as_array();
  if (array == nullptr || !array->is_array_of_tables()) {
    AddError(key, "must be tables, each written [[" + FullKey(key) + "]]");
    return readers;
  }
  for (const toml::node& element : *array) {
    readers.emplace_back(file_, FullKey(key), *element.as_table(), errors_);
  }
  return readers;
}

void TomlReader::Finish() {
  for (const auto& [key, node] : table_) {
    const std::string name(key.str());
    if (!read_keys_.contains(name)) {
      AddError(name, "is not a known key; remove it or correct its spelling");
    }
  }
}

}  // namespace quetzalline
