// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "poppyway/policy/impl/admission_queue.h"
#include "poppyway/policy/impl/broker.h"
#include "poppyway/policy/impl/credit_book.h"
#include "poppyway/policy/impl/retry_budget.h"
#include "poppyway/policy/impl/shed_floor.h"

namespace poppyway {

/// \brief The time that requests of one event take from dispatch to end.
struct ServiceEstimate {
  double m_mean_s = 0;
  double m_deviation_s = 0;  ///< Mean absolute deviation.
};

/// \brief One gateway's state for one pool: its queue, its credits and the broker's last message.
struct PoolClient {
  AdmissionQueue m_queue;
  CreditBook m_book;
  std::vector<CreditUse> m_uses;  ///< Uses not yet reported to the broker.
  Tier m_floor = kTiers;
  std::int64_t m_floor_epoch = 0;
  bool m_contended = false;
  double m_drain_per_s = 0;
  TierCounts m_backlog{};
  std::int64_t m_session = 0;  ///< Session with the broker, which each demand names.
  bool m_resync = true;        ///< The next demand lists all credits held.
  bool m_dirty = false;        ///< There are unreported changes.
  bool m_urgent = false;  ///< A request waits that the pool may serve now; a demand is due at once.
  Instant m_last_demand{};
  Instant m_unanswered_since{};  ///< Time of the oldest demand without a response; zero if none.
  Instant m_fair_share_from{};   ///< Fair share applies from here unless the broker responds.
  std::vector<Credit> m_unreported;  ///< Dispatches by fair share not yet reported to a broker.
  std::map<std::string, ServiceEstimate> m_service;  ///< By name of the configured event.
  RetryBudget m_retries;
};

/// \brief The decision of `AdmitRequest`.
struct Admission {
  ResultCode m_code = ResultCode::kOk;  ///< Any other code rejects the new request.
  std::string m_reason;
  std::optional<RequestRef> m_evict;  ///< A lower tier's request to evict for the new one.
};

/// \brief Requests to dispatch and requests to reject, in this order.
struct PoolActions {
  struct Dispatch {
    RequestRef m_ref = 0;
    Credit m_credit;
  };
  struct Refusal {
    RequestRef m_ref = 0;
    ResultCode m_code = ResultCode::kOk;
    std::string m_reason;
  };
  std::vector<Dispatch> m_dispatches;  ///< Already removed from the queue.
  std::vector<Refusal> m_refusals;     ///< Still in the queue; the caller removes them.
};

/// \brief Returns the engines, with their budgets, that may serve a waiting request now.
using BudgetsFn = std::function<std::vector<EngineBudget>(const WaitingRequest&)>;

/// \brief Decides whether a new request may enter the queue, by the floor, its deadline and the
/// queue's length. The request isn't queued.
[[nodiscard]] Admission AdmitRequest(PoolClient& pool,
                                     const WaitingRequest& request,
                                     std::size_t max_queue,
                                     Instant now);

/// \brief Takes a pregranted credit on one of `engines` if the queue is empty and the pool isn't
/// contended; otherwise queues the request.
/// \return the credit to dispatch with, or nullopt if the request was queued.
[[nodiscard]] std::optional<Credit> DispatchOrEnqueue(PoolClient& pool,
                                                      WaitingRequest request,
                                                      const std::vector<std::string>& engines,
                                                      Instant now);

/// \brief Applies a message of the broker, whose credits may be used until `lease_end`.
/// \return the requests to dispatch with these credits and the requests to reject.
[[nodiscard]] PoolActions HandleGrants(PoolClient& pool,
                                       const GrantBatch& batch,
                                       Instant lease_end,
                                       Instant now);

/// \brief Rejects requests that can't meet their deadline; without a broker, dispatches by fair
/// share.
/// \param rank a number that differs between gateways; see `TakeFairShare`.
[[nodiscard]] PoolActions TickPoolClient(PoolClient& pool,
                                         std::uint32_t rank,
                                         const BudgetsFn& budgets,
                                         Instant now);

/// \brief Returns the message that is due to the broker, if any. Changes are sent in batches;
/// without changes a message is sent as a keep-alive.
[[nodiscard]] std::optional<GatewayDemand> DueDemand(PoolClient& pool,
                                                     const std::string& gateway,
                                                     Duration lease,
                                                     Instant now);

/// \brief Records that the use of a credit has reached a stage. The next demand reports it to the
/// broker.
/// \param elapsed time from the dispatch to this stage.
void RecordUse(PoolClient& pool, const Credit& credit, UseStage stage, Duration elapsed);

/// \brief Records the end of a dispatch.
///
/// Its credit is returned to the broker. While the broker doesn't respond and the lease holds, the
/// credit of a finished request serves the next one instead: the broker counts it as issued either
/// way.
void EndDispatch(PoolClient& pool,
                 const Credit& credit,
                 UseStage stage,
                 Duration elapsed,
                 Instant now);

/// \brief Updates the service-time estimate of an event from a request that took `service`.
void LearnService(PoolClient& pool, const std::string& event, Duration service);

/// \brief Returns the number of requests that wait at `tier` or above over all gateways, as last
/// reported by the broker.
[[nodiscard]] std::int64_t BacklogAhead(const PoolClient& pool, Tier tier);

}  // namespace poppyway
