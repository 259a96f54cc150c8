// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "poppyway/policy/impl/broker.h"

namespace poppyway {

/// \brief The credits that one gateway holds for one pool, their lease, and its requests in flight.
struct CreditBook {
  std::map<CreditId, Credit> m_pregranted;  ///< Unspent pregranted credits.
  std::map<CreditId, Credit> m_spent;       ///< Credits of requests in flight.
  std::map<std::string, int> m_in_flight;   ///< Requests by engine, also without a credit.
  Instant m_lease_end{};
  std::int64_t m_next_fair_share = 1;  ///< Number of the next dispatch by fair share.
  int m_gateways = 1;                  ///< Gateways of the pool, as last reported by the broker.
};

/// \brief Takes an unspent pregranted credit that covers `prompt_tokens` on one of `engines`. If
/// several engines have one, takes that of the engine with the fewest requests in flight.
/// \return the credit, or nullopt if none fits or the lease has ended.
[[nodiscard]] std::optional<Credit> TakePregranted(CreditBook& book,
                                                   const std::vector<std::string>& engines,
                                                   std::int64_t prompt_tokens,
                                                   Instant now);

/// \brief Records a dispatch on `credit`.
void RecordDispatch(CreditBook& book, const Credit& credit);

/// \brief Records the end of a dispatch.
void RecordEnd(CreditBook& book, const Credit& credit);

/// \brief Removes all unspent pregranted credits and returns their ids, to be returned to the
/// broker.
[[nodiscard]] std::vector<CreditId> DropPregranted(CreditBook& book);

/// \brief Returns a credit on an engine where this gateway is below its fair share, for dispatch
/// without a broker; nullopt if there is none.
///
/// The shares of all gateways together never exceed an engine's slots: each has the integer part of
/// slots / gateways, and the remainder goes to the gateways whose rank, rotated by the engine's
/// hash, is lowest.
///
/// The credit's id is negative and unique over gateways, so that the next broker can adopt it.
/// \param gateway_rank a number that differs between gateways.
[[nodiscard]] std::optional<Credit> TakeFairShare(CreditBook& book,
                                                  const std::vector<EngineBudget>& engines,
                                                  std::uint32_t gateway_rank,
                                                  std::int64_t prompt_tokens);

/// \brief Returns all credits that the gateway holds, for a resync with a broker.
[[nodiscard]] std::vector<Credit> HeldCredits(const CreditBook& book);

}  // namespace poppyway
