#ifndef QUETZALLINE_TEST_SUPPORT_SESSION_FILE_H_
#define QUETZALLINE_TEST_SUPPORT_SESSION_FILE_H_

#include <string>

namespace quetzalline {

/// Runs the session in a folder in virtual time: its input.jsonl holds the
/// node's policy and seed, then inputs with their times. What the node did, one
/// line for each tick that had effects.
std::string RunSessionFile(const std::string& folder);

/// The text of a file; empty where there is none.
std::string ReadText(const std::string& path);
void WriteText(const std::string& path, const std::string& text);

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_SESSION_FILE_H_
