#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "adapters/http_client.h"
#include "adapters/http_server.h"

namespace quetzalline {
namespace {

using boost::asio::ip::tcp;

// A server that responds to each request with its target, on its own thread.
class EchoServer {
 public:
  EchoServer()
      : server_(
            io_, MakeLimits(),
            [](const HttpExchange& exchange) {
              exchange.Respond(HttpResponse::Builder()
                                   .status(200)
                                   .body(Body(exchange.request().target()))
                                   .Build());
            },
            [this] { ++bad_inputs_; }) {
    BOOST_REQUIRE(
        server_.Listen({boost::asio::ip::make_address("127.0.0.1"), 0}));
    port_ = server_.port();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~EchoServer() {
    io_.stop();
    thread_.join();
  }

  // Sends the bytes and returns all that the server sends until it closes the
  // connection.
  std::string Exchange(const std::string& bytes) const {
    boost::asio::io_context io;
    tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port_});
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
    return answer;
  }

  int bad_inputs() const { return bad_inputs_; }

 private:
  static HttpLimits MakeLimits() {
    HttpLimits limits;
    limits.head_bytes_ = 1024;
    limits.body_bytes_ = 1024;
    limits.read_timeout_ = std::chrono::seconds(1);
    return limits;
  }

  boost::asio::io_context io_{1};
  std::atomic<int> bad_inputs_{0};
  HttpServer server_;
  std::uint16_t port_ = 0;
  std::thread thread_;
};

// Calls a server that sends these bytes and closes the connection; returns the
// result that the client reports.
CallResult CallServerThatSends(const std::string& bytes) {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  HttpClient client(io, acceptor.local_endpoint());
  acceptor.async_accept([&](const boost::system::error_code&,
                            tcp::socket socket) {
    auto open = std::make_shared<tcp::socket>(std::move(socket));
    auto buffer = std::make_shared<std::string>(4096, '\0');
    open->async_read_some(
        boost::asio::buffer(*buffer),
        [open, buffer, bytes](const boost::system::error_code&, std::size_t) {
          boost::system::error_code error;
          boost::asio::write(*open, boost::asio::buffer(bytes), error);
          open->close(error);
        });
  });
  CallResult outcome;
  client.Call(HttpRequest::Builder().method("GET").target("/").Build(),
              [&](const CallResult& result) {
                outcome = result;
                io.stop();
              });
  io.run();
  return outcome;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http)

BOOST_AUTO_TEST_CASE(
    invalid_input_gets_an_error_status_and_a_closed_connection) {
  EchoServer server;
  const auto status = [&](const std::string& bytes) {
    return server.Exchange(bytes).substr(0, 12);
  };
  BOOST_TEST(status("nonsense\r\n\r\n") == "HTTP/1.1 400");
  BOOST_TEST(status("GET / HTTP/1.1\r\nX: " + std::string(4000, 'x') +
                    "\r\n\r\n") == "HTTP/1.1 431");
  BOOST_TEST(status("POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" +
                    std::string(5000, 'x')) == "HTTP/1.1 413");
  BOOST_TEST(status("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                    "Content-Length: 4\r\n\r\nabc") == "HTTP/1.1 400");
  BOOST_TEST(status("GET / HTTP/1.1\r\n") == "");
  BOOST_TEST(status("GET /ok HTTP/1.1\r\nConnection: close\r\n\r\n") ==
             "HTTP/1.1 200");
  BOOST_TEST(server.bad_inputs() == 4);
}

BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_order) {
  EchoServer server;
  const std::string answer = server.Exchange(
      "GET /one HTTP/1.1\r\n\r\nGET /two HTTP/1.1\r\nConnection: "
      "close\r\n\r\n");
  BOOST_TEST(answer.find("/one") < answer.find("/two"));
  BOOST_TEST((answer.find("/two") != std::string::npos));
}

BOOST_AUTO_TEST_CASE(a_truncated_response_is_never_reported_as_complete) {
  const auto is_whole = [](const std::string& bytes) {
    return std::holds_alternative<CallCompleted>(CallServerThatSends(bytes));
  };
  BOOST_TEST(is_whole("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"));
  BOOST_TEST(!is_whole("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"));
  BOOST_TEST(!is_whole("HTTP/1.1 200 OK\r\n\r\nno length"));
  BOOST_TEST(!is_whole(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"));
  BOOST_TEST(
      is_whole("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
               "2\r\nab\r\n0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(a_closed_port_means_nothing_was_sent) {
  boost::asio::io_context io;
  tcp::acceptor closed(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const tcp::endpoint address = closed.local_endpoint();
  closed.close();
  HttpClient client(io, address);
  CallResult outcome;
  client.Call(HttpRequest::Builder().method("GET").target("/").Build(),
              [&](const CallResult& result) { outcome = result; });
  io.run();
  BOOST_TEST(std::holds_alternative<CallNotSent>(outcome));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
