#include "adapters/json_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <utility>

#include "systems/cell/cell_keys.h"

namespace quetzalline {
namespace {

// A pipe that polls as writable accepts at least this many bytes without
// blocking (PIPE_BUF).
constexpr std::size_t kChunkBytes = 4096;
// Limit of the buffer for a slow reader; further lines are dropped.
constexpr std::size_t kMaxBufferedBytes = std::size_t{256} << 10;

std::int64_t UnixMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

bool IsReady(int descriptor) {
  pollfd ready{descriptor, POLLOUT, 0};
  return ::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
}

bool IsNumber(const std::string& text) {
  constexpr std::size_t kMaxDigits = 18;
  return !text.empty() && text.size() <= kMaxDigits &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= '0' && c <= '9'; });
}

}  // namespace

JsonLog::JsonLog(int descriptor, std::string process)
    : descriptor_(descriptor), process_(std::move(process)) {}

void JsonLog::Append(const LogDecision& decision) {
  boost::json::object line;
  line["time_ms"] = UnixMs();
  line["process"] = process_;
  line["event"] = decision.event();
  if (decision.job() != 0) line["job"] = FormatJobId(decision.job());
  for (const LogField& field : decision.fields()) {
    if (IsNumber(field.value())) {
      line[field.name()] = std::stoll(field.value());
    } else {
      line[field.name()] = field.value();
    }
  }
  buffer_ += boost::json::serialize(line);
  buffer_ += '\n';
  ++lines_;
}

void JsonLog::Write(const LogDecision& decision) {
  if (buffer_.size() > kMaxBufferedBytes) {
    ++dropped_;
    ++dropped_unreported_;
    return;
  }
  if (dropped_unreported_ > 0) {
    const std::string count =
        std::to_string(std::exchange(dropped_unreported_, 0));
    Append(LogDecision::Builder()
               .event("log-lines-dropped")
               .fields({LogField::Builder().name("lines").value(count).Build()})
               .Build());
  }
  Append(decision);
}

void JsonLog::Flush() {
  std::size_t written = 0;
  while (written < buffer_.size() && IsReady(descriptor_)) {
    const std::size_t size = std::min(kChunkBytes, buffer_.size() - written);
    const ssize_t accepted =
        ::write(descriptor_, buffer_.data() + written, size);
    if (accepted <= 0) break;
    written += static_cast<std::size_t>(accepted);
  }
  buffer_.erase(0, written);
}

}  // namespace quetzalline
