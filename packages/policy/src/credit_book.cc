// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/policy.h"

#include <algorithm>

namespace poppyway {

std::optional<Credit> TakePregranted(CreditBook& book,
                                     const std::vector<std::string>& engines,
                                     std::int64_t prompt_tokens,
                                     Instant now) {
  if (now >= book.m_lease_end)
    return std::nullopt;
  auto best = book.m_pregranted.end();
  for (auto it = book.m_pregranted.begin(); it != book.m_pregranted.end(); ++it) {
    const Credit& credit = it->second;
    const bool usable = credit.m_prompt_tokens >= prompt_tokens &&
                        std::find(engines.begin(), engines.end(), credit.m_engine) != engines.end();
    if (!usable)
      continue;
    if (best == book.m_pregranted.end() ||
        book.m_in_flight[credit.m_engine] < book.m_in_flight[best->second.m_engine])
      best = it;
  }
  if (best == book.m_pregranted.end())
    return std::nullopt;
  Credit credit = best->second;
  book.m_pregranted.erase(best);
  return credit;
}

void RecordDispatch(CreditBook& book, const Credit& credit) {
  ++book.m_in_flight[credit.m_engine];
  book.m_spent[credit.m_id] = credit;
}

void RecordEnd(CreditBook& book, const Credit& credit) {
  const auto in_flight = book.m_in_flight.find(credit.m_engine);
  if (in_flight != book.m_in_flight.end() && --in_flight->second <= 0)
    book.m_in_flight.erase(in_flight);
  book.m_spent.erase(credit.m_id);
}

std::vector<CreditId> DropPregranted(CreditBook& book) {
  std::vector<CreditId> ids;
  for (const auto& [id, credit] : book.m_pregranted)
    ids.push_back(id);
  book.m_pregranted.clear();
  return ids;
}

std::optional<Credit> TakeFairShare(CreditBook& book,
                                    const std::vector<EngineBudget>& engines,
                                    std::uint32_t gateway_rank,
                                    std::int64_t prompt_tokens) {
  const EngineBudget* best = nullptr;
  int best_used = 0;
  const auto gateways = static_cast<std::int64_t>(std::max(book.m_gateways, 1));
  for (const EngineBudget& engine : engines) {
    const std::int64_t remainder = engine.m_slots % gateways;
    // The engine's hash rotates the ranks, so that no gateway takes every remainder.
    const auto turn = static_cast<std::int64_t>((gateway_rank + Hash(engine.m_id)) %
                                                static_cast<std::uint64_t>(gateways));
    const std::int64_t share = engine.m_slots / gateways + (turn < remainder ? 1 : 0);
    const auto found = book.m_in_flight.find(engine.m_id);
    const int used = found == book.m_in_flight.end() ? 0 : found->second;
    if (used >= share || (best != nullptr && used >= best_used))
      continue;
    best = &engine;
    best_used = used;
  }
  if (best == nullptr)
    return std::nullopt;
  constexpr int kRankShift = 32;
  constexpr std::uint32_t kRankMask = 0x7fffffff;
  const CreditId id =
      -((static_cast<CreditId>(gateway_rank & kRankMask) << kRankShift) | book.m_next_fair_share++);
  return Credit{id, 0, best->m_id, prompt_tokens};
}

std::vector<Credit> HeldCredits(const CreditBook& book) {
  std::vector<Credit> held;
  for (const auto& [id, credit] : book.m_pregranted)
    held.push_back(credit);
  for (const auto& [id, credit] : book.m_spent)
    held.push_back(credit);
  return held;
}

}  // namespace poppyway
