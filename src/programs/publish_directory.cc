#include "programs/publish_directory.h"

#include <map>

#include "core/overloaded.h"
#include "core/reflect.h"
#include "messages/command_result.h"
#include "programs/process_identity.h"
#include "programs/status_text.h"
#include "wire/json_encoding.h"

namespace quetzalline {
namespace {

using Revisions = std::map<ServiceName, std::int64_t>;

std::string DescribeResult(const CommandResult& result, bool& is_published) {
  is_published = std::holds_alternative<Published>(result);
  const auto other = [](const auto&) -> std::string {
    return "not published: unexpected response";
  };
  return std::visit(
      Overloaded{[](const Published& published) {
                   return "published at revision " +
                          std::to_string(published.revision());
                 },
                 [](const PublishConflict& conflict) {
                   const PublishedService& winner = conflict.winner();
                   return "not published: revision " +
                          std::to_string(winner.revision()) + " by " +
                          winner.author() + " was published first: " +
                          boost::json::serialize(
                              JsonEncoder::Encode(winner.file()));
                 },
                 [](const CommandRefused& refused) {
                   return "not published: " + ToString(refused.reason()) + " " +
                          refused.detail();
                 },
                 [](const CommandUnknown&) -> std::string {
                   return "unknown: the store did not respond; publish again";
                 },
                 [&](const JobAccepted& r) { return other(r); },
                 [&](const JobCancelled& r) { return other(r); },
                 [&](const DrainAccepted& r) { return other(r); },
                 [&](const StatusReport& r) { return other(r); }},
      result);
}

PublishResult PublishFile(const LoadedServiceFile& source,
                          const Revisions& revisions,
                          const OperatorTarget& target,
                          const std::string& author) {
  PublishResult result{source.path_, source.file_.name().value(), false, ""};
  const auto seen = revisions.find(source.file_.name());
  const std::int64_t expected = seen == revisions.end() ? 0 : seen->second;
  const std::string path = "/v1/services/" + source.file_.name().value() +
                           "?author=" + author +
                           "&publication=" + std::to_string(GenerateSeed()) +
                           "&expected=" + std::to_string(expected);
  const OperatorApiResult answer = CallOperatorApi(
      target, "PUT", path,
      boost::json::serialize(JsonEncoder::Encode(source.file_)));
  if (!answer.response_) {
    result.detail_ = "unknown: " + answer.error_;
    return result;
  }
  const std::string& body = answer.response_->body().bytes();
  JsonDecoder decoder;
  const auto decoded = decoder.DecodeText<CommandResult>(body);
  result.detail_ = decoded ? DescribeResult(*decoded, result.published_)
                           : "not published: " + body;
  return result;
}

}  // namespace

std::vector<PublishResult> PublishFiles(
    const std::vector<LoadedServiceFile>& files, const OperatorTarget& target,
    const std::string& author) {
  Revisions revisions;
  const StatusResult status = FetchStatusReport(target);
  if (status.report_) {
    for (const ServiceStatus& row : status.report_->services()) {
      revisions[row.service()] = row.revision();
    }
  }
  std::vector<PublishResult> results;
  bool failed = false;
  for (const LoadedServiceFile& source : files) {
    if (failed) {
      results.push_back({source.path_, source.file_.name().value(), false,
                         "skipped because an earlier file was not published"});
      continue;
    }
    results.push_back(PublishFile(source, revisions, target, author));
    failed = !results.back().published_;
  }
  return results;
}

}  // namespace quetzalline
