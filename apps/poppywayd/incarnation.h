// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <string>

namespace poppyway {

/// \brief A name that is unique for each run of each instance.
[[nodiscard]] std::string MakeIncarnation(const std::string& instance);

}  // namespace poppyway
