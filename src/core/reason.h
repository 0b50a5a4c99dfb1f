#ifndef QUETZALLINE_CORE_REASON_H_
#define QUETZALLINE_CORE_REASON_H_

#include <boost/describe/enum.hpp>
#include <cstdint>

namespace quetzalline {

/// Reason for a refusal, a failure or an end. docs/OPERATIONS.md describes how
/// an operator can respond to each. New reasons are appended: the binary
/// encoding holds the number.
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
  kCrashedWorkers,
  kRecordRejected,
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
                    kLatency, kMemory, kHeartbeatMissed, kCrashedWorkers,
                    kRecordRejected)

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_REASON_H_
