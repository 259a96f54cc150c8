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

/// \brief What a backend server announced about itself in a response to one instance.
struct ServerNotice {
  std::string m_server;
  /// Start time of the process that sent it, as in `BackendServer`.
  std::int64_t m_started_ms = 0;
  /// Time for which the server wants no requests from that instance; zero if it didn't ask.
  Duration m_back_off{};
  bool m_leaving = false;  ///< The server is shutting down and gets no new work from any instance.
  /// Requests per second that the server states to take from all instances; unset: any number.
  std::optional<double> m_limit_per_s;
  /// Rejections per second above which the server ends; unset: it isn't brittle.
  std::optional<double> m_max_rejections;

  friend bool operator==(const ServerNotice&, const ServerNotice&) = default;
};

/// \brief The notices that a process of a backend server has sent to all instances.
///
/// They hold whatever else is known of the server. Successful responses don't end them, since a
/// server completes running requests while it rejects new ones.
struct ServerNotices {
  /// Announced to any instance; a process that announced it never takes new work again.
  bool m_leaving = false;
  /// End of the back-off by incarnation of the instance.
  std::map<std::string, Instant> m_back_off_until;

  friend bool operator==(const ServerNotices&, const ServerNotices&) = default;
};

/// \brief Records a notice that the server has just sent to `instance`. A shorter back-off doesn't
/// shorten the one in effect; expired ones are removed. Not thread-safe.
void RecordNotice(ServerNotices& notices,
                  const std::string& instance,
                  const ServerNotice& notice,
                  Instant now);

/// \brief Returns how long the server still wants no requests from `instance`; zero if it takes
/// them. Pure and thread-safe.
[[nodiscard]] Duration BackOffLeft(const ServerNotices& notices,
                                   const std::string& instance,
                                   Instant now) noexcept;

/// \brief Returns true if a back-off of any instance is in effect. Pure and thread-safe.
[[nodiscard]] bool AnyBackOff(const ServerNotices& notices, Instant now) noexcept;

/// \brief Returns the shortest remaining back-off if all servers that could serve a request have
/// asked its instance to back off. Thread-safe if the callables are.
/// \param servers number of servers.
/// \param reason_of returns why the i-th server may not take the request.
/// \param left_of returns the remaining back-off of the i-th server; called only if it has one.
/// \return nullopt if a server takes the request now or may do so soon, or if no server could serve
/// it at all.
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
