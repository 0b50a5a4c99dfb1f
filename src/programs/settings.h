#ifndef QUETZALLINE_PROGRAMS_SETTINGS_H_
#define QUETZALLINE_PROGRAMS_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "programs/agent_settings.h"
#include "programs/entry_settings.h"
#include "programs/toml_reader.h"

namespace quetzalline {

/// Reads and checks the settings of an entry. Adds errors to faults and returns
/// nothing if there are any.
std::optional<EntrySettings> ReadEntrySettings(const std::string& path,
                                               std::vector<FileFault>& faults);

/// Reads and checks the settings of an agent. Adds errors to faults and returns
/// nothing if there are any.
std::optional<AgentSettings> ReadAgentSettings(const std::string& path,
                                               std::vector<FileFault>& faults);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_SETTINGS_H_
