#include <boost/json.hpp>
#include <iostream>

#include "adapters/operator_command_codec.h"
#include "core/reflect.h"
#include "programs/command_line.h"
#include "programs/operator_options.h"
#include "programs/status_text.h"
#include "programs/subcommand.h"
#include "wire/json_encoding.h"

namespace quetzalline {
namespace {

// Calls the operators' API and prints the response body unchanged: to standard
// output if the status is below 300, else to standard error.
ExitStatus CallAndPrint(const OperatorTarget& target, const std::string& method,
                        const std::string& path, const std::string& body) {
  const OperatorApiResult answer = CallOperatorApi(target, method, path, body);
  if (!answer.response_) {
    std::cerr << answer.error_ << "\n";
    return ExitStatus::kRefused;
  }
  const bool good = answer.response_->status() < 300;
  (good ? std::cout : std::cerr) << answer.response_->body().bytes();
  return good ? ExitStatus::kDone : ExitStatus::kRefused;
}

ExitStatus MissingArgument(const std::string& name) {
  std::cerr << "missing argument " << name << "; see --help\n";
  return ExitStatus::kWrongUsage;
}

}  // namespace

ExitStatus RunJob(const Arguments& arguments) {
  cxxopts::Options options("quetzalline job", "Submits a job.");
  AddOperatorOptions(options);
  options.add_options()("job", "name of the job, chosen by the operator",
                        cxxopts::value<std::string>())(
      "service", "service whose file declares the task",
      cxxopts::value<std::string>())("task",
                                     "name of the task in the service file",
                                     cxxopts::value<std::string>());
  options.parse_positional({"job", "service", "task"});
  options.positional_help("JOB SERVICE TASK");
  const ParsedCommandLine line = ParseCommandLine(options, arguments);
  if (!line.options_) return line.status_;
  if (line.options_->count("task") == 0) {
    return MissingArgument("JOB, SERVICE or TASK");
  }
  const auto target = ReadOperatorOptions(*line.options_);
  if (!target) return ExitStatus::kWrongUsage;
  const boost::json::object body{
      {"service", (*line.options_)["service"].as<std::string>()},
      {"task", (*line.options_)["task"].as<std::string>()}};
  return CallAndPrint(*target, "PUT",
                      "/v1/jobs/" + (*line.options_)["job"].as<std::string>(),
                      boost::json::serialize(body));
}

ExitStatus RunCancel(const Arguments& arguments) {
  cxxopts::Options options("quetzalline cancel", "Cancels a job.");
  AddOperatorOptions(options);
  options.add_options()("job", "name of the job",
                        cxxopts::value<std::string>());
  options.parse_positional({"job"});
  options.positional_help("JOB");
  const ParsedCommandLine line = ParseCommandLine(options, arguments);
  if (!line.options_) return line.status_;
  if (line.options_->count("job") == 0) return MissingArgument("JOB");
  const auto target = ReadOperatorOptions(*line.options_);
  if (!target) return ExitStatus::kWrongUsage;
  return CallAndPrint(*target, "DELETE",
                      "/v1/jobs/" + (*line.options_)["job"].as<std::string>(),
                      "");
}

ExitStatus RunDrain(const Arguments& arguments) {
  cxxopts::Options options("quetzalline drain",
                           "Drains an endpoint, or returns it to service.");
  AddOperatorOptions(options);
  options.add_options()("endpoint", "name of the endpoint",
                        cxxopts::value<std::string>())(
      "undo", "return the endpoint to service");
  options.parse_positional({"endpoint"});
  options.positional_help("ENDPOINT");
  const ParsedCommandLine line = ParseCommandLine(options, arguments);
  if (!line.options_) return line.status_;
  if (line.options_->count("endpoint") == 0) return MissingArgument("ENDPOINT");
  const auto target = ReadOperatorOptions(*line.options_);
  if (!target) return ExitStatus::kWrongUsage;
  const bool undo = line.options_->count("undo") > 0;
  return CallAndPrint(*target, undo ? "DELETE" : "PUT",
                      "/v1/endpoints/" +
                          (*line.options_)["endpoint"].as<std::string>() +
                          "/drain",
                      "");
}

ExitStatus RunStatus(const Arguments& arguments) {
  cxxopts::Options options("quetzalline status",
                           "Prints the state of the system.");
  AddOperatorOptions(options);
  options.add_options()("json", "print the report as JSON");
  const ParsedCommandLine line = ParseCommandLine(options, arguments);
  if (!line.options_) return line.status_;
  const auto target = ReadOperatorOptions(*line.options_);
  if (!target) return ExitStatus::kWrongUsage;
  if (line.options_->count("json") > 0) {
    return CallAndPrint(*target, "GET", "/v1/status", "");
  }
  const StatusResult read = FetchStatusReport(*target);
  if (!read.report_) {
    std::cerr << read.error_ << "\n";
    return ExitStatus::kRefused;
  }
  std::cout << StatusText(*read.report_);
  return ExitStatus::kDone;
}

ExitStatus RunDump(const Arguments& arguments) {
  cxxopts::Options options("quetzalline dump",
                           "Prints all tables of a process as JSON.");
  AddOperatorOptions(options);
  const ParsedCommandLine line = ParseCommandLine(options, arguments);
  if (!line.options_) return line.status_;
  const auto target = ReadOperatorOptions(*line.options_);
  if (!target) return ExitStatus::kWrongUsage;
  return CallAndPrint(*target, "GET", "/v1/dump", "");
}

ExitStatus RunVersion(const Arguments& arguments) {
  cxxopts::Options options("quetzalline version", "Prints the version.");
  const ParsedCommandLine line = ParseCommandLine(options, arguments);
  if (!line.options_) return line.status_;
  std::cout << "quetzalline " << QUETZALLINE_VERSION << "\n";
  return ExitStatus::kDone;
}

}  // namespace quetzalline
