#include <boost/test/unit_test.hpp>
#include <string>

#include "support/fleet_fixtures.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

PublishService Publication(const std::string& author,
                           std::optional<std::int64_t> expected) {
  return PublishService::Builder()
      .file(QuoteService())
      .author(author)
      .publication(author + "-1")
      .expected(expected)
      .Build();
}

std::int64_t ActiveRevision(const VirtualFleet& fleet, std::size_t entry) {
  const PublishedService* service =
      fleet.entry(entry).services_.Find(ServiceName("quotes"));
  return service == nullptr ? 0 : service->revision();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(publications)

BOOST_AUTO_TEST_CASE(a_publication_takes_effect_everywhere_within_seconds) {
  SmallFleet small(1, 3, 6);
  VirtualFleet& fleet = small.fleet_;
  const std::uint64_t command = fleet.Command(0, Publication("anna", {}));
  fleet.RunFor(seconds(5));
  const auto& published = std::get<Published>(*fleet.Result(command));
  for (std::size_t i = 0; i < 3; ++i) {
    BOOST_TEST(ActiveRevision(fleet, i) == published.revision());
  }
  for (std::size_t i = 0; i < 6; ++i) {
    BOOST_TEST(fleet.agent(i).services_.revision() >= published.revision());
  }
}

BOOST_AUTO_TEST_CASE(
    of_two_concurrent_publications_one_wins_and_one_conflicts) {
  SmallFleet small(2, 2, 1);
  VirtualFleet& fleet = small.fleet_;
  const std::int64_t base_revision = ActiveRevision(fleet, 0);
  const std::uint64_t anna =
      fleet.Command(0, Publication("anna", base_revision));
  const std::uint64_t ben = fleet.Command(1, Publication("ben", base_revision));
  fleet.RunFor(seconds(2));
  const bool anna_won = std::holds_alternative<Published>(*fleet.Result(anna));
  const CommandResult& loser = *fleet.Result(anna_won ? ben : anna);
  const auto& conflict = std::get<PublishConflict>(loser);
  BOOST_TEST(conflict.winner().author() == (anna_won ? "anna" : "ben"));
  BOOST_TEST(conflict.winner().revision() == ActiveRevision(fleet, 0));
}

BOOST_AUTO_TEST_CASE(a_write_whose_response_was_lost_is_recognized) {
  int accepted = 0;
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    SmallFleet small(seed, 1, 1);
    VirtualFleet& fleet = small.fleet_;
    fleet.store().SetLostPercent(100);
    const std::uint64_t command = fleet.Command(0, Publication("anna", {}));
    fleet.RunFor(milliseconds(100));
    fleet.store().SetLostPercent(0);
    fleet.RunFor(minutes(1));
    const CommandResult& result = *fleet.Result(command);
    if (std::holds_alternative<Published>(result)) ++accepted;
    const PublishedService* service =
        fleet.entry(0).services_.Find(ServiceName("quotes"));
    BOOST_TEST(service->author() == "anna");
  }
  BOOST_TEST(accepted == 40);
}

BOOST_AUTO_TEST_CASE(the_configuration_stays_active_through_a_store_outage) {
  SmallFleet small(3, 2, 2);
  VirtualFleet& fleet = small.fleet_;
  const std::int64_t before = ActiveRevision(fleet, 0);
  fleet.store().SetDown(true);
  const std::uint64_t command = fleet.Command(0, Publication("anna", {}));
  fleet.RunFor(minutes(10));
  BOOST_TEST(std::holds_alternative<CommandUnknown>(*fleet.Result(command)));
  BOOST_TEST(ActiveRevision(fleet, 0) == before);
  const RequestId id = fleet.SendRequest(0, {});
  fleet.RunFor(seconds(2));
  BOOST_TEST(std::holds_alternative<Done>(*fleet.Answer(id)));
  fleet.store().SetDown(false);
  fleet.RunFor(seconds(5));
  const std::uint64_t again = fleet.Command(0, Publication("anna", {}));
  fleet.RunFor(seconds(5));
  BOOST_TEST(std::holds_alternative<Published>(*fleet.Result(again)));
  BOOST_TEST(ActiveRevision(fleet, 1) > before);
}

BOOST_AUTO_TEST_CASE(no_process_goes_back_to_an_older_revision) {
  SmallFleet small(4, 2, 3);
  VirtualFleet& fleet = small.fleet_;
  std::vector<std::int64_t> highest(3, 0);
  for (int round = 0; round < 20; ++round) {
    fleet.Command(0, PublishService::Builder(Publication("anna", {}))
                         .publication("p" + std::to_string(round))
                         .Build());
    const auto agent = static_cast<std::size_t>(round % 3);
    fleet.SetPartitioned(0, agent, round % 2 == 0);
    fleet.RunFor(seconds(2));
    for (std::size_t i = 0; i < 3; ++i) {
      const std::int64_t revision = fleet.agent(i).services_.revision();
      BOOST_TEST(revision >= highest[i]);
      highest[i] = revision;
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
