#ifndef QUETZALLINE_CORE_HTTP_REQUEST_H_
#define QUETZALLINE_CORE_HTTP_REQUEST_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/body.h"
#include "core/header.h"
#include "core/value.h"

namespace quetzalline {

/// An HTTP request of a caller, without transport framing.
class HttpRequest {
 public:
  class Builder;

  static constexpr std::string_view kName = "http-request";

  const std::string& method() const { return method_; }
  /// Path and query of the request line.
  const std::string& target() const { return target_; }
  const std::vector<Header>& headers() const { return headers_; }
  const Body& body() const { return body_; }

  friend auto operator<=>(const HttpRequest&, const HttpRequest&) = default;

 private:
  QUETZALLINE_VALUE(HttpRequest, method_, target_, headers_, body_)

  std::string method_;
  std::string target_;
  std::vector<Header> headers_;
  Body body_;
};

/// Builds an HttpRequest; fields that are not set keep their defaults.
class HttpRequest::Builder : public ValueBuilder<HttpRequest, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& method(std::string value) {
    return Set(value_.method_, std::move(value));
  }
  Builder& target(std::string value) {
    return Set(value_.target_, std::move(value));
  }
  Builder& headers(std::vector<Header> value) {
    return Set(value_.headers_, std::move(value));
  }
  Builder& body(Body value) { return Set(value_.body_, std::move(value)); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_HTTP_REQUEST_H_
