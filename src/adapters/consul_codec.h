#ifndef QUETZALLINE_ADAPTERS_CONSUL_CODEC_H_
#define QUETZALLINE_ADAPTERS_CONSUL_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/http_response.h"
#include "standin/stored_value.h"

namespace quetzalline {

/// Returns the body of a transaction that writes one key with check-and-set.
/// The index that is expected is the one of the last write of the key, or zero
/// if the key must not exist.
std::string EncodeConsulTransaction(const std::string& key,
                                    const std::string& value,
                                    std::int64_t expected);

/// Returns the index of the written key from the response to a transaction, or
/// nothing if the body has another form.
std::optional<std::int64_t> ParseConsulWrittenIndex(const std::string& body);

/// Returns the response body of a transaction that wrote one key.
std::string EncodeConsulTransactionAnswer(const std::string& key,
                                          std::int64_t index);

/// A check-and-set write of one key.
struct ConsulWrite {
  std::string key_;
  std::string value_;
  std::int64_t expected_ = 0;
};

/// Parses the body of a transaction. Returns nothing unless it is a single
/// check-and-set operation.
std::optional<ConsulWrite> ParseConsulTransaction(const std::string& body);

/// Returns the response body that lists these keys, with values in base64.
std::string EncodeConsulValues(const std::vector<StoredValue>& values);

/// Parses a list of keys. Returns nothing if the body has another form.
std::optional<std::vector<StoredValue>> ParseConsulValues(
    const std::string& body);

/// Returns the store index from the X-Consul-Index header of a response, or
/// nothing if the header is absent or malformed.
std::optional<std::int64_t> ParseConsulIndex(const HttpResponse& response);

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_CONSUL_CODEC_H_
