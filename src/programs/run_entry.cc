#include <iostream>

#include "adapters/socket_address.h"
#include "core/overloaded.h"
#include "programs/command_line.h"
#include "programs/entry_process.h"
#include "programs/process_identity.h"
#include "programs/run_until_stopped.h"
#include "programs/settings.h"
#include "programs/subcommand.h"

namespace quetzalline {
namespace {

StoreAdapter MakeStore(boost::asio::io_context& io,
                       const StoreSettings& settings) {
  return std::visit(
      Overloaded{[&](const NoStore&) {
                   return StoreAdapter(
                       LocalStore(std::make_shared<SharedStore>(io)));
                 },
                 [&](const ConsulSettings& consul) {
                   return StoreAdapter(
                       ConsulStore(io, *ParseSocketAddress(consul.address())));
                 }},
      settings);
}

EntrySettings WithIncarnation(const EntrySettings& settings) {
  return EntrySettings::Builder(settings)
      .policy(EntryPolicy::Builder(settings.policy())
                  .incarnation(GenerateIncarnation())
                  .Build())
      .Build();
}

}  // namespace

ExitStatus RunEntry(const Arguments& arguments) {
  cxxopts::Options options("quetzalline entry", "Runs an entry.");
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
      ReadEntrySettings((*line.options_)["settings"].as<std::string>(), errors);
  for (const FileError& error : errors) std::cerr << FormatError(error) << "\n";
  if (!settings) return ExitStatus::kWrongUsage;
  boost::asio::io_context io(1);
  EntryProcess process(io, WithIncarnation(*settings),
                       MakeStore(io, settings->store()), GenerateSeed());
  process.SetOnFinished([&] { io.stop(); });
  if (!process.Start()) return ExitStatus::kRefused;
  RunUntilStopped(io, [&] { process.Stop(); });
  return ExitStatus::kDone;
}

}  // namespace quetzalline
