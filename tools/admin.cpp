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

constexpr int kFailed = 1;
constexpr int kUsage = 2;

constexpr const char* kUsageText =
  "hibiscusspool admin [options] COMMAND\n"
  "\n"
  "  status                    members, leader, index, daemons\n"
  "  list KIND                 templates, teams, failure-domains,\n"
  "                            entry-hosts, servers, quarantine\n"
  "  get KIND NAME             one record\n"
  "  put KIND NAME JSON|@FILE  templates, teams, failure-domains\n"
  "  delete KIND NAME          the same, and quarantine\n"
  "  out DOMAIN, in DOMAIN     take a failure domain out, or back in\n"
  "  lift FINGERPRINT          end a quarantine\n"
  "\n";

std::string
CellText(const json::value& aValue)
{
  if (aValue.is_string()) {
    return std::string(aValue.get_string());
  }
  return json::serialize(aValue);
}

/** Objects as a table with a column for each key. */
std::string
ListText(const json::array& aItems)
{
  if (aItems.empty()) {
    return "none\n";
  }
  std::vector<std::string> keys;
  for (const auto& [key, value] : aItems.front().as_object()) {
    keys.emplace_back(key);
  }
  table rows(keys);
  for (const json::value& item : aItems) {
    std::vector<std::string> row;
    for (const std::string& key : keys) {
      const json::value* cell = item.as_object().if_contains(key);
      row.push_back(cell != nullptr ? CellText(*cell) : "");
    }
    rows.Add(std::move(row));
  }
  return rows.Text();
}

std::string
RecordText(const json::object& aRecord)
{
  table rows({ "field", "value" });
  for (const auto& [key, value] : aRecord) {
    rows.Add({ std::string(key), CellText(value) });
  }
  return rows.Text();
}

std::string
StatusText(const json::object& aStatus)
{
  table head({ "leader", "index", "servers", "claims" });
  head.Add({ CellText(aStatus.at("leader")),
             CellText(aStatus.at("index")),
             CellText(aStatus.at("servers")),
             CellText(aStatus.at("claims")) });
  return head.Text() + "\nMembers\n" +
         ListText(aStatus.at("members").as_array()) + "\nControl hosts\n" +
         ListText(aStatus.at("control_hosts").as_array()) + "\nDaemons\n" +
         ListText(aStatus.at("daemons").as_array());
}

std::string
NewChangeId()
{
  std::random_device device;
  return "admin-" + std::to_string(device()) + "-" + std::to_string(device());
}

/** The body of a `put`: the text itself, or a file's. */
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

/** The call that a command stands for. */
result<http_client_request, tool_error>
ToOrder(const std::vector<std::string>& aWords)
{
  auto wrong = [](const std::string& aDetail) {
    return Fail(tool_error::Usage, aDetail);
  };
  if (aWords.empty()) {
    return wrong("admin needs a command; --help lists them.");
  }
  const std::string& command = aWords[0];
  http_client_request order;
  if (command == "status" && aWords.size() == 1) {
    order.mPath = "/v1/status";
    return order;
  }
  if (command == "list" && aWords.size() == 2) {
    order.mPath = "/v1/" + aWords[1];
    return order;
  }
  if (command == "get" && aWords.size() == 3) {
    order.mPath = "/v1/" + aWords[1] + "/" + aWords[2];
    return order;
  }
  if ((command == "out" || command == "in") && aWords.size() == 2) {
    order.mMethod = "PUT";
    order.mPath = "/v1/failure-domains/" + aWords[1];
    order.mBody = R"({"state":")" + command + R"("})";
    return order;
  }
  if (command == "lift" && aWords.size() == 2) {
    order.mMethod = "DELETE";
    order.mPath = "/v1/quarantine/" + aWords[1];
    return order;
  }
  if (command == "delete" && aWords.size() == 3) {
    order.mMethod = "DELETE";
    order.mPath = "/v1/" + aWords[1] + "/" + aWords[2];
    return order;
  }
  if (command == "put" && aWords.size() == 4) {
    auto body = ReadBody(aWords[3]);
    if (!body) {
      return body.error();
    }
    order.mMethod = "PUT";
    order.mPath = "/v1/" + aWords[1] + "/" + aWords[2];
    order.mBody = body.value();
    return order;
  }
  return wrong("\"" + command + "\" is no command, or lacks its words.");
}

void
Print(const json::value& aAnswer, bool aAsJson)
{
  if (aAsJson || !aAnswer.is_object()) {
    std::cout << json::serialize(aAnswer) << "\n";
    return;
  }
  const json::object& object = aAnswer.get_object();
  if (object.contains("daemons")) {
    std::cout << StatusText(object);
  } else if (const json::value* items = object.if_contains("items")) {
    std::cout << ListText(items->as_array());
  } else {
    std::cout << RecordText(object);
  }
}

int
FailWith(const failure<tool_error>& aError)
{
  std::cerr << "hibiscusspool admin: " << aError.mDetail << "\n";
  return aError.mCode == tool_error::Usage ? kUsage : kFailed;
}

}

int
RunAdmin(const std::vector<std::string>& aArguments)
{
  options::options_description known("Options");
  known.add_options()("help", "this text")(
    "operators",
    options::value<std::string>()->default_value("127.0.0.1:7011"),
    "addresses of the control hosts' operators' interface")(
    "token",
    options::value<std::string>()->default_value(""),
    "file with the bearer token")("json", "print JSON")(
    "change-id",
    options::value<std::string>(),
    "the change's id; give the same to send a change again")(
    "if-version",
    options::value<std::string>(),
    "only if the record has this version; 0 for none")(
    "words", options::value<std::vector<std::string>>(), "command");
  options::positional_options_description places;
  places.add("words", -1);
  options::variables_map given;
  options::store(options::command_line_parser(aArguments)
                   .options(known)
                   .positional(places)
                   .run(),
                 given);
  if (given.contains("help")) {
    std::cout << kUsageText << known;
    return 0;
  }
  std::vector<std::string> words;
  if (given.contains("words")) {
    words = given["words"].as<std::vector<std::string>>();
  }
  auto order = ToOrder(words);
  if (!order) {
    return FailWith(order.error());
  }
  auto client = operators_client::Create(given["operators"].as<std::string>(),
                                         given["token"].as<std::string>());
  if (!client) {
    return FailWith(client.error());
  }
  if (order.value().mMethod != "GET") {
    order.value().mHeaders["Change-Id"] =
      given.contains("change-id") ? given["change-id"].as<std::string>()
                                  : NewChangeId();
  }
  if (given.contains("if-version")) {
    order.value().mHeaders["If-Version"] =
      given["if-version"].as<std::string>();
  }
  auto answer = client.value().Ask(std::move(order.value()));
  if (!answer) {
    return FailWith(answer.error());
  }
  Print(answer.value(), given.contains("json"));
  return 0;
}

}
