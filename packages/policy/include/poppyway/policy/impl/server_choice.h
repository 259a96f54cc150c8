// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "poppyway/core.h"
#include "poppyway/policy/impl/tier.h"

namespace poppyway {

/// \brief The speed of a backend server, learned from its responses. Zero: not known yet.
struct ServerPerformance {
  double m_prefill_tokens_per_ms = 0;  ///< Best prefill rate; engines only.
  double m_event_interval_ms = 0;      ///< Mean time between two events of a stream.
  double m_service_ms = 0;             ///< Mean time from dispatch to the response's end.
  double m_pause_ms = 0;               ///< Usual longest pause of a stream.

  friend bool operator==(const ServerPerformance&, const ServerPerformance&) = default;
};

/// \brief The state of one backend server at the time of a decision.
struct ServerView {
  int m_slots = 1;            ///< Requests that it processes at once.
  int m_own_in_flight = 0;    ///< Requests of this instance in flight there.
  int m_other_in_flight = 0;  ///< Requests of other instances; at the broker, of all.
  int m_available_slots = 1;  ///< Slots that this instance may still take.
  std::int64_t m_pending_prefill_tokens = 0;  ///< Prompt tokens ahead that it hasn't prefilled yet.
  std::int64_t m_cached_tokens = 0;  ///< Prompt tokens of this request that its cache likely holds.
  ServerPerformance m_performance;
  bool m_no_queue = false;  ///< It gets no more requests than it processes at once.
  bool m_usable = true;     ///< Neither leaving nor suspect nor tried before.
  bool m_same_data_centre = false;
  Duration m_round_trip{};  ///< Learned time to another region; zero if it is the same or unknown.
};

/// \brief The properties of a request that decide which server it goes to.
struct RequestShape {
  Tier m_tier = 0;
  /// A request of a higher tier waits, so this one may not take a server's last slots.
  bool m_yields_to_higher_priority = false;
  std::int64_t m_prompt_tokens = 0;  ///< Zero for plain services.
  Duration m_latency_target{};       ///< Target for the first event, or for a plain response.
  Duration m_waited{};               ///< Part of the target that has already passed.
  Duration m_gap_target{};           ///< Maximum pause between events; zero: not a stream.
  double m_events = 0;               ///< Events expected in the response; zero if unknown.
  Duration m_left{};                 ///< Time until its deadline; zero: none.

  friend bool operator==(const RequestShape&, const RequestShape&) = default;
};

/// \brief The chosen server with its prediction.
struct ServerChoice {
  std::size_t m_index = 0;           ///< Into the servers given.
  Duration m_time_to_first_event{};  ///< Predicted time to the first event, or to a plain response.

  friend bool operator==(const ServerChoice&, const ServerChoice&) = default;
};

/// \brief Predicts the time to the first event, or to a plain response, at a server, including its
/// queue and the round-trip time. `typical` stands in for values not known of the server yet.
[[nodiscard]] Duration PredictTimeToFirstEvent(const ServerView& server,
                                               const RequestShape& request,
                                               const ServerPerformance& typical) noexcept;

/// \brief Predicts the same time as if no other request were in flight at the server.
[[nodiscard]] Duration PredictUnloadedTimeToFirstEvent(const ServerView& server,
                                                       const RequestShape& request,
                                                       const ServerPerformance& typical) noexcept;

/// \brief Returns true if the request may be sent to the server now.
///
/// The wait in the server's own queue, which ignores tiers, must stay a small part of the latency
/// target, smaller for lower tiers, and the first event must be expected in time. A prompt that
/// would be late at an idle server too must only have little work ahead of it.
[[nodiscard]] bool HasRoom(const ServerView& server,
                           const RequestShape& request,
                           const ServerPerformance& typical) noexcept;

/// \brief Returns true if the idle server would send the first event well in time and the whole
/// response before the deadline.
///
/// Where some usable server can, a request waits for such a server: at another one it would hold a
/// slot without ending in time.
[[nodiscard]] bool CanMeetTargets(const ServerView& server,
                                  const RequestShape& request,
                                  const ServerPerformance& typical) noexcept;

/// \brief Returns true if `CanMeetTargets` holds for some usable server.
[[nodiscard]] bool AnyCanMeetTargets(std::span<const ServerView> servers,
                                     const RequestShape& request,
                                     const ServerPerformance& typical) noexcept;

/// \brief Returns the cost by which servers are compared, in milliseconds: the predicted time to
/// the first event, more for a busy server, one that is far away or one whose stream would be late.
[[nodiscard]] double ChoiceCostMs(const ServerView& server,
                                  const RequestShape& request,
                                  const ServerPerformance& typical) noexcept;

/// \brief Returns the usable server with room (`HasRoom`) and the best prediction, or nullopt if
/// none has room. Ties are broken by `random`.
[[nodiscard]] std::optional<ServerChoice> ChooseServer(std::span<const ServerView> servers,
                                                       const RequestShape& request,
                                                       const ServerPerformance& typical,
                                                       std::uint64_t random);

/// \brief Returns the mean of the known values over a pool, as `typical` for new servers.
[[nodiscard]] ServerPerformance AveragePerformance(std::span<const ServerView> servers) noexcept;

/// \brief Returns the performance after the first event of a stream, `elapsed` after dispatch, for
/// which the server prefilled `tokens_read` prompt tokens.
[[nodiscard]] ServerPerformance ObserveFirstEvent(const ServerPerformance& before,
                                                  std::int64_t tokens_read,
                                                  Duration elapsed) noexcept;
/// \brief Returns the performance after a whole stream: `events` followed within `span` after the
/// first one, and the longest pause between two of them was `pause`.
[[nodiscard]] ServerPerformance ObserveStream(const ServerPerformance& before,
                                              std::int64_t events,
                                              Duration span,
                                              Duration pause) noexcept;
/// \brief Returns the performance after a whole response, `elapsed` after dispatch.
[[nodiscard]] ServerPerformance ObserveService(const ServerPerformance& before,
                                               Duration elapsed) noexcept;

}  // namespace poppyway
