#include <boost/test/unit_test.hpp>

#include "core/overloaded.h"
#include "support/fleet_fixtures.h"
#include "systems/entry/draw_backoff.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

EntryPolicy WithJitter(const Jitter& jitter) {
  return EntryPolicy::Builder()
      .retry_base(milliseconds(8))
      .retry_cap(milliseconds(100))
      .jitter(jitter)
      .Build();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(retries)

BOOST_AUTO_TEST_CASE(backoff_stays_within_the_bounds_of_its_jitter) {
  Random random(1);
  for (int i = 0; i < 1000; ++i) {
    for (std::int32_t retry = 1; retry < 40; ++retry) {
      const Duration ceiling =
          retry > 4 ? milliseconds(100) : milliseconds(8 << (retry - 1));
      const Duration half =
          DrawBackoff(WithJitter(HalfJitter()), retry, random);
      BOOST_REQUIRE(half >= ceiling / 2);
      BOOST_REQUIRE(half <= ceiling);
      const Duration full =
          DrawBackoff(WithJitter(FullJitter()), retry, random);
      BOOST_REQUIRE(full <= ceiling);
      BOOST_REQUIRE(
          (DrawBackoff(WithJitter(NoJitter()), retry, random) == ceiling));
    }
  }
}

// A broken exchange does not show whether the request ran. A POST that may have
// run must not run again.
BOOST_AUTO_TEST_CASE(a_broken_exchange_is_retried_for_idempotent_methods_only) {
  EndpointBehaviour behaviour;
  behaviour.broken_percent_ = 50;
  SmallFleet small(2, 1, 4, behaviour);
  VirtualFleet& fleet = small.fleet_;
  std::vector<RequestId> gets;
  std::vector<RequestId> posts;
  RequestSpec post;
  post.method_ = "POST";
  for (int i = 0; i < 20; ++i) {
    gets.push_back(fleet.SendRequest(0, {}));
    posts.push_back(fleet.SendRequest(0, post));
    fleet.RunFor(milliseconds(100));
  }
  fleet.RunFor(seconds(3));
  std::int64_t get_starts = 0;
  for (const RequestId& id : gets) get_starts += fleet.log().Starts(id);
  BOOST_TEST(get_starts > 20);
  for (const RequestId& id : posts) BOOST_TEST(fleet.log().Starts(id) <= 1);
  for (const std::string& error : fleet.log().violations()) BOOST_ERROR(error);
}

BOOST_AUTO_TEST_CASE(retries_stop_at_the_retry_budget) {
  EndpointBehaviour behaviour;
  behaviour.broken_percent_ = 100;
  SmallFleet small(3, 1, 8, behaviour);
  VirtualFleet& fleet = small.fleet_;
  for (int i = 0; i < 1000; ++i) {
    fleet.SendRequest(0, {});
    fleet.RunFor(milliseconds(10));
  }
  fleet.RunFor(seconds(3));
  const Counters& counters = fleet.entry(0).counters_;
  const std::int64_t retried = counters.Total(Counter::kAttemptsRetried);
  // One retry per ten first attempts, plus the burst accumulated before.
  BOOST_TEST(retried <= 1000 / 10 + 20);
  BOOST_TEST(counters.Total(Counter::kRetriesDenied) > 0);
}

BOOST_AUTO_TEST_CASE(no_retry_starts_past_the_deadline) {
  EndpointBehaviour behaviour;
  behaviour.broken_percent_ = 100;
  behaviour.exponential_ = false;
  behaviour.service_time_ = milliseconds(40);
  SmallFleet small(4, 1, 4, behaviour);
  VirtualFleet& fleet = small.fleet_;
  RequestSpec short_deadline;
  short_deadline.deadline_ = milliseconds(41);
  const RequestId id = fleet.SendRequest(0, short_deadline);
  fleet.RunFor(seconds(1));
  BOOST_TEST(fleet.log().Starts(id) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
