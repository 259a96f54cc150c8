// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "poppyway/forward/impl/backend_call.h"
#include "poppyway/forward/impl/connection_probe.h"
#include "poppyway/forward/impl/peer_relay.h"
#include "poppyway/policy.h"

namespace poppyway {

/// \brief A check whether a server, or this instance's path to it, has failed: a connection attempt
/// from here and, if it fails, the same by a helper.
///
/// If neither reaches the server, its process has ended. If only the helper does, the path is
/// broken. If both do, only the calls broke off.
struct PathCheck {
  std::string m_server;
  Endpoint m_endpoint;
  ServerCrash m_broken_calls;                ///< What ran in the calls that broke off there.
  std::unique_ptr<ConnectionProbe> m_probe;  ///< The attempt from here.
  std::unique_ptr<BackendCall> m_asked;      ///< The request to the helper.
  Endpoint m_helper;                         ///< The helper that is asked.
  int m_helpers_asked = 0;
  std::optional<RelayFault> m_word;  ///< What the helper's response head stated.
};

}  // namespace poppyway
