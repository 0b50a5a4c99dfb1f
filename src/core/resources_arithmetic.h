#ifndef QUETZALLINE_CORE_RESOURCES_ARITHMETIC_H_
#define QUETZALLINE_CORE_RESOURCES_ARITHMETIC_H_

#include "core/resources.h"

namespace quetzalline {

/// Returns the sum of two amounts of each resource.
inline Resources Sum(const Resources& a, const Resources& b) {
  return Resources::Builder()
      .milli_cores(a.milli_cores() + b.milli_cores())
      .memory_mib(a.memory_mib() + b.memory_mib())
      .accelerators(a.accelerators() + b.accelerators())
      .Build();
}

/// Returns the difference of two amounts of each resource.
inline Resources Difference(const Resources& a, const Resources& b) {
  return Resources::Builder()
      .milli_cores(a.milli_cores() - b.milli_cores())
      .memory_mib(a.memory_mib() - b.memory_mib())
      .accelerators(a.accelerators() - b.accelerators())
      .Build();
}

/// Returns true if the capacity covers the need in every resource.
inline bool Fits(const Resources& need, const Resources& capacity) {
  return need.milli_cores() <= capacity.milli_cores() &&
         need.memory_mib() <= capacity.memory_mib() &&
         need.accelerators() <= capacity.accelerators();
}

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_RESOURCES_ARITHMETIC_H_
