#include "programs/status_text.h"

#include <iomanip>
#include <sstream>

#include "core/reflect.h"
#include "messages/command_result.h"
#include "wire/json_encoding.h"

namespace quetzalline {
namespace {

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

void AppendEndpoint(const EndpointStatus& row, std::int64_t in_force,
                    std::ostream& out) {
  const std::string state =
      row.reachable() ? ToString(row.state()) : "unreachable";
  out << "  " << std::left << std::setw(16) << row.endpoint().value()
      << std::setw(14) << row.zone().value() << std::setw(12) << state
      << "running " << row.load().running() << "/" << row.load().limit()
      << ", queued " << row.load().queued() << ", service time "
      << Milliseconds(row.load().service_time()) << " ms, tasks "
      << row.tasks();
  if (row.configuration() < in_force) {
    out << ", lags at revision " << row.configuration();
  }
  out << "\n";
}

void AppendJob(const JobStatus& row, std::ostream& out) {
  out << "  " << std::left << std::setw(24) << row.task() << std::setw(12)
      << row.state() << row.service().value() << ", attempts "
      << row.attempts();
  if (!row.endpoint().empty()) out << ", on " << row.endpoint();
  if (row.reason() != Reason::kNone) {
    out << ", last reason " << ToString(row.reason());
  }
  out << "\n";
}

}  // namespace

StatusResult FetchStatusReport(const OperatorTarget& target) {
  const OperatorApiResult answer =
      CallOperatorApi(target, "GET", "/v1/status", "");
  if (!answer.response_) return {std::nullopt, answer.error_};
  JsonDecoder decoder;
  const std::optional<CommandResult> result =
      decoder.DecodeText<CommandResult>(answer.response_->body().bytes());
  if (!result) return {std::nullopt, decoder.last_reason()};
  const auto* report = std::get_if<StatusReport>(&*result);
  if (report == nullptr) return {std::nullopt, "response is no status report"};
  return {*report, ""};
}

std::string StatusText(const StatusReport& report) {
  std::ostringstream out;
  out << "entry " << report.entry().value() << ", configuration "
      << report.configuration() << ", cell held by "
      << (report.holder().empty() ? "nobody" : report.holder().value());
  if (report.epoch() > 0) {
    out << " (this entry, epoch " << report.epoch() << ")";
  }
  out << "\nservices in force:\n";
  for (const ServiceStatus& row : report.services()) {
    out << "  " << std::left << std::setw(16) << row.service().value()
        << "revision " << row.revision() << " by " << row.author() << "\n";
  }
  out << "endpoints:\n";
  for (const EndpointStatus& row : report.endpoints()) {
    AppendEndpoint(row, report.configuration(), out);
  }
  out << "tasks:\n";
  for (const JobStatus& row : report.jobs()) AppendJob(row, out);
  return out.str();
}

}  // namespace quetzalline
