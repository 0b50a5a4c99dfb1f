#ifndef QUETZALLINE_TABLES_EXECUTION_H_
#define QUETZALLINE_TABLES_EXECUTION_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/attempt_id.h"
#include "core/http_request.h"
#include "core/ids.h"
#include "core/shared.h"
#include "core/time.h"
#include "core/value.h"
#include "tables/execution_state.h"

namespace quetzalline {

/// An attempt that an entry sent to this agent.
class Execution {
 public:
  class Builder;

  static constexpr std::string_view kName = "execution";

  const AttemptId& id() const { return id_; }
  const CallerName& caller() const { return caller_; }
  bool urgent() const { return urgent_; }
  const Shared<HttpRequest>& request() const { return request_; }
  /// Time at which the agent stops the attempt.
  Instant lease_end() const { return lease_end_; }
  /// Idempotency key; empty if the request has none.
  const std::string& key() const { return key_; }
  /// Connection on which the entry last sent a message about the attempt.
  ConnectionId connection() const { return connection_; }
  const ExecutionState& state() const { return state_; }

  friend auto operator<=>(const Execution&, const Execution&) = default;

 private:
  QUETZALLINE_VALUE(Execution, id_, caller_, urgent_, request_, lease_end_,
                    key_, connection_, state_)

  AttemptId id_;
  CallerName caller_;
  bool urgent_ = false;
  Shared<HttpRequest> request_;
  Instant lease_end_ = Instant{};
  std::string key_;
  ConnectionId connection_ = ConnectionId{};
  ExecutionState state_;
};

/// Builds an Execution; fields that are not set keep their defaults.
class Execution::Builder : public ValueBuilder<Execution, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& id(AttemptId value) { return Set(value_.id_, std::move(value)); }
  Builder& caller(CallerName value) {
    return Set(value_.caller_, std::move(value));
  }
  Builder& urgent(bool value) { return Set(value_.urgent_, value); }
  Builder& request(Shared<HttpRequest> value) {
    return Set(value_.request_, std::move(value));
  }
  Builder& lease_end(Instant value) { return Set(value_.lease_end_, value); }
  Builder& key(std::string value) { return Set(value_.key_, std::move(value)); }
  Builder& connection(ConnectionId value) {
    return Set(value_.connection_, value);
  }
  Builder& state(ExecutionState value) {
    return Set(value_.state_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_EXECUTION_H_
