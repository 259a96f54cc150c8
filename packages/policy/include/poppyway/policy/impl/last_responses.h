// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <string>

#include "poppyway/core.h"

namespace poppyway {

/// \brief A response of a server to an instance.
struct ResponseTo {
  std::string m_instance;  ///< Empty: none.
  Instant m_at{};

  friend bool operator==(const ResponseTo&, const ResponseTo&) = default;
};

/// \brief The latest responses of a server to two different instances. They show whether a server
/// that one instance can't reach responds to others.
struct LastResponses {
  ResponseTo m_latest;
  ResponseTo m_to_another;  ///< The latest one to any other instance than that of `m_latest`.

  friend bool operator==(const LastResponses&, const LastResponses&) = default;
};

/// \brief Records a response. Precondition: `at` isn't before that of an earlier call.
void RecordResponse(LastResponses& responses, const std::string& instance, Instant at);

/// \brief Returns when the server last responded to any other instance than `instance`; zero:
/// never. Pure and thread-safe.
[[nodiscard]] Instant LastResponseToOthers(const LastResponses& responses,
                                           const std::string& instance) noexcept;

}  // namespace poppyway
