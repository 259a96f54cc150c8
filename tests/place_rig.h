// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "poppyway/policy.h"

namespace poppyway {

inline constexpr Duration kSecond{1'000'000};
inline const Instant kStart{Duration(10'000'000)};

/// An engine with two places.
inline PlaceServer Engine(const std::string& id, const std::string& data_centre = "east") {
  PlaceServer server;
  server.m_id = id;
  server.m_pool = "engines";
  server.m_data_centre = data_centre;
  server.m_slots = 2;
  return server;
}

/// A broker of these servers, which all instances have told by `kStart` that they hold nothing.
inline PlaceBroker BrokerFor(const std::vector<std::string>& holders,
                             const std::vector<PlaceServer>& servers,
                             Instant began = kStart) {
  PlaceBroker broker = BeginBroker(1, 7, Duration(4'500'000), began);
  SetServers(broker, servers);
  for (const std::string& holder : holders)
    Resync(broker, holder, static_cast<int>(holders.size()), kStart);
  return broker;
}

/// A request for an engine, which has no queue of its own: it is placed within the slots only.
inline PlaceAsk WantedPlace(PlaceRef ref) {
  PlaceAsk ask;
  ask.m_ref = ref;
  ask.m_pool = "engines";
  ask.m_data_centre = "east";
  ask.m_shape.m_prompt_tokens = 600;
  ask.m_shape.m_aim = Duration(800'000);
  ask.m_shape.m_left = 10 * kSecond;
  ask.m_wait = Duration(200'000);
  return ask;
}

/// The broker's one answer to a place request.
inline PlaceAnswer AskOnce(PlaceBroker& broker,
                           const std::string& holder,
                           PlaceAsk ask,
                           Instant now = kStart) {
  std::vector<PlaceAnswer> out;
  Ask(broker, holder, std::move(ask), now, out);
  REQUIRE(out.size() == 1);
  return out[0];
}

}  // namespace poppyway
