#include <boost/test/unit_test.hpp>
#include <map>

#include "core/overloaded.h"
#include "support/fleet_fixtures.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

EndpointBehaviour FixedServiceTime(Duration service_time) {
  EndpointBehaviour behaviour;
  behaviour.exponential_ = false;
  behaviour.service_time_ = service_time;
  return behaviour;
}

std::map<Reason, int> ReasonsOf(const VirtualFleet& fleet,
                                const std::vector<RequestId>& ids) {
  std::map<Reason, int> reasons;
  for (const RequestId& id : ids) {
    const AttemptOutcome* answer = fleet.Answer(id);
    BOOST_REQUIRE(answer != nullptr);
    ++reasons[ReasonOf(*answer)];
  }
  return reasons;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(agent_limits)

BOOST_AUTO_TEST_CASE(many_entries_never_exceed_the_limit_of_an_endpoint) {
  SmallFleet small(1, 5, 2, FixedServiceTime(milliseconds(100)));
  VirtualFleet& fleet = small.fleet_;
  std::vector<RequestId> ids;
  for (int i = 0; i < 200; ++i) {
    ids.push_back(fleet.SendRequest(static_cast<std::size_t>(i % 5), {}));
  }
  fleet.RunFor(milliseconds(50));
  BOOST_TEST(fleet.endpoint(0).running() == 8);
  BOOST_TEST(fleet.endpoint(1).running() == 8);
  fleet.RunFor(seconds(5));
  BOOST_TEST(fleet.log().unanswered() == 0U);
  for (const std::string& violation : fleet.log().violations()) {
    BOOST_ERROR(violation);
  }
}

BOOST_AUTO_TEST_CASE(an_abandoned_call_occupies_its_slot_for_a_while) {
  SmallFleet small(2, 1, 1, FixedServiceTime(seconds(60)));
  VirtualFleet& fleet = small.fleet_;
  for (int i = 0; i < 8; ++i) fleet.SendRequest(0, {});
  fleet.RunFor(milliseconds(1100));
  BOOST_TEST(fleet.agent(0).executions_.running() == 8);
  BOOST_TEST(fleet.endpoint(0).running() == 0);
  fleet.RunFor(milliseconds(1100));
  BOOST_TEST(fleet.agent(0).executions_.running() == 0);
}

BOOST_AUTO_TEST_CASE(
    a_request_that_cannot_meet_its_deadline_is_refused_at_once) {
  SmallFleet small(3, 1, 1, FixedServiceTime(milliseconds(300)));
  VirtualFleet& fleet = small.fleet_;
  fleet.SendRequest(0, {});
  fleet.RunFor(seconds(1));
  std::vector<RequestId> ids;
  for (int i = 0; i < 60; ++i) ids.push_back(fleet.SendRequest(0, {}));
  fleet.RunFor(milliseconds(60));
  int refused = 0;
  for (const RequestId& id : ids) {
    const AttemptOutcome* answer = fleet.Answer(id);
    if (answer != nullptr && ReasonOf(*answer) == Reason::kDeadlineTooShort) {
      ++refused;
      BOOST_TEST(std::get<NotRun>(*answer).retry_after().count() > 0);
    }
  }
  BOOST_TEST(refused >= 30);
  fleet.RunFor(seconds(5));
  BOOST_TEST(fleet.log().violations().empty());
}

BOOST_AUTO_TEST_CASE(one_caller_cannot_starve_the_others) {
  SmallFleet small(4, 1, 1, FixedServiceTime(milliseconds(50)));
  VirtualFleet& fleet = small.fleet_;
  std::vector<RequestId> quiet;
  RequestSpec noisy;
  noisy.caller_ = "noisy";
  RequestSpec other;
  other.caller_ = "quiet";
  for (int second = 0; second < 5; ++second) {
    for (int i = 0; i < 40; ++i) {
      for (int n = 0; n < 10; ++n) fleet.SendRequest(0, noisy);
      if (i % 4 == 0) quiet.push_back(fleet.SendRequest(0, other));
      fleet.RunFor(milliseconds(25));
    }
  }
  fleet.RunFor(seconds(3));
  std::map<Reason, int> reasons = ReasonsOf(fleet, quiet);
  BOOST_TEST(reasons[Reason::kNone] == 50);
  BOOST_TEST(fleet.log().answered_not_run() > 0);
  BOOST_TEST(fleet.log().violations().empty());
}

BOOST_AUTO_TEST_CASE(urgent_attempts_go_before_others_and_are_shed_last) {
  SmallFleet small(5, 1, 1, FixedServiceTime(milliseconds(100)));
  VirtualFleet& fleet = small.fleet_;
  const Route relaxed = QuoteService().route();
  fleet.PutService(ServiceFile::Builder(QuoteService())
                       .name(ServiceName("relaxed"))
                       .route(Route::Builder(relaxed)
                                  .prefix("/relaxed")
                                  .deadline(seconds(2))
                                  .Build())
                       .Build());
  fleet.PutService(
      ServiceFile::Builder(QuoteService())
          .route(
              Route::Builder(relaxed).urgent(true).deadline(seconds(2)).Build())
          .Build());
  fleet.AddAgent(AgentPolicy::Builder(AgentIn("executor-r", "r", "z"))
                     .service(ServiceName("relaxed"))
                     .Build(),
                 FixedServiceTime(milliseconds(100)));
  fleet.RunFor(seconds(2));
  std::vector<RequestId> urgent;
  for (int i = 0; i < 30; ++i) urgent.push_back(fleet.SendRequest(0, {}));
  fleet.RunFor(seconds(3));
  BOOST_TEST(ReasonsOf(fleet, urgent)[Reason::kNone] == 30);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
