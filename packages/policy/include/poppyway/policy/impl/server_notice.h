// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "poppyway/core.h"
#include "poppyway/policy/impl/server_eligibility.h"

namespace poppyway {

/// \brief What a backend server said of itself in an answer to one instance.
struct ServerNotice {
  std::string m_server;
  std::int64_t m_started_ms = 0;  ///< Birth of the life that said it, as in `BackendServer`.
  Duration m_back_off{};  ///< It wants nothing from that instance for so long. Zero: it didn't ask.
  bool m_leaving = false;  ///< It is about to end: no instance is to send it anything new.

  friend bool operator==(const ServerNotice&, const ServerNotice&) = default;
};

/// \brief What one life of a backend server has said of itself, to all instances. It holds whatever
/// else is known of the server: good answers don't end it, since a server goes on with what it runs
/// while it turns new requests away.
struct ServerNotices {
  bool m_leaving = false;  ///< To any instance; a life that leaves doesn't come back.
  std::map<std::string, Instant> m_back_off_until;  ///< By instance (incarnation) that was asked.

  friend bool operator==(const ServerNotices&, const ServerNotices&) = default;
};

/// \brief Takes a word that the server said to `instance` just now. A shorter time than the one
/// under way doesn't shorten it. Times that are over are dropped. Not thread-safe.
void TakeWord(ServerNotices& notices,
              const std::string& instance,
              const ServerNotice& notice,
              Instant now);

/// \brief For how long the server still wants nothing from `instance`; zero: it may get requests.
/// Pure; any thread.
[[nodiscard]] Duration BackOffLeft(const ServerNotices& notices,
                                   const std::string& instance,
                                   Instant now) noexcept;

/// \brief True if the server has asked any instance to send nothing for a time that isn't over.
/// Pure; any thread.
[[nodiscard]] bool AnyBackOff(const ServerNotices& notices, Instant now) noexcept;

/// \brief When the first server that could serve a request wants something from its instance again,
/// if all of them have asked that instance to send nothing for a while; nullopt if one takes it
/// now, or as soon as it has room, and if none could serve it at all. Any thread. \param servers
/// how many there are. \param reason_of what keeps the i-th from the request. \param left_of for
/// how long the i-th, which backs off, still does.
template <typename ReasonOf, typename LeftOf>
[[nodiscard]] std::optional<Duration> ShortestBackOff(std::size_t servers,
                                                      ReasonOf reason_of,
                                                      LeftOf left_of) {
  std::optional<Duration> shortest;
  for (std::size_t i = 0; i < servers; ++i) {
    const IneligibleReason reason = reason_of(i);
    if (reason == IneligibleReason::kBackOff) {
      const Duration left = left_of(i);
      shortest = shortest ? std::min(*shortest, left) : left;
    } else if (MayBecomeEligible(reason)) {
      return std::nullopt;
    }
  }
  return shortest;
}

}  // namespace poppyway
