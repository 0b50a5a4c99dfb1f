#ifndef QUETZALLINE_CORE_WATCHER_WORKLOAD_H_
#define QUETZALLINE_CORE_WATCHER_WORKLOAD_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "core/value.h"

namespace quetzalline {

/// A long-running task that waits for changes of one subject.
class WatcherWorkload {
 public:
  class Builder;

  static constexpr std::string_view kName = "watcher-workload";

  const std::string& subject() const { return subject_; }

  friend auto operator<=>(const WatcherWorkload&,
                          const WatcherWorkload&) = default;

 private:
  QUETZALLINE_VALUE(WatcherWorkload, subject_)

  std::string subject_;
};

/// Builds a WatcherWorkload; fields that are not set keep their defaults.
class WatcherWorkload::Builder : public ValueBuilder<WatcherWorkload, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& subject(std::string value) {
    return Set(value_.subject_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_WATCHER_WORKLOAD_H_
