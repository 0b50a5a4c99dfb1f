#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

#include "adapters/consul_codec.h"
#include "adapters/consul_store.h"
#include "adapters/http_server.h"

namespace quetzalline {
namespace {

// Returns the result of a write that the store answers with a status.
StoreResult WriteResult(std::int32_t status) {
  boost::asio::io_context io{1};
  HttpServer server(
      io, HttpLimits(),
      [status](const HttpExchange& exchange) {
        exchange.Respond(HttpResponse::Builder().status(status).Build());
      },
      [] {});
  const auto loopback = boost::asio::ip::make_address("127.0.0.1");
  BOOST_REQUIRE(server.Listen({loopback, 0}));
  ConsulStore store(io, {loopback, server.port()});
  std::optional<StoreResult> result;
  store.SetOnAnswer([&](const StoreAnswer& answer) {
    result = answer.result();
    io.stop();
  });
  store.Perform(StoreWrite::Builder()
                    .key("k")
                    .record(StoreRecord(JournalEntry()))
                    .Build());
  io.run_for(std::chrono::seconds(5));
  BOOST_REQUIRE(result);
  return *result;
}

StoreResult FailedFor(Reason reason) {
  return StoreFailed::Builder().reason(reason).Build();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(store_protocol)

// A write that is refused for its content must not be taken for one with an
// unknown outcome, which is repeated.
BOOST_AUTO_TEST_CASE(a_refused_content_is_told_from_an_unknown_outcome) {
  for (const std::int32_t status : {400, 413}) {
    BOOST_TEST((WriteResult(status) == FailedFor(Reason::kRecordRejected)));
  }
  for (const std::int32_t status : {429, 500, 503}) {
    BOOST_TEST((WriteResult(status) == FailedFor(Reason::kStoreFailed)));
  }
  BOOST_TEST((WriteResult(409) == StoreResult(StoreConflict())));
}

BOOST_AUTO_TEST_CASE(a_transaction_survives_encoding) {
  const std::string value("\0any bytes\xff", 11);
  const auto write =
      ParseConsulTransaction(EncodeConsulTransaction("k/a", value, 7));
  BOOST_REQUIRE(write);
  BOOST_TEST(write->key_ == "k/a");
  BOOST_TEST((write->value_ == value));
  BOOST_TEST(write->expected_ == 7);
  BOOST_TEST(
      *ParseConsulWrittenIndex(EncodeConsulTransactionAnswer("k/a", 9)) == 9);
}

BOOST_AUTO_TEST_CASE(values_survive_encoding) {
  const std::vector<StoredValue> values{
      StoredValue::Builder().key("a").value("1").index(3).Build(),
      StoredValue::Builder().key("b").value("").index(4).Build()};
  BOOST_TEST((*ParseConsulValues(EncodeConsulValues(values)) == values));
}

BOOST_AUTO_TEST_CASE(malformed_responses_are_rejected) {
  BOOST_TEST(!ParseConsulWrittenIndex("true"));
  BOOST_TEST(!ParseConsulWrittenIndex(R"({"Results":[]})"));
  BOOST_TEST(!ParseConsulWrittenIndex(R"({"Results":[{"KV":{"Key":"a"}}]})"));
  BOOST_TEST(!ParseConsulValues("{}"));
  BOOST_TEST(!ParseConsulValues("[1]"));
  BOOST_TEST(!ParseConsulTransaction("[]"));
  BOOST_TEST(!ParseConsulIndex(HttpResponse()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
