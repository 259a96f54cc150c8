// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/policy.h"

namespace poppyway {

void TakeWord(ServerWords& words, const std::string& holder, const ServerWord& word, Instant now) {
  words.m_leaving = words.m_leaving || word.m_leaving;
  std::erase_if(words.m_back_off_until, [now](const auto& entry) { return entry.second <= now; });
  if (word.m_back_off <= Duration(0))
    return;
  Instant& until = words.m_back_off_until[holder];
  until = std::max(until, now + word.m_back_off);
}

Duration BackOffLeft(const ServerWords& words, const std::string& holder, Instant now) noexcept {
  const auto asked = words.m_back_off_until.find(holder);
  if (asked == words.m_back_off_until.end())
    return Duration(0);
  return std::max(Duration(0), asked->second - now);
}

bool AnyBackOff(const ServerWords& words, Instant now) noexcept {
  return std::any_of(words.m_back_off_until.begin(), words.m_back_off_until.end(),
                     [now](const auto& entry) { return now < entry.second; });
}

}  // namespace poppyway
