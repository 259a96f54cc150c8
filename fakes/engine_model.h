// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "poppyway/core.h"

namespace poppyway::fakes {

/// \brief Speed and limits of a model engine.
struct EngineSpec {
  double m_prefill_tokens_per_s = 8000;
  Duration m_decode_step{25'000};  ///< Between tokens on an otherwise empty engine.
  double m_batch_slowdown = 0.5;   ///< Added share of the step when the batch is full.
  int m_slots = 8;
  std::int64_t m_cache_tokens = 65536;  ///< Prompt tokens whose prefixes stay cached.
};

/// \brief A spec by hardware generation: "g1" (slow), "g2", "g3" (fast).
[[nodiscard]] EngineSpec EngineSpecOf(const std::string& generation);

/// \brief A request to an engine.
struct EngineJob {
  std::uint64_t m_id = 0;
  std::int64_t m_prompt_tokens = 1;
  std::vector<std::uint64_t> m_prefixes;  ///< As `PrefixHashes` gives them.
  std::int64_t m_output_tokens = 1;
  int m_priority = 0;  ///< Lower goes first.
};

/// \brief Something that became visible to the engine's caller.
struct EngineEvent {
  std::uint64_t m_id = 0;
  std::int64_t m_token = 0;  ///< Number of the token, from zero.
  bool m_last = false;
  Instant m_at{};
};

/// \brief A model engine: continuous batching, one prefill at a time by priority, prefix cache.
/// Given time only; the same calls give the same events.
class EngineModel {
 public:
  explicit EngineModel(EngineSpec spec) : m_spec(spec) {}

  void Submit(EngineJob job, Instant now);
  void Cancel(std::uint64_t id);
  /// Runs until `now`; events in time order.
  [[nodiscard]] std::vector<EngineEvent> Advance(Instant now);
  /// Multiplies all speeds, e.g. 0.33 for an engine that slowed down.
  void SetSpeed(double factor) { m_speed = factor; }
  [[nodiscard]] std::size_t queued() const { return m_waiting.size() + m_active.size(); }
  /// Prompt tokens prefilled so far.
  [[nodiscard]] std::int64_t prefilled() const { return m_prefilled; }
  /// True if the engine began (or finished) to prefill the job.
  [[nodiscard]] bool Began(std::uint64_t id) const;

 private:
  struct Waiting {
    EngineJob m_job;
    double m_left = 0;
    bool m_began = false;
  };
  struct Active {
    EngineJob m_job;
    std::int64_t m_token = 0;
    Instant m_next{};
  };
  [[nodiscard]] std::int64_t Cached(const EngineJob& job) const;
  void Remember(const EngineJob& job);
  [[nodiscard]] Duration Step() const;

  EngineSpec m_spec;
  double m_speed = 1;
  Instant m_now{};
  std::list<Waiting> m_waiting;
  std::vector<Active> m_active;
  std::list<std::uint64_t> m_cache;  ///< Prefix hashes, latest first.
  std::unordered_map<std::uint64_t, std::pair<std::list<std::uint64_t>::iterator, std::int64_t>>
      m_cached;
  std::int64_t m_cached_tokens = 0;
  std::int64_t m_prefilled = 0;
};

/// \brief Text of token `index` of the answer to `prompt`; the caller can check it.
[[nodiscard]] std::string TokenText(std::string_view prompt, std::int64_t index);

}  // namespace poppyway::fakes
