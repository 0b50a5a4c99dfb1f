#ifndef QUETZALLINE_PROGRAMS_OPERATOR_OPTIONS_H_
#define QUETZALLINE_PROGRAMS_OPERATOR_OPTIONS_H_

#include <cxxopts.hpp>
#include <optional>

#include "programs/operator_client.h"

namespace quetzalline {

/// Adds the options that all operator subcommands share.
void AddOperatorOptions(cxxopts::Options& options);

/// Reads the options that AddOperatorOptions adds. If the token file cannot be
/// read or is empty, prints an error and returns nothing.
std::optional<OperatorTarget> ReadOperatorOptions(
    const cxxopts::ParseResult& parsed);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_OPERATOR_OPTIONS_H_
