#ifndef QUETZALLINE_PROGRAMS_OPERATOR_CLIENT_H_
#define QUETZALLINE_PROGRAMS_OPERATOR_CLIENT_H_

#include <optional>
#include <string>

#include "core/http_response.h"

namespace quetzalline {

/// Holds the URL of an operators' API and the bearer token for changes.
struct OperatorTarget {
  std::string url_;
  std::string token_;
};

/// Holds a response of the operators' API, or the reason why there is none.
struct OperatorApiResult {
  std::optional<HttpResponse> response_;
  std::string error_;
};

/// Calls the operators' API and waits up to 30 s for the response. If the entry
/// answers with 421 because only the holder of the cell's leader lease can
/// carry out the command, repeats the call once at the holder's address.
OperatorApiResult CallOperatorApi(const OperatorTarget& target,
                                  const std::string& method,
                                  const std::string& path,
                                  const std::string& body);

/// Sends a POST request to the callers' listener with an idempotency key.
OperatorApiResult SendCallerRequest(const OperatorTarget& target,
                                    const std::string& path,
                                    const std::string& key);

}  // namespace quetzalline

#endif  // QUETZALLINE_PROGRAMS_OPERATOR_CLIENT_H_
