#ifndef QUETZALLINE_CORE_REASON_H_
#define QUETZALLINE_CORE_REASON_H_

#include <boost/describe/enum.hpp>
#include <cstdint>

namespace quetzalline {

/// Why something was refused, failed or ended. docs/OPERATIONS.md says of each
/// what an operator can do about it. New reasons go to the end.
enum class Reason : std::uint8_t {
  kNone,
  kUnknownService,
  kBodyTooLarge,
  kNoEndpoint,
  kDeadlinePassed,
  kDeadlineTooShort,
  kQueueFull,
  kFairShare,
  kLeaving,
  kNeverArrived,
  kCancelled,
  kCallerGone,
  kEndpointUnreachable,
  kEndpointBroke,
  kEndpointSilent,
  kLeaseLapsed,
  kAgentReplaced,
  kConnectionLost,
  kRetryBudget,
  kKeyConflict,
  kTableFull,
  kStaleEpoch,
  kStaleAttempt,
  kNotHolder,
  kStoreFailed,
  kConflict,
  kInvalid,
  kUnauthorized,
  kUnknownJob,
  kUnknownEndpoint,
  kDoesNotFit,
  kWorkerFailed,
  kTooManyAttempts,
  kInstanceLost,
  kDrain,
  kLatency,
  kMemory,
  kHeartbeatMissed,
};

BOOST_DESCRIBE_ENUM(Reason, kNone, kUnknownService, kBodyTooLarge, kNoEndpoint,
                    kDeadlinePassed, kDeadlineTooShort, kQueueFull, kFairShare,
                    kLeaving, kNeverArrived, kCancelled, kCallerGone,
                    kEndpointUnreachable, kEndpointBroke, kEndpointSilent,
                    kLeaseLapsed, kAgentReplaced, kConnectionLost, kRetryBudget,
                    kKeyConflict, kTableFull, kStaleEpoch, kStaleAttempt,
                    kNotHolder, kStoreFailed, kConflict, kInvalid,
                    kUnauthorized, kUnknownJob, kUnknownEndpoint, kDoesNotFit,
                    kWorkerFailed, kTooManyAttempts, kInstanceLost, kDrain,
                    kLatency, kMemory, kHeartbeatMissed)

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_REASON_H_
