#ifndef QUETZALLINE_CORE_SERVICE_FILE_H_
#define QUETZALLINE_CORE_SERVICE_FILE_H_

#include <compare>
#include <string_view>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/route.h"
#include "core/task_template.h"
#include "core/value.h"

namespace quetzalline {

/// The declaration of one service (its manifest), which its operators maintain
/// with its code.
class ServiceFile {
 public:
  class Builder;

  static constexpr std::string_view kName = "service-file";

  const ServiceName& name() const { return name_; }
  const TeamName& team() const { return team_; }
  const Route& route() const { return route_; }
  const std::vector<TaskTemplate>& tasks() const { return tasks_; }

  friend auto operator<=>(const ServiceFile&, const ServiceFile&) = default;

 private:
  QUETZALLINE_VALUE(ServiceFile, name_, team_, route_, tasks_)

  ServiceName name_;
  TeamName team_;
  Route route_;
  std::vector<TaskTemplate> tasks_;
};

/// Builds a ServiceFile; fields that are not set keep their defaults.
class ServiceFile::Builder : public ValueBuilder<ServiceFile, Builder> {
 public:
  using ValueBuilder::ValueBuilder;

  Builder& name(ServiceName value) {
    return Set(value_.name_, std::move(value));
  }
  Builder& team(TeamName value) { return Set(value_.team_, std::move(value)); }
  Builder& route(Route value) { return Set(value_.route_, std::move(value)); }
  Builder& tasks(std::vector<TaskTemplate> value) {
    return Set(value_.tasks_, std::move(value));
  }
};

}  // namespace quetzalline

#endif  // QUETZALLINE_CORE_SERVICE_FILE_H_
