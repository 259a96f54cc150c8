// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "load_plan.h"
#include "poppyway/gateway.h"
#include "poppyway/gateway/impl/upstream.h"
#include "poppyway/telemetry.h"
#include "poppyway/wire.h"

namespace poppyway::cli {

/// \brief What became of one class.
struct ClassResult {
  std::int64_t m_offered = 0;
  std::int64_t m_good = 0;   ///< Answered whole, right and in time.
  std::int64_t m_late = 0;   ///< Answered whole and right, after the deadline.
  std::int64_t m_wrong = 0;  ///< Answered with what is not the request's own answer.
  std::int64_t m_cut = 0;    ///< The answer broke off, or no answer came.
  std::map<std::string, std::int64_t> m_cut_reasons;
  std::int64_t m_bad_refusals = 0;        ///< Refusals without code, run state or Retry-After.
  std::map<int, std::int64_t> m_refused;  ///< By result code.
  DurationHistogram m_first_token;
  DurationHistogram m_total;
  DurationHistogram m_refusal;
};

/// \brief Settings of a run.
struct LoadSettings {
  std::vector<Endpoint> m_targets;
  Duration m_balancer_lag{500'000};  ///< Age of what the stand-in balancer knows of readiness.
  std::uint64_t m_seed = 1;
  std::size_t m_max_open = 4000;
};

/// \brief Runs a load in real time against instances, as the platform's balancer would spread it.
class LoadRunner {
 public:
  LoadRunner(EventLoop& loop, LoadPlan plan, LoadSettings settings);
  ~LoadRunner();
  /// Runs to the end; blocks.
  void Run();
  [[nodiscard]] const std::vector<ClassResult>& results() const { return m_results; }
  [[nodiscard]] std::int64_t tokens() const { return m_tokens; }

 private:
  struct Call;
  struct Target {
    Endpoint m_endpoint;
    bool m_ready = false;  ///< As the balancer sees it, late.
    bool m_seen = false;   ///< What the last probe saw.
    Instant m_seen_at{};
    std::unique_ptr<Upstream> m_probe;
  };

  void StartDue(Instant now);
  void Start(const PlannedRequest& request, Instant now);
  void Finish(Call& call, const std::string& failure);
  /// True if the answer is the one that the stand-ins owe to this very request.
  [[nodiscard]] static bool IsRight(const Call& call);
  void NoteCut(const Call& call, const std::string& why);
  void NoteAnswer(const Call& call, Duration took);
  void NoteRefusal(const Call& call, Duration took);
  void ProbeTargets(Instant now);
  [[nodiscard]] std::size_t PickTarget();

  EventLoop& m_loop;
  LoadPlan m_plan;
  LoadSettings m_settings;
  std::vector<PlannedRequest> m_requests;
  std::size_t m_next = 0;
  Instant m_begun{};
  Instant m_probe_due{};
  std::vector<Target> m_targets;
  std::size_t m_turn = 0;
  UpstreamPools m_pools;
  std::map<std::uint64_t, std::unique_ptr<Call>> m_calls;
  std::vector<std::unique_ptr<Call>> m_over;
  std::vector<std::unique_ptr<Upstream>> m_old_probes;
  std::vector<ClassResult> m_results;
  std::int64_t m_tokens = 0;
};

}  // namespace poppyway::cli
