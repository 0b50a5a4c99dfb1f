#ifndef QUETZALLINE_PROGRAMS_SERVICE_FILES_H_
#define QUETZALLINE_PROGRAMS_SERVICE_FILES_H_

#include <string>
#include <vector>

#include "core/service_file.h"
#include "programs/toml_reader.h"

namespace quetzalline {

/// File name of the service files that CollectServiceFiles searches for.
inline constexpr char kServiceFileName[] = "quetzalline.toml";

/// Holds a service file and its path.
struct FoundServiceFile {
  std::string path_;
  ServiceFile file_;
};

/// Reads and checks a service file. Adds its errors to faults; the result is
/// valid only if none were added.
FoundServiceFile ReadServiceFile(const std::string& path,
                                 std::vector<FileFault>& faults);

/// Reads all service files below a directory, sorted by path. Reports an error
/// if there are none or if two files have the same service name.
std::vector<FoundServiceFile> CollectServiceFiles(
    const std::string& directory, std::vector<FileFault>& faults);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_SERVICE_FILES_H_
