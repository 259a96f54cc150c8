// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "poppyway/gateway.h"

namespace poppyway::impl {

/// \brief The result of a filter.
enum class Verdict : std::uint8_t {
  kContinue,   ///< The next filter runs.
  kSuspended,  ///< The exchange waits for a message, or was answered.
};

// The filters, in the order of `RunChain`. A filter that refuses a request answers it.
[[nodiscard]] Verdict CheckRunning(GatewayState& state, Exchange& exchange);
[[nodiscard]] Verdict IdentifyCaller(GatewayState& state, Exchange& exchange);
[[nodiscard]] Verdict MatchEventFilter(GatewayState& state, Exchange& exchange);
[[nodiscard]] Verdict CheckDeadline(GatewayState& state, Exchange& exchange);
[[nodiscard]] Verdict CheckDuplicate(GatewayState& state, Exchange& exchange);
[[nodiscard]] Verdict Admit(GatewayState& state, Exchange& exchange);
[[nodiscard]] Verdict Route(GatewayState& state, Exchange& exchange);
void Dispatch(GatewayState& state, Exchange& exchange);

// ---- chain.cc --------------------------------------------------------------------------------

/// Runs the chain from its first filter.
void RunChain(GatewayState& state, Exchange& exchange);
/// Runs the chain from admission on, after the ledger has granted the claim or none is needed.
void RunChainAfterClaim(GatewayState& state, Exchange& exchange);

// ---- answer.cc -------------------------------------------------------------------------------

/// Ends the exchange with an error response: problem+json with result code and run state, and a
/// `Retry-After` header where the code has one. Aborts a response that has started. May destroy
/// `exchange`.
void Refuse(GatewayState& state, Exchange& exchange, ResultCode code, const std::string& detail);
/// Ends the exchange with the stored response of an earlier request with the same key, or with
/// `kAnswerNotKept` if its body was not kept. May destroy `exchange`.
void Replay(GatewayState& state, Exchange& exchange, const wire::StoredAnswer& answer);
/// Sends status and headers of a relayed response to the caller, without hop-by-hop headers
/// and those that the gateway sets itself. Does nothing if the caller is gone.
void StartAnswer(GatewayState& state,
                 Exchange& exchange,
                 int status,
                 const std::vector<Header>& headers);
/// Sends pending bytes when h2o can accept the next chunk, and resumes reading from the back end.
void OnCallerReady(GatewayState& state, Exchange& exchange);

// ---- account.cc ------------------------------------------------------------------------------

/// Ends an exchange and records its outcome: metrics, log, credit and ledger. Sets the stage to
/// `kDone`; does nothing if it is `kDone` already.
void EndExchange(GatewayState& state, Exchange& exchange, ResultCode code);
/// Handles the disposal of the caller's request by h2o: the caller left, or its response was sent.
/// May destroy `exchange`.
void OnCallerGone(GatewayState& state, Exchange& exchange);
/// Destroys an exchange whose stage is `kDone` and whose caller's request h2o has disposed of.
void EraseIfDone(GatewayState& state, RequestRef ref);
/// Suppresses the callbacks of the upstream call and moves it to `m_retired`, to be destroyed
/// outside its callbacks.
void Retire(GatewayState& state, Exchange& exchange);

// ---- pools.cc --------------------------------------------------------------------------------

/// Returns the pool of the exchange's event. Precondition: an event has matched.
[[nodiscard]] PoolClient& PoolOf(GatewayState& state, const Exchange& exchange);
/// Returns the ids of the engines that may serve the exchange: the allowed ones that it has not
/// tried.
[[nodiscard]] std::vector<std::string> UsableEngines(GatewayState& state, const Exchange& exchange);
/// Returns the ids of the engines that the newest configuration allows for the exchange's event and
/// model, except on leaving backend servers. The reference is valid until the catalogue or the set
/// of leaving servers changes.
[[nodiscard]] const std::vector<std::string>& AllowedEngines(GatewayState& state,
                                                             const Exchange& exchange);
/// Returns the description of an exchange that the policy takes. Precondition: an event has
/// matched.
[[nodiscard]] WaitingRequest ToWaiting(const Exchange& exchange);
/// Sends the demand that is due, if any, to the broker of the pool `name`. A demand reports the
/// waiting requests and the uses of credits.
void SendDueDemand(GatewayState& state, const std::string& name, PoolClient& pool, Instant now);
/// Passes grants to the policy, and dispatches and refuses requests as it decides.
void OnGrants(GatewayState& state, const GrantsReceived& grants);
/// Refuses waiting requests that can't be served before their deadline, dispatches by standing
/// credits and by fair share while no broker answers, and sends the demand that is due.
void TickPool(GatewayState& state, const std::string& name, PoolClient& pool, Instant now);

/// Returns the `Retry-After` value, in seconds, for a refused exchange.
[[nodiscard]] int RetryAfterSeconds(GatewayState& state, const Exchange& exchange);

}  // namespace poppyway::impl
