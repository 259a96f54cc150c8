// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace poppyway {

/// \brief Why a backend server may not take a request now. If several reasons apply, the first in
/// this order is reported.
enum class IneligibleReason : std::uint8_t {
  kNone,  ///< The server may take the request.
  /// The server announced that it is leaving, is gone, or lost its address to another server.
  kLeaving,
  kEvacuated,     ///< An operator ordered that the server's data centre gets no new work.
  kOutsideHome,   ///< The request may only be served in other regions.
  kOtherVersion,  ///< The request goes on with a stream that another software version began.
  kRollout,       ///< A roll-out keeps ordinary work from servers of this version.
  kTried,         ///< The request was already sent to the server.
  /// The server asked this instance to send nothing for a time that isn't over yet.
  kBackOff,
  kServerLimit,  ///< The server has got as many requests as it states to take.
  kCold,         ///< The server is cold and has got as many requests as it may.
  /// The server failed recently; it is used all the same if too few other servers are left.
  kSuspect,
};

/// \brief Returns the reason's name for logs and counters.
[[nodiscard]] std::string_view IneligibleReasonName(IneligibleReason reason) noexcept;

/// \brief Returns true if nothing, or only the server's temporary state, keeps it from the request.
[[nodiscard]] bool MayBecomeEligible(IneligibleReason reason) noexcept;

/// \brief State of a server that decides whether it may take requests.
struct EligibilityInputs {
  bool m_leaving = false;
  bool m_evacuated = false;
  bool m_other_version = false;  ///< See `IsOtherVersion`.
  bool m_kept_by_rollout = false;
  bool m_backs_off = false;  ///< The server asked the sending instance to back off.
  bool m_at_limit = false;   ///< The server has got as many requests as it states to take.
  bool m_cold_full = false;  ///< See `ColdFull`.
  bool m_suspect = false;
  std::string_view m_region;  ///< Empty if unknown.

  friend bool operator==(const EligibilityInputs&, const EligibilityInputs&) = default;
};

/// \brief Regions in which a request may be served.
struct HomeRegions {
  bool m_restricted = false;           ///< False: any region may serve the request.
  std::vector<std::string> m_regions;  ///< Restricted and empty: no region may serve the request.

  friend bool operator==(const HomeRegions&, const HomeRegions&) = default;
};

/// \brief Returns true if a server in `region` may serve a request with these home regions. A
/// server of an unknown region may serve only requests that aren't restricted.
[[nodiscard]] bool AllowsRegion(const HomeRegions& homes, std::string_view region) noexcept;

/// \brief Returns why a server may not take a request, or `kNone`. The broker, instances without a
/// broker, retries and resumed streams all decide by this function. Pure and thread-safe.
/// \param tried true if the request was already sent to the server.
[[nodiscard]] IneligibleReason CheckEligibility(const EligibilityInputs& server,
                                                const HomeRegions& homes,
                                                bool tried) noexcept;

}  // namespace poppyway
