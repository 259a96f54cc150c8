// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <variant>

#include "poppyway/policy.h"
#include "poppyway/settings.h"
#include "poppyway_types.h"

namespace poppyway {

// ---- From the gateway to the control task ----------------------------------------------------

/// \brief Asks the dispatch ledger to claim an idempotency key; answered by a `ClaimReply`.
struct ClaimKey {
  RequestRef m_ref = 0;
  wire::LedgerClaim m_claim;
  Instant m_deadline{};         ///< Deadline of the request.
  bool m_needs_ledger = false;  ///< The request is refused if the ledger doesn't answer.
};

/// \brief Reports to the dispatch ledger how a request with a claimed key ended.
struct FinishKey {
  wire::LedgerFinish m_finish;
};

/// \brief Sends a demand to the broker of `m_pool`.
struct SendDemand {
  std::string m_pool;
  GatewayDemand m_demand;
  std::int64_t m_session = 0;  ///< Of the last `BrokerReconnected`.
};

/// \brief Reports, once after `BeginShutdown`, that all requests of this gateway have ended.
struct GatewayDrained {};

using GatewayMessage = std::variant<ClaimKey, FinishKey, SendDemand, GatewayDrained>;

// ---- From the control task to the gateway ----------------------------------------------------

/// \brief Delivers a newer configuration; a version that isn't newer is ignored.
struct CatalogueUpdate {
  std::shared_ptr<const Catalogue> m_catalogue;
};

/// \brief Delivers the dispatch ledger's result for a `ClaimKey`.
struct ClaimReply {
  RequestRef m_ref = 0;
  wire::ClaimResult m_result;
};

/// \brief Delivers grants of the broker of `m_pool`; their credits are valid until `m_lease_end`.
struct GrantsReceived {
  std::string m_pool;
  GrantBatch m_batch;
  Instant m_lease_end{};
};

/// \brief Begins a session with the broker of `m_pool`: the next demand lists all held credits, and
/// demands of earlier sessions are dropped.
struct BrokerReconnected {
  std::string m_pool;
  std::int64_t m_session = 0;  ///< Zero while no broker is known.
};

/// \brief Replaces the set of backend servers that the platform lists as leaving.
struct LeavingServers {
  std::set<std::string> m_servers;
};

/// \brief Sets whether the configuration is fresh enough to report this instance as ready to the
/// load balancer.
struct ConfigFreshness {
  bool m_fresh = false;
};

/// \brief Begins a planned stop: the gateway reports not ready, refuses new requests once the
/// balancer's lag has passed, and lets the requests in progress end.
struct BeginShutdown {};

/// \brief Delivers the text of the control task's metrics, which /metrics appends to its own.
struct ControlMetrics {
  std::string m_text;
};

using ControlMessage = std::variant<CatalogueUpdate,
                                    ClaimReply,
                                    GrantsReceived,
                                    BrokerReconnected,
                                    LeavingServers,
                                    ConfigFreshness,
                                    BeginShutdown,
                                    ControlMetrics>;

}  // namespace poppyway
