#ifndef QUETZALLINE_MESSAGES_READ_STATUS_H_
#define QUETZALLINE_MESSAGES_READ_STATUS_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Requests the state of the system as seen by this process.
class ReadStatus {
 public:
  class Builder;

  static constexpr std::string_view kName = "read-status";

  friend auto operator<=>(const ReadStatus&, const ReadStatus&) = default;

 private:
  QUETZALLINE_VALUE(ReadStatus)
};

/// Builds a ReadStatus; fields that are not set keep their defaults.
class ReadStatus::Builder : public ValueBuilder<ReadStatus, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_READ_STATUS_H_
