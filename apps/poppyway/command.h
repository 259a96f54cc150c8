// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
#pragma once

#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "poppyway/settings.h"
#include "poppyway/wire.h"

namespace poppyway::cli {

/// \brief Exit codes of `poppyway`; docs/OPERATIONS.md lists them.
enum ExitCode : int {
  kExitOk = 0,
  kExitFailed = 1,      ///< The request was refused or its outcome is unknown.
  kExitDiffers = 2,     ///< `diff` found differences.
  kExitNotInForce = 3,  ///< `apply --wait`: accepted, but not yet in force everywhere.
  kExitUsage = 64,
  kExitUnreachable = 69,
};

/// \brief What all commands share.
struct CommonOptions {
  std::vector<Endpoint> m_instances;  ///< Peer endpoints of any instances, tried in turn.
  bool m_json = false;
  Duration m_timeout{5'000'000};
};

using Arguments = std::vector<std::string>;

// Each command takes the words after its name.
int Apply(const CommonOptions& common, const Arguments& arguments);
int Diff(const CommonOptions& common, const Arguments& arguments);
int Get(const CommonOptions& common, const Arguments& arguments);
int History(const CommonOptions& common, const Arguments& arguments);
int Status(const CommonOptions& common, const Arguments& arguments);
int Drain(const CommonOptions& common, const Arguments& arguments);
int Rollout(const CommonOptions& common, const Arguments& arguments);
int Evacuate(const CommonOptions& common, const Arguments& arguments);
int Check(const CommonOptions& common, const Arguments& arguments);
int Load(const CommonOptions& common, const Arguments& arguments);

/// \brief Asks the instances in turn until one answers.
[[nodiscard]] Result<wire::Body> Ask(const CommonOptions& common, const wire::Body& body);
/// \brief Prints an error and what to do; returns the exit code for it.
int Report(const Error& error);
/// \brief All declarations in force at the leader.
[[nodiscard]] Result<wire::ObjectsReply> FetchObjects(const CommonOptions& common, bool history);
/// \brief The cluster's status.
[[nodiscard]] Result<wire::StatusReply> FetchStatus(const CommonOptions& common);
/// \brief Parses a command's options; prints help or a fault. \return nullopt if it should end,
/// with the exit code in `exit_code`.
[[nodiscard]] bool ParseArguments(const boost::program_options::options_description& options,
                                  const char* positional,
                                  const Arguments& arguments,
                                  boost::program_options::variables_map& given,
                                  int& exit_code);

/// \brief The change that turns `present` into `wanted`.
struct ChangeSet {
  std::vector<wire::ObjectText> m_added;
  std::vector<wire::ObjectText> m_changed;
  std::vector<wire::ObjectKey> m_removed;

  [[nodiscard]] bool empty() const {
    return m_added.empty() && m_changed.empty() && m_removed.empty();
  }
};
/// \param prune whether what is not in `wanted` is removed.
[[nodiscard]] ChangeSet Compare(const std::vector<wire::ObjectText>& present,
                                const std::vector<DeclarationText>& wanted,
                                bool prune);

}  // namespace poppyway::cli
