// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "steps.h"

namespace poppyway {
namespace {

using impl::Find;

// Timer intervals with and without queued or held requests.
constexpr std::uint64_t kBusyTickMillis = 10;
constexpr std::uint64_t kIdleTickMillis = 50;
// Interval between checks for disconnected callers, whose work must stop within 0.5 s.
constexpr Duration kCallerPollInterval{100'000};
constexpr std::uint64_t kCallerIdleMillis = 120'000;
constexpr std::size_t kMaxBody = 16 << 20;
// A planned shutdown ends this long before its timeout.
constexpr Duration kShutdownMargin{500'000};
constexpr Duration kLastAnswersTime{100'000};  // This lets the answers at the end arrive.
constexpr Duration kMinShutdown{3'000'000};    // The balancer needs time for two readiness checks.

/// An object in the request's memory pool whose destructor callback reports that the library
/// disposes of the request.
struct DisposalHook {
  ForwarderState* m_state;
  ForwardingRef m_ref;
};

void OnHookDisposed(void* data) {
  auto* hook = static_cast<DisposalHook*>(data);
  impl::OnDisposed(*hook->m_state, hook->m_ref);
}

void ReadRequest(const ForwarderState& state, Forwarding& forwarding, const h2o_req_t* req) {
  forwarding.m_method.assign(req->method.base, req->method.len);
  forwarding.m_target.assign(req->path.base, req->path.len);
  forwarding.m_host.assign(req->authority.base, req->authority.len);
  forwarding.m_body.assign(req->entity.base, req->entity.len);
  std::vector<Field> fields;
  fields.reserve(req->headers.size);
  for (std::size_t i = 0; i < req->headers.size; ++i) {
    const h2o_header_t& field = req->headers.entries[i];
    fields.push_back({std::string(field.name->base, field.name->len),
                      std::string(field.value.base, field.value.len)});
  }
  forwarding.m_request = state.m_adapter.m_decode_request(std::move(fields));
}

/// Ends requests whose callers have disconnected.
void PollCallers(ForwarderState& state) {
  std::vector<ForwardingRef> refs;
  std::vector<h2o_req_t*> requests;
  for (const auto& [ref, forwarding] : state.m_forwardings) {
    const bool open =
        forwarding->m_stage != ForwardingStage::kDone && forwarding->m_caller.m_req != nullptr;
    if (!open)
      continue;
    refs.push_back(ref);
    requests.push_back(forwarding->m_caller.m_req);
  }
  if (requests.empty())
    return;
  const std::vector<bool> left = CallersDisconnected(requests);
  for (std::size_t i = 0; i < refs.size(); ++i) {
    Forwarding* forwarding = left[i] ? Find(state, refs[i]) : nullptr;
    if (forwarding == nullptr)
      continue;
    const std::string pool = forwarding->m_pool == nullptr ? "" : forwarding->m_pool->m_name;
    // The library still holds the request; a response closes the connection.
    impl::Refuse(state, *forwarding, ResultCode::kCallerGone, "the caller closed its connection");
    if (!pool.empty())
      impl::ServeQueue(state, pool);
  }
}

/// Ends calls that have passed their deadline, whatever their servers do.
void EndOverdue(ForwarderState& state, Instant now) {
  std::vector<ForwardingRef> overdue;
  for (const auto& [ref, forwarding] : state.m_forwardings) {
    const bool called = forwarding->m_stage == ForwardingStage::kCalling ||
                        forwarding->m_stage == ForwardingStage::kRelaying;
    if (called && now >= forwarding->m_deadline)
      overdue.push_back(ref);
  }
  for (const ForwardingRef ref : overdue) {
    Forwarding& forwarding = *Find(state, ref);
    const std::string pool = forwarding.m_pool->m_name;
    impl::Refuse(state, forwarding,
                 forwarding.m_possible_runs > 0 ? ResultCode::kDeadlinePassed
                                                : ResultCode::kDeadlineUnreachable,
                 "the deadline passed");
    impl::ServeQueue(state, pool);
  }
}

/// Answers all requests that the end of the shutdown would cut without an answer.
void AnswerUnfinished(ForwarderState& state) {
  std::vector<ForwardingRef> unanswered;
  for (const auto& [ref, forwarding] : state.m_forwardings) {
    if (forwarding->m_stage != ForwardingStage::kDone && !forwarding->m_caller.m_started)
      unanswered.push_back(ref);
  }
  for (const ForwardingRef ref : unanswered) {
    Forwarding& forwarding = *Find(state, ref);
    impl::Refuse(
        state, forwarding,
        forwarding.m_possible_runs > 0 ? ResultCode::kOutcomeUnknown : ResultCode::kStopping,
        "the instance stops");
  }
}

bool IsReady(const ForwarderState& state, Instant now) {
  return state.m_table != nullptr && !state.m_stopping && now < state.m_confirmed_until;
}

struct MessageHandler {
  ForwarderState& m_state;

  void operator()(const NewDocument& message) const {
    const wire::Document& document = *message.m_document;
    if (m_state.m_table && document.version <= m_state.m_table->m_version)
      return;
    const Instant begun = ReadClock();
    Result<RouteTable> table = m_state.m_adapter.m_decode_document(document.version, document.body);
    if (!table) {
      POPPYWAY_LOG(error, "configuration_unusable")
          .Field("version", document.version)
          .Field("why", table.error().m_message);
      return;
    }
    m_state.m_table = std::make_shared<const RouteTable>(std::move(*table));
    m_state.m_routes.Clear();
    m_state.m_workspaces.Clear();
    m_state.m_table_pools.Clear();
    POPPYWAY_LOG(info, "configuration_in_force")
        .Field("version", document.version)
        .Field("routes", m_state.m_table->m_routes.size())
        .Field("bytes", document.body.size())
        .Field("took_ms", (ReadClock() - begun).count() / 1000)
        .Field("workspaces", m_state.m_table->m_workspaces.size());
    impl::RefreshHomeRegions(m_state);
    impl::ServeHeld(m_state);
  }
  void operator()(const ServersChanged& message) const {
    impl::UpdateServers(m_state, message.m_servers);
    impl::EndLostCalls(m_state, ReadClock());
  }
  void operator()(const EvacuationsChanged& message) const {
    impl::HandleEvacuations(m_state, message.m_evacuations);
  }
  void operator()(const ConfirmedUntil& message) const {
    if (message.m_until <= ReadClock())
      return;  // It expired before it arrived, so it doesn't show that there is a leader now.
    m_state.m_confirmed_until = std::max(m_state.m_confirmed_until, message.m_until);
    impl::ServeHeld(m_state);
  }
  void operator()(const LiveInstanceCount& message) const {
    m_state.m_instances = CountInstances(m_state.m_instances, message.m_instances,
                                         m_state.m_settings.m_max_config_staleness, ReadClock());
  }
  void operator()(const BrokerConnected& message) const { impl::OnBrokerFound(m_state, message); }
  void operator()(const BrokerDisconnected& /*message*/) const {
    impl::OnBrokerLost(m_state, "connection_lost");
  }
  void operator()(const SlotResponses& message) const {
    impl::HandleSlotResponses(m_state, message);
  }
  void operator()(const QuarantineChanged& message) const {
    impl::HandleQuarantine(m_state, message);
  }
  void operator()(const CrashReported& message) const {
    impl::HandleCrashReported(m_state, message);
  }
  void operator()(const HelpersChanged& message) const {
    SetHelpers(m_state.m_helpers, message.m_helpers);
  }
};

}  // namespace

Instant impl::ShutdownEnd(const ForwarderState& state) noexcept {
  return state.m_shutdown_started + state.m_settings.m_shutdown_timeout - kShutdownMargin;
}

Instant impl::EarliestShutdown(const ForwarderState& state) noexcept {
  return state.m_shutdown_started - state.m_signal_delay;
}

Forwarder::Forwarder(EventLoop& loop, const ForwarderSettings& settings, ProtocolAdapter adapter)
    : m_loop(loop) {
  m_state.m_settings = settings;
  m_state.m_adapter = std::move(adapter);
  m_state.m_held.m_budget = settings.m_held_bytes_budget;
  m_state.m_random.seed(Hash(settings.m_instance) ^
                        static_cast<std::uint64_t>(ReadClock().time_since_epoch().count()));
  m_state.m_connections = std::make_unique<BackendPool>(loop);
  m_caller_server = std::make_unique<HttpServer>(loop, HttpLimits{kMaxBody, kCallerIdleMillis},
                                                 [this](h2o_req_t* req) { OnRequest(req); });
  impl::WatchArrivingRequests(m_state, *m_caller_server);
  m_readiness_server = std::make_unique<HttpServer>(loop, HttpLimits{},
                                                    [this](h2o_req_t* req) { OnReadiness(req); });
  m_metrics_server =
      std::make_unique<HttpServer>(loop, HttpLimits{}, [this](h2o_req_t* req) { OnMetrics(req); });
  m_relay = std::make_unique<PeerRelay>(loop, m_state);
  m_tick = std::make_unique<RepeatingTimer>(loop, kBusyTickMillis, kIdleTickMillis,
                                            [this] { return Tick(); });
}

Forwarder::~Forwarder() {
  for (auto& [ref, forwarding] : m_state.m_forwardings)
    impl::EndCall(m_state, *forwarding);
  m_state.m_path_checks.clear();
  m_state.m_restoring.reset();
  m_state.m_retired_probes.clear();
  m_state.m_retired.clear();
}

Result<void> Forwarder::Listen() {
  const ForwarderSettings& settings = m_state.m_settings;
  const std::pair<HttpServer*, const Endpoint*> listeners[] = {
      {m_caller_server.get(), &settings.m_caller_endpoint},
      {m_readiness_server.get(), &settings.m_readiness_endpoint},
      {m_metrics_server.get(), &settings.m_metrics_endpoint}};
  for (const auto& [server, endpoint] : listeners) {
    if (endpoint->m_port == 0)
      continue;
    if (Result<void> listening = server->Listen(endpoint->m_address, endpoint->m_port); !listening)
      return listening;
  }
  if (settings.m_relay_endpoint.m_port == 0)
    return {};
  return m_relay->Listen(settings.m_relay_endpoint);
}

void Forwarder::HandleMessage(ForwarderMessage message) {
  std::visit(MessageHandler{m_state}, message);
}

void Forwarder::BeginShutdown(Instant signalled) {
  if (m_state.m_stopping)
    return;
  m_state.m_stopping = true;
  m_state.m_shutdown_started = signalled;
  if (m_last_tick != Instant{})
    m_state.m_signal_delay = std::max(Duration(0), signalled - m_last_tick);
  POPPYWAY_LOG(info, "stop_begun")
      .Field("in_progress", m_state.m_forwardings.size())
      .Field("signalled_ms", (ReadClock() - signalled).count() / 1000)
      .Field("signal_delay_ms", m_state.m_signal_delay.count() / 1000);
}

bool Forwarder::ShutdownComplete() const {
  if (!m_state.m_stopping)
    return false;
  const Duration since = ReadClock() - m_state.m_shutdown_started;
  const bool idle =
      since >= kMinShutdown && m_state.m_forwardings.empty() && m_relay->in_progress() == 0;
  return idle || ReadClock() >= impl::ShutdownEnd(m_state) + kLastAnswersTime;
}

bool Forwarder::ReachesServers() const noexcept {
  return impl::ReachesServers(m_state);
}

bool Forwarder::MayHelp() const noexcept {
  return !m_state.m_stopping && ReachesServers();
}

void Forwarder::OnRequest(h2o_req_t* req) {
  const ForwardingRef ref = m_state.m_next_ref++;
  auto owned = std::make_unique<Forwarding>();
  Forwarding& forwarding = *owned;
  m_state.m_forwardings.emplace(ref, std::move(owned));
  forwarding.m_ref = ref;
  forwarding.m_arrived = ReadClock();
  forwarding.m_deadline = forwarding.m_arrived;
  forwarding.m_caller.m_req = req;
  ReadRequest(m_state, forwarding, req);
  impl::CountHeldBytes(m_state, forwarding);
  auto* hook = static_cast<DisposalHook*>(
      h2o_mem_alloc_shared(&req->pool, sizeof(DisposalHook), &OnHookDisposed));
  *hook = {&m_state, ref};
  if (impl::IsUnconfigured(m_state))
    impl::HoldUntilConfigured(m_state, forwarding);
  else
    impl::RunChain(m_state, forwarding);
}

void Forwarder::OnReadiness(h2o_req_t* req) {
  const bool ready = IsReady(m_state, ReadClock());
  SendResponse(req, ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
}

void Forwarder::OnMetrics(h2o_req_t* req) {
  m_state.m_metrics.Set("poppyway_forward_in_progress", "",
                        static_cast<double>(m_state.m_forwardings.size()));
  m_state.m_metrics.Set("poppyway_forward_held_bytes", "",
                        static_cast<double>(m_state.m_held.m_total));
  m_state.m_metrics.Set("poppyway_forward_connections_opened", "",
                        static_cast<double>(m_state.m_connections->opened()));
  m_state.m_metrics.Set("poppyway_forward_relayed", "",
                        static_cast<double>(m_relay->in_progress()));
  impl::CountEvacuated(m_state);
  MetricSet more;
  if (m_extra_metrics)
    m_extra_metrics(more);
  SendResponse(req, 200, "text/plain; version=0.0.4", m_state.m_metrics.Text() + more.Text());
}

bool Forwarder::Tick() {
  const Instant now = ReadClock();
  m_last_tick = now;
  m_state.m_retired.clear();
  for (const ForwardingRef ref : m_state.m_finished)
    impl::EraseForwarding(m_state, ref);
  m_state.m_finished.clear();
  impl::ResumeReading(m_state);
  const bool arriving = impl::LimitArrivingRequests(m_state, *m_caller_server);
  m_relay->Tick(now);
  impl::CheckBroker(m_state, now);
  impl::TickPaths(m_state, now);
  impl::ExpireHeld(m_state, now);
  impl::ExpireWaiting(m_state, now);
  impl::LeaveLostDataCentres(m_state, now);
  EndOverdue(m_state, now);
  if (m_state.m_stopping && now >= impl::ShutdownEnd(m_state))
    AnswerUnfinished(m_state);
  impl::EndLostCalls(m_state, now);
  impl::ExpireCrashes(m_state, now);
  impl::ForgetEndedStreams(m_state, now);
  impl::RefreshOrigins(m_state, now);
  if (now - m_state.m_callers_polled >= kCallerPollInterval) {
    m_state.m_callers_polled = now;
    PollCallers(m_state);
    m_caller_server->Refresh();
  }
  impl::FlushToBroker(m_state);
  const bool ready = IsReady(m_state, now);
  if (ready != m_state.m_ready_logged) {
    m_state.m_ready_logged = ready;
    POPPYWAY_LOG(info, "readiness")
        .Field("ready", ready)
        .Field("version", m_state.m_table ? m_state.m_table->m_version : 0)
        .Field("confirmed_ms", (m_state.m_confirmed_until - now).count() / 1000);
  }
  if (arriving || !m_state.m_held_requests.empty())
    return true;
  return std::any_of(m_state.m_pools.begin(), m_state.m_pools.end(),
                     [](const auto& pool) { return !pool.second.m_waiting.empty(); });
}

}  // namespace poppyway
