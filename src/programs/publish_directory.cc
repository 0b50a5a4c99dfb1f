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

std::string Describe(const CommandResult& result, bool& in_force) {
  in_force = std::holds_alternative<Published>(result);
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

PublishedFile PublishFile(const FoundServiceFile& found,
                          const Revisions& revisions,
                          const OperatorTarget& target,
                          const std::string& author) {
  PublishedFile published{found.path_, found.file_.name().value(), false, ""};
  const auto seen = revisions.find(found.file_.name());
  const std::int64_t expected = seen == revisions.end() ? 0 : seen->second;
  const std::string path = "/v1/services/" + found.file_.name().value() +
                           "?author=" + author +
                           "&publication=" + std::to_string(DrawSeed()) +
                           "&expected=" + std::to_string(expected);
  const OperatorAnswer answer =
      CallOperatorApi(target, "PUT", path,
                      boost::json::serialize(JsonEncoder::Encode(found.file_)));
  if (!answer.response_) {
    published.text_ = "unknown: " + answer.last_reason_;
    return published;
  }
  const std::string& body = answer.response_->body().bytes();
  JsonDecoder decoder;
  const auto result = decoder.DecodeText<CommandResult>(body);
  published.text_ = result ? Describe(*result, published.in_force_)
                           : "not published: " + body;
  return published;
}

}  // namespace

std::vector<PublishedFile> PublishFiles(
    const std::vector<FoundServiceFile>& files, const OperatorTarget& target,
    const std::string& author) {
  Revisions revisions;
  const ReadReport status = ReadStatusReport(target);
  if (status.report_) {
    for (const ServiceStatus& row : status.report_->services()) {
      revisions[row.service()] = row.revision();
    }
  }
  std::vector<PublishedFile> results;
  bool failed = false;
  for (const FoundServiceFile& found : files) {
    if (failed) {
      results.push_back({found.path_, found.file_.name().value(), false,
                         "skipped because an earlier file was not published"});
      continue;
    }
    results.push_back(PublishFile(found, revisions, target, author));
    failed = !results.back().in_force_;
  }
  return results;
}

}  // namespace quetzalline
