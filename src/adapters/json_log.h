#ifndef QUETZALLINE_ADAPTERS_JSON_LOG_H_
#define QUETZALLINE_ADAPTERS_JSON_LOG_H_

#include <cstdint>
#include <string>

#include "messages/log_decision.h"

namespace quetzalline {

/// Writes log lines in JSON to a file descriptor without blocking. If the
/// reader is slow and the buffer is full, lines are dropped and counted, and
/// the count is logged when the buffer has free capacity again. glog, which the
/// rest of the program uses, blocks the calling thread while it writes.
class JsonLog {
 public:
  JsonLog(int descriptor, std::string process);

  /// Adds a line to the buffer.
  void Write(const LogDecision& decision);
  /// Writes as much of the buffer to the descriptor as it accepts without
  /// blocking.
  void Flush();

  /// Number of lines dropped since the start.
  std::int64_t dropped() const { return dropped_; }
  /// Number of lines added to the buffer since the start.
  std::int64_t lines() const { return lines_; }

 private:
  void Append(const LogDecision& decision);

  int descriptor_;
  std::string process_;
  std::string buffer_;
  std::int64_t dropped_ = 0;
  std::int64_t dropped_unreported_ = 0;
  std::int64_t lines_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_JSON_LOG_H_
