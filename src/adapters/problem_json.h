#ifndef QUETZALLINE_ADAPTERS_PROBLEM_JSON_H_
#define QUETZALLINE_ADAPTERS_PROBLEM_JSON_H_

#include <string>

#include "core/http_response.h"

namespace quetzalline {

/// Returns an error response with the media type application/problem+json.
HttpResponse ProblemResponse(int status, const std::string& detail);

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_PROBLEM_JSON_H_
