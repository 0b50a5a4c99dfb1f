#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <vector>

#include "core/overloaded.h"
#include "core/reflect.h"
#include "support/fleet_fixtures.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Expected { kDone, kNotRun, kUnknown };

// A fault that occurs while an attempt is in a known state, and the outcome
// that the caller must get.
struct Case {
  std::string name_;
  // How long the endpoint takes. The fault occurs 50 ms after the request.
  Duration service_time_;
  // Number of requests sent before, which occupy all slots so that the attempt
  // waits in the queue.
  int requests_before_;
  std::function<void(VirtualFleet&)> fault_;
  Expected expected_;
  Reason reason_;
};

const auto kNoFault = [](VirtualFleet&) {};
const auto kStallConnection = [](VirtualFleet& fleet) {
  fleet.StallConnection(0, 0);
};
const auto kKillAgent = [](VirtualFleet& fleet) {
  fleet.KillAgent(0);
  fleet.StartAgent(0);
};
const auto kKillInstance = [](VirtualFleet& fleet) { fleet.KillInstance(0); };
const auto kKillEndpoint = [](VirtualFleet& fleet) {
  fleet.endpoint(0).Kill();
};
const auto kPartition = [](VirtualFleet& fleet) {
  fleet.SetPartitioned(0, 0, true);
};
const auto kStallAgent = [](VirtualFleet& fleet) {
  fleet.StallAgent(0, seconds(10));
};

std::vector<Case> Cases() {
  const Duration fast = milliseconds(200);
  const Duration slow = seconds(30);
  return {
      {"running, no fault", fast, 0, kNoFault, Expected::kDone, Reason::kNone},
      {"running, endpoint outlasts the lease", slow, 0, kNoFault,
       Expected::kUnknown, Reason::kLeaseLapsed},
      {"running, connection stalled", fast, 0, kStallConnection,
       Expected::kDone, Reason::kNone},
      {"running, agent killed", slow, 0, kKillAgent, Expected::kUnknown,
       Reason::kAgentReplaced},
      {"running, instance killed", slow, 0, kKillInstance, Expected::kUnknown,
       Reason::kDeadlinePassed},
      {"running, endpoint killed", slow, 0, kKillEndpoint, Expected::kUnknown,
       Reason::kEndpointBroke},
      {"running, agent partitioned", slow, 0, kPartition, Expected::kUnknown,
       Reason::kDeadlinePassed},
      {"running, agent stalled", fast, 0, kStallAgent, Expected::kUnknown,
       Reason::kDeadlinePassed},
      {"queued, endpoint never free", slow, 8, kNoFault, Expected::kNotRun,
       Reason::kDeadlinePassed},
      {"queued, agent killed", slow, 8, kKillAgent, Expected::kUnknown,
       Reason::kAgentReplaced},
      {"queued, connection stalled", fast, 8, kStallConnection, Expected::kDone,
       Reason::kNone},
      {"queued, agent partitioned", slow, 8, kPartition, Expected::kUnknown,
       Reason::kDeadlinePassed},
  };
}

Expected KindOf(const AttemptOutcome& outcome) {
  return std::visit(
      Overloaded{[](const Done&) { return Expected::kDone; },
                 [](const NotRun&) { return Expected::kNotRun; },
                 [](const Unknown&) { return Expected::kUnknown; }},
      outcome);
}

// A stalled connection is detected within two seconds, so the deadlines in
// these tests are longer.
RequestSpec Post(Duration deadline) {
  RequestSpec request_spec;
  request_spec.method_ = "POST";
  request_spec.deadline_ = deadline;
  return request_spec;
}

ServiceFile ServiceWithLongDeadline() {
  const Route route =
      Route::Builder(QuoteService().route()).deadline(seconds(6)).Build();
  return ServiceFile::Builder(QuoteService()).route(route).Build();
}

void RunCase(const Case& test_case) {
  EndpointBehaviour behaviour;
  behaviour.exponential_ = false;
  behaviour.service_time_ = test_case.service_time_;
  SmallFleet small(1, 1, 1, behaviour);
  VirtualFleet& fleet = small.fleet_;
  fleet.PutService(ServiceWithLongDeadline());
  fleet.RunFor(seconds(1));
  for (int i = 0; i < test_case.requests_before_; ++i) {
    fleet.SendRequest(0, Post(seconds(6)));
  }
  const RequestId id = fleet.SendRequest(0, Post(seconds(5)));
  fleet.RunFor(milliseconds(50));
  test_case.fault_(fleet);
  fleet.RunFor(seconds(20));
  const AttemptOutcome* answer = fleet.Answer(id);
  BOOST_REQUIRE(answer != nullptr);
  BOOST_TEST((KindOf(*answer) == test_case.expected_));
  BOOST_TEST(ToString(ReasonOf(*answer)) == ToString(test_case.reason_));
  for (const std::string& violation : fleet.log().violations()) {
    BOOST_ERROR(violation);
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(attempt_states)

// Guards against an outcome that contradicts whether the request ran: "not run"
// for a request that may have run would invite a second run.
BOOST_AUTO_TEST_CASE(each_fault_in_each_state_gets_the_right_outcome) {
  for (const Case& test_case : Cases()) {
    BOOST_TEST_CONTEXT(test_case.name_) { RunCase(test_case); }
  }
}

BOOST_AUTO_TEST_CASE(an_attempt_whose_frame_was_lost_did_not_run) {
  SmallFleet small(2, 1, 1);
  VirtualFleet& fleet = small.fleet_;
  fleet.PutService(ServiceWithLongDeadline());
  fleet.RunFor(seconds(1));
  fleet.StallConnection(0, 0);
  const RequestId id = fleet.SendRequest(0, Post(seconds(5)));
  fleet.RunFor(seconds(10));
  // Over the new connection the agent reports that the frame never arrived;
  // the retry runs.
  BOOST_REQUIRE(fleet.Answer(id) != nullptr);
  BOOST_TEST(std::holds_alternative<Done>(*fleet.Answer(id)));
  BOOST_TEST(fleet.log().Starts(id) == 1);
  BOOST_TEST(fleet.log().violations().empty());
}

// The frame of an attempt arrives after the agent reported that it had not, and
// after the entry acted on that. Running it then could run the request twice.
BOOST_AUTO_TEST_CASE(a_frame_that_arrives_after_its_refusal_is_ignored) {
  AgentNode node(AgentIn("executor", "r", "z"), 1);
  const ConnectionId connection(1);
  const AttemptId id = AttemptId::Builder().number(1).Build();
  const auto receive = [&](const EntryMessage& message) {
    const std::vector<AgentInput> inputs{EntryMessageReceived::Builder()
                                             .connection(connection)
                                             .message(message)
                                             .Build()};
    return node.RunTick(Instant(seconds(1)), inputs);
  };
  const auto reply = receive(FetchOutcome::Builder().attempt(id).Build());
  BOOST_REQUIRE(reply.size() == 1U);
  receive(Acknowledge::Builder().attempt(id).Build());
  const auto late =
      receive(Submit::Builder().attempt(id).lease(seconds(5)).Build());
  for (const AgentEffect& effect : late) {
    BOOST_TEST(!std::holds_alternative<CallEndpoint>(effect));
  }
  BOOST_TEST(node.tables().executions_.running() == 0);
}

BOOST_AUTO_TEST_CASE(an_unreachable_endpoint_did_not_run_the_request) {
  SmallFleet small(3, 1, 1);
  VirtualFleet& fleet = small.fleet_;
  fleet.endpoint(0).Kill();
  const RequestId id = fleet.SendRequest(0, Post(seconds(1)));
  fleet.RunFor(seconds(3));
  BOOST_REQUIRE(fleet.Answer(id) != nullptr);
  BOOST_TEST((KindOf(*fleet.Answer(id)) == Expected::kNotRun));
  BOOST_TEST(fleet.log().Starts(id) == 0);
}

BOOST_AUTO_TEST_CASE(a_disconnected_caller_frees_its_place_in_the_queue) {
  EndpointBehaviour behaviour;
  behaviour.exponential_ = false;
  behaviour.service_time_ = milliseconds(400);
  SmallFleet small(4, 1, 1, behaviour);
  VirtualFleet& fleet = small.fleet_;
  for (int i = 0; i < 8; ++i) fleet.SendRequest(0, Post(seconds(1)));
  const RequestId id = fleet.SendRequest(0, Post(seconds(1)));
  fleet.RunFor(milliseconds(20));
  BOOST_TEST(fleet.agent(0).executions_.queued() == 1);
  fleet.DisconnectCaller(0, id);
  fleet.RunFor(milliseconds(20));
  BOOST_TEST(fleet.agent(0).executions_.queued() == 0);
  fleet.RunFor(seconds(3));
  BOOST_TEST(fleet.log().Starts(id) == 0);
  BOOST_TEST(fleet.entry(0).requests_.size() == 0U);
  BOOST_TEST(fleet.entry(0).attempts_.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
