#include "adapters/operator_api.h"

#include "adapters/operator_command_codec.h"
#include "adapters/problem_json.h"

namespace quetzalline {
namespace {

HttpResponse TextResponse(const std::string& type, std::string body) {
  return HttpResponse::Builder()
      .status(200)
      .headers({Header::Builder().name("Content-Type").value(type).Build()})
      .body(Body(std::move(body)))
      .Build();
}

}  // namespace

bool OperatorApi::IsAuthorized(const HttpExchange& exchange) const {
  return !token_.empty() &&
         exchange.Header("Authorization") == "Bearer " + token_;
}

void OperatorApi::Reject(const HttpExchange& exchange, int status,
                         Reason reason, const std::string& detail) {
  events_.rejected_(reason);
  exchange.Respond(ProblemResponse(status, detail));
}

void OperatorApi::Handle(const HttpExchange& exchange) {
  if (exchange.request().method() == "GET") return HandleRead(exchange);
  HandleChange(exchange);
}

void OperatorApi::HandleRead(const HttpExchange& exchange) {
  const std::string& target = exchange.request().target();
  if (target == "/v1/dump") {
    return exchange.Respond(TextResponse("application/json", events_.dump_()));
  }
  if (target == "/metrics") {
    return exchange.Respond(
        TextResponse("text/plain; version=0.0.4", events_.metrics_()));
  }
  if (target == "/healthz") {
    if (!events_.healthy_()) {
      return exchange.Respond(ProblemResponse(503, "leaving"));
    }
    return exchange.Respond(TextResponse("text/plain", "ok\n"));
  }
  HandleChange(exchange);
}

void OperatorApi::HandleChange(const HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.method() != "GET" && !IsAuthorized(exchange)) {
    return Reject(exchange, 401, Reason::kUnauthorized,
                  "this request requires the bearer token");
  }
  const ParsedCommand parsed =
      ParseCommand(request.method(), request.target(), request.body().bytes());
  if (!parsed.command_) {
    return Reject(exchange, parsed.status_, Reason::kInvalid, parsed.error_);
  }
  if (!events_.command_) {
    return Reject(exchange, 404, Reason::kInvalid,
                  "this process accepts no commands");
  }
  StartCommand(exchange, *parsed.command_);
}

void OperatorApi::StartCommand(const HttpExchange& exchange,
                               const Command& command) {
  const std::uint64_t id = ++last_id_;
  pending_commands_.emplace(id, exchange);
  exchange.OnDisconnect([this, id] { pending_commands_.erase(id); });
  events_.command_(OperatorCommand::Builder().id(id).command(command).Build());
}

void OperatorApi::Answer(const AnswerOperator& answer) {
  const auto found = pending_commands_.find(answer.id());
  if (found == pending_commands_.end()) return;
  const HttpExchange exchange = found->second;
  pending_commands_.erase(found);
  exchange.Respond(ToResponse(answer.result()));
}

}  // namespace quetzalline
