// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "poppyway/core.h"

namespace poppyway {

/// \brief What an instance knows of its own network paths to backend servers.
///
/// A connection that doesn't come up says as much of the instance as of the server. Another
/// instance tells them apart: if it reaches the server, the path of this one is broken. Two servers
/// with broken paths show that the instance is cut off, and no longer only a link to one machine.
struct ServerPaths {
  std::map<std::string, Instant> m_broken;  ///< By server: when its path was last found broken.
  bool m_cut_off = false;                   ///< All paths are presumed broken.
  Instant m_since{};                        ///< When the instance was found to be cut off.
  Instant m_next_probe{};                   ///< Earliest next probe of a path while cut off.
  std::string m_last_broken_call;           ///< Server of the call that broke last; empty: none.
  Instant m_last_broken_at{};

  friend bool operator==(const ServerPaths&, const ServerPaths&) = default;
};

/// \brief What a path's finding changed.
enum class PathTransition : std::uint8_t {
  kNone,
  kCutOff,    ///< The instance is cut off from now on.
  kRestored,  ///< The instance reaches servers again.
};

/// \brief Records that another instance reached a server that this one couldn't.
/// \param servers number of servers that the instance knows. Not thread-safe.
[[nodiscard]] PathTransition RecordBrokenPath(ServerPaths& paths,
                                              const std::string& server,
                                              std::size_t servers,
                                              Instant now);

/// \brief Records that this instance has opened a connection to a server itself. Not thread-safe.
[[nodiscard]] PathTransition RecordOpenPath(ServerPaths& paths, const std::string& server);

/// \brief Returns true if a new connection to the server isn't worth an attempt: it is made through
/// another instance. Pure and thread-safe.
[[nodiscard]] bool IsPathBroken(const ServerPaths& paths, const std::string& server, Instant now);

/// \brief Records that a call broke off without a response. Returns true if that likely says
/// nothing of the server: the instance is cut off, or a call to another server broke off right
/// before and none has sent a byte since.
/// \param last_byte when any server last sent a byte to this instance. Not thread-safe.
[[nodiscard]] bool RecordBrokenCall(ServerPaths& paths,
                                    const std::string& server,
                                    Instant last_byte,
                                    Instant now);

/// \brief Returns true if an instance that is cut off should try a connection now, and sets when it
/// should try the next one. Not thread-safe.
[[nodiscard]] bool TakePathProbe(ServerPaths& paths, Instant now) noexcept;

}  // namespace poppyway
