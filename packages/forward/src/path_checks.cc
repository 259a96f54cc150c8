// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Whether a failure lies at a server or at this instance's path to it: another instance is asked
// whether it reaches the server.
#include <algorithm>

#include "steps.h"

namespace poppyway::impl {
namespace {

constexpr int kMaxHelpersAsked = 6;  // As many as a leader names.
// With no byte of any server for this long, and a call that waits, the paths are checked.
constexpr Duration kSilentTime{200'000};
constexpr Duration kSilenceCheckInterval{1'000'000};
constexpr std::size_t kServersPerSilenceCheck = 2;
// While cut off, a call without progress for this long is given up.
constexpr Duration kSilentCallTime{300'000};

/// Adds what ran in further calls, each part of prompts once.
void AddBrokenCalls(ServerCrash& known, const ServerCrash& more) {
  known.m_running.insert(known.m_running.end(), more.m_running.begin(), more.m_running.end());
  for (const SuspectPart& part : more.m_parts)
    AddSuspectPart(known.m_parts, part);
}

std::string CheckRequest(const Endpoint& server) {
  return "GET / HTTP/1.1\r\nhost: helper\r\n" + std::string(kRelayTo) + ": " + ToText(server) +
         "\r\n" + std::string(kRelayCheck) + ": 1\r\n\r\n";
}

void LogTransition(ForwarderState& state, PathTransition transition, const std::string& server) {
  if (transition == PathTransition::kNone)
    return;
  const bool cut_off = transition == PathTransition::kCutOff;
  state.m_metrics.Set("poppyway_forward_cut_off", "", cut_off ? 1 : 0);
  state.m_metrics.Add("poppyway_forward_cut_off_changes_total");
  POPPYWAY_LOG(warning, cut_off ? "servers_cut_off" : "servers_reached")
      .Field("server", server)
      .Field("any_heard_ms",
             state.m_last_byte == Instant{} ? -1 : (ReadClock() - state.m_last_byte).count() / 1000)
      .Field("helpers", state.m_helpers.size());
}

/// Kept connections of an instance that is cut off are silent, unless bytes still arrive.
void CloseSilentConnections(ForwarderState& state, Instant now) {
  if (now - state.m_last_byte < kSilentTime)
    return;
  for (const auto& [id, backend] : state.m_backends)
    state.m_connections->Forget(backend.m_endpoint);
}

/// Ends a check. `reached_by_helper`: another instance reaches the server; unset: nobody knows.
void EndCheck(ForwarderState& state,
              ServerProcessId process,
              bool reached_here,
              std::optional<bool> reached_by_helper) {
  const auto found = state.m_path_checks.find(process);
  if (found == state.m_path_checks.end())
    return;
  PathCheck check = std::move(found->second);
  state.m_path_checks.erase(found);
  if (check.m_probe)
    state.m_retired_probes.push_back(std::move(check.m_probe));
  if (check.m_asked)
    state.m_retired.push_back(std::move(check.m_asked));
  POPPYWAY_LOG(info, "path_checked")
      .Field("server", check.m_server)
      .Field("reached", reached_here)
      .Field("helper_reaches", reached_by_helper ? (*reached_by_helper ? 1 : 0) : -1)
      .Field("helpers_asked", check.m_helpers_asked)
      .Field("broken_calls", check.m_broken_calls.m_running.size());
  if (reached_here) {
    state.m_last_open_path = ReadClock();
    if (!check.m_broken_calls.m_running.empty())
      POPPYWAY_LOG(info, "server_alive")
          .Field("server", check.m_server)
          .Field("broken_calls", check.m_broken_calls.m_running.size());
    return;
  }
  if (reached_by_helper.value_or(false)) {
    OnBrokenPath(state, check.m_server);
    return;
  }
  if (!reached_by_helper && !state.m_helpers.empty())
    state.m_doubtful_at = ReadClock();
  // Without any other instance, a server that can't be reached counts as crashed.
  const bool alone = !reached_by_helper && state.m_helpers.empty();
  const bool crashed = alone || (reached_by_helper && !*reached_by_helper);
  if (crashed && !check.m_broken_calls.m_running.empty())
    RecordServerCrash(state, check.m_server, check.m_broken_calls);
}

void AskHelper(ForwarderState& state, ServerProcessId process);

/// Handles a helper's word on the server. `fault` unset: it reaches the server.
void OnHelperWord(ForwarderState& state, ServerProcessId process, std::optional<RelayFault> fault) {
  const auto found = state.m_path_checks.find(process);
  if (found == state.m_path_checks.end())
    return;
  if (!fault) {
    EndCheck(state, process, false, true);
    return;
  }
  if (*fault == RelayFault::kServerUnreachable) {
    EndCheck(state, process, false, false);
    return;
  }
  AvoidHelper(state.m_helpers, found->second.m_helper, ReadClock());
  AskHelper(state, process);
}

/// Asks a helper whether it reaches the server; ends the check if there is none to ask.
void AskHelper(ForwarderState& state, ServerProcessId process) {
  PathCheck& check = state.m_path_checks.at(process);
  const std::optional<Endpoint> helper =
      check.m_helpers_asked < kMaxHelpersAsked
          ? ChooseHelper(state.m_helpers, state.m_random(), ReadClock())
          : std::nullopt;
  if (!helper) {
    EndCheck(state, process, false, std::nullopt);
    return;
  }
  ++check.m_helpers_asked;
  check.m_helper = *helper;
  if (check.m_asked)
    state.m_retired.push_back(std::move(check.m_asked));
  CallEvents events;
  events.m_may_send = [] { return true; };
  events.m_on_head = [&state, process](int /*status*/, const std::vector<Field>& fields) {
    const auto found = state.m_path_checks.find(process);
    if (found != state.m_path_checks.end())
      found->second.m_word = FindRelayFault(fields);
    return HeadVerdict::kAccept;
  };
  events.m_on_data = [](std::string_view) {};
  events.m_on_complete = [&state, process] {
    const auto found = state.m_path_checks.find(process);
    if (found != state.m_path_checks.end())
      OnHelperWord(state, process, found->second.m_word);
  };
  events.m_on_fault = [&state, process](CallFault) {
    OnHelperWord(state, process, RelayFault::kUnavailable);
  };
  check.m_asked =
      std::make_unique<BackendCall>(*state.m_connections, *helper, CheckRequest(check.m_endpoint),
                                    false, true, std::move(events));
}

/// Tries a connection to the server from here, then asks a helper if it doesn't come up.
void ProbeHere(ForwarderState& state, ServerProcessId process) {
  PathCheck& check = state.m_path_checks.at(process);
  // Connections that were idle may not show yet that the server closed them.
  state.m_connections->Forget(check.m_endpoint);
  check.m_probe = std::make_unique<ConnectionProbe>(
      *state.m_connections, check.m_endpoint, [&state, process](bool open) {
        if (open)
          EndCheck(state, process, true, std::nullopt);
        else if (state.m_path_checks.contains(process))
          AskHelper(state, process);
      });
}

/// Tries a path itself from time to time while this instance is cut off.
void ProbeWhileCutOff(ForwarderState& state, Instant now) {
  if (state.m_backends.empty() || state.m_restoring || !TakePathProbe(state.m_paths, now))
    return;
  auto chosen = state.m_backends.begin();
  std::advance(chosen, state.m_random() % state.m_backends.size());
  if (chosen->second.m_leaving)
    return;  // The next one will be another server.
  state.m_restoring = std::make_unique<ConnectionProbe>(
      *state.m_connections, chosen->second.m_endpoint, [&state, server = chosen->first](bool open) {
        state.m_retired_probes.push_back(std::move(state.m_restoring));
        if (!open)
          return;
        state.m_last_open_path = ReadClock();
        LogTransition(state, RecordOpenPath(state.m_paths, server), server);
      });
}

bool IsSilentDirectCall(const Forwarding& forwarding, Duration time, Instant now) {
  const bool active = (forwarding.m_stage == ForwardingStage::kCalling ||
                       forwarding.m_stage == ForwardingStage::kRelaying) &&
                      forwarding.m_call && !forwarding.m_helper && !forwarding.m_server.empty();
  const Instant last = std::max(forwarding.m_dispatched, forwarding.m_last_byte);
  return active && now - last >= time;
}

/// Checks the paths to some servers if calls wait and no server sends a byte.
void WatchSilence(ForwarderState& state, Instant now) {
  const bool due = !state.m_helpers.empty() && !state.m_paths.m_cut_off &&
                   now - state.m_last_byte >= kSilentTime && now >= state.m_next_silence_check;
  if (!due)
    return;
  std::vector<std::string> silent;
  for (const auto& [ref, forwarding] : state.m_forwardings) {
    const bool counts =
        forwarding->m_sent && IsSilentDirectCall(*forwarding, kSilentTime, now) &&
        std::find(silent.begin(), silent.end(), forwarding->m_server) == silent.end();
    if (counts)
      silent.push_back(forwarding->m_server);
    if (silent.size() == kServersPerSilenceCheck)
      break;
  }
  if (silent.empty())
    return;
  state.m_next_silence_check = now + kSilenceCheckInterval;
  for (const std::string& server : silent)
    BeginPathCheck(state, server, {});
  // One silent server alone may be slow; a second one is needed to know that this instance is cut
  // off.
  if (silent.size() == 1 && state.m_backends.size() > 1) {
    auto other = state.m_backends.begin();
    std::advance(other, state.m_random() % state.m_backends.size());
    if (!other->second.m_leaving && other->first != silent[0])
      BeginPathCheck(state, other->first, {});
  }
}

/// Sends repeatable requests whose calls are silent elsewhere: the servers get nothing of them.
void LeaveSilentCalls(ForwarderState& state, Instant now) {
  if (!state.m_paths.m_cut_off || now - state.m_last_byte < kSilentTime)
    return;
  std::vector<ForwardingRef> silent;
  for (const auto& [ref, forwarding] : state.m_forwardings) {
    if (IsSilentDirectCall(*forwarding, kSilentCallTime, now))
      silent.push_back(ref);
  }
  for (const ForwardingRef ref : silent) {
    Forwarding* forwarding = Find(state, ref);
    if (forwarding == nullptr || !forwarding->m_call)
      continue;
    const std::string server = forwarding->m_server;
    if (RetryElsewhere(state, *forwarding, "path_lost"))
      POPPYWAY_LOG(info, "silent_call_left")
          .Field("request", forwarding->m_request.m_id)
          .Field("server", server);
  }
}

}  // namespace

void OnBrokenPath(ForwarderState& state, const std::string& server) {
  const Instant now = ReadClock();
  state.m_metrics.Add("poppyway_forward_broken_paths_total");
  const PathTransition transition =
      RecordBrokenPath(state.m_paths, server, state.m_backends.size(), now);
  LogTransition(state, transition, server);
  if (transition == PathTransition::kCutOff)
    CloseSilentConnections(state, now);
}

void BeginPathCheck(ForwarderState& state,
                    const std::string& server,
                    const ServerCrash& broken_calls) {
  const Backend* backend = FindBackend(state, server);
  if (backend == nullptr)
    return;
  const ServerProcessId process = ServerProcessOf(server, backend->m_record.born);
  const auto [entry, added] = state.m_path_checks.try_emplace(process);
  PathCheck& check = entry->second;
  check.m_broken_calls.m_process = process;
  AddBrokenCalls(check.m_broken_calls, broken_calls);
  if (!added)
    return;
  check.m_server = server;
  check.m_endpoint = backend->m_endpoint;
  if (IsPathBroken(state.m_paths, server, ReadClock()))
    AskHelper(state, process);
  else
    ProbeHere(state, process);
}

void CheckPathAfterFailedConnect(ForwarderState& state, const Endpoint& endpoint) {
  const auto found = state.m_by_address.find(endpoint);
  if (state.m_helpers.empty() || found == state.m_by_address.end() || found->second.empty())
    return;
  const std::string& server = found->second.back();
  const Backend* backend = FindBackend(state, server);
  if (backend == nullptr || IsPathBroken(state.m_paths, server, ReadClock()))
    return;
  const ServerProcessId process = ServerProcessOf(server, backend->m_record.born);
  const auto [entry, added] = state.m_path_checks.try_emplace(process);
  if (!added)
    return;
  entry->second.m_server = server;
  entry->second.m_endpoint = endpoint;
  AskHelper(state, process);
}

bool ReachesServers(const ForwarderState& state) noexcept {
  const bool doubtful = state.m_doubtful_at > std::max(state.m_last_byte, state.m_last_open_path);
  return !state.m_paths.m_cut_off && !doubtful;
}

std::optional<Endpoint> AnyOtherServer(ForwarderState& state, const Endpoint& server) {
  std::vector<Endpoint> others;
  for (const auto& [id, backend] : state.m_backends) {
    if (!backend.m_leaving && backend.m_endpoint != server)
      others.push_back(backend.m_endpoint);
  }
  if (others.empty())
    return std::nullopt;
  return others[state.m_random() % others.size()];
}

void TickPaths(ForwarderState& state, Instant now) {
  state.m_retired_probes.clear();
  ProbeWhileCutOff(state, now);
  WatchSilence(state, now);
  LeaveSilentCalls(state, now);
}

}  // namespace poppyway::impl
