// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "control_task.h"

#include <utility>

#include "broker_convert.h"

namespace poppyway {
namespace {

constexpr std::uint64_t kBusyTickMillis = 5;
constexpr std::uint64_t kIdleTickMillis = 50;
constexpr std::uint64_t kMetricsMillis = 1000;
// The offset of the wall clock changes by 10 ms at most between two checks unless the time of day
// steps.
constexpr Duration kClockStepThreshold{50'000};
constexpr Duration kStallThreshold{100'000};  // This is twice the interval of the log's heartbeats.
// A message that waits longer is late for its receiver.
constexpr Duration kQueueDelayThreshold{100'000};

}  // namespace

ControlTask::ControlTask(EventLoop& loop,
                         const DaemonSettings& settings,
                         const std::string& incarnation,
                         std::function<void(ControlMessage)> to_gateway)
    : m_loop(loop),
      m_settings(settings),
      m_to_gateway(std::move(to_gateway)),
      m_brokers(settings),
      m_instance(loop, settings, incarnation, m_brokers, m_to_gateway),
      m_leaving_poller(loop,
                       settings.m_platform_list,
                       [this](const LeavingServers& leaving) {
                         m_brokers.OnLeaving(leaving.m_servers);
                         m_to_gateway(leaving);
                       }),
      m_member(IsMember(settings) ? std::make_unique<MemberService>(loop, settings) : nullptr),
      m_server(
          loop,
          [this](PeerConnection& connection, wire::Envelope envelope) {
            OnPeer(connection, std::move(envelope));
          },
          [this](const Error& why) {
            ++m_bad_messages;
            POPPYWAY_LOG(warning, "peer_message_refused").Field("why", why.m_message);
          }),
      m_inbox(loop,
              [this](GatewayMessage message) { m_instance.HandleMessage(std::move(message)); }),
      m_tick(loop, kBusyTickMillis, kIdleTickMillis, [this] { return Tick(); }),
      m_metrics_timer(loop, kMetricsMillis, [this] { PublishMetrics(); }) {}

void ControlTask::SetForwarder(ForwarderPort port) {
  m_has_forwarder = true;
  m_instance.SetForwarder(std::move(port));
}

void ControlTask::AddSeeds(const std::vector<MemberSettings>& seeds) {
  m_instance.AddSeeds(seeds);
  if (m_member)
    m_member->AddSeeds(seeds);
}

Result<void> ControlTask::Start() {
  if (m_member) {
    if (Result<void> opened = m_member->Open(); !opened)
      return opened;
  }
  return m_server.Listen(m_settings.m_peer.m_address, m_settings.m_peer.m_port);
}

void ControlTask::LogStall(Instant now) {
  if (m_last_tick_end != Instant{} && now - m_last_tick_end > kStallThreshold) {
    ++m_stalls;
    POPPYWAY_LOG(warning, "loop_stalled").Field("ms", (now - m_last_tick_end).count() / 1000);
  }
}

bool ControlTask::Tick() {
  const Instant now = ReadClock();
  LogStall(now);
  if (m_member)
    m_member->Tick(now);
  m_brokers.Tick(now);
  const bool runs_agent = !m_settings.m_hosted || m_has_forwarder;
  if (runs_agent)
    m_instance.Tick(now);
  m_leaving_poller.Tick(now);
  if (m_stop_requested.load() && !m_stopping) {
    m_stopping = true;
    POPPYWAY_LOG(info, "stopping")
        .Field("leads", m_member && m_member->is_leader())
        .Field("follows", m_member && m_member->IsConnectedToQuorum(now));
    m_instance.BeginShutdown();
  }
  if (m_stopping && m_instance.ShutdownComplete()) {
    POPPYWAY_LOG(info, "stopped");
    m_loop.Stop();
  }
  m_last_tick_end = ReadClock();
  // The elections and heartbeats of a member need the short interval. Other instances need it only
  // while work is pending.
  return m_member || m_stopping || m_brokers.HasPendingWork() || m_instance.HasPendingWork();
}

SendQueueStats ControlTask::CombinedQueueStats() const {
  const SendQueueStats peers = CombineQueueStats(m_server.queue_stats(), m_instance.queue_stats());
  return m_member ? CombineQueueStats(peers, m_member->queue_stats()) : peers;
}

void ControlTask::LogQueueDelay() const {
  const SendQueueStats queue = CombinedQueueStats();
  const Duration waited =
      queue.m_nonempty_since == Instant{} ? Duration(0) : ReadClock() - queue.m_nonempty_since;
  if (waited > kQueueDelayThreshold)
    POPPYWAY_LOG(info, "peer_queue")
        .Field("bytes", queue.m_bytes)
        .Field("waited_ms", waited.count() / 1000);
}

void ControlTask::AddMetrics(MetricSet& metrics) const {
  if (m_member)
    m_member->AddMetrics(metrics);
  m_brokers.AddMetrics(metrics);
  m_instance.AddMetrics(metrics);
  const std::uint64_t sent =
      m_server.bytes_sent() + m_instance.bytes_sent() + (m_member ? m_member->bytes_sent() : 0);
  metrics.Set("poppyway_loop_stalls", "", static_cast<double>(m_stalls));
  metrics.Set("poppyway_clock_steps_total", "", static_cast<double>(m_clock_steps));
  metrics.Set("poppyway_peer_sent_bytes", "", static_cast<double>(sent));
  metrics.Set("poppyway_peer_queued_bytes", "", static_cast<double>(CombinedQueueStats().m_bytes));
}

void ControlTask::LogClockStep() {
  const Duration offset = ReadWallOffset();
  const Duration step = offset - std::exchange(m_wall_offset, offset);
  if (std::chrono::abs(step) < kClockStepThreshold)
    return;
  ++m_clock_steps;
  POPPYWAY_LOG(warning, "clock_stepped")
      .Field("ms", step.count() / 1000)
      .Field("offset_ms", offset.count() / 1000);
}

void ControlTask::PublishMetrics() {
  LogClockStep();
  LogQueueDelay();
  MetricSet metrics;
  AddMetrics(metrics);
  metrics.Set("poppyway_platform_list_failures", "",
              static_cast<double>(m_leaving_poller.failures()));
  metrics.Add("poppyway_peer_messages_refused_total", "", m_bad_messages);
  m_to_gateway(ControlMetrics{metrics.Text()});
}

void ControlTask::OnPeer(PeerConnection& connection, wire::Envelope envelope) {
  const wire::Body& body = envelope.body;
  const ReplyFn reply = [weak = connection.weak_from_this(), id = envelope.id](wire::Body answer) {
    const std::shared_ptr<PeerConnection> open = weak.lock();
    if (!open)
      return;
    wire::Envelope reply_envelope;
    reply_envelope.id = id;
    reply_envelope.reply = true;
    reply_envelope.body = std::move(answer);
    open->Send(reply_envelope);
  };
  if (body.__isset.place_batch && m_member) {
    m_member->OnSlotBatch(body.place_batch, connection);
  } else if (body.__isset.demand) {
    m_brokers.OnDemand(body.demand, connection);
  } else if (!m_member) {
    OnOperator(body, reply);
  } else if (body.__isset.log) {
    m_member->OnLogMessage(body.log);
  } else if (body.__isset.hello) {
    m_member->OnHello(body.hello, reply);
  } else if (body.__isset.heartbeat) {
    m_member->OnHeartbeat(body.heartbeat, reply);
  } else if (body.__isset.document_change) {
    LeaderOnly(reply, [&] { m_member->SubmitDocumentChange(body.document_change, reply); });
  } else if (body.__isset.document_read) {
    LeaderOnly(reply, [&] { m_member->ReadDocumentSteps(body.document_read, reply); });
  } else if (body.__isset.server_seen) {
    LeaderOnly(reply, [&] { m_member->SubmitServer(body.server_seen, reply); });
  } else if (body.__isset.rollout_order) {
    LeaderOnly(reply, [&] { m_member->SubmitRollout(body.rollout_order, reply); });
  } else if (body.__isset.rollout_request) {
    LeaderOnly(reply, [&] { m_member->ReadRollout(body.rollout_request, reply); });
  } else if (body.__isset.evacuation_order) {
    LeaderOnly(reply, [&] { m_member->SubmitEvacuation(body.evacuation_order, reply); });
  } else if (body.__isset.poll) {
    m_member->OnPoll(body.poll, reply);
  } else if (body.__isset.piece_request) {
    m_member->OnPieceRequest(body.piece_request, reply);
  } else if (body.__isset.propose && m_member->is_leader()) {
    m_member->OnPropose(body.propose, reply);
  } else if (body.__isset.propose && !body.propose.commands.empty() &&
             !body.propose.commands.front().__isset.config) {
    reply(m_member->NotLeader());  // Instances find the leader themselves.
  } else {
    OnOperator(body, reply);
  }
}

void ControlTask::LeaderOnly(const ReplyFn& reply, const std::function<void()>& action) {
  if (m_member->is_leader())
    action();
  else
    // A request is forwarded only once; while leaders change, it could circulate among members.
    reply(m_member->NotLeader());
}

void ControlTask::OnOperator(const wire::Body& body, const ReplyFn& reply) {
  const bool leads = m_member && m_member->is_leader();
  if (body.__isset.drain) {
    if (body.drain.instance != m_settings.m_instance) {
      reply(ErrorBody(ResultCode::kNotFound, "this is instance '" + m_settings.m_instance + "'"));
      return;
    }
    RequestStop();
    wire::Body done;
    done.__set_done(true);
    reply(std::move(done));
  } else if (body.__isset.status && (leads || body.status.here)) {
    wire::Body answer;
    answer.__set_status_reply(m_member ? m_member->Status() : wire::StatusReply());
    reply(std::move(answer));
  } else if (body.__isset.objects && leads) {
    m_member->OnObjects(body.objects, reply);
  } else if (body.__isset.status || body.__isset.objects || body.__isset.propose ||
             body.__isset.rollout_order || body.__isset.rollout_request ||
             body.__isset.evacuation_order) {
    m_instance.Forward(body, reply);
  } else {
    ++m_bad_messages;
    POPPYWAY_LOG(warning, "peer_message_refused").Field("why", "unexpected kind");
    reply(ErrorBody(ResultCode::kPeerProtocol, "unexpected message"));
  }
}

}  // namespace poppyway
