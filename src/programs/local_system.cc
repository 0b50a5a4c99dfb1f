#include "programs/local_system.h"

#include <boost/asio/post.hpp>

#include "adapters/socket_address.h"
#include "programs/process_identity.h"

namespace quetzalline {
namespace {

// Tasks run this many times faster than declared: an hour takes one second.
constexpr std::int64_t kWorkerSpeedup = 3600;
constexpr std::int64_t kCores = 64;
constexpr std::int64_t kMilliPerCore = 1000;
constexpr std::int64_t kMemoryMib = 250 * 1000;
constexpr Duration kServiceTime = std::chrono::milliseconds(5);
constexpr std::uint16_t kPortsPerEntry = 3;

std::string Loopback(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

LocalSystem::LocalSystem(const LocalLayout& layout)
    : layout_(layout),
      work_guard_(boost::asio::make_work_guard(io_)),
      store_(std::make_shared<SharedStore>(io_)) {}

LocalSystem::~LocalSystem() {
  io_.stop();
  if (thread_.joinable()) thread_.join();
}

bool LocalSystem::Start() {
  if (!StartEntries() || !StartInstances()) return false;
  thread_ = std::thread([this] { io_.run(); });
  return true;
}

bool LocalSystem::StartEntries() {
  std::uint16_t port = layout_.first_port_;
  const auto next_address = [&] { return Loopback(port == 0 ? 0 : port++); };
  for (const LocalInstance& instance : layout_.entries_) {
    const EntrySettings settings =
        EntrySettings::Builder()
            .policy(EntryPolicy::Builder()
                        .entry(EntryId(instance.name_))
                        .incarnation(GenerateIncarnation())
                        .location(instance.location_)
                        .Build())
            .callers(next_address())
            .operators(next_address())
            .agents(next_address())
            .token(layout_.token_)
            .Build();
    entries_.push_back(std::make_unique<EntryProcess>(
        io_, settings, StoreAdapter(LocalStore(store_)), GenerateSeed()));
    if (!entries_.back()->Start()) return false;
  }
  return true;
}

bool LocalSystem::StartInstances() {
  std::size_t index = 0;
  for (const LocalInstance& instance : layout_.instances_) {
    if (!StartInstance(instance, index++)) return false;
  }
  return true;
}

bool LocalSystem::StartInstance(const LocalInstance& instance,
                                std::size_t index) {
  endpoints_.push_back(std::make_unique<ExampleEndpoint>(
      io_, ExampleEndpointOptions{kServiceTime, instance.name_}));
  if (!endpoints_.back()->Start(*ParseSocketAddress(Loopback(0)))) return false;
  std::vector<std::string> entries;
  for (const auto& entry : entries_) {
    entries.push_back(Loopback(entry->agent_port()));
  }
  const auto offset = static_cast<std::uint16_t>(
      layout_.entries_.size() * kPortsPerEntry + index);
  const std::uint16_t operators = layout_.first_port_ == 0
                                      ? std::uint16_t{0}
                                      : layout_.first_port_ + offset;
  const AgentSettings settings =
      AgentSettings::Builder()
          .policy(AgentPolicy::Builder()
                      .endpoint(EndpointId(instance.name_))
                      .service(layout_.service_)
                      .incarnation(GenerateIncarnation())
                      .location(instance.location_)
                      .capacity(Resources::Builder()
                                    .milli_cores(kCores * kMilliPerCore)
                                    .memory_mib(kMemoryMib)
                                    .Build())
                      .Build())
          .entries(entries)
          .endpoint(Loopback(endpoints_.back()->port()))
          .operators(Loopback(operators))
          .Build();
  agents_.push_back(std::make_unique<AgentProcess>(
      io_, settings,
      WorkerAdapter(
          LocalWorker(io_, std::make_shared<MemoryWorker>(kWorkerSpeedup))),
      GenerateSeed()));
  return agents_.back()->Start();
}

std::string LocalSystem::CallerUrl(std::size_t entry) const {
  return "http://" + Loopback(entries_[entry]->caller_port());
}

std::string LocalSystem::OperatorUrl(std::size_t entry) const {
  return "http://" + Loopback(entries_[entry]->operator_port());
}

std::string LocalSystem::AgentUrl(std::size_t agent) const {
  return "http://" + Loopback(agents_[agent]->operator_port());
}

}  // namespace quetzalline
