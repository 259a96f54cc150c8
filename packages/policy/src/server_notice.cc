// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/policy.h"

namespace poppyway {

void RecordNotice(ServerNotices& notices,
                  const std::string& instance,
                  const ServerNotice& notice,
                  Instant now) {
  notices.m_leaving = notices.m_leaving || notice.m_leaving;
  std::erase_if(notices.m_back_off_until, [now](const auto& entry) { return entry.second <= now; });
  if (notice.m_back_off <= Duration(0))
    return;
  Instant& until = notices.m_back_off_until[instance];
  until = std::max(until, now + notice.m_back_off);
}

Duration BackOffLeft(const ServerNotices& notices,
                     const std::string& instance,
                     Instant now) noexcept {
  const auto found = notices.m_back_off_until.find(instance);
  if (found == notices.m_back_off_until.end())
    return Duration(0);
  return std::max(Duration(0), found->second - now);
}

bool AnyBackOff(const ServerNotices& notices, Instant now) noexcept {
  return std::any_of(notices.m_back_off_until.begin(), notices.m_back_off_until.end(),
                     [now](const auto& entry) { return now < entry.second; });
}

}  // namespace poppyway
