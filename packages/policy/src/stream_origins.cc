// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/policy.h"

namespace poppyway {
namespace {

/// Begins a new map if the current one is full or old.
void Rotate(StreamOrigins& origins, Instant now) {
  const bool full = origins.m_current.size() >= kMaxStreamOrigins;
  const bool old = now - origins.m_current_since >= kStreamOriginAge;
  if (!full && !old)
    return;
  origins.m_previous = std::move(origins.m_current);
  origins.m_current.clear();
  origins.m_current_since = now;
}

}  // namespace

StreamKey StreamKeyOf(std::string_view workspace, std::string_view first_attempt) noexcept {
  return first_attempt.empty() ? 0 : MixHash(Hash(workspace), Hash(first_attempt));
}

SoftwareId SoftwareIdOf(std::string_view pool, std::string_view version) noexcept {
  const SoftwareId software = MixHash(Hash(pool), Hash(version));
  return software == 0 ? 1 : software;
}

bool IsOtherVersion(const Continuation& continuation,
                    std::string_view pool,
                    std::string_view version) noexcept {
  if (!continuation.m_continues)
    return false;
  return continuation.m_software == 0 || continuation.m_software != SoftwareIdOf(pool, version);
}

void RecordOrigin(StreamOrigins& origins, const StreamOrigin& origin, Instant now) {
  if (origin.m_stream == 0)
    return;
  const std::optional<SoftwareId> known = FindOrigin(origins, origin.m_stream);
  const bool certain = !known || *known == origin.m_software;
  const SoftwareId software = certain ? origin.m_software : 0;
  Rotate(origins, now);
  origins.m_current[origin.m_stream] = software;
}

void ForgetOrigin(StreamOrigins& origins, StreamKey stream) {
  origins.m_current.erase(stream);
  origins.m_previous.erase(stream);
}

std::optional<SoftwareId> FindOrigin(const StreamOrigins& origins, StreamKey stream) noexcept {
  const auto current = origins.m_current.find(stream);
  if (current != origins.m_current.end())
    return current->second;
  const auto previous = origins.m_previous.find(stream);
  return previous == origins.m_previous.end() ? std::nullopt : std::optional(previous->second);
}

std::vector<StreamOrigin> AllOrigins(const StreamOrigins& origins) {
  std::vector<StreamOrigin> all;
  all.reserve(origins.m_current.size() + origins.m_previous.size());
  for (const auto& [stream, software] : origins.m_current)
    all.push_back({stream, software});
  for (const auto& [stream, software] : origins.m_previous) {
    if (!origins.m_current.contains(stream))
      all.push_back({stream, software});
  }
  return all;
}

}  // namespace poppyway
