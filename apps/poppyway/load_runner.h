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

/// \brief Results of one class of callers.
struct ClassResult {
  std::int64_t m_offered = 0;
  std::int64_t m_good = 0;   ///< Complete, correct and before the deadline.
  std::int64_t m_late = 0;   ///< Complete and correct, but after the deadline.
  std::int64_t m_wrong = 0;  ///< Status 200 with a body that isn't this request's response.
  std::int64_t m_cut = 0;    ///< The response was truncated or missing.
  std::map<std::string, std::int64_t> m_cut_reasons;
  std::int64_t m_bad_rejections = 0;         ///< Rejections without code, run state or Retry-After.
  std::map<int, std::int64_t> m_rejections;  ///< By result code, or else HTTP status.
  DurationHistogram m_first_token;
  DurationHistogram m_total;
  DurationHistogram m_rejection_time;  ///< Time to a rejection.
};

/// \brief Settings of a run.
struct LoadSettings {
  std::vector<Endpoint> m_targets;
  Duration m_balancer_lag{500'000};  ///< Delay before the simulated balancer sees readiness.
  std::uint64_t m_seed = 1;
  std::size_t m_max_open = 4000;  ///< Limit of concurrent requests.
};

/// \brief Runs a load in real time against instances and distributes the requests as the platform's
/// load balancer would: round robin over the instances that it believes ready. Not thread-safe.
class LoadRunner {
 public:
  LoadRunner(EventLoop& loop, LoadPlan plan, LoadSettings settings);
  ~LoadRunner();
  /// \brief Runs the load and blocks until it ends, at most 30 s after the last request
  /// was sent.
  void Run();
  [[nodiscard]] const std::vector<ClassResult>& results() const { return m_results; }
  [[nodiscard]] std::int64_t tokens() const { return m_tokens; }

 private:
  struct Call;
  struct Target {
    Endpoint m_endpoint;
    bool m_ready = false;         ///< What the balancer sees, delayed by m_balancer_lag.
    bool m_probed_ready = false;  ///< Result of the last probe.
    Instant m_changed_at{};       ///< When the result last changed.
    std::unique_ptr<Upstream> m_probe;
  };

  void StartDue(Instant now);
  void Start(const PlannedRequest& request, Instant now);
  void Finish(Call& call, const std::string& failure);
  /// True if the body is the response that the fake servers compute for this request.
  [[nodiscard]] static bool IsCorrect(const Call& call);
  void RecordCut(const Call& call, const std::string& why);
  void RecordSuccess(const Call& call, Duration took);
  void RecordRejection(const Call& call, Duration took);
  void ProbeTargets(Instant now);
  [[nodiscard]] std::size_t PickTarget();

  EventLoop& m_loop;
  LoadPlan m_plan;
  LoadSettings m_settings;
  std::vector<PlannedRequest> m_requests;
  std::size_t m_next = 0;
  Instant m_started{};
  Instant m_probe_due{};
  std::vector<Target> m_targets;
  std::size_t m_next_target = 0;  ///< Position of the round robin.
  UpstreamPools m_pools;
  std::map<std::uint64_t, std::unique_ptr<Call>> m_calls;
  std::vector<std::unique_ptr<Call>> m_finished;  ///< Destroyed outside their callbacks.
  std::vector<std::unique_ptr<Upstream>> m_finished_probes;
  std::vector<ClassResult> m_results;
  std::int64_t m_tokens = 0;
};

}  // namespace poppyway::cli
