// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <span>
#include <string>
#include <tuple>
#include <vector>

#include "poppyway/settings/impl/yaml_reader.h"

namespace poppyway {

/// \brief An IPv4 address and a port.
struct Endpoint {
  std::string m_address;
  std::uint16_t m_port = 0;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
  friend bool operator<(const Endpoint& a, const Endpoint& b) {
    return std::tie(a.m_address, a.m_port) < std::tie(b.m_address, b.m_port);
  }
};

/// \brief Returns "address:port".
[[nodiscard]] std::string ToText(const Endpoint& endpoint);

/// \brief Parses "a.b.c.d:port". \return the endpoint, or `kBadSettings`.
[[nodiscard]] Result<Endpoint> ParseEndpoint(const std::string& text);

/// \brief A member of the replicated log as declared in the settings.
struct MemberSettings {
  std::string m_name;
  Endpoint m_peer;

  friend bool operator==(const MemberSettings&, const MemberSettings&) = default;
};

/// \brief The settings of one daemon, read once at start.
struct DaemonSettings {
  std::string m_cluster;
  std::string m_instance;
  std::string m_data_centre;
  std::string m_region;
  Endpoint m_http;
  Endpoint m_peer;
  Endpoint m_relay;  ///< Passes on calls of other instances; port 0: it doesn't. Hosted only.
  std::vector<MemberSettings> m_members;
  std::string m_data_folder;  ///< Empty on an instance without a disk.
  std::int64_t m_max_body_bytes = 4 << 20;
  std::int64_t m_max_queue = 20000;
  std::int64_t m_heartbeat_ms = 500;
  std::int64_t m_lease_ms = 3000;
  std::int64_t m_stale_after_ms = 30000;
  std::int64_t m_balancer_lag_ms = 1000;
  std::int64_t m_snapshot_entries = 10000;
  std::string m_platform_list;  ///< `address:port/path` of the list of leaving servers, or empty.
  std::string m_log_file;       ///< Path of the log file; empty: standard error.

  // These are set by code for hosted deployments, which discover members at run time.
  bool m_hosted = false;             ///< `m_members` lists only the seeds to contact first.
  double m_exposure_share = 0.1;     ///< Share of a pool's requests for a version under trial.
  double m_exposure_slack = 50;      ///< Requests allowed beyond that share.
  double m_retry_ratio = 0.1;        ///< Retries at servers for each new request, all instances.
  double m_retry_burst = 50;         ///< Retries beyond that ratio.
  RegionMap m_regions;               ///< Regions of all data centres.
  bool m_is_member = false;          ///< Whether this hosted instance is a member of the log.
  bool m_may_bootstrap = true;       ///< Whether a member without data may form a cluster.
  int m_tolerated_members = 0;       ///< Members that may be lost at once; 0: not stated.
  int m_tolerated_data_centres = 0;  ///< Data centres that may be lost at once.
  std::int64_t m_member_removal_ms =
      0;  ///< A member silent for longer may be replaced; 0: as in `LogTiming`.
  bool m_log_to_stdout = false;
  /// How long the configuration document may be used after a leader confirmed it; 0: without limit.
  std::int64_t m_confirmation_ttl_ms = 0;

  friend bool operator==(const DaemonSettings&, const DaemonSettings&) = default;
};

/// \brief Parses and checks the text of a settings file.
/// \param source the file's name, for errors.
/// \return the settings, or `kBadSettings` with the position of the first error.
[[nodiscard]] Result<DaemonSettings> ParseDaemonSettings(const std::string& text,
                                                         const std::string& source);

/// \brief Reads, parses and checks a settings file. \return the settings, or `kBadSettings`.
[[nodiscard]] Result<DaemonSettings> LoadDaemonSettings(const std::string& path);

/// \brief Returns true if this instance is a member of the replicated log.
[[nodiscard]] bool IsMember(const DaemonSettings& settings);

/// \brief Returns the keys of the settings file; docs/CONFIGURATION.md lists them.
[[nodiscard]] std::span<const KeyInfo> DaemonKeys();

}  // namespace poppyway
