#ifndef QUETZALLINE_MESSAGES_WORKER_CALL_OUTCOME_H_
#define QUETZALLINE_MESSAGES_WORKER_CALL_OUTCOME_H_

#include <boost/describe/enum.hpp>
#include <cstdint>

namespace quetzalline {

/// Outcome of a call to the worker.
enum class WorkerCallOutcome : std::uint8_t {
  /// The worker carried out the call.
  kDone,
  /// The fencing token is lower than one that the worker has seen.
  kFenced,
  /// The run is outdated: it or a later run of the task is known to have been
  /// started before.
  kOld,
  /// The lease of the call has already expired on the worker's clock.
  kLate,
  /// The worker has no free capacity for the run, or reports a conflict of
  /// another kind.
  kNoRoom,
  /// The worker is overloaded or unavailable (HTTP status 429 or 503).
  kUnhealthy,
  /// The worker rejected the call as malformed, or answered with an unexpected
  /// status.
  kInvalid,
  /// The addressed worker is not the one that answered (HTTP status 421).
  kOtherLife,
  /// No readable answer arrived; the worker may have carried out the call.
  kLost,
  /// The call was not sent, because the incarnation that its lease is for could
  /// not be reached for certain. The answer names the one that was, if any.
  kNotSent
};

BOOST_DESCRIBE_ENUM(WorkerCallOutcome, kDone, kFenced, kOld, kLate, kNoRoom,
                    kUnhealthy, kInvalid, kOtherLife, kLost, kNotSent)

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_WORKER_CALL_OUTCOME_H_
