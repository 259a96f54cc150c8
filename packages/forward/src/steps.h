// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "poppyway/forward.h"

namespace poppyway::impl {

/// \brief What a filter decided.
enum class Step : std::uint8_t {
  kContinue,
  kEnded,  ///< The request has its answer.
};

// ---- chain.cc: the filters, in order; each answers a refusal itself ----------------------------
void RunChain(ForwarderState& state, Forwarding& forwarding);
[[nodiscard]] Step CheckInForce(ForwarderState& state, Forwarding& forwarding);
[[nodiscard]] Step MatchRoute(ForwarderState& state, Forwarding& forwarding);
[[nodiscard]] Step CheckStop(ForwarderState& state, Forwarding& forwarding);
[[nodiscard]] Step IdentifyWorkspace(ForwarderState& state, Forwarding& forwarding);
[[nodiscard]] Step SetHomes(ForwarderState& state, Forwarding& forwarding);
/// Notes what the request takes of its workspace's limit; it is taken with the place.
void PriceRequest(ForwarderState& state, Forwarding& forwarding);
void Enqueue(ForwarderState& state, Forwarding& forwarding);

// ---- start.cc ----------------------------------------------------------------------------------
/// True until this instance has acted on a confirmed configuration once.
[[nodiscard]] bool IsStarting(const ForwarderState& state) noexcept;
/// Keeps a request until the configuration is known, for a small part of its caller's patience.
void AwaitStart(ForwarderState& state, Forwarding& forwarding);
/// Serves what awaited the configuration, once that is known.
void EndStart(ForwarderState& state);
/// Refuses what has awaited the configuration for too long.
void ExpireStart(ForwarderState& state, Instant now);

// ---- homes.cc ----------------------------------------------------------------------------------
/// Where a request may be served: in regions that are homes by the document that it arrived under
/// and by the one in force now. Precondition: its route is known.
[[nodiscard]] HomeRegions HomesNow(const ForwarderState& state, const Forwarding& forwarding);
/// A document has come into force: requests that aren't over keep to its homes from now on.
void RefreshHomes(ForwarderState& state);
/// True if the pool has servers, and the request may be served at none of them.
[[nodiscard]] bool NoneAtHome(const ForwarderState& state, const Forwarding& forwarding);

// ---- queue.cc ----------------------------------------------------------------------------------
/// Its place in its pool's queue.
[[nodiscard]] WaitingOrder OrderOf(const Forwarding& forwarding) noexcept;
/// How long a new request may wait for room.
[[nodiscard]] Duration FirstWait(const Forwarding& forwarding) noexcept;
/// Puts a request into its pool's queue, to be refused after `until`, and asks the broker for a
/// place if there is one.
void PutInQueue(ForwarderState& state, Forwarding& forwarding, Instant until);
/// Dispatches what has room now and isn't at the broker, highest tier first.
void ServeQueue(ForwarderState& state, const std::string& pool);
/// Refuses what has waited too long for its aim.
void ExpireWaiting(ForwarderState& state, Instant now);
/// When a refused caller should come back.
[[nodiscard]] Duration ComeBackAfter(ForwarderState& state,
                                     const Forwarding& forwarding,
                                     ResultCode code);

// ---- broker_link.cc ----------------------------------------------------------------------------
/// Asks the broker for a place. Precondition: the link is active, the request waits.
void AskBroker(ForwarderState& state, Forwarding& forwarding);
/// The request no longer awaits the broker's answer, if it did.
void WithdrawAsk(ForwarderState& state, Forwarding& forwarding);
void TakeAnswers(ForwarderState& state, const SlotResponses& message);
/// Tells the broker all that it has to know of this instance, and asks for all that waits.
void OnBrokerFound(ForwarderState& state, const BrokerConnected& message);
/// Decides alone from now on.
void OnBrokerLost(ForwarderState& state, std::string_view why);
/// True while a place request has gone without an answer for too long: this instance decides.
[[nodiscard]] inline bool IsQuiet(const BrokerLink& link) noexcept {
  return link.m_quiet_since != Instant{};
}
/// Decides alone while the broker is quiet, and gives it up if it stays so.
void CheckBroker(ForwarderState& state, Instant now);
/// Tells the broker of a place that it didn't give.
void TellHeld(ForwarderState& state, const Forwarding& forwarding);
/// Tells what is known of a place; with `ended` it is free.
void TellPlace(ForwarderState& state, Forwarding& forwarding, bool ended);
/// Sends what has gathered for the broker.
void FlushToBroker(ForwarderState& state);

// ---- without_broker.cc: without a broker
// ----------------------------------------------------------------
/// Takes the request's cost from this instance's part of the limit; false if it is used up.
[[nodiscard]] bool ChargeQuotaWithoutBroker(ForwarderState& state,
                                            Forwarding& forwarding,
                                            Instant now);
/// Gives it back: no server ran the request.
void RefundWithoutBroker(ForwarderState& state, Forwarding& forwarding);
/// Places of a server that this instance may hold in all.
[[nodiscard]] int SlotsWithoutBroker(const ForwarderState& state, const Backend& backend);

// ---- slow_start.cc: cold servers, as this instance knows of them
// -------------------------------------
/// What the document in force says of cold servers of a pool, with the most they may get.
[[nodiscard]] SlowStartLimit ColdLimitOf(const ForwarderState& state, const std::string& pool);
/// Takes what a server's record and the orders say. `fresh`: it appeared while this instance
/// served.
void UpdateSlowStart(ForwarderState& state, Backend& backend, bool fresh, Instant now);
/// A request to the server ended.
void ObserveRestartSign(ForwarderState& state, Backend& backend, HealthSignal sign, Instant now);
/// This instance is about to choose a server of a pool by itself.
void BeginColdAlone(ForwarderState& state, const std::string& pool, Instant now);
/// It chose the server by itself.
void NoteColdAlone(ForwarderState& state, Backend& backend, Instant now);

// ---- dispatch.cc -------------------------------------------------------------------------------
/// Sends a request to a server. Precondition: it is in no queue.
void Dispatch(ForwarderState& state, Forwarding& forwarding, const std::string& server);

// ---- relay.cc: what a call reports -------------------------------------------------------------
[[nodiscard]] HeadVerdict OnHead(ForwarderState& state,
                                 ForwardingRef ref,
                                 int status,
                                 std::vector<Field> fields);
void OnData(ForwarderState& state, ForwardingRef ref, std::string_view bytes);
void OnWhole(ForwarderState& state, ForwardingRef ref);
void OnFault(ForwarderState& state, ForwardingRef ref, CallFault fault);
/// The server may have run the request, and no whole answer will come from it: tries elsewhere what
/// may run again, and ends any other.
void OnBroken(ForwarderState& state, Forwarding& forwarding, std::string_view why);
/// Gives up the call under way and lets the request run elsewhere; false if it may not.
[[nodiscard]] bool LeaveServer(ForwarderState& state, Forwarding& forwarding, std::string_view why);

// ---- server_notice.cc: what servers say of themselves
// ---------------------------------------------
/// Takes what the head of an answer says of its server, whatever request it answers, and tells the
/// broker.
void TakeServerWord(ForwarderState& state,
                    const Forwarding& forwarding,
                    const ServerResponse& answer);
/// All that servers have said and that still holds, for a broker that knows nothing of it.
[[nodiscard]] std::vector<ServerNotice> WordsInForce(const ForwarderState& state, Instant now);
/// When the first of the servers that could serve the request wants something again, if all of them
/// have asked this instance to send nothing for a while.
[[nodiscard]] std::optional<Duration> AllBackOff(const ForwarderState& state,
                                                 const Forwarding& forwarding,
                                                 Instant now);

// ---- finish.cc ---------------------------------------------------------------------------------
/// Answers with a refusal or a failure of ours, or cuts an answer that has begun.
void Refuse(ForwarderState& state, Forwarding& forwarding, ResultCode code, std::string_view why);
/// Ends a request in the books. Call once; the caller has its answer or is gone.
void Close(ForwarderState& state, Forwarding& forwarding, ResultCode code, std::string_view why);
/// Begins the answer with the head that the server gave.
void StartAnswer(ForwarderState& state, Forwarding& forwarding, std::optional<std::size_t> length);
/// The library has disposed of the request: its caller is gone or has the whole answer.
void OnDisposed(ForwarderState& state, ForwardingRef ref);
/// Puts the call under way aside and gives its place at the server back.
void EndCall(ForwarderState& state, Forwarding& forwarding);

// ---- backends.cc -------------------------------------------------------------------------------
/// Takes what is told of one server. `IndexPools` follows.
/// `fresh`: it appeared while this instance served.
void TakeServer(ForwarderState& state, const wire::ServerRecord& record, bool fresh, Instant now);
/// Lists anew which servers of each pool may get work.
void IndexPools(ForwarderState& state);
void TakeServers(ForwarderState& state, const std::vector<wire::ServerRecord>& records);
[[nodiscard]] Backend* FindBackend(ForwarderState& state, const std::string& id);
/// The server where a request should go now, if one has room.
/// `yields`: something more urgent waits, here or at another instance.
[[nodiscard]] std::optional<std::string> ChooseBackend(ForwarderState& state,
                                                       const Forwarding& forwarding,
                                                       bool yields);
/// The round trip to a server of another region; zero for one of the own region.
[[nodiscard]] Duration RoundTripOf(const ForwarderState& state, const Backend& backend);
/// A new connection to a server came up in `connect`; zero: none was opened.
void LearnConnect(ForwarderState& state,
                  Forwarding& forwarding,
                  const Backend& backend,
                  Duration connect);
/// Learns from how a request ended at its server, here and for the broker.
void NoteHealth(ForwarderState& state, Forwarding& forwarding, HealthSignal sign);
/// `found` answered at the place of `meant`.
void NoteOtherServer(ForwarderState& state, const std::string& meant, const std::string& found);

// ---- evacuation.cc -----------------------------------------------------------------------------
/// Takes all evacuations that were ordered.
void TakeEvacuations(ForwarderState& state, const std::vector<wire::Evacuation>& evacuations);
/// True if the server's data centre is to get nothing new.
[[nodiscard]] bool IsEvacuated(const ForwarderState& state, const Backend& backend);
/// True if evacuations have left the request no server: none may take it before they end.
[[nodiscard]] bool EvacuatedAway(const ForwarderState& state, const Forwarding& forwarding);
/// Sets the counters of requests that still run at evacuated servers.
void CountEvacuated(ForwarderState& state);

// ---- eligibility.cc: which servers may get a request
// ------------------------------------------------
/// What keeps a server from a request, where this instance chooses the server itself.
[[nodiscard]] IneligibleReason CheckServerEligibility(const ForwarderState& state,
                                                      const Forwarding& forwarding,
                                                      const Backend& backend,
                                                      Instant now);
/// What keeps a request from a server that was chosen a moment ago. Failures since, and what a
/// roll-out or the broker decided on purpose, don't.
[[nodiscard]] IneligibleReason CheckEligibilityOnSend(const ForwarderState& state,
                                                      const Forwarding& forwarding,
                                                      const Backend& backend,
                                                      Instant now);
/// True if the server failed lately, or its data centre is held to be lost.
[[nodiscard]] bool IsSuspectAlone(const ForwarderState& state, const Backend& backend, Instant now);
/// None is free of suspicion: a suspect server is better than none, and so is one on trial if all
/// that work are gone.
void UseLastResorts(const ForwarderState& state,
                    const Forwarding& forwarding,
                    const std::vector<std::string>& ids,
                    std::vector<ServerView>& views,
                    Instant now);

// ---- restarts.cc: servers that start again under their id
// -----------------------------------------
/// True if the record tells of a later life of the server than is known.
[[nodiscard]] bool IsNewLife(const Backend& known, const wire::ServerRecord& record) noexcept;
/// Forgets what was known of the server's earlier life. Its record is still that of the earlier
/// one.
void BeginLife(ForwarderState& state, Backend& backend, const wire::ServerRecord& record);
/// Gives calls at a server whose birth is told for the first time that birth.
void TakeBirth(ForwarderState& state, const std::string& server, std::int64_t started_ms);
/// The server of the call under way, if it still lives the life that the call went to.
[[nodiscard]] Backend* FindOwnBackend(ForwarderState& state, const Forwarding& forwarding);
/// A place was given at a later life than this instance has heard of: takes it as heard.
void HearOfLife(ForwarderState& state, const SlotResponse& answer);
/// Ends calls to earlier lives that have been silent for too long.
void EndLostCalls(ForwarderState& state, Instant now);

// ---- forwarder.cc ------------------------------------------------------------------------------
/// \brief When a planned stop ends the process at the latest, a margin kept.
[[nodiscard]] Instant StopEnd(const ForwarderState& state) noexcept;

// ---- outage.cc: data centres lost or cut off as a whole -----------------------------------------
/// Tells the instance's own watch whether the server of the call under way was heard.
void NotePath(ForwarderState& state, const Forwarding& forwarding, bool heard);
/// Tells it which data centres have servers.
void WatchServers(ForwarderState& state);
/// Takes what the broker holds to be lost. Connections that rest there are closed.
void TakeSuspects(ForwarderState& state, const std::vector<std::string>& suspects);
/// Takes calls elsewhere that may run again and are silent at a data centre that is held to be
/// lost.
void EndSilentCalls(ForwarderState& state, Instant now);

[[nodiscard]] inline Forwarding* Find(ForwarderState& state, ForwardingRef ref) {
  const auto found = state.m_forwardings.find(ref);
  return found == state.m_forwardings.end() ? nullptr : found->second.get();
}

}  // namespace poppyway::impl
