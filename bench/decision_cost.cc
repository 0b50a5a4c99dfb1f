// Measures the processor time of an entry's decisions for one request (routing
// it, sending an attempt and handling the answer) by the number of endpoints.
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "systems/entry/entry_node.h"

namespace quetzalline {
namespace {

constexpr int kRequests = 200000;

Location LocalZone() {
  return Location::Builder()
      .region(Region("home"))
      .zone(AvailabilityZone("zone"))
      .Build();
}

EntryInput MakeAnnounce(int number) {
  const Announce announce =
      Announce::Builder()
          .endpoint(EndpointId("executor-" + std::to_string(number)))
          .service(ServiceName("quotes"))
          .incarnation(1)
          .sequence(1)
          .location(LocalZone())
          .slots(8)
          .load(LoadReport::Builder()
                    .limit(8)
                    .service_time(std::chrono::milliseconds(5))
                    .Build())
          .Build();
  return AgentMessageReceived::Builder()
      .connection(ConnectionId(static_cast<std::uint64_t>(number + 1)))
      .message(announce)
      .Build();
}

EntryInput MakeConfiguration() {
  const ServiceFile file = ServiceFile::Builder()
                               .name(ServiceName("quotes"))
                               .route(Route::Builder()
                                          .prefix("/q")
                                          .deadline(std::chrono::seconds(2))
                                          .Build())
                               .Build();
  const StoreRecord record = PublishedService::Builder().file(file).Build();
  const StoreItem item =
      StoreItem::Builder().key("k").record(record).index(1).Build();
  return StoreAnswer::Builder()
      .ticket(1)
      .result(StoreValues::Builder().index(1).items({item}).Build())
      .Build();
}

EntryInput MakeRequest(std::uint64_t sequence) {
  return CallerRequest::Builder()
      .id(RequestId::Builder().origin(1).sequence(sequence).Build())
      .request(
          HttpRequest::Builder()
              .method("GET")
              .target("/q/fryer-204")
              .headers(
                  {Header::Builder().name("User-Agent").value("bench").Build()})
              .Build())
      .Build();
}

EntryInput MakeAnswer(const SendToAgent& sent, const Submit& submit) {
  const Done done = Done::Builder()
                        .response(HttpResponse::Builder().status(200).Build())
                        .Build();
  const Answer answer =
      Answer::Builder()
          .attempt(submit.attempt())
          .outcome(done)
          .load(LoadReport::Builder()
                    .limit(8)
                    .service_time(std::chrono::milliseconds(5))
                    .Build())
          .Build();
  return AgentMessageReceived::Builder()
      .connection(sent.connection())
      .message(answer)
      .Build();
}

// Returns an answer to each attempt that the effects send.
std::vector<EntryInput> AnswersTo(const std::vector<EntryEffect>& effects) {
  std::vector<EntryInput> answers;
  for (const EntryEffect& effect : effects) {
    const auto* sent = std::get_if<SendToAgent>(&effect);
    if (sent == nullptr) continue;
    const auto* submit = std::get_if<Submit>(&sent->message());
    if (submit != nullptr) answers.push_back(MakeAnswer(*sent, *submit));
  }
  return answers;
}

void Measure(int endpoints, int batch) {
  const EntryPolicy policy = EntryPolicy::Builder()
                                 .entry(EntryId("entry"))
                                 .location(LocalZone())
                                 .cell("")
                                 .endpoint_lapse(std::chrono::hours(1))
                                 .Build();
  EntryNode node(policy, 1);
  node.RunTick(Instant{}, {});
  std::vector<EntryInput> setup{MakeConfiguration()};
  for (int i = 0; i < endpoints; ++i) setup.push_back(MakeAnnounce(i));
  node.RunTick(Instant{}, setup);
  std::vector<std::vector<EntryInput>> batches;
  std::uint64_t sequence = 0;
  for (int i = 0; i < kRequests / batch; ++i) {
    batches.emplace_back();
    for (int j = 0; j < batch; ++j) {
      batches.back().push_back(MakeRequest(++sequence));
    }
  }
  Instant now{};
  std::chrono::nanoseconds spent{};
  std::int64_t answered = 0;
  for (const std::vector<EntryInput>& requests : batches) {
    now += std::chrono::microseconds(10);
    const auto start = std::chrono::steady_clock::now();
    const std::vector<EntryEffect> effects = node.RunTick(now, requests);
    const auto routed = std::chrono::steady_clock::now();
    const std::vector<EntryInput> answers = AnswersTo(effects);
    answered += static_cast<std::int64_t>(answers.size());
    const auto answer_start = std::chrono::steady_clock::now();
    node.RunTick(now, answers);
    spent +=
        (routed - start) + (std::chrono::steady_clock::now() - answer_start);
  }
  std::printf(
      "endpoints %5d  requests a tick %3d  answered %lld  %.0f ns\n", endpoints,
      batch, static_cast<long long>(answered),
      static_cast<double>(spent.count()) / static_cast<double>(answered));
}

}  // namespace
}  // namespace quetzalline

int main() {
  for (const int endpoints : {11, 110, 1100, 2600}) {
    for (const int batch : {1, 32}) quetzalline::Measure(endpoints, batch);
  }
  return 0;
}
