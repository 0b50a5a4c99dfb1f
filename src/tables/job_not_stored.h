#ifndef QUETZALLINE_TABLES_JOB_NOT_STORED_H_
#define QUETZALLINE_TABLES_JOB_NOT_STORED_H_

#include <compare>
#include <string_view>

#include "core/value.h"

namespace quetzalline {

/// The store does not contain the job yet, so that its caller has no answer.
class JobNotStored {
 public:
  class Builder;

  static constexpr std::string_view kName = "not-stored";

  friend auto operator<=>(const JobNotStored&, const JobNotStored&) = default;

 private:
  QUETZALLINE_VALUE(JobNotStored)
};

/// Builds a JobNotStored; fields that are not set keep their defaults.
class JobNotStored::Builder : public ValueBuilder<JobNotStored, Builder> {
 public:
  using ValueBuilder::ValueBuilder;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_JOB_NOT_STORED_H_
