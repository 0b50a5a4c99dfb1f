#include <boost/test/unit_test.hpp>

#include "support/fleet_fixtures.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// One entry with three agents in its own region, "home", and three in another
// one, "away".
struct TwoRegions {
  TwoRegions(std::uint64_t seed, const EndpointBehaviour& home,
             const EntryPolicy& policy)
      : fleet_(seed) {
    fleet_.PutService(QuoteService());
    fleet_.AddEntry(policy);
    for (int i = 0; i < 3; ++i) {
      fleet_.AddAgent(AgentIn("home-" + std::to_string(i), "home", "z"), home);
    }
    for (int i = 0; i < 3; ++i) {
      fleet_.AddAgent(AgentIn("away-" + std::to_string(i), "away", "y"), {});
    }
    fleet_.RunFor(seconds(12));
  }

  void Load(int requests, Duration interval) {
    for (int i = 0; i < requests; ++i) {
      RequestSpec request_spec;
      request_spec.body_bytes_ = 1000;
      fleet_.SendRequest(0, request_spec);
      fleet_.RunFor(interval);
    }
    fleet_.RunFor(seconds(3));
  }

  std::int64_t CrossRegionAttempts() const {
    return fleet_.entry(0).counters_.Total(Counter::kCrossRegionAttempts);
  }

  VirtualFleet fleet_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(routing)

BOOST_AUTO_TEST_CASE(requests_stay_in_their_region_while_it_keeps_up) {
  TwoRegions regions(1, {}, EntryIn("entry", "home", "z"));
  regions.Load(1000, milliseconds(2));
  BOOST_TEST(regions.CrossRegionAttempts() == 0);
}

BOOST_AUTO_TEST_CASE(requests_cross_regions_when_that_saves_time) {
  EndpointBehaviour slow;
  slow.service_time_ = milliseconds(400);
  TwoRegions regions(2, slow, EntryIn("entry", "home", "z"));
  regions.Load(300, milliseconds(10));
  BOOST_TEST(regions.CrossRegionAttempts() > 150);
}

BOOST_AUTO_TEST_CASE(cross_region_traffic_stays_within_the_link_budget) {
  EndpointBehaviour slow;
  slow.service_time_ = milliseconds(400);
  const EntryPolicy narrow_link =
      EntryPolicy::Builder(EntryIn("entry", "home", "z"))
          .region_bytes_per_second(10000)
          .Build();
  TwoRegions regions(3, slow, narrow_link);
  regions.Load(300, milliseconds(10));
  const std::int64_t bytes =
      regions.fleet_.entry(0).counters_.Total(Counter::kCrossRegionBytes);
  // Ten kilobytes per second for three seconds, one second of budget
  // accumulated before, and the requests in flight.
  BOOST_TEST(bytes <= 10000 * 4 + 10000);
  BOOST_TEST(regions.CrossRegionAttempts() > 10);
}

BOOST_AUTO_TEST_CASE(
    a_slow_endpoint_gets_fewer_requests_and_a_dead_one_only_probes) {
  SmallFleet small(4, 1, 4);
  VirtualFleet& fleet = small.fleet_;
  fleet.endpoint(0).behaviour().service_time_ = milliseconds(100);
  fleet.endpoint(1).Kill();
  for (int i = 0; i < 4000; ++i) {
    fleet.SendRequest(0, {});
    fleet.RunFor(milliseconds(1));
  }
  fleet.RunFor(seconds(2));
  const auto started = [&](std::size_t agent) {
    return fleet.agent(agent).counters_.Total(Counter::kAttemptsStarted);
  };
  BOOST_TEST(started(0) < started(2) / 2);
  // Probes only; the backoff between them doubles.
  BOOST_TEST(started(1) < 40);
  BOOST_TEST(fleet.entry(0).counters_.Total(Counter::kEndpointsRested) > 0);
}

BOOST_AUTO_TEST_CASE(
    a_dead_endpoint_is_unreachable_after_its_heartbeat_timeout) {
  SmallFleet small(5, 1, 2);
  VirtualFleet& fleet = small.fleet_;
  fleet.KillInstance(0);
  fleet.RunFor(milliseconds(3500));
  const EndpointId dead("executor-1");
  BOOST_TEST(!fleet.entry(0).endpoints_.Find(dead)->reachable());
  const std::int64_t before =
      fleet.entry(0).counters_.Total(Counter::kRequestsDone);
  for (int i = 0; i < 50; ++i) fleet.SendRequest(0, {});
  fleet.RunFor(seconds(3));
  BOOST_TEST(fleet.entry(0).counters_.Total(Counter::kRequestsDone) ==
             before + 50);
}

BOOST_AUTO_TEST_CASE(heartbeats_of_an_earlier_incarnation_change_nothing) {
  EntryNode node(EntryIn("entry", "r", "z"), 1);
  const auto announce = [&](std::uint64_t connection, std::uint64_t incarnation,
                            std::uint64_t sequence, EndpointState state) {
    const Announce message = Announce::Builder()
                                 .endpoint(EndpointId("e"))
                                 .service(ServiceName("quotes"))
                                 .incarnation(incarnation)
                                 .sequence(sequence)
                                 .state(state)
                                 .Build();
    const std::vector<EntryInput> inputs{
        AgentMessageReceived::Builder()
            .connection(ConnectionId(connection))
            .message(message)
            .Build()};
    node.RunTick(Instant(seconds(1)), inputs);
  };
  announce(1, 5, 10, EndpointState::kActive);
  announce(2, 6, 1, EndpointState::kActive);
  announce(1, 5, 11, EndpointState::kLeaving);
  announce(2, 6, 1, EndpointState::kLeaving);
  const Endpoint& row = *node.tables().endpoints_.Find(EndpointId("e"));
  BOOST_TEST((row.connection() == ConnectionId(2)));
  BOOST_TEST((row.announced()->state() == EndpointState::kActive));
  BOOST_TEST(node.tables().counters_.Total(Counter::kAnnouncesStale) == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
