#ifndef QUETZALLINE_CORE_REQUEST_ID_H_
#define QUETZALLINE_CORE_REQUEST_ID_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Identifies one request of a caller across all processes.
class RequestId {
 public:
  class Builder;

  static constexpr std::string_view kName = "request-id";

  /// Incarnation of the entry process that accepted the request.
  std::uint64_t origin() const { return origin_; }
  /// Number of the request within its origin.
  std::uint64_t sequence() const { return sequence_; }

  friend auto operator<=>(const RequestId&, const RequestId&) = default;

 private:
  QUETZALLINE_VALUE(RequestId, origin_, sequence_)

  std::uint64_t origin_ = 0;
  std::uint64_t sequence_ = 0;
};

/// Builds a RequestId; fields that are not set keep their defaults.
class RequestId::Builder : public ValueBuilder<RequestId, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& origin(std::uint64_t value) { return Set(value_.origin_, value); }
  Builder& sequence(std::uint64_t value) {
    return Set(value_.sequence_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_REQUEST_ID_H_
