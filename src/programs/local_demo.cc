#include "programs/local_demo.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <iostream>

#include "programs/publish_directory.h"
#include "programs/status_text.h"

namespace quetzalline {
namespace {

constexpr std::chrono::milliseconds kPollInterval{50};
constexpr int kPolls = 400;

// Polls until the condition is true. Returns false after kPolls polls.
bool WaitUntil(const std::function<bool()>& condition) {
  boost::asio::io_context io;
  for (int i = 0; i < kPolls; ++i) {
    if (condition()) return true;
    boost::asio::steady_timer timer(io, kPollInterval);
    timer.wait();
  }
  return false;
}

class Demo {
 public:
  Demo(const LocalSystem& system, const LocalLayout& layout, std::ostream& out)
      : system_(system),
        layout_(layout),
        plan_(ExamplePlan(layout.example_)),
        out_(out),
        operators_{system.OperatorUrl(0), layout.token_} {}

  bool Run(const std::string& directory) {
    return Step("every endpoint is registered",
                [&] { return EndpointsRegistered(); }) &&
           Step("the service files are published",
                [&] { return Publish(directory); }) &&
           Step("every agent has applied them",
                [&] { return ConfigurationApplied(); }) &&
           Step("a quote is answered", [&] { return RequestQuote(); }) &&
           Step("a reservation that is sent twice runs once",
                [&] { return Reserve(); }) &&
           Step("a batch job finishes", [&] { return RunBatch(); }) &&
           Step("a watcher runs", [&] { return RunWatcher(); }) &&
           Step("an entry dumps its tables", [&] { return Dump(); });
  }

 private:
  bool Step(const std::string& name, const std::function<bool()>& step) {
    const bool passed = step();
    out_ << (passed ? "ok      " : "FAILED  ") << name << "\n";
    return passed;
  }

  std::optional<StatusReport> Status() const {
    return FetchStatusReport(operators_).report_;
  }

  bool EndpointsRegistered() const {
    return WaitUntil([&] {
      const auto status = Status();
      return status && !status->holder().empty() &&
             status->endpoints().size() == layout_.instances_.size();
    });
  }

  bool Publish(const std::string& directory) {
    std::vector<FileError> errors;
    const auto files = CollectServiceFiles(directory, errors);
    for (const FileError& error : errors) out_ << FormatError(error) << "\n";
    if (!errors.empty()) return false;
    bool all = true;
    for (const PublishResult& file :
         PublishFiles(files, operators_, layout_.example_)) {
      out_ << "        " << file.service_ << ": " << file.detail_ << "\n";
      all = all && file.published_;
    }
    return all;
  }

  bool ConfigurationApplied() const {
    return WaitUntil([&] {
      const auto status = Status();
      if (!status || status->configuration() == 0) return false;
      for (const EndpointStatus& row : status->endpoints()) {
        if (row.configuration() < status->configuration()) return false;
      }
      return true;
    });
  }

  OperatorApiResult Call(std::size_t entry, const std::string& method,
                         const std::string& target) const {
    return CallOperatorApi({system_.CallerUrl(entry), ""}, method, target, "");
  }

  bool RequestQuote() {
    const OperatorApiResult answer = Call(0, "GET", plan_.quote_target_);
    if (!answer.response_) return false;
    out_ << "        GET " << plan_.quote_target_ << " -> "
         << answer.response_->status() << " "
         << answer.response_->body().bytes();
    return answer.response_->status() == 200;
  }

  bool Reserve() {
    const std::string& target = plan_.reservation_target_;
    const OperatorApiResult first = CallWithKey(0, target);
    const OperatorApiResult second = CallWithKey(1, target);
    if (!first.response_ || !second.response_) return false;
    out_ << "        POST " << target << " -> "
         << first.response_->body().bytes()
         << "        repeated with the same key -> "
         << second.response_->body().bytes();
    return first.response_->status() == 200 &&
           first.response_->body() == second.response_->body();
  }

  OperatorApiResult CallWithKey(std::size_t entry, const std::string& target) {
    return SendCallerRequest({system_.CallerUrl(entry), ""}, target,
                             "tour-key");
  }

  std::string TaskState(const std::string& job) const {
    const auto status =
        FetchStatusReport({HolderUrl(), layout_.token_}).report_;
    if (!status) return "";
    for (const JobStatus& row : status->jobs()) {
      if (row.job().value() == job) return row.state();
    }
    return "";
  }

  std::string HolderUrl() const {
    const auto status = Status();
    if (!status || status->holder_address().empty()) return operators_.url_;
    return status->holder_address();
  }

  bool SubmitJob(const std::string& job, const std::string& task) const {
    const std::string body = R"({"service":")" + layout_.service_.value() +
                             R"(","task":")" + task + R"("})";
    const OperatorApiResult answer =
        CallOperatorApi(operators_, "PUT", "/v1/jobs/" + job, body);
    return answer.response_ && answer.response_->status() == 200;
  }

  bool RunBatch() const {
    return SubmitJob("tour-batch", plan_.batch_task_) &&
           WaitUntil([&] { return TaskState("tour-batch") == "finished"; });
  }

  bool RunWatcher() const {
    return SubmitJob("tour-watcher", plan_.watcher_task_) &&
           WaitUntil([&] { return TaskState("tour-watcher") == "running"; });
  }

  bool Dump() {
    const OperatorApiResult answer =
        CallOperatorApi(operators_, "GET", "/v1/dump", "");
    if (!answer.response_) return false;
    out_ << "        " << answer.response_->body().size()
         << " bytes of JSON from " << operators_.url_ << "/v1/dump\n";
    const auto status =
        FetchStatusReport({HolderUrl(), layout_.token_}).report_;
    if (status) out_ << StatusText(*status);
    return status && answer.response_->status() == 200;
  }

  const LocalSystem& system_;
  const LocalLayout& layout_;
  DemoPlan plan_;
  std::ostream& out_;
  OperatorTarget operators_;
};

}  // namespace

DemoPlan ExamplePlan(const std::string& example) {
  if (example == "brunner") {
    return {"/werkstatt/quotes/seal-profile-17", "/werkstatt/visits",
            "overnight-profile-matching", "warranty-pane-4711"};
  }
  return {"/listings/quotes/fryer-204", "/listings/reservations",
          "weekly-catalogue", "reserved-lot-31"};
}

bool RunDemo(const LocalSystem& system, const LocalLayout& layout,
             const std::string& directory, std::ostream& out) {
  return Demo(system, layout, out).Run(directory);
}

}  // namespace quetzalline
