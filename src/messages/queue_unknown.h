#ifndef QUETZALLINE_MESSAGES_QUEUE_UNKNOWN_H_
#define QUETZALLINE_MESSAGES_QUEUE_UNKNOWN_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// No queue has this host and path.
class QueueUnknown {
 public:
  class Builder;

  static constexpr std::string_view kName = "queue-unknown";

  friend auto operator<=>(const QueueUnknown&, const QueueUnknown&) = default;

 private:
  QUETZALLINE_VALUE(QueueUnknown)
};

/// Builds one QueueUnknown; what is not set keeps its default.
class QueueUnknown::Builder : public ValueBuilder<QueueUnknown, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_QUEUE_UNKNOWN_H_
