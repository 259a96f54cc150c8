// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "poppyway/policy.h"

namespace poppyway {

// ---- slot_servers.cc --------------------------------------------------------------------------
/// \brief Returns the pool and index of a server; a null pool if the server is unknown.
[[nodiscard]] std::pair<SlotPool*, std::size_t> FindServer(SlotBroker& broker,
                                                           const std::string& id);

// ---- slot_serve.cc ----------------------------------------------------------------------------
/// \brief Returns why server `i` may not take the request, or `kNone`.
/// \param excluded_by_rollout true if a roll-out keeps ordinary work from the server.
[[nodiscard]] IneligibleReason CheckServerEligibility(const OutageDetector& outages,
                                                      const SlotPool& pool,
                                                      std::size_t i,
                                                      const QueuedSlotRequest& waiting,
                                                      bool excluded_by_rollout,
                                                      Instant now);
/// \brief Returns a tier as an array index.
[[nodiscard]] std::size_t TierIndex(Tier route_tier);
/// \brief Recomputes the typical performance, which stands in for that of new servers, if it is out
/// of date.
void RefreshTypical(SlotPool& pool, Instant now);
/// \brief Returns true if a request of a more urgent tier than `route_tier` waits for the pool.
[[nodiscard]] bool MustYield(const SlotPool& pool, Tier route_tier);
/// \brief Returns a response without a slot.
[[nodiscard]] SlotResponse MakeRejection(const std::string& instance,
                                         SlotRef ref,
                                         SlotVerdict verdict,
                                         double limit_left);
/// \brief Assigns the request a slot at the best of all servers; returns nullopt if none has a free
/// slot for it.
[[nodiscard]] std::optional<SlotResponse> TryAssignSlot(SlotBroker& broker,
                                                        SlotPool& pool,
                                                        QueuedSlotRequest& waiting,
                                                        bool yields,
                                                        Instant now);
/// \brief Offers the free slots of server `i` to the waiting requests, in order.
void ServeQueueAtServer(SlotBroker& broker,
                        SlotPool& pool,
                        std::size_t i,
                        Instant now,
                        std::vector<SlotResponse>& out);
/// \brief Tries all servers for the first waiting requests.
void ServePoolQueue(SlotBroker& broker,
                    SlotPool& pool,
                    Instant now,
                    std::vector<SlotResponse>& out);

/// \brief Sets the fields of the views of `servers` that depend on the request and the time.
void SetViewsOf(const SlotBroker& broker,
                SlotPool& pool,
                const QueuedSlotRequest& waiting,
                const std::vector<std::size_t>& servers,
                Instant now);

// ---- slot_order.cc ----------------------------------------------------------------------------
/// \brief Returns true if the request may choose among the first servers of the pool's order, which
/// is then up to date: the pool is large, and nothing but a server's own state restricts it.
[[nodiscard]] bool UsesOrder(SlotBroker& broker,
                             SlotPool& pool,
                             const QueuedSlotRequest& waiting,
                             const RequestShape& shape,
                             Instant now);
/// \brief Returns the best of the first servers of each data centre and of those that likely cache
/// the prompt; nullopt if none of them has room.
/// Precondition: `UsesOrder`.
[[nodiscard]] std::optional<ServerChoice> ChooseAmongFirst(SlotBroker& broker,
                                                           SlotPool& pool,
                                                           const QueuedSlotRequest& waiting,
                                                           const RequestShape& shape,
                                                           std::uint64_t random,
                                                           Instant now);
/// \brief Returns true if the pool has an order of its servers.
[[nodiscard]] bool IsOrdered(const SlotPool& pool) noexcept;
/// \brief Returns true if the pool is ordered and none of its servers has a free slot.
[[nodiscard]] bool IsFull(const SlotPool& pool) noexcept;
/// \brief Returns true if one of the fastest servers can meet the request's targets once it is
/// idle. Sets the views of these servers. Precondition: `UsesOrder`.
[[nodiscard]] bool CanFastestMeetTargets(const SlotBroker& broker,
                                         SlotPool& pool,
                                         const QueuedSlotRequest& waiting,
                                         const RequestShape& shape,
                                         Instant now);
/// \brief Updates the order after a change of server `i`'s view.
void ViewChanged(SlotPool& pool, std::size_t i);

// ---- slot_wait.cc -----------------------------------------------------------------------------
using SlotQueue = std::map<SlotQueueOrder, QueuedSlotRequest>;
/// \brief Adds a waiting request.
void AddWaiting(SlotPool& pool, QueuedSlotRequest waiting);
/// \brief Removes a waiting request. Returns the one behind it.
SlotQueue::iterator EraseWaiting(SlotPool& pool, SlotQueue::iterator it);
/// \brief Returns true if evacuations or home regions leave no server of the pool that may serve a
/// request with these home regions.
[[nodiscard]] bool NoServerMayServe(const SlotPool& pool, const HomeRegions& homes) noexcept;
/// \brief Refunds the cost that was charged for a request that gets no slot.
void RefundRequest(SlotBroker& broker, const SlotRequest& slot_request);
/// \brief Rejects waiting requests whose deadline has passed.
void RejectExpired(SlotBroker& broker, SlotPool& pool, Instant now, std::vector<SlotResponse>& out);
/// \brief Rejects waiting requests that evacuations or home regions leave no server for.
void RejectUnservable(SlotBroker& broker,
                      SlotPool& pool,
                      Instant now,
                      std::vector<SlotResponse>& out);
/// \brief Returns the longest useful wait: with a later slot the response would come too late or
/// the caller's wait would be over.
[[nodiscard]] Duration LongestUsefulWait(const SlotPool& pool,
                                         const QueuedSlotRequest& waiting,
                                         Instant now);
/// \brief Queues a request that may still get a slot in time; rejects any other.
void QueueOrReject(SlotBroker& broker,
                   SlotPool& pool,
                   QueuedSlotRequest waiting,
                   Instant now,
                   std::vector<SlotResponse>& out);

// ---- slot_retries.cc --------------------------------------------------------------------------
/// \brief Counts a slot request against the limit of retries, to which each new request adds.
/// Returns false for a retry beyond the limit.
[[nodiscard]] bool CountAgainstRetryLimit(const SlotBroker& broker,
                                          SlotPool& pool,
                                          const SlotRequest& slot_request);

// ---- slot_continuation.cc ---------------------------------------------------------------------
/// \brief Sets the version that a continuation needs, if it isn't known yet and the broker knows
/// it.
void ResolveContinuation(const SlotBroker& broker,
                         const SlotPool& pool,
                         Continuation& continuation);
/// \brief Does that for all waiting requests of the pool.
void ResolveWaiting(const SlotBroker& broker, SlotPool& pool);
/// \brief Returns false if a continuation's version is known and no server of it stays.
[[nodiscard]] bool HasServerToContinue(const SlotPool& pool, const SlotRequest& slot_request);
/// \brief Returns true for a continuation whose version isn't known.
[[nodiscard]] bool IsUnknownStream(const SlotRequest& slot_request) noexcept;
/// \brief Returns how long a continuation may wait for a slot.
[[nodiscard]] Duration MaxContinuationWait(const SlotRequest& slot_request) noexcept;

// ---- slot_evidence.cc -------------------------------------------------------------------------
/// \brief Returns true if the server sent anything, even a rejection.
[[nodiscard]] bool ServerResponded(const SlotReport& report) noexcept;
/// \brief Returns true if the server rejected the request without running it.
[[nodiscard]] bool IsRejection(const SlotReport& report) noexcept;
/// \brief What a failure that an instance reports says something of.
enum class FailureSubject : std::uint8_t {
  kServer,
  kInstance,  ///< The server, or one at which the instance failed before, responds to others.
  /// No server responds to the instance, while servers respond to others; this one may be lost.
  kUnknown,
};
/// \brief Records what a report shows of the instance's own paths, and returns what its failure, if
/// it has one, says something of. A failure whose subject is unknown is counted later, once a
/// server responds to the instance.
[[nodiscard]] FailureSubject JudgeFailure(SlotBroker& broker,
                                          const SlotPool& pool,
                                          std::size_t i,
                                          const std::string& instance,
                                          const HeldSlot& held,
                                          const SlotReport& report,
                                          Instant now);

// ---- slot_rollout.cc --------------------------------------------------------------------------
/// \brief The servers of a pool that take its ordinary work.
enum class ServingGroup : std::uint8_t { kAll, kTarget, kOthers };
/// \brief Returns the target version's servers while work moves to it, and the others while it is
/// on trial or found bad. Returns `kAll` without a roll-out in progress or if that group has no
/// server.
[[nodiscard]] ServingGroup ServingGroupOf(const SlotPool& pool);
/// \brief Returns true while a roll-out moves work to its target version.
[[nodiscard]] bool IsMoving(const SlotPool& pool) noexcept;
/// \brief Returns true if server `i` is not in the group.
[[nodiscard]] bool IsExcludedByRollout(const SlotPool& pool, ServingGroup group, std::size_t i);
/// \brief Returns the index of a server of the target version that has a free slot for the request;
/// nullopt if there is none or the roll-out's trial may not be sent the request.
/// Precondition: `SetViews` was called for the request.
[[nodiscard]] std::optional<std::size_t> ChooseTrialServer(const OutageDetector& outages,
                                                           const SlotPool& pool,
                                                           const QueuedSlotRequest& waiting,
                                                           const RequestShape& shape,
                                                           Instant now);
/// \brief Counts a slot assigned or reported at server `i` if a roll-out is in progress.
void CountPlaced(SlotPool& pool, std::size_t i);
/// \brief Learns from a response about the version that its server had when the slot was taken.
void LearnVersion(SlotPool& pool, const HeldSlot& held, const SlotReport& report, Instant now);

// ---- slot_slow_start.cc -----------------------------------------------------------------------
/// \brief Learns from a report whether server `i` may have restarted.
void ObserveRestartSign(SlotPool& pool, std::size_t i, const SlotReport& report, Instant now);
/// \brief Forecasts the time until a server at its limit, as a cold one or as it states itself, may
/// take a request behind `ahead` others. Returns nullopt if there is no such server or a usable
/// server exists.
[[nodiscard]] std::optional<Duration> ForecastPacedWait(const SlotPool& pool, int ahead);

// ---- slot_learn.cc ----------------------------------------------------------------------------
/// \brief A health signal that an instance reports about a server.
struct HealthReport {
  std::string m_instance;
  HealthSignal m_health_signal;
};
/// \brief Updates a server's health, and records its ejection for the log.
void LearnHealth(SlotBroker& broker,
                 SlotPool& pool,
                 std::size_t i,
                 const HealthReport& report,
                 Instant now);
/// \brief Learns the round-trip time to a server's region from a report. Returns the report with
/// the round-trip time subtracted from its times.
/// \param region region of the server.
[[nodiscard]] SlotReport LearnRoundTrip(SlotBroker& broker,
                                        const HeldSlot& held,
                                        const std::string& region,
                                        const SlotReport& report);
/// \brief Returns the performance updated from a report.
[[nodiscard]] ServerPerformance LearnPerformance(const ServerPerformance& before,
                                                 const SlotReport& report);

// ---- slot_outage.cc ---------------------------------------------------------------------------
/// \brief Learns from a report whether the server's data centre is reachable.
void LearnReachability(SlotBroker& broker,
                       const std::string& instance,
                       const HeldSlot& held,
                       const SlotReport& report,
                       Instant now);
/// \brief Returns true if server `i` is kept out of use for its own failures or an outage of its
/// data centre.
[[nodiscard]] bool IsSuspect(const OutageDetector& outages,
                             const SlotPool& pool,
                             std::size_t i,
                             Instant now);
/// \brief Returns a server of a suspect data centre that the request may probe, if one has a free
/// slot.
/// Precondition: `SetViews` was called for the request.
[[nodiscard]] std::optional<std::size_t> ChooseOutageProbe(const SlotBroker& broker,
                                                           const SlotPool& pool,
                                                           const QueuedSlotRequest& waiting,
                                                           const RequestShape& shape,
                                                           Instant now);
/// \brief Passes the number of servers of each data centre to the outage detector.
void UpdateOutageServerCounts(SlotBroker& broker);
/// \brief Ends the outages of data centres that have recovered.
void EndRecoveredOutages(SlotBroker& broker, Instant now);

// ---- slot_prompt_segments.cc ------------------------------------------------------------------
/// \brief Sets `m_cached_tokens` of all views: the prompt tokens that each server likely has in its
/// cache.
/// \param only if not null, only the views of the servers that it marks are set.
void SetCachedTokens(SlotPool& pool,
                     const SlotRequest& slot_request,
                     const std::vector<bool>* only = nullptr);

/// \brief Records that server `i` of the pool has the request's prompt segments in its cache from
/// now on.
void RecordPromptSegments(SlotPool& pool,
                          std::size_t i,
                          const SlotRequest& slot_request,
                          Instant now);

}  // namespace poppyway
