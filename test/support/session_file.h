#ifndef QUETZALLINE_TEST_SUPPORT_SESSION_FILE_H_
#define QUETZALLINE_TEST_SUPPORT_SESSION_FILE_H_

#include <string>

namespace quetzalline {

/// Runs a recorded session in virtual time. The first line of input.jsonl in
/// the folder holds the kind, policy and seed of the node; the others hold
/// inputs with their times. Returns the time of each tick that had effects,
/// followed by one line per effect. Aborts if the input is malformed.
std::string RunSessionFile(const std::string& folder);

/// Returns the text of a file, or an empty string if it does not exist.
std::string ReadText(const std::string& path);
void WriteText(const std::string& path, const std::string& text);

}  // namespace quetzalline

#endif  // QUETZALLINE_TEST_SUPPORT_SESSION_FILE_H_
