#include <iostream>

#include "adapters/socket_address.h"
#include "core/overloaded.h"
#include "programs/agent_process.h"
#include "programs/command_line.h"
#include "programs/process_identity.h"
#include "programs/run_until_stopped.h"
#include "programs/settings.h"
#include "programs/subcommand.h"

namespace quetzalline {
namespace {

WorkerAdapter MakeWorker(boost::asio::io_context& io,
                         const WorkerSettings& settings) {
  return std::visit(
      Overloaded{[](const NoWorker&) { return WorkerAdapter(NullWorker()); },
                 [&](const HttpWorkerSettings& http) {
                   return WorkerAdapter(
                       HttpWorker(io, *ParseSocketAddress(http.address())));
                 }},
      settings);
}

AgentSettings WithIncarnation(const AgentSettings& settings) {
  return AgentSettings::Builder(settings)
      .policy(AgentPolicy::Builder(settings.policy())
                  .incarnation(GenerateIncarnation())
                  .Build())
      .Build();
}

}  // namespace

ExitStatus RunAgent(const Arguments& arguments) {
  cxxopts::Options options("quetzalline agent",
                           "Runs the agent of an endpoint.");
  options.add_options()("settings", "settings file",
                        cxxopts::value<std::string>());
  options.parse_positional({"settings"});
  options.positional_help("SETTINGS");
  const ParsedCommandLine line = ParseCommandLine(options, arguments);
  if (!line.options_) return line.status_;
  if (line.options_->count("settings") == 0) {
    std::cerr << "missing argument SETTINGS; see --help\n";
    return ExitStatus::kWrongUsage;
  }
  std::vector<FileError> errors;
  const auto settings =
      ReadAgentSettings((*line.options_)["settings"].as<std::string>(), errors);
  for (const FileError& error : errors) std::cerr << FormatError(error) << "\n";
  if (!settings) return ExitStatus::kWrongUsage;
  boost::asio::io_context io(1);
  AgentProcess process(io, WithIncarnation(*settings),
                       MakeWorker(io, settings->worker()), GenerateSeed());
  process.SetOnFinished([&] { io.stop(); });
  if (!process.Start()) return ExitStatus::kRefused;
  RunUntilStopped(io, [&] { process.Stop(); });
  return ExitStatus::kDone;
}

}  // namespace quetzalline
