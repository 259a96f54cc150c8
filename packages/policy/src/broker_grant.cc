// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/policy.h"

#include <algorithm>
#include <optional>

namespace poppyway::impl {
namespace {

constexpr double kOccupancyPenaltyS = 0.05;  // Decoding is slower on a full engine.
constexpr int kProbeSlots = 1;               // Slots of an engine that failed lately.

/// A waiting request together with the gateway that holds it.
struct Candidate {
  const WaitingRequest* m_request;
  const std::string* m_gateway;
};

/// What one round of granting knows about engines.
struct Round {
  std::vector<double> m_rates;   ///< Planning rate of each engine.
  std::vector<bool> m_reserved;  ///< Held for a long prompt that waits.
  std::map<std::pair<std::string, std::string>, std::vector<std::uint32_t>> m_eligible;
};

Round BeginRound(const Broker& broker, Instant now) {
  Round round;
  const std::vector<Overdue> overdue = OldestUnanswered(broker, now);
  for (std::size_t e = 0; e < broker.m_engines.size(); ++e) {
    const double fallback = broker.m_settings.m_fallback_rate;
    const double rate = broker.m_settings.m_use_observed_rates
                            ? PlanningRate(broker.m_engines[e].m_rate, overdue[e].m_tokens,
                                           overdue[e].m_age, fallback)
                            : fallback;
    round.m_rates.push_back(rate);
  }
  round.m_reserved.resize(broker.m_engines.size(), false);
  return round;
}

const std::vector<std::uint32_t>& EligibleFor(const Broker& broker,
                                              Round& round,
                                              const WaitingRequest& request) {
  const auto [entry, added] = round.m_eligible.try_emplace({request.m_event, request.m_model});
  if (added && broker.m_eligible) {
    for (const std::string& id : broker.m_eligible(request.m_event, request.m_model)) {
      const auto found = broker.m_engine_index.find(id);
      if (found != broker.m_engine_index.end())
        entry->second.push_back(found->second);
    }
  }
  return entry->second;
}

bool HasSlot(const BrokerEngine& engine, Instant now) {
  if (engine.m_withdrawn || engine.m_ejected_until > now)
    return false;
  const std::int64_t slots = engine.m_failures > 0 ? kProbeSlots : engine.m_budget.m_slots;
  return engine.m_used_slots < slots;
}

bool FitsPrefill(const BrokerEngine& engine, std::int64_t tokens) {
  return engine.m_used_prefill == 0 ||
         engine.m_used_prefill + tokens <= engine.m_budget.m_prefill_tokens;
}

bool IsLong(const Broker& broker, const BrokerEngine& engine, std::int64_t tokens) {
  return static_cast<double>(tokens) >
         broker.m_settings.m_long_share * static_cast<double>(engine.m_budget.m_prefill_tokens);
}

/// Long prompts use every second engine only, so that short ones never all stand behind them.
bool LongLane(std::uint32_t engine) {
  return engine % 2 == 0;
}

struct Choice {
  std::optional<std::uint32_t> m_engine;
  double m_first_token_s = 0;              ///< Predicted, on the chosen engine.
  std::optional<std::uint32_t> m_blocked;  ///< Best engine that lacks prefill budget only.
};

Choice ChooseEngine(const Broker& broker,
                    Round& round,
                    const WaitingRequest& request,
                    Instant now) {
  Choice choice;
  double best = 0;
  double best_blocked = 0;
  const std::vector<std::uint32_t>& eligible = EligibleFor(broker, round, request);
  for (const std::uint32_t e : eligible) {
    const BrokerEngine& engine = broker.m_engines[e];
    if (!HasSlot(engine, now) || round.m_reserved[e])
      continue;
    const bool avoided = std::find(request.m_tried.begin(), request.m_tried.end(),
                                   engine.m_budget.m_id) != request.m_tried.end();
    if (avoided)
      continue;
    const std::int64_t cached =
        broker.m_settings.m_use_affinity ? broker.m_prefixes.Known(e, request.m_prefixes) : 0;
    const std::int64_t tokens = std::max<std::int64_t>(1, request.m_prompt_tokens - cached);
    if (IsLong(broker, engine, tokens) && !LongLane(e) && eligible.size() > 1)
      continue;
    const double occupancy =
        static_cast<double>(engine.m_used_slots) / static_cast<double>(engine.m_budget.m_slots);
    const double first_token =
        static_cast<double>(engine.m_used_prefill + tokens) / round.m_rates[e];
    const double score = first_token + kOccupancyPenaltyS * occupancy;
    if (!FitsPrefill(engine, tokens)) {
      if (!choice.m_blocked || score < best_blocked) {
        choice.m_blocked = e;
        best_blocked = score;
      }
      continue;
    }
    if (choice.m_engine && score >= best)
      continue;
    choice.m_engine = e;
    choice.m_first_token_s = first_token;
    best = score;
  }
  return choice;
}

double Weight(const Broker& broker, const std::string& workspace) {
  const auto found = broker.m_weights.find(workspace);
  return found == broker.m_weights.end() ? 1.0 : static_cast<double>(found->second);
}

/// The waiting requests of one tier by workspace, oldest last.
std::map<std::string, std::vector<Candidate>> Lines(const Broker& broker, Tier tier) {
  std::map<std::string, std::vector<Candidate>> lines;
  for (const auto& [name, gateway] : broker.m_gateways) {
    for (const WaitingRequest& request : gateway.m_items) {
      if (request.m_tier == tier)
        lines[request.m_workspace].push_back({&request, &name});
    }
  }
  for (auto& [workspace, line] : lines) {
    std::stable_sort(line.begin(), line.end(), [](const Candidate& a, const Candidate& b) {
      return a.m_request->m_arrived < b.m_request->m_arrived;
    });
    std::reverse(line.begin(), line.end());  // The oldest is taken from the back.
  }
  return lines;
}

/// The workspace with the least virtual work served; ties go to the first name.
std::string NextWorkspace(const Broker& broker,
                          Tier tier,
                          const std::map<std::string, std::vector<Candidate>>& lines) {
  const auto& served = broker.m_served[tier];
  std::string best;
  double least = 0;
  for (const auto& [workspace, line] : lines) {
    const auto found = served.find(workspace);
    const double work = found == served.end() ? 0 : found->second;
    if (!best.empty() && work >= least)
      continue;
    best = workspace;
    least = work;
  }
  return best;
}

/// A workspace that was idle may not claim the time it was away.
void LiftIdle(Broker& broker,
              Tier tier,
              const std::map<std::string, std::vector<Candidate>>& lines) {
  auto& served = broker.m_served[tier];
  double least_active = -1;
  for (const auto& [workspace, line] : lines) {
    const auto found = served.find(workspace);
    if (found != served.end() && (least_active < 0 || found->second < least_active))
      least_active = found->second;
  }
  for (const auto& [workspace, line] : lines)
    served.try_emplace(workspace, std::max(least_active, 0.0));
  for (auto it = served.begin(); it != served.end();)
    it = lines.contains(it->first) ? std::next(it) : served.erase(it);
}

void Charge(Broker& broker, const WaitingRequest& request) {
  constexpr double kRequestCost = 64;  // Tokens that a request costs besides its prompt.
  broker.m_served[request.m_tier][request.m_workspace] +=
      (kRequestCost + static_cast<double>(request.m_prompt_tokens)) /
      Weight(broker, request.m_workspace);
}

void DropGranted(Broker& broker, const std::vector<Candidate>& settled) {
  std::map<std::string, std::set<RequestRef>> refs;
  for (const Candidate& candidate : settled)
    refs[*candidate.m_gateway].insert(candidate.m_request->m_ref);
  for (const auto& [name, done] : refs) {
    BrokerGateway& gateway = broker.m_gateways[name];
    for (const WaitingRequest& item : gateway.m_items) {
      if (done.contains(item.m_ref))
        gateway.m_waiting[item.m_tier] = std::max(0, gateway.m_waiting[item.m_tier] - 1);
    }
    const std::set<RequestRef>& granted = done;
    std::erase_if(gateway.m_items,
                  [&granted](const WaitingRequest& item) { return granted.contains(item.m_ref); });
  }
}

void GrantTier(Broker& broker,
               Tier tier,
               Round& round,
               Instant now,
               std::map<std::string, GrantBatch>& batches,
               std::vector<Candidate>& settled) {
  std::map<std::string, std::vector<Candidate>> lines = Lines(broker, tier);
  LiftIdle(broker, tier, lines);
  while (!lines.empty()) {
    const auto line = lines.find(NextWorkspace(broker, tier, lines));
    const Candidate candidate = line->second.back();
    line->second.pop_back();
    if (line->second.empty())
      lines.erase(line);
    const WaitingRequest& request = *candidate.m_request;
    const Choice choice = ChooseEngine(broker, round, request, now);
    if (!choice.m_engine) {
      if (choice.m_blocked)
        round.m_reserved[*choice.m_blocked] = true;  // It drains for this prompt.
      continue;
    }
    GrantBatch& batch = batches[*candidate.m_gateway];
    const Duration first_token(static_cast<std::int64_t>(choice.m_first_token_s * 1e6));
    if (now + first_token > request.m_deadline) {
      batch.m_infeasible.push_back(request.m_ref);
    } else {
      batch.m_credits.push_back(
          IssueCredit(broker, *candidate.m_gateway, request, *choice.m_engine, now));
      Charge(broker, request);
    }
    settled.push_back(candidate);
  }
}

}  // namespace

void GrantWaiting(Broker& broker, Instant now, std::map<std::string, GrantBatch>& batches) {
  Round round = BeginRound(broker, now);
  std::vector<Candidate> settled;
  for (Tier tier = 0; tier < kTiers; ++tier)
    GrantTier(broker, tier, round, now, batches, settled);
  DropGranted(broker, settled);
}

void GrantPregranted(Broker& broker, Instant now, std::map<std::string, GrantBatch>& batches) {
  const TierCounts backlog = Backlog(broker);
  if (backlog[0] + backlog[1] + backlog[2] > 0 || broker.m_gateways.empty())
    return;
  double slots = 0;
  for (const BrokerEngine& engine : broker.m_engines)
    slots += engine.m_withdrawn ? 0 : static_cast<double>(engine.m_budget.m_slots);
  const int share = static_cast<int>(broker.m_settings.m_pregranted_share * slots /
                                     static_cast<double>(broker.m_gateways.size()));
  WaitingRequest standing;
  standing.m_prompt_tokens = broker.m_settings.m_standing_tokens;
  for (auto& [name, gateway] : broker.m_gateways) {
    // Start at a different engine for each gateway, so that standing credits spread.
    std::size_t at = Hash(name) % std::max<std::size_t>(1, broker.m_engines.size());
    for (std::size_t tried = 0; gateway.m_pregranted < share && tried < broker.m_engines.size();
         ++tried, at = (at + 1) % broker.m_engines.size()) {
      BrokerEngine& engine = broker.m_engines[at];
      const bool half_free = engine.m_used_slots * 2 < engine.m_budget.m_slots;
      if (!HasSlot(engine, now) || !half_free || !FitsPrefill(engine, standing.m_prompt_tokens))
        continue;
      batches[name].m_credits.push_back(
          IssueCredit(broker, name, standing, static_cast<std::uint32_t>(at), now));
      ++gateway.m_pregranted;
    }
  }
}

}  // namespace poppyway::impl
