#ifndef QUETZALLINE_TABLES_REQUEST_H_
#define QUETZALLINE_TABLES_REQUEST_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/reason.h"
#include "core/shared.h"
#include "core/time.h"
#include "core/value.h"
#include "messages/caller_request.h"
#include "tables/request_state.h"

namespace quetzalline {

/// A caller's request that has not been answered.
class Request {
 public:
  class Builder;

  static constexpr std::string_view kName = "request";

  const Shared<CallerRequest>& arrival() const { return arrival_; }
  const ServiceName& service() const { return service_; }
  Instant deadline() const { return deadline_; }
  bool urgent() const { return urgent_; }
  bool idempotent() const { return idempotent_; }
  /// Number of attempts sent so far.
  std::int32_t attempts() const { return attempts_; }
  const RequestState& state() const { return state_; }
  /// The only endpoint that may run the request's idempotency key.
  const EndpointId& key_endpoint() const { return key_endpoint_; }
  /// Returns true if the store names that endpoint for the key.
  bool registered() const { return registered_; }
  /// Returns true if an earlier request registered the key, so that this one
  /// must not run.
  bool repeated() const { return repeated_; }
  /// Reason of the latest refusal or failure.
  Reason last_reason() const { return last_reason_; }
  /// Endpoint of the latest attempt.
  const EndpointId& last_endpoint() const { return last_endpoint_; }
  /// Returns true if an earlier attempt may have run, so that the request must
  /// not be reported as not run.
  bool may_have_run() const { return may_have_run_; }
  /// Returns true if the caller has disconnected; the answer will be dropped.
  bool abandoned() const { return abandoned_; }

  friend auto operator<=>(const Request&, const Request&) = default;

 private:
  QUETZALLINE_VALUE(Request, arrival_, service_, deadline_, urgent_,
                    idempotent_, attempts_, state_, key_endpoint_, registered_,
                    repeated_, last_reason_, last_endpoint_, may_have_run_,
                    abandoned_)

  Shared<CallerRequest> arrival_;
  ServiceName service_;
  Instant deadline_ = Instant{};
  bool urgent_ = false;
  bool idempotent_ = false;
  std::int32_t attempts_ = 0;
  RequestState state_;
  EndpointId key_endpoint_;
  bool registered_ = false;
  bool repeated_ = false;
  Reason last_reason_ = Reason{};
  EndpointId last_endpoint_;
  bool may_have_run_ = false;
  bool abandoned_ = false;
};

/// Builds a Request; fields that are not set keep their defaults.
class Request::Builder : public ValueBuilder<Request, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& arrival(Shared<CallerRequest> value) {
    return Set(value_.arrival_, std::move(value));
  }
  Builder& service(ServiceName value) {
    return Set(value_.service_, std::move(value));
  }
  Builder& deadline(Instant value) { return Set(value_.deadline_, value); }
  Builder& urgent(bool value) { return Set(value_.urgent_, value); }
  Builder& idempotent(bool value) { return Set(value_.idempotent_, value); }
  Builder& attempts(std::int32_t value) { return Set(value_.attempts_, value); }
  Builder& state(RequestState value) {
    return Set(value_.state_, std::move(value));
  }
  Builder& key_endpoint(EndpointId value) {
    return Set(value_.key_endpoint_, std::move(value));
  }
  Builder& registered(bool value) { return Set(value_.registered_, value); }
  Builder& repeated(bool value) { return Set(value_.repeated_, value); }
  Builder& last_reason(Reason value) { return Set(value_.last_reason_, value); }
  Builder& last_endpoint(EndpointId value) {
    return Set(value_.last_endpoint_, std::move(value));
  }
  Builder& may_have_run(bool value) { return Set(value_.may_have_run_, value); }
  Builder& abandoned(bool value) { return Set(value_.abandoned_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_REQUEST_H_
