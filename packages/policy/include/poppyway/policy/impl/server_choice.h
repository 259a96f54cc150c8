// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "poppyway/core.h"
#include "poppyway/policy/impl/tier.h"

namespace poppyway {

/// \brief How fast a backend server works, learned from its answers. Zero: not known yet.
struct ServerPerformance {
  double m_prefill_tokens_per_ms = 0;  ///< Prompt tokens read, at best; engines only.
  double m_event_interval_ms = 0;      ///< Between two events of a stream, as streams go.
  double m_service_ms = 0;             ///< From dispatch to the end of an answer.
  double m_pause_ms = 0;               ///< The longest pause of a stream, as streams go.

  friend bool operator==(const ServerPerformance&, const ServerPerformance&) = default;
};

/// \brief One backend server as it is seen at the moment of a decision.
struct ServerView {
  int m_slots = 1;            ///< Requests it works on at once.
  int m_own_in_flight = 0;    ///< Of this instance, in flight there.
  int m_other_in_flight = 0;  ///< Of other instances; at the broker, of all.
  int m_available_slots = 1;  ///< Places that this instance may still take.
  std::int64_t m_pending_prefill_tokens =
      0;                             ///< Prompt tokens ahead that it has not finished reading.
  std::int64_t m_cached_tokens = 0;  ///< Prompt tokens of this request that it likely still keeps.
  ServerPerformance m_performance;
  bool m_usable = true;  ///< Neither leaving nor suspect nor tried before.
  bool m_same_data_centre = false;
  Duration m_round_trip{};  ///< To another region, as learned; zero: the same one, or not known.
};

/// \brief What of a request decides where it goes.
struct RequestShape {
  Tier m_tier = 0;
  bool m_yields_to_higher_priority = false;  ///< Something more urgent waits for a place.
  std::int64_t m_prompt_tokens = 0;          ///< Zero for plain services.
  Duration m_latency_target{};               ///< First event, or whole answer, wanted within this.
  Duration m_waited{};                       ///< Of the aim, gone already.
  Duration m_gap_target{};                   ///< Longest pause that is in time; zero: not a stream.
  double m_events = 0;                       ///< Expected in the answer; zero: not known.
  Duration m_left{};                         ///< Until its deadline; zero: none.

  friend bool operator==(const RequestShape&, const RequestShape&) = default;
};

/// \brief A choice with what was predicted for it.
struct ServerChoice {
  std::size_t m_index = 0;
  Duration m_time_to_first_event{};  ///< Until the first event, or the answer of a plain service.

  friend bool operator==(const ServerChoice&, const ServerChoice&) = default;
};

/// \brief Predicted time to the first event at a server, its own queue included. `typical` stands
/// in for what is not known of the server yet.
[[nodiscard]] Duration PredictTimeToFirstEvent(const ServerView& server,
                                               const RequestShape& request,
                                               const ServerPerformance& typical) noexcept;

/// \brief The same as if nothing else were at work there.
[[nodiscard]] Duration PredictUnloadedTimeToFirstEvent(const ServerView& server,
                                                       const RequestShape& request,
                                                       const ServerPerformance& typical) noexcept;

/// \brief True if a request of this tier may be sent there now: what would wait in the server's own
/// queue, where tiers are not known, stays a small part of the aim, and the first event is expected
/// in time. A prompt that no server can read in time only has to find little ahead of it.
[[nodiscard]] bool HasRoom(const ServerView& server,
                           const RequestShape& request,
                           const ServerPerformance& typical) noexcept;

/// \brief True if the server, idle, would give the first event well in time and the whole answer
/// before the deadline. Where some server suits, a request waits for such a one: at another it
/// would hold a place and come to nothing.
[[nodiscard]] bool CanMeetTargets(const ServerView& server,
                                  const RequestShape& request,
                                  const ServerPerformance& typical) noexcept;

/// \brief True if some usable server suits the request.
[[nodiscard]] bool AnyCanMeetTargets(std::span<const ServerView> servers,
                                     const RequestShape& request,
                                     const ServerPerformance& typical) noexcept;

/// \brief The usable server with room and the best prediction; ties are broken by `random`.
[[nodiscard]] std::optional<ServerChoice> ChooseServer(std::span<const ServerView> servers,
                                                       const RequestShape& request,
                                                       const ServerPerformance& typical,
                                                       std::uint64_t random);

/// \brief The mean of what is known over a pool, to stand in for a server that is new.
[[nodiscard]] ServerPerformance AveragePerformance(std::span<const ServerView> servers) noexcept;

/// \brief Learns from the first event of a stream.
[[nodiscard]] ServerPerformance ObserveFirstEvent(const ServerPerformance& pace,
                                                  std::int64_t tokens_read,
                                                  Duration elapsed) noexcept;
/// \brief Learns from a whole stream: `events` came within `span` after the first one, the longest
/// pause between two of them was `pause`.
[[nodiscard]] ServerPerformance ObserveStream(const ServerPerformance& pace,
                                              std::int64_t events,
                                              Duration span,
                                              Duration pause) noexcept;
/// \brief Learns from a whole answer.
[[nodiscard]] ServerPerformance ObserveService(const ServerPerformance& pace,
                                               Duration elapsed) noexcept;

}  // namespace poppyway
