#ifndef QUETZALLINE_PROGRAMS_COMMAND_LINE_H_
#define QUETZALLINE_PROGRAMS_COMMAND_LINE_H_

#include <cxxopts.hpp>
#include <optional>
#include <string>

#include "programs/subcommand.h"

namespace quetzalline {

/// The outcome of parsing a command line: either its options, or the status to
/// exit with after help or a usage error was printed.
struct ParsedLine {
  std::optional<cxxopts::ParseResult> options_;
  ExitStatus status_ = ExitStatus::kDone;
};

/// Parses the words of a subcommand. Help goes to standard output, usage errors
/// to standard error.
ParsedLine ParseLine(cxxopts::Options& options, const Arguments& arguments);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_COMMAND_LINE_H_
