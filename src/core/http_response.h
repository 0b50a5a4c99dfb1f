#ifndef QUETZALLINE_CORE_HTTP_RESPONSE_H_
#define QUETZALLINE_CORE_HTTP_RESPONSE_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "core/body.h"
#include "core/header.h"
#include "core/value.h"

namespace quetzalline {

/// A complete HTTP response of an endpoint, without transport framing.
class HttpResponse {
 public:
  class Builder;

  static constexpr std::string_view kName = "http-response";

  /// HTTP status code.
  std::int32_t status() const { return status_; }
  const std::vector<Header>& headers() const { return headers_; }
  const Body& body() const { return body_; }

  friend auto operator<=>(const HttpResponse&, const HttpResponse&) = default;

 private:
  QUETZALLINE_VALUE(HttpResponse, status_, headers_, body_)

  std::int32_t status_ = 0;
  std::vector<Header> headers_;
  Body body_;
};

/// Builds an HttpResponse; fields that are not set keep their defaults.
class HttpResponse::Builder : public ValueBuilder<HttpResponse, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& status(std::int32_t value) { return Set(value_.status_, value); }
  Builder& headers(std::vector<Header> value) {
    return Set(value_.headers_, std::move(value));
  }
  Builder& body(Body value) { return Set(value_.body_, std::move(value)); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_HTTP_RESPONSE_H_
