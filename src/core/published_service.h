#ifndef QUETZALLINE_CORE_PUBLISHED_SERVICE_H_
#define QUETZALLINE_CORE_PUBLISHED_SERVICE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/service_file.h"
#include "core/value.h"

namespace quetzalline {

/// A service file as it was accepted by the store.
class PublishedService {
 public:
  class Builder;

  static constexpr std::string_view kName = "published-service";

  const ServiceFile& file() const { return file_; }
  /// Operator that published this revision.
  const std::string& author() const { return author_; }
  /// Random identifier of the publication, by which a writer recognizes its own
  /// write.
  const std::string& publication() const { return publication_; }
  /// Identifiers of the preceding publications, newest first.
  const std::vector<std::string>& earlier() const { return earlier_; }
  /// Store index of the write; increases across all services.
  std::int64_t revision() const { return revision_; }

  friend auto operator<=>(const PublishedService&,
                          const PublishedService&) = default;

 private:
  QUETZALLINE_VALUE(PublishedService, file_, author_, publication_, earlier_,
                    revision_)

  ServiceFile file_;
  std::string author_;
  std::string publication_;
  std::vector<std::string> earlier_;
  std::int64_t revision_ = 0;
};

/// Builds a PublishedService; fields that are not set keep their defaults.
class PublishedService::Builder
    : public ValueBuilder<PublishedService, Builder> {
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
  Builder& earlier(std::vector<std::string> value) {
    return Set(value_.earlier_, std::move(value));
  }
  Builder& revision(std::int64_t value) { return Set(value_.revision_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_PUBLISHED_SERVICE_H_
