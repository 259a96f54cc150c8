// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/telemetry.h"

namespace poppyway {
namespace {

// Range and number of the histogram's logarithmic bins.
constexpr unsigned kBins = 120;
constexpr double kLowestSeconds = 50e-6;
constexpr double kHighestSeconds = 1000;

/// Returns `labels` in braces, or "" if there are none.
std::string Braced(std::string_view labels) {
  return labels.empty() ? "" : "{" + std::string(labels) + "}";
}

/// Returns `labels` and the label `extra` in braces.
std::string WithLabel(std::string_view labels, const std::string& extra) {
  return "{" + std::string(labels) + (labels.empty() ? "" : ",") + extra + "}";
}

}  // namespace

DurationHistogram::DurationHistogram()
    : m_bins(boost::histogram::make_histogram(Axis(kBins, kLowestSeconds, kHighestSeconds))) {}

void DurationHistogram::Record(Duration value) {
  const double seconds = std::max(Seconds(value), kLowestSeconds);
  m_bins(seconds);
  ++m_count;
  m_sum += seconds;
}

Duration DurationHistogram::Quantile(double q) const {
  if (m_count == 0)
    return Duration(0);
  const double target = q * static_cast<double>(m_count);
  double cumulative = 0;
  const auto& axis = m_bins.axis(0);
  for (int i = 0; i < static_cast<int>(kBins); ++i) {
    cumulative += m_bins.at(i);
    if (cumulative >= target)
      return Duration(static_cast<std::int64_t>(axis.bin(i).upper() * 1e6));
  }
  return Duration(static_cast<std::int64_t>(kHighestSeconds * 1e6));
}

void DurationHistogram::AppendTo(std::string& out,
                                 std::string_view name,
                                 std::string_view labels) const {
  constexpr int kBinsPerBucket = 6;  // One bin edge in six is exported: twenty buckets.
  double cumulative = 0;
  const auto& axis = m_bins.axis(0);
  for (int i = 0; i < static_cast<int>(kBins); ++i) {
    cumulative += m_bins.at(i);
    if ((i + 1) % kBinsPerBucket != 0)
      continue;
    out += std::string(name) + "_bucket" +
           WithLabel(labels, "le=\"" + std::to_string(axis.bin(i).upper()) + "\"") + " " +
           std::to_string(static_cast<std::uint64_t>(cumulative)) + "\n";
  }
  out += std::string(name) + "_bucket" + WithLabel(labels, "le=\"+Inf\"") + " " +
         std::to_string(m_count) + "\n";
  out += std::string(name) + "_sum" + Braced(labels) + " " + std::to_string(m_sum) + "\n";
  out += std::string(name) + "_count" + Braced(labels) + " " + std::to_string(m_count) + "\n";
}

void MetricSet::Add(std::string_view name, std::string_view labels, std::uint64_t by) {
  m_counters[Key(name, labels)] += by;
}

void MetricSet::Set(std::string_view name, std::string_view labels, double value) {
  m_gauges[Key(name, labels)] = value;
}

void MetricSet::Record(std::string_view name, std::string_view labels, Duration value) {
  m_histograms[Key(name, labels)].Record(value);
}

void MetricSet::SetHistogram(std::string_view name,
                             std::string_view labels,
                             const DurationHistogram& histogram) {
  m_histograms[Key(name, labels)] = histogram;
}

std::uint64_t MetricSet::Counter(std::string_view name, std::string_view labels) const {
  const auto found = m_counters.find(Key(name, labels));
  return found == m_counters.end() ? 0 : found->second;
}

std::string MetricSet::Text() const {
  std::string out;
  for (const auto& [key, value] : m_counters)
    out += key.first + Braced(key.second) + " " + std::to_string(value) + "\n";
  for (const auto& [key, value] : m_gauges)
    out += key.first + Braced(key.second) + " " + std::to_string(value) + "\n";
  for (const auto& [key, histogram] : m_histograms)
    histogram.AppendTo(out, key.first, key.second);
  return out;
}

}  // namespace poppyway
