// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "poppyway/forward.h"

namespace poppyway::impl {

/// \brief The result of a step of `RunChain`.
enum class Step : std::uint8_t {
  kContinue,
  kEnded,  ///< The caller has been sent its final response.
};

// ---- chain.cc: the steps of a new request; at `kEnded` it has been rejected --------------------
/// Runs all steps of a new request, up to its pool's queue.
void RunChain(ForwarderState& state, Forwarding& forwarding);
/// Finds the route; sets its tier and the deadline.
[[nodiscard]] Step MatchRoute(ForwarderState& state, Forwarding& forwarding);
/// During a shutdown, rejects a late request that may not end in time.
[[nodiscard]] Step CheckShutdown(ForwarderState& state, Forwarding& forwarding);
/// Refuses a request for which the instance has no memory left.
[[nodiscard]] Step CheckMemory(ForwarderState& state, Forwarding& forwarding);
/// Finds the workspace by the request's API key; sets its tier.
[[nodiscard]] Step IdentifyWorkspace(ForwarderState& state, Forwarding& forwarding);
/// Sets the fingerprint. Precondition: the workspace is known.
void SetFingerprint(Forwarding& forwarding);
/// Rejects a request that crashes servers.
[[nodiscard]] Step CheckQuarantine(ForwarderState& state, Forwarding& forwarding);
/// Sets which stream the request begins or takes up; rejects it if it names several.
[[nodiscard]] Step SetStream(ForwarderState& state, Forwarding& forwarding);
/// Sets the regions that may serve the request; rejects it if there are none.
[[nodiscard]] Step SetHomeRegions(ForwarderState& state, Forwarding& forwarding);
/// Sets the quota cost of the request, which is charged when it gets a slot.
void PriceRequest(ForwarderState& state, Forwarding& forwarding);
/// Picks a pool and puts the request into its queue.
void Enqueue(ForwarderState& state, Forwarding& forwarding);

// ---- stream_versions.cc ------------------------------------------------------------------------
/// Returns what a request's next call needs if the caller has events of the stream.
[[nodiscard]] Continuation ContinuationOf(const Forwarding& forwarding) noexcept;
/// Returns true if the version that a continuation needs is known and no server of it stays.
[[nodiscard]] bool NoServerToContinue(const ForwarderState& state, const Forwarding& forwarding);
/// Returns why a request is refused that no server of the pool may serve.
[[nodiscard]] std::string_view WhyNoServer(const Forwarding& forwarding);
/// Returns how long a request may wait for a free slot without a broker.
[[nodiscard]] Duration QueueTimeout(const Forwarding& forwarding) noexcept;
/// Returns the software version of a server, by its record.
[[nodiscard]] SoftwareId SoftwareOf(const Backend& backend) noexcept;
/// Returns the software version that the active call is at; zero if it is in doubt.
[[nodiscard]] SoftwareId CalledSoftware(ForwarderState& state, const Forwarding& forwarding);
/// Returns false if the active call would go on with a stream of another version.
[[nodiscard]] bool MayContinueHere(ForwarderState& state, const Forwarding& forwarding);
/// Records which version writes the stream. Called before the call's first event is passed on.
void RecordFirstEventVersion(ForwarderState& state, Forwarding& forwarding);
/// Handles a change of a server's software version under its id: recent calls may be at either.
void DoubtVersions(ForwarderState& state, const std::string& server, Instant now);
/// Why a request is refused that goes on with a stream of unknown version.
inline constexpr std::string_view kWhyStreamUnknown = "the stream's software version isn't known";
/// Keeps the origin of a stream that its server has completed for a while: its caller may not have
/// got all of it.
void ForgetOriginLater(ForwarderState& state, StreamKey stream);
/// Forgets the origins of complete streams whose time is over.
void ForgetEndedStreams(ForwarderState& state, Instant now);
/// Tells the broker again of streams that have run for long.
void RefreshOrigins(ForwarderState& state, Instant now);

// ---- start.cc ----------------------------------------------------------------------------------
/// Returns true until this instance has had a confirmed configuration once.
[[nodiscard]] bool IsUnconfigured(const ForwarderState& state) noexcept;
/// Holds a request until the configuration is known, for a part of its caller's timeout.
void HoldUntilConfigured(ForwarderState& state, Forwarding& forwarding);
/// Runs all held requests once the configuration is known and confirmed.
void ServeHeld(ForwarderState& state);
/// Rejects requests that have been held for too long.
void ExpireHeld(ForwarderState& state, Instant now);

// ---- homes.cc ----------------------------------------------------------------------------------
/// Returns the regions where a request may be served: those that both the document at its arrival
/// and the current one allow. Precondition: its route is known.
[[nodiscard]] HomeRegions CurrentHomes(const ForwarderState& state, const Forwarding& forwarding);
/// Applies the home regions of a new document to all requests that haven't ended.
void RefreshHomeRegions(ForwarderState& state);
/// Returns true if the pool has servers, but none in the request's home regions.
[[nodiscard]] bool NoServerInHomeRegion(const ForwarderState& state, const Forwarding& forwarding);

// ---- queue.cc ----------------------------------------------------------------------------------
/// Returns the request's key in its pool's queue.
[[nodiscard]] WaitingOrder OrderOf(const Forwarding& forwarding) noexcept;
/// Returns how long a new request may wait for a free slot.
[[nodiscard]] Duration InitialQueueTimeout(const Forwarding& forwarding) noexcept;
/// Puts a request into its pool's queue, where it is rejected after `until`, and requests a slot of
/// the broker if one responds.
void PutInQueue(ForwarderState& state, Forwarding& forwarding, Instant until);
/// Dispatches queued requests that have a free slot and no pending slot request, in queue order.
void ServeQueue(ForwarderState& state, const std::string& pool);
/// Rejects requests that have waited too long, or that no server can serve in time.
void ExpireWaiting(ForwarderState& state, Instant now);
/// Returns the delay that a rejected caller is told to retry after.
[[nodiscard]] Duration RetryDelay(ForwarderState& state,
                                  const Forwarding& forwarding,
                                  ResultCode code);

// ---- broker_link.cc ----------------------------------------------------------------------------
/// Requests a slot of the broker. Precondition: the link is active and the request is queued.
void RequestSlot(ForwarderState& state, Forwarding& forwarding);
/// Cancels the request's pending slot request, if it has one.
void CancelSlotRequest(ForwarderState& state, Forwarding& forwarding);
/// Asks the broker again for requests that returned a slot at a server which this instance didn't
/// know then and has learned of now.
void RequestSlotsAtLearnedServers(ForwarderState& state);
/// Handles responses of the connected broker; those of another epoch are ignored.
void HandleSlotResponses(ForwarderState& state, const SlotResponses& message);
/// Sends a new broker the full state of this instance and requests slots for all queued requests.
void OnBrokerFound(ForwarderState& state, const BrokerConnected& message);
/// Places requests without a broker from now on.
void OnBrokerLost(ForwarderState& state, std::string_view why);
/// Returns true while a slot response is overdue; this instance then places requests itself.
[[nodiscard]] inline bool IsBrokerOverdue(const BrokerLink& link) noexcept {
  return link.m_overdue_since != Instant{};
}
/// Detects overdue slot responses, and disconnects from a broker that doesn't recover.
void CheckBroker(ForwarderState& state, Instant now);
/// Reports a slot to the broker that this instance took without it.
void ReportHeldSlot(ForwarderState& state, const Forwarding& forwarding);
/// Sends the collected data about a slot to the broker; `ended` releases the slot.
void ReportSlot(ForwarderState& state, Forwarding& forwarding, bool ended);
/// Sends the outbox to the broker.
void FlushToBroker(ForwarderState& state);

// ---- without_broker.cc -------------------------------------------------------------------------
/// Charges the request's cost to this instance's share of the limit, unless it is charged already.
/// Returns false if the share is used up.
[[nodiscard]] bool ChargeQuotaWithoutBroker(ForwarderState& state,
                                            Forwarding& forwarding,
                                            Instant now);
/// Refunds that charge. Precondition: no server ran the request.
void RefundWithoutBroker(ForwarderState& state, Forwarding& forwarding);
/// Returns how many slots of a server this instance may use in total.
[[nodiscard]] int SlotsWithoutBroker(const ForwarderState& state, const Backend& backend);

// ---- held_bytes.cc -----------------------------------------------------------------------------
/// Updates the bytes that are counted for a request.
void CountHeldBytes(ForwarderState& state, Forwarding& forwarding) noexcept;
/// Stops reading a response that holds more than its part of the budget, or continues reading it.
void PauseOrResumeReading(ForwarderState& state, Forwarding& forwarding);
/// Continues reading the responses that fit into the budget again.
void ResumeReading(ForwarderState& state);
/// Limits the memory of the requests that arrive at a listener. Call before it listens; `state`
/// must outlive it.
void WatchArrivingRequests(ForwarderState& state, HttpServer& server);
/// Stops reading the arriving requests of a listener that don't fit into the budget, and continues
/// reading those that fit again. Returns true if long requests are arriving.
bool LimitArrivingRequests(ForwarderState& state, HttpServer& server);
/// Erases a finished request and the bytes counted for it. Call it outside the request's callbacks.
void EraseForwarding(ForwarderState& state, ForwardingRef ref);

// ---- retries.cc --------------------------------------------------------------------------------
/// Counts a new request, which adds to the retries that are allowed.
void CountNewRequest(ForwarderState& state, PoolState& pool);
/// Prepares this instance's part of the retries when a broker stops responding.
void BeginRetriesWithoutBroker(ForwarderState& state);
/// Returns true if, as far as this instance knows, the limit allows one more retry for the pool.
[[nodiscard]] bool HasRetryLeft(const ForwarderState& state, const PoolState& pool) noexcept;
/// Counts a retry that this instance sends without the broker. Returns false if its part of the
/// limit is used up; nothing is counted then.
[[nodiscard]] bool ChargeRetryWithoutBroker(PoolState& pool, Forwarding& forwarding) noexcept;
/// Refuses a request whose retry is beyond the limit.
void RefuseRetry(ForwarderState& state, Forwarding& forwarding);
/// Remembers the retries that the broker reported as left, if its response reports them.
void RememberRetriesLeft(ForwarderState& state, PoolState& pool, const SlotResponse& answer);
/// Returns the reports for a broker. Retries made without one are reported once.
[[nodiscard]] std::vector<RetryReport> TakeRetryReports(ForwarderState& state, Instant now);

// ---- slow_start.cc -----------------------------------------------------------------------------
/// Returns the pool's slow-start limit of the current document, with tolerance; empty if none.
[[nodiscard]] SlowStartLimit SlowStartLimitOf(const ForwarderState& state, const std::string& pool);
/// Updates a server's slow-start state from its record and the evacuations. `fresh`: the server
/// was added while this instance was serving.
void UpdateSlowStart(ForwarderState& state, Backend& backend, bool fresh, Instant now);
/// Updates a server's slow-start state when a request to it ends.
void ObserveRestartSign(ForwarderState& state, Backend& backend, HealthSignal signal, Instant now);
/// Prepares the send budgets of a pool's cold servers before this instance chooses a server.
void BeginColdSendsWithoutBroker(ForwarderState& state, const std::string& pool, Instant now);
/// Counts a send to a server that this instance chose itself, if the server is cold.
void RecordColdSendWithoutBroker(ForwarderState& state, Backend& backend, Instant now);

// ---- dispatch.cc -------------------------------------------------------------------------------
/// Returns a complete HTTP/1.1 request, with the length of its body.
[[nodiscard]] std::string FormatRequest(const std::string& method,
                                        const std::string& target,
                                        const std::string& host,
                                        const std::vector<Field>& fields,
                                        const std::string& body);
/// Starts the active call of a request that has a slot, through its helper if it has one.
void StartCall(ForwarderState& state, Forwarding& forwarding, const Backend& backend);
/// Starts a call to a server. Preconditions: the request is in no queue and the server is known.
void Dispatch(ForwarderState& state, Forwarding& forwarding, const std::string& server);

// ---- relay.cc: callbacks of a call -------------------------------------------------------------
/// Handles a response head, and returns `kSkip` if it answers another request.
[[nodiscard]] HeadVerdict OnHead(ForwarderState& state,
                                 ForwardingRef ref,
                                 int status,
                                 std::vector<Field> fields);
/// Relays or buffers bytes of the response body.
void OnData(ForwarderState& state, ForwardingRef ref, std::string_view bytes);
/// Handles the end of a complete response.
void OnComplete(ForwarderState& state, ForwardingRef ref);
/// Handles a failed call.
void OnFault(ForwarderState& state, ForwardingRef ref, CallFault fault);
/// Handles a call that may have run but returns no complete response: retries the request if it may
/// run again, and ends it otherwise.
void OnIncompleteResponse(ForwarderState& state, Forwarding& forwarding, std::string_view why);
/// Abandons the active call and puts the request into its queue again.
void RetryRequest(ForwarderState& state, Forwarding& forwarding, std::string_view why);
/// Abandons the active call and retries the request at another server. Returns false, without any
/// change, if it may not be retried.
[[nodiscard]] bool RetryElsewhere(ForwarderState& state,
                                  Forwarding& forwarding,
                                  std::string_view why);

// ---- server_notice.cc: drain and back-off notices in responses ---------------------------------
/// Applies what a server says of itself in a response head, whichever request it answers: that it
/// drains, backs off or has a limit. The broker is told.
void HandleServerNotice(ForwarderState& state,
                        Forwarding& forwarding,
                        const ServerResponse& answer);
/// Returns all notices that still apply, for a new broker.
[[nodiscard]] std::vector<ServerNotice> CurrentNotices(const ForwarderState& state, Instant now);
/// Returns the time until the first back-off ends, if all servers that could serve the request have
/// asked this instance to back off.
[[nodiscard]] std::optional<Duration> RemainingBackOff(const ForwarderState& state,
                                                       const Forwarding& forwarding,
                                                       Instant now);

// ---- finish.cc ---------------------------------------------------------------------------------
/// Ends a request with an error response, or aborts a response that has begun.
void Refuse(ForwarderState& state, Forwarding& forwarding, ResultCode code, std::string_view why);
/// Ends a request: logs and counts it and releases all that it holds. Further calls do nothing.
/// Precondition: the caller has its response or has disconnected.
void Close(ForwarderState& state, Forwarding& forwarding, ResultCode code, std::string_view why);
/// Starts the caller's response with the server's response head. `length`: size of the body, if
/// known.
void StartResponse(ForwarderState& state,
                   Forwarding& forwarding,
                   std::optional<std::size_t> length);
/// Called when the HTTP library disposes of the request: its caller has disconnected or has the
/// complete response.
void OnDisposed(ForwarderState& state, ForwardingRef ref);
/// Cancels the active call, if any, and releases its slot.
void EndCall(ForwarderState& state, Forwarding& forwarding);

// ---- backends.cc -------------------------------------------------------------------------------
/// Applies a server record; an outdated one is ignored. `fresh`: the server was added while this
/// instance was serving. The caller must call `IndexPools` afterwards.
void UpdateServer(ForwarderState& state, const wire::ServerRecord& record, bool fresh, Instant now);
/// Rebuilds each pool's list of the servers that may get requests.
void IndexPools(ForwarderState& state);
/// Applies changed server records and serves all queues.
void UpdateServers(ForwarderState& state, const std::vector<wire::ServerRecord>& records);
/// Returns the server with this id, or null.
[[nodiscard]] Backend* FindBackend(ForwarderState& state, const std::string& id);
/// Chooses the server for a request, if one has a free slot now.
/// `yields`: a request of a more urgent tier is queued.
[[nodiscard]] std::optional<std::string> ChooseBackend(ForwarderState& state,
                                                       const Forwarding& forwarding,
                                                       bool yields);
/// Returns the round-trip time to a server of another region; zero for the own region.
[[nodiscard]] Duration RoundTripOf(const ForwarderState& state, const Backend& backend);
/// Records the connect time of a new connection to a server; zero: none was opened.
void RecordConnectTime(ForwarderState& state,
                       Forwarding& forwarding,
                       const Backend& backend,
                       Duration connect);
/// Records a health signal of the active call's server, locally and in the slot's report for the
/// broker.
void RecordHealth(ForwarderState& state, Forwarding& forwarding, HealthSignal signal);
/// Returns the length that a response head states; nullopt if it states none.
[[nodiscard]] std::optional<std::size_t> ContentLength(const std::vector<Field>& fields);
// ---- server_addresses.cc ----------------------------------------------------------------------
/// Returns the log index of the last entry that showed a server at its address; negative if none
/// did.
[[nodiscard]] std::int64_t PresenceIndexOf(const wire::ServerRecord& record) noexcept;
/// Sets the address of server `id` in its record and in the index by address.
void SetAddress(ForwarderState& state,
                Backend& backend,
                const std::string& id,
                const Endpoint& endpoint);
/// Makes a server the owner of its address if its record shows it there, and marks the others there
/// as replaced. `is_new`: this instance didn't know the server; `restarted`: not this process.
void RecordPresence(ForwarderState& state, const Backend& backend, bool is_new, bool restarted);
/// Marks the servers at an address as replaced if a gone server, unknown here, was there after
/// them.
void RecordGoneOwner(ForwarderState& state,
                     const wire::ServerRecord& record,
                     const Endpoint& endpoint);
/// Marks the server `expected` as replaced, since the server `responding` answered at its address,
/// and tells the broker if that is news.
void RecordReplacement(ForwarderState& state,
                       const std::string& expected,
                       const std::string& responding);

// ---- evacuation.cc -----------------------------------------------------------------------------
/// Applies new evacuations and ends of evacuations; known ones are ignored.
void HandleEvacuations(ForwarderState& state, const std::vector<wire::Evacuation>& evacuations);
/// Returns true if the server's data centre is evacuated and gets no new requests.
[[nodiscard]] bool IsEvacuated(const ForwarderState& state, const Backend& backend);
/// Returns true if all servers that could serve the request are evacuated, and there are any.
[[nodiscard]] bool HasOnlyEvacuatedServers(const ForwarderState& state,
                                           const Forwarding& forwarding);
/// Updates the metrics of requests that still run at evacuated servers.
void CountEvacuated(ForwarderState& state);

// ---- eligibility.cc ----------------------------------------------------------------------------
/// Returns why this instance may not choose a server for a request, or `kNone`. Applies if it
/// chooses the server itself instead of the broker.
[[nodiscard]] IneligibleReason CheckEligibilityOnChoice(const ForwarderState& state,
                                                        const Forwarding& forwarding,
                                                        const Backend& backend,
                                                        Instant now);
/// Returns why a request may not be sent to the server that was chosen for it. Recent failures and
/// roll-outs don't count here, since the broker may choose such a server on purpose.
[[nodiscard]] IneligibleReason CheckEligibilityOnSend(const ForwarderState& state,
                                                      const Forwarding& forwarding,
                                                      const Backend& backend,
                                                      Instant now);
/// Returns true if this instance ejected the server, or considers it lost and it isn't due for a
/// probe.
[[nodiscard]] bool IsSuspectLocally(const ForwarderState& state,
                                    const Backend& backend,
                                    Instant now);
/// Marks fallback servers as usable when no other server is: suspect servers, and servers that a
/// roll-out holds back if no other server works.
void UseFallbackServers(const ForwarderState& state,
                        const Forwarding& forwarding,
                        const std::vector<std::string>& ids,
                        std::vector<ServerView>& views,
                        Instant now);

// ---- restarts.cc: servers that restart under the same id ---------------------------------------
/// The broker may place requests at a restarted server before this instance learns of the restart.
/// A call that was sent up to this long before may have reached the new process.
inline constexpr Duration kRestartNoticeDelay{1'500'000};
/// Returns true if the record has a later process start time than the known one.
[[nodiscard]] bool IsNewProcess(const Backend& known, const wire::ServerRecord& record) noexcept;
/// Resets the state of a restarted server. Precondition: `backend` still has the record of the
/// earlier process.
void BeginNewProcess(ForwarderState& state, Backend& backend, const wire::ServerRecord& record);
/// Sets the process start time of a server's active calls, when it becomes known for the first
/// time.
void SetCallStartTimes(ForwarderState& state, const std::string& server, std::int64_t started_ms);
/// Returns the server of the active call if it hasn't restarted since, otherwise null.
[[nodiscard]] Backend* FindCalledBackend(ForwarderState& state, const Forwarding& forwarding);
/// Applies a restart of a server that this instance learns of only from a slot response.
void HandleRestartInSlot(ForwarderState& state, const SlotResponse& answer);
/// Ends calls to earlier processes of restarted servers if no byte has arrived for too long.
void EndLostCalls(ForwarderState& state, Instant now);

// ---- path_checks.cc: broken paths to servers ---------------------------------------------------
/// Records that a helper reaches a server that this instance doesn't.
void OnBrokenPath(ForwarderState& state, const std::string& server);
/// Checks whether a server, or the path to it, has failed. `broken_calls`: what ran there; the
/// server has crashed under it if no instance reaches it.
void BeginPathCheck(ForwarderState& state,
                    const std::string& server,
                    const ServerCrash& broken_calls);
/// Asks a helper whether it reaches a server to which a connection from here has just failed.
void CheckPathAfterFailedConnect(ForwarderState& state, const Endpoint& endpoint);
/// Returns false while this instance is cut off, or fails to reach servers and has found no helper
/// that could tell why.
[[nodiscard]] bool ReachesServers(const ForwarderState& state) noexcept;
/// Returns the endpoint of any server but `server` that isn't leaving. Linear in the number of
/// servers.
[[nodiscard]] std::optional<Endpoint> AnyOtherServer(ForwarderState& state, const Endpoint& server);
/// Watches the paths: probes them while this instance is cut off, checks them when all servers are
/// silent, and gives up silent calls.
void TickPaths(ForwarderState& state, Instant now);

// ---- helpers.cc: calls through another instance ------------------------------------------------
/// Returns the next helper for the request's slot, if one is left to try.
[[nodiscard]] std::optional<Endpoint> HelperFor(ForwarderState& state, Forwarding& forwarding);
/// Starts the active call anew, through a helper. Returns false if there is none, with no change.
[[nodiscard]] bool CallThroughHelper(ForwarderState& state, Forwarding& forwarding);
/// Handles a call whose connection to its helper failed or broke off.
void OnHelperLost(ForwarderState& state, Forwarding& forwarding, CallFault fault);
/// Handles a helper's response that isn't the server's.
void OnRelayFault(ForwarderState& state, Forwarding& forwarding, RelayFault fault);

// ---- crashes.cc: requests that crash servers ---------------------------------------------------
/// Most parts of prompts in the report of one crash, which an entry of the log holds.
inline constexpr std::size_t kMaxReportedParts = 256;
/// Adds a part to those of a report, once, unless the report is full.
void AddSuspectPart(std::vector<SuspectPart>& parts, const SuspectPart& part);
/// Returns the ids of the prompt's first segments but its last one, for logs.
[[nodiscard]] std::string SharedPartsText(const CallerRequest& request);
/// Returns true if no server may be sent the request.
[[nodiscard]] bool IsQuarantined(const ForwarderState& state, const Forwarding& forwarding);
/// Ends a quarantined request.
void RefuseAsQuarantined(ForwarderState& state, Forwarding& forwarding);
/// Checks whether the server of a call that broke off has crashed. Must be called while the request
/// still names the server.
void OnCallBroken(ForwarderState& state, const Forwarding& forwarding);
/// Counts and reports the crash of a server.
void RecordServerCrash(ForwarderState& state, const std::string& server, const ServerCrash& crash);
/// Records that the server has responded to the request and lived on, so that no part of its prompt
/// crashes servers.
void OnServerLived(ForwarderState& state, Forwarding& forwarding);
/// Records that a request has had a complete response, so that it crashes no server.
void OnCompleteResponse(ForwarderState& state, const Forwarding& forwarding);
/// Applies the list of quarantined requests; queued ones are rejected.
void HandleQuarantine(ForwarderState& state, const QuarantineChanged& message);
/// Leaves the count of a committed crash to the replicated state.
void HandleCrashReported(ForwarderState& state, const CrashReported& message);
/// Forgets own reports of crashes that no leader has committed for too long.
void ExpireCrashes(ForwarderState& state, Instant now);

// ---- forwarder.cc ------------------------------------------------------------------------------
/// Returns when a planned shutdown ends at the latest: its timeout less a margin.
[[nodiscard]] Instant ShutdownEnd(const ForwarderState& state) noexcept;
/// Returns when the stop signal may have been sent at the earliest: a process that was paused or
/// starved handles it late.
[[nodiscard]] Instant EarliestShutdown(const ForwarderState& state) noexcept;

// ---- outage.cc: lost or unreachable data centres -----------------------------------------------
/// Reports to this instance's outage detector whether the active call's server responded.
void ReportReachability(ForwarderState& state, const Forwarding& forwarding, bool responded);
/// Updates the number of servers of each data centre in the outage detector.
void UpdateWatchedServers(ForwarderState& state);
/// Sets the data centres that the broker considers lost, and closes idle connections to them.
void HandleSuspects(ForwarderState& state, const std::vector<std::string>& suspects);
/// Retries repeatable calls elsewhere if they get no bytes from a data centre that the broker
/// considers lost.
void LeaveLostDataCentres(ForwarderState& state, Instant now);

/// Returns the request, or null if it has been erased.
[[nodiscard]] inline Forwarding* Find(ForwarderState& state, ForwardingRef ref) {
  const auto found = state.m_forwardings.find(ref);
  return found == state.m_forwardings.end() ? nullptr : found->second.get();
}

}  // namespace poppyway::impl
