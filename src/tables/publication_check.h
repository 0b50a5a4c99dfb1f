#ifndef QUETZALLINE_TABLES_PUBLICATION_CHECK_H_
#define QUETZALLINE_TABLES_PUBLICATION_CHECK_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The call reads back whose publication of a service is stored.
class PublicationCheck {
 public:
  class Builder;

  static constexpr std::string_view kName = "publication-check";

  /// Number of the pending command.
  std::uint64_t command() const { return command_; }
  /// Returns true if the answer to the write was lost, so that the write may
  /// still be applied.
  bool lost() const { return lost_; }

  friend auto operator<=>(const PublicationCheck&,
                          const PublicationCheck&) = default;

 private:
  QUETZALLINE_VALUE(PublicationCheck, command_, lost_)

  std::uint64_t command_ = 0;
  bool lost_ = false;
};

/// Builds a PublicationCheck; fields that are not set keep their defaults.
class PublicationCheck::Builder
    : public ValueBuilder<PublicationCheck, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& command(std::uint64_t value) { return Set(value_.command_, value); }
  Builder& lost(bool value) { return Set(value_.lost_, value); }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_PUBLICATION_CHECK_H_
