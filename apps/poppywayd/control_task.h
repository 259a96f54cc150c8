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

/// \brief The control task of a daemon: peers, log member, brokers, instance duties. One thread.
class ControlTask {
 public:
  ControlTask(EventLoop& loop,
              const DaemonSettings& settings,
              const std::string& incarnation,
              std::function<void(ControlMessage)> to_gateway);

  /// Hosted: where news for the forwarder goes. Call before `Start`.
  void SetForwarder(ForwarderPort port);
  /// Hosted: to the broker of places.
  [[nodiscard]] BrokerPort MakeSlotBrokerPort() { return m_instance.MakeSlotBrokerPort(); }
  /// Hosted: other ways to reach the members.
  void AddSeeds(const std::vector<MemberSettings>& seeds);
  /// Null on an instance without a disk.
  [[nodiscard]] MemberService* member() noexcept { return m_member.get(); }
  /// Opens storage and listens for peers.
  [[nodiscard]] Result<void> Start();
  /// Messages of the gateway task arrive here, from any thread.
  [[nodiscard]] Mailbox<GatewayMessage>& inbox() noexcept { return m_inbox; }
  /// Of the peers, the member and the instance.
  void AddMetrics(MetricSet& metrics) const;
  /// Asks for a planned stop; safe in a signal handler.
  void RequestStop() noexcept { m_stop_requested.store(true); }

 private:
  void OnPeer(PeerConnection& connection, wire::Envelope envelope);
  void LeaderOnly(const ReplyFn& reply, const std::function<void()>& act);
  void OnOperator(const wire::Body& body, const ReplyFn& reply);
  /// Returns whether the next tick is due soon.
  bool Tick();
  void PublishMetrics();
  /// Writes a line if the loop did nothing else for long since its last tick.
  void LogStall(Instant now);
  /// What waits to be written to peers.
  [[nodiscard]] SendQueueStats Queue() const;
  /// At most one line a call, where something has waited for long.
  void LogQueue() const;

  EventLoop& m_loop;
  DaemonSettings m_settings;
  std::function<void(ControlMessage)> m_to_gateway;
  BrokerService m_brokers;
  InstanceAgent m_instance;
  LeavingServerPoller m_platform;
  std::unique_ptr<MemberService> m_member;  ///< Null on an instance without a disk.
  PeerServer m_server;
  Mailbox<GatewayMessage> m_inbox;
  RepeatingTimer m_tick;
  RepeatingTimer m_metrics_timer;
  std::atomic<bool> m_stop_requested{false};
  bool m_stopping = false;
  bool m_has_forwarder = false;
  std::uint64_t m_bad_messages = 0;
  Instant m_ticked{};          ///< End of the last tick.
  std::uint64_t m_stalls = 0;  ///< Of the loop.
};

}  // namespace poppyway
