// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

namespace poppyway {

/// \brief Runs the daemon on a hosting platform, which starts it with a settings file of its own
/// and without arguments of ours. One thread carries all tasks, since such machines have a part of
/// one core. \return the process's exit code.
[[nodiscard]] int RunHosted();

}  // namespace poppyway
