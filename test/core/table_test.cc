#include <boost/test/unit_test.hpp>
#include <string>

#include "tables/endpoint_table.h"
#include "tables/service_table.h"
#include "tables/task_table.h"

namespace quetzalline {
namespace {

Endpoint MakeEndpoint(int number, EndpointState state) {
  const Location location = Location::Builder().region(Region("r")).Build();
  return Endpoint::Builder()
      .announced(Announce::Builder()
                     .endpoint(EndpointId("e" + std::to_string(number)))
                     .service(ServiceName("s"))
                     .location(location)
                     .state(state)
                     .Build())
      .connection(ConnectionId(static_cast<std::uint64_t>(number)))
      .reachable(true)
      .Build();
}

PublishedService MakeService(const std::string& name, const std::string& prefix,
                             std::int64_t revision) {
  return PublishedService::Builder()
      .file(ServiceFile::Builder()
                .name(ServiceName(name))
                .route(Route::Builder().prefix(prefix).Build())
                .Build())
      .revision(revision)
      .Build();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(tables)

BOOST_AUTO_TEST_CASE(only_active_and_reachable_endpoints_are_routable) {
  EndpointTable table;
  for (int i = 0; i < 10; ++i) {
    table.Put(MakeEndpoint(i, EndpointState::kActive));
  }
  BOOST_TEST(table.Routable(ServiceName("s"), Region("r")).size() == 10U);
  table.Put(MakeEndpoint(3, EndpointState::kLeaving));
  const Endpoint gone =
      Endpoint::Builder(MakeEndpoint(4, EndpointState::kActive))
          .reachable(false)
          .Build();
  table.Put(gone);
  table.Erase(EndpointId("e5"));
  BOOST_TEST(table.Routable(ServiceName("s"), Region("r")).size() == 7U);
  BOOST_TEST(table.Active().size() == 7U);
  table.Put(MakeEndpoint(3, EndpointState::kActive));
  BOOST_TEST(table.Routable(ServiceName("s"), Region("r")).size() == 8U);
  BOOST_TEST((table.FindByConnection(ConnectionId(5)) == nullptr));
}

BOOST_AUTO_TEST_CASE(the_longest_prefix_wins_at_whole_segments) {
  ServiceTable table;
  table.Apply(MakeService("short", "/a", 1));
  table.Apply(MakeService("long", "/a/b", 2));
  BOOST_TEST((table.Match("", "/a/b/c")->file().name().value() == "long"));
  BOOST_TEST((table.Match("", "/a/bc")->file().name().value() == "short"));
  BOOST_TEST((table.Match("", "/ab") == nullptr));
}

BOOST_AUTO_TEST_CASE(a_lower_revision_is_never_applied) {
  ServiceTable table;
  BOOST_TEST(table.Apply(MakeService("s", "/new", 5)));
  BOOST_TEST(!table.Apply(MakeService("s", "/old", 4)));
  BOOST_TEST(!table.Apply(MakeService("s", "/same", 5)));
  BOOST_TEST((table.Match("", "/new") != nullptr));
}

BOOST_AUTO_TEST_CASE(resources_are_committed_once_and_released) {
  TaskTable table;
  const Task waiting =
      Task::Builder()
          .id(TaskId("t"))
          .job(JobId("j"))
          .work(TaskTemplate::Builder()
                    .needs(Resources::Builder().milli_cores(500).Build())
                    .Build())
          .Build();
  table.Put(waiting);
  BOOST_TEST(table.ready().size() == 1U);
  const EndpointId endpoint("e");
  const Task assigned =
      Task::Builder(waiting)
          .state(Assigned::Builder().attempt(1).endpoint(endpoint).Build())
          .Build();
  table.Put(assigned);
  table.Put(assigned);
  BOOST_TEST(table.CommittedTo(endpoint).milli_cores() == 500);
  BOOST_TEST(table.ready().empty());
  table.Put(Task::Builder(assigned).state(Finished()).Build());
  BOOST_TEST(table.CommittedTo(endpoint).milli_cores() == 0);
  BOOST_TEST(table.AssignedTo(endpoint).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
