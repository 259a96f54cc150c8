// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// Measures how costs grow with size. Prints one CSV row per measurement: name,x,y with y in the
// unit at the end of the name. scripts/capacity.py fits slopes to the rows and computes
// docs/CAPACITY.md from them.

#include <sys/resource.h>

#include <malloc.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>

#include "poppyway/log.h"
#include "poppyway/policy.h"
#include "poppyway/state.h"

namespace poppyway::bench {
namespace {

double CpuMicros() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto micros = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_usec);
  };
  return micros(usage.ru_utime) + micros(usage.ru_stime);
}

double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks) + static_cast<double>(mallinfo2().hblkhd);
}

void Row(const std::string& name, double x, double y) {
  std::cout << name << "," << x << "," << y << "\n";
}

/// Mean processor time of one call of `work`, in µs, over at least 150 ms of calls.
template <typename Work>
double MicrosPerCall(Work&& work) {
  constexpr double kMinMicros = 150'000;
  int calls = 0;
  const double begun = CpuMicros();
  double used = 0;
  while ((used = CpuMicros() - begun) < kMinMicros) {
    work();
    ++calls;
  }
  return used / calls;
}

DeclarationText Server(int number, int engines) {
  std::string body = "kind: server\nname: s" + std::to_string(number) + "\npool: p" +
                     std::to_string(number % 60) + "\naddress: 10.0.0.1\nlabels: {data_centre: dc" +
                     std::to_string(number % 7) + ", generation: g" +
                     std::to_string(1 + number % 3) + "}\nengines:\n";
  for (int e = 0; e < engines; ++e)
    body += "  - {name: e" + std::to_string(e) + ", port: " + std::to_string(9000 + e) +
            ", slots: 8, models: [m" + std::to_string(number % 9) + "]}\n";
  return {"server", "s" + std::to_string(number), body};
}

ParsedDeclarations Fleet(int servers) {
  ParsedDeclarations parsed;
  for (int p = 0; p < 60; ++p) {
    const std::string name = "p" + std::to_string(p);
    (void)PutDeclaration(parsed, {"pool", name, "kind: pool\nname: " + name});
  }
  for (int s = 0; s < servers; ++s)
    (void)PutDeclaration(parsed, Server(s, 4));
  return parsed;
}

void MeasureConfiguration() {
  for (const int servers : {500, 1500, 3000, 5300}) {
    const double before = HeapBytes();
    ParsedDeclarations parsed = Fleet(servers);
    Result<Catalogue> catalogue = BuildCatalogue(parsed, 1);
    Row("config_memory_per_server_bytes", servers, HeapBytes() - before);
    Row("config_change_per_server_us", servers, MicrosPerCall([&] {
          ParsedDeclarations next = parsed;
          (void)PutDeclaration(next, Server(7, 4));
          catalogue = BuildCatalogue(next, 2);
        }));
  }
  Configuration configuration;
  wire::ConfigChange change;
  change.change_id = "c";
  change.base_version = 0;
  wire::ObjectText pool;
  pool.kind = "pool";
  pool.name = "p7";
  pool.body = "kind: pool\nname: p7";
  wire::ObjectText server;
  const DeclarationText text = Server(7, 4);
  server.kind = text.m_kind;
  server.name = text.m_name;
  server.body = text.m_body;
  change.upserts = {pool};
  (void)ApplyChange(configuration, change);
  change.change_id = "d";
  change.base_version = 1;
  change.upserts = {server};
  (void)ApplyChange(configuration, change);
  wire::Envelope delta;
  delta.body.__set_delta(DeltaSince(configuration, 1));
  Row("config_delta_bytes", 1, static_cast<double>(EncodeFrame(delta).size()));
}

wire::Heartbeat MakeHeartbeat(int number) {
  wire::Heartbeat beat;
  beat.instance = "entry-" + std::to_string(number);
  beat.incarnation = beat.instance + "-0123456789ab";
  beat.address = "10.20.30.40";
  beat.port = 9000;
  beat.data_centre = "data-centre-1";
  beat.http = "10.20.30.40:8080";
  beat.version_in_force = 123456;
  return beat;
}

void MeasureHeartbeats() {
  wire::Envelope envelope;
  envelope.body.__set_heartbeat(MakeHeartbeat(940));
  const std::string frame = EncodeFrame(envelope);
  Row("heartbeat_bytes", 1, static_cast<double>(frame.size()));
  for (const int leases : {2, 20, 60, 164}) {
    wire::Envelope reply;
    reply.body.__set_heartbeat_reply({});
    for (int i = 0; i < leases; ++i) {
      wire::LeaseGrant lease;
      lease.lease = "model-pool-" + std::to_string(i);
      lease.holder = "entry-940-0123456789ab";
      lease.address = "10.20.30.40";
      lease.port = 9000;
      lease.epoch = 3;
      reply.body.heartbeat_reply.leases.push_back(lease);
    }
    Row("heartbeat_reply_per_lease_bytes", leases, static_cast<double>(EncodeFrame(reply).size()));
    Row("heartbeat_reply_per_lease_us", leases, MicrosPerCall([&] { (void)EncodeFrame(reply); }));
  }
  for (const int instances : {100, 400, 940}) {
    InstanceTable table = MakeInstanceTable(Duration(3'000'000), Duration(600'000), Instant{});
    for (int i = 0; i < instances; ++i)
      RecordHeartbeat(table, MakeHeartbeat(i), Instant{});
    int next = 0;
    Row("heartbeat_take_per_instance_us", instances, MicrosPerCall([&] {
          const auto payload = Deserialize<wire::Envelope>(std::string_view(frame).substr(4));
          RecordHeartbeat(table, MakeHeartbeat(next++ % instances), Instant{});
          if (!payload)
            std::abort();
        }));
  }
}

/// Measures the messages between a gateway and a broker.
void MeasureCredits() {
  wire::Envelope demand;
  demand.body.__set_demand({});
  demand.body.demand.pool = "model-pool-17";
  demand.body.demand.incarnation = "entry-940-0123456789ab";
  demand.body.demand.epoch = 3;
  demand.body.demand.waiting = {0, 0, 0};
  demand.body.demand.floor_ack = (3LL << 32) + 5;
  demand.body.demand.sequence = 100000;
  Row("demand_empty_bytes", 1, static_cast<double>(EncodeFrame(demand).size()));
  for (const int uses : {2, 8, 32}) {
    wire::Envelope with = demand;
    for (int i = 0; i < uses; ++i) {
      wire::CreditUse use;
      use.credit = (3LL << 32) + 100000 + i;
      use.stage = wire::UseStage::FINISHED;
      use.elapsed_us = 900000;
      with.body.demand.uses.push_back(use);
    }
    Row("demand_per_use_bytes", uses, static_cast<double>(EncodeFrame(with).size()));
  }
  for (const int items : {1, 4, 16}) {
    wire::Envelope with = demand;
    for (int i = 0; i < items; ++i) {
      wire::DemandItem item;
      item.ref = 100000 + i;
      item.prompt_tokens = 400;
      item.prefixes = {-1234567890123456789, 1234567890123456789};
      item.age_ms = 3;
      item.deadline_ms = 8000;
      item.workspace = "workspace-17";
      item.event = "official-exam";
      item.model = "theorie-8b";
      with.body.demand.items.push_back(item);
    }
    Row("demand_per_item_bytes", items, static_cast<double>(EncodeFrame(with).size()));
  }
  for (const int credits : {1, 4, 16}) {
    wire::Envelope grants;
    grants.body.__set_grants({});
    grants.body.grants.pool = "model-pool-17";
    grants.body.grants.epoch = 3;
    grants.body.grants.floor_epoch = (3LL << 32) + 5;
    grants.body.grants.backlog = {0, 0, 0};
    grants.body.grants.lease_ms = 3000;
    grants.body.grants.drain_per_s = 91;
    for (int i = 0; i < credits; ++i) {
      wire::HeldCredit credit;
      credit.credit = (3LL << 32) + 100000 + i;
      credit.ref = 100000 + i;
      credit.engine = "server-1234/e0";
      credit.prompt_tokens = 400;
      grants.body.grants.credits.push_back(credit);
    }
    Row("grants_per_credit_bytes", credits, static_cast<double>(EncodeFrame(grants).size()));
    Row("grants_per_credit_us", credits, MicrosPerCall([&] {
          const std::string frame = EncodeFrame(grants);
          if (!Deserialize<wire::Envelope>(std::string_view(frame).substr(4)))
            std::abort();
        }));
  }
}

wire::LogEntry ClaimEntry(std::int64_t index) {
  wire::LogEntry entry;
  entry.index = index;
  entry.term = 1;
  wire::LedgerClaim claim;
  claim.key = "workspace-17/0123456789abcdef-" + std::to_string(index);
  claim.owner = "entry-940-0123456789ab";
  claim.ref = index;
  claim.fingerprint = index;
  claim.retention_ms = 900'000;
  entry.command.__set_claim(claim);
  return entry;
}

wire::LogEntry FinishEntry(std::int64_t index, std::int64_t claimed) {
  wire::LogEntry entry;
  entry.index = index;
  entry.term = 1;
  wire::LedgerFinish finish;
  finish.key = ClaimEntry(claimed).command.claim.key;
  finish.owner = "entry-940-0123456789ab";
  finish.ref = claimed;
  finish.kind = wire::FinishKind::DONE;
  finish.answer.status = 200;
  finish.answer.content_type = "application/json";
  finish.answer.body = std::string(300, 'x');
  finish.answer.kept = true;
  entry.command.__set_finish(finish);
  return entry;
}

void MeasureLedger() {
  Row("claim_log_bytes", 1, static_cast<double>(Serialize(ClaimEntry(100000)).size()));
  Row("finish_log_bytes", 1, static_cast<double>(Serialize(FinishEntry(100001, 100000)).size()));
  for (const int keys : {10'000, 30'000, 60'000, 100'000}) {
    const double before = HeapBytes();
    StateMachine machine;
    const double begun = CpuMicros();
    std::int64_t index = 0;
    for (int k = 0; k < keys; ++k) {
      const std::int64_t claimed = ++index;
      (void)ApplyEntry(machine, ClaimEntry(claimed));
      ++index;
      (void)ApplyEntry(machine, FinishEntry(index, claimed));
    }
    Row("ledger_apply_per_key_us", keys, CpuMicros() - begun);
    Row("ledger_memory_per_key_bytes", keys, HeapBytes() - before);
    const double saving = CpuMicros();
    const std::string state = SerializeStateMachine(machine);
    Row("snapshot_save_per_key_us", keys, CpuMicros() - saving);
    Row("snapshot_per_key_bytes", keys, static_cast<double>(state.size()));
    wire::Snapshot snapshot;
    snapshot.index = index;
    snapshot.state = state;
    const double loading = CpuMicros();
    StateMachine loaded;
    (void)RestoreStateMachine(loaded, snapshot);
    Row("snapshot_load_per_key_us", keys, CpuMicros() - loading);
  }
}

/// Measures the time to make entries durable, by the number that share a sync, and to replay a log.
void MeasureLog(const std::string& folder) {
  for (const int batch : {1, 8, 32, 128, 256}) {
    std::filesystem::remove_all(folder);
    StoredLog stored;
    auto store = LogStore::Open(folder, "bench", 7, stored);
    if (!store)
      std::abort();
    LogNode node;
    std::int64_t index = 0;
    constexpr int kSyncs = 60;
    const Instant begun = ReadClock();
    for (int s = 0; s < kSyncs; ++s) {
      LogEffects effects;
      for (int i = 0; i < batch; ++i)
        effects.m_append.push_back(ClaimEntry(++index));
      (void)(*store)->Save(node, effects);
    }
    Row("log_sync_per_entry_us", batch,
        static_cast<double>((ReadClock() - begun).count()) / kSyncs);
  }
  for (const int entries : {5'000, 20'000, 50'000}) {
    std::filesystem::remove_all(folder);
    StoredLog stored;
    auto store = LogStore::Open(folder, "bench", 7, stored);
    LogNode node;
    LogEffects effects;
    for (int i = 1; i <= entries; ++i)
      effects.m_append.push_back(ClaimEntry(i));
    (void)(*store)->Save(node, effects);
    const Instant begun = ReadClock();
    StoredLog reloaded;
    auto reopened = LogStore::Open(folder, "bench", 7, reloaded);
    StateMachine machine;
    for (const wire::LogEntry& entry : reloaded.m_entries)
      (void)ApplyEntry(machine, entry);
    Row("restart_per_entry_us", entries, static_cast<double>((ReadClock() - begun).count()));
  }
  std::filesystem::remove_all(folder);
}

/// Measures one broker under a steady load: each demand adds one request and finishes one.
void MeasureBroker() {
  for (const int engines : {16, 55, 128}) {
    BrokerSettings settings;
    settings.m_pregranted_share = 0;
    Broker broker = MakeBroker(settings, 1, Instant{});
    broker.m_recovering_until = {};
    std::vector<EngineBudget> budgets;
    std::vector<std::string> ids;
    for (int e = 0; e < engines; ++e) {
      ids.push_back("server-" + std::to_string(e) + "/e0");
      budgets.push_back({ids.back(), 8, 1'000'000});
    }
    UpdateEngines(broker, budgets, {},
                  [ids](const std::string&, const std::string&) { return ids; });
    std::vector<CreditId> outstanding;
    RequestRef ref = 0;
    Instant now(Duration(1'000'000));
    const auto send_demand = [&] {
      now += Duration(1000);
      GatewayDemand demand;
      demand.m_gateway = "entry-" + std::to_string(ref % 16);
      WaitingRequest request;
      request.m_ref = ++ref;
      request.m_tier = static_cast<Tier>(ref % 3);
      request.m_workspace = "w" + std::to_string(ref % 20);
      request.m_event = "e";
      request.m_prompt_tokens = 400;
      request.m_prefixes = {static_cast<std::uint64_t>(ref % 50), static_cast<std::uint64_t>(ref)};
      request.m_arrived = now;
      request.m_deadline = now + Duration(10'000'000);
      demand.m_items.push_back(request);
      ++demand.m_waiting[request.m_tier];
      if (outstanding.size() > static_cast<std::size_t>(engines) * 4) {
        demand.m_uses.push_back({outstanding.front(), UseStage::kFirstToken, Duration(50'000)});
        demand.m_uses.push_back({outstanding.front(), UseStage::kFinished, Duration(900'000)});
        outstanding.erase(outstanding.begin());
      }
      for (const GrantBatch& batch : HandleDemand(broker, demand, now)) {
        for (const Credit& credit : batch.m_credits)
          outstanding.push_back(credit.m_id);
      }
    };
    for (int i = 0; i < 2000; ++i)
      send_demand();
    Row("broker_demand_per_engine_us", engines, MicrosPerCall(send_demand));
    Row("broker_tick_per_engine_us", engines, MicrosPerCall([&] {
          now += Duration(5000);
          for (auto& [name, gateway] : broker.m_gateways)
            gateway.m_expires = now + Duration(1'000'000);
          (void)TickBroker(broker, now);
        }));
  }
}

int Main(int argc, char** argv) {
  const std::string folder = argc > 1 ? argv[1] : "/tmp/poppyway-slopes";
  std::cout << "name,x,y\n";
  MeasureConfiguration();
  MeasureHeartbeats();
  MeasureCredits();
  MeasureLedger();
  MeasureBroker();
  MeasureLog(folder);
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace poppyway::bench

int main(int argc, char** argv) {
  return poppyway::bench::Main(argc, argv);
}
