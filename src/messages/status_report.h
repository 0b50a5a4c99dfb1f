#ifndef QUETZALLINE_MESSAGES_STATUS_REPORT_H_
#define QUETZALLINE_MESSAGES_STATUS_REPORT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/value.h"
#include "messages/endpoint_status.h"
#include "messages/job_status.h"
#include "messages/service_status.h"

namespace quetzalline {

/// State of the system as seen by one entry.
class StatusReport {
 public:
  class Builder;

  static constexpr std::string_view kName = "status-report";

  const EntryId& entry() const { return entry_; }
  /// Epoch of the cell's leader lease if the entry holds it; otherwise zero.
  std::uint64_t epoch() const { return epoch_; }
  /// Holder of the cell's leader lease, as last read from the store.
  const EntryId& holder() const { return holder_; }
  const std::string& holder_address() const { return holder_address_; }
  /// Highest configuration revision known to the entry.
  std::int64_t configuration() const { return configuration_; }
  const std::vector<EndpointStatus>& endpoints() const { return endpoints_; }
  const std::vector<ServiceStatus>& services() const { return services_; }
  const std::vector<JobStatus>& jobs() const { return jobs_; }

  friend auto operator<=>(const StatusReport&, const StatusReport&) = default;

 private:
  QUETZALLINE_VALUE(StatusReport, entry_, epoch_, holder_, holder_address_,
                    configuration_, endpoints_, services_, jobs_)

  EntryId entry_;
  std::uint64_t epoch_ = 0;
  EntryId holder_;
  std::string holder_address_;
  std::int64_t configuration_ = 0;
  std::vector<EndpointStatus> endpoints_;
  std::vector<ServiceStatus> services_;
  std::vector<JobStatus> jobs_;
};

/// Builds a StatusReport; fields that are not set keep their defaults.
class StatusReport::Builder : public ValueBuilder<StatusReport, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& entry(EntryId value) { return Set(value_.entry_, std::move(value)); }
  Builder& epoch(std::uint64_t value) { return Set(value_.epoch_, value); }
  Builder& holder(EntryId value) {
    return Set(value_.holder_, std::move(value));
  }
  Builder& holder_address(std::string value) {
    return Set(value_.holder_address_, std::move(value));
  }
  Builder& configuration(std::int64_t value) {
    return Set(value_.configuration_, value);
  }
  Builder& endpoints(std::vector<EndpointStatus> value) {
    return Set(value_.endpoints_, std::move(value));
  }
  Builder& services(std::vector<ServiceStatus> value) {
    return Set(value_.services_, std::move(value));
  }
  Builder& jobs(std::vector<JobStatus> value) {
    return Set(value_.jobs_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_STATUS_REPORT_H_
