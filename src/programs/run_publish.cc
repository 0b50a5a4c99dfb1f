#include <algorithm>
#include <iostream>

#include "programs/command_line.h"
#include "programs/operator_options.h"
#include "programs/publish_directory.h"
#include "programs/subcommand.h"

namespace quetzalline {
ExitStatus RunPublish(const Arguments& arguments) {
  cxxopts::Options options("quetzalline publish",
                           "Publishes the service files of a directory.");
  AddOperatorOptions(options);
  options.add_options()("directory",
                        "directory that is searched for service files",
                        cxxopts::value<std::string>())(
      "author", "name recorded as the author of the revisions",
      cxxopts::value<std::string>()->default_value("operator"))(
      "dry-run", "check the files without publishing them");
  options.parse_positional({"directory"});
  options.positional_help("DIRECTORY");
  const ParsedCommandLine line = ParseCommandLine(options, arguments);
  if (!line.options_) return line.status_;
  if (line.options_->count("directory") == 0) {
    std::cerr << "missing argument DIRECTORY; see --help\n";
    return ExitStatus::kWrongUsage;
  }
  const auto target = ReadOperatorOptions(*line.options_);
  if (!target) return ExitStatus::kWrongUsage;
  std::vector<FileError> errors;
  const std::vector<LoadedServiceFile> files = CollectServiceFiles(
      (*line.options_)["directory"].as<std::string>(), errors);
  for (const FileError& error : errors) std::cerr << FormatError(error) << "\n";
  if (!errors.empty()) return ExitStatus::kWrongUsage;
  if (line.options_->count("dry-run") > 0) {
    std::cout << files.size() << " service files are valid\n";
    return ExitStatus::kDone;
  }
  const std::vector<PublishResult> results = PublishFiles(
      files, *target, (*line.options_)["author"].as<std::string>());
  for (const PublishResult& result : results) {
    std::cout << result.service_ << ": " << result.detail_ << "\n";
  }
  const bool all =
      std::all_of(results.begin(), results.end(),
                  [](const PublishResult& file) { return file.published_; });
  return all ? ExitStatus::kDone : ExitStatus::kRefused;
}

}  // namespace quetzalline
