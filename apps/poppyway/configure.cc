// SPDX-License-Identifier: MIT
// Part of poppyway, a request scheduler for unlike engines.
// The commands `apply`, `diff`, `get`, `history` and `check`, which work on declarations.

#include <iostream>
#include <random>
#include <thread>

#include <nlohmann/json.hpp>

#include "command.h"

namespace poppyway::cli {
namespace {

namespace po = boost::program_options;
using nlohmann::json;

constexpr auto kWaitPoll = std::chrono::milliseconds(5);

std::string RandomChangeId() {
  std::random_device device;
  char text[24];
  std::snprintf(text, sizeof(text), "change-%08x%08x", device(), device());
  return text;
}

void PrintChanges(const ChangeSet& changes) {
  for (const wire::ObjectText& object : changes.m_added)
    std::cout << "+ " << object.kind << "/" << object.name << "\n";
  for (const wire::ObjectText& object : changes.m_changed)
    std::cout << "~ " << object.kind << "/" << object.name << "\n";
  for (const wire::ObjectKey& key : changes.m_removed)
    std::cout << "- " << key.kind << "/" << key.name << "\n";
}

Result<std::vector<DeclarationText>> LoadAll(const std::vector<std::string>& paths) {
  std::vector<DeclarationText> all;
  for (const std::string& path : paths) {
    Result<std::vector<DeclarationText>> loaded = LoadDeclarations(path);
    if (!loaded)
      return loaded;
    all.insert(all.end(), loaded->begin(), loaded->end());
  }
  return all;
}

/// Describes the instances whose version in force is below `version`.
std::vector<std::string> Lagging(const wire::StatusReply& status, std::int64_t version) {
  std::vector<std::string> lagging;
  for (const wire::InstanceStatus& instance : status.instances) {
    if (instance.version_in_force < version)
      lagging.push_back(instance.instance + " (version " +
                        std::to_string(instance.version_in_force) + ")");
  }
  return lagging;
}

int WaitInForce(const CommonOptions& common, std::int64_t version, Duration limit) {
  const Instant begun = ReadClock();
  std::vector<std::string> lagging;
  while (ReadClock() - begun < limit) {
    const Result<wire::StatusReply> status = FetchStatus(common);
    if (status) {
      lagging = Lagging(*status, version);
      if (lagging.empty()) {
        std::cout << "version " << version << " is in force on " << status->instances.size()
                  << " instances after " << (ReadClock() - begun).count() / 1000 << " ms\n";
        return kExitOk;
      }
    }
    std::this_thread::sleep_for(kWaitPoll);
  }
  std::cerr << "poppyway: version " << version << " is accepted but not yet in force on:\n";
  for (const std::string& name : lagging)
    std::cerr << "  " << name << "\n";
  return kExitNotInForce;
}

}  // namespace

int Check(const CommonOptions& common, const Arguments& arguments) {
  std::vector<std::string> paths;
  std::vector<std::string> settings;
  po::options_description options("poppyway check PATH...: validates declarations offline");
  options.add_options()("path", po::value(&paths)->composing(), "file or folder")(
      "settings", po::value(&settings)->composing(), "a daemon's settings file");
  po::variables_map given;
  int exit_code = kExitOk;
  if (!ParseArguments(options, "path", arguments, given, exit_code))
    return exit_code;
  if (paths.empty() && settings.empty()) {
    std::cerr << "poppyway check: name a file or folder, or --settings\n";
    return kExitUsage;
  }
  for (const std::string& file : settings) {
    if (const Result<DaemonSettings> read = LoadDaemonSettings(file); !read)
      return PrintError(read.error());
  }
  std::size_t count = 0;
  if (!paths.empty()) {
    const Result<std::vector<DeclarationText>> all = LoadAll(paths);
    if (!all)
      return PrintError(all.error());
    if (const Result<Catalogue> compiled = Compile(*all, 1); !compiled)
      return PrintError(compiled.error());
    count = all->size();
  }
  if (common.m_json)
    std::cout << json{{"declarations", count}, {"settings", settings.size()}} << "\n";
  else
    std::cout << count << " declarations and " << settings.size() << " settings are valid\n";
  return kExitOk;
}

int Apply(const CommonOptions& common, const Arguments& arguments) {
  std::vector<std::string> paths;
  std::string change_id = RandomChangeId();
  std::string author = "operator";
  std::int64_t base = -1;
  int wait_s = 0;
  po::options_description options("poppyway apply PATH...: makes declarations the configuration");
  options.add_options()("path", po::value(&paths)->composing(), "file or folder")(
      "prune", "remove what is not declared")("change-id", po::value(&change_id),
                                              "names the change, so that it can be resent safely")(
      "base", po::value(&base), "version the change was made on (default: the present one)")(
      "author", po::value(&author), "shown in the history")(
      "wait", po::value(&wait_s)->implicit_value(30),
      "seconds to wait until it is in force on all live instances");
  po::variables_map given;
  int exit_code = kExitOk;
  if (!ParseArguments(options, "path", arguments, given, exit_code))
    return exit_code;
  const bool named = given.contains("change-id");
  if (named && given.contains("prune")) {
    std::cerr << "poppyway apply: --prune depends on what stands, so it can't be resent under "
                 "--change-id\n";
    return kExitUsage;
  }
  const Result<std::vector<DeclarationText>> wanted = LoadAll(paths);
  if (!wanted)
    return PrintError(wanted.error());
  const Result<wire::ObjectsReply> present = FetchDeclarations(common, false);
  if (!present)
    return PrintError(present.error());
  const ChangeSet changes = Compare(present->objects, *wanted, given.contains("prune"));
  if (changes.empty() && !named) {
    std::cout << "nothing to change at version " << present->version << "\n";
    return wait_s > 0 ? WaitInForce(common, present->version, std::chrono::seconds(wait_s))
                      : kExitOk;
  }
  wire::ConfigChange change;
  change.change_id = change_id;
  change.base_version = base >= 0 ? base : present->version;
  change.author = author;
  // A change with an explicit id contains all declarations, so that a retry sends the same change
  // even if the configuration has changed since.
  const ChangeSet sent = named ? Compare({}, *wanted, false) : changes;
  change.upserts = sent.m_added;
  change.upserts.insert(change.upserts.end(), sent.m_changed.begin(), sent.m_changed.end());
  change.removals = changes.m_removed;
  wire::Propose propose;
  propose.commands.emplace_back().__set_config(change);
  wire::Body body;
  body.__set_propose(propose);
  const Result<wire::Body> reply = SendRequest(common, body);
  if (!reply) {
    std::cerr << "poppyway: to resend safely: --change-id " << change_id << " --base "
              << change.base_version << "\n";
    return PrintError(reply.error());
  }
  const wire::ConfigOutcome& outcome = reply->propose_reply.results.at(0).config;
  if (outcome.code != 0)
    return PrintError({static_cast<ResultCode>(outcome.code), outcome.message});
  if (common.m_json)
    std::cout << json{{"version", outcome.version}, {"change_id", change_id}} << "\n";
  else
    PrintChanges(changes);
  std::cout << "version " << outcome.version << " " << outcome.message << "\n";
  return wait_s > 0 ? WaitInForce(common, outcome.version, std::chrono::seconds(wait_s)) : kExitOk;
}

int Diff(const CommonOptions& common, const Arguments& arguments) {
  std::vector<std::string> paths;
  po::options_description options("poppyway diff PATH...: what apply would change");
  options.add_options()("path", po::value(&paths)->composing(), "file or folder")("prune",
                                                                                  "as in apply");
  po::variables_map given;
  int exit_code = kExitOk;
  if (!ParseArguments(options, "path", arguments, given, exit_code))
    return exit_code;
  const Result<std::vector<DeclarationText>> wanted = LoadAll(paths);
  if (!wanted)
    return PrintError(wanted.error());
  const Result<wire::ObjectsReply> present = FetchDeclarations(common, false);
  if (!present)
    return PrintError(present.error());
  const ChangeSet changes = Compare(present->objects, *wanted, given.contains("prune"));
  PrintChanges(changes);
  return changes.empty() ? kExitOk : kExitDiffers;
}

int Get(const CommonOptions& common, const Arguments& arguments) {
  std::string name;
  po::options_description options("poppyway get [KIND[/NAME]]: prints declarations in force");
  options.add_options()("what", po::value(&name), "kind or kind/name");
  po::variables_map given;
  int exit_code = kExitOk;
  if (!ParseArguments(options, "what", arguments, given, exit_code))
    return exit_code;
  const Result<wire::ObjectsReply> present = FetchDeclarations(common, false);
  if (!present)
    return PrintError(present.error());
  bool found = false;
  for (const wire::ObjectText& object : present->objects) {
    const bool wanted =
        name.empty() || name == object.kind || name == object.kind + "/" + object.name;
    if (!wanted)
      continue;
    found = true;
    std::cout << "---\n" << object.body << "\n";
  }
  if (found || name.empty())
    return kExitOk;
  return PrintError({ResultCode::kNotFound, "no declaration '" + name + "' at version " +
                                                std::to_string(present->version)});
}

int History(const CommonOptions& common, const Arguments& arguments) {
  po::options_description options("poppyway history: accepted changes, newest first");
  std::size_t count = 20;
  options.add_options()("count", po::value(&count), "rows to print");
  po::variables_map given;
  int exit_code = kExitOk;
  if (!ParseArguments(options, nullptr, arguments, given, exit_code))
    return exit_code;
  const Result<wire::ObjectsReply> present = FetchDeclarations(common, true);
  if (!present)
    return PrintError(present.error());
  json rows = json::array();
  for (auto row = present->history.rbegin(); row != present->history.rend() && rows.size() < count;
       ++row) {
    rows.push_back({{"version", row->version},
                    {"change_id", row->change_id},
                    {"author", row->author},
                    {"upserts", row->upserts},
                    {"removals", row->removals}});
  }
  if (common.m_json) {
    std::cout << rows.dump(2) << "\n";
    return kExitOk;
  }
  for (const json& row : rows)
    std::cout << row["version"] << "\t" << row["change_id"].get<std::string>() << "\t"
              << row["author"].get<std::string>() << "\t+" << row["upserts"] << " -"
              << row["removals"] << "\n";
  return kExitOk;
}

}  // namespace poppyway::cli
