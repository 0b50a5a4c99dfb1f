#ifndef QUETZALLINE_PROGRAMS_COMMAND_LINE_H_
#define QUETZALLINE_PROGRAMS_COMMAND_LINE_H_

#include <cxxopts.hpp>
#include <optional>
#include <string>

#include "programs/subcommand.h"

namespace quetzalline {

/// Holds the result of parsing a command line: the options, or, after help or a
/// usage error was printed, only the exit status.
struct ParsedCommandLine {
  std::optional<cxxopts::ParseResult> options_;
  ExitStatus status_ = ExitStatus::kDone;
};

/// Parses the arguments of a subcommand and adds the option --help. Prints help
/// to standard output and usage errors to standard error.
ParsedCommandLine ParseCommandLine(cxxopts::Options& options,
                                   const Arguments& arguments);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_COMMAND_LINE_H_
