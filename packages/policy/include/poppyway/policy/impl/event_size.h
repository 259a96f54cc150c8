// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstdint>

namespace poppyway {

/// \brief Updates the estimate of tokens per event of a stream from one completed stream.
///
/// Callers' estimates of a response's tokens are right in the median but off by factors, so the
/// average is taken over logarithms. The function is pure and may be called from any thread.
/// \param known the estimate so far, in tokens per event; zero if there is none.
/// \param expected_tokens the caller's estimate of tokens in the whole response; a value of zero or
/// less leaves `known` as it is.
/// \param events the number of events in the whole response; a value of zero or less leaves `known`
/// as it is.
/// \param gain the weight of the new sample, 0 to 1.
/// \return the updated estimate, in tokens per event.
[[nodiscard]] double UpdateTokensPerEvent(double known,
                                          std::int64_t expected_tokens,
                                          std::int64_t events,
                                          double gain) noexcept;

}  // namespace poppyway
