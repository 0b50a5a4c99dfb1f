#ifndef QUETZALLINE_TABLES_RUN_LISTING_H_
#define QUETZALLINE_TABLES_RUN_LISTING_H_

#include <boost/describe/enum.hpp>
#include <cstdint>

namespace quetzalline {

/// What the present session with a runner has shown of its worker: nothing yet,
/// that the runner knows no worker, a list of runs that is cut off at the limit
/// of ends, or a complete one. Only a worker that has listed runs is known to
/// be alive; only a complete list shows what does not run there.
enum class RunListing : std::uint8_t {
  kNone,
  kNoWorker,
  kTruncated,
  kComplete
};

BOOST_DESCRIBE_ENUM(RunListing, kNone, kNoWorker, kTruncated, kComplete)

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_RUN_LISTING_H_
