#ifndef QUETZALLINE_TABLES_SUSPECT_HOLD_H_
#define QUETZALLINE_TABLES_SUSPECT_HOLD_H_

#include <boost/describe/enum.hpp>
#include <cstdint>

namespace quetzalline {

/// What a suspect waits for before it starts in isolation.
enum class SuspectHold : std::uint8_t {
  /// The delay after its last crash.
  kDelay,
  /// The store, which has to contain the evidence and the planned run first.
  kStore,
  /// A worker on which it may start.
  kWorker,
  /// The planned time on its worker.
  kTurn
};

BOOST_DESCRIBE_ENUM(SuspectHold, kDelay, kStore, kWorker, kTurn)

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_SUSPECT_HOLD_H_
