#ifndef QUETZALLINE_PROGRAMS_PUBLISH_DIRECTORY_H_
#define QUETZALLINE_PROGRAMS_PUBLISH_DIRECTORY_H_

#include <string>
#include <vector>

#include "programs/operator_client.h"
#include "programs/service_files.h"

namespace quetzalline {

/// What became of one service file that was handed in.
struct PublishedFile {
  std::string path_;
  std::string service_;
  bool in_force_ = false;
  /// The revision in force, or why the file is not.
  std::string text_;
};

/// Hands in service files one by one, each against the revision that was in
/// force when the call began. The result says of each file whether it is in
/// force; after the first that is not, the rest are not handed in.
std::vector<PublishedFile> PublishFiles(
    const std::vector<FoundServiceFile>& files, const OperatorTarget& target,
    const std::string& author);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_PUBLISH_DIRECTORY_H_
