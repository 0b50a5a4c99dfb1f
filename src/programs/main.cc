#include <glog/logging.h>

#include <iostream>
#include <map>
#include <string>

#include "programs/subcommand.h"
#include "run_platform.h"

namespace quetzalline {
namespace {

struct Subcommand {
  ExitStatus (*run_)(const Arguments&);
  const char* summary_;
};

const std::map<std::string, Subcommand>& Subcommands() {
  static const std::map<std::string, Subcommand> kSubcommands{
      {"entry", {RunEntry, "run an entry"}},
      {"agent", {RunAgent, "run the agent of an endpoint"}},
      {"platform-entry",
       {RunPlatformEntry, "run an entry on the users' platform"}},
      {"platform-agent",
       {RunPlatformAgent, "run an agent on the users' platform"}},
      {"local", {RunLocal, "run a complete example system in one process"}},
      {"publish", {RunPublish, "publish the service files of a directory"}},
      {"check", {RunCheck, "check settings and service files offline"}},
      {"job", {RunJob, "submit a job"}},
      {"cancel", {RunCancel, "cancel a job"}},
      {"drain", {RunDrain, "drain an endpoint, or return it to service"}},
      {"status", {RunStatus, "print the state of the system"}},
      {"dump", {RunDump, "print all tables of a process as JSON"}},
      {"version", {RunVersion, "print the version"}},
  };
  return kSubcommands;
}

void PrintHelp(std::ostream& out) {
  out << "Usage: quetzalline SUBCOMMAND [options]\n\n";
  for (const auto& [name, subcommand] : Subcommands()) {
    out << "  " << name << std::string(16 - name.size(), ' ')
        << subcommand.summary_ << "\n";
  }
  out << "\nExit status: 0 done, 1 refused by the system, 2 wrong usage or "
         "settings.\n";
}

ExitStatus RunSubcommand(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "";
  if (name == "--help" || name == "-h" || name == "help") {
    PrintHelp(std::cout);
    return ExitStatus::kDone;
  }
  const auto found = Subcommands().find(name);
  if (found == Subcommands().end()) {
    std::cerr << "unknown subcommand \"" << name << "\"\n";
    PrintHelp(std::cerr);
    return ExitStatus::kWrongUsage;
  }
  return found->second.run_(Arguments(argv + 2, argv + argc));
}

}  // namespace
}  // namespace quetzalline

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  return static_cast<int>(quetzalline::RunSubcommand(argc, argv));
}
