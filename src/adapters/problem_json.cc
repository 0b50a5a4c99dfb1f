#include "adapters/problem_json.h"

#include <boost/json.hpp>

namespace quetzalline {
HttpResponse ProblemResponse(int status, const std::string& detail) {
  const boost::json::object problem{
      {"type", "about:blank"}, {"status", status}, {"detail", detail}};
  return HttpResponse::Builder()
      .status(status)
      .headers({Header::Builder()
                    .name("Content-Type")
                    .value("application/problem+json")
                    .Build()})
      .body(Body(boost::json::serialize(problem)))
      .Build();
}

}  // namespace quetzalline
