// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace poppyway {

/// \brief Why a backend server may not take a request now. Of several reasons the first one below
/// is given.
enum class IneligibleReason : std::uint8_t {
  kNone,         ///< It may.
  kLeaving,      ///< It said so, is gone, or a later one took its address.
  kEvacuated,    ///< An operator ordered that its data centre gets nothing new.
  kOutsideHome,  ///< The request may only be served in other regions.
  kRollout,      ///< A roll-out keeps servers of its version from ordinary work.
  kTried,        ///< The request was sent there before.
  kBackOff,      ///< It asked this instance to send nothing for a while, which is not over.
  kCold,         ///< It has got as much as it may while it is cold.
  kSuspect,      ///< It failed lately; used all the same where too little else is left.
};

/// \brief Text for logs and counters.
[[nodiscard]] std::string_view IneligibleReasonName(IneligibleReason reason) noexcept;

/// \brief True if only the server's state at the moment, or nothing, keeps the request from it.
[[nodiscard]] bool MayBecomeEligible(IneligibleReason reason) noexcept;

/// \brief What of a server decides whether it may take requests.
struct EligibilityInputs {
  bool m_leaving = false;
  bool m_evacuated = false;
  bool m_kept_by_rollout = false;
  bool m_backs_off = false;  ///< From the instance that sends the request.
  bool m_cold_full = false;  ///< See `SlowStartState`.
  bool m_suspect = false;
  std::string_view m_region;  ///< Empty: not known.

  friend bool operator==(const EligibilityInputs&, const EligibilityInputs&) = default;
};

/// \brief Regions in which a request may be served.
struct HomeRegions {
  bool m_restricted = false;           ///< False: any region may serve it.
  std::vector<std::string> m_regions;  ///< Bound and empty: none may.

  friend bool operator==(const HomeRegions&, const HomeRegions&) = default;
};

/// \brief True if a server of `region` may serve what has these homes. A server whose region isn't
/// known may serve only what isn't bound.
[[nodiscard]] bool IsInHomeRegion(const HomeRegions& homes, std::string_view region) noexcept;

/// \brief The one answer to whether a server may take a request: for the broker, for instances that
/// decide alone, for retries and for resumed streams. Pure; any thread.
/// \param tried the request was sent there before.
[[nodiscard]] IneligibleReason CheckEligibility(const EligibilityInputs& server,
                                                const HomeRegions& homes,
                                                bool tried) noexcept;

}  // namespace poppyway
