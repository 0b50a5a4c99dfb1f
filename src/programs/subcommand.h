#ifndef QUETZALLINE_PROGRAMS_SUBCOMMAND_H_
#define QUETZALLINE_PROGRAMS_SUBCOMMAND_H_

#include <string>
#include <vector>

#include "programs/exit_status.h"

namespace quetzalline {

/// The command-line arguments after the name of the subcommand.
using Arguments = std::vector<std::string>;

/// Each function runs one subcommand and returns the exit status of the
/// process.
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
