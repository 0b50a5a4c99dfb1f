#ifndef QUETZALLINE_TABLES_ENDPOINT_H_
#define QUETZALLINE_TABLES_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/load_report.h"
#include "core/shared.h"
#include "core/time.h"
#include "core/value.h"
#include "messages/announce.h"

namespace quetzalline {

/// An endpoint as its agent last announced it.
class Endpoint {
 public:
  class Builder;

  static constexpr std::string_view kName = "endpoint";

  const Shared<Announce>& announced() const { return announced_; }
  /// The newest load report, from a heartbeat or an answer.
  const LoadReport& load() const { return load_; }
  /// Time at which that report arrived.
  Instant load_at() const { return load_at_; }
  /// The newest connection of the agent.
  ConnectionId connection() const { return connection_; }
  /// Returns true if that connection is open and its heartbeats arrive.
  bool reachable() const { return reachable_; }
  Instant first_seen() const { return first_seen_; }
  Instant last_seen() const { return last_seen_; }
  /// Number of attempts that this entry has sent and that have no answer yet.
  std::int32_t outstanding() const { return outstanding_; }
  /// Number of attempts sent since the last load report.
  std::int32_t sent_since_report() const { return sent_since_report_; }
  /// Number of consecutive failed attempts.
  std::int32_t failures() const { return failures_; }
  /// End of the back-off after failures; no new attempt is sent before.
  Instant rested_until() const { return rested_until_; }
  /// End of the task lease. The instance stops its tasks at this time unless
  /// the lease is renewed.
  Instant task_lease_end() const { return task_lease_end_; }
  /// Time at which missing configuration was last sent to the agent.
  Instant configuration_sent() const { return configuration_sent_; }
  /// Highest configuration revision that was sent to the agent.
  std::int64_t configuration_sent_upto() const {
    return configuration_sent_upto_;
  }

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;

 private:
  QUETZALLINE_VALUE(Endpoint, announced_, load_, load_at_, connection_,
                    reachable_, first_seen_, last_seen_, outstanding_,
                    sent_since_report_, failures_, rested_until_,
                    task_lease_end_, configuration_sent_,
                    configuration_sent_upto_)

  Shared<Announce> announced_;
  LoadReport load_;
  Instant load_at_ = Instant{};
  ConnectionId connection_ = ConnectionId{};
  bool reachable_ = false;
  Instant first_seen_ = Instant{};
  Instant last_seen_ = Instant{};
  std::int32_t outstanding_ = 0;
  std::int32_t sent_since_report_ = 0;
  std::int32_t failures_ = 0;
  Instant rested_until_ = Instant{};
  Instant task_lease_end_ = Instant{};
  Instant configuration_sent_ = Instant{};
  std::int64_t configuration_sent_upto_ = 0;
};

/// Builds an Endpoint; fields that are not set keep their defaults.
class Endpoint::Builder : public ValueBuilder<Endpoint, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& announced(Shared<Announce> value) {
    return Set(value_.announced_, std::move(value));
  }
  Builder& load(LoadReport value) {
    return Set(value_.load_, std::move(value));
  }
  Builder& load_at(Instant value) { return Set(value_.load_at_, value); }
  Builder& connection(ConnectionId value) {
    return Set(value_.connection_, value);
  }
  Builder& reachable(bool value) { return Set(value_.reachable_, value); }
  Builder& first_seen(Instant value) { return Set(value_.first_seen_, value); }
  Builder& last_seen(Instant value) { return Set(value_.last_seen_, value); }
  Builder& outstanding(std::int32_t value) {
    return Set(value_.outstanding_, value);
  }
  Builder& sent_since_report(std::int32_t value) {
    return Set(value_.sent_since_report_, value);
  }
  Builder& failures(std::int32_t value) { return Set(value_.failures_, value); }
  Builder& rested_until(Instant value) {
    return Set(value_.rested_until_, value);
  }
  Builder& task_lease_end(Instant value) {
    return Set(value_.task_lease_end_, value);
  }
  Builder& configuration_sent(Instant value) {
    return Set(value_.configuration_sent_, value);
  }
  Builder& configuration_sent_upto(std::int64_t value) {
    return Set(value_.configuration_sent_upto_, value);
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_ENDPOINT_H_
