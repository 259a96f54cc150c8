// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <functional>
#include <memory>
#include <variant>
#include <vector>

#include "poppyway/core.h"
#include "poppyway/policy.h"
#include "poppyway/settings.h"
#include "poppyway_types.h"

namespace poppyway {

/// \brief The cluster accepted a newer configuration document of the operator.
struct NewDocument {
  std::shared_ptr<const wire::Document> m_document;
};

/// \brief Records of backend servers that were added, began to drain or were removed.
struct ServersChanged {
  std::vector<wire::ServerRecord> m_servers;
};

/// \brief The latest evacuation of each data centre, whether it has ended or not.
struct EvacuationsChanged {
  std::vector<wire::Evacuation> m_evacuations;
};

/// \brief A leader confirmed that this instance's document is the newest one; the instance may use
/// it until `m_until`.
struct ConfirmedUntil {
  Instant m_until{};
};

/// \brief The number of instances that serve callers, this one included, by the leader's last
/// count.
struct LiveInstanceCount {
  int m_instances = 1;
};

/// \brief A broker is reachable at the leader; it has no state of this instance yet.
struct BrokerConnected {
  std::int64_t m_epoch = 0;
};

/// \brief The connection to the broker is lost.
struct BrokerDisconnected {};

/// \brief The broker's responses to slot requests.
struct SlotResponses {
  std::int64_t m_epoch = 0;
  std::vector<SlotResponse> m_answers;
  /// All data centres that the broker considers lost or unreachable; unset: no change.
  std::optional<std::vector<std::string>> m_suspects = std::nullopt;
};

/// \brief Parts of prompts that are quarantined together.
struct PartsInQuarantine {
  QuarantinedParts m_parts;
  Duration m_since_first_crash{};
};

/// \brief All requests and parts of prompts that no instance may send to servers.
struct QuarantineChanged {
  std::vector<RequestFingerprint> m_quarantined;
  std::vector<PartsInQuarantine> m_parts{};
};

/// \brief A leader has committed this instance's report of the crash of a server process.
struct CrashReported {
  ServerProcessId m_process = 0;
};

/// \brief The instances that may pass on calls to servers which this one doesn't reach.
struct HelpersChanged {
  std::vector<Endpoint> m_helpers;
};

/// \brief Any message from the control task to the forwarder.
using ForwarderMessage = std::variant<NewDocument,
                                      ServersChanged,
                                      EvacuationsChanged,
                                      ConfirmedUntil,
                                      LiveInstanceCount,
                                      BrokerConnected,
                                      BrokerDisconnected,
                                      SlotResponses,
                                      QuarantineChanged,
                                      CrashReported,
                                      HelpersChanged>;

/// \brief The control task's port to the forwarder. Both tasks run on one thread.
struct ForwarderPort {
  std::function<void(ForwarderMessage)> m_send;
};

/// \brief The forwarder's port to the broker, through the control task. Both tasks run on one
/// thread.
struct BrokerPort {
  std::function<void(SlotBatch)> m_send;
  std::function<void()> m_on_unresponsive;  ///< Called when the broker times out; reconnects.
  /// Returns when any member last responded, whether it leads or not; unset: unknown.
  std::function<Instant()> m_last_member_contact = {};
};

/// \brief What this instance learned about requests and crashes of servers.
struct CrashReport {
  ServerCrash m_crash;                          ///< Process 0: no crash is reported.
  std::vector<RequestFingerprint> m_cleared;    ///< Requests that have had a complete response.
  std::vector<PromptPartId> m_cleared_parts{};  ///< Parts that servers have responded to.

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/// \brief The forwarder's port for crash reports, through the control task, which sends each report
/// until a leader has committed it. Both tasks run on one thread.
struct CrashReportPort {
  std::function<void(const CrashReport&)> m_send;
};

}  // namespace poppyway
