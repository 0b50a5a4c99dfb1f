#include "systems/gateway/validate_job.h"

#include "systems/cell/validate_definition.h"

namespace quetzalline {

std::optional<std::string> ValidateJob(const SubmitCall& call) {
  if (!call.definition()) return call.detail();
  return ValidateDefinition(**call.definition());
}

}  // namespace quetzalline
