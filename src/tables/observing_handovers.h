#ifndef QUETZALLINE_TABLES_OBSERVING_HANDOVERS_H_
#define QUETZALLINE_TABLES_OBSERVING_HANDOVERS_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// Reads or watches the handover records while another process holds the cell.
class ObservingHandovers {
 public:
  class Builder;

  static constexpr std::string_view kName = "observing-handovers";

  friend auto operator<=>(const ObservingHandovers&,
                          const ObservingHandovers&) = default;

 private:
  QUETZALLINE_VALUE(ObservingHandovers)
};

/// Builds an ObservingHandovers; fields that are not set keep their defaults.
class ObservingHandovers::Builder
    : public ValueBuilder<ObservingHandovers, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_OBSERVING_HANDOVERS_H_
