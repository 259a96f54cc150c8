// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "forwarder_rig.h"

namespace poppyway {

/// Notes what the forwarder sends; the test answers.
struct FakeBroker {
  std::vector<PlaceBatch> m_batches;
  int m_silent = 0;

  explicit FakeBroker(Rig& rig, std::int64_t epoch = 1) {
    rig.m_forwarder->SetBroker({[this](PlaceBatch batch) { m_batches.push_back(std::move(batch)); },
                                [this] { ++m_silent; }});
    rig.m_forwarder->Take(FleetSize{4});
    rig.m_forwarder->Take(BrokerFound{epoch});
  }
  [[nodiscard]] std::vector<PlaceAsk> Asks() const {
    std::vector<PlaceAsk> asks;
    for (const PlaceBatch& batch : m_batches)
      asks.insert(asks.end(), batch.m_asks.begin(), batch.m_asks.end());
    return asks;
  }
  [[nodiscard]] std::vector<PlaceRef> Withdrawn() const {
    std::vector<PlaceRef> withdrawn;
    for (const PlaceBatch& batch : m_batches)
      withdrawn.insert(withdrawn.end(), batch.m_withdrawn.begin(), batch.m_withdrawn.end());
    return withdrawn;
  }
  [[nodiscard]] std::vector<ServerWord> Words() const {
    std::vector<ServerWord> words;
    for (const PlaceBatch& batch : m_batches)
      words.insert(words.end(), batch.m_words.begin(), batch.m_words.end());
    return words;
  }
  [[nodiscard]] std::vector<PlaceReport> Reports() const {
    std::vector<PlaceReport> reports;
    for (const PlaceBatch& batch : m_batches)
      reports.insert(reports.end(), batch.m_reports.begin(), batch.m_reports.end());
    return reports;
  }
};

/// The broker's answer to one place request.
inline void Decide(Rig& rig, PlaceRef ref, PlaceVerdict verdict, const std::string& server = "") {
  PlaceAnswer answer;
  answer.m_ref = ref;
  answer.m_verdict = verdict;
  answer.m_server = server;
  rig.m_forwarder->Take(PlacesAnswered{1, {answer}});
}

/// A script of a server that answers each request well.
inline std::vector<ScriptStep> Ok(const std::string& request) {
  return Answer(request, "ok");
}

/// Registers a server that stands in a data centre.
inline void RegisterIn(Rig& rig,
                       const std::string& data_centre,
                       const std::string& id,
                       const ScriptedServer& server) {
  wire::ServerRecord record = rig.Record(id, server);
  record.data_centre = data_centre;
  rig.m_forwarder->Take(ServersChanged{{record}});
}

}  // namespace poppyway
