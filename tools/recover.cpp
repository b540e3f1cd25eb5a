#include "tools/recover.h"

#include "core/random_id.h"
#include "decisions/group/raft_recovery.h"
#include "drivers/raft_storage.h"
#include "settings/settings.h"

#include <boost/program_options.hpp>

#include <filesystem>
#include <iostream>

namespace hibiscusspool {

namespace options = boost::program_options;

namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

constexpr const char* kUsageText =
  "hibiscusspool recover --settings FILE [--confirm]\n"
  "\n"
  "For a control group that has lost its majority for good. Shows the log of "
  "a\n"
  "stopped control host; with --confirm, the host becomes the only member of\n"
  "the group. Stop all control hosts first, and confirm on one only: the one\n"
  "with the highest last term and, among those, the highest last index. Start\n"
  "it, then start all others with empty data folders: they join. Changes that\n"
  "were acknowledged by lost hosts only are lost.\n";

int
PrintFailure(const std::string& aDetail)
{
  std::cerr << "hibiscusspool recover: " << aDetail << "\n";
  return kExitFailure;
}

void
PrintSummary(const raft_storage& aStorage, const raft_log_summary& aSummary)
{
  std::cout << "disk " << aStorage.DiskId().mValue << "\nterm "
            << aSummary.mTerm << "\nlast term " << aSummary.mLastTerm
            << "\nlast index " << aSummary.mLastIndex << "\n";
  for (const raft_peer& member : aSummary.mMembers) {
    std::cout << (member.mIsVoter ? "voter " : "learner ")
              << member.mId.mHost.mValue << " disk " << member.mId.mDisk.mValue
              << "\n";
  }
}

/** Shows the log in a folder, and lets it go on alone if that is confirmed. */
int
Recover(const settings& aSettings, bool aIsConfirmed)
{
  auto folder = std::filesystem::path(aSettings.mControlDataFolder) / "log";
  if (!std::filesystem::exists(folder)) {
    return PrintFailure(folder.string() + " does not exist.");
  }
  disk_id disk{ RandomHex(4) };
  auto storage = raft_storage::Create(folder, disk.mValue);
  if (!storage) {
    return PrintFailure(storage.error().mDetail);
  }
  raft_persistent_state stored = storage.value().TakePersisted();
  raft_log_summary summary = SummarizeLog(stored);
  PrintSummary(storage.value(), summary);
  if (summary.mMembers.empty()) {
    return PrintFailure("the log names no members; nothing can be recovered.");
  }
  if (!aIsConfirmed) {
    std::cout << "Nothing was changed; see --help.\n";
    return kExitSuccess;
  }
  raft_actions actions =
    GoOnAlone(stored, { host_id{ aSettings.mHostId }, disk });
  auto written = storage.value().Persist(actions);
  if (written) {
    written = storage.value().ReplaceDiskId(disk);
  }
  if (!written) {
    return PrintFailure(written.error().mDetail);
  }
  std::cout << "This host is the only member now, with disk " << disk.mValue
            << ".\n";
  return kExitSuccess;
}

}

int
RunRecover(const std::vector<std::string>& aArguments)
{
  options::options_description description("Options");
  description.add_options()("help", "show this help")(
    "settings", options::value<std::string>(), "path of the settings file")(
    "confirm", "make this host the only member of its group");
  options::variables_map variables;
  options::store(
    options::command_line_parser(aArguments).options(description).run(),
    variables);
  if (variables.contains("help")) {
    std::cout << kUsageText << "\n" << description;
    return kExitSuccess;
  }
  if (!variables.contains("settings")) {
    std::cerr << "hibiscusspool recover: --settings FILE is required.\n";
    return kExitUsage;
  }
  auto loaded = LoadSettings(variables["settings"].as<std::string>());
  if (!loaded) {
    std::cerr << "hibiscusspool recover: " << loaded.error().mDetail << "\n";
    return kExitUsage;
  }
  if (loaded.value().mControlDataFolder.empty()) {
    std::cerr << "hibiscusspool recover: the settings have no [control].\n";
    return kExitUsage;
  }
  return Recover(loaded.value(), variables.contains("confirm"));
}

}
