#ifndef QUETZALLINE_PROGRAMS_OPERATOR_CLIENT_H_
#define QUETZALLINE_PROGRAMS_OPERATOR_CLIENT_H_

#include <optional>
#include <string>

#include "core/http_response.h"

namespace quetzalline {

/// Where the operators' API is, and the token for changes.
struct OperatorTarget {
  std::string url_;
  std::string token_;
};

/// An answer of the operators' API, or why there is none.
struct OperatorAnswer {
  std::optional<HttpResponse> response_;
  std::string last_reason_;
};

/// Calls the operators' API and waits for the answer. A command that only the
/// holder of a cell can carry out is sent on to that holder.
OperatorAnswer CallOperatorApi(const OperatorTarget& target,
                               const std::string& method,
                               const std::string& path,
                               const std::string& body);

/// Sends a request as a caller would, with an idempotency key.
OperatorAnswer CallCaller(const OperatorTarget& target, const std::string& path,
                          const std::string& key);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_OPERATOR_CLIENT_H_
