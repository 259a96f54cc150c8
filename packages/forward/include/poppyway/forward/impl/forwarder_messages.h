// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <functional>
#include <memory>
#include <variant>
#include <vector>

#include "poppyway/core.h"
#include "poppyway/policy.h"
#include "poppyway_types.h"

namespace poppyway {

/// \brief A newer document of the operator was accepted.
struct NewDocument {
  std::shared_ptr<const wire::Document> m_document;
};

/// \brief Backend servers that appeared, began to leave or are gone.
struct ServersChanged {
  std::vector<wire::ServerRecord> m_servers;
};

/// \brief The last evacuation of each data centre, ended or not.
struct EvacuationsChanged {
  std::vector<wire::Evacuation> m_evacuations;
};

/// \brief A leader has confirmed that the document in force here was the newest one; it may be
/// acted on until `m_until`.
struct ConfirmedUntil {
  Instant m_until{};
};

/// \brief How many instances take callers, this one included, as the leader last heard.
struct LiveInstanceCount {
  int m_instances = 1;
};

/// \brief A broker answers at the leader; it knows nothing of this instance yet.
struct BrokerConnected {
  std::int64_t m_epoch = 0;
};

/// \brief The connection to the broker is lost.
struct BrokerDisconnected {};

/// \brief The broker's answers to place requests.
struct SlotResponses {
  std::int64_t m_epoch = 0;
  std::vector<SlotResponse> m_answers;
  /// All data centres that it holds to be lost or cut off; unset: no news of it.
  std::optional<std::vector<std::string>> m_suspects = std::nullopt;
};

/// \brief From the control task to the forwarder.
using ForwarderMessage = std::variant<NewDocument,
                                      ServersChanged,
                                      EvacuationsChanged,
                                      ConfirmedUntil,
                                      LiveInstanceCount,
                                      BrokerConnected,
                                      BrokerDisconnected,
                                      SlotResponses>;

/// \brief How the control task of a hosted instance reaches its forwarder; both on one thread.
struct ForwarderPort {
  std::function<void(ForwarderMessage)> m_send;
};

/// \brief How the forwarder reaches the broker, through the control task; both on one thread.
struct BrokerPort {
  std::function<void(SlotBatch)> m_send;
  std::function<void()> m_on_unresponsive;  ///< The broker doesn't answer: it is to be found anew.
};

}  // namespace poppyway
