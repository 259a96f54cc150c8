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
  kExitFailed = 1,      ///< The command failed, or the outcome of its request is unknown.
  kExitDiffers = 2,     ///< `diff` found differences.
  kExitNotInForce = 3,  ///< `apply --wait`: the change is accepted but not yet in force everywhere.
  kExitUsage = 64,      ///< The command line is invalid.
  kExitUnreachable = 69,  ///< The last instance that was tried didn't reply.
};

/// \brief Options that apply to every command.
struct CommonOptions {
  std::vector<Endpoint> m_instances;  ///< Peer endpoints, tried in this order.
  bool m_json = false;                ///< Print JSON instead of a table.
  Duration m_timeout{5'000'000};      ///< Timeout of one request.
};

using Arguments = std::vector<std::string>;

// Each command parses the arguments that follow its name, runs and returns an ExitCode.
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

/// \brief Sends a request to the instances in turn until one returns a reply. Retries for up to 5 s
/// while the instances have no leader. Blocks.
/// \return the reply, or the error of the last instance that was tried.
[[nodiscard]] Result<wire::Body> SendRequest(const CommonOptions& common, const wire::Body& body);
/// \brief Prints an error and a hint to standard error.
/// \return the exit code for the error.
int PrintError(const Error& error);
/// \brief Fetches all declarations in force from the leader.
/// \param history whether the reply includes the accepted changes.
[[nodiscard]] Result<wire::ObjectsReply> FetchDeclarations(const CommonOptions& common,
                                                           bool history);
/// \brief Fetches the cluster's status from the leader.
[[nodiscard]] Result<wire::StatusReply> FetchStatus(const CommonOptions& common);
/// \brief Parses a command's options into `given`. Prints the help text if it is requested, or an
/// error.
/// \param positional option that takes the positional arguments; null for none.
/// \return false if the command must return `exit_code` at once.
[[nodiscard]] bool ParseArguments(const boost::program_options::options_description& options,
                                  const char* positional,
                                  const Arguments& arguments,
                                  boost::program_options::variables_map& given,
                                  int& exit_code);

/// \brief Difference between two sets of declarations.
struct ChangeSet {
  std::vector<wire::ObjectText> m_added;
  std::vector<wire::ObjectText> m_changed;
  std::vector<wire::ObjectKey> m_removed;

  [[nodiscard]] bool empty() const {
    return m_added.empty() && m_changed.empty() && m_removed.empty();
  }
};
/// \brief Computes the changes that turn `present` into `wanted`.
/// \param prune whether declarations that are missing from `wanted` are removed.
[[nodiscard]] ChangeSet Compare(const std::vector<wire::ObjectText>& present,
                                const std::vector<DeclarationText>& wanted,
                                bool prune);

}  // namespace poppyway::cli
