#include "adapters/operator_command_codec.h"

#include <map>
#include <vector>

#include "adapters/problem_json.h"
#include "core/overloaded.h"
#include "wire/json_encoding.h"

namespace quetzalline {
namespace {

struct Target {
  std::vector<std::string> path_;
  std::map<std::string, std::string> query_;
};

// Splits a text at each separator and omits empty parts.
std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start <= text.size()) {
    const std::size_t end = std::min(text.find(separator, start), text.size());
    if (end > start) parts.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

Target ParseTarget(const std::string& target) {
  const std::size_t query_start = std::min(target.find('?'), target.size());
  Target parsed;
  parsed.path_ = Split(target.substr(0, query_start), '/');
  if (query_start == target.size()) return parsed;
  for (const std::string& pair : Split(target.substr(query_start + 1), '&')) {
    const std::size_t equals = std::min(pair.find('='), pair.size());
    const std::size_t value = std::min(equals + 1, pair.size());
    parsed.query_[pair.substr(0, equals)] = pair.substr(value);
  }
  return parsed;
}

ParsedCommand Fail(int status, std::string reason) {
  return {std::nullopt, status, std::move(reason)};
}

ParsedCommand ParsePublication(const Target& target, const std::string& body) {
  JsonDecoder decoder;
  const std::optional<ServiceFile> file = decoder.DecodeText<ServiceFile>(body);
  if (!file) return Fail(400, decoder.last_reason());
  if (file->name().value() != target.path_[2]) {
    return Fail(
        400, "the service name in the file differs from the name in the path");
  }
  PublishService::Builder publish;
  publish.file(*file);
  for (const auto& [key, value] : target.query_) {
    if (key == "author") {
      publish.author(value);
    } else if (key == "publication") {
      publish.publication(value);
    } else if (key == "expected") {
      publish.expected(std::strtoll(value.c_str(), nullptr, 10));
    } else {
      return Fail(400, "unknown query parameter " + key);
    }
  }
  return {publish.Build(), 200, ""};
}

ParsedCommand ParseJob(const std::string& method, const Target& target,
                       const std::string& body) {
  const JobId job(target.path_[2]);
  if (method == "DELETE") {
    return {CancelJob::Builder().job(job).Build(), 200, ""};
  }
  JsonDecoder decoder;
  const std::optional<SubmitJob> submit = decoder.DecodeText<SubmitJob>(body);
  if (!submit) return Fail(400, decoder.last_reason());
  return {SubmitJob::Builder(*submit).job(job).Build(), 200, ""};
}

ParsedCommand ParseDrain(const std::string& method, const Target& target) {
  return {DrainCommand::Builder()
              .endpoint(EndpointId(target.path_[2]))
              .undo(method == "DELETE")
              .Build(),
          200, ""};
}

// Returns true for /v1/<collection>/... with this number of path segments.
bool Matches(const Target& target, std::string_view collection,
             std::size_t length) {
  return target.path_.size() == length && target.path_[0] == "v1" &&
         target.path_[1] == collection;
}

HttpResponse JsonResponse(int status, const boost::json::value& value) {
  return HttpResponse::Builder()
      .status(status)
      .headers({Header::Builder()
                    .name("Content-Type")
                    .value("application/json")
                    .Build()})
      .body(Body(boost::json::serialize(value) + "\n"))
      .Build();
}

int RefusalStatus(Reason reason) {
  if (reason == Reason::kNotHolder) return 421;
  if (reason == Reason::kUnknownJob || reason == Reason::kUnknownEndpoint ||
      reason == Reason::kUnknownService) {
    return 404;
  }
  if (reason == Reason::kTableFull) return 503;
  return 409;
}

}  // namespace

ParsedCommand ParseCommand(const std::string& method, const std::string& target,
                           const std::string& body) {
  const Target parsed = ParseTarget(target);
  if (Matches(parsed, "status", 2)) {
    if (method == "GET") return {ReadStatus(), 200, ""};
    return Fail(405, "method not allowed: only GET is supported");
  }
  if (Matches(parsed, "services", 3)) {
    if (method == "PUT") return ParsePublication(parsed, body);
    return Fail(405, "method not allowed: only PUT is supported");
  }
  if (Matches(parsed, "jobs", 3)) {
    if (method == "PUT" || method == "DELETE") {
      return ParseJob(method, parsed, body);
    }
    return Fail(405, "method not allowed: only PUT and DELETE are supported");
  }
  const bool is_drain =
      Matches(parsed, "endpoints", 4) && parsed.path_[3] == "drain";
  if (is_drain) {
    if (method == "PUT" || method == "DELETE") {
      return ParseDrain(method, parsed);
    }
    return Fail(405, "method not allowed: only PUT and DELETE are supported");
  }
  return Fail(404, "the resource does not exist");
}

HttpResponse ToResponse(const CommandResult& result) {
  const boost::json::value body = JsonEncoder::Encode(result);
  return std::visit(
      Overloaded{
          [&](const Published&) { return JsonResponse(200, body); },
          [&](const PublishConflict&) { return JsonResponse(409, body); },
          [&](const JobAccepted&) { return JsonResponse(200, body); },
          [&](const JobCancelled&) { return JsonResponse(200, body); },
          [&](const DrainAccepted&) { return JsonResponse(202, body); },
          [&](const CommandRefused& refused) {
            return JsonResponse(RefusalStatus(refused.reason()), body);
          },
          [&](const CommandUnknown&) { return JsonResponse(504, body); },
          [&](const StatusReport&) { return JsonResponse(200, body); }},
      result);
}

}  // namespace quetzalline
