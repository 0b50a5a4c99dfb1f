#ifndef QUETZALLINE_PROGRAMS_WORKER_SETTINGS_H_
#define QUETZALLINE_PROGRAMS_WORKER_SETTINGS_H_

#include <variant>

#include "programs/http_worker_settings.h"
#include "programs/no_worker.h"

namespace quetzalline {

/// Selects the worker of an agent.
using WorkerSettings = std::variant<NoWorker, HttpWorkerSettings>;

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_WORKER_SETTINGS_H_
