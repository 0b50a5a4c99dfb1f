#include <boost/test/unit_test.hpp>

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

}  // namespace

BOOST_AUTO_TEST_SUITE(leaving)

BOOST_AUTO_TEST_CASE(a_stopping_agent_finishes_its_calls_and_gets_no_new_ones) {
  SmallFleet small(1, 2, 2, FixedServiceTime(milliseconds(300)));
  VirtualFleet& fleet = small.fleet_;
  for (int i = 0; i < 12; ++i) {
    fleet.SendRequest(static_cast<std::size_t>(i % 2), {});
  }
  fleet.RunFor(milliseconds(50));
  fleet.StopAgent(0);
  fleet.RunFor(milliseconds(100));
  BOOST_REQUIRE(fleet.AgentAlive(0));
  const std::int64_t started =
      fleet.agent(0).counters_.Total(Counter::kAttemptsStarted);
  for (int i = 0; i < 4; ++i) fleet.SendRequest(0, {});
  fleet.RunFor(milliseconds(100));
  BOOST_REQUIRE(fleet.AgentAlive(0));
  BOOST_TEST(fleet.agent(0).counters_.Total(Counter::kAttemptsStarted) ==
             started);
  fleet.RunFor(seconds(3));
  BOOST_TEST(!fleet.AgentAlive(0));
  BOOST_TEST(fleet.log().answered_done() == 16);
  BOOST_TEST(fleet.log().violations().empty());
}

BOOST_AUTO_TEST_CASE(a_stopping_entry_serves_through_the_load_balancer_delay) {
  SmallFleet small(2, 2, 2, FixedServiceTime(milliseconds(300)));
  VirtualFleet& fleet = small.fleet_;
  fleet.StopEntry(0);
  fleet.RunFor(milliseconds(100));
  BOOST_TEST(fleet.entry(0).stage_.leaving());
  const RequestId during = fleet.SendRequest(0, {});
  fleet.RunFor(milliseconds(1750));
  const RequestId late = fleet.SendRequest(0, {});
  fleet.RunFor(milliseconds(200));
  BOOST_TEST(fleet.EntryAlive(0));
  fleet.RunFor(seconds(2));
  BOOST_TEST(!fleet.EntryAlive(0));
  BOOST_TEST(std::holds_alternative<Done>(*fleet.Answer(during)));
  BOOST_TEST(std::holds_alternative<Done>(*fleet.Answer(late)));
}

BOOST_AUTO_TEST_CASE(a_drained_endpoint_takes_work_again_after_undo) {
  SmallFleet small(3, 1, 1);
  VirtualFleet& fleet = small.fleet_;
  const EndpointId endpoint("executor-1");
  fleet.Command(0, DrainCommand::Builder().endpoint(endpoint).Build());
  fleet.RunFor(seconds(2));
  const RequestId refused = fleet.SendRequest(0, {});
  fleet.RunFor(seconds(1));
  BOOST_TEST((ReasonOf(*fleet.Answer(refused)) == Reason::kNoEndpoint));
  fleet.Command(0,
                DrainCommand::Builder().endpoint(endpoint).undo(true).Build());
  fleet.RunFor(seconds(2));
  const RequestId served = fleet.SendRequest(0, {});
  fleet.RunFor(seconds(1));
  BOOST_TEST(std::holds_alternative<Done>(*fleet.Answer(served)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
