// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "poppyway/forward/impl/backend_call.h"
#include "poppyway/forward/impl/event_stream.h"
#include "poppyway/forward/impl/protocol_adapter.h"
#include "poppyway/http.h"

namespace poppyway {

/// \brief Names a request within one forwarder.
using ForwardingRef = std::uint64_t;

/// \brief Where a request stands; it moves back only from `kCalling` to `kWaiting`, for another
/// try.
enum class ForwardingStage : std::uint8_t {
  kNew,
  kWaiting,   ///< In the queue of its pool; no server works on it.
  kCalling,   ///< A call to a server is under way; the caller has had nothing yet.
  kRelaying,  ///< The answer's head went to the caller.
  kDone,
};

/// \brief A backend server as this instance knows it.
struct Backend {
  wire::ServerRecord m_record;
  Endpoint m_place;
  bool m_leaving = false;            ///< It said so, or is gone: no new work.
  bool m_announced_leaving = false;  ///< In an answer of this life; the registry may not know yet.
  bool m_replaced = false;           ///< Another server answered at its place.
  int m_in_flight = 0;               ///< Of this instance.
  std::int64_t m_pending_prefill_tokens = 0;
  int m_own_before = 0;  ///< In flight when the broker was lost.
  ServerPerformance m_performance;
  ServerHealth m_health;
  Instant m_back_off_until{};  ///< It asked this instance to send nothing before.
  SlowStartState m_slow_start;
  Instant m_last_heard{};  ///< Any byte from it.
  Instant m_life_told{};   ///< When this instance learned that it had started again.
  /// Prompt parts that were sent there last, with when. Bounded by `kMostParts`.
  std::unordered_map<std::uint64_t, Instant> m_prompt_segments;
};

/// \brief One request from its arrival to its end.
struct Forwarding {
  ForwardingRef m_ref = 0;
  ForwardingStage m_stage = ForwardingStage::kNew;
  ResponseWriter m_caller;

  // What the caller sent.
  std::string m_method;
  std::string m_target;
  std::string m_host;
  std::string m_body;
  CallerRequest m_request;

  // What was decided.
  std::shared_ptr<const RouteTable> m_table;
  const Route* m_route = nullptr;
  const Workspace* m_workspace = nullptr;
  const Pool* m_pool = nullptr;
  Tier m_tier = 0;
  Instant m_arrived{};
  Instant m_deadline{};    ///< The caller's patience or the route's timeout, whichever is first.
  int m_length_class = 0;  ///< Doublings of the expected answer above the usual.
  Instant m_wait_until{};  ///< In the queue; refused after this.
  std::vector<std::string> m_tried;  ///< Servers that were sent a byte.
  int m_reached = 0;                 ///< How many calls sent a byte.
  QuotaRequest m_quota;              ///< What one run takes of the workspace's limit.
  QuotaLimit m_limit;                ///< That limit, as it is aimed at.
  HomeRegions m_home_regions;  ///< Where it may be served: by its document and the one in force.
  bool m_charged_without_broker = false;  ///< It was taken from this instance's part of the limit.
  int m_unsure = 0;                       ///< Of those, calls after which the request may have run.

  // The place request and the place.
  SlotRef m_slot_request = 0;   ///< The broker's answer is awaited; zero: it isn't.
  Instant m_asked{};            ///< When it was asked.
  bool m_queued = false;        ///< The broker has said that it waits there.
  SlotRef m_slot = 0;           ///< Held for the call under way; zero: none.
  SlotReport m_report;          ///< Of that place, as far as it isn't told yet.
  Duration m_estimated_wait{};  ///< When the broker expects room; zero: it didn't say.
  Duration m_forecast{};        ///< Of the first event, when the place was given.
  bool m_by_broker = false;     ///< The broker gave the place.
  bool m_sent = false;          ///< The server may have run the call under way.

  // The call under way.
  std::string m_server;                  ///< Its id; empty: none.
  std::int64_t m_server_started_ms = 0;  ///< Of the life of that server that the call went to.
  std::unique_ptr<BackendCall> m_call;
  ServerResponse m_answer;
  bool m_headed = false;   ///< Its head has come.
  std::string m_buffered;  ///< Its body, while the caller has had nothing.
  EventStreamParser m_events;
  Instant m_dispatched{};
  Instant m_heard{};        ///< Its last byte.
  Instant m_first_event{};  ///< Of the call.
  Instant m_last_event{};
  std::int64_t m_call_events = 0;
  std::int64_t m_read_tokens = 0;  ///< Prompt tokens counted at the server until its first event.

  // What the caller has got.
  Instant m_first_sent{};
  Duration m_longest_pause{};  ///< Between two passes of events.
  int m_status = 0;
};

}  // namespace poppyway
