// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include <charconv>

#include "filters.h"

namespace poppyway::impl {
namespace {

// Upper limit of a requested deadline, the same as that of declarations.
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;

Result<std::int64_t> ReadNumber(const std::string& text, const char* header) {
  std::int64_t value = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (fault != std::errc() || end != text.data() + text.size() || value < 1)
    return Fail(ResultCode::kBadRequest, std::string(header) + " must be a positive whole number");
  return value;
}

}  // namespace

/// Sets the deadline, and refuses a request with a key that is older than the retention of keys:
/// the ledger may no longer know whether it ran.
Verdict CheckDeadline(GatewayState& state, Exchange& exchange) {
  std::int64_t deadline_ms = exchange.m_event->m_deadline_ms;
  const std::string asked = HeaderValue(exchange.m_headers, "poppyway-deadline-ms");
  if (!asked.empty()) {
    const Result<std::int64_t> read = ReadNumber(asked, "Poppyway-Deadline-Ms");
    if (!read) {
      Refuse(state, exchange, read.error().m_code, read.error().m_message);
      return Verdict::kSuspended;
    }
    deadline_ms = std::min(*read, kMaxDeadlineMs);
  }
  exchange.m_deadline = exchange.m_arrived + std::chrono::milliseconds(deadline_ms);
  const std::string sent_at = HeaderValue(exchange.m_headers, "poppyway-request-time");
  if (sent_at.empty() || exchange.m_key.empty())
    return Verdict::kContinue;
  const Result<std::int64_t> read = ReadNumber(sent_at, "Poppyway-Request-Time");
  if (!read) {
    Refuse(state, exchange, read.error().m_code, read.error().m_message);
    return Verdict::kSuspended;
  }
  const std::int64_t age_ms = ReadWallMillis() - *read;
  if (age_ms < exchange.m_event->m_retention_s * 1000)
    return Verdict::kContinue;
  Refuse(state, exchange, ResultCode::kKeyTooOld,
         "the request is older than keys are remembered; give it a new key if it should run");
  return Verdict::kSuspended;
}

}  // namespace poppyway::impl
