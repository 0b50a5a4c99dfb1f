#ifndef QUETZALLINE_SYSTEMS_CELL_VALIDATE_DEFINITION_H_
#define QUETZALLINE_SYSTEMS_CELL_VALIDATE_DEFINITION_H_

#include <optional>
#include <string>

#include "core/job_definition.h"

namespace quetzalline {

/// Validates a job, whether a caller submits it or the store returns it.
/// Returns the error as text, with the field that it concerns; empty for a
/// valid job.
std::optional<std::string> ValidateDefinition(const JobDefinition& definition);

}  // namespace quetzalline

#endif  // QUETZALLINE_SYSTEMS_CELL_VALIDATE_DEFINITION_H_
