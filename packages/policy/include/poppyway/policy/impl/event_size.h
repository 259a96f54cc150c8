// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>

namespace poppyway {

/// \brief Learns how many tokens one event of a stream carries from one that ran to its end.
/// Callers' estimates of an answer's tokens are right in the median but off by factors, so
/// logarithms are averaged. Pure; any thread. \param known tokens an event, as learned before;
/// zero: nothing was. \param expected_tokens of the whole answer; zero or less says nothing. \param
/// events of the whole answer; zero or less says nothing. \param gain share of the new sample, 0
/// to 1.
[[nodiscard]] double UpdateTokensPerEvent(double known,
                                          std::int64_t expected_tokens,
                                          std::int64_t events,
                                          double gain) noexcept;

}  // namespace poppyway
