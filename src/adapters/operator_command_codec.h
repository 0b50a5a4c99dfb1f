#ifndef QUETZALLINE_ADAPTERS_OPERATOR_COMMAND_CODEC_H_
#define QUETZALLINE_ADAPTERS_OPERATOR_COMMAND_CODEC_H_

#include <optional>
#include <string>

#include "core/http_response.h"
#include "messages/command.h"
#include "messages/command_result.h"

namespace quetzalline {

/// A command parsed from an operator's HTTP request, or the HTTP status and the
/// reason why the request is invalid.
struct ParsedCommand {
  std::optional<Command> command_;
  int status_ = 400;
  std::string error_;
};

/// Parses the method, target and body of an HTTP request.
ParsedCommand ParseCommand(const std::string& method, const std::string& target,
                           const std::string& body);

/// Returns the HTTP response for the result of a command.
HttpResponse ToResponse(const CommandResult& result);

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_OPERATOR_COMMAND_CODEC_H_
