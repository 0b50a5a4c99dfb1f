#ifndef QUETZALLINE_MESSAGES_CANCEL_JOB_REPLY_H_
#define QUETZALLINE_MESSAGES_CANCEL_JOB_REPLY_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The job is cancelled or had already ended; its final state is stored.
class CancelJobReply {
 public:
  class Builder;

  static constexpr std::string_view kName = "job-withdrawn";

  /// Ticket of the request that this replies to.
  std::uint64_t ticket() const { return ticket_; }

  friend auto operator<=>(const CancelJobReply&,
                          const CancelJobReply&) = default;

 private:
  QUETZALLINE_VALUE(CancelJobReply, ticket_)

  std::uint64_t ticket_ = 0;
};

/// Builds a CancelJobReply; fields that are not set keep their defaults.
class CancelJobReply::Builder : public ValueBuilder<CancelJobReply, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& ticket(std::uint64_t value) { return Set(value_.ticket_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_CANCEL_JOB_REPLY_H_
