// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

/// \file
/// \brief Set-based label selectors: `tier in (a, b), region notin (x), canary, !old, model = m`.
///
/// \detail A selector is a comma-separated list of requirements that must all hold. The empty
/// selector matches everything. All functions are pure and may be called from any thread.

#include "poppyway/selectors/impl/selector.h"
