#ifndef QUETZALLINE_ADAPTERS_PROBLEM_JSON_H_
#define QUETZALLINE_ADAPTERS_PROBLEM_JSON_H_

#include <string>

#include "core/http_response.h"

namespace quetzalline {

/// An error answer in the form application/problem+json.
HttpResponse ProblemResponse(int status, const std::string& detail);

}  // namespace quetzalline

#endif  // QUETZALLINE_ADAPTERS_PROBLEM_JSON_H_
