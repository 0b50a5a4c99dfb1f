#ifndef QUETZALLINE_PROGRAMS_HTTP_WORKER_SETTINGS_H_
#define QUETZALLINE_PROGRAMS_HTTP_WORKER_SETTINGS_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// Settings of a worker that is accessed over HTTP.
class HttpWorkerSettings {
 public:
  class Builder;

  static constexpr std::string_view kName = "http-worker-settings";

  /// Numeric address and port of the worker.
  const std::string& address() const { return address_; }

  friend auto operator<=>(const HttpWorkerSettings&,
                          const HttpWorkerSettings&) = default;

 private:
  QUETZALLINE_VALUE(HttpWorkerSettings, address_)

  std::string address_;
};

/// Builds a HttpWorkerSettings; fields that are not set keep their defaults.
class HttpWorkerSettings::Builder
    : public ValueBuilder<HttpWorkerSettings, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& address(std::string value) {
    return Set(value_.address_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_HTTP_WORKER_SETTINGS_H_
