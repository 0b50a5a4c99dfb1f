#include "systems/cell/validate_definition.h"

#include <cstdint>

#include "core/limits.h"

namespace quetzalline {
namespace {

// Largest specification that callers may submit, in bytes.
constexpr std::size_t kMaxSpecBytes = 4000;
// Limits on one job, so that no caller exhausts the holder's memory.
constexpr std::size_t kMaxSteps = 256;
constexpr std::int64_t kMaxTasks = 20'000;
constexpr Duration kMaxDuration = std::chrono::milliseconds(kMaxDurationMs);

std::optional<std::string> ValidateStep(const JobStep& step,
                                        std::size_t number) {
  const std::string field = "steps[" + std::to_string(number) + "].";
  const auto out_of_range = [](std::int64_t amount) {
    return amount < 0 || amount > kMaxResourceAmount;
  };
  if (step.count() < 1) return field + "count: expected 1 or more";
  if (out_of_range(step.cpu())) return field + "cpu: out of range";
  if (out_of_range(step.memory_mb())) return field + "mem_mb: out of range";
  if (out_of_range(step.gpu())) return field + "gpu: out of range";
  const auto no_duration = [](Duration time) {
    return time < Duration() || time > kMaxDuration;
  };
  if (no_duration(step.estimate())) return field + "estimate_ms: out of range";
  if (no_duration(step.target())) return field + "target_ms: out of range";
  for (const std::int32_t dependency : step.after()) {
    if (dependency < 0 || static_cast<std::size_t>(dependency) >= number) {
      return field + "after: expected the numbers of earlier steps";
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> ValidateDefinition(const JobDefinition& definition) {
  if (definition.spec().size() > kMaxSpecBytes) return "spec: too long";
  if (definition.steps().empty()) return "steps: expected one or more";
  if (definition.steps().size() > kMaxSteps) return "steps: too many";
  if (definition.repeat_count() < 0) return "repeat_count: out of range";
  if (definition.first_due_ms() < 0 || definition.first_due_ms() > kMaxUnixMs) {
    return "start_ms: out of range";
  }
  if (definition.interval_ms() < 0 ||
      definition.interval_ms() > kMaxDurationMs) {
    return "interval_ms: out of range";
  }
  std::int64_t tasks = 0;
  for (std::size_t number = 0; number < definition.steps().size(); ++number) {
    const JobStep& step = definition.steps()[number];
    if (auto error = ValidateStep(step, number)) return error;
    tasks += step.count();
  }
  const std::int64_t occurrences =
      definition.repeat_count() > 0 ? definition.repeat_count() : 1;
  if (tasks * occurrences > kMaxTasks) return "steps: too many tasks";
  return std::nullopt;
}

}  // namespace quetzalline
