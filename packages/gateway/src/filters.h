// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "poppyway/gateway.h"

namespace poppyway::impl {

/// \brief What a filter decided.
enum class Verdict : std::uint8_t {
  kContinue,   ///< The next filter runs.
  kSuspended,  ///< The exchange waits for a message or has its answer.
};

// The filters, in the order of `RunChain`. Each answers a refusal itself.
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
/// Runs it from admission on, after the ledger answered.
void RunChainAfterClaim(GatewayState& state, Exchange& exchange);

// ---- answer.cc -------------------------------------------------------------------------------

/// Ends the exchange with a refusal: problem+json with code, run state and when to come back.
void Refuse(GatewayState& state, Exchange& exchange, ResultCode code, const std::string& detail);
/// Ends the exchange with a stored answer.
void Replay(GatewayState& state, Exchange& exchange, const wire::StoredAnswer& answer);
/// Sends the head of a relayed answer.
void StartAnswer(GatewayState& state,
                 Exchange& exchange,
                 int status,
                 const std::vector<Header>& headers);
/// h2o can take the next chunk.
void OnCallerReady(GatewayState& state, Exchange& exchange);

// ---- account.cc ------------------------------------------------------------------------------

/// Ends an exchange in the books: credit, ledger, metrics, log. Call once.
void Account(GatewayState& state, Exchange& exchange, ResultCode code);
/// The caller went away.
void OnCallerGone(GatewayState& state, Exchange& exchange);
/// Forgets an exchange that has ended on both sides.
void EraseIfOver(GatewayState& state, RequestRef ref);
/// Puts an upstream call aside, to be destroyed outside its callbacks.
void Retire(GatewayState& state, Exchange& exchange);

// ---- pools.cc --------------------------------------------------------------------------------

[[nodiscard]] PoolClient& PoolOf(GatewayState& state, const Exchange& exchange);
/// Engines (by id) that may serve the exchange now.
[[nodiscard]] std::vector<std::string> UsableEngines(GatewayState& state, const Exchange& exchange);
/// Engines (by id) that the newest configuration allows for the exchange's event and model.
[[nodiscard]] const std::vector<std::string>& AllowedEngines(GatewayState& state,
                                                             const Exchange& exchange);
/// What the policy needs to know of an exchange.
[[nodiscard]] WaitingRequest ToWaiting(const Exchange& exchange);
/// Sends the broker of `name` what is due.
void FlushDemand(GatewayState& state, const std::string& name, PoolClient& pool, Instant now);
/// Spends what grants allow.
void OnGrants(GatewayState& state, const GrantsReceived& grants);
/// Refuses what can't be reached any more, dispatches by fair share without a broker.
void TickPool(GatewayState& state, const std::string& name, PoolClient& pool, Instant now);

/// \brief `Retry-After` for a refused exchange.
[[nodiscard]] int ComeBackAfter(GatewayState& state, const Exchange& exchange);

}  // namespace poppyway::impl
