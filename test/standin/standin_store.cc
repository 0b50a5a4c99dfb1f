#include "standin/standin_store.h"

#include <algorithm>
#include <cstdlib>

#include "adapters/consul_codec.h"
#include "adapters/problem_json.h"
#include "wire/json_encoding.h"

namespace quetzalline {
namespace {

const char kKeyPath[] = "/v1/kv/";

// Returns the number in a query parameter, or zero if it is absent.
std::int64_t QueryNumber(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  if (at == std::string::npos) return 0;
  return std::strtoll(target.c_str() + at + name.size() + 1, nullptr, 10);
}

HttpResponse ValuesResponse(std::int64_t index,
                            const std::vector<StoredValue>& values) {
  // The protocol never reports an index of zero.
  const std::int64_t reported_index = std::max<std::int64_t>(index, 1);
  return HttpResponse::Builder()
      .status(values.empty() ? 404 : 200)
      .headers({Header::Builder()
                    .name("X-Consul-Index")
                    .value(std::to_string(reported_index))
                    .Build()})
      .body(Body(EncodeConsulValues(values)))
      .Build();
}

}  // namespace

StandinStore::StandinStore(boost::asio::io_context& io)
    : store_(io),
      server_(
          io, HttpLimits(),
          [this](const HttpExchange& exchange) { HandleRequest(exchange); },
          [] {}) {}

void StandinStore::HandleRequest(const HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.target() == "/faults") return HandleFaults(exchange);
  if (request.target() == "/v1/txn") return HandleWrite(exchange);
  if (request.target().starts_with(kKeyPath)) return HandleRead(exchange);
  exchange.Respond(ProblemResponse(404, "no such resource"));
}

void StandinStore::HandleWrite(const HttpExchange& exchange) {
  const auto write = ParseConsulTransaction(exchange.request().body().bytes());
  if (!write)
    return exchange.Respond(ProblemResponse(400, "malformed transaction"));
  const auto written = [exchange,
                        key = write->key_](std::optional<std::int64_t> index) {
    if (!index) return exchange.Respond(ProblemResponse(409, "conflict"));
    exchange.Respond(HttpResponse::Builder()
                         .status(200)
                         .body(Body(EncodeConsulTransactionAnswer(key, *index)))
                         .Build());
  };
  store_.Write(write->key_, write->value_, write->expected_, written,
               [exchange] {
                 exchange.Respond(ProblemResponse(500, "store unavailable"));
               });
}

void StandinStore::HandleRead(const HttpExchange& exchange) {
  const std::string& target = exchange.request().target();
  const std::string path = target.substr(0, target.find('?'));
  const std::string prefix = path.substr(sizeof(kKeyPath) - 1);
  const std::int64_t after = QueryNumber(target, "index");
  const auto values = [exchange](std::int64_t index,
                                 const std::vector<StoredValue>& found) {
    exchange.Respond(ValuesResponse(index, found));
  };
  const auto failed = [exchange] {
    exchange.Respond(ProblemResponse(500, "store unavailable"));
  };
  if (after > 0) return store_.Watch(prefix, after, values, failed);
  store_.Read(prefix, values, failed);
}

void StandinStore::HandleFaults(const HttpExchange& exchange) {
  JsonDecoder decoder;
  const auto faults =
      decoder.DecodeText<StoreFaults>(exchange.request().body().bytes());
  if (!faults) {
    return exchange.Respond(ProblemResponse(400, decoder.last_reason()));
  }
  store_.SetFaults(*faults);
  exchange.Respond(HttpResponse::Builder().status(200).Build());
}

}  // namespace quetzalline
