#ifndef QUETZALLINE_MESSAGES_PUBLISH_CONFLICT_H_
#define QUETZALLINE_MESSAGES_PUBLISH_CONFLICT_H_

#include <compare>
#include <string_view>
#include <utility>

#include "core/published_service.h"
#include "core/value.h"

namespace quetzalline {

/// Another publication of the service came first.
class PublishConflict {
 public:
  class Builder;

  static constexpr std::string_view kName = "publish-conflict";

  /// The service as it was published instead.
  const PublishedService& winner() const { return winner_; }

  friend auto operator<=>(const PublishConflict&,
                          const PublishConflict&) = default;

 private:
  QUETZALLINE_VALUE(PublishConflict, winner_)

  PublishedService winner_;
};

/// Builds a PublishConflict; fields that are not set keep their defaults.
class PublishConflict::Builder : public ValueBuilder<PublishConflict, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& winner(PublishedService value) {
    return Set(value_.winner_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_MESSAGES_PUBLISH_CONFLICT_H_
