// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include <boost/histogram.hpp>

#include "poppyway/core.h"

namespace poppyway {

/// \brief A duration histogram with logarithmic bins from 50 µs to 1000 s.
class DurationHistogram {
 public:
  DurationHistogram();

  void Record(Duration value);
  [[nodiscard]] std::uint64_t Count() const noexcept { return m_count; }
  [[nodiscard]] double SumSeconds() const noexcept { return m_sum; }
  /// \brief Upper edge of the bin that holds quantile `q` (0 to 1); zero if nothing was recorded.
  [[nodiscard]] Duration Quantile(double q) const;
  /// \brief Appends Prometheus `_bucket`, `_sum` and `_count` lines.
  void AppendTo(std::string& out, std::string_view name, std::string_view labels) const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));
  Histogram m_bins;
  std::uint64_t m_count = 0;
  double m_sum = 0;
};

/// \brief Metrics of one task. Not thread-safe. Labels are Prometheus text without braces.
class MetricSet {
 public:
  void Add(std::string_view name, std::string_view labels = "", std::uint64_t by = 1);
  void Set(std::string_view name, std::string_view labels, double value);
  void Record(std::string_view name, std::string_view labels, Duration value);
  /// \brief Takes a histogram that is kept elsewhere.
  void SetHistogram(std::string_view name,
                    std::string_view labels,
                    const DurationHistogram& histogram);
  [[nodiscard]] std::uint64_t Counter(std::string_view name, std::string_view labels = "") const;
  [[nodiscard]] std::string Text() const;

 private:
  using Key = std::pair<std::string, std::string>;
  std::map<Key, std::uint64_t> m_counters;
  std::map<Key, double> m_gauges;
  std::map<Key, DurationHistogram> m_histograms;
};

}  // namespace poppyway
