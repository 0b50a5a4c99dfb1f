#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <set>
#include <string>

#include "support/session_file.h"

namespace quetzalline {
namespace {

std::set<std::string> SessionFolders() {
  std::set<std::string> folders;
  const std::filesystem::path root =
      std::filesystem::path(QUETZALLINE_TEST_DIR) / "sessions";
  for (const auto& entry : std::filesystem::directory_iterator(root)) {
    if (entry.is_directory()) folders.insert(entry.path().string());
  }
  return folders;
}

// Returns true if the expected files are to be rewritten. The variable is set
// by scripts/renew-sessions; the difference is reviewed before it is committed.
bool ShouldUpdateExpectedFiles() {
  return std::getenv("QUETZALLINE_RENEW") != nullptr;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(sessions)

BOOST_AUTO_TEST_CASE(every_session_has_the_expected_effects) {
  const std::set<std::string> folders = SessionFolders();
  BOOST_TEST(!folders.empty());
  for (const std::string& folder : folders) {
    BOOST_TEST_CONTEXT(folder) {
      const std::string actual = RunSessionFile(folder);
      const std::string path = folder + "/expected.txt";
      if (ShouldUpdateExpectedFiles()) WriteText(path, actual);
      BOOST_TEST(actual == ReadText(path));
      BOOST_TEST(!actual.empty());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
