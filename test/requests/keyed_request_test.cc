#include <boost/test/unit_test.hpp>
#include <string>

#include "core/reflect.h"
#include "support/fleet_fixtures.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RequestSpec Keyed(const std::string& key) {
  RequestSpec request_spec;
  request_spec.method_ = "POST";
  request_spec.key_ = key;
  return request_spec;
}

std::string BodyOf(const VirtualFleet& fleet, const RequestId& id) {
  const AttemptOutcome* answer = fleet.Answer(id);
  if (answer == nullptr) return "none";
  const auto* done = std::get_if<Done>(answer);
  return done == nullptr ? ToString(ReasonOf(*answer))
                         : done->response()->body().bytes();
}

// Returns the index of the agent whose counters show a started attempt.
std::size_t ExecutingAgent(const VirtualFleet& fleet) {
  for (std::size_t i = 0; i < fleet.agents(); ++i) {
    const Counters& counters = fleet.agent(i).counters_;
    if (counters.Total(Counter::kAttemptsStarted) > 0) return i;
  }
  return fleet.agents();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(keyed_requests)

BOOST_AUTO_TEST_CASE(a_repeat_at_another_entry_gets_the_first_response) {
  SmallFleet small(1, 2, 5);
  VirtualFleet& fleet = small.fleet_;
  const RequestId first = fleet.SendRequest(0, Keyed("k"));
  fleet.RunFor(seconds(2));
  const RequestId second = fleet.SendRequest(1, Keyed("k"));
  fleet.RunFor(seconds(2));
  BOOST_TEST(BodyOf(fleet, first) == "key k");
  BOOST_TEST(BodyOf(fleet, second) == "key k");
  BOOST_TEST(fleet.log().Starts(first) == 1);
  BOOST_TEST(fleet.log().Starts(second) == 0);
}

BOOST_AUTO_TEST_CASE(a_repeat_while_the_first_runs_conflicts) {
  EndpointBehaviour behaviour;
  behaviour.exponential_ = false;
  behaviour.service_time_ = milliseconds(500);
  SmallFleet small(2, 2, 5, behaviour);
  VirtualFleet& fleet = small.fleet_;
  const RequestId first = fleet.SendRequest(0, Keyed("k"));
  fleet.RunFor(milliseconds(100));
  const RequestId second = fleet.SendRequest(1, Keyed("k"));
  fleet.RunFor(seconds(2));
  BOOST_TEST(BodyOf(fleet, first) == "key k");
  BOOST_TEST(BodyOf(fleet, second) == "key-conflict");
}

BOOST_AUTO_TEST_CASE(concurrent_requests_with_one_key_run_at_most_once) {
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    SmallFleet small(seed, 2, 5);
    VirtualFleet& fleet = small.fleet_;
    const RequestId first = fleet.SendRequest(0, Keyed("k"));
    const RequestId second = fleet.SendRequest(1, Keyed("k"));
    fleet.RunFor(seconds(2));
    BOOST_TEST(fleet.log().Starts(first) + fleet.log().Starts(second) <= 1);
    BOOST_TEST(fleet.log().violations().empty());
  }
}

BOOST_AUTO_TEST_CASE(a_key_is_not_rerun_after_its_agent_restarts) {
  SmallFleet small(3, 2, 5);
  VirtualFleet& fleet = small.fleet_;
  const RequestId first = fleet.SendRequest(0, Keyed("k"));
  fleet.RunFor(seconds(2));
  const std::size_t executor = ExecutingAgent(fleet);
  fleet.KillInstance(executor);
  fleet.StartInstance(executor);
  fleet.RunFor(seconds(3));
  const RequestId second = fleet.SendRequest(1, Keyed("k"));
  fleet.RunFor(seconds(2));
  BOOST_TEST(fleet.log().Starts(first) == 1);
  BOOST_TEST(fleet.log().Starts(second) == 0);
  BOOST_TEST(BodyOf(fleet, second) == "key-conflict");
}

BOOST_AUTO_TEST_CASE(a_key_is_not_rerun_after_all_processes_restart) {
  SmallFleet small(4, 2, 3);
  VirtualFleet& fleet = small.fleet_;
  const RequestId first = fleet.SendRequest(0, Keyed("k"));
  fleet.RunFor(seconds(2));
  for (std::size_t i = 0; i < 3; ++i) fleet.KillInstance(i);
  for (std::size_t i = 0; i < 2; ++i) fleet.KillEntry(i);
  for (std::size_t i = 0; i < 2; ++i) fleet.StartEntry(i);
  for (std::size_t i = 0; i < 3; ++i) fleet.StartInstance(i);
  fleet.RunFor(seconds(5));
  const RequestId second = fleet.SendRequest(1, Keyed("k"));
  fleet.RunFor(seconds(2));
  BOOST_TEST(fleet.log().Starts(first) == 1);
  BOOST_TEST(fleet.log().Starts(second) == 0);
}

BOOST_AUTO_TEST_CASE(a_key_whose_request_did_not_run_is_free_again) {
  SmallFleet small(5, 1, 1);
  VirtualFleet& fleet = small.fleet_;
  fleet.endpoint(0).Kill();
  const RequestId first = fleet.SendRequest(0, Keyed("k"));
  fleet.RunFor(seconds(3));
  BOOST_TEST(BodyOf(fleet, first) == "endpoint-unreachable");
  fleet.endpoint(0).Recover();
  fleet.RunFor(seconds(20));
  const RequestId second = fleet.SendRequest(0, Keyed("k"));
  fleet.RunFor(seconds(2));
  BOOST_TEST(BodyOf(fleet, second) == "key k");
}

BOOST_AUTO_TEST_CASE(without_the_store_no_keyed_request_runs) {
  SmallFleet small(6, 1, 3);
  VirtualFleet& fleet = small.fleet_;
  fleet.store().SetDown(true);
  const RequestId keyed = fleet.SendRequest(0, Keyed("k"));
  const RequestId plain = fleet.SendRequest(0, {});
  fleet.RunFor(seconds(3));
  BOOST_TEST(BodyOf(fleet, keyed) == "deadline-passed");
  BOOST_TEST(fleet.log().Starts(keyed) == 0);
  BOOST_TEST(std::holds_alternative<Done>(*fleet.Answer(plain)));
}

BOOST_AUTO_TEST_CASE(lost_store_responses_run_no_key_twice) {
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    SmallFleet small(seed, 2, 3);
    VirtualFleet& fleet = small.fleet_;
    fleet.store().SetLostPercent(40);
    for (int i = 0; i < 20; ++i) {
      fleet.SendRequest(static_cast<std::size_t>(i % 2), Keyed("k"));
      fleet.RunFor(milliseconds(300));
    }
    fleet.RunFor(seconds(30));
    for (const std::string& violation : fleet.log().violations()) {
      BOOST_ERROR("seed " << seed << ": " << violation);
    }
  }
}

BOOST_AUTO_TEST_CASE(concurrent_keys_of_one_bucket_share_a_write) {
  SmallFleet small(7, 1, 5);
  VirtualFleet& fleet = small.fleet_;
  fleet.RunFor(seconds(5));
  const std::int64_t before = fleet.store().store().writes();
  for (int i = 0; i < 40; ++i) fleet.SendRequest(0, Keyed("same-bucket"));
  fleet.RunFor(milliseconds(200));
  BOOST_TEST(fleet.store().store().writes() - before <= 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
