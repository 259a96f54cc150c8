// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <string>

namespace poppyway {

/// \brief Makes a name that is unique for each run of each instance: the instance's name and 48
/// random bits.
[[nodiscard]] std::string MakeIncarnation(const std::string& instance);

}  // namespace poppyway
