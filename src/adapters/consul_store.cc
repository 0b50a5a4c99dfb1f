#include "adapters/consul_store.h"

#include <boost/asio/steady_timer.hpp>

#include "adapters/consul_codec.h"
#include "adapters/store_items.h"
#include "core/overloaded.h"
#include "wire/record_codec.h"

namespace quetzalline {
namespace {

constexpr std::chrono::seconds kCallTimeout{2};
// Time that the service may hold a blocking query open.
constexpr std::chrono::seconds kBlockingQueryWait{55};
// Longer than kBlockingQueryWait, so that an unchanged query gets its response.
constexpr std::chrono::seconds kBlockingQueryTimeout{60};
constexpr int kBadRequestStatus = 400;
constexpr int kConflictStatus = 409;
constexpr int kTooLargeStatus = 413;
constexpr int kNotFoundStatus = 404;
constexpr int kOkStatus = 200;

HttpRequest MakeRequest(const std::string& method, const std::string& target,
                        std::string body) {
  return HttpRequest::Builder()
      .method(method)
      .target(target)
      .headers({Header::Builder().name("Host").value("store").Build()})
      .body(Body(std::move(body)))
      .Build();
}

// Returns the response if it was received completely, or null.
const HttpResponse* ResponseOf(const CallResult& result) {
  const auto* completed = std::get_if<CallCompleted>(&result);
  return completed == nullptr ? nullptr : &*completed->response();
}

// Status 404 means that no key has the prefix.
std::optional<StoreResult> ParseReadResponse(const HttpResponse& response) {
  const std::optional<std::int64_t> index = ParseConsulIndex(response);
  if (!index) return std::nullopt;
  StoreValues::Builder builder;
  builder.index(*index);
  if (response.status() == kNotFoundStatus) return builder.Build();
  if (response.status() != kOkStatus) return std::nullopt;
  const auto values = ParseConsulValues(response.body().bytes());
  if (!values) return std::nullopt;
  return builder.items(ToStoreItems(*values)).Build();
}

StoreResult ParseWriteResponse(const HttpResponse& response) {
  if (response.status() == kConflictStatus) return StoreConflict();
  const auto index = ParseConsulWrittenIndex(response.body().bytes());
  if (response.status() == kOkStatus && index) {
    return StoreWritten::Builder().index(*index).Build();
  }
  const bool rejected = response.status() == kBadRequestStatus ||
                        response.status() == kTooLargeStatus;
  return StoreFailed::Builder()
      .reason(rejected ? Reason::kRecordRejected : Reason::kStoreFailed)
      .Build();
}

}  // namespace

ConsulStore::ConsulStore(boost::asio::io_context& io,
                         const boost::asio::ip::tcp::endpoint& service)
    : io_(io), client_(std::make_unique<HttpClient>(io, service)) {}

void ConsulStore::Answer(std::uint64_t ticket, const StoreResult& result) {
  on_answer_(StoreAnswer::Builder().ticket(ticket).result(result).Build());
}

void ConsulStore::Fail(std::uint64_t ticket) {
  Answer(ticket, StoreFailed::Builder().reason(Reason::kStoreFailed).Build());
}

// The call ends when the response arrives or the timeout expires, whichever is
// first.
void ConsulStore::Call(const HttpRequest& request, std::chrono::seconds timeout,
                       HttpClient::OnEnd on_end) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, timeout);
  const std::uint64_t call =
      client_->Call(request, [timer, on_end](const CallResult& result) {
        timer->cancel();
        on_end(result);
      });
  timer->async_wait(
      [this, timer, call, on_end](const boost::system::error_code& error) {
        if (error) return;
        client_->Abandon(call);
        on_end(CallBroken::Builder().reason(Reason::kStoreFailed).Build());
      });
}

void ConsulStore::Query(std::uint64_t ticket, const std::string& target,
                        std::chrono::seconds timeout, const StoreWatch* watch) {
  const std::optional<StoreWatch> repeated_watch =
      watch == nullptr ? std::nullopt : std::optional(*watch);
  Call(MakeRequest("GET", target, ""), timeout,
       [this, ticket, repeated_watch](const CallResult& result) {
         const HttpResponse* response = ResponseOf(result);
         const auto values =
             response == nullptr ? std::nullopt : ParseReadResponse(*response);
         if (!values) return Fail(ticket);
         // The service also ends a blocking query without a change when its
         // wait time expires.
         const bool unchanged =
             repeated_watch &&
             std::get<StoreValues>(*values).index() <= repeated_watch->after();
         if (unchanged) return Perform(*repeated_watch);
         Answer(ticket, *values);
       });
}

void ConsulStore::Perform(const StoreRead& read) {
  Query(read.ticket(), "/v1/kv/" + read.prefix() + "?recurse=true",
        kCallTimeout, nullptr);
}

void ConsulStore::Perform(const StoreWatch& watch) {
  const std::string target =
      "/v1/kv/" + watch.prefix() +
      "?recurse=true&index=" + std::to_string(watch.after()) +
      "&wait=" + std::to_string(kBlockingQueryWait.count()) + "s";
  Query(watch.ticket(), target, kBlockingQueryTimeout, &watch);
}

void ConsulStore::Perform(const StoreWrite& write) {
  const std::string body = EncodeConsulTransaction(
      write.key(), EncodeRecord(*write.record()), write.expected());
  const std::uint64_t ticket = write.ticket();
  Call(MakeRequest("PUT", "/v1/txn", body), kCallTimeout,
       [this, ticket](const CallResult& result) {
         const HttpResponse* response = ResponseOf(result);
         if (response == nullptr) return Fail(ticket);
         Answer(ticket, ParseWriteResponse(*response));
       });
}

}  // namespace quetzalline
