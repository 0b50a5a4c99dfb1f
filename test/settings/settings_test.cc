#include "programs/settings.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <set>

#include "programs/service_files.h"
#include "support/session_file.h"

namespace quetzalline {
namespace {

// Returns the errors of one input file, one per line. The prefix of its name
// selects the reader: "entry-", "agent-" or "service-". The expected errors are
// in the file of the same name with extension .expected.
std::string ErrorsOf(const std::filesystem::path& path) {
  std::vector<FileError> errors;
  const std::string name = path.filename().string();
  if (name.starts_with("entry-")) {
    ReadEntrySettings(path.string(), errors);
  } else if (name.starts_with("agent-")) {
    ReadAgentSettings(path.string(), errors);
  } else {
    ReadServiceFile(path.string(), errors);
  }
  std::string text;
  for (FileError& error : errors) {
    error.file_ = name;
    text += FormatError(error) + "\n";
  }
  return text;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(each_error_names_file_line_key_and_remedy) {
  const std::filesystem::path folder =
      std::filesystem::path(QUETZALLINE_TEST_DIR) / "settings" / "faults";
  std::set<std::filesystem::path> inputs;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() == ".toml") inputs.insert(entry.path());
  }
  BOOST_TEST(inputs.size() >= 4U);
  for (const std::filesystem::path& input : inputs) {
    BOOST_TEST_CONTEXT(input) {
      std::filesystem::path expected = input;
      expected.replace_extension(".expected");
      const std::string actual = ErrorsOf(input);
      if (std::getenv("QUETZALLINE_RENEW") != nullptr) {
        WriteText(expected.string(), actual);
      }
      BOOST_TEST(actual == ReadText(expected.string()));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
