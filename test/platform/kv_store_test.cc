#include "kv_store.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "adapters/http_server.h"

namespace quetzalline {
namespace {

const boost::asio::ip::tcp::endpoint kAnyPort(
    boost::asio::ip::make_address("127.0.0.1"), 0);

// A store that answers each request with the next of the given bodies.
class ScriptedStore {
 public:
  explicit ScriptedStore(std::deque<std::string> bodies)
      : bodies_(std::move(bodies)),
        server_(
            io_, HttpLimits(),
            [this](const HttpExchange& exchange) { Answer(exchange); },
            [this] { ++malformed_; }) {
    BOOST_REQUIRE(server_.Listen(kAnyPort));
  }

  // Returns the items of a prefix; empty if the list failed.
  std::optional<KvsItems> List(const std::string& prefix) {
    std::optional<KvsResult> result;
    KvsStore store(io_, {kAnyPort.address(), server_.port()},
                   [&](const KvsAnswer& answer) { result = answer.result(); });
    store.Perform(KvsList::Builder().ticket(1).prefix(prefix).Build());
    while (!result) io_.run_one();
    const auto* items = std::get_if<KvsItems>(&*result);
    return items == nullptr ? std::nullopt : std::optional(*items);
  }

  // Returns the result of a commit that the store answers with this status.
  KvsResult Commit(int status) {
    status_ = status;
    std::optional<KvsResult> result;
    KvsStore store(io_, {kAnyPort.address(), server_.port()},
                   [&](const KvsAnswer& answer) { result = answer.result(); });
    store.Perform(KvsCommit::Builder().ticket(1).Build());
    while (!result) io_.run_one();
    return *result;
  }

  const std::vector<std::string>& targets() const { return targets_; }
  int malformed() const { return malformed_; }

 private:
  void Answer(const HttpExchange& exchange) {
    targets_.push_back(exchange.request().target());
    std::string body = "{}";
    if (!bodies_.empty()) {
      body = bodies_.front();
      bodies_.pop_front();
    }
    exchange.Respond(
        HttpResponse::Builder().status(status_).body(Body(body)).Build());
  }

  boost::asio::io_context io_{1};
  std::deque<std::string> bodies_;
  std::vector<std::string> targets_;
  int malformed_ = 0;
  int status_ = 200;
  HttpServer server_;
};

std::string Page(const std::string& key, bool has_more) {
  return R"({"at_revision":9,"has_more":)" +
         std::string(has_more ? "true" : "false") + R"(,"items":[{"key":")" +
         key + R"(","value":"","revision":4}]})";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(kv_store)

// The next page is requested by the last key of a page. A key that another
// writer has chosen must not damage that request.
BOOST_AUTO_TEST_CASE(a_list_goes_on_after_an_odd_key) {
  const std::pair<std::string, std::string> odd_keys[] = {
      {"quetzalline/members/a", "quetzalline/members/a"},
      {"quetzalline/members/a b", "quetzalline/members/a%20b"},
      {"quetzalline/members/a&b=c#d+e",
       "quetzalline/members/a%26b%3Dc%23d%2Be"},
      {"quetzalline/members/%41", "quetzalline/members/%2541"},
      {"quetzalline/members/\\u0001\xc3\xa4", "quetzalline/members/%01%C3%A4"},
      {"quetzalline/members/\\r\\nHost: x",
       "quetzalline/members/%0D%0AHost%3A%20x"},
  };
  for (const auto& [key, encoded] : odd_keys) {
    BOOST_TEST_CONTEXT(key) {
      ScriptedStore store(
          {Page(key, true), Page("quetzalline/members/z", false)});
      const auto items = store.List("members/");
      BOOST_TEST(store.malformed() == 0);
      BOOST_REQUIRE(items.has_value());
      BOOST_TEST(items->items().back().key() == "members/z");
      BOOST_REQUIRE(store.targets().size() == 2U);
      BOOST_TEST(store.targets()[0] ==
                 "/-/kv-range?prefix=quetzalline/members/");
      BOOST_TEST(store.targets()[1] ==
                 "/-/kv-range?prefix=quetzalline/members/&after=" + encoded);
    }
  }
}

// A part of a list must not pass for the whole.
BOOST_AUTO_TEST_CASE(a_list_that_cannot_go_on_fails) {
  ScriptedStore store({R"({"at_revision":9,"has_more":true,"items":[7]})"});
  BOOST_TEST(!store.List("members/").has_value());
  ScriptedStore same({Page("quetzalline/members/a", true),
                      Page("quetzalline/members/a", true),
                      Page("quetzalline/members/b", false)});
  BOOST_TEST(!same.List("members/").has_value());
}

// A commit whose content the store refuses was taken for one with an unknown
// outcome, and repeated for ever.
BOOST_AUTO_TEST_CASE(a_refused_content_is_told_from_an_unknown_outcome) {
  ScriptedStore store({});
  for (const int status : {400, 403, 413, 422}) {
    BOOST_TEST(std::holds_alternative<KvsRejected>(store.Commit(status)),
               "status " << status);
  }
  for (const int status : {408, 425, 429, 500, 502, 503, 504}) {
    BOOST_TEST(std::holds_alternative<KvsFailed>(store.Commit(status)),
               "status " << status);
  }
  BOOST_TEST(std::holds_alternative<KvsConflict>(store.Commit(412)));
  BOOST_TEST(std::holds_alternative<KvsLeaseNotFound>(store.Commit(404)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
