#ifndef QUETZALLINE_TABLES_PUBLICATION_WRITE_H_
#define QUETZALLINE_TABLES_PUBLICATION_WRITE_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The call writes a publication.
class PublicationWrite {
 public:
  class Builder;

  static constexpr std::string_view kName = "publication-write";

  /// Number of the pending command.
  std::uint64_t command() const { return command_; }

  friend auto operator<=>(const PublicationWrite&,
                          const PublicationWrite&) = default;

 private:
  QUETZALLINE_VALUE(PublicationWrite, command_)

  std::uint64_t command_ = 0;
};

/// Builds a PublicationWrite; fields that are not set keep their defaults.
class PublicationWrite::Builder
    : public ValueBuilder<PublicationWrite, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& command(std::uint64_t value) { return Set(value_.command_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_PUBLICATION_WRITE_H_
