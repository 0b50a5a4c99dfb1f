#ifndef QUETZALLINE_MESSAGES_PUBLISH_SERVICE_H_
#define QUETZALLINE_MESSAGES_PUBLISH_SERVICE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "core/service_file.h"
#include "core/value.h"

namespace quetzalline {

/// Publishes a service file.
class PublishService {
 public:
  class Builder;

  static constexpr std::string_view kName = "publish-service";

  const ServiceFile& file() const { return file_; }
  const std::string& author() const { return author_; }
  /// Random id that makes repeating the command safe.
  const std::string& publication() const { return publication_; }
  /// Revision that the operator's change is based on; if empty, any revision is
  /// accepted.
  const std::optional<std::int64_t>& expected() const { return expected_; }

  friend auto operator<=>(const PublishService&,
                          const PublishService&) = default;

 private:
  QUETZALLINE_VALUE(PublishService, file_, author_, publication_, expected_)

  ServiceFile file_;
  std::string author_;
  std::string publication_;
  std::optional<std::int64_t> expected_;
};

/// Builds a PublishService; fields that are not set keep their defaults.
class PublishService::Builder : public ValueBuilder<PublishService, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& file(ServiceFile value) {
    return Set(value_.file_, std::move(value));
  }
  Builder& author(std::string value) {
    return Set(value_.author_, std::move(value));
  }
  Builder& publication(std::string value) {
    return Set(value_.publication_, std::move(value));
  }
  Builder& expected(std::optional<std::int64_t> value) {
    return Set(value_.expected_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_PUBLISH_SERVICE_H_
