#ifndef QUETZALLINE_ADAPTERS_OPERATOR_API_H_
#define QUETZALLINE_ADAPTERS_OPERATOR_API_H_

#include <functional>
#include <map>
#include <string>

#include "adapters/http_server.h"
#include "messages/answer_operator.h"
#include "messages/operator_command.h"

namespace quetzalline {

/// The operator API of a process: HTTP with JSON on a separate listener. All
/// changes require the bearer token. An agent accepts no commands; it serves
/// only its dump, metrics and health.
class OperatorApi {
 public:
  /// Callbacks into the process.
  struct Events {
    /// Executes a command; empty if the process accepts none.
    std::function<void(const OperatorCommand&)> command_;
    /// Returns the tables as JSON.
    std::function<std::string()> dump_;
    /// Returns the metrics in the Prometheus text format.
    std::function<std::string()> metrics_;
    /// Returns false once the process is shutting down.
    std::function<bool()> healthy_;
    /// Called for each request that is rejected before it becomes a command.
    std::function<void(Reason)> rejected_;
  };

  OperatorApi(std::string token, Events events)
      : token_(std::move(token)), events_(std::move(events)) {}

  /// Handles one HTTP request.
  void Handle(const HttpExchange& exchange);
  /// Responds to the command with this id. Does nothing if the client has
  /// disconnected.
  void Answer(const AnswerOperator& answer);

 private:
  bool IsAuthorized(const HttpExchange& exchange) const;
  void HandleRead(const HttpExchange& exchange);
  void HandleChange(const HttpExchange& exchange);
  void StartCommand(const HttpExchange& exchange, const Command& command);
  void Reject(const HttpExchange& exchange, int status, Reason reason,
              const std::string& detail);

  std::string token_;
  Events events_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, HttpExchange> pending_commands_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_OPERATOR_API_H_
