#ifndef QUETZALLINE_ADAPTERS_JSON_LOG_H_
#define QUETZALLINE_ADAPTERS_JSON_LOG_H_

#include <cstdint>
#include <string>

#include "messages/log_decision.h"

namespace quetzalline {

/// Writes the log as JSON lines to a file descriptor and never waits for its
/// reader: lines that a full pipe does not take are dropped and counted, and
/// the count is written once there is room again. glog, which the rest of the
/// program uses, writes in the caller's thread and waits.
class JsonLog {
 public:
  JsonLog(int descriptor, std::string process);

  void Write(const LogDecision& decision);
  /// Hands what was written to the descriptor, as far as it takes it at once.
  void Flush();

  std::int64_t dropped() const { return dropped_; }
  std::int64_t lines() const { return lines_; }

 private:
  void Append(const LogDecision& decision);

  int descriptor_;
  std::string process_;
  std::string buffer_;
  std::int64_t dropped_ = 0;
  std::int64_t dropped_untold_ = 0;
  std::int64_t lines_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_JSON_LOG_H_
