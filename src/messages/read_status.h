#ifndef QUETZALLINE_MESSAGES_READ_STATUS_H_
#define QUETZALLINE_MESSAGES_READ_STATUS_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Asks for the state of the system as this process sees it.
class ReadStatus {
 public:
  class Builder;

  static constexpr std::string_view kName = "read-status";

  friend auto operator<=>(const ReadStatus&, const ReadStatus&) = default;

 private:
  QUETZALLINE_VALUE(ReadStatus)
};

/// Builds one ReadStatus; what is not set keeps its default.
class ReadStatus::Builder : public ValueBuilder<ReadStatus, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_READ_STATUS_H_
