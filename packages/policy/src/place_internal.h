// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "poppyway/policy.h"

namespace poppyway {

// ---- place_serve.cc ----------------------------------------------------------------------------
/// \brief What keeps server `i` from the request.
/// \param kept whether a roll-out keeps the server from work.
[[nodiscard]] ServerBar BarOf(const OutageWatch& outages,
                              const PlacePool& pool,
                              std::size_t i,
                              const WaitingAsk& waiting,
                              bool kept,
                              Instant now);
/// \brief A tier as an index.
[[nodiscard]] std::size_t RankIndex(Tier rank);
/// \brief Recounts what stands in for servers that are new, every so often.
void RefreshTypical(PlacePool& pool, Instant now);
/// \brief True if something more urgent than `rank` waits for the pool.
[[nodiscard]] bool Yields(const PlacePool& pool, Tier rank);
/// \brief An answer without a place.
[[nodiscard]] PlaceAnswer RefusalOf(const std::string& holder,
                                    PlaceRef ref,
                                    PlaceVerdict verdict,
                                    double left);
/// \brief Gives the place request the best place of all servers, or says that none has room.
[[nodiscard]] std::optional<PlaceAnswer> TryAll(PlaceBroker& broker,
                                                PlacePool& pool,
                                                WaitingAsk& waiting,
                                                bool yields,
                                                Instant now);
/// \brief Offers what came free at server `i` to what waits, in order.
void ServeServer(PlaceBroker& broker,
                 PlacePool& pool,
                 std::size_t i,
                 Instant now,
                 std::vector<PlaceAnswer>& out);
/// \brief Tries all servers for the first that wait.
void ServePool(PlaceBroker& broker, PlacePool& pool, Instant now, std::vector<PlaceAnswer>& out);

// ---- place_wait.cc -----------------------------------------------------------------------------
/// \brief True if evacuations or homes leave the pool no server for what has these homes.
[[nodiscard]] bool NoneMayServe(const PlacePool& pool, const HomeRegions& homes) noexcept;
/// \brief Puts back what a place request that gets no place was charged.
void GiveBack(PlaceBroker& broker, const PlaceAsk& ask);
/// \brief Refuses what has waited until its time.
void ExpirePool(PlaceBroker& broker, PlacePool& pool, Instant now, std::vector<PlaceAnswer>& out);
/// \brief Refuses what waits and can't be served any more: evacuations or homes leave it no server.
void RefuseUnservable(PlaceBroker& broker,
                      PlacePool& pool,
                      Instant now,
                      std::vector<PlaceAnswer>& out);
/// \brief After it a place would be of no use for an answer in time, or its caller is gone.
[[nodiscard]] Duration LongestUsefulWait(const PlacePool& pool,
                                         const WaitingAsk& waiting,
                                         Instant now);
/// \brief Lets a place request wait that may still get a place in time; refuses any other at once.
void WaitOrRefuse(PlaceBroker& broker,
                  PlacePool& pool,
                  WaitingAsk waiting,
                  Instant now,
                  std::vector<PlaceAnswer>& out);

// ---- place_rollout.cc --------------------------------------------------------------------------
/// \brief Which servers of a pool do its ordinary work.
enum class WorkingSide : std::uint8_t { kAll, kTarget, kOthers };
/// \brief The target version while work moves to it; the others while it is on trial or found bad;
/// all where no roll-out is under way or that side has no server.
[[nodiscard]] WorkingSide SideAtWork(const PlacePool& pool);
/// \brief True if server `i` is not of that side.
[[nodiscard]] bool KeptFromWork(const PlacePool& pool, WorkingSide side, std::size_t i);
/// \brief The trial server for a request, if the trial wants it and one has room.
/// Precondition: `SetViews` was called for the request.
[[nodiscard]] std::optional<std::size_t> ChooseTrialServer(const OutageWatch& outages,
                                                           const PlacePool& pool,
                                                           const WaitingAsk& waiting,
                                                           const RequestShape& shape,
                                                           Instant now);
/// \brief A place was given or told: counts it, if a roll-out is under way.
void CountPlaced(PlacePool& pool, std::size_t i);
/// \brief Learns what an answer says of the version that its server had when the place was taken.
void LearnVersion(PlacePool& pool, const HeldPlace& held, const PlaceReport& report, Instant now);

// ---- place_cold.cc -----------------------------------------------------------------------------
/// \brief Learns from a report whether server `i` may have started again.
void NoteColdSign(PlacePool& pool, std::size_t i, const PlaceReport& report, Instant now);
/// \brief When cold servers that had got as much as they may have room for what has `ahead` others
/// before it; nullopt if there are none, or others that work.
[[nodiscard]] std::optional<Duration> ColdForecast(const PlacePool& pool, int ahead);

// ---- place_learn.cc ----------------------------------------------------------------------------
/// \brief What an instance says of a server's health.
struct HealthReport {
  std::string m_holder;
  ServerSign m_sign;
};
/// \brief Learns a server's health.
void LearnHealth(PlaceBroker& broker,
                 PlacePool& pool,
                 std::size_t i,
                 const HealthReport& word,
                 Instant now);
/// \brief Learns the way from a report, and takes it off the times that the report tells.
/// \param region of the server.
[[nodiscard]] PlaceReport LearnReach(PlaceBroker& broker,
                                     const HeldPlace& held,
                                     const std::string& region,
                                     const PlaceReport& report);
/// \brief Learns a server's speeds.
[[nodiscard]] ServerPace LearnPace(const ServerPace& before, const PlaceReport& report);

// ---- place_outage.cc ---------------------------------------------------------------------------
/// \brief Learns from a report whether its server's data centre is within reach.
void LearnPath(PlaceBroker& broker,
               const std::string& holder,
               const HeldPlace& held,
               const PlaceReport& report,
               Instant now);
/// \brief True if server `i` is kept from work for its failures, or for those of its data centre.
[[nodiscard]] bool IsSuspect(const OutageWatch& outages,
                             const PlacePool& pool,
                             std::size_t i,
                             Instant now);
/// \brief A server of a suspect data centre that the request may find out about, if one has room.
/// Precondition: `SetViews` was called for the request.
[[nodiscard]] std::optional<std::size_t> ChooseOutageTrial(const PlaceBroker& broker,
                                                           const PlacePool& pool,
                                                           const WaitingAsk& waiting,
                                                           const RequestShape& shape,
                                                           Instant now);
/// \brief Tells the watch how many servers each data centre has.
void WatchServers(PlaceBroker& broker);
/// \brief Ends suspicions that are over.
void SettleOutages(PlaceBroker& broker, Instant now);

// ---- place_parts.cc ----------------------------------------------------------------------------
/// \brief Sets `m_kept_tokens` of all views: prompt tokens that each server likely still keeps.
void SetKeptTokens(PlacePool& pool, const PlaceAsk& ask);

/// \brief The request went to server `i` of its pool, which keeps its prompt from now on.
void RememberParts(PlacePool& pool, std::size_t i, const PlaceAsk& ask, Instant now);

}  // namespace poppyway
