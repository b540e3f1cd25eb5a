#include "core/log_writer.h"
#include "core/termination.h"
#include "main/exit_code.h"
#include "main/serve.h"
#include "settings/settings.h"
#include "tools/admin.h"
#include "tools/load.h"
#include "tools/recover.h"
#include "tools/report.h"

#include <boost/program_options.hpp>

#include <glog/logging.h>

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

namespace {

namespace options = boost::program_options;
using namespace hibiscusspool;

constexpr int kSuccess = static_cast<int>(exit_code::Success);
constexpr int kFailure = static_cast<int>(exit_code::Failure);
constexpr int kUsageError = static_cast<int>(exit_code::UsageError);

constexpr const char* kUsageText =
  "hibiscusspool: a query tier over many shards\n"
  "\n"
  "  serve --settings FILE   run the roles configured in the file\n"
  "  check --settings FILE   check a settings file and exit\n"
  "  check --page            print all settings as Markdown\n"
  "  admin …                 show and change the system state\n"
  "  report KIND             print a burn, tail, coverage or refusals report\n"
  "  load …                  run an open-loop load test, or compare two runs\n"
  "  recover …               let a control host go on without its lost group\n"
  "  --help                  show this help\n"
  "  --version               show the version\n"
  "\n"
  "Each command takes --help. Exit codes: 0 success, 1 failure, 2 usage or\n"
  "settings error; of a server also 3 bad_settings, 4 disk_failed,\n"
  "5 cannot_listen, 6 cannot_start.\n";

int
FailUsage(const std::string& aDetail)
{
  std::cerr << "hibiscusspool: " << aDetail << "\n";
  return kUsageError;
}

options::options_description
SettingsOptions()
{
  options::options_description description("Options");
  description.add_options()("help", "show this help")(
    "settings", options::value<std::string>(), "path of the settings file")(
    "page", "print all settings as Markdown");
  return description;
}

/** Runs `serve` or `check`. */
int
RunWithSettings(const std::string& aCommand,
                const std::vector<std::string>& aArguments)
{
  options::options_description description = SettingsOptions();
  options::variables_map variables;
  options::store(
    options::command_line_parser(aArguments).options(description).run(),
    variables);
  if (variables.contains("help")) {
    std::cout << description << "\nSettings (INI):\n" << SettingsHelp();
    return kSuccess;
  }
  if (aCommand == "check" && variables.contains("page")) {
    std::cout << SettingsMarkdown();
    return kSuccess;
  }
  if (!variables.contains("settings")) {
    return FailUsage(aCommand + " requires --settings FILE.");
  }
  auto path = variables["settings"].as<std::string>();
  if (aCommand == "check") {
    auto checked = LoadSettings(path);
    if (!checked) {
      return FailUsage(checked.error().mDetail);
    }
    std::cout << "The settings are valid.\n";
    return kSuccess;
  }
  auto loaded = LoadRepairedSettings(path);
  return loaded ? Serve(path, loaded.value())
                : FailUsage(loaded.error().mDetail);
}

int
Run(const std::vector<std::string>& aArguments)
{
  if (aArguments.empty()) {
    std::cerr << kUsageText;
    return kUsageError;
  }
  const std::string& command = aArguments.front();
  std::vector<std::string> rest(aArguments.begin() + 1, aArguments.end());
  if (command == "--help") {
    std::cout << kUsageText;
    return kSuccess;
  }
  if (command == "--version") {
    std::cout << "hibiscusspool 0.1.0\n";
    return kSuccess;
  }
  if (command == "serve") {
    return RunWithSettings(command, rest);
  }
  // Only a server follows changes of its settings.
  std::signal(SIGHUP, SIG_DFL);
  if (command == "check") {
    return RunWithSettings(command, rest);
  }
  if (command == "admin") {
    return RunAdmin(rest);
  }
  if (command == "report") {
    return RunReport(rest);
  }
  if (command == "load") {
    return RunLoad(rest);
  }
  if (command == "recover") {
    return RunRecover(rest);
  }
  return FailUsage("unknown command \"" + command +
                   "\"; see --help for the commands.");
}

}

int
main(int aCount, char** aArguments)
{
  FLAGS_logtostderr = true;
  // Each line carries its own time and level as key=value pairs.
  FLAGS_log_prefix = false;
  google::InitGoogleLogging(aArguments[0]);
  ReportTerminations();
  try {
    return Run({ aArguments + 1, aArguments + aCount });
  } catch (const options::error& problem) {
    return FailUsage(problem.what());
  } catch (const std::exception& problem) {
    std::cerr << "hibiscusspool: " << problem.what() << "\n";
    StopLogWriter();
    return kFailure;
  }
}
