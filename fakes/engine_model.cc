// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "engine_model.h"

#include <algorithm>
#include <cstdio>

#include "poppyway/policy.h"

namespace poppyway::fakes {
namespace {

constexpr Duration kStep{1000};  // Resolution of the simulation.

}  // namespace

EngineSpec EngineSpecOf(const std::string& generation) {
  if (generation == "g1")
    return {4000, Duration(40'000), 0.5, 8, 32768};
  if (generation == "g3")
    return {16000, Duration(15'000), 0.5, 8, 131072};
  return {};
}

std::string TokenText(std::string_view prompt, std::int64_t index) {
  char text[10];
  std::snprintf(text, sizeof(text), "%08x ",
                static_cast<unsigned>(Hash(prompt, static_cast<std::uint64_t>(index) + 1)));
  return text;
}

std::int64_t EngineModel::CachedTokens(const EngineJob& job) const {
  for (std::size_t i = job.m_prefixes.size(); i > 0; --i) {
    if (m_cached.contains(job.m_prefixes[i - 1]))
      return PrefixTokens(i - 1);
  }
  return 0;
}

void EngineModel::CachePrefixes(const EngineJob& job) {
  for (std::size_t i = 0; i < job.m_prefixes.size(); ++i) {
    const std::uint64_t hash = job.m_prefixes[i];
    const std::int64_t own = PrefixTokens(i) - (i == 0 ? 0 : PrefixTokens(i - 1));
    const auto found = m_cached.find(hash);
    if (found != m_cached.end()) {
      m_cache.splice(m_cache.begin(), m_cache, found->second.first);
      continue;
    }
    m_cache.push_front(hash);
    m_cached[hash] = {m_cache.begin(), own};
    m_cached_tokens += own;
  }
  while (m_cached_tokens > m_spec.m_cache_tokens) {
    const auto oldest = m_cached.find(m_cache.back());
    m_cached_tokens -= oldest->second.second;
    m_cached.erase(oldest);
    m_cache.pop_back();
  }
}

Duration EngineModel::DecodeStep() const {
  const double batch_load = static_cast<double>(m_active.size()) / m_spec.m_slots;
  const double step = static_cast<double>(m_spec.m_decode_step.count()) *
                      (1 + m_spec.m_batch_slowdown * batch_load) / m_speed;
  return Duration(static_cast<std::int64_t>(step));
}

void EngineModel::Submit(EngineJob job, Instant now) {
  m_now = std::max(m_now, now);
  Waiting waiting;
  waiting.m_left =
      static_cast<double>(std::max<std::int64_t>(1, job.m_prompt_tokens - CachedTokens(job)));
  waiting.m_job = std::move(job);
  const auto position = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const Waiting& other) {
    return !other.m_prefill_started && other.m_job.m_priority > waiting.m_job.m_priority;
  });
  m_waiting.insert(position, std::move(waiting));
}

void EngineModel::Cancel(std::uint64_t id) {
  m_waiting.remove_if([id](const Waiting& waiting) { return waiting.m_job.m_id == id; });
  std::erase_if(m_active, [id](const Active& active) { return active.m_job.m_id == id; });
}

bool EngineModel::PrefillStarted(std::uint64_t id) const {
  const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(),
                                    [id](const Waiting& w) { return w.m_job.m_id == id; });
  return waiting == m_waiting.end() || waiting->m_prefill_started;
}

std::vector<EngineEvent> EngineModel::Advance(Instant now) {
  std::vector<EngineEvent> events;
  while (m_now < now) {
    if (m_waiting.empty() && m_active.empty()) {
      m_now = now;
      break;
    }
    const Duration step = std::min(kStep, Duration(now - m_now));
    m_now += step;
    double budget = m_spec.m_prefill_tokens_per_s * m_speed * Seconds(step);
    while (budget > 0 && !m_waiting.empty() &&
           m_active.size() < static_cast<std::size_t>(m_spec.m_slots)) {
      Waiting& first = m_waiting.front();
      first.m_prefill_started = true;
      const double done = std::min(budget, first.m_left);
      first.m_left -= done;
      budget -= done;
      if (first.m_left > 0)
        break;
      m_prefilled += first.m_job.m_prompt_tokens;
      CachePrefixes(first.m_job);
      m_active.push_back({std::move(first.m_job), 0, m_now});
      m_waiting.pop_front();
    }
    for (Active& active : m_active) {
      if (active.m_next > m_now)
        continue;
      const bool last = active.m_token + 1 >= active.m_job.m_output_tokens;
      events.push_back({active.m_job.m_id, active.m_token, last, m_now});
      ++active.m_token;
      active.m_next = m_now + DecodeStep();
    }
    std::erase_if(m_active, [](const Active& active) {
      return active.m_token >= active.m_job.m_output_tokens;
    });
  }
  return events;
}

}  // namespace poppyway::fakes
