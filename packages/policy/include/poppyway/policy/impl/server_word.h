// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "poppyway/core.h"

namespace poppyway {

/// \brief What a backend server said of itself in an answer to one instance.
struct ServerWord {
  std::string m_server;
  std::int64_t m_born = 0;  ///< Birth of the life that said it, as in `PlaceServer`.
  Duration m_back_off{};  ///< It wants nothing from that instance for so long. Zero: it didn't ask.
  bool m_leaving = false;  ///< It is about to end: no instance is to send it anything new.

  friend bool operator==(const ServerWord&, const ServerWord&) = default;
};

/// \brief What one life of a backend server has said of itself, to all instances. It holds whatever
/// else is known of the server: good answers don't end it, since a server goes on with what it runs
/// while it turns new requests away.
struct ServerWords {
  bool m_leaving = false;  ///< To any instance; a life that leaves doesn't come back.
  std::map<std::string, Instant> m_back_off_until;  ///< By instance (incarnation) that was asked.

  friend bool operator==(const ServerWords&, const ServerWords&) = default;
};

/// \brief Takes a word that the server said to `holder` just now. A shorter time than the one under
/// way doesn't shorten it. Times that are over are dropped. Not thread-safe.
void TakeWord(ServerWords& words, const std::string& holder, const ServerWord& word, Instant now);

/// \brief For how long the server still wants nothing from `holder`; zero: it may get requests.
/// Pure; any thread.
[[nodiscard]] Duration BackOffLeft(const ServerWords& words,
                                   const std::string& holder,
                                   Instant now) noexcept;

/// \brief True if the server has asked any instance to send nothing for a time that isn't over.
/// Pure; any thread.
[[nodiscard]] bool AnyBackOff(const ServerWords& words, Instant now) noexcept;

/// \brief The shorter of two times, of which the first may not be known yet. Pure; any thread.
[[nodiscard]] Duration Shorter(std::optional<Duration> known, Duration other) noexcept;

}  // namespace poppyway
