#ifndef QUETZALLINE_PROGRAMS_SUBCOMMAND_H_
#define QUETZALLINE_PROGRAMS_SUBCOMMAND_H_

#include <string>
#include <vector>

#include "programs/exit_status.h"

namespace quetzalline {

/// The words behind the subcommand's name.
using Arguments = std::vector<std::string>;

/// One entry point for each subcommand.
ExitStatus RunEntry(const Arguments& arguments);
ExitStatus RunAgent(const Arguments& arguments);
ExitStatus RunLocal(const Arguments& arguments);
ExitStatus RunPublish(const Arguments& arguments);
ExitStatus RunCheck(const Arguments& arguments);
ExitStatus RunJob(const Arguments& arguments);
ExitStatus RunCancel(const Arguments& arguments);
ExitStatus RunDrain(const Arguments& arguments);
ExitStatus RunStatus(const Arguments& arguments);
ExitStatus RunDump(const Arguments& arguments);
ExitStatus RunVersion(const Arguments& arguments);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_SUBCOMMAND_H_
