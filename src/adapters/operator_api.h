#ifndef QUETZALLINE_ADAPTERS_OPERATOR_API_H_
#define QUETZALLINE_ADAPTERS_OPERATOR_API_H_

#include <functional>
#include <map>
#include <string>

#include "adapters/http_server.h"
#include "messages/answer_operator.h"
#include "messages/operator_command.h"

namespace quetzalline {

/// The operators' API of a process: HTTP with JSON on a listener of its own.
/// Every change needs the bearer token. An agent has no commands, only its
/// dump, its metrics and its health.
class OperatorApi {
 public:
  struct Events {
    /// Takes a command; empty where the process has none.
    std::function<void(const OperatorCommand&)> command_;
    std::function<std::string()> dump_;
    std::function<std::string()> metrics_;
    std::function<bool()> healthy_;
    /// Counts what was refused before it became a command.
    std::function<void(Reason)> refused_;
  };

  OperatorApi(std::string token, Events events)
      : token_(std::move(token)), events_(std::move(events)) {}

  void Take(const HttpExchange& exchange);
  void Answer(const AnswerOperator& answer);

 private:
  bool IsAuthorized(const HttpExchange& exchange) const;
  void TakeRead(const HttpExchange& exchange);
  void TakeChange(const HttpExchange& exchange);
  void Start(const HttpExchange& exchange, const Command& command);
  void Refuse(const HttpExchange& exchange, int status, Reason reason,
              const std::string& detail);

  std::string token_;
  Events events_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, HttpExchange> open_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_OPERATOR_API_H_
