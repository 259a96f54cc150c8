// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Calls of other instances that don't reach a server themselves.
#include <algorithm>
#include <array>

#include "steps.h"

namespace poppyway {
namespace {

constexpr std::size_t kMaxRelayed = 256;        // Calls passed on at once.
constexpr std::size_t kMaxUnread = 256 * 1024;  // Bytes that the other instance may leave unread.
constexpr std::int64_t kBodyCopies = 3;         // Copies of a body: request, call, HTTP library.
constexpr std::size_t kMaxBody = 16 << 20;      // As for callers.
constexpr std::uint64_t kIdleMillis = 60'000;   // Of connections from other instances.
constexpr Duration kCallerPollInterval{100'000};
// While this instance is cut off, a call without progress for this long is given up.
constexpr Duration kSilentTime{300'000};
// Of several servers that are lost at once, the first other one may be among them.
constexpr int kOthersTried = 2;
constexpr int kFaultStatus = 502;
constexpr int kReachedStatus = 204;

/// Fields of a server's response that aren't passed on: they concern one connection, or are set
/// anew.
constexpr std::array<std::string_view, 5> kNotPassedOn = {
    "connection", "keep-alive", "transfer-encoding", "content-length", kRelayFault};

bool IsPassedOn(std::string_view name) {
  return std::find(kNotPassedOn.begin(), kNotPassedOn.end(), name) == kNotPassedOn.end();
}

std::string TextOf(h2o_iovec_t bytes) {
  return std::string(bytes.base, bytes.len);
}

/// \brief A relayed request, decoded.
struct RelayRequest {
  std::optional<Endpoint> m_server;
  bool m_check_only = false;
  std::vector<Field> m_fields;  ///< Without those between the instances.
};

RelayRequest Decode(const h2o_req_t* req) {
  RelayRequest decoded;
  for (std::size_t i = 0; i < req->headers.size; ++i) {
    const h2o_header_t& header = req->headers.entries[i];
    Field field{TextOf(*header.name), TextOf(header.value)};
    if (field.m_name == kRelayTo) {
      if (const Result<Endpoint> endpoint = ParseEndpoint(field.m_value))
        decoded.m_server = *endpoint;
    } else if (field.m_name == kRelayCheck) {
      decoded.m_check_only = true;
    } else if (field.m_name != "connection") {
      decoded.m_fields.push_back(std::move(field));
    }
  }
  return decoded;
}

void SendFault(h2o_req_t* req, RelayFault fault) {
  AddField(req, kRelayFault, RelayFaultName(fault));
  SendResponse(req, kFaultStatus, "text/plain", "");
}

}  // namespace

std::string_view RelayFaultName(RelayFault fault) noexcept {
  switch (fault) {
    case RelayFault::kServerUnreachable:
      return "server_unreachable";
    case RelayFault::kUnavailable:
      return "unavailable";
    case RelayFault::kBroken:
      return "broken";
  }
  return "unknown";
}

std::optional<RelayFault> FindRelayFault(const std::vector<Field>& fields) {
  for (const Field& field : fields) {
    if (field.m_name != kRelayFault)
      continue;
    for (const RelayFault fault : {RelayFault::kServerUnreachable, RelayFault::kUnavailable}) {
      if (field.m_value == RelayFaultName(fault))
        return fault;
    }
    return RelayFault::kBroken;
  }
  return std::nullopt;
}

/// The response's generator; the library passes it to the callbacks.
struct PeerRelay::Generator {
  h2o_generator_t m_base;
  PeerRelay* m_relay;
  Ref m_ref;
};

PeerRelay::PeerRelay(EventLoop& loop, ForwarderState& state)
    : m_state(state), m_server(loop, HttpLimits{kMaxBody, kIdleMillis}, [this](h2o_req_t* req) {
        OnRequest(req);
      }) {
  impl::WatchArrivingRequests(m_state, m_server);
}

PeerRelay::~PeerRelay() {
  for (auto& [ref, call] : m_calls)
    Cancel(call);
}

Result<void> PeerRelay::Listen(const Endpoint& endpoint) {
  return m_server.Listen(endpoint.m_address, endpoint.m_port);
}

std::size_t PeerRelay::in_progress() const noexcept {
  return static_cast<std::size_t>(std::count_if(
      m_calls.begin(), m_calls.end(), [](const auto& entry) { return !entry.second.m_done; }));
}

RelayedCall* PeerRelay::Find(Ref ref) {
  const auto found = m_calls.find(ref);
  return found == m_calls.end() || found->second.m_done ? nullptr : &found->second;
}

bool PeerRelay::MayHelp(const Endpoint& server) const {
  return m_state.m_by_address.contains(server) && !m_state.m_stopping &&
         impl::ReachesServers(m_state) && m_calls.size() < kMaxRelayed &&
         IsWithinBudget(m_state.m_held);
}

void PeerRelay::OnRequest(h2o_req_t* req) {
  RelayRequest decoded = Decode(req);
  if (!decoded.m_server || !MayHelp(*decoded.m_server)) {
    m_state.m_metrics.Add("poppyway_forward_relays_declined_total");
    SendFault(req, RelayFault::kUnavailable);
    return;
  }
  const Ref ref = m_next++;
  RelayedCall& call = m_calls[ref];
  call.m_caller.m_req = req;
  call.m_server = *decoded.m_server;
  call.m_last_progress = ReadClock();
  struct Hook {
    PeerRelay* m_relay;
    Ref m_ref;
  };
  auto* hook = static_cast<Hook*>(h2o_mem_alloc_shared(&req->pool, sizeof(Hook), [](void* data) {
    const auto* disposed = static_cast<Hook*>(data);
    disposed->m_relay->OnDisposed(disposed->m_ref);
  }));
  *hook = {this, ref};
  if (decoded.m_check_only) {
    BeginCheck(ref, call);
    return;
  }
  m_state.m_metrics.Add("poppyway_forward_relays_total");
  const std::string method = TextOf(req->method);
  const std::string body = TextOf(req->entity);
  call.m_body_bytes = body.size();
  call.m_id = m_state.m_adapter.m_decode_request(decoded.m_fields).m_id;
  CountBytes(call);
  BeginCall(ref, call,
            impl::FormatRequest(method, TextOf(req->path), TextOf(req->authority), decoded.m_fields,
                                body),
            method == "HEAD");
}

void PeerRelay::BeginCheck(Ref ref, RelayedCall& call) {
  call.m_probe = std::make_unique<ConnectionProbe>(
      *m_state.m_connections, call.m_server, [this, ref](bool open) {
        RelayedCall* checked = Find(ref);
        if (checked == nullptr)
          return;
        if (!open) {
          EndUnreached(ref);
          return;
        }
        m_state.m_last_open_path = ReadClock();
        checked->m_done = true;
        if (checked->m_caller.m_req != nullptr)
          SendResponse(checked->m_caller.m_req, kReachedStatus, "text/plain", "");
      });
}

void PeerRelay::BeginCall(Ref ref, RelayedCall& call, std::string request, bool head_only) {
  CallEvents events;
  events.m_may_send = [this, ref] {
    RelayedCall* sent = Find(ref);
    const bool may = sent != nullptr && !CallerDisconnected(sent->m_caller.m_req);
    if (may) {
      sent->m_sent = true;
      sent->m_last_progress = ReadClock();
    }
    return may;
  };
  events.m_on_head = [this, ref](int status, std::vector<Field> fields) {
    return OnHead(ref, status, fields);
  };
  events.m_on_data = [this, ref](std::string_view bytes) { OnData(ref, bytes); };
  events.m_on_complete = [this, ref] { OnComplete(ref); };
  events.m_on_fault = [this, ref](CallFault fault) { OnFault(ref, fault); };
  // A request that may not be lost doesn't travel on a connection that has rested for long.
  constexpr bool kCareful = true;
  call.m_call =
      std::make_unique<BackendCall>(*m_state.m_connections, call.m_server, std::move(request),
                                    head_only, kCareful, std::move(events));
}

HeadVerdict PeerRelay::OnHead(Ref ref, int status, const std::vector<Field>& fields) {
  RelayedCall* call = Find(ref);
  if (call == nullptr || call->m_caller.m_req == nullptr)
    return HeadVerdict::kAccept;
  call->m_last_progress = ReadClock();
  m_state.m_last_byte = call->m_last_progress;
  const ServerResponse response = m_state.m_adapter.m_decode_response(status, fields);
  if (response.m_id && *response.m_id != call->m_id)
    return HeadVerdict::kSkip;  // The server answers an earlier request.
  if (response.m_keep_alive)
    call->m_call->SetKeepAlive(*response.m_keep_alive);
  h2o_req_t* req = call->m_caller.m_req;
  req->res.status = status;
  req->res.reason = ReasonPhrase(status);
  if (const std::optional<std::size_t> length = impl::ContentLength(fields))
    req->res.content_length = *length;
  for (const Field& field : fields) {
    if (IsPassedOn(field.m_name))
      AddField(req, field.m_name, field.m_value);
  }
  auto* generator = static_cast<Generator*>(h2o_mem_alloc_pool(&req->pool, sizeof(Generator)));
  *generator = {{[](h2o_generator_t* base, h2o_req_t* /*req*/) {
                   auto* self = reinterpret_cast<Generator*>(base);
                   self->m_relay->OnProceed(self->m_ref);
                 },
                 nullptr},
                this,
                ref};
  BeginResponse(call->m_caller, generator->m_base);
  return HeadVerdict::kAccept;
}

void PeerRelay::OnData(Ref ref, std::string_view bytes) {
  RelayedCall* call = Find(ref);
  if (call == nullptr)
    return;
  call->m_last_progress = ReadClock();
  m_state.m_last_byte = call->m_last_progress;
  SendChunk(call->m_caller, bytes, false);
  CountBytes(*call);
  if (call->m_caller.m_pending.size() <= kMaxUnread || call->m_reading_paused)
    return;
  call->m_reading_paused = true;
  call->m_call->Pause();
}

void PeerRelay::OnComplete(Ref ref) {
  RelayedCall* call = Find(ref);
  if (call == nullptr)
    return;
  SendChunk(call->m_caller, "", true);
  call->m_done = true;
}

void PeerRelay::OnFault(Ref ref, CallFault fault) {
  RelayedCall* call = Find(ref);
  if (call == nullptr)
    return;
  POPPYWAY_LOG(info, "relayed_call_failed")
      .Field("request", call->m_id)
      .Field("to", ToText(call->m_server))
      .Field("why", CallFaultName(fault))
      .Field("head", HeadFaultName(call->m_call->head_fault()));
  if (fault == CallFault::kNotConnected)
    impl::CheckPathAfterFailedConnect(m_state, call->m_server);
  if (fault == CallFault::kWithdrawn)
    End(*call, RelayFault::kUnavailable);
  else if (NothingSent(fault))
    EndUnreached(ref);
  else
    End(*call, RelayFault::kBroken);
}

void PeerRelay::OnProceed(Ref ref) {
  const auto found = m_calls.find(ref);
  if (found == m_calls.end())
    return;
  RelayedCall& call = found->second;
  ContinueResponse(call.m_caller);
  CountBytes(call);
  if (!call.m_reading_paused || call.m_caller.m_pending.size() > kMaxUnread || call.m_done)
    return;
  call.m_reading_paused = false;
  call.m_call->Resume();
}

void PeerRelay::OnDisposed(Ref ref) {
  const auto found = m_calls.find(ref);
  if (found == m_calls.end())
    return;
  RelayedCall& call = found->second;
  call.m_caller.m_req = nullptr;
  call.m_done = true;
  if (call.m_call)
    call.m_call->Cancel();
}

void PeerRelay::EndUnreached(Ref ref) {
  RelayedCall& call = *Find(ref);
  const std::optional<Endpoint> other = call.m_others_tried < kOthersTried
                                            ? impl::AnyOtherServer(m_state, call.m_server)
                                            : std::nullopt;
  if (!other || !impl::ReachesServers(m_state)) {
    End(call, RelayFault::kUnavailable);
    return;
  }
  ++call.m_others_tried;
  if (call.m_probe)
    m_state.m_retired_probes.push_back(std::move(call.m_probe));
  call.m_probe =
      std::make_unique<ConnectionProbe>(*m_state.m_connections, *other, [this, ref](bool open) {
        RelayedCall* asked = Find(ref);
        if (asked == nullptr)
          return;
        if (!open) {
          EndUnreached(ref);
          return;
        }
        m_state.m_last_open_path = ReadClock();
        End(*asked, RelayFault::kServerUnreachable);
      });
}

void PeerRelay::End(RelayedCall& call, RelayFault fault) {
  call.m_done = true;
  if (call.m_caller.m_req == nullptr)
    return;
  if (call.m_caller.m_started)
    AbortResponse(call.m_caller);
  else
    SendFault(call.m_caller.m_req, fault);
}

void PeerRelay::Cancel(RelayedCall& call) {
  m_state.m_held.m_total -= call.m_held_bytes;
  call.m_held_bytes = 0;
  call.m_call.reset();
  call.m_probe.reset();
}

void PeerRelay::CountBytes(RelayedCall& call) {
  const auto bytes =
      kBodyCopies * static_cast<std::int64_t>(call.m_body_bytes) +
      static_cast<std::int64_t>(call.m_caller.m_pending.size() + call.m_caller.m_sending.size());
  m_state.m_held.m_total += bytes - call.m_held_bytes;
  call.m_held_bytes = bytes;
}

void PeerRelay::Tick(Instant now) {
  const bool poll = now - m_callers_polled >= kCallerPollInterval;
  if (poll) {
    m_callers_polled = now;
    m_server.Refresh();
  }
  impl::LimitArrivingRequests(m_state, m_server);
  for (auto& [ref, call] : m_calls) {
    if (call.m_done)
      continue;
    const bool left = poll && CallerDisconnected(call.m_caller.m_req);
    const bool silent = m_state.m_paths.m_cut_off && now - call.m_last_progress >= kSilentTime;
    if (!left && !silent)
      continue;
    if (call.m_call)
      call.m_call->Cancel();
    // The server may have run what was sent; the other instance has to know.
    End(call, call.m_sent ? RelayFault::kBroken : RelayFault::kUnavailable);
  }
  // A record stays until the HTTP library has disposed of its request.
  for (auto it = m_calls.begin(); it != m_calls.end();) {
    if (!it->second.m_done || it->second.m_caller.m_req != nullptr) {
      ++it;
      continue;
    }
    Cancel(it->second);
    it = m_calls.erase(it);
  }
}

}  // namespace poppyway
