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

/// \brief Identifies a request within one gateway; never zero.
using RequestRef = std::int64_t;

/// \brief The properties of a waiting request that decisions depend on.
struct WaitingRequest {
  RequestRef m_ref = 0;
  Tier m_tier = 0;
  std::string m_workspace;
  std::string m_event;
  std::string m_model;
  std::int64_t m_prompt_tokens = 0;
  std::vector<std::uint64_t> m_prefixes;  ///< Hashes of growing prompt prefixes.
  std::vector<std::string> m_tried;       ///< Engines to which the connection already failed.
  Instant m_arrived{};
  Instant m_deadline{};

  friend bool operator==(const WaitingRequest&, const WaitingRequest&) = default;
};

/// \brief The requests that wait in one gateway, by tier and round-robin between workspaces.
class AdmissionQueue {
 public:
  /// Appends a request. Precondition: its reference isn't in the queue.
  void Push(WaitingRequest request);
  /// Removes a request.
  /// \return the request, or nullopt if it isn't in the queue.
  std::optional<WaitingRequest> Remove(RequestRef ref);
  /// \return the request, or nullptr if it isn't in the queue. The pointer is valid until the
  /// request is removed.
  [[nodiscard]] const WaitingRequest* Find(RequestRef ref) const;
  /// Returns the first `count` requests, or all if there are fewer, in the order of service: tiers
  /// from the highest, which is 0, and within a tier the workspaces round-robin.
  [[nodiscard]] std::vector<const WaitingRequest*> FirstToServe(std::size_t count) const;
  /// Returns the newest request of the lowest non-empty tier below `tier`, or nullopt.
  [[nodiscard]] std::optional<RequestRef> LowestBelow(Tier tier) const;
  /// Returns the requests that can't be served before their deadline if serving one takes
  /// `service`, sorted by reference.
  [[nodiscard]] std::vector<RequestRef> Infeasible(Instant now, Duration service) const;
  [[nodiscard]] const TierCounts& counts() const noexcept { return m_counts; }
  [[nodiscard]] std::size_t size() const noexcept { return m_requests.size(); }

 private:
  using Fifo = std::deque<RequestRef>;
  std::array<std::map<std::string, Fifo>, kTiers> m_fifos;
  std::unordered_map<RequestRef, WaitingRequest> m_requests;
  TierCounts m_counts{};
};

}  // namespace poppyway
