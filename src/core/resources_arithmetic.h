#ifndef QUETZALLINE_CORE_RESOURCES_ARITHMETIC_H_
#define QUETZALLINE_CORE_RESOURCES_ARITHMETIC_H_

#include "core/resources.h"

namespace quetzalline {

/// The sum of two amounts, resource by resource.
inline Resources Sum(const Resources& a, const Resources& b) {
  return Resources::Builder()
      .milli_cores(a.milli_cores() + b.milli_cores())
      .memory_mib(a.memory_mib() + b.memory_mib())
      .accelerators(a.accelerators() + b.accelerators())
      .Build();
}

/// The difference of two amounts, resource by resource.
inline Resources Difference(const Resources& a, const Resources& b) {
  return Resources::Builder()
      .milli_cores(a.milli_cores() - b.milli_cores())
      .memory_mib(a.memory_mib() - b.memory_mib())
      .accelerators(a.accelerators() - b.accelerators())
      .Build();
}

/// Whether no resource of the need exceeds what there is.
inline bool Fits(const Resources& need, const Resources& capacity) {
  return need.milli_cores() <= capacity.milli_cores() &&
         need.memory_mib() <= capacity.memory_mib() &&
         need.accelerators() <= capacity.accelerators();
}

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_RESOURCES_ARITHMETIC_H_
