// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "poppyway/policy/impl/broker.h"

namespace poppyway {

/// \brief What one gateway holds of one pool: credits, their lease, and its requests in flight.
struct CreditBook {
  std::map<CreditId, Credit> m_pregranted;  ///< Unspent standing credits.
  std::map<CreditId, Credit> m_spent;       ///< Credits of requests in flight.
  std::map<std::string, int> m_in_flight;   ///< By engine, with or without a credit.
  Instant m_lease_end{};
  std::int64_t m_next_own = 1;  ///< Counts dispatches by fair share.
  int m_gateways = 1;           ///< Gateways that shared the pool when last heard.
};

/// \brief Takes an unspent standing credit that pays for `prompt_tokens` on one of `engines`.
/// Precondition: none. Nothing is taken once the lease has ended.
[[nodiscard]] std::optional<Credit> TakePregranted(CreditBook& book,
                                                   const std::vector<std::string>& engines,
                                                   std::int64_t prompt_tokens,
                                                   Instant now);

/// \brief Records a dispatch on `credit`.
void NoteDispatch(CreditBook& book, const Credit& credit);

/// \brief Records the end of a dispatch.
void NoteEnd(CreditBook& book, const Credit& credit);

/// \brief Gives up all unspent standing credits; returns their ids for the broker.
[[nodiscard]] std::vector<CreditId> DropPregranted(CreditBook& book);

/// \brief Without a broker: an engine on which this gateway is still under its fair share.
///
/// The shares of all gateways together never exceed an engine's slots: each takes the whole part of
/// slots / gateways, and the remainder goes to the gateways that hash lowest for that engine.
///
/// Its id is negative and unique over gateways, so that the next broker can adopt it.
[[nodiscard]] std::optional<Credit> TakeFairShare(CreditBook& book,
                                                  const std::vector<EngineBudget>& engines,
                                                  std::uint32_t gateway_rank,
                                                  std::int64_t prompt_tokens);

/// \brief Everything held, for a resync with a broker.
[[nodiscard]] std::vector<Credit> HeldCredits(const CreditBook& book);

}  // namespace poppyway
