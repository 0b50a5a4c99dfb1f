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
struct LoadedServiceFile {
  std::string path_;
  ServiceFile file_;
};

/// Reads and checks a service file. Appends each error found to errors; the
/// result is valid only if nothing was appended.
LoadedServiceFile ReadServiceFile(const std::string& path,
                                  std::vector<FileError>& errors);

/// Reads all service files below a directory, sorted by path. Reports an error
/// if there are none or if two files have the same service name.
std::vector<LoadedServiceFile> CollectServiceFiles(
    const std::string& directory, std::vector<FileError>& errors);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_SERVICE_FILES_H_
