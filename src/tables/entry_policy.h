#ifndef QUETZALLINE_TABLES_ENTRY_POLICY_H_
#define QUETZALLINE_TABLES_ENTRY_POLICY_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/location.h"
#include "core/time.h"
#include "core/value.h"
#include "tables/jitter.h"

namespace quetzalline {

/// Settings of an entry.
class EntryPolicy {
 public:
  class Builder;

  static constexpr std::string_view kName = "entry-policy";

  const EntryId& entry() const { return entry_; }
  /// Distinguishes restarts of the entry; a restarted entry has a higher
  /// incarnation.
  std::uint64_t incarnation() const { return incarnation_; }
  /// URL of this entry's operator API.
  const std::string& operator_url() const { return operator_url_; }
  const Location& location() const { return location_; }
  /// Time without a heartbeat after which an endpoint gets no new work.
  Duration endpoint_lapse() const { return endpoint_lapse_; }
  /// Time without a heartbeat after which an endpoint's row is removed.
  Duration endpoint_forget() const { return endpoint_forget_; }
  /// Time past a request's deadline for which the entry still waits for proof
  /// that the request did not run.
  Duration answer_grace() const { return answer_grace_; }
  /// Number of endpoints compared for each routing choice, at least 1.
  std::int32_t sample_size() const { return sample_size_; }
  /// Round-trip time to another availability zone of the region.
  Duration zone_cost() const { return zone_cost_; }
  /// Round-trip time to another region.
  Duration region_cost() const { return region_cost_; }
  /// Rate limit for requests that cross regions, in bytes per second.
  std::int64_t region_bytes_per_second() const {
    return region_bytes_per_second_;
  }
  /// Service time that is assumed until an endpoint has reported.
  Duration expected_service_time() const { return expected_service_time_; }
  /// Age at which a load report has half of its weight.
  Duration report_half_life() const { return report_half_life_; }
  /// Time over which the share of a new endpoint grows to its full value.
  Duration slow_start() const { return slow_start_; }
  /// Maximum number of attempts for one request, at least 1.
  std::int32_t max_attempts() const { return max_attempts_; }
  /// Upper bound of the backoff before the first retry.
  Duration retry_base() const { return retry_base_; }
  /// Maximum that the upper bound of a backoff grows to.
  Duration retry_cap() const { return retry_cap_; }
  /// Random part of a backoff.
  const Jitter& jitter() const { return jitter_; }
  /// Retries allowed per hundred first attempts, 0 or more.
  std::int32_t retry_percent() const { return retry_percent_; }
  /// Maximum number of retries that may be sent at once.
  std::int32_t retry_burst() const { return retry_burst_; }
  /// Number of buckets that idempotency keys are spread over.
  std::int32_t key_buckets() const { return key_buckets_; }
  /// Maximum number of idempotency keys in a bucket; the oldest are dropped.
  std::int32_t keys_per_bucket() const { return keys_per_bucket_; }
  /// Maximum number of open requests, at least 1.
  std::int64_t max_requests() const { return max_requests_; }
  /// Maximum total size of the open requests, in bytes.
  std::int64_t max_request_bytes() const { return max_request_bytes_; }
  /// Time between failing the health check and refusing callers.
  Duration leave_delay() const { return leave_delay_; }
  /// Time after which configuration that an agent still lacks is sent to it
  /// again.
  Duration configuration_resend() const { return configuration_resend_; }
  /// Name of the cell that this entry may become the holder of.
  const std::string& cell() const { return cell_; }
  /// Time without a lease renewal after which another entry takes over the
  /// cell.
  Duration cell_lease() const { return cell_lease_; }
  /// Time for which a heartbeat reply extends an agent's task lease.
  Duration task_lease() const { return task_lease_; }
  /// Maximum time for which a holder that cannot reach the store keeps
  /// extending task leases.
  Duration outage_lease() const { return outage_lease_; }
  /// Allowance for clocks that run at different speeds.
  Duration drift_margin() const { return drift_margin_; }
  /// Number of slots of the journal's ring, at least 4; a new snapshot is
  /// written once half of them are filled since the last one.
  std::int32_t journal_slots() const { return journal_slots_; }
  /// Minimum time between two journal writes.
  Duration journal_interval() const { return journal_interval_; }
  /// Time after which an unconfirmed start or stop is sent again.
  Duration start_resend() const { return start_resend_; }
  /// Delay before a failed store call is retried.
  Duration store_retry() const { return store_retry_; }
  /// Time for which the status of an ended task remains available.
  Duration finished_retention() const { return finished_retention_; }

  friend auto operator<=>(const EntryPolicy&, const EntryPolicy&) = default;

 private:
  QUETZALLINE_VALUE(EntryPolicy, entry_, incarnation_, operator_url_, location_,
                    endpoint_lapse_, endpoint_forget_, answer_grace_,
                    sample_size_, zone_cost_, region_cost_,
                    region_bytes_per_second_, expected_service_time_,
                    report_half_life_, slow_start_, max_attempts_, retry_base_,
                    retry_cap_, jitter_, retry_percent_, retry_burst_,
                    key_buckets_, keys_per_bucket_, max_requests_,
                    max_request_bytes_, leave_delay_, configuration_resend_,
                    cell_, cell_lease_, task_lease_, outage_lease_,
                    drift_margin_, journal_slots_, journal_interval_,
                    start_resend_, store_retry_, finished_retention_)

  EntryId entry_;
  std::uint64_t incarnation_ = 0;
  std::string operator_url_;
  Location location_;
  Duration endpoint_lapse_ = std::chrono::seconds(3);
  Duration endpoint_forget_ = std::chrono::minutes(5);
  Duration answer_grace_ = std::chrono::milliseconds(100);
  std::int32_t sample_size_ = 3;
  Duration zone_cost_ = std::chrono::microseconds(2000);
  Duration region_cost_ = std::chrono::milliseconds(60);
  std::int64_t region_bytes_per_second_ = 1000000;
  Duration expected_service_time_ = std::chrono::milliseconds(20);
  Duration report_half_life_ = std::chrono::milliseconds(500);
  Duration slow_start_ = std::chrono::seconds(5);
  std::int32_t max_attempts_ = 4;
  Duration retry_base_ = std::chrono::milliseconds(4);
  Duration retry_cap_ = std::chrono::milliseconds(250);
  Jitter jitter_;
  std::int32_t retry_percent_ = 10;
  std::int32_t retry_burst_ = 20;
  std::int32_t key_buckets_ = 256;
  std::int32_t keys_per_bucket_ = 250;
  std::int64_t max_requests_ = 20000;
  std::int64_t max_request_bytes_ = 268435456;
  Duration leave_delay_ = std::chrono::seconds(2);
  Duration configuration_resend_ = std::chrono::seconds(1);
  std::string cell_ = "main";
  Duration cell_lease_ = std::chrono::seconds(6);
  Duration task_lease_ = std::chrono::seconds(15);
  Duration outage_lease_ = std::chrono::hours(2);
  Duration drift_margin_ = std::chrono::seconds(1);
  std::int32_t journal_slots_ = 64;
  Duration journal_interval_ = std::chrono::milliseconds(50);
  Duration start_resend_ = std::chrono::seconds(1);
  Duration store_retry_ = std::chrono::milliseconds(500);
  Duration finished_retention_ = std::chrono::minutes(30);
};

/// Builds an EntryPolicy; fields that are not set keep their defaults.
class EntryPolicy::Builder : public ValueBuilder<EntryPolicy, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& entry(EntryId value) { return Set(value_.entry_, std::move(value)); }
  Builder& incarnation(std::uint64_t value) {
    return Set(value_.incarnation_, value);
  }
  Builder& operator_url(std::string value) {
    return Set(value_.operator_url_, std::move(value));
  }
  Builder& location(Location value) {
    return Set(value_.location_, std::move(value));
  }
  Builder& endpoint_lapse(Duration value) {
    return Set(value_.endpoint_lapse_, value);
  }
  Builder& endpoint_forget(Duration value) {
    return Set(value_.endpoint_forget_, value);
  }
  Builder& answer_grace(Duration value) {
    return Set(value_.answer_grace_, value);
  }
  Builder& sample_size(std::int32_t value) {
    return Set(value_.sample_size_, value);
  }
  Builder& zone_cost(Duration value) { return Set(value_.zone_cost_, value); }
  Builder& region_cost(Duration value) {
    return Set(value_.region_cost_, value);
  }
  Builder& region_bytes_per_second(std::int64_t value) {
    return Set(value_.region_bytes_per_second_, value);
  }
  Builder& expected_service_time(Duration value) {
    return Set(value_.expected_service_time_, value);
  }
  Builder& report_half_life(Duration value) {
    return Set(value_.report_half_life_, value);
  }
  Builder& slow_start(Duration value) { return Set(value_.slow_start_, value); }
  Builder& max_attempts(std::int32_t value) {
    return Set(value_.max_attempts_, value);
  }
  Builder& retry_base(Duration value) { return Set(value_.retry_base_, value); }
  Builder& retry_cap(Duration value) { return Set(value_.retry_cap_, value); }
  Builder& jitter(Jitter value) {
    return Set(value_.jitter_, std::move(value));
  }
  Builder& retry_percent(std::int32_t value) {
    return Set(value_.retry_percent_, value);
  }
  Builder& retry_burst(std::int32_t value) {
    return Set(value_.retry_burst_, value);
  }
  Builder& key_buckets(std::int32_t value) {
    return Set(value_.key_buckets_, value);
  }
  Builder& keys_per_bucket(std::int32_t value) {
    return Set(value_.keys_per_bucket_, value);
  }
  Builder& max_requests(std::int64_t value) {
    return Set(value_.max_requests_, value);
  }
  Builder& max_request_bytes(std::int64_t value) {
    return Set(value_.max_request_bytes_, value);
  }
  Builder& leave_delay(Duration value) {
    return Set(value_.leave_delay_, value);
  }
  Builder& configuration_resend(Duration value) {
    return Set(value_.configuration_resend_, value);
  }
  Builder& cell(std::string value) {
    return Set(value_.cell_, std::move(value));
  }
  Builder& cell_lease(Duration value) { return Set(value_.cell_lease_, value); }
  Builder& task_lease(Duration value) { return Set(value_.task_lease_, value); }
  Builder& outage_lease(Duration value) {
    return Set(value_.outage_lease_, value);
  }
  Builder& drift_margin(Duration value) {
    return Set(value_.drift_margin_, value);
  }
  Builder& journal_slots(std::int32_t value) {
    return Set(value_.journal_slots_, value);
  }
  Builder& journal_interval(Duration value) {
    return Set(value_.journal_interval_, value);
  }
  Builder& start_resend(Duration value) {
    return Set(value_.start_resend_, value);
  }
  Builder& store_retry(Duration value) {
    return Set(value_.store_retry_, value);
  }
  Builder& finished_retention(Duration value) {
    return Set(value_.finished_retention_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_ENTRY_POLICY_H_
