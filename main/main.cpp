#include "main/serve.h"

#include "settings/settings.h"
#include "tools/admin.h"
#include "tools/load.h"
#include "tools/report.h"

#include <boost/program_options.hpp>

#include <glog/logging.h>

#include <iostream>
#include <string>
#include <vector>

namespace {

namespace options = boost::program_options;
using namespace hibiscusspool;

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kUsage = 2;

constexpr const char* kUsageText =
  "hibiscusspool: a query tier over many shards\n"
  "\n"
  "  serve --settings FILE   run the roles that the file names\n"
  "  check --settings FILE   check a settings file and exit\n"
  "  check --page            print the settings as a page\n"
  "  admin …                 show and change what is in force\n"
  "  report KIND             burn, tail, coverage or refusals\n"
  "  load …                  send an open load, or compare two\n"
  "  --help                  this text\n"
  "  --version               the version\n"
  "\n"
  "Each command takes --help. Exit codes: 0 done, 1 failed, 2 usage or\n"
  "settings.\n";

int
FailUsage(const std::string& aDetail)
{
  std::cerr << "hibiscusspool: " << aDetail << "\n";
  return kUsage;
}

options::options_description
SettingsOptions()
{
  options::options_description known("Options");
  known.add_options()("help", "this text")(
    "settings", options::value<std::string>(), "the settings file")(
    "page", "print the settings as a page");
  return known;
}

/** Runs `serve` or `check`. */
int
RunWithSettings(const std::string& aCommand,
                const std::vector<std::string>& aArguments)
{
  options::options_description known = SettingsOptions();
  options::variables_map given;
  options::store(options::command_line_parser(aArguments).options(known).run(),
                 given);
  if (given.contains("help")) {
    std::cout << known << "\nSettings (INI):\n" << SettingsHelp();
    return kDone;
  }
  if (aCommand == "check" && given.contains("page")) {
    std::cout << SettingsMarkdown();
    return kDone;
  }
  if (!given.contains("settings")) {
    return FailUsage(aCommand + " needs --settings FILE.");
  }
  auto loaded = LoadSettings(given["settings"].as<std::string>());
  if (!loaded) {
    return FailUsage(loaded.error().mDetail);
  }
  if (aCommand == "check") {
    std::cout << "The settings are good.\n";
    return kDone;
  }
  return Serve(given["settings"].as<std::string>(), loaded.value());
}

int
Run(const std::vector<std::string>& aArguments)
{
  if (aArguments.empty()) {
    std::cerr << kUsageText;
    return kUsage;
  }
  const std::string& command = aArguments.front();
  std::vector<std::string> rest(aArguments.begin() + 1, aArguments.end());
  if (command == "--help") {
    std::cout << kUsageText;
    return kDone;
  }
  if (command == "--version") {
    std::cout << "hibiscusspool 0.1.0\n";
    return kDone;
  }
  if (command == "serve" || command == "check") {
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
  return FailUsage("there is no command \"" + command +
                   "\"; --help lists them.");
}

}

int
main(int aCount, char** aArguments)
{
  FLAGS_logtostderr = true;
  // Each line carries its own time and level as key=value pairs.
  FLAGS_log_prefix = false;
  google::InitGoogleLogging(aArguments[0]);
  try {
    return Run({ aArguments + 1, aArguments + aCount });
  } catch (const options::error& problem) {
    return FailUsage(problem.what());
  } catch (const std::exception& problem) {
    std::cerr << "hibiscusspool: " << problem.what() << "\n";
    return kFailed;
  }
}
