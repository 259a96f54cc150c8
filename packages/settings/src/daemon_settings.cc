// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#include "poppyway/settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

namespace poppyway {
namespace {

constexpr std::int64_t kMaxMembers = 9;  // The bounds of the key "members" name it too.

constexpr std::array kDaemonKeys = {
    KeyInfo{"cluster", "text", "-", "required", "-", "Name of the cluster; guards data folders."},
    KeyInfo{"instance", "text", "-", "required", "unique", "Name of this instance."},
    KeyInfo{"data_centre", "text", "-", "required", "-", "Where this instance runs."},
    KeyInfo{"region", "text", "-", "empty", "-", "Region of the data centre."},
    KeyInfo{"http", "endpoint", "-", "required", "address:port", "Where callers connect."},
    KeyInfo{"peer", "endpoint", "-", "required", "address:port",
            "Where other instances and operators connect."},
    KeyInfo{"members", "mapping", "-", "required", "1, 3, 5, 7 or 9",
            "Name to peer endpoint of each member of the replicated log."},
    KeyInfo{"data_folder", "text", "-", "empty", "required on a member",
            "The one folder for all files."},
    KeyInfo{"max_body_bytes", "number", "bytes", "4194304", "1024 to 268435456",
            "Largest accepted body."},
    KeyInfo{"max_queue", "number", "requests", "20000", "1 to 1000000",
            "Most requests waiting in this instance."},
    KeyInfo{"heartbeat_ms", "number", "ms", "500", "10 to 60000", "Interval of lease heartbeats."},
    KeyInfo{"lease_ms", "number", "ms", "3000", "50 to 600000",
            "Length of a lease; at least three heartbeats."},
    KeyInfo{"stale_after_ms", "number", "ms", "30000", "100 to 3600000",
            "Without contact for this long the instance turns not ready."},
    KeyInfo{"balancer_lag_ms", "number", "ms", "1000", "0 to 600000",
            "How long a planned stop waits for the balancer to notice."},
    KeyInfo{"snapshot_entries", "number", "entries", "10000", "10 to 10000000",
            "Log entries between snapshots."},
    KeyInfo{"platform_list", "text", "-", "empty", "address:port/path",
            "The platform's list of leaving backend servers."},
    KeyInfo{"log_file", "text", "-", "empty", "-", "Log file; empty: standard error."},
};

Endpoint ReadEndpoint(impl::YamlReader& reader, std::string_view key) {
  reader.Require(key);
  const std::string text = reader.Text(key);
  Result<Endpoint> endpoint = ParseEndpoint(text);
  if (endpoint)
    return *endpoint;
  reader.Reject(key, "'" + std::string(key) + "': " + endpoint.error().m_message);
  return {};
}

std::vector<MemberSettings> ReadMembers(impl::YamlReader& reader) {
  reader.Require("members");
  std::vector<MemberSettings> members;
  const YAML::Node node = reader.Child("members");
  if (!node.IsDefined() || !node.IsMap()) {
    reader.Reject("members", "'members' must be a mapping of name to address:port");
    return members;
  }
  for (const auto& entry : node) {
    Result<Endpoint> endpoint = ParseEndpoint(entry.second.as<std::string>(""));
    if (!endpoint) {
      reader.Reject("members", "'members': " + endpoint.error().m_message);
      continue;
    }
    members.push_back({entry.first.as<std::string>(""), *endpoint});
  }
  return members;
}

/// Records an error for an invalid set of members: an even or too large number, a name or endpoint
/// that is used twice, an entry of this instance that differs from `peer`, or a member without
/// a data folder.
void CheckMembers(impl::YamlReader& reader, const DaemonSettings& settings) {
  const std::size_t count = settings.m_members.size();
  if (count % 2 == 0 || count > kMaxMembers)
    reader.Reject("members",
                  "'members' must name 1, 3, 5, 7 or 9 instances, not " + std::to_string(count));
  std::set<std::string> names;
  std::set<Endpoint> endpoints;
  for (const MemberSettings& member : settings.m_members) {
    if (!names.insert(member.m_name).second)
      reader.Reject("members", "member '" + member.m_name + "' is named twice");
    if (!endpoints.insert(member.m_peer).second)
      reader.Reject("members", "endpoint " + ToText(member.m_peer) + " is used twice");
    if (member.m_name == settings.m_instance && member.m_peer != settings.m_peer)
      reader.Reject("peer", "'peer' differs from this instance's entry in 'members'");
  }
  if (IsMember(settings) && settings.m_data_folder.empty())
    reader.Reject("data_folder", "a member needs 'data_folder'");
}

}  // namespace

std::string ToText(const Endpoint& endpoint) {
  return endpoint.m_address + ":" + std::to_string(endpoint.m_port);
}

Result<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  in_addr parsed{};
  unsigned port = 0;
  const bool split = colon != std::string::npos;
  const std::string address = split ? text.substr(0, colon) : "";
  const char* first = split ? text.data() + colon + 1 : text.data();
  const char* last = text.data() + text.size();
  const auto [end, fault] = std::from_chars(first, last, port);
  const bool ok = split && fault == std::errc() && end == last && port >= 1 && port <= 65535 &&
                  inet_pton(AF_INET, address.c_str(), &parsed) == 1;
  if (!ok)
    return Fail(ResultCode::kBadSettings, "'" + text + "' is not an IPv4 number and a port");
  return Endpoint{address, static_cast<std::uint16_t>(port)};
}

std::span<const KeyInfo> DaemonKeys() {
  return kDaemonKeys;
}

bool IsMember(const DaemonSettings& settings) {
  if (settings.m_hosted)
    return settings.m_is_member;
  return std::any_of(
      settings.m_members.begin(), settings.m_members.end(),
      [&settings](const MemberSettings& m) { return m.m_name == settings.m_instance; });
}

Result<DaemonSettings> ParseDaemonSettings(const std::string& text, const std::string& source) {
  YAML::Node node;
  try {
    node = YAML::Load(text);
  } catch (const YAML::Exception& fault) {
    return Fail(ResultCode::kBadSettings, impl::Position(source, fault.mark) + fault.msg);
  }
  impl::YamlReader reader(node, source, kDaemonKeys);
  for (const char* key : {"cluster", "instance", "data_centre"})
    reader.Require(key);
  DaemonSettings s;
  s.m_cluster = reader.Text("cluster");
  if (s.m_cluster.find_first_of(" \t\n") != std::string::npos)
    reader.Reject("cluster", "'cluster' must not contain blanks");
  s.m_instance = reader.Text("instance");
  s.m_data_centre = reader.Text("data_centre");
  s.m_region = reader.Text("region");
  s.m_http = ReadEndpoint(reader, "http");
  s.m_peer = ReadEndpoint(reader, "peer");
  s.m_members = ReadMembers(reader);
  s.m_data_folder = reader.Text("data_folder");
  s.m_max_body_bytes = reader.Number("max_body_bytes", s.m_max_body_bytes, 1024, 268435456);
  s.m_max_queue = reader.Number("max_queue", s.m_max_queue, 1, 1000000);
  s.m_heartbeat_ms = reader.Number("heartbeat_ms", s.m_heartbeat_ms, 10, 60000);
  s.m_lease_ms = reader.Number("lease_ms", s.m_lease_ms, 50, 600000);
  s.m_stale_after_ms = reader.Number("stale_after_ms", s.m_stale_after_ms, 100, 3600000);
  s.m_balancer_lag_ms = reader.Number("balancer_lag_ms", s.m_balancer_lag_ms, 0, 600000);
  s.m_snapshot_entries = reader.Number("snapshot_entries", s.m_snapshot_entries, 10, 10000000);
  s.m_platform_list = reader.Text("platform_list");
  const std::string list = s.m_platform_list.substr(0, s.m_platform_list.find('/'));
  if (!list.empty() && !ParseEndpoint(list))
    reader.Reject("platform_list", "'platform_list' must be address:port/path");
  s.m_log_file = reader.Text("log_file");
  CheckMembers(reader, s);
  if (s.m_lease_ms < 3 * s.m_heartbeat_ms)
    reader.Reject("lease_ms", "'lease_ms' must be at least three times 'heartbeat_ms'");
  if (!reader.ok())
    return Fail(ResultCode::kBadSettings, reader.fault());
  return s;
}

Result<DaemonSettings> LoadDaemonSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    return Fail(ResultCode::kBadSettings, path + ": can't be read");
  std::ostringstream text;
  text << file.rdbuf();
  return ParseDaemonSettings(text.str(), path);
}

}  // namespace poppyway
