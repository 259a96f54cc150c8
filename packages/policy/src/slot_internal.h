// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "poppyway/policy.h"

namespace poppyway {

// ---- slot_serve.cc ----------------------------------------------------------------------------
/// \brief What keeps server `i` from the request.
/// \param kept whether a roll-out keeps the server from work.
[[nodiscard]] IneligibleReason CheckServerEligibility(const OutageDetector& outages,
                                                      const SlotPool& pool,
                                                      std::size_t i,
                                                      const QueuedSlotRequest& waiting,
                                                      bool kept,
                                                      Instant now);
/// \brief A tier as an index.
[[nodiscard]] std::size_t RankIndex(Tier route_tier);
/// \brief Recounts what stands in for servers that are new, every so often.
void RefreshTypical(SlotPool& pool, Instant now);
/// \brief True if something more urgent than `route_tier` waits for the pool.
[[nodiscard]] bool Yields(const SlotPool& pool, Tier route_tier);
/// \brief An answer without a place.
[[nodiscard]] SlotResponse RefusalOf(const std::string& instance,
                                     SlotRef ref,
                                     SlotVerdict verdict,
                                     double left);
/// \brief Gives the place request the best place of all servers, or says that none has room.
[[nodiscard]] std::optional<SlotResponse> TryAll(SlotBroker& broker,
                                                 SlotPool& pool,
                                                 QueuedSlotRequest& waiting,
                                                 bool yields,
                                                 Instant now);
/// \brief Offers what came free at server `i` to what waits, in order.
void ServeServer(SlotBroker& broker,
                 SlotPool& pool,
                 std::size_t i,
                 Instant now,
                 std::vector<SlotResponse>& out);
/// \brief Tries all servers for the first that wait.
void ServePool(SlotBroker& broker, SlotPool& pool, Instant now, std::vector<SlotResponse>& out);

// ---- slot_wait.cc -----------------------------------------------------------------------------
/// \brief True if evacuations or homes leave the pool no server for what has these homes.
[[nodiscard]] bool NoneMayServe(const SlotPool& pool, const HomeRegions& homes) noexcept;
/// \brief Puts back what a place request that gets no place was charged.
void GiveBack(SlotBroker& broker, const SlotRequest& slot_request);
/// \brief Refuses what has waited until its time.
void ExpirePool(SlotBroker& broker, SlotPool& pool, Instant now, std::vector<SlotResponse>& out);
/// \brief Refuses what waits and can't be served any more: evacuations or homes leave it no server.
void RefuseUnservable(SlotBroker& broker,
                      SlotPool& pool,
                      Instant now,
                      std::vector<SlotResponse>& out);
/// \brief After it a place would be of no use for an answer in time, or its caller is gone.
[[nodiscard]] Duration LongestUsefulWait(const SlotPool& pool,
                                         const QueuedSlotRequest& waiting,
                                         Instant now);
/// \brief Lets a place request wait that may still get a place in time; refuses any other at once.
void WaitOrRefuse(SlotBroker& broker,
                  SlotPool& pool,
                  QueuedSlotRequest waiting,
                  Instant now,
                  std::vector<SlotResponse>& out);

// ---- slot_rollout.cc --------------------------------------------------------------------------
/// \brief Which servers of a pool do its ordinary work.
enum class ServingGroup : std::uint8_t { kAll, kTarget, kOthers };
/// \brief The target version while work moves to it; the others while it is on trial or found bad;
/// all where no roll-out is under way or that side has no server.
[[nodiscard]] ServingGroup ServingGroupOf(const SlotPool& pool);
/// \brief True if server `i` is not of that side.
[[nodiscard]] bool KeptFromWork(const SlotPool& pool, ServingGroup side, std::size_t i);
/// \brief The trial server for a request, if the trial wants it and one has room.
/// Precondition: `SetViews` was called for the request.
[[nodiscard]] std::optional<std::size_t> ChooseTrialServer(const OutageDetector& outages,
                                                           const SlotPool& pool,
                                                           const QueuedSlotRequest& waiting,
                                                           const RequestShape& shape,
                                                           Instant now);
/// \brief A place was given or told: counts it, if a roll-out is under way.
void CountPlaced(SlotPool& pool, std::size_t i);
/// \brief Learns what an answer says of the version that its server had when the place was taken.
void LearnVersion(SlotPool& pool, const HeldSlot& held, const SlotReport& report, Instant now);

// ---- slot_slow_start.cc
// -----------------------------------------------------------------------------
/// \brief Learns from a report whether server `i` may have started again.
void ObserveRestartSign(SlotPool& pool, std::size_t i, const SlotReport& report, Instant now);
/// \brief When cold servers that had got as much as they may have room for what has `ahead` others
/// before it; nullopt if there are none, or others that work.
[[nodiscard]] std::optional<Duration> ColdForecast(const SlotPool& pool, int ahead);

// ---- slot_learn.cc ----------------------------------------------------------------------------
/// \brief What an instance says of a server's health.
struct HealthReport {
  std::string m_instance;
  HealthSignal m_health_signal;
};
/// \brief Learns a server's health.
void LearnHealth(SlotBroker& broker,
                 SlotPool& pool,
                 std::size_t i,
                 const HealthReport& word,
                 Instant now);
/// \brief Learns the way from a report, and takes it off the times that the report tells.
/// \param region of the server.
[[nodiscard]] SlotReport LearnReach(SlotBroker& broker,
                                    const HeldSlot& held,
                                    const std::string& region,
                                    const SlotReport& report);
/// \brief Learns a server's speeds.
[[nodiscard]] ServerPerformance LearnPace(const ServerPerformance& before,
                                          const SlotReport& report);

// ---- slot_outage.cc ---------------------------------------------------------------------------
/// \brief Learns from a report whether its server's data centre is within reach.
void LearnPath(SlotBroker& broker,
               const std::string& instance,
               const HeldSlot& held,
               const SlotReport& report,
               Instant now);
/// \brief True if server `i` is kept from work for its failures, or for those of its data centre.
[[nodiscard]] bool IsSuspect(const OutageDetector& outages,
                             const SlotPool& pool,
                             std::size_t i,
                             Instant now);
/// \brief A server of a suspect data centre that the request may find out about, if one has room.
/// Precondition: `SetViews` was called for the request.
[[nodiscard]] std::optional<std::size_t> ChooseOutageTrial(const SlotBroker& broker,
                                                           const SlotPool& pool,
                                                           const QueuedSlotRequest& waiting,
                                                           const RequestShape& shape,
                                                           Instant now);
/// \brief Tells the watch how many servers each data centre has.
void WatchServers(SlotBroker& broker);
/// \brief Ends suspicions that are over.
void SettleOutages(SlotBroker& broker, Instant now);

// ---- slot_prompt_segments.cc
// ----------------------------------------------------------------------------
/// \brief Sets `m_cached_tokens` of all views: prompt tokens that each server likely still keeps.
void SetKeptTokens(SlotPool& pool, const SlotRequest& slot_request);

/// \brief The request went to server `i` of its pool, which keeps its prompt from now on.
void RememberParts(SlotPool& pool, std::size_t i, const SlotRequest& slot_request, Instant now);

}  // namespace poppyway
