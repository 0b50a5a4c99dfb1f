#include <boost/asio/io_context.hpp>
#include <iostream>

#include "programs/command_line.h"
#include "programs/local_demo.h"
#include "programs/run_until_stopped.h"
#include "programs/subcommand.h"

namespace quetzalline {
namespace {

constexpr std::uint16_t kFirstPort = 18080;

void PrintUrls(const LocalSystem& system, const DemoPlan& plan) {
  std::cout << "\nThe system runs until interrupted. Try:\n  curl -i "
            << system.CallerUrl(0) << plan.quote_target_
            << "\n  curl -i -X POST"
            << " -H 'Idempotency-Key: k1' " << system.CallerUrl(1)
            << plan.reservation_target_ << "\n  curl " << system.OperatorUrl(0)
            << "/v1/status\n  curl " << system.OperatorUrl(0)
            << "/metrics\n  curl " << system.AgentUrl(0)
            << "/v1/dump\nThe operators' token is \"local\".\n"
            << std::flush;
}

ExitStatus RunUntilInterrupted(const LocalSystem& system,
                               const DemoPlan& plan) {
  PrintUrls(system, plan);
  boost::asio::io_context io;
  RunUntilStopped(io, [&] { io.stop(); });
  return ExitStatus::kDone;
}

}  // namespace

ExitStatus RunLocal(const Arguments& arguments) {
  cxxopts::Options options("quetzalline local",
                           "Runs a complete example system in one process.");
  options.add_options()(
      "example", "name of the example: chikushi or brunner",
      cxxopts::value<std::string>()->default_value("chikushi"))(
      "examples", "directory of the examples",
      cxxopts::value<std::string>()->default_value(QUETZALLINE_EXAMPLES))(
      "once", "exit after the demonstration")(
      "port", "first port of the listeners; 0 selects free ports",
      cxxopts::value<std::uint16_t>());
  const ParsedCommandLine line = ParseCommandLine(options, arguments);
  if (!line.options_) return line.status_;
  const cxxopts::ParseResult& parsed = *line.options_;
  const auto example = parsed["example"].as<std::string>();
  LocalLayout layout = ExampleLayout(example);
  if (layout.instances_.empty()) {
    std::cerr << "unknown example \"" << example << "\"; see --help\n";
    return ExitStatus::kWrongUsage;
  }
  const bool once = parsed.count("once") > 0;
  layout.first_port_ = once ? 0 : kFirstPort;
  if (parsed.count("port") > 0) {
    layout.first_port_ = parsed["port"].as<std::uint16_t>();
  }
  LocalSystem system(layout);
  if (!system.Start()) return ExitStatus::kRefused;
  const std::string directory =
      parsed["examples"].as<std::string>() + "/" + example;
  const bool passed = RunDemo(system, layout, directory, std::cout);
  if (!passed) return ExitStatus::kRefused;
  if (once) return ExitStatus::kDone;
  return RunUntilInterrupted(system, ExamplePlan(example));
}

}  // namespace quetzalline
