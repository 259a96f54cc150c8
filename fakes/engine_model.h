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
  double m_prefill_tokens_per_s = 8000;  ///< Prompt tokens per second.
  Duration m_decode_step{25'000};        ///< Time between tokens if no other request runs.
  double m_batch_slowdown = 0.5;         ///< Relative increase of the step at a full batch.
  int m_slots = 8;                       ///< Maximum batch size.
  std::int64_t m_cache_tokens = 65536;   ///< Capacity of the prefix cache, in tokens.
};

/// \brief Returns the spec of a hardware generation: "g1" (slow), "g2" or "g3" (fast). An unknown
/// generation gets the default spec, which is that of "g2".
[[nodiscard]] EngineSpec EngineSpecOf(const std::string& generation);

/// \brief A request to an engine.
struct EngineJob {
  std::uint64_t m_id = 0;
  std::int64_t m_prompt_tokens = 1;
  std::vector<std::uint64_t> m_prefixes;  ///< Result of `PrefixHashes` for the prompt.
  std::int64_t m_output_tokens = 1;
  int m_priority = 0;  ///< A lower value is prefilled first.
};

/// \brief One output token of an engine.
struct EngineEvent {
  std::uint64_t m_id = 0;    ///< EngineJob::m_id.
  std::int64_t m_token = 0;  ///< Index of the token, from zero.
  bool m_last = false;
  Instant m_at{};
};

/// \brief Simulates a model engine with continuous batching, a prefix cache and one prefill at a
/// time, in order of priority. The model reads no clock: the same calls return the same events. Not
/// thread-safe.
class EngineModel {
 public:
  explicit EngineModel(EngineSpec spec) : m_spec(spec) {}

  /// \brief Queues a job behind the waiting jobs of the same or a higher priority.
  void Submit(EngineJob job, Instant now);
  /// \brief Drops a job; has no effect if the id is unknown.
  void Cancel(std::uint64_t id);
  /// \brief Simulates the engine until `now` in steps of 1 ms.
  /// \return the tokens that were produced, ordered by time.
  [[nodiscard]] std::vector<EngineEvent> Advance(Instant now);
  /// \brief Sets the factor of all speeds; 0.33 is an engine at a third of its speed.
  void SetSpeed(double factor) { m_speed = factor; }
  /// \brief Number of waiting and running jobs.
  [[nodiscard]] std::size_t queued() const { return m_waiting.size() + m_active.size(); }
  /// \brief Prompt tokens of all jobs whose prefill is complete.
  [[nodiscard]] std::int64_t prefilled() const { return m_prefilled; }
  /// \brief Returns false only if the job still waits for its prefill to start.
  [[nodiscard]] bool PrefillStarted(std::uint64_t id) const;

 private:
  struct Waiting {
    EngineJob m_job;
    double m_left = 0;  ///< Prompt tokens that are not prefilled yet.
    bool m_prefill_started = false;
  };
  struct Active {
    EngineJob m_job;
    std::int64_t m_token = 0;  ///< Index of the next token.
    Instant m_next{};          ///< When that token is due.
  };
  /// Prompt tokens of the longest cached prefix.
  [[nodiscard]] std::int64_t CachedTokens(const EngineJob& job) const;
  void CachePrefixes(const EngineJob& job);
  /// Time between two tokens at the current batch size and speed.
  [[nodiscard]] Duration DecodeStep() const;

  EngineSpec m_spec;
  double m_speed = 1;
  Instant m_now{};
  std::list<Waiting> m_waiting;
  std::vector<Active> m_active;
  std::list<std::uint64_t> m_cache;  ///< Prefix hashes, most recently used first.
  std::unordered_map<std::uint64_t, std::pair<std::list<std::uint64_t>::iterator, std::int64_t>>
      m_cached;
  std::int64_t m_cached_tokens = 0;
  std::int64_t m_prefilled = 0;
};

/// \brief Returns the text of output token `index` for `prompt`. It is a pure function of both, so
/// that a client can verify a response.
[[nodiscard]] std::string TokenText(std::string_view prompt, std::int64_t index);

}  // namespace poppyway::fakes
