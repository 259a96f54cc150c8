// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>

namespace poppyway {

/// \brief Bytes that an instance holds for its callers: request bodies, and parts of responses that
/// callers haven't read. Values are in bytes.
struct HeldBytes {
  std::int64_t m_budget = 64 << 20;
  std::int64_t m_total = 0;

  friend bool operator==(const HeldBytes&, const HeldBytes&) = default;
};

/// \brief Returns the bytes that may still be held.
[[nodiscard]] constexpr std::int64_t FreeBytes(const HeldBytes& held) noexcept {
  return std::max<std::int64_t>(0, held.m_budget - held.m_total);
}

/// \brief Returns true if a response may be read on from its server although its caller has
/// `unread` bytes of it still to read.
///
/// Each response may hold as many bytes as are free (the dynamic threshold of shared buffers in
/// switches, Choudhury and Hahne 1998). So a few slow callers may hold much, and with many of them
/// those that hold most are paused first; with n of them, an (n + 1)th part of the budget always
/// stays free for others.
[[nodiscard]] constexpr bool MayReadOn(const HeldBytes& held, std::int64_t unread) noexcept {
  return unread <= FreeBytes(held);
}

/// \brief Returns true if the budget covers all bytes held, a new request's included.
[[nodiscard]] constexpr bool IsWithinBudget(const HeldBytes& held) noexcept {
  return held.m_total <= held.m_budget;
}

/// \brief A request body that is still arriving. Values are in bytes of memory.
struct ArrivingBody {
  std::int64_t m_arrived = 0;   ///< What it takes now.
  std::int64_t m_complete = 0;  ///< What it will take once it is complete and sent on.

  friend bool operator==(const ArrivingBody&, const ArrivingBody&) = default;
};

/// \brief Returns how many of `bodies`, from the first one on, may be read on so that all of them
/// fit into the budget together with what is held already and what the others take now.
///
/// Only complete bodies are ever released, so the first one waits for what is held and not for what
/// has arrived of the others. One that never fits is read on: once complete, it is refused. Bodies
/// are in the order in which they are to be completed. Pure, thread-safe.
[[nodiscard]] std::size_t CountReadableBodies(const HeldBytes& held,
                                              std::span<const ArrivingBody> bodies) noexcept;

}  // namespace poppyway
