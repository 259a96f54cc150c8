// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include "poppyway/policy.h"

namespace poppyway {

/// \brief Sets `m_kept_tokens` of all views: prompt tokens that each server likely still keeps.
void SetKeptTokens(PlacePool& pool, const PlaceAsk& ask);

/// \brief The request went to server `i` of its pool, which keeps its prompt from now on.
void RememberParts(PlacePool& pool, std::size_t i, const PlaceAsk& ask, Instant now);

}  // namespace poppyway
