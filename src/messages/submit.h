#ifndef QUETZALLINE_MESSAGES_SUBMIT_H_
#define QUETZALLINE_MESSAGES_SUBMIT_H_

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

namespace quetzalline {

/// Requests the agent to run an attempt.
class Submit {
 public:
  class Builder;

  static constexpr std::string_view kName = "submit";

  const AttemptId& attempt() const { return attempt_; }
  const ServiceName& service() const { return service_; }
  const CallerName& caller() const { return caller_; }
  const Shared<HttpRequest>& request() const { return request_; }
  /// Time from receipt after which the attempt must not run.
  Duration lease() const { return lease_; }
  /// Urgent attempts start before all others and are shed last.
  bool urgent() const { return urgent_; }
  /// Idempotency key; empty if the caller sent none.
  const std::string& key() const { return key_; }
  /// True if the key was seen before: the attempt may be answered with the
  /// stored outcome but must not run.
  bool repeated() const { return repeated_; }

  friend auto operator<=>(const Submit&, const Submit&) = default;

 private:
  QUETZALLINE_VALUE(Submit, attempt_, service_, caller_, request_, lease_,
                    urgent_, key_, repeated_)

  AttemptId attempt_;
  ServiceName service_;
  CallerName caller_;
  Shared<HttpRequest> request_;
  Duration lease_ = Duration{};
  bool urgent_ = false;
  std::string key_;
  bool repeated_ = false;
};

/// Builds a Submit; fields that are not set keep their defaults.
class Submit::Builder : public ValueBuilder<Submit, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& attempt(AttemptId value) {
    return Set(value_.attempt_, std::move(value));
  }
  Builder& service(ServiceName value) {
    return Set(value_.service_, std::move(value));
  }
  Builder& caller(CallerName value) {
    return Set(value_.caller_, std::move(value));
  }
  Builder& request(Shared<HttpRequest> value) {
    return Set(value_.request_, std::move(value));
  }
  Builder& lease(Duration value) { return Set(value_.lease_, value); }
  Builder& urgent(bool value) { return Set(value_.urgent_, value); }
  Builder& key(std::string value) { return Set(value_.key_, std::move(value)); }
  Builder& repeated(bool value) { return Set(value_.repeated_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_SUBMIT_H_
