#include "tools/admin.h"

#include "tools/operators_client.h"
#include "tools/text_table.h"

#include "drivers/synced_file.h"

#include <boost/program_options.hpp>

#include <iostream>
#include <random>

namespace hibiscusspool {

namespace json = boost::json;
namespace options = boost::program_options;

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

constexpr const char* kUsageText =
  "hibiscusspool admin [options] COMMAND\n"
  "\n"
  "  status                    show members, leader, index and daemons\n"
  "  list KIND                 list records; KIND is templates, teams,\n"
  "                            failure-domains, entry-hosts, servers, "
  "rollouts\n"
  "                            or quarantine\n"
  "  get KIND NAME             show one record\n"
  "  put KIND NAME JSON|@FILE  write a template, team or failure domain\n"
  "  delete KIND NAME          delete one of these or a quarantine entry\n"
  "  out DOMAIN, in DOMAIN     take a failure domain out of service or put it\n"
  "                            back in\n"
  "  lift FINGERPRINT          end the quarantine of a request fingerprint\n"
  "\n";

std::string
FormatCell(const json::value& aValue)
{
  if (aValue.is_string()) {
    return std::string(aValue.get_string());
  }
  return json::serialize(aValue);
}

/** Formats objects as a table with one column per key of the first. */
std::string
FormatList(const json::array& aItems)
{
  if (aItems.empty()) {
    return "none\n";
  }
  std::vector<std::string> keys;
  for (const auto& [key, value] : aItems.front().as_object()) {
    keys.emplace_back(key);
  }
  text_table table(keys);
  for (const json::value& item : aItems) {
    std::vector<std::string> row;
    for (const std::string& key : keys) {
      const json::value* cell = item.as_object().if_contains(key);
      row.push_back(cell != nullptr ? FormatCell(*cell) : "");
    }
    table.Add(std::move(row));
  }
  return table.Text();
}

std::string
FormatRecord(const json::object& aRecord)
{
  text_table table({ "field", "value" });
  for (const auto& [key, value] : aRecord) {
    table.Add({ std::string(key), FormatCell(value) });
  }
  return table.Text();
}

/** The voters as their leader sees them; a control host of an earlier build
 * does not tell. */
std::string
FormatStrength(const json::object& aStatus)
{
  const json::value* strength = aStatus.if_contains("strength");
  if (strength == nullptr || !strength->is_object()) {
    return "unknown\n";
  }
  return FormatList(json::array{ *strength });
}

std::string
FormatStatus(const json::object& aStatus)
{
  text_table summary({ "leader", "index", "servers", "claims" });
  summary.Add({ FormatCell(aStatus.at("leader")),
                FormatCell(aStatus.at("index")),
                FormatCell(aStatus.at("servers")),
                FormatCell(aStatus.at("claims")) });
  return summary.Text() + "\nStrength\n" + FormatStrength(aStatus) +
         "\nMembers\n" + FormatList(aStatus.at("members").as_array()) +
         "\nControl hosts\n" +
         FormatList(aStatus.at("control_hosts").as_array()) + "\nDaemons\n" +
         FormatList(aStatus.at("daemons").as_array());
}

std::string
NewChangeId()
{
  std::random_device device;
  return "admin-" + std::to_string(device()) + "-" + std::to_string(device());
}

/** Returns the text, or the contents of FILE if the text is `@FILE`. */
result<std::string, tool_error>
ReadBody(const std::string& aText)
{
  if (!aText.starts_with("@")) {
    return aText;
  }
  auto file = ReadWholeFile(aText.substr(1));
  if (!file) {
    return Fail(tool_error::CannotRead, file.error().mDetail);
  }
  return file.value();
}

/** Translates a command line into the HTTP request that performs it. */
result<http_client_request, tool_error>
ParseCommand(const std::vector<std::string>& aWords)
{
  auto usageError = [](const std::string& aDetail) {
    return Fail(tool_error::Usage, aDetail);
  };
  if (aWords.empty()) {
    return usageError("No command given; --help lists the commands.");
  }
  const std::string& command = aWords[0];
  http_client_request request;
  if (command == "status" && aWords.size() == 1) {
    request.mPath = "/v1/status";
    return request;
  }
  if (command == "list" && aWords.size() == 2) {
    request.mPath = "/v1/" + aWords[1];
    return request;
  }
  if (command == "get" && aWords.size() == 3) {
    request.mPath = "/v1/" + aWords[1] + "/" + aWords[2];
    return request;
  }
  if ((command == "out" || command == "in") && aWords.size() == 2) {
    request.mMethod = "PUT";
    request.mPath = "/v1/failure-domains/" + aWords[1];
    request.mBody = R"({"state":")" + command + R"("})";
    return request;
  }
  if (command == "lift" && aWords.size() == 2) {
    request.mMethod = "DELETE";
    request.mPath = "/v1/quarantine/" + aWords[1];
    return request;
  }
  if (command == "delete" && aWords.size() == 3) {
    request.mMethod = "DELETE";
    request.mPath = "/v1/" + aWords[1] + "/" + aWords[2];
    return request;
  }
  if (command == "put" && aWords.size() == 4) {
    auto body = ReadBody(aWords[3]);
    if (!body) {
      return body.error();
    }
    request.mMethod = "PUT";
    request.mPath = "/v1/" + aWords[1] + "/" + aWords[2];
    request.mBody = body.value();
    return request;
  }
  return usageError("\"" + command +
                    "\" is no command or has the wrong number of arguments.");
}

void
Print(const json::value& aResponse, bool aAsJson)
{
  if (aAsJson || !aResponse.is_object()) {
    std::cout << json::serialize(aResponse) << "\n";
    return;
  }
  const json::object& object = aResponse.get_object();
  if (object.contains("daemons")) {
    std::cout << FormatStatus(object);
  } else if (const json::value* items = object.if_contains("items")) {
    std::cout << FormatList(items->as_array());
  } else {
    std::cout << FormatRecord(object);
  }
}

int
PrintError(const failure<tool_error>& aError)
{
  std::cerr << "hibiscusspool admin: " << aError.mDetail << "\n";
  return aError.mCode == tool_error::Usage ? kExitUsage : kExitFailure;
}

}

int
RunAdmin(const std::vector<std::string>& aArguments)
{
  options::options_description description("Options");
  description.add_options()("help", "show this text")(
    "operators",
    options::value<std::string>()->default_value("127.0.0.1:7011"),
    "ip:port,… of the control hosts' operator API")(
    "token",
    options::value<std::string>()->default_value(""),
    "file with the operators' bearer token")("json", "print JSON")(
    "change-id",
    options::value<std::string>(),
    "id of the change; repeat it to resend a change safely")(
    "if-version",
    options::value<std::string>(),
    "apply only if the record has this version; 0: must not exist")(
    "words", options::value<std::vector<std::string>>(), "command");
  options::positional_options_description positional;
  positional.add("words", -1);
  options::variables_map variables;
  options::store(options::command_line_parser(aArguments)
                   .options(description)
                   .positional(positional)
                   .run(),
                 variables);
  if (variables.contains("help")) {
    std::cout << kUsageText << description;
    return 0;
  }
  std::vector<std::string> words;
  if (variables.contains("words")) {
    words = variables["words"].as<std::vector<std::string>>();
  }
  auto request = ParseCommand(words);
  if (!request) {
    return PrintError(request.error());
  }
  auto client =
    operators_client::Create(variables["operators"].as<std::string>(),
                             variables["token"].as<std::string>());
  if (!client) {
    return PrintError(client.error());
  }
  if (request.value().mMethod != "GET") {
    request.value().mHeaders["Change-Id"] =
      variables.contains("change-id") ? variables["change-id"].as<std::string>()
                                      : NewChangeId();
  }
  if (variables.contains("if-version")) {
    request.value().mHeaders["If-Version"] =
      variables["if-version"].as<std::string>();
  }
  auto response = client.value().Send(std::move(request.value()));
  if (!response) {
    return PrintError(response.error());
  }
  Print(response.value(), variables.contains("json"));
  return 0;
}

}
