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
void CheckPath(const std::string& path, std::vector<FileError>& errors) {
  if (std::filesystem::is_directory(path)) {
    CollectServiceFiles(path, errors);
    return;
  }
  const std::optional<toml::table> table = ParseTomlFile(path, errors);
  if (!table) return;
  if (table->contains("entry")) {
    ReadEntrySettings(path, errors);
  } else if (table->contains("agent")) {
    ReadAgentSettings(path, errors);
  } else {
    ReadServiceFile(path, errors);
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
  const ParsedCommandLine line = ParseCommandLine(options, arguments);
  if (!line.options_) return line.status_;
  if (line.options_->count("paths") == 0) {
    std::cerr << "missing argument PATH; see --help\n";
    return ExitStatus::kWrongUsage;
  }
  std::vector<FileError> errors;
  const auto paths = (*line.options_)["paths"].as<std::vector<std::string>>();
  for (const std::string& path : paths) CheckPath(path, errors);
  for (const FileError& error : errors) std::cerr << FormatError(error) << "\n";
  if (!errors.empty()) return ExitStatus::kWrongUsage;
  std::cout << "no errors found\n";
  return ExitStatus::kDone;
}

}  // namespace quetzalline
