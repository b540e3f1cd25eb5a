#include "drivers/http_server.h"
#include "tests/standin/direct_load.h"
#include "tests/standin/proxy.h"
#include "tests/standin/server.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <iostream>
#include <sstream>

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace options = boost::program_options;
using namespace hibiscusspool;

std::vector<std::string>
Split(const std::string& aText, char aSeparator)
{
  std::vector<std::string> parts;
  std::istringstream text(aText);
  for (std::string part; std::getline(text, part, aSeparator);) {
    parts.push_back(part);
  }
  return parts;
}

http_response
JsonResponse(unsigned aStatus, const json::value& aBody)
{
  http_response response;
  response.mStatus = aStatus;
  response.mBody = json::serialize(aBody);
  return response;
}

/** Handles HTTP requests that list components or set their options by name. */
template<typename component, typename name_of>
http_handler
MakeAdminHandler(std::vector<std::shared_ptr<component>>& aComponents,
                 name_of aNameOf,
                 const std::function<json::value()>& aRunCounts)
{
  return [&aComponents, aNameOf, aRunCounts](
           http_request aRequest) -> asio::awaitable<http_response> {
    if (aRequest.mMethod == "GET" && aRequest.mPath == "/runs") {
      co_return JsonResponse(200, aRunCounts());
    }
    if (aRequest.mMethod == "GET") {
      json::array all;
      for (const auto& one : aComponents) {
        all.push_back(one->ToJson());
      }
      co_return JsonResponse(200, all);
    }
    std::string pattern = aRequest.mPath.substr(1);
    std::size_t changed = 0;
    json::error_code error;
    json::value body = json::parse(aRequest.mBody, error);
    if (error || !body.is_object()) {
      co_return JsonResponse(400, "the body is not a JSON object");
    }
    for (const auto& one : aComponents) {
      std::string name = aNameOf(*one);
      bool isSelected =
        pattern == "*" || name == pattern ||
        (pattern.ends_with("*") &&
         name.starts_with(pattern.substr(0, pattern.size() - 1)));
      if (isSelected && !one->ApplyOptions(body.as_object())) {
        co_return JsonResponse(400, "the body has an unknown option");
      }
      changed += isSelected ? 1 : 0;
    }
    co_return JsonResponse(changed > 0 ? 200 : 404, changed);
  };
}

int
RunContext(asio::io_context& aContext)
{
  asio::signal_set signals(aContext, SIGINT, SIGTERM);
  signals.async_wait([&](auto, int) { aContext.stop(); });
  std::cout << "ready" << std::endl;
  aContext.run();
  return 0;
}

/**
 * Parses a group of servers, NAME:SERVICES:REPLICAS:SLOTS:CONNECTIONS:COLD:
 * SERVICE_MS:CONNECT_MS. Replicas are assigned to failure domains in turn.
 */
std::vector<standin::server_options>
ParseGroup(const std::string& aText,
           const std::vector<std::string>& aDomains,
           const std::string& aIp)
{
  std::vector<std::string> parts = Split(aText, ':');
  std::vector<standin::server_options> group;
  int services = std::stoi(parts.at(1));
  int replicas = std::stoi(parts.at(2));
  for (int service = 0; service < services; ++service) {
    for (int replica = 0; replica < replicas; ++replica) {
      standin::server_options one;
      one.mService = parts.at(0) + std::to_string(service);
      one.mName = one.mService + "-" + std::to_string(replica);
      one.mFailureDomain =
        aDomains[static_cast<std::size_t>(replica) % aDomains.size()];
      one.mAddress = aIp + ":0";
      one.mSlots = static_cast<std::uint32_t>(std::stoi(parts.at(3)));
      one.mConnections = static_cast<std::uint32_t>(std::stoi(parts.at(4)));
      one.mColdSlots = static_cast<std::uint32_t>(std::stoi(parts.at(5)));
      one.mServiceMs = std::stod(parts.at(6));
      one.mConnectDelayMs = std::stod(parts.at(7));
      group.push_back(one);
    }
  }
  return group;
}

int
RunBackends(const options::variables_map& aVariables)
{
  asio::io_context context(1);
  std::vector<std::shared_ptr<standin::server>> servers;
  auto announce = Split(aVariables["announce"].as<std::string>(), ',');
  auto domains = Split(aVariables["domains"].as<std::string>(), ',');
  auto state = aVariables["state"].as<std::string>();
  auto part = Split(aVariables["part"].as<std::string>(), '/');
  std::uint64_t seed = aVariables["seed"].as<std::uint64_t>();
  std::uint64_t number = 0;
  for (const std::string& group :
       aVariables["group"].as<std::vector<std::string>>()) {
    for (standin::server_options& one :
         ParseGroup(group, domains, aVariables["ip"].as<std::string>())) {
      one.mState = state;
      one.mNetworkDelayMs = aVariables["network-ms"].as<double>();
      // The servers of a group may be split between several processes.
      if (number++ % std::stoul(part.at(1)) != std::stoul(part.at(0))) {
        continue;
      }
      auto instance = std::make_shared<standin::server>(
        context, one, announce, seed + number);
      if (!instance->Start()) {
        std::cerr << "can't listen for server " << one.mName << "\n";
        return 1;
      }
      servers.push_back(instance);
    }
  }
  http_server_config config;
  config.mAddress = aVariables["admin"].as<std::string>();
  auto runs = [&servers]() -> json::value {
    std::map<std::string, std::uint64_t> keys;
    for (const auto& one : servers) {
      for (const auto& [key, count] : one->RunsByKey()) {
        keys[key] += count;
      }
    }
    return json::value_from(keys);
  };
  auto admin = http_server::Create(
    context,
    config,
    MakeAdminHandler(
      servers,
      [](const standin::server& aOne) { return aOne.Options().mName; },
      runs));
  if (!admin) {
    std::cerr << admin.error().mDetail << "\n";
    return 1;
  }
  return RunContext(context);
}

int
RunProxy(const options::variables_map& aVariables)
{
  using tcp = asio::ip::tcp;
  asio::io_context context(1);
  std::vector<std::shared_ptr<standin::proxy_link>> links;
  auto endpoint = [](const std::string& aText) {
    std::size_t colon = aText.rfind(':');
    return tcp::endpoint(
      asio::ip::make_address(aText.substr(0, colon)),
      static_cast<std::uint16_t>(std::stoi(aText.substr(colon + 1))));
  };
  for (const std::string& text :
       aVariables["link"].as<std::vector<std::string>>()) {
    auto parts = Split(text, '=');
    auto instance = std::make_shared<standin::proxy_link>(
      context, parts.at(0), endpoint(parts.at(1)), endpoint(parts.at(2)));
    if (!instance->Start()) {
      std::cerr << "can't listen for link " << text << "\n";
      return 1;
    }
    links.push_back(instance);
  }
  http_server_config config;
  config.mAddress = aVariables["admin"].as<std::string>();
  auto admin = http_server::Create(
    context,
    config,
    MakeAdminHandler(
      links,
      [](const standin::proxy_link& aOne) { return aOne.Name(); },
      []() -> json::value { return json::object(); }));
  if (!admin) {
    std::cerr << admin.error().mDetail << "\n";
    return 1;
  }
  return RunContext(context);
}

int
RunDirect(const options::variables_map& aVariables)
{
  standin::direct_options direct;
  direct.mAdminAddresses = Split(aVariables["ask"].as<std::string>(), ',');
  direct.mServicePrefix = aVariables["prefix"].as<std::string>();
  direct.mRate = aVariables["rate"].as<double>();
  direct.mSeconds = aVariables["seconds"].as<double>();
  direct.mSeed = aVariables["seed"].as<std::uint64_t>();
  return standin::RunDirectLoad(direct);
}

int
Run(const std::vector<std::string>& aArguments)
{
  options::options_description description(
    "hibiscusspool-standin backends|proxy|direct");
  description.add_options()("help", "show this text")(
    "admin", options::value<std::string>(), "ip:port of the admin interface")(
    "announce",
    options::value<std::string>(),
    "ip:port,… of the entry hosts to announce to")(
    "domains",
    options::value<std::string>()->default_value("a,b,c"),
    "failure domains of the replicas")(
    "group",
    options::value<std::vector<std::string>>(),
    "NAME:SERVICES:REPLICAS:SLOTS:CONNECTIONS:COLD:SERVICE_MS:CONNECT_MS")(
    "state",
    options::value<std::string>()->default_value("ready"),
    "initial state of the servers")(
    "part",
    options::value<std::string>()->default_value("0/1"),
    "INDEX/COUNT: the share of the servers to run")(
    "ip",
    options::value<std::string>()->default_value("127.0.0.1"),
    "IP that servers listen on")("network-ms",
                                 options::value<double>()->default_value(0),
                                 "one-way network delay to each server")(
    "seed", options::value<std::uint64_t>()->default_value(1), "seed")(
    "link", options::value<std::vector<std::string>>(), "NAME=LISTEN=TARGET")(
    "ask",
    options::value<std::string>(),
    "ip:port,… of the stand-ins' admin interfaces")(
    "prefix",
    options::value<std::string>()->default_value(""),
    "prefix of the services to query")(
    "rate", options::value<double>()->default_value(100), "queries per second")(
    "seconds",
    options::value<double>()->default_value(10),
    "duration in seconds");
  options::variables_map variables;
  std::vector<std::string> rest(aArguments.begin() + 1, aArguments.end());
  options::store(options::command_line_parser(rest).options(description).run(),
                 variables);
  if (variables.contains("help")) {
    std::cout << description;
    return 0;
  }
  if (aArguments.front() == "direct") {
    return RunDirect(variables);
  }
  return aArguments.front() == "proxy" ? RunProxy(variables)
                                       : RunBackends(variables);
}

}

int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  if (aCount < 2) {
    std::cerr << "usage: hibiscusspool-standin backends|proxy|direct …\n";
    return 2;
  }
  try {
    return Run({ aArguments + 1, aArguments + aCount });
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
