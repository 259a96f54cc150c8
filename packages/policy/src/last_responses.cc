// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/policy.h"

namespace poppyway {

void RecordResponse(LastResponses& responses, const std::string& instance, Instant at) {
  if (responses.m_latest.m_instance != instance)
    responses.m_to_another = responses.m_latest;
  responses.m_latest = {instance, at};
}

Instant LastResponseToOthers(const LastResponses& responses, const std::string& instance) noexcept {
  const bool latest_is_own = responses.m_latest.m_instance == instance;
  return latest_is_own ? responses.m_to_another.m_at : responses.m_latest.m_at;
}

}  // namespace poppyway
