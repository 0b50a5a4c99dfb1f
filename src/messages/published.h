#ifndef QUETZALLINE_MESSAGES_PUBLISHED_H_
#define QUETZALLINE_MESSAGES_PUBLISHED_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <utility>

#include "core/ids.h"
#include "core/value.h"

namespace quetzalline {

/// The service file is stored durably.
class Published {
 public:
  class Builder;

  static constexpr std::string_view kName = "published";

  const ServiceName& service() const { return service_; }
  /// Revision under which the file was published.
  std::int64_t revision() const { return revision_; }

  friend auto operator<=>(const Published&, const Published&) = default;

 private:
  QUETZALLINE_VALUE(Published, service_, revision_)

  ServiceName service_;
  std::int64_t revision_ = 0;
};

/// Builds a Published; fields that are not set keep their defaults.
class Published::Builder : public ValueBuilder<Published, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& service(ServiceName value) {
    return Set(value_.service_, std::move(value));
  }
  Builder& revision(std::int64_t value) { return Set(value_.revision_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_PUBLISHED_H_
