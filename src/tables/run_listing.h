#ifndef QUETZALLINE_TABLES_RUN_LISTING_H_
#define QUETZALLINE_TABLES_RUN_LISTING_H_

#include <boost/describe/enum.hpp>
#include <cstdint>

namespace quetzalline {

/// What a worker has listed in the present session with its runner. Only a
/// worker that has listed something is known to be alive; only a complete list
/// shows what does not run there.
enum class RunListing : std::uint8_t { kNone, kTruncated, kComplete };

BOOST_DESCRIBE_ENUM(RunListing, kNone, kTruncated, kComplete)

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_RUN_LISTING_H_
