#ifndef QUETZALLINE_MESSAGES_QUEUE_NOT_FOUND_H_
#define QUETZALLINE_MESSAGES_QUEUE_NOT_FOUND_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// No queue matches the host and path of the request.
class QueueNotFound {
 public:
  class Builder;

  static constexpr std::string_view kName = "queue-unknown";

  friend auto operator<=>(const QueueNotFound&, const QueueNotFound&) = default;

 private:
  QUETZALLINE_VALUE(QueueNotFound)
};

/// Builds a QueueNotFound; fields that are not set keep their defaults.
class QueueNotFound::Builder : public ValueBuilder<QueueNotFound, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_QUEUE_NOT_FOUND_H_
