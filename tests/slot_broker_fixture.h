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

/// Returns an engine with two slots.
inline BackendServer Engine(const std::string& id, const std::string& data_centre = "east") {
  BackendServer server;
  server.m_id = id;
  server.m_pool = "engines";
  server.m_data_centre = data_centre;
  server.m_slots = 2;
  return server;
}

/// Returns a broker of these servers. At `kStart` all instances report that they hold no slots.
inline SlotBroker BrokerFor(const std::vector<std::string>& holders,
                            const std::vector<BackendServer>& servers,
                            Instant began = kStart) {
  SlotBroker broker = MakeSlotBroker(1, 7, Duration(4'500'000), began);
  SetServers(broker, servers);
  for (const std::string& instance : holders)
    ForgetInstance(broker, instance, static_cast<int>(holders.size()), kStart);
  return broker;
}

/// Returns a request for an engine. Engines have no queue, so it is assigned only a free slot.
inline SlotRequest WantedPlace(SlotRef ref) {
  SlotRequest slot_request;
  slot_request.m_ref = ref;
  slot_request.m_pool = "engines";
  slot_request.m_data_centre = "east";
  slot_request.m_shape.m_prompt_tokens = 600;
  slot_request.m_shape.m_latency_target = Duration(800'000);
  slot_request.m_shape.m_left = 10 * kSecond;
  slot_request.m_wait = Duration(200'000);
  return slot_request;
}

/// Returns the broker's only response to a slot request.
inline SlotResponse AskOnce(SlotBroker& broker,
                            const std::string& instance,
                            SlotRequest slot_request,
                            Instant now = kStart) {
  std::vector<SlotResponse> out;
  RequestSlot(broker, instance, std::move(slot_request), now, out);
  REQUIRE(out.size() == 1);
  return out[0];
}

}  // namespace poppyway
