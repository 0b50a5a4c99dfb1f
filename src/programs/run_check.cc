#include <filesystem>
#include <iostream>

#include "programs/command_line.h"
#include "programs/service_files.h"
#include "programs/settings.h"
#include "programs/subcommand.h"

namespace quetzalline {
namespace {

// A directory is searched for service files. The type of a file is determined
// by its tables: [entry], [agent], or neither for a service file.
void CheckPath(const std::string& path, std::vector<FileFault>& faults) {
  if (std::filesystem::is_directory(path)) {
    CollectServiceFiles(path, faults);
    return;
  }
  const std::optional<toml::table> table = ParseTomlFile(path, faults);
  if (!table) return;
  if (table->contains("entry")) {
    ReadEntrySettings(path, faults);
  } else if (table->contains("agent")) {
    ReadAgentSettings(path, faults);
  } else {
    ReadServiceFile(path, faults);
  }
}

}  // namespace

ExitStatus RunCheck(const Arguments& arguments) {
  cxxopts::Options options("quetzalline check",
                           "Checks settings and service files offline.");
  options.add_options()(
      "paths", "settings files, service files or directories of services",
      cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"paths"});
  options.positional_help("PATH...");
  const ParsedLine line = ParseLine(options, arguments);
  if (!line.options_) return line.status_;
  if (line.options_->count("paths") == 0) {
    std::cerr << "missing argument PATH; see --help\n";
    return ExitStatus::kWrongUsage;
  }
  std::vector<FileFault> faults;
  const auto paths = (*line.options_)["paths"].as<std::vector<std::string>>();
  for (const std::string& path : paths) CheckPath(path, faults);
  for (const FileFault& fault : faults) std::cerr << Text(fault) << "\n";
  if (!faults.empty()) return ExitStatus::kWrongUsage;
  std::cout << "no errors found\n";
  return ExitStatus::kDone;
}

}  // namespace quetzalline
