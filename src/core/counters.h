#ifndef QUETZALLINE_CORE_COUNTERS_H_
#define QUETZALLINE_CORE_COUNTERS_H_

#include <array>
#include <boost/describe/enum.hpp>
#include <boost/describe/enumerators.hpp>
#include <boost/mp11/list.hpp>
#include <cstddef>
#include <cstdint>

#include "core/reason.h"

namespace quetzalline {

/// Events that a process counts. docs/OPERATIONS.md lists them under their
/// metric names.
enum class Counter : std::uint8_t {
  kRequestsAccepted,
  kRequestsDone,
  kRequestsNotRun,
  kRequestsUnknown,
  kAttemptsSent,
  kAttemptsRetried,
  kRetriesDenied,
  kAnswersUnexpected,
  kAnnouncesReceived,
  kAnnouncesStale,
  kEndpointsJoined,
  kEndpointsReplaced,
  kEndpointsLapsed,
  kEndpointsRested,
  kFetchesSent,
  kCrossRegionAttempts,
  kCrossRegionBytes,
  kConfigurationUpdatesSent,
  kConfigurationUpdatesApplied,
  kConfigurationUpdatesIgnored,
  kPublicationsAccepted,
  kPublicationConflicts,
  kCommandsRefused,
  kStoreCalls,
  kStoreFailures,
  kCellTakeovers,
  kCellLosses,
  kJournalWrites,
  kJournalRecords,
  kSnapshotWrites,
  kTasksAccepted,
  kTasksAssigned,
  kTasksFinished,
  kTasksFailed,
  kTasksEvicted,
  kTasksCancelled,
  kTasksGivenUp,
  kAttemptsAdmitted,
  kAttemptsRefused,
  kAttemptsStarted,
  kAttemptsAnswered,
  kAttemptsAbandoned,
  kAttemptsRepeated,
  kFetchesAnswered,
  kKeysRepeated,
  kHeartbeatsSent,
  kEntriesSilent,
  kTasksStarted,
  kTasksRefused,
  kTasksStopped,
  kTaskLeasesLapsed,
  kBadInputs,
};

BOOST_DESCRIBE_ENUM(
    Counter, kRequestsAccepted, kRequestsDone, kRequestsNotRun,
    kRequestsUnknown, kAttemptsSent, kAttemptsRetried, kRetriesDenied,
    kAnswersUnexpected, kAnnouncesReceived, kAnnouncesStale, kEndpointsJoined,
    kEndpointsReplaced, kEndpointsLapsed, kEndpointsRested, kFetchesSent,
    kCrossRegionAttempts, kCrossRegionBytes, kConfigurationUpdatesSent,
    kConfigurationUpdatesApplied, kConfigurationUpdatesIgnored,
    kPublicationsAccepted, kPublicationConflicts, kCommandsRefused, kStoreCalls,
    kStoreFailures, kCellTakeovers, kCellLosses, kJournalWrites,
    kJournalRecords, kSnapshotWrites, kTasksAccepted, kTasksAssigned,
    kTasksFinished, kTasksFailed, kTasksEvicted, kTasksCancelled, kTasksGivenUp,
    kAttemptsAdmitted, kAttemptsRefused, kAttemptsStarted, kAttemptsAnswered,
    kAttemptsAbandoned, kAttemptsRepeated, kFetchesAnswered, kKeysRepeated,
    kHeartbeatsSent, kEntriesSilent, kTasksStarted, kTasksRefused,
    kTasksStopped, kTaskLeasesLapsed, kBadInputs)

/// Holds the number of occurrences of each event since the process started, by
/// reason. Events without a reason are counted under Reason::kNone.
class Counters {
 public:
  void Add(Counter counter, std::int64_t count = 1) {
    Add(counter, Reason::kNone, count);
  }
  void Add(Counter counter, Reason reason, std::int64_t count = 1) {
    counts_[Index(counter)][static_cast<std::size_t>(reason)] += count;
  }

  /// Adds the counts of another component of the same process.
  void Merge(const Counters& other) {
    for (std::size_t i = 0; i < kCounters; ++i) {
      for (std::size_t j = 0; j < kReasons; ++j) {
        counts_[i][j] += other.counts_[i][j];
      }
    }
  }

  std::int64_t Count(Counter counter, Reason reason) const {
    return counts_[Index(counter)][static_cast<std::size_t>(reason)];
  }
  /// Returns the count of the event summed over all reasons.
  std::int64_t Total(Counter counter) const {
    std::int64_t total = 0;
    for (const std::int64_t count : counts_[Index(counter)]) total += count;
    return total;
  }

 private:
  static constexpr std::size_t kCounters =
      boost::mp11::mp_size<boost::describe::describe_enumerators<Counter>>();
  static constexpr std::size_t kReasons =
      boost::mp11::mp_size<boost::describe::describe_enumerators<Reason>>();

  static std::size_t Index(Counter counter) {
    return static_cast<std::size_t>(counter);
  }

  std::array<std::array<std::int64_t, kReasons>, kCounters> counts_{};
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_COUNTERS_H_
