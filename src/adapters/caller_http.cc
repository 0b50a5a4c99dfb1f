#include "adapters/caller_http.h"

#include <boost/beast/core/string.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <optional>

#include "adapters/node_loop.h"
#include "adapters/problem_json.h"
#include "core/overloaded.h"
#include "core/reflect.h"

namespace quetzalline {
namespace {

const char kHealthTarget[] = "/-/healthz";
const char kCallerHeader[] = "Quetzalline-Caller";
const char kDeadlineHeader[] = "Quetzalline-Deadline-Ms";
const char kKeyHeader[] = "Idempotency-Key";
const char kRequestHeader[] = "Quetzalline-Request";
const char kOutcomeHeader[] = "Quetzalline-Outcome";
const char kReasonHeader[] = "Quetzalline-Reason";

// Returns true for a hop-by-hop header, which applies to a single connection
// and must not be forwarded.
bool IsHopByHop(std::string_view name) {
  for (const std::string_view hop :
       {"connection", "keep-alive", "transfer-encoding", "content-length", "te",
        "trailer", "upgrade", "proxy-connection"}) {
    if (boost::beast::iequals(name, hop)) return true;
  }
  return false;
}

// Returns the headers to forward.
std::vector<Header> EndToEndHeaders(const std::vector<Header>& headers) {
  std::vector<Header> forwarded;
  for (const Header& header : headers) {
    if (!IsHopByHop(header.name())) forwarded.push_back(header);
  }
  return forwarded;
}

Header MakeHeader(std::string name, std::string value) {
  return Header::Builder()
      .name(std::move(name))
      .value(std::move(value))
      .Build();
}

std::string FormatRequestId(const RequestId& id) {
  return std::to_string(id.origin()) + "-" + std::to_string(id.sequence());
}

// Parses a deadline in milliseconds, capped at one hour. Returns nothing if the
// header is absent and zero if its value is not a positive integer.
std::optional<Duration> ReadDeadline(const std::string& text) {
  if (text.empty()) return std::nullopt;
  std::int64_t milliseconds = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, milliseconds);
  if (error != std::errc() || stop != end || milliseconds <= 0) {
    return Duration::zero();
  }
  constexpr std::int64_t kMaxMilliseconds = 3600 * 1000;
  return std::chrono::milliseconds(std::min(milliseconds, kMaxMilliseconds));
}

// Returns the HTTP status for a request that was not run.
int NotRunStatus(Reason reason) {
  if (reason == Reason::kUnknownService) return 404;
  if (reason == Reason::kBodyTooLarge) return 413;
  if (reason == Reason::kKeyConflict) return 409;
  if (reason == Reason::kFairShare) return 429;
  return 503;
}

// Rounds up to whole seconds, the unit of the Retry-After header.
std::string RetryAfterSeconds(Duration wait) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait).count();
  return std::to_string(seconds);
}

HttpResponse WithHeaders(const HttpResponse& response,
                         const std::vector<Header>& added) {
  std::vector<Header> headers = EndToEndHeaders(response.headers());
  headers.insert(headers.end(), added.begin(), added.end());
  return HttpResponse::Builder(response).headers(std::move(headers)).Build();
}

HttpResponse ToResponse(const AttemptOutcome& outcome) {
  return std::visit(
      Overloaded{
          [](const Done& done) {
            return WithHeaders(*done.response(),
                               {MakeHeader(kOutcomeHeader, "done")});
          },
          [](const NotRun& not_run) {
            std::vector<Header> headers{
                MakeHeader(kOutcomeHeader, "not-run"),
                MakeHeader(kReasonHeader, ToString(not_run.reason()))};
            if (not_run.retry_after() > Duration::zero()) {
              headers.push_back(MakeHeader(
                  "Retry-After", RetryAfterSeconds(not_run.retry_after())));
            }
            return WithHeaders(
                ProblemResponse(NotRunStatus(not_run.reason()),
                                "not run: " + ToString(not_run.reason())),
                headers);
          },
          [](const Unknown& unknown) {
            return WithHeaders(
                ProblemResponse(504, "the outcome is unknown: " +
                                         ToString(unknown.reason())),
                {MakeHeader(kOutcomeHeader, "unknown"),
                 MakeHeader(kReasonHeader, ToString(unknown.reason()))});
          }},
      outcome);
}

HttpResponse HealthResponse(bool healthy) {
  if (!healthy) return ProblemResponse(503, "leaving");
  return HttpResponse::Builder().status(200).body(Body("ok\n")).Build();
}

}  // namespace

void CallerHttp::Handle(const HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.target() == kHealthTarget) {
    return exchange.Respond(HealthResponse(events_.healthy_()));
  }
  const std::optional<Duration> deadline =
      ReadDeadline(exchange.Header(kDeadlineHeader));
  if (deadline && *deadline == Duration::zero()) {
    return exchange.Respond(
        ProblemResponse(400, std::string(kDeadlineHeader) +
                                 " must be a positive number of milliseconds"));
  }
  const RequestId id =
      RequestId::Builder().origin(origin_).sequence(++last_sequence_).Build();
  pending_requests_.emplace(id, PendingRequest{exchange, ReadClock()});
  exchange.OnDisconnect([this, id] {
    pending_requests_.erase(id);
    events_.disconnected_(id);
  });
  events_.request_(CallerRequest::Builder()
                       .id(id)
                       .caller(CallerName(exchange.Header(kCallerHeader)))
                       .host(exchange.host())
                       .request(HttpRequest::Builder(request)
                                    .headers(EndToEndHeaders(request.headers()))
                                    .Build())
                       .deadline(deadline)
                       .key(exchange.Header(kKeyHeader))
                       .Build());
}

void CallerHttp::Answer(const AnswerCaller& answer) {
  const auto found = pending_requests_.find(answer.id());
  if (found == pending_requests_.end()) return;
  const PendingRequest pending = found->second;
  pending_requests_.erase(found);
  latency_.Add(ReadClock() - pending.arrived_);
  pending.exchange_.Respond(
      WithHeaders(ToResponse(answer.outcome()),
                  {MakeHeader(kRequestHeader, FormatRequestId(answer.id()))}));
}

}  // namespace quetzalline
