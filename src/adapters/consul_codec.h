#ifndef QUETZALLINE_ADAPTERS_CONSUL_CODEC_H_
#define QUETZALLINE_ADAPTERS_CONSUL_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/http_response.h"
#include "standin/stored_value.h"

namespace quetzalline {

/// The body of a transaction that writes one key by check-and-set.
std::string ConsulTransaction(const std::string& key, const std::string& value,
                              std::int64_t expected);

/// The index of the written key in the answer to a transaction.
std::optional<std::int64_t> ConsulWrittenIndex(const std::string& body);

/// The answer of the service to a transaction that wrote one key.
std::string ConsulTransactionAnswer(const std::string& key, std::int64_t index);

/// The parts of a transaction; empty where the body is of another form.
struct ConsulWrite {
  std::string key_;
  std::string value_;
  std::int64_t expected_ = 0;
};
std::optional<ConsulWrite> ParseConsulTransaction(const std::string& body);

/// Keys as the service lists them, with values in base64.
std::string ConsulValues(const std::vector<StoredValue>& values);
std::optional<std::vector<StoredValue>> ParseConsulValues(
    const std::string& body);

/// The store index that an answer carries in its X-Consul-Index header.
std::optional<std::int64_t> ConsulIndex(const HttpResponse& response);

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_CONSUL_CODEC_H_
