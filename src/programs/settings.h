#ifndef QUETZALLINE_PROGRAMS_SETTINGS_H_
#define QUETZALLINE_PROGRAMS_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "programs/agent_settings.h"
#include "programs/entry_settings.h"
#include "programs/toml_reader.h"

namespace quetzalline {

/// Reads and checks the settings of an entry. Appends each error found to
/// errors and returns nothing if there are any.
std::optional<EntrySettings> ReadEntrySettings(const std::string& path,
                                               std::vector<FileError>& errors);

/// Reads and checks the settings of an agent. Appends each error found to
/// errors and returns nothing if there are any.
std::optional<AgentSettings> ReadAgentSettings(const std::string& path,
                                               std::vector<FileError>& errors);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_SETTINGS_H_
