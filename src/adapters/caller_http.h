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

/// Converts HTTP exchanges of callers to requests of the entry, and the entry's
/// answers to HTTP responses.
class CallerHttp {
 public:
  /// Callbacks into the entry.
  struct Events {
    /// Receives each valid request.
    std::function<void(const CallerRequest&)> request_;
    /// Called when a caller disconnects before its request is answered.
    std::function<void(const RequestId&)> disconnected_;
    /// Returns true if a load balancer should send callers to this entry.
    std::function<bool()> healthy_;
  };

  /// The origin distinguishes the request ids of this entry from those of all
  /// other entries and incarnations.
  CallerHttp(std::uint64_t origin, Events events)
      : origin_(origin), events_(std::move(events)) {}

  /// Handles one HTTP request: a health check or a request of a caller. An
  /// invalid deadline header is answered with status 400.
  void Handle(const HttpExchange& exchange);
  /// Responds to the request with this id. Does nothing if the caller has
  /// disconnected.
  void Answer(const AnswerCaller& answer);

  /// Time from the arrival of each request to its response.
  const LatencyHistogram& latency() const { return latency_; }

 private:
  struct PendingRequest {
    HttpExchange exchange_;
    Instant arrived_;
  };

  std::uint64_t origin_;
  Events events_;
  std::uint64_t last_sequence_ = 0;
  std::map<RequestId, PendingRequest> pending_requests_;
  LatencyHistogram latency_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_CALLER_HTTP_H_
