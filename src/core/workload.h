#ifndef QUETZALLINE_CORE_WORKLOAD_H_
#define QUETZALLINE_CORE_WORKLOAD_H_

#include <variant>

#include "core/batch_workload.h"
#include "core/service_workload.h"
#include "core/watcher_workload.h"

namespace quetzalline {

/// The kind of workload of a task.
using Workload = std::variant<ServiceWorkload, BatchWorkload, WatcherWorkload>;

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_WORKLOAD_H_
