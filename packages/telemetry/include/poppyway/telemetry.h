// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief Counters, gauges and histograms in the Prometheus text format, and logs of key=value
/// lines.
///
/// \detail A `MetricSet` is not thread-safe: each task has its own, and the gateway's /metrics page
/// joins their texts. Logging is thread-safe.
///
/// Example:
/// \code
/// poppyway::MetricSet metrics;
/// metrics.Add("poppyway_refusals_total", "reason=\"overload\",tier=\"2\"");
/// POPPYWAY_LOG(info, "refused").Field("reason", "overload").Field("tier", 2);
/// \endcode

#include "poppyway/telemetry/impl/line_writer.h"
#include "poppyway/telemetry/impl/log_line.h"
#include "poppyway/telemetry/impl/metric_set.h"
