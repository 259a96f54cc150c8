// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "place_side.h"

#include <algorithm>

#include "place_convert.h"

namespace poppyway {
namespace {

// Each heartbeat and batch says that an instance lives; heartbeats come every half second.
constexpr Duration kHolderLease{3'000'000};
// An instance whose connection was reset connects anew and tells what it holds within some ms; one
// that died never does, and its servers have seen its connections close too.
constexpr Duration kReturnTime{300'000};
// What waits is tried on all servers this often, beside each place that comes free.
constexpr Duration kServeInterval{20'000};

/// Of several servers at one address only the latest is there.
std::vector<PlaceServer> PresentServers(const HostedState& state) {
  std::map<std::pair<std::string, int>, const wire::ServerRecord*> latest;
  for (const auto& [id, record] : state.m_servers) {
    const wire::ServerRecord*& known = latest[{record.address, record.port}];
    const bool first_seen = known == nullptr || record.stage == wire::ServerStage::READY ||
                            known->stage != wire::ServerStage::READY;
    const bool later = known == nullptr || record.index > known->index;
    if (first_seen && later)
      known = &record;
  }
  std::vector<PlaceServer> servers;
  for (const auto& [id, record] : state.m_servers) {
    if (record.stage == wire::ServerStage::GONE || record.pool.empty())
      continue;
    PlaceServer& server = servers.emplace_back(ToPlaceServer(record));
    server.m_leaving = server.m_leaving || latest.at({record.address, record.port}) != &record;
  }
  return servers;
}

}  // namespace

void PlaceSide::Begin(std::int64_t term,
                      const HostedState& servers,
                      Duration may_serve,
                      Instant now) {
  const auto seed = static_cast<std::uint64_t>(now.time_since_epoch().count());
  m_broker = BeginBroker(term, seed, may_serve, now);
  m_lines.clear();
  TakeServers(servers);
  POPPYWAY_LOG(info, "broker_began").Field("epoch", term);
}

void PlaceSide::End() {
  if (!m_broker)
    return;
  POPPYWAY_LOG(info, "broker_ended").Field("epoch", m_broker->m_epoch);
  m_broker.reset();
  m_lines.clear();
}

void PlaceSide::TakeServers(const HostedState& servers) {
  if (m_broker)
    SetServers(*m_broker, PresentServers(servers));
}

void PlaceSide::OnBatch(const wire::PlaceBatch& batch,
                        PeerConnection& from,
                        bool may_decide,
                        Instant now) {
  const bool known = m_broker && (batch.resync || m_broker->m_holders.contains(batch.incarnation));
  if (!may_decide || !known || batch.epoch != epoch()) {
    wire::Envelope envelope;
    envelope.id = 0;
    envelope.reply = true;
    wire::PlaceAnswers refusal;
    refusal.epoch = batch.epoch;
    refusal.not_broker = true;
    envelope.body.__set_place_answers(refusal);
    from.Send(envelope);
    return;
  }
  m_lines[batch.incarnation] = {from.weak_from_this(), Instant{}};
  std::vector<PlaceAnswer> answers;
  TakeBatch(*m_broker, batch.incarnation, FromWire(batch), now, answers);
  Send(answers);
}

void PlaceSide::OnHeard(const std::string& incarnation, Instant now) {
  if (!m_broker)
    return;
  const auto holder = m_broker->m_holders.find(incarnation);
  if (holder != m_broker->m_holders.end())
    holder->second.m_heard = now;
}

void PlaceSide::Send(const std::vector<PlaceAnswer>& answers) {
  std::map<std::string, wire::PlaceAnswers> by_holder;
  for (const PlaceAnswer& answer : answers) {
    ++m_verdicts[static_cast<std::size_t>(answer.m_verdict)];
    by_holder[answer.m_holder].answers.push_back(ToWire(answer));
  }
  for (auto& [holder, batch] : by_holder) {
    const std::shared_ptr<PeerConnection> connection = m_lines[holder].m_connection.lock();
    if (!connection)
      continue;  // It tells anew what it holds, or its places come free with its lease.
    batch.epoch = epoch();
    wire::Envelope envelope;
    envelope.id = 0;
    envelope.reply = true;
    envelope.body.__set_place_answers(std::move(batch));
    connection->Send(envelope);
  }
}

void PlaceSide::DropGone(Instant now) {
  std::vector<std::string> gone;
  for (const auto& [incarnation, holder] : m_broker->m_holders) {
    Line& line = m_lines[incarnation];
    const std::shared_ptr<PeerConnection> connection = line.m_connection.lock();
    const bool open = connection && connection->open();
    if (open)
      line.m_lost = Instant{};
    else if (line.m_lost == Instant{})
      line.m_lost = now;
    const bool left = !open && now - line.m_lost >= kReturnTime;
    if (left || now - holder.m_heard >= kHolderLease)
      gone.push_back(incarnation);
  }
  std::vector<PlaceAnswer> answers;
  for (const std::string& incarnation : gone) {
    POPPYWAY_LOG(info, "holder_gone")
        .Field("incarnation", incarnation)
        .Field("held", m_broker->m_holders[incarnation].m_held.size());
    m_lines.erase(incarnation);
    DropHolder(*m_broker, incarnation, now, answers);
  }
  Send(answers);
}

void PlaceSide::Tick(Instant now) {
  if (!m_broker || now - m_served < kServeInterval)
    return;
  m_served = now;
  std::vector<PlaceAnswer> answers;
  TickBroker(*m_broker, now, answers);
  Send(answers);
  DropGone(now);
}

void PlaceSide::AddMetrics(MetricSet& metrics) const {
  for (std::size_t i = 0; i < std::size(m_verdicts); ++i) {
    const auto verdict = static_cast<PlaceVerdict>(i);
    metrics.Set("poppyway_place_answers_total",
                "verdict=\"" + std::string(PlaceVerdictName(verdict)) + "\"",
                static_cast<double>(m_verdicts[i]));
  }
  if (!m_broker)
    return;
  metrics.Set("poppyway_place_holders", "", static_cast<double>(m_broker->m_holders.size()));
  for (const auto& [name, pool] : m_broker->m_pools) {
    const std::string label = "pool=\"" + name + "\"";
    int places = 0;
    int taken = 0;
    for (const ServerView& view : pool.m_views) {
      places += view.m_slots;
      taken += view.m_others;
    }
    metrics.Set("poppyway_place_slots", label, places);
    metrics.Set("poppyway_place_taken", label, taken);
    metrics.Set("poppyway_place_waiting", label, static_cast<double>(pool.m_waiting.size()));
  }
}

}  // namespace poppyway
