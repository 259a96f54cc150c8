// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "poppyway/core.h"
#include "poppyway/policy/impl/tier.h"

namespace poppyway {

/// \brief Names a request within one gateway; never zero.
using RequestRef = std::int64_t;

/// \brief What a decision needs to know of a waiting request.
struct WaitingRequest {
  RequestRef m_ref = 0;
  Tier m_tier = 0;
  std::string m_workspace;
  std::string m_event;
  std::string m_model;
  std::int64_t m_prompt_tokens = 0;
  std::vector<std::uint64_t> m_prefixes;  ///< Hashes of growing prompt prefixes.
  std::vector<std::string> m_tried;       ///< Engines that already refused the connection.
  Instant m_arrived{};
  Instant m_deadline{};

  friend bool operator==(const WaitingRequest&, const WaitingRequest&) = default;
};

/// \brief The requests that wait in one gateway: by tier, and in turn between workspaces.
class AdmissionQueue {
 public:
  /// Precondition: the reference is new.
  void Push(WaitingRequest request);
  /// \return the request, or nullopt if it does not wait here (any more).
  std::optional<WaitingRequest> Remove(RequestRef ref);
  [[nodiscard]] const WaitingRequest* Find(RequestRef ref) const;
  /// The first `count` requests in the order of service: tiers from the highest, workspaces in
  /// turn.
  [[nodiscard]] std::vector<const WaitingRequest*> Heads(std::size_t count) const;
  /// The newest request of the lowest waiting tier below `tier`, or nullopt.
  [[nodiscard]] std::optional<RequestRef> LowestBelow(Tier tier) const;
  /// References whose deadline, less the time that serving still takes, has passed.
  [[nodiscard]] std::vector<RequestRef> Infeasible(Instant now, Duration service) const;
  [[nodiscard]] const TierCounts& counts() const noexcept { return m_counts; }
  [[nodiscard]] std::size_t size() const noexcept { return m_requests.size(); }

 private:
  using Line = std::deque<RequestRef>;
  std::array<std::map<std::string, Line>, kTiers> m_lines;
  std::unordered_map<RequestRef, WaitingRequest> m_requests;
  TierCounts m_counts{};
};

}  // namespace poppyway
