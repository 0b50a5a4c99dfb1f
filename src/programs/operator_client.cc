#include "programs/operator_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "adapters/http_client.h"
#include "adapters/socket_address.h"

namespace quetzalline {
namespace {

constexpr std::chrono::seconds kTimeout{30};
constexpr int kMisdirectedStatus = 421;
constexpr std::string_view kScheme = "http://";

HttpRequest MakeRequest(const OperatorTarget& target, const std::string& method,
                        const std::string& path, const std::string& body) {
  std::vector<Header> headers{
      Header::Builder().name("Host").value("operators").Build()};
  if (!target.token_.empty()) {
    headers.push_back(Header::Builder()
                          .name("Authorization")
                          .value("Bearer " + target.token_)
                          .Build());
  }
  return HttpRequest::Builder()
      .method(method)
      .target(path)
      .headers(std::move(headers))
      .body(Body(body))
      .Build();
}

OperatorApiResult CallOnce(const OperatorTarget& target,
                           const HttpRequest& request) {
  const bool has_scheme = target.url_.starts_with(kScheme);
  const auto address = ParseSocketAddress(
      has_scheme ? target.url_.substr(kScheme.size()) : target.url_);
  if (!address) return {std::nullopt, "invalid URL: " + target.url_};
  boost::asio::io_context io;
  HttpClient client(io, *address);
  OperatorApiResult answer{
      std::nullopt,
      "no response; check the URL and that a process listens at " +
          target.url_};
  client.Call(request, [&](const CallResult& result) {
    const auto* done = std::get_if<CallCompleted>(&result);
    if (done != nullptr) answer.response_ = *done->response();
    io.stop();
  });
  io.run_for(kTimeout);
  return answer;
}

// Returns the holder's address from the body of a 421 response, or an empty
// string if the body does not contain it.
std::string HolderAddress(const HttpResponse& response) {
  boost::json::error_code error;
  const boost::json::value body =
      boost::json::parse(response.body().bytes(), error);
  if (error || !body.is_object()) return {};
  const boost::json::value* refused =
      body.get_object().if_contains("command-refused");
  if (refused == nullptr || !refused->is_object()) return {};
  const boost::json::value* detail =
      refused->get_object().if_contains("detail");
  if (detail == nullptr || !detail->is_string()) return {};
  return std::string(detail->get_string());
}

}  // namespace

OperatorApiResult CallOperatorApi(const OperatorTarget& target,
                                  const std::string& method,
                                  const std::string& path,
                                  const std::string& body) {
  const OperatorApiResult answer =
      CallOnce(target, MakeRequest(target, method, path, body));
  if (!answer.response_ || answer.response_->status() != kMisdirectedStatus) {
    return answer;
  }
  const std::string holder = HolderAddress(*answer.response_);
  if (holder.empty()) return answer;
  const OperatorTarget redirected{holder, target.token_};
  return CallOnce(redirected, MakeRequest(redirected, method, path, body));
}

OperatorApiResult SendCallerRequest(const OperatorTarget& target,
                                    const std::string& path,
                                    const std::string& key) {
  const HttpRequest request = MakeRequest(target, "POST", path, "");
  std::vector<Header> headers = request.headers();
  headers.push_back(
      Header::Builder().name("Idempotency-Key").value(key).Build());
  return CallOnce(target,
                  HttpRequest::Builder(request).headers(headers).Build());
}

}  // namespace quetzalline
