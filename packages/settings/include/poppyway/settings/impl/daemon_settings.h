// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <span>
#include <string>
#include <tuple>
#include <vector>

#include "poppyway/settings/impl/yaml_reader.h"

namespace poppyway {

/// \brief An IPv4 number and a port.
struct Endpoint {
  std::string m_address;
  std::uint16_t m_port = 0;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
  friend bool operator<(const Endpoint& a, const Endpoint& b) {
    return std::tie(a.m_address, a.m_port) < std::tie(b.m_address, b.m_port);
  }
};

/// \brief "address:port".
[[nodiscard]] std::string ToText(const Endpoint& endpoint);

/// \brief Parses "a.b.c.d:port".
[[nodiscard]] Result<Endpoint> ParseEndpoint(const std::string& text);

/// \brief A member of the replicated log as the settings name it.
struct MemberSettings {
  std::string m_name;
  Endpoint m_peer;

  friend bool operator==(const MemberSettings&, const MemberSettings&) = default;
};

/// \brief The settings of one daemon; read once at start.
struct DaemonSettings {
  std::string m_cluster;
  std::string m_instance;
  std::string m_data_centre;
  std::string m_region;
  Endpoint m_http;
  Endpoint m_peer;
  std::vector<MemberSettings> m_members;
  std::string m_data_folder;  ///< Empty on an instance without a disk.
  std::int64_t m_max_body_bytes = 4 << 20;
  std::int64_t m_max_queue = 20000;
  std::int64_t m_heartbeat_ms = 500;
  std::int64_t m_lease_ms = 3000;
  std::int64_t m_stale_after_ms = 30000;
  std::int64_t m_balancer_lag_ms = 1000;
  std::int64_t m_snapshot_entries = 10000;
  std::string m_platform_list;  ///< `address:port/path` of the platform's list; may be empty.
  std::string m_log_file;       ///< Empty: standard error.

  // Set by code for hosted deployments, where members are found rather than listed.
  bool m_hosted = false;          ///< The members named above are only a way in.
  double m_exposure_share = 0.1;  ///< Of a pool's requests, for a version under trial.
  double m_exposure_slack = 50;   ///< Requests beyond that share.
  RegionMap m_regions;            ///< Of all data centres.
  bool m_is_member = false;       ///< Hosted: this instance keeps the log.
  bool m_may_bootstrap = true;    ///< A blank member may form the first cluster.
  bool m_log_to_stdout = false;
  std::int64_t m_confirmation_ttl_ms =
      0;  ///< How long a confirmed document may be acted on; 0: for ever.

  friend bool operator==(const DaemonSettings&, const DaemonSettings&) = default;
};

/// \brief Parses and checks a settings file's text.
[[nodiscard]] Result<DaemonSettings> ParseDaemonSettings(const std::string& text,
                                                         const std::string& source);

/// \brief Reads a settings file.
[[nodiscard]] Result<DaemonSettings> LoadDaemonSettings(const std::string& path);

/// \brief True if this instance is one of the log's members.
[[nodiscard]] bool IsMember(const DaemonSettings& settings);

/// \brief The keys of the settings file, for docs/CONFIGURATION.md.
[[nodiscard]] std::span<const KeyInfo> DaemonKeys();

}  // namespace poppyway
