#ifndef QUETZALLINE_MESSAGES_QUEUE_UNKNOWN_H_
#define QUETZALLINE_MESSAGES_QUEUE_UNKNOWN_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// No queue matches the host and path of the request.
class QueueUnknown {
 public:
  class Builder;

  static constexpr std::string_view kName = "queue-unknown";

  friend auto operator<=>(const QueueUnknown&, const QueueUnknown&) = default;

 private:
  QUETZALLINE_VALUE(QueueUnknown)
};

/// Builds a QueueUnknown; fields that are not set keep their defaults.
class QueueUnknown::Builder : public ValueBuilder<QueueUnknown, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_QUEUE_UNKNOWN_H_
