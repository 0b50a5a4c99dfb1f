#ifndef QUETZALLINE_ADAPTERS_OPERATOR_COMMAND_CODEC_H_
#define QUETZALLINE_ADAPTERS_OPERATOR_COMMAND_CODEC_H_

#include <optional>
#include <string>

#include "core/http_response.h"
#include "messages/command.h"
#include "messages/command_result.h"

namespace quetzalline {

/// A command read from an operator's HTTP request, or why there is none.
struct ParsedCommand {
  std::optional<Command> command_;
  int status_ = 400;
  std::string last_reason_;
};

ParsedCommand ParseCommand(const std::string& method, const std::string& target,
                           const std::string& body);

/// What an operator is answered.
HttpResponse ToResponse(const CommandResult& result);

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_OPERATOR_COMMAND_CODEC_H_
