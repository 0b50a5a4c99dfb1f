#include "programs/entry_process.h"

#include "adapters/metrics_text.h"
#include "adapters/socket_address.h"
#include "core/overloaded.h"
#include "programs/log_state_change.h"
#include "wire/dump_tables.h"
#include "wire/message_codec.h"

namespace quetzalline {
EntryProcess::EntryProcess(boost::asio::io_context& io,
                           const EntrySettings& settings, StoreAdapter store,
                           std::uint64_t seed)
    : settings_(settings),
      store_(std::move(store)),
      peers_(MakeFrameEvents()),
      frame_server_(io, peers_),
      caller_http_(settings.policy().incarnation(), MakeCallerEvents()),
      operator_api_(settings.token(), MakeOperatorEvents()),
      caller_server_(
          io, HttpLimits(),
          [this](const HttpExchange& e) { caller_http_.Handle(e); },
          [this] { adapter_counters_.Add(Counter::kBadInputs); }),
      operator_server_(
          io, HttpLimits(),
          [this](const HttpExchange& e) { operator_api_.Handle(e); },
          [this] { adapter_counters_.Add(Counter::kBadInputs); }),
      io_(io),
      seed_(seed) {}

bool EntryProcess::Start() {
  if (!Listen()) return false;
  loop_ = std::make_unique<NodeLoop<EntryNode>>(
      io_, EntryNode(PolicyWithOperatorUrl(), seed_),
      [this](const EntryEffect& effect) { Perform(effect); });
  store_.SetOnAnswer(
      [this](const StoreAnswer& answer) { loop_->Post(answer); });
  loop_->Schedule();
  return true;
}

bool EntryProcess::Listen() {
  return frame_server_.Listen(*ParseSocketAddress(settings_.agents())) &&
         caller_server_.Listen(*ParseSocketAddress(settings_.callers())) &&
         operator_server_.Listen(*ParseSocketAddress(settings_.operators()));
}

// Advertises the address of the operators' listener if the settings have no
// operator_url.
EntryPolicy EntryProcess::PolicyWithOperatorUrl() const {
  const EntryPolicy& policy = settings_.policy();
  if (!policy.operator_url().empty()) return policy;
  const std::string& listener = settings_.operators();
  const std::string host = listener.substr(0, listener.rfind(':'));
  return EntryPolicy::Builder(policy)
      .operator_url("http://" + host + ":" +
                    std::to_string(operator_server_.port()))
      .Build();
}

void EntryProcess::Stop() { loop_->Post(StopRequested()); }

FrameEvents EntryProcess::MakeFrameEvents() {
  return {
      [this](ConnectionId id) {
        loop_->Post(ConnectionOpened::Builder().connection(id).Build());
      },
      [this](ConnectionId id) {
        loop_->Post(ConnectionClosed::Builder().connection(id).Build());
      },
      [this](ConnectionId id, std::string_view payload) {
        return ReceiveAgentMessage(id, payload);
      },
  };
}

CallerHttp::Events EntryProcess::MakeCallerEvents() {
  return {
      [this](const CallerRequest& request) { loop_->Post(request); },
      [this](const RequestId& id) {
        loop_->Post(CallerDisconnected::Builder().id(id).Build());
      },
      [this] { return !tables().stage_.leaving(); },
  };
}

OperatorApi::Events EntryProcess::MakeOperatorEvents() {
  return {
      [this](const OperatorCommand& command) { loop_->Post(command); },
      [this] { return DumpTables(tables(), ReadClock()); },
      [this] { return Metrics(); },
      [this] { return !tables().stage_.leaving(); },
      [this](Reason reason) {
        adapter_counters_.Add(Counter::kBadInputs, reason);
      },
  };
}

bool EntryProcess::ReceiveAgentMessage(ConnectionId connection,
                                       std::string_view payload) {
  const std::optional<AgentMessage> message = DecodeAgentMessage(payload);
  if (!message) {
    adapter_counters_.Add(Counter::kBadInputs);
    return false;
  }
  loop_->Post(AgentMessageReceived::Builder()
                  .connection(connection)
                  .message(*message)
                  .Build());
  return true;
}

void EntryProcess::Perform(const EntryEffect& effect) {
  const Overloaded perform{
      [&](const SendToAgent& e) {
        peers_.Send(e.connection(), EncodeMessage(e.message()));
      },
      [&](const CloseConnection& e) { peers_.Close(e.connection()); },
      [&](const AnswerCaller& e) { caller_http_.Answer(e); },
      [&](const AnswerOperator& e) { operator_api_.Answer(e); },
      [&](const StoreRead& e) { store_.Perform(e); },
      [&](const StoreWatch& e) { store_.Perform(e); },
      [&](const StoreWrite& e) { store_.Perform(e); },
      [&](const LogChange& e) {
        LogStateChange(settings_.policy().entry().value(), e);
      },
      [&](const ProcessFinished&) { Finish(); },
  };
  std::visit(perform, effect);
}

void EntryProcess::Finish() {
  caller_server_.StopListening();
  operator_server_.StopListening();
  frame_server_.Stop();
  peers_.CloseAll();
  if (on_finished_) on_finished_();
}

std::string EntryProcess::Metrics() const {
  Counters all = tables().counters_;
  all.Merge(adapter_counters_);
  std::string text = MetricsText(all);
  caller_http_.latency().AppendText("quetzalline_request_seconds", text);
  return text;
}

}  // namespace quetzalline
