// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "poppyway/core.h"

namespace poppyway {

/// \brief Identifies one process of a backend server. A restarted server is another process.
using ServerProcessId = std::uint64_t;

/// \brief Returns the id of the server process with this server id and process start time.
/// Thread-safe; the same on every machine.
[[nodiscard]] ServerProcessId ServerProcessOf(std::string_view server, std::int64_t started_ms);

/// \brief Identifies a part of prompts that several requests may share. Zero: not identified.
using PromptPartId = std::uint64_t;

/// \brief A part of the prompt of a request that was running when a server crashed.
struct SuspectPart {
  PromptPartId m_part = 0;
  bool m_answered = false;  ///< The reporter saw servers respond to prompts with it before.

  friend bool operator==(const SuspectPart&, const SuspectPart&) = default;
};

/// \brief A server process that crashed, and what was running there.
struct ServerCrash {
  ServerProcessId m_process = 0;
  std::vector<RequestFingerprint> m_running;
  std::vector<SuspectPart> m_parts{};  ///< Without those that were just seen to be sound.

  friend bool operator==(const ServerCrash&, const ServerCrash&) = default;
};

/// \brief A request, or a part of prompts, that was running when servers crashed and has had no
/// complete response since.
struct CrashSuspect {
  std::set<ServerProcessId> m_crashes;
  std::int64_t m_last_ms = 0;   ///< Wall-clock time of the last crash.
  bool m_quarantined = false;   ///< It is considered the cause and isn't sent any more.
  std::int64_t m_first_ms = 0;  ///< Wall-clock time of the first crash.
  bool m_answered = false;      ///< A part that had complete responses before.
  int m_ended_quarantines = 0;  ///< Each makes the next one longer.

  friend bool operator==(const CrashSuspect&, const CrashSuspect&) = default;
};

/// \brief Parts of prompts that were in the same crashes. A request whose prompt has all of them is
/// quarantined.
struct QuarantinedParts {
  std::vector<PromptPartId> m_parts;
  std::int64_t m_first_ms = 0;  ///< Wall-clock time of the first crash that they were in.

  friend bool operator==(const QuarantinedParts&, const QuarantinedParts&) = default;
};

/// \brief Crashes that quarantine a request, or a part of prompts.
inline constexpr std::size_t kQuarantineCrashes = 3;
/// \brief Time after its last crash for which a request stays quarantined, in milliseconds.
inline constexpr std::int64_t kQuarantineMs = 3'600'000;
/// \brief Crashes within this time, in milliseconds, may have one cause, such as a rack that fails.
inline constexpr std::int64_t kOneEventMs = 100;
/// \brief Time after its last crash for which a request stays quarantined the first time if all of
/// its crashes may have had one cause, in milliseconds.
inline constexpr std::int64_t kDoubtfulQuarantineMs = 5'000;
/// \brief Time after its last crash for which a part stays quarantined the first time, in
/// milliseconds. It doubles each time, up to `kQuarantineMs`.
inline constexpr std::int64_t kPartQuarantineMs = 60'000;
/// \brief Time after its last crash for which another request stays a suspect, in milliseconds.
inline constexpr std::int64_t kSuspectMs = 600'000;
/// \brief Most suspects remembered of each kind; beyond it, those without quarantine and with the
/// oldest crash are forgotten first.
inline constexpr std::size_t kMaxCrashSuspects = 4096;

/// \brief Finds the requests, and the parts of prompts, that crash servers, as opposed to those
/// that only ran beside them.
///
/// A suspect is quarantined after `kQuarantineCrashes` crashes that no other quarantined one
/// explains. Those that never had a complete response go first, then those with the most
/// unexplained crashes, then requests before parts; a crash with a quarantined suspect among those
/// running counts for no other one. Parts that were in exactly the same crashes are quarantined
/// together: only a prompt with all of them is held back. What ran to a complete response crashes
/// no server and is cleared. All functions are deterministic; not thread-safe.
struct CrashSuspects {
  std::map<RequestFingerprint, CrashSuspect> m_suspects;
  std::map<PromptPartId, CrashSuspect> m_parts;
  std::vector<QuarantinedParts> m_quarantined_parts;  ///< Derived from `m_parts`.

  friend bool operator==(const CrashSuspects&, const CrashSuspects&) = default;
};

/// \brief Records a crash. Several reports of one process add up; a repeated one changes nothing.
/// \param now_ms wall-clock time.
void RecordCrash(CrashSuspects& suspects, const ServerCrash& crash, std::int64_t now_ms);

/// \brief Removes a request that has run to a complete response, whether quarantined or not.
void ClearSuspect(CrashSuspects& suspects, RequestFingerprint fingerprint);

/// \brief Removes a part of prompts that a server has responded to since its last crash.
void ClearPart(CrashSuspects& suspects, PromptPartId part);

/// \brief Removes a crash from all suspects, because another state counts it now.
void ForgetCrash(CrashSuspects& suspects, ServerProcessId process);

/// \brief Returns true if the request is quarantined.
[[nodiscard]] bool IsQuarantined(const CrashSuspects& suspects,
                                 RequestFingerprint fingerprint) noexcept;

/// \brief Forgets suspects whose last crash is too long ago. The quarantine of a part, and the
/// first one of a request whose crashes may have had one cause, end instead: with one more crash
/// they begin again. \param now_ms wall-clock time.
void ExpireSuspects(CrashSuspects& suspects, std::int64_t now_ms);

/// \brief Returns true if `ExpireSuspects` would forget a suspect.
[[nodiscard]] bool HasExpiredSuspects(const CrashSuspects& suspects, std::int64_t now_ms) noexcept;

/// \brief Returns the quarantined requests, in ascending order.
[[nodiscard]] std::vector<RequestFingerprint> QuarantinedRequests(const CrashSuspects& suspects);

/// \brief Returns true if a prompt with these parts is quarantined.
[[nodiscard]] bool HasQuarantinedParts(const std::vector<QuarantinedParts>& quarantined,
                                       const std::vector<PromptPartId>& parts) noexcept;

/// \brief Updates which suspects are quarantined. The functions above call it; others need it only
/// after filling `m_suspects` themselves.
void UpdateQuarantine(CrashSuspects& suspects);

}  // namespace poppyway
