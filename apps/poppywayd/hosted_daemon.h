// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

namespace poppyway {

/// \brief Runs the daemon on a hosting platform, which passes no arguments; an environment variable
/// names the platform's settings file. All tasks run on one thread, since such machines have only a
/// part of one core.
/// \return the process's exit code.
[[nodiscard]] int RunHosted();

}  // namespace poppyway
