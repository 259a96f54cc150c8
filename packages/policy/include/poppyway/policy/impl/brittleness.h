// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "poppyway/core.h"

namespace poppyway {

/// \brief Rejections of a brittle server that are remembered.
inline constexpr std::size_t kRememberedRejections = 16;

/// \brief What a server stated of its brittleness: it ends if it must reject more requests within a
/// second than it states, and it may let fewer wait than it has slots for.
///
/// Nothing is queued at a brittle server, and after half of the stated rejections within a second
/// it gets no more requests in that second. Whoever sends must count the rejections of all
/// instances.
struct Brittleness {
  std::optional<double> m_max_rejections;  ///< Per second; unset: the server isn't brittle.
  Instant m_changed{};                     ///< When that last changed.
  /// Times of the last rejections, in a ring; zero: none.
  std::array<Instant, kRememberedRejections> m_rejections{};
  std::size_t m_next = 0;  ///< Where the next one is recorded.

  friend bool operator==(const Brittleness&, const Brittleness&) = default;
};

/// \brief Applies what a response stated: a number of rejections, or, if unset, that the server
/// isn't brittle. A response without one to a request that was sent before the last change is
/// ignored. Not thread-safe.
/// \return true if it changed.
bool ApplyStatedBrittleness(Brittleness& brittleness,
                            std::optional<double> max_rejections,
                            Instant sent,
                            Instant now) noexcept;

/// \brief Records that the server rejected a request. Not thread-safe.
void RecordRejection(Brittleness& brittleness, Instant now) noexcept;

/// \brief Returns true if the server may get a request: it isn't brittle, or has rejected few
/// lately. \param instances number of instances that send without a broker, each of which has a
/// part of the rejections; 1 at the broker. Pure and thread-safe.
[[nodiscard]] bool MayRiskRejection(const Brittleness& brittleness,
                                    int instances,
                                    Instant now) noexcept;

}  // namespace poppyway
