#ifndef QUETZALLINE_RECORDS_ASSIGNING_H_
#define QUETZALLINE_RECORDS_ASSIGNING_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// The task is being assigned; the assignment is not yet stored in the journal.
class Assigning {
 public:
  class Builder;

  static constexpr std::string_view kName = "assigning";

  /// Number of the attempt, from 1.
  std::int32_t attempt() const { return attempt_; }
  const EndpointId& endpoint() const { return endpoint_; }
  /// Checkpoint from which the attempt resumes; empty if there is none.
  const std::string& checkpoint() const { return checkpoint_; }

  friend auto operator<=>(const Assigning&, const Assigning&) = default;

 private:
  QUETZALLINE_VALUE(Assigning, attempt_, endpoint_, checkpoint_)

  std::int32_t attempt_ = 0;
  EndpointId endpoint_;
  std::string checkpoint_;
};

/// Builds an Assigning; fields that are not set keep their defaults.
class Assigning::Builder : public ValueBuilder<Assigning, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& attempt(std::int32_t value) { return Set(value_.attempt_, value); }
  Builder& endpoint(EndpointId value) {
    return Set(value_.endpoint_, std::move(value));
  }
  Builder& checkpoint(std::string value) {
    return Set(value_.checkpoint_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_RECORDS_ASSIGNING_H_
