// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <atomic>
#include <functional>
#include <memory>

#include "broker_service.h"
#include "instance_agent.h"
#include "leaving_server_poller.h"
#include "member_service.h"
#include "poppyway/gateway.h"

namespace poppyway {

/// \brief The control task of a daemon: it serves peers and runs the log member, the brokers and
/// the instance agent. Unless noted otherwise, its functions run on the thread of `loop`.
class ControlTask {
 public:
  /// \param incarnation the name of this run of the instance.
  /// \param to_gateway sends a message to the gateway task.
  ControlTask(EventLoop& loop,
              const DaemonSettings& settings,
              const std::string& incarnation,
              std::function<void(ControlMessage)> to_gateway);

  /// Sets the receiver of the forwarder's messages. Hosted deployments only; call before `Start`.
  void SetForwarder(ForwarderPort port);
  /// Returns the port to the slot broker. Hosted deployments only.
  [[nodiscard]] BrokerPort MakeSlotBrokerPort() { return m_instance.MakeSlotBrokerPort(); }
  /// Returns the port for reports of crashed servers. Hosted deployments only.
  [[nodiscard]] CrashReportPort MakeCrashReportPort() { return m_instance.MakeCrashReportPort(); }
  /// Sets how the control task learns whether the forwarder needs help or may help others. Hosted
  /// deployments only.
  void SetRelayStatusReader(std::function<RelayStatus()> read) {
    m_instance.SetRelayStatusReader(std::move(read));
  }
  /// Adds addresses at which members can be reached. Hosted deployments only.
  void AddSeeds(const std::vector<MemberSettings>& seeds);
  /// Returns the log member, or null on an instance without a disk.
  [[nodiscard]] MemberService* member() noexcept { return m_member.get(); }
  /// Opens the storage and listens for peers, or returns the first error.
  [[nodiscard]] Result<void> Start();
  /// Returns the mailbox for messages of the gateway task; any thread may send to it.
  [[nodiscard]] Mailbox<GatewayMessage>& inbox() noexcept { return m_inbox; }
  /// Adds the metrics of the peers, the member, the brokers and the instance.
  void AddMetrics(MetricSet& metrics) const;
  /// Requests a planned stop. Thread-safe.
  void RequestStop() noexcept { m_stop_requested.store(true); }

 private:
  void OnPeer(PeerConnection& connection, wire::Envelope envelope);
  /// Calls `action` if this member leads; otherwise replies which member does.
  void LeaderOnly(const ReplyFn& reply, const std::function<void()>& action);
  void OnOperator(const wire::Body& body, const ReplyFn& reply);
  /// Returns whether the next tick is due soon.
  bool Tick();
  void PublishMetrics();
  /// Logs a step of the time of day since the last call.
  void LogClockStep();
  /// Logs a stall if the time since the end of the last tick exceeds a limit.
  void LogStall(Instant now);
  /// Returns the combined state of all send queues to peers: the sum of their bytes, and since when
  /// one of them has held data.
  [[nodiscard]] SendQueueStats CombinedQueueStats() const;
  /// Logs the combined state of these queues if one of them has held data for too long.
  void LogQueueDelay() const;

  EventLoop& m_loop;
  DaemonSettings m_settings;
  std::function<void(ControlMessage)> m_to_gateway;
  BrokerService m_brokers;
  InstanceAgent m_instance;
  LeavingServerPoller m_leaving_poller;
  std::unique_ptr<MemberService> m_member;  ///< Null on an instance without a disk.
  PeerServer m_server;
  Mailbox<GatewayMessage> m_inbox;
  RepeatingTimer m_tick;
  RepeatingTimer m_metrics_timer;
  std::atomic<bool> m_stop_requested{false};
  bool m_stopping = false;
  bool m_has_forwarder = false;
  std::uint64_t m_bad_messages = 0;
  Instant m_last_tick_end{};
  std::uint64_t m_stalls = 0;  ///< Stalls of the event loop.
  Duration m_wall_offset{};
  std::uint64_t m_clock_steps = 0;  ///< Steps of the time of day.
};

}  // namespace poppyway
