#ifndef QUETZALLINE_WIRE_FLEX_ENCODING_H_
#define QUETZALLINE_WIRE_FLEX_ENCODING_H_

#include <flatbuffers/flexbuffers.h>

#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "core/body.h"
#include "core/ids.h"
#include "core/reflect.h"
#include "core/shared.h"
#include "core/time.h"

namespace quetzalline {

/// Encodes described values as FlexBuffers, the schema-less format of
/// FlatBuffers. A value is a vector of its members in declaration order, a
/// variant is a pair of alternative index and value, and an absent optional is
/// an empty vector. The decoder uses defaults for missing trailing members and
/// ignores additional ones, so that processes of different releases are
/// compatible.
class FlexEncoder {
 public:
  template <typename T>
  static std::string Encode(const T& value) {
    flexbuffers::Builder builder(kInitialBytes);
    Write(builder, value);
    builder.Finish();
    const std::vector<std::uint8_t>& bytes = builder.GetBuffer();
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
  }

 private:
  static constexpr std::size_t kInitialBytes = 512;

  static void Write(flexbuffers::Builder& builder, const std::string& value) {
    builder.String(value);
  }
  static void Write(flexbuffers::Builder& builder, const Body& value) {
    builder.Blob(value.bytes().data(), value.size());
  }
  static void Write(flexbuffers::Builder& builder, Duration value) {
    builder.Int(value.count());
  }
  static void Write(flexbuffers::Builder& builder, Instant value) {
    builder.Int(value.time_since_epoch().count());
  }
  static void Write(flexbuffers::Builder& builder, ConnectionId value) {
    builder.UInt(value.value());
  }
  template <typename Tag>
  static void Write(flexbuffers::Builder& builder, const Name<Tag>& value) {
    builder.String(value.value());
  }
  template <typename T>
  static void Write(flexbuffers::Builder& builder, const Shared<T>& value) {
    Write(builder, *value);
  }
  template <typename T>
  requires std::is_arithmetic_v<T>
  static void Write(flexbuffers::Builder& builder, T value) {
    if constexpr (std::is_same_v<T, bool>) {
      builder.Bool(value);
    } else if constexpr (std::is_floating_point_v<T>) {
      builder.Double(value);
    } else if constexpr (std::is_unsigned_v<T>) {
      builder.UInt(value);
    } else {
      builder.Int(value);
    }
  }
  template <DescribedEnum E>
  static void Write(flexbuffers::Builder& builder, E value) {
    builder.UInt(static_cast<std::uint64_t>(value));
  }
  template <typename T>
  static void Write(flexbuffers::Builder& builder,
                    const std::vector<T>& values) {
    builder.Vector([&] {
      for (const T& value : values) Write(builder, value);
    });
  }
  template <typename T>
  static void Write(flexbuffers::Builder& builder,
                    const std::optional<T>& value) {
    builder.Vector([&] {
      if (value) Write(builder, *value);
    });
  }
  template <typename... Alternatives>
  static void Write(flexbuffers::Builder& builder,
                    const std::variant<Alternatives...>& value) {
    builder.Vector([&] {
      builder.UInt(value.index());
      std::visit([&](const auto& alternative) { Write(builder, alternative); },
                 value);
    });
  }
  template <DescribedValue T>
  static void Write(flexbuffers::Builder& builder, const T& value) {
    builder.Vector([&] {
      ForEachMember(value, [&](std::string_view, const auto& member) {
        Write(builder, member);
      });
    });
  }
};

/// Decodes values that FlexEncoder encoded. The bytes come from a peer, so they
/// are verified first; malformed input returns nothing.
class FlexDecoder {
 public:
  template <typename T>
  static std::optional<T> Decode(std::string_view bytes) {
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    std::vector<std::uint8_t> reuse_tracker;
    if (bytes.size() < kMinBufferBytes) return std::nullopt;
    if (!flexbuffers::VerifyBuffer(data, bytes.size(), &reuse_tracker)) {
      return std::nullopt;
    }
    T value{};
    if (!Read(flexbuffers::GetRoot(data, bytes.size()), value)) {
      return std::nullopt;
    }
    return value;
  }

 private:
  static constexpr std::size_t kMinBufferBytes = 3;

  /// Returns false if the number does not fit the type of the member.
  template <typename From, typename To>
  static bool Narrow(From from, To& to) {
    if (!std::in_range<To>(from)) return false;
    to = static_cast<To>(from);
    return true;
  }

  static bool Read(flexbuffers::Reference from, std::string& to) {
    if (!from.IsString()) return false;
    to = from.AsString().str();
    return true;
  }
  static bool Read(flexbuffers::Reference from, Body& to) {
    if (!from.IsBlob()) return false;
    const flexbuffers::Blob blob = from.AsBlob();
    to = Body({reinterpret_cast<const char*>(blob.data()), blob.size()});
    return true;
  }
  static bool Read(flexbuffers::Reference from, Duration& to) {
    Duration::rep count = 0;
    if (!Read(from, count)) return false;
    to = Duration(count);
    return true;
  }
  static bool Read(flexbuffers::Reference from, Instant& to) {
    Duration since{};
    if (!Read(from, since)) return false;
    to = Instant(since);
    return true;
  }
  static bool Read(flexbuffers::Reference from, ConnectionId& to) {
    std::uint64_t number = 0;
    if (!Read(from, number)) return false;
    to = ConnectionId(number);
    return true;
  }
  template <typename Tag>
  static bool Read(flexbuffers::Reference from, Name<Tag>& to) {
    if (!from.IsString()) return false;
    to = Name<Tag>(from.AsString().str());
    return true;
  }
  template <typename T>
  static bool Read(flexbuffers::Reference from, Shared<T>& to) {
    T value{};
    if (!Read(from, value)) return false;
    to = std::move(value);
    return true;
  }
  template <typename T>
  requires std::is_arithmetic_v<T>
  static bool Read(flexbuffers::Reference from, T& to) {
    if constexpr (std::is_same_v<T, bool>) {
      to = from.AsBool();
      return from.IsBool();
    } else if constexpr (std::is_floating_point_v<T>) {
      to = static_cast<T>(from.AsDouble());
      return from.IsNumeric();
    } else if (from.IsUInt()) {
      return Narrow(from.AsUInt64(), to);
    } else {
      return from.IsInt() && Narrow(from.AsInt64(), to);
    }
  }
  template <DescribedEnum E>
  static bool Read(flexbuffers::Reference from, E& to) {
    std::underlying_type_t<E> number{};
    if (!Read(from, number)) return false;
    to = static_cast<E>(number);
    return IsEnumerator(to);
  }
  template <typename T>
  static bool Read(flexbuffers::Reference from, std::vector<T>& to) {
    if (!from.IsVector()) return false;
    const flexbuffers::Vector items = from.AsVector();
    for (std::size_t i = 0; i < items.size(); ++i) {
      T item{};
      if (!Read(items[i], item)) return false;
      to.push_back(std::move(item));
    }
    return true;
  }
  template <typename T>
  static bool Read(flexbuffers::Reference from, std::optional<T>& to) {
    if (!from.IsVector()) return false;
    const flexbuffers::Vector items = from.AsVector();
    if (items.size() == 0) return true;
    T item{};
    if (!Read(items[0], item)) return false;
    to = std::move(item);
    return true;
  }
  template <typename... Alternatives>
  static bool Read(flexbuffers::Reference from,
                   std::variant<Alternatives...>& to) {
    if (!from.IsVector()) return false;
    const flexbuffers::Vector pair = from.AsVector();
    if (pair.size() != 2 || !pair[0].IsIntOrUint()) return false;
    const std::uint64_t index = pair[0].AsUInt64();
    if (index >= sizeof...(Alternatives)) return false;
    return boost::mp11::mp_with_index<sizeof...(Alternatives)>(
        static_cast<std::size_t>(index), [&](auto position) {
          using Alternative =
              std::variant_alternative_t<decltype(position)::value,
                                         std::variant<Alternatives...>>;
          Alternative alternative{};
          if (!Read(pair[1], alternative)) return false;
          to = std::move(alternative);
          return true;
        });
  }
  template <DescribedValue T>
  static bool Read(flexbuffers::Reference from, T& to) {
    if (!from.IsVector()) return false;
    const flexbuffers::Vector items = from.AsVector();
    std::size_t position = 0;
    bool valid = true;
    ForEachMember(to, [&](std::string_view, auto& member) {
      const std::size_t index = position++;
      if (valid && index < items.size()) valid = Read(items[index], member);
    });
    return valid;
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_WIRE_FLEX_ENCODING_H_
