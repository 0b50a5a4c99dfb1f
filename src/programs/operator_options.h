#ifndef QUETZALLINE_PROGRAMS_OPERATOR_OPTIONS_H_
#define QUETZALLINE_PROGRAMS_OPERATOR_OPTIONS_H_

#include <cxxopts.hpp>
#include <optional>

#include "programs/operator_client.h"

namespace quetzalline {

/// Adds the options that every subcommand for operators has.
void AddOperatorOptions(cxxopts::Options& options);

/// Reads those options; empty, with a message on standard error, where the
/// token file cannot be read.
std::optional<OperatorTarget> ReadOperatorOptions(
    const cxxopts::ParseResult& parsed);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_OPERATOR_OPTIONS_H_
