#ifndef QUETZALLINE_MESSAGES_READ_CALL_H_
#define QUETZALLINE_MESSAGES_READ_CALL_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// A caller requests the state of a job, or the number of pending jobs of a
/// queue.
class ReadCall {
 public:
  class Builder;

  static constexpr std::string_view kName = "read-call";

  friend auto operator<=>(const ReadCall&, const ReadCall&) = default;

 private:
  QUETZALLINE_VALUE(ReadCall)
};

/// Builds a ReadCall; fields that are not set keep their defaults.
class ReadCall::Builder : public ValueBuilder<ReadCall, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_READ_CALL_H_
