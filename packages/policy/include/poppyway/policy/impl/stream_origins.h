// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "poppyway/core.h"

namespace poppyway {

/// \brief Identifies a stream: its workspace and the caller's attempt that brought its first event.
/// Zero: the attempt isn't known.
using StreamKey = std::uint64_t;

/// \brief Identifies the software version of a pool's servers. Versions have no order. Zero: not
/// known.
using SoftwareId = std::uint64_t;

/// \brief Returns the key of a stream; zero if `first_attempt` is empty. Thread-safe; the same on
/// every machine.
[[nodiscard]] StreamKey StreamKeyOf(std::string_view workspace,
                                    std::string_view first_attempt) noexcept;

/// \brief Returns the id of a version, also of the empty one. Never zero. Thread-safe; the same on
/// every machine.
[[nodiscard]] SoftwareId SoftwareIdOf(std::string_view pool, std::string_view version) noexcept;

/// \brief A stream and the software version that began it.
struct StreamOrigin {
  StreamKey m_stream = 0;
  SoftwareId m_software = 0;  ///< Zero: not known for sure.

  friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

/// \brief What a request needs that goes on with a stream which a server has begun.
struct Continuation {
  bool m_continues = false;   ///< False: the request may go to servers of any version.
  StreamKey m_stream = 0;     ///< Zero: the caller doesn't state it.
  SoftwareId m_software = 0;  ///< Zero: not known yet; no server may take the request.

  friend bool operator==(const Continuation&, const Continuation&) = default;
};

/// \brief Returns true if a server of this pool and version may not take the request.
[[nodiscard]] bool IsOtherVersion(const Continuation& continuation,
                                  std::string_view pool,
                                  std::string_view version) noexcept;

/// \brief How long a continuation of unknown version waits: a record of the stream may be on its
/// way.
inline constexpr Duration kMaxOriginWait{1'000'000};
/// \brief How long a continuation waits for a slot. Callers that wait for the rest of a stream
/// leave after two seconds of silence at the earliest.
inline constexpr Duration kMaxContinuationWait{2'000'000};

/// \brief Most streams in each of the two maps of `StreamOrigins`.
inline constexpr std::size_t kMaxStreamOrigins = 524'288;
/// \brief A record is kept for this time at least, unless there are too many.
inline constexpr Duration kStreamOriginAge{30'000'000};

/// \brief Which software version began each of the latest streams. Records older than
/// `kStreamOriginAge` are forgotten together, at twice that age at the latest. Not thread-safe.
struct StreamOrigins {
  std::unordered_map<StreamKey, SoftwareId> m_current;
  std::unordered_map<StreamKey, SoftwareId> m_previous;  ///< Recorded before those in `m_current`.
  Instant m_current_since{};

  friend bool operator==(const StreamOrigins&, const StreamOrigins&) = default;
};

/// \brief Records a stream's version, or records it again so that it isn't forgotten. Two different
/// versions for one stream, or an unknown one, leave it unknown. A stream of key zero isn't
/// recorded.
void RecordOrigin(StreamOrigins& origins, const StreamOrigin& origin, Instant now);

/// \brief Forgets a stream, which is complete.
void ForgetOrigin(StreamOrigins& origins, StreamKey stream);

/// \brief Returns the version that began a stream, zero if it isn't known for sure; nullopt if
/// there is no record of the stream.
[[nodiscard]] std::optional<SoftwareId> FindOrigin(const StreamOrigins& origins,
                                                   StreamKey stream) noexcept;

/// \brief Returns all records, in no particular order.
[[nodiscard]] std::vector<StreamOrigin> AllOrigins(const StreamOrigins& origins);

}  // namespace poppyway
