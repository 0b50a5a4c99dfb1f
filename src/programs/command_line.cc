#include "programs/command_line.h"

#include <iostream>

namespace quetzalline {
ParsedCommandLine ParseCommandLine(cxxopts::Options& options,
                                   const Arguments& arguments) {
  options.add_options()("h,help", "print this help");
  std::vector<const char*> words{options.program().c_str()};
  for (const std::string& argument : arguments) {
    words.push_back(argument.c_str());
  }
  try {
    cxxopts::ParseResult parsed =
        options.parse(static_cast<int>(words.size()), words.data());
    if (parsed.count("help") > 0) {
      std::cout << options.help() << "\n";
      return {std::nullopt, ExitStatus::kDone};
    }
    if (!parsed.unmatched().empty()) {
      std::cerr << "unexpected argument " << parsed.unmatched().front()
                << "; see --help\n";
      return {std::nullopt, ExitStatus::kWrongUsage};
    }
    return {std::move(parsed), ExitStatus::kDone};
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << "; see --help\n";
    return {std::nullopt, ExitStatus::kWrongUsage};
  }
}

}  // namespace quetzalline
