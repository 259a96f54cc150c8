// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include <boost/histogram.hpp>

#include "poppyway/core.h"

namespace poppyway {

/// \brief A histogram of durations with logarithmic bins from 50 µs to 1000 s. Not thread-safe.
class DurationHistogram {
 public:
  DurationHistogram();

  /// \brief Adds a value; one below 50 µs counts as 50 µs.
  void Record(Duration value);
  [[nodiscard]] std::uint64_t Count() const noexcept { return m_count; }
  [[nodiscard]] double SumSeconds() const noexcept { return m_sum; }
  /// \brief Returns the upper edge of the bin that holds the quantile `q` (0 to 1); 1000 s for
  /// values above it, zero if nothing was recorded.
  [[nodiscard]] Duration Quantile(double q) const;
  /// \brief Appends the Prometheus lines `_bucket`, `_sum` and `_count` to `out`. Labels are as in
  /// `MetricSet`.
  void AppendTo(std::string& out, std::string_view name, std::string_view labels) const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));
  Histogram m_bins;
  std::uint64_t m_count = 0;
  double m_sum = 0;
};

/// \brief Metrics of one task. Not thread-safe. Labels are in the Prometheus text format, without
/// the braces.
class MetricSet {
 public:
  /// \brief Adds `by` to a counter.
  void Add(std::string_view name, std::string_view labels = "", std::uint64_t by = 1);
  /// \brief Sets a gauge.
  void Set(std::string_view name, std::string_view labels, double value);
  /// \brief Adds a value to a histogram.
  void Record(std::string_view name, std::string_view labels, Duration value);
  /// \brief Replaces a histogram by a copy of one that is kept elsewhere.
  void SetHistogram(std::string_view name,
                    std::string_view labels,
                    const DurationHistogram& histogram);
  /// \brief Returns the value of a counter; 0 if nothing was added.
  [[nodiscard]] std::uint64_t Counter(std::string_view name, std::string_view labels = "") const;
  /// \brief Returns all metrics in the Prometheus text format.
  [[nodiscard]] std::string Text() const;

 private:
  using Key = std::pair<std::string, std::string>;
  std::map<Key, std::uint64_t> m_counters;
  std::map<Key, double> m_gauges;
  std::map<Key, DurationHistogram> m_histograms;
};

}  // namespace poppyway
