#include <boost/test/unit_test.hpp>

#include "adapters/consul_codec.h"

namespace quetzalline {

BOOST_AUTO_TEST_SUITE(store_protocol)

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
