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

/// \brief The stage of a request. The only step back is from `kCalling` or `kRelaying` to
/// `kWaiting`, for a retry.
enum class ForwardingStage : std::uint8_t {
  kNew,
  kWaiting,   ///< It is in its pool's queue; no server works on it.
  kCalling,   ///< A call to a server is active; the caller has received nothing yet.
  kRelaying,  ///< The response head was sent to the caller.
  kDone,
};

/// \brief A backend server as this instance knows it.
struct Backend {
  wire::ServerRecord m_record;
  Endpoint m_endpoint;
  bool m_leaving = false;            ///< The server is draining or gone and gets no new requests.
  bool m_announced_leaving = false;  ///< The running process announced it; the registry may lag.
  bool m_replaced = false;           ///< Another server answered at its address.
  Instant m_misdirected_at{};        ///< When another server last rejected a call to this one.
  int m_in_flight = 0;               ///< Requests that this instance has in flight there.
  std::int64_t m_pending_prefill_tokens = 0;
  int m_in_flight_at_loss = 0;  ///< Requests in flight when the broker became unreachable.
  ServerPerformance m_performance;
  ServerHealth m_health;
  Instant m_back_off_until{};  ///< The server asked for no requests before this time.
  ServerLimit m_limit;         ///< As the server last stated to this instance.
  Brittleness m_brittleness;   ///< The same.
  SlowStartState m_slow_start;
  Instant m_last_byte{};        ///< When this instance last received a byte from it.
  Instant m_restart_learned{};  ///< When this instance learned of the server's last restart.
  /// Prompt segments that were sent there recently, each with the time of the last send. At most
  /// `kMaxSegments`.
  std::unordered_map<std::uint64_t, Instant> m_prompt_segments;
};

/// \brief One caller's request, from its arrival until its record is erased.
struct Forwarding {
  ForwardingRef m_ref = 0;
  ForwardingStage m_stage = ForwardingStage::kNew;
  ResponseWriter m_caller;

  std::int64_t m_held_bytes = 0;  ///< Bytes counted in `ForwarderState::m_held`.
  bool m_reading_paused = false;  ///< The response isn't read on: its caller has much to read.

  // The caller's request.
  std::string m_method;
  std::string m_target;
  std::string m_host;
  std::string m_body;
  CallerRequest m_request;

  // Decisions about the request.
  std::int64_t m_table_version = 0;  ///< Of the table that was in force at its arrival.
  std::shared_ptr<const Route> m_route;
  std::shared_ptr<const Workspace> m_workspace;
  std::shared_ptr<const Pool> m_pool;
  RequestFingerprint m_fingerprint = 0;  ///< Zero until the workspace is known.
  Tier m_tier = 0;  ///< The workspace's tier, or the route's if the workspace has none.
  Instant m_arrived{};
  Instant m_deadline{};              ///< The earlier of the caller's and the route's timeout.
  int m_length_class = 0;            ///< Length of the expected response; see `LengthClass`.
  Instant m_wait_until{};            ///< A queued request is rejected after this time.
  std::vector<std::string> m_tried;  ///< Servers that were sent a byte or whose slot was returned.
  /// Of these, those that this instance didn't know when the broker chose them.
  std::vector<std::string> m_unknown_servers;
  int m_attempts = 0;              ///< Number of calls that sent a byte.
  int m_misdirected = 0;           ///< Of these, those that another server rejected.
  bool m_uncounted_retry = false;  ///< The next call is a retry that no limit has counted yet.
  QuotaRequest m_quota;            ///< Quota that one run charges to the workspace.
  QuotaLimit m_limit;              ///< The workspace's limit with tolerance applied.
  StreamKey m_stream = 0;          ///< Of a resumable stream; zero: not stated.
  SoftwareId m_software = 0;       ///< That began the stream; zero: none did, or not known.
  HomeRegions m_allowed_regions;   ///< Allowed by the document at arrival and the current one.
  bool m_charged_without_broker = false;  ///< Charged to this instance's share of the limit.
  int m_possible_runs = 0;                ///< Number of calls that may have run the request.

  // The slot request and the slot.
  SlotRef m_slot_request = 0;     ///< The pending request to the broker; zero: none.
  Instant m_slot_requested_at{};  ///< When the slot request was sent.
  bool m_queued = false;          ///< The broker reported the slot request as queued.
  SlotRef m_slot = 0;             ///< The slot held for the active call; zero: none.
  SlotReport m_report;            ///< Data about the slot that the broker hasn't been sent.
  Duration m_estimated_wait{};    ///< Expected time until a slot is free; zero: unknown.
  Duration m_forecast{};          ///< The broker's forecast of the time to the first event.
  bool m_by_broker = false;       ///< The broker assigned the slot.
  bool m_sent = false;            ///< The server may have run the active call.

  // The active call.
  std::string m_server;                  ///< Id of the called server; empty: none.
  std::int64_t m_server_started_ms = 0;  ///< Start time of the server process that was called.
  std::unique_ptr<BackendCall> m_call;
  std::optional<Endpoint> m_helper;  ///< The instance that passes the active call on, if one does.
  int m_servers_out_of_reach = 0;    ///< Servers without a connection and without a helper's word.
  int m_helpers_tried = 0;           ///< For the current slot.
  ServerResponse m_response;
  bool m_head_accepted = false;                 ///< The response head has been accepted.
  std::optional<std::size_t> m_content_length;  ///< Of the server's response, if it states one.
  std::string m_buffered;  ///< Response body held until the caller's response starts.
  EventStreamParser m_events;
  bool m_server_lived = false;       ///< The server has lived on after it began to write.
  bool m_continued = false;          ///< The call goes on with a stream that has begun.
  SoftwareId m_called_software = 0;  ///< Of the called server as it was chosen; zero: in doubt.
  std::string m_last_version{"-"};   ///< Software version of the last server that wrote an event.
  Instant m_dispatched{};
  Instant m_last_byte{};    ///< When the last byte of the response arrived.
  Instant m_first_event{};  ///< When the first event of this call arrived.
  Instant m_last_event{};
  std::int64_t m_call_events = 0;
  std::int64_t m_prefill_tokens =
      0;  ///< Prompt tokens counted at the server until its first event.

  // The caller's response.
  Instant m_first_sent{};
  Duration m_longest_pause{};  ///< Longest time between two deliveries of events.
  int m_status = 0;
};

}  // namespace poppyway
