// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/policy.h"

#include <algorithm>
#include <optional>

namespace poppyway::impl {
namespace {

constexpr double kOccupancyPenaltyS = 0.05;  // Decoding is slower on a full engine.
constexpr int kProbeSlots = 1;               // Slots of an engine whose last connection failed.

/// A waiting request together with the gateway that holds it.
struct Candidate {
  const WaitingRequest* m_request;
  const std::string* m_gateway;
};

/// The state of one round of granting; vectors are indexed by engine.
struct Round {
  std::vector<double> m_rates;   ///< Planned prefill rates.
  std::vector<bool> m_reserved;  ///< The engine drains for a waiting long prompt.
  std::map<std::pair<std::string, std::string>, std::vector<std::uint32_t>> m_eligible;
};

Round BeginRound(const Broker& broker, Instant now) {
  Round round;
  const std::vector<Overdue> overdue = OldestAwaitingFirstToken(broker, now);
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

bool IsLongPrompt(const Broker& broker, const BrokerEngine& engine, std::int64_t tokens) {
  return static_cast<double>(tokens) >
         broker.m_settings.m_long_share * static_cast<double>(engine.m_budget.m_prefill_tokens);
}

/// Returns true if long prompts may use an engine: every second one, so that short prompts always
/// find engines without them.
bool AllowsLongPrompts(std::uint32_t engine) {
  return engine % 2 == 0;
}

struct Choice {
  std::optional<std::uint32_t> m_engine;
  double m_first_token_s = 0;              ///< Predicted time on the chosen engine.
  std::optional<std::uint32_t> m_blocked;  ///< Best engine that only lacks prefill budget.
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
    const bool tried_before = std::find(request.m_tried.begin(), request.m_tried.end(),
                                        engine.m_budget.m_id) != request.m_tried.end();
    if (tried_before)
      continue;
    const std::int64_t cached =
        broker.m_settings.m_use_affinity ? broker.m_prefixes.Known(e, request.m_prefixes) : 0;
    const std::int64_t tokens = std::max<std::int64_t>(1, request.m_prompt_tokens - cached);
    if (IsLongPrompt(broker, engine, tokens) && !AllowsLongPrompts(e) && eligible.size() > 1)
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

/// Returns the waiting requests of one tier by workspace, oldest last.
std::map<std::string, std::vector<Candidate>> QueuesByWorkspace(const Broker& broker, Tier tier) {
  std::map<std::string, std::vector<Candidate>> queues;
  for (const auto& [name, gateway] : broker.m_gateways) {
    for (const WaitingRequest& request : gateway.m_items) {
      if (request.m_tier == tier)
        queues[request.m_workspace].push_back({&request, &name});
    }
  }
  for (auto& [workspace, queue] : queues) {
    std::stable_sort(queue.begin(), queue.end(), [](const Candidate& a, const Candidate& b) {
      return a.m_request->m_arrived < b.m_request->m_arrived;
    });
    std::reverse(queue.begin(), queue.end());  // The oldest is popped from the back.
  }
  return queues;
}

/// Returns the workspace with the least virtual work served; ties go to the first name.
std::string NextWorkspace(const Broker& broker,
                          Tier tier,
                          const std::map<std::string, std::vector<Candidate>>& queues) {
  const auto& served = broker.m_served[tier];
  std::string best;
  double least = 0;
  for (const auto& [workspace, queue] : queues) {
    const auto found = served.find(workspace);
    const double work = found == served.end() ? 0 : found->second;
    if (!best.empty() && work >= least)
      continue;
    best = workspace;
    least = work;
  }
  return best;
}

/// Starts newly active workspaces at the least virtual work of the active ones, so that an idle
/// workspace gains no claim, and removes inactive ones.
void StartNewWorkspaces(Broker& broker,
                        Tier tier,
                        const std::map<std::string, std::vector<Candidate>>& queues) {
  auto& served = broker.m_served[tier];
  double least_active = -1;
  for (const auto& [workspace, queue] : queues) {
    const auto found = served.find(workspace);
    if (found != served.end() && (least_active < 0 || found->second < least_active))
      least_active = found->second;
  }
  for (const auto& [workspace, queue] : queues)
    served.try_emplace(workspace, std::max(least_active, 0.0));
  for (auto it = served.begin(); it != served.end();)
    it = queues.contains(it->first) ? std::next(it) : served.erase(it);
}

void Charge(Broker& broker, const WaitingRequest& request) {
  constexpr double kRequestCost = 64;  // Cost of a request besides its prompt, in tokens.
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
  std::map<std::string, std::vector<Candidate>> queues = QueuesByWorkspace(broker, tier);
  StartNewWorkspaces(broker, tier, queues);
  while (!queues.empty()) {
    const auto queue = queues.find(NextWorkspace(broker, tier, queues));
    const Candidate candidate = queue->second.back();
    queue->second.pop_back();
    if (queue->second.empty())
      queues.erase(queue);
    const WaitingRequest& request = *candidate.m_request;
    const Choice choice = ChooseEngine(broker, round, request, now);
    if (!choice.m_engine) {
      if (choice.m_blocked)
        round.m_reserved[*choice.m_blocked] = true;  // The engine drains for this prompt.
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
  WaitingRequest pregranted;
  pregranted.m_prompt_tokens = broker.m_settings.m_pregranted_tokens;
  for (auto& [name, gateway] : broker.m_gateways) {
    // Each gateway starts at a different engine, so that pregranted credits spread over engines.
    std::size_t at = Hash(name) % std::max<std::size_t>(1, broker.m_engines.size());
    for (std::size_t visited = 0; gateway.m_pregranted < share && visited < broker.m_engines.size();
         ++visited, at = (at + 1) % broker.m_engines.size()) {
      BrokerEngine& engine = broker.m_engines[at];
      const bool half_free = engine.m_used_slots * 2 < engine.m_budget.m_slots;
      if (!HasSlot(engine, now) || !half_free || !FitsPrefill(engine, pregranted.m_prompt_tokens))
        continue;
      batches[name].m_credits.push_back(
          IssueCredit(broker, name, pregranted, static_cast<std::uint32_t>(at), now));
      ++gateway.m_pregranted;
    }
  }
}

}  // namespace poppyway::impl
