#include "programs/agent_process.h"

#include "adapters/metrics_text.h"
#include "adapters/socket_address.h"
#include "core/overloaded.h"
#include "programs/log_state_change.h"
#include "wire/dump_tables.h"
#include "wire/message_codec.h"

namespace quetzalline {
AgentProcess::AgentProcess(boost::asio::io_context& io,
                           const AgentSettings& settings, WorkerAdapter worker,
                           std::uint64_t seed)
    : settings_(settings),
      worker_(std::move(worker)),
      endpoint_(io, *ParseSocketAddress(settings.endpoint()),
                [this](const CallEnded& ended) { loop_.Post(ended); }),
      peers_(MakeFrameEvents()),
      operator_api_("", MakeOperatorEvents()),
      operator_server_(
          io, HttpLimits(),
          [this](const HttpExchange& e) { operator_api_.Handle(e); },
          [this] { adapter_counters_.Add(Counter::kBadInputs); }),
      loop_(io, AgentNode(settings.policy(), seed),
            [this](const AgentEffect& effect) { Perform(effect); }) {
  for (const std::string& entry : settings.entries()) {
    dialers_.push_back(std::make_unique<FrameDialer>(
        io, peers_, *ParseSocketAddress(entry), seed + dialers_.size()));
  }
}

bool AgentProcess::Start() {
  if (!operator_server_.Listen(*ParseSocketAddress(settings_.operators()))) {
    return false;
  }
  worker_.Start([this](const WorkerTaskFound& found) { loop_.Post(found); },
                [this] { loop_.Post(WorkerTasksListed()); },
                [this](const WorkerTaskEvent& news) { loop_.Post(news); });
  for (const auto& dialer : dialers_) dialer->Start();
  loop_.Schedule();
  return true;
}

void AgentProcess::Stop() { loop_.Post(StopRequested()); }

FrameEvents AgentProcess::MakeFrameEvents() {
  return {
      [this](ConnectionId id) {
        loop_.Post(ConnectionOpened::Builder().connection(id).Build());
      },
      [this](ConnectionId id) {
        loop_.Post(ConnectionClosed::Builder().connection(id).Build());
      },
      [this](ConnectionId id, std::string_view payload) {
        return ReceiveEntryMessage(id, payload);
      },
  };
}

OperatorApi::Events AgentProcess::MakeOperatorEvents() {
  return {
      {},
      [this] { return DumpTables(tables(), ReadClock()); },
      [this] {
        Counters all = tables().counters_;
        all.Merge(adapter_counters_);
        return MetricsText(all);
      },
      [this] { return tables().stage_.state() == EndpointState::kActive; },
      [this](Reason reason) {
        adapter_counters_.Add(Counter::kBadInputs, reason);
      },
  };
}

bool AgentProcess::ReceiveEntryMessage(ConnectionId connection,
                                       std::string_view payload) {
  const std::optional<EntryMessage> message = DecodeEntryMessage(payload);
  if (!message) {
    adapter_counters_.Add(Counter::kBadInputs);
    return false;
  }
  loop_.Post(EntryMessageReceived::Builder()
                 .connection(connection)
                 .message(*message)
                 .Build());
  return true;
}

void AgentProcess::Perform(const AgentEffect& effect) {
  const Overloaded perform{
      [&](const SendToEntry& e) {
        peers_.Send(e.connection(), EncodeMessage(e.message()));
      },
      [&](const CloseConnection& e) { peers_.Close(e.connection()); },
      [&](const CallEndpoint& e) { endpoint_.Perform(e); },
      [&](const AbandonCall& e) { endpoint_.Perform(e); },
      [&](const StartWork& e) { worker_.Perform(e); },
      [&](const RenewWork& e) { worker_.Perform(e); },
      [&](const StopWork& e) { worker_.Perform(e); },
      [&](const LogChange& e) {
        LogStateChange(settings_.policy().endpoint().value(), e);
      },
      [&](const ProcessFinished&) { Finish(); },
  };
  std::visit(perform, effect);
}

void AgentProcess::Finish() {
  operator_server_.StopListening();
  for (const auto& dialer : dialers_) dialer->Stop();
  peers_.CloseAll();
  if (on_finished_) on_finished_();
}

}  // namespace quetzalline
