#ifndef QUETZALLINE_ADAPTERS_CONSUL_STORE_H_
#define QUETZALLINE_ADAPTERS_CONSUL_STORE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>

#include "adapters/http_client.h"
#include "messages/store_answer.h"
#include "messages/store_read.h"
#include "messages/store_watch.h"
#include "messages/store_write.h"

namespace quetzalline {

/// Executes store calls on a key-value service with the HTTP API of Consul:
/// reads by prefix, blocking queries as watches, and check-and-set transactions
/// as writes. A call without a valid response in time results in StoreFailed.
class ConsulStore {
 public:
  using OnAnswer = std::function<void(const StoreAnswer&)>;

  ConsulStore(boost::asio::io_context& io,
              const boost::asio::ip::tcp::endpoint& service);

  /// Sets the receiver of all results. Call this before the first Perform.
  void SetOnAnswer(OnAnswer on_answer) { on_answer_ = std::move(on_answer); }
  void Perform(const StoreRead& read);
  void Perform(const StoreWatch& watch);
  void Perform(const StoreWrite& write);

 private:
  /// Reads a prefix. If a watch is given, repeats it until the index changes.
  void Query(std::uint64_t ticket, const std::string& target,
             std::chrono::seconds timeout, const StoreWatch* watch);
  void Call(const HttpRequest& request, std::chrono::seconds timeout,
            HttpClient::OnEnd on_end);
  void Answer(std::uint64_t ticket, const StoreResult& result);
  void Fail(std::uint64_t ticket);

  boost::asio::io_context& io_;
  std::unique_ptr<HttpClient> client_;
  OnAnswer on_answer_;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_CONSUL_STORE_H_
