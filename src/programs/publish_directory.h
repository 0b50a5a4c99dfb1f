#ifndef QUETZALLINE_PROGRAMS_PUBLISH_DIRECTORY_H_
#define QUETZALLINE_PROGRAMS_PUBLISH_DIRECTORY_H_

#include <string>
#include <vector>

#include "programs/operator_client.h"
#include "programs/service_files.h"

namespace quetzalline {

/// Holds the result of publishing one service file.
struct PublishResult {
  std::string path_;
  std::string service_;
  bool published_ = false;
  /// Names the published revision, or the reason why the file was not
  /// published.
  std::string detail_;
};

/// Publishes service files one by one. Each is written only if its service is
/// still at the revision read at the start of the call. Stops after the first
/// file that is not published; returns one result for each file, also for those
/// that were skipped.
std::vector<PublishResult> PublishFiles(
    const std::vector<LoadedServiceFile>& files, const OperatorTarget& target,
    const std::string& author);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_PUBLISH_DIRECTORY_H_
