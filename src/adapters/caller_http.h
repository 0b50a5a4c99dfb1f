#ifndef QUETZALLINE_ADAPTERS_CALLER_HTTP_H_
#define QUETZALLINE_ADAPTERS_CALLER_HTTP_H_

#include <functional>
#include <map>

#include "adapters/http_server.h"
#include "adapters/latency_histogram.h"
#include "core/time.h"
#include "messages/answer_caller.h"
#include "messages/caller_request.h"

namespace quetzalline {

/// Translates between callers' HTTP and the entry's requests and answers.
class CallerHttp {
 public:
  struct Events {
    std::function<void(const CallerRequest&)> request_;
    std::function<void(const RequestId&)> gone_;
    /// Whether the balancer should send callers here.
    std::function<bool()> healthy_;
  };

  /// The origin makes this entry's request ids unlike any other's.
  CallerHttp(std::uint64_t origin, Events events)
      : origin_(origin), events_(std::move(events)) {}

  void Take(const HttpExchange& exchange);
  void Answer(const AnswerCaller& answer);

  const LatencyHistogram& latency() const { return latency_; }

 private:
  struct Open {
    HttpExchange exchange_;
    Instant arrived_;
  };

  std::uint64_t origin_;
  Events events_;
  std::uint64_t last_sequence_ = 0;
  std::map<RequestId, Open> open_;
  LatencyHistogram latency_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_CALLER_HTTP_H_
