// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <algorithm>

#include "poppyway/policy.h"

namespace poppyway {
namespace {

// A single server's path may be broken by its own link.
constexpr std::size_t kServersToBeCutOff = 2;
// After this time the next call tries the path itself.
constexpr Duration kBrokenPathTime{1'000'000};
constexpr Duration kProbeInterval{250'000};
// Calls that break off within this time likely have one cause.
constexpr Duration kSameCauseTime{300'000};

}  // namespace

PathTransition RecordBrokenPath(ServerPaths& paths,
                                const std::string& server,
                                std::size_t servers,
                                Instant now) {
  std::erase_if(paths.m_broken,
                [now](const auto& entry) { return now - entry.second >= kBrokenPathTime; });
  paths.m_broken[server] = now;
  const bool enough =
      paths.m_broken.size() >= std::min(kServersToBeCutOff, std::max<std::size_t>(servers, 1));
  if (paths.m_cut_off || !enough)
    return PathTransition::kNone;
  paths.m_cut_off = true;
  paths.m_since = now;
  paths.m_next_probe = now + kProbeInterval;
  return PathTransition::kCutOff;
}

PathTransition RecordOpenPath(ServerPaths& paths, const std::string& server) {
  const bool was_cut_off = paths.m_cut_off;
  paths.m_broken.erase(server);
  if (!was_cut_off)
    return PathTransition::kNone;
  paths = {};
  return PathTransition::kRestored;
}

bool IsPathBroken(const ServerPaths& paths, const std::string& server, Instant now) {
  if (paths.m_cut_off)
    return true;
  const auto found = paths.m_broken.find(server);
  return found != paths.m_broken.end() && now - found->second < kBrokenPathTime;
}

bool RecordBrokenCall(ServerPaths& paths,
                      const std::string& server,
                      Instant last_byte,
                      Instant now) {
  const bool same_cause = !paths.m_last_broken_call.empty() && paths.m_last_broken_call != server &&
                          now - paths.m_last_broken_at < kSameCauseTime &&
                          last_byte < paths.m_last_broken_at;
  paths.m_last_broken_call = server;
  paths.m_last_broken_at = now;
  return paths.m_cut_off || same_cause;
}

bool TakePathProbe(ServerPaths& paths, Instant now) noexcept {
  if (!paths.m_cut_off || now < paths.m_next_probe)
    return false;
  paths.m_next_probe = now + kProbeInterval;
  return true;
}

}  // namespace poppyway
