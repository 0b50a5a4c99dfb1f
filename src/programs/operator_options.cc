#include "programs/operator_options.h"

#include <fstream>
#include <iostream>

namespace quetzalline {
void AddOperatorOptions(cxxopts::Options& options) {
  options.add_options()(
      "url", "operators' API of any entry, as http://ADDRESS:PORT",
      cxxopts::value<std::string>()->default_value("http://127.0.0.1:8081"))(
      "token-file", "file whose first line is the bearer token",
      cxxopts::value<std::string>());
}

std::optional<OperatorTarget> ReadOperatorOptions(
    const cxxopts::ParseResult& parsed) {
  OperatorTarget target{parsed["url"].as<std::string>(), ""};
  if (parsed.count("token-file") == 0) return target;
  const auto path = parsed["token-file"].as<std::string>();
  std::ifstream in(path);
  std::getline(in, target.token_);
  if (!target.token_.empty()) return target;
  std::cerr << path
            << ": cannot be read or its first line is empty; write the "
               "bearer token to it or correct --token-file\n";
  return std::nullopt;
}

}  // namespace quetzalline
