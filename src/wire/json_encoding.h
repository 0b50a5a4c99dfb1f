#ifndef QUETZALLINE_WIRE_JSON_ENCODING_H_
#define QUETZALLINE_WIRE_JSON_ENCODING_H_

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

#include "core/body.h"
#include "core/ids.h"
#include "core/reflect.h"
#include "core/shared.h"
#include "core/time.h"

namespace quetzalline {

/// Returns the JSON key of a member. Keys of times have the suffix "_us".
template <typename Member>
std::string JsonKey(std::string_view name) {
  constexpr bool kIsTime = std::is_same_v<Member, Duration> ||
                           std::is_same_v<Member, Instant> ||
                           std::is_same_v<Member, std::optional<Duration>>;
  return std::string(name) + (kIsTime ? "_us" : "");
}

/// Encodes described values as JSON for dumps, the operator API, session files
/// and the store. A variant is an object whose only key is the name of its
/// alternative.
class JsonEncoder {
 public:
  static boost::json::value Encode(const std::string& value) {
    return boost::json::string(value);
  }
  static boost::json::value Encode(const Body& value) {
    return boost::json::string(value.bytes());
  }
  static boost::json::value Encode(Duration value) { return value.count(); }
  static boost::json::value Encode(Instant value) {
    return value.time_since_epoch().count();
  }
  static boost::json::value Encode(ConnectionId value) { return value.value(); }
  template <typename Tag>
  static boost::json::value Encode(const Name<Tag>& value) {
    return boost::json::string(value.value());
  }
  template <typename T>
  static boost::json::value Encode(const Shared<T>& value) {
    return Encode(*value);
  }
  template <typename T>
  requires std::is_arithmetic_v<T>
  static boost::json::value Encode(T value) { return value; }
  template <DescribedEnum E>
  static boost::json::value Encode(E value) {
    return boost::json::string(ToString(value));
  }
  template <typename T>
  static boost::json::value Encode(const std::vector<T>& values) {
    boost::json::array array;
    for (const T& value : values) array.push_back(Encode(value));
    return array;
  }
  template <typename T>
  static boost::json::value Encode(const std::optional<T>& value) {
    return value ? Encode(*value) : boost::json::value(nullptr);
  }
  template <typename... Alternatives>
  static boost::json::value Encode(const std::variant<Alternatives...>& value) {
    return std::visit(
        [](const auto& alternative) -> boost::json::value {
          return boost::json::object{{alternative.kName, Encode(alternative)}};
        },
        value);
  }
  template <DescribedValue T>
  static boost::json::value Encode(const T& value) {
    boost::json::object object;
    ForEachMember(value, [&](std::string_view name, const auto& member) {
      using Member = std::remove_cvref_t<decltype(member)>;
      object[JsonKey<Member>(name)] = Encode(member);
    });
    return object;
  }
};

/// Decodes values that JsonEncoder encoded. Missing members keep their
/// defaults. An unknown key or a value of the wrong type returns nothing;
/// last_reason then holds the path to the invalid member and the cause.
class JsonDecoder {
 public:
  template <typename T>
  std::optional<T> Decode(const boost::json::value& from) {
    T value{};
    if (!Read(from, value)) return std::nullopt;
    return value;
  }

  template <typename T>
  std::optional<T> DecodeText(std::string_view text) {
    boost::json::error_code error;
    const boost::json::value parsed = boost::json::parse(text, error);
    if (error) {
      last_reason_ = "invalid JSON: " + error.message();
      return std::nullopt;
    }
    return Decode<T>(parsed);
  }

  const std::string& last_reason() const { return last_reason_; }

 private:
  bool Fail(std::string expected) {
    if (last_reason_.empty()) last_reason_ = std::move(expected);
    return false;
  }
  bool Read(const boost::json::value& from, std::string& to) {
    if (!from.is_string()) return Fail("expected a string");
    to = std::string(from.get_string());
    return true;
  }
  bool Read(const boost::json::value& from, Body& to) {
    std::string bytes;
    if (!Read(from, bytes)) return false;
    to = Body(std::move(bytes));
    return true;
  }
  bool Read(const boost::json::value& from, Duration& to) {
    std::int64_t count = 0;
    if (!Read(from, count)) return false;
    to = Duration(count);
    return true;
  }
  bool Read(const boost::json::value& from, Instant& to) {
    Duration since{};
    if (!Read(from, since)) return false;
    to = Instant(since);
    return true;
  }
  bool Read(const boost::json::value& from, ConnectionId& to) {
    std::uint64_t number = 0;
    if (!Read(from, number)) return false;
    to = ConnectionId(number);
    return true;
  }
  template <typename Tag>
  bool Read(const boost::json::value& from, Name<Tag>& to) {
    std::string text;
    if (!Read(from, text)) return false;
    to = Name<Tag>(std::move(text));
    return true;
  }
  template <typename T>
  bool Read(const boost::json::value& from, Shared<T>& to) {
    T value{};
    if (!Read(from, value)) return false;
    to = std::move(value);
    return true;
  }
  template <typename T>
  requires std::is_arithmetic_v<T>
  bool Read(const boost::json::value& from, T& to) {
    if constexpr (std::is_same_v<T, bool>) {
      if (!from.is_bool()) return Fail("expected true or false");
      to = from.get_bool();
    } else {
      boost::json::error_code error;
      if (!from.is_number()) return Fail("expected a number");
      to = from.to_number<T>(error);
      if (error) return Fail("number out of range");
    }
    return true;
  }
  template <DescribedEnum E>
  bool Read(const boost::json::value& from, E& to) {
    std::string text;
    if (!Read(from, text)) return false;
    const std::optional<E> found = EnumFromString<E>(text);
    if (!found) return Fail("unknown value " + text);
    to = *found;
    return true;
  }
  template <typename T>
  bool Read(const boost::json::value& from, std::vector<T>& to) {
    if (!from.is_array()) return Fail("expected an array");
    for (const boost::json::value& element : from.get_array()) {
      T item{};
      if (!Read(element, item)) return false;
      to.push_back(std::move(item));
    }
    return true;
  }
  template <typename T>
  bool Read(const boost::json::value& from, std::optional<T>& to) {
    if (from.is_null()) return true;
    T item{};
    if (!Read(from, item)) return false;
    to = std::move(item);
    return true;
  }
  template <typename... Alternatives>
  bool Read(const boost::json::value& from, std::variant<Alternatives...>& to) {
    if (!from.is_object() || from.get_object().size() != 1) {
      return Fail("expected an object with one key");
    }
    const auto& pair = *from.get_object().begin();
    const auto try_alternative = [&]<typename Alternative>(const Alternative*) {
      if (pair.key() != Alternative::kName) return false;
      Alternative alternative{};
      if (!Read(pair.value(), alternative)) return false;
      to = std::move(alternative);
      return true;
    };
    const bool found =
        (try_alternative(static_cast<const Alternatives*>(nullptr)) || ...);
    return found || Fail("unknown kind " + std::string(pair.key()));
  }
  template <DescribedValue T>
  bool Read(const boost::json::value& from, T& to) {
    if (!from.is_object()) return Fail("expected an object");
    bool valid = true;
    std::size_t used = 0;
    ForEachMember(to, [&](std::string_view name, auto& member) {
      using Member = std::remove_cvref_t<decltype(member)>;
      const std::string key = JsonKey<Member>(name);
      const boost::json::value* found = from.get_object().if_contains(key);
      if (!valid || found == nullptr) return;
      ++used;
      valid = Read(*found, member);
      if (!valid) last_reason_ = key + ": " + last_reason_;
    });
    if (valid && used != from.get_object().size()) {
      return Fail("unknown key in " + std::string(T::kName));
    }
    return valid;
  }

  std::string last_reason_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_WIRE_JSON_ENCODING_H_
