#ifndef QUETZALLINE_REVIEW_STANDINS_2_HTTP_H_
#define QUETZALLINE_REVIEW_STANDINS_2_HTTP_H_

// Blocking HTTP/1.1 over TCP: a server with a thread for each connection, and
// a client that makes one call on a connection of its own.

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace review {

struct Request {
  std::string method_;
  std::string target_;
  std::map<std::string, std::string> headers_;  // Names in lower case.
  std::string body_;

  std::string Path() const { return target_.substr(0, target_.find('?')); }
  // Returns the decoded value of a query parameter.
  std::string Query(const std::string& name) const;
};

struct Response {
  int status_ = 200;
  std::string body_ = "{}";
  // Leaves the request without an answer and closes the connection.
  bool drop_ = false;
};

// Serves one address until the process ends or Close() is called.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;

  Server(const std::string& ip, int port, Handler handler);
  // Stops listening and resets all connections.
  void Close();
  bool good() const { return listener_ >= 0; }

 private:
  void Accept();
  void Serve(int socket);

  std::atomic<int> listener_{-1};
  std::atomic<bool> closed_{false};
  Handler handler_;
  struct Sockets;
  Sockets* sockets_;
};

struct Address {
  std::string ip_;
  int port_ = 0;
};

struct Call {
  std::string method_;
  std::string target_;
  std::map<std::string, std::string> headers_;
  std::string body_;
};

// Returns nothing if there is no complete response within the time.
std::optional<Response> Send(const Address& address, const Call& call,
                             int timeout_ms);

// Returns true if nothing listens on the address.
bool IsFree(const Address& address);

}  // namespace review

#endif  // QUETZALLINE_REVIEW_STANDINS_2_HTTP_H_
