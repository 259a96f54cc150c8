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

/// \brief How long requests of one event take from dispatch to end.
struct ServiceEstimate {
  double m_mean_s = 0;
  double m_deviation_s = 0;  ///< Mean absolute deviation.
};

/// \brief One gateway's side of one pool: its queue, its credits, what the broker last said.
struct PoolClient {
  AdmissionQueue m_queue;
  CreditBook m_book;
  std::vector<CreditUse> m_uses;  ///< Not yet told to the broker.
  Tier m_floor = kTiers;
  std::int64_t m_floor_epoch = 0;
  bool m_contended = false;
  double m_drain_per_s = 0;
  TierCounts m_backlog{};
  bool m_resync = true;   ///< The next demand tells all that is held.
  bool m_dirty = false;   ///< There is something to tell.
  bool m_urgent = false;  ///< A request waits that the pool may have room for: tell at once.
  Instant m_last_demand{};
  Instant m_unanswered_since{};      ///< Of the oldest demand without an answer; zero if none.
  Instant m_fair_share_from{};       ///< Without a broker's word, fair share holds from here.
  std::vector<Credit> m_unreported;  ///< Dispatches by fair share that no broker knows of yet.
  std::map<std::string, ServiceEstimate> m_service;  ///< By event.
  RetryBudget m_retries;
};

/// \brief What `AdmitRequest` decided.
struct Admission {
  ResultCode m_code = ResultCode::kOk;  ///< Anything else refuses the newcomer.
  std::string m_reason;
  std::optional<RequestRef> m_evict;  ///< A lower tier's request that has to make room.
};

/// \brief Requests to dispatch and requests to refuse, in this order.
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
  std::vector<Dispatch> m_dispatches;  ///< Already taken out of the queue.
  std::vector<Refusal> m_refusals;     ///< Still in the queue; the caller removes them.
};

/// \brief Engines, with budgets, that may serve a waiting request now.
using BudgetsFn = std::function<std::vector<EngineBudget>(const WaitingRequest&)>;

/// \brief Whether a newcomer may wait at all: floor, deadline, room.
[[nodiscard]] Admission AdmitRequest(PoolClient& pool,
                                     const WaitingRequest& request,
                                     std::size_t max_queue,
                                     Instant now);

/// \brief Takes a standing credit on one of `engines` where nothing else waits; otherwise queues
/// the request. \return the credit to dispatch with, or nullopt if it waits.
[[nodiscard]] std::optional<Credit> DispatchOrEnqueue(PoolClient& pool,
                                                      WaitingRequest request,
                                                      const std::vector<std::string>& engines,
                                                      Instant now);

/// \brief Takes the broker's word; its credits may be spent until `lease_end`.
[[nodiscard]] PoolActions HandleGrants(PoolClient& pool,
                                       const GrantBatch& batch,
                                       Instant lease_end,
                                       Instant now);

/// \brief Refuses what can't be reached any more; without a broker, dispatches by fair share.
/// \param rank differs between gateways; see `TakeFairShare`.
[[nodiscard]] PoolActions TickPoolClient(PoolClient& pool,
                                         std::uint32_t rank,
                                         const BudgetsFn& budgets,
                                         Instant now);

/// \brief The message that is due to the broker, if any: on changes, batched, and as keep-alive.
[[nodiscard]] std::optional<GatewayDemand> DueDemand(PoolClient& pool,
                                                     const std::string& gateway,
                                                     Duration lease,
                                                     Instant now);

/// \brief Records a use of a credit, to be told to the broker.
void RecordUse(PoolClient& pool, const Credit& credit, UseStage stage, Duration elapsed);

/// \brief A dispatch ended. Its credit goes back, or, while the broker is silent and the lease
/// still runs, serves the next request: the broker counts it as out either way.
void EndDispatch(PoolClient& pool,
                 const Credit& credit,
                 UseStage stage,
                 Duration elapsed,
                 Instant now);

/// \brief Learns from a request that was served in `service`.
void LearnService(PoolClient& pool, const std::string& event, Duration service);

/// \brief Requests that wait at `tier` or above over all gateways, as last heard.
[[nodiscard]] std::int64_t BacklogAhead(const PoolClient& pool, Tier tier);

}  // namespace poppyway
