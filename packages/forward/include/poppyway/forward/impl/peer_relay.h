// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "poppyway/forward/impl/backend_call.h"
#include "poppyway/forward/impl/connection_probe.h"
#include "poppyway/http.h"

namespace poppyway {

struct ForwarderState;

/// \brief Why a helper returns no response of the server to a call that it was asked to pass on.
enum class RelayFault : std::uint8_t {
  /// The helper reaches other servers, but not this one. Nothing was sent.
  kServerUnreachable,
  /// The helper doesn't pass on calls: it is cut off itself, stops, doesn't know the server or
  /// lacks memory. Nothing was sent.
  kUnavailable,
  kBroken,  ///< The call broke off before a response; the server may have run the request.
};

/// \brief Returns the text of a fault, as helpers send it.
[[nodiscard]] std::string_view RelayFaultName(RelayFault fault) noexcept;
/// \brief Returns the fault that a helper's response reports, if any. An unknown text is `kBroken`.
[[nodiscard]] std::optional<RelayFault> FindRelayFault(const std::vector<Field>& fields);

/// \brief The header field that names the server's endpoint in a request to a helper.
inline constexpr std::string_view kRelayTo = "poppyway-relay-to";
/// \brief The header field of a request that only asks whether the helper reaches the server.
inline constexpr std::string_view kRelayCheck = "poppyway-relay-check";
/// \brief The header field of a helper's response that holds a `RelayFault`.
inline constexpr std::string_view kRelayFault = "poppyway-relay-fault";

/// \brief A call of another instance that this one passes on to a server.
struct RelayedCall {
  ResponseWriter m_caller;  ///< The other instance's request.
  std::string m_id;         ///< The caller's id of the request.
  Endpoint m_server;
  std::unique_ptr<BackendCall> m_call;
  std::unique_ptr<ConnectionProbe> m_probe;
  int m_others_tried = 0;  ///< Other servers that were tried after this one wasn't reached.
  std::size_t m_body_bytes = 0;
  std::int64_t m_held_bytes = 0;  ///< Bytes counted in `ForwarderState::m_held`.
  bool m_sent = false;
  bool m_reading_paused = false;
  bool m_done = false;
  Instant m_last_progress{};  ///< When it was sent, or its last byte arrived.
};

/// \brief Passes on calls of other instances that don't reach a server themselves. All decisions
/// about a request (slot, limits, retries, deadline) stay with the instance that it came to; a call
/// is passed on once, to the server that the other instance names. Belongs to the forwarder's
/// thread.
class PeerRelay {
 public:
  /// \param state must outlive the relay.
  PeerRelay(EventLoop& loop, ForwarderState& state);
  ~PeerRelay();
  PeerRelay(const PeerRelay&) = delete;
  PeerRelay& operator=(const PeerRelay&) = delete;

  /// \brief Listens for other instances. \return the error of the listening socket.
  [[nodiscard]] Result<void> Listen(const Endpoint& endpoint);
  /// \brief Ends calls whose instance has left, or that are silent while this instance is cut off,
  /// and erases ended ones. Call it outside callbacks of calls.
  void Tick(Instant now);
  /// \brief Returns the number of calls in progress.
  [[nodiscard]] std::size_t in_progress() const noexcept;

 private:
  using Ref = std::uint64_t;
  struct Generator;

  void OnRequest(h2o_req_t* req);
  void BeginCheck(Ref ref, RelayedCall& call);
  void BeginCall(Ref ref, RelayedCall& call, std::string request, bool head_only);
  HeadVerdict OnHead(Ref ref, int status, const std::vector<Field>& fields);
  void OnData(Ref ref, std::string_view bytes);
  void OnComplete(Ref ref);
  void OnFault(Ref ref, CallFault fault);
  void OnDisposed(Ref ref);
  void OnProceed(Ref ref);
  /// Ends a call whose server isn't reached from here, once it is known whether others are: an
  /// instance that has just lost all of them can't tell that one is lost.
  void EndUnreached(Ref ref);
  /// Responds without a response of the server, or cuts off the one that has begun.
  void End(RelayedCall& call, RelayFault fault);
  void Cancel(RelayedCall& call);
  void CountBytes(RelayedCall& call);
  [[nodiscard]] RelayedCall* Find(Ref ref);
  [[nodiscard]] bool MayHelp(const Endpoint& server) const;

  ForwarderState& m_state;
  HttpServer m_server;
  std::map<Ref, RelayedCall> m_calls;
  Ref m_next = 1;
  Instant m_callers_polled{};
};

}  // namespace poppyway
