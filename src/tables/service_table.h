#ifndef QUETZALLINE_TABLES_SERVICE_TABLE_H_
#define QUETZALLINE_TABLES_SERVICE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/published_service.h"
#include "core/table.h"

namespace quetzalline {

/// The service files in force at this process. A row is never replaced by one
/// with a lower revision.
class ServiceTable {
 public:
  using Rows = Table<ServiceName, PublishedService>;

  const PublishedService* Find(const ServiceName& name) const {
    return rows_.Find(name);
  }
  /// Replaces the row unless a revision at least as high is in force. Returns
  /// true if the row was replaced.
  bool Apply(const PublishedService& row);

  /// Returns the service with the longest matching path prefix for this host,
  /// or null.
  const PublishedService* Match(std::string_view host,
                                std::string_view target) const;

  /// Revision up to which every change is known.
  std::int64_t revision() const { return revision_; }
  void RaiseRevision(std::int64_t revision);

  /// Returns the services with a revision above this one.
  std::vector<PublishedService> ChangedAfter(std::int64_t revision) const;

  const Rows& rows() const { return rows_; }

 private:
  Rows rows_;
  std::int64_t revision_ = 0;
};

}  // namespace quetzalline

#endif  // QUETZALLINE_TABLES_SERVICE_TABLE_H_
