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
Split(const std::string& aText, char aMark)
{
  std::vector<std::string> parts;
  std::istringstream text(aText);
  for (std::string part; std::getline(text, part, aMark);) {
    parts.push_back(part);
  }
  return parts;
}

http_response
Reply(unsigned aStatus, const json::value& aBody)
{
  http_response reply;
  reply.mStatus = aStatus;
  reply.mBody = json::serialize(aBody);
  return reply;
}

/** Things that can be changed and described by name over HTTP. */
template<typename thing, typename name_of>
http_handler
MakeAdmin(std::vector<std::shared_ptr<thing>>& aThings,
          name_of aNameOf,
          const std::function<json::value()>& aRuns)
{
  return [&aThings, aNameOf, aRuns](
           http_request aRequest) -> asio::awaitable<http_response> {
    if (aRequest.mMethod == "GET" && aRequest.mPath == "/runs") {
      co_return Reply(200, aRuns());
    }
    if (aRequest.mMethod == "GET") {
      json::array all;
      for (const auto& one : aThings) {
        all.push_back(one->Describe());
      }
      co_return Reply(200, all);
    }
    std::string wanted = aRequest.mPath.substr(1);
    std::size_t changed = 0;
    json::error_code error;
    json::value body = json::parse(aRequest.mBody, error);
    if (error || !body.is_object()) {
      co_return Reply(400, "bad body");
    }
    for (const auto& one : aThings) {
      std::string name = aNameOf(*one);
      bool isMeant = wanted == "*" || name == wanted ||
                     (wanted.ends_with("*") &&
                      name.starts_with(wanted.substr(0, wanted.size() - 1)));
      if (isMeant && !one->Change(body.as_object())) {
        co_return Reply(400, "unknown wish");
      }
      changed += isMeant ? 1 : 0;
    }
    co_return Reply(changed > 0 ? 200 : 404, changed);
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
 * A group of servers: NAME:SERVICES:REPLICAS:SLOTS:CONNECTIONS:COLD:
 * SERVICE_MS:CONNECT_MS; replicas stand in the failure domains by turns.
 */
std::vector<standin::server_options>
MakeGroup(const std::string& aText,
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
      one.mConnectMs = std::stod(parts.at(7));
      group.push_back(one);
    }
  }
  return group;
}

int
RunBackends(const options::variables_map& aGiven)
{
  asio::io_context context(1);
  std::vector<std::shared_ptr<standin::server>> servers;
  auto announce = Split(aGiven["announce"].as<std::string>(), ',');
  auto domains = Split(aGiven["domains"].as<std::string>(), ',');
  auto state = aGiven["state"].as<std::string>();
  auto part = Split(aGiven["part"].as<std::string>(), '/');
  std::uint64_t seed = aGiven["seed"].as<std::uint64_t>();
  std::uint64_t number = 0;
  for (const std::string& group :
       aGiven["group"].as<std::vector<std::string>>()) {
    for (standin::server_options& one :
         MakeGroup(group, domains, aGiven["ip"].as<std::string>())) {
      one.mState = state;
      one.mNetworkMs = aGiven["network-ms"].as<double>();
      // Several processes may share the servers of a group.
      if (number++ % std::stoul(part.at(1)) != std::stoul(part.at(0))) {
        continue;
      }
      auto made = std::make_shared<standin::server>(
        context, one, announce, seed + number);
      if (!made->Start()) {
        std::cerr << "can't listen for " << one.mName << "\n";
        return 1;
      }
      servers.push_back(made);
    }
  }
  http_server_config config;
  config.mAddress = aGiven["admin"].as<std::string>();
  auto runs = [&servers]() -> json::value {
    std::map<std::string, std::uint64_t> keys;
    for (const auto& one : servers) {
      for (const auto& [key, count] : one->RunKeys()) {
        keys[key] += count;
      }
    }
    return json::value_from(keys);
  };
  auto admin = http_server::Create(
    context,
    config,
    MakeAdmin(
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
RunProxy(const options::variables_map& aGiven)
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
       aGiven["link"].as<std::vector<std::string>>()) {
    auto parts = Split(text, '=');
    auto made = std::make_shared<standin::proxy_link>(
      context, parts.at(0), endpoint(parts.at(1)), endpoint(parts.at(2)));
    if (!made->Start()) {
      std::cerr << "can't listen for " << text << "\n";
      return 1;
    }
    links.push_back(made);
  }
  http_server_config config;
  config.mAddress = aGiven["admin"].as<std::string>();
  auto admin = http_server::Create(
    context,
    config,
    MakeAdmin(
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
RunDirect(const options::variables_map& aGiven)
{
  standin::direct_options direct;
  direct.mAdmins = Split(aGiven["ask"].as<std::string>(), ',');
  direct.mPrefix = aGiven["prefix"].as<std::string>();
  direct.mRate = aGiven["rate"].as<double>();
  direct.mSeconds = aGiven["seconds"].as<double>();
  direct.mSeed = aGiven["seed"].as<std::uint64_t>();
  return standin::RunDirectLoad(direct);
}

int
Run(const std::vector<std::string>& aArguments)
{
  options::options_description known(
    "hibiscusspool-standin backends|proxy|direct");
  known.add_options()("help", "this text")(
    "admin", options::value<std::string>(), "ip:port to be told what to do")(
    "announce", options::value<std::string>(), "ip:port,… to announce to")(
    "domains",
    options::value<std::string>()->default_value("a,b,c"),
    "failure domains")(
    "group",
    options::value<std::vector<std::string>>(),
    "NAME:SERVICES:REPLICAS:SLOTS:CONNECTIONS:COLD:SERVICE_MS:CONNECT_MS")(
    "state",
    options::value<std::string>()->default_value("ready"),
    "first state")("part",
                   options::value<std::string>()->default_value("0/1"),
                   "which of how many processes this is")(
    "ip",
    options::value<std::string>()->default_value("127.0.0.1"),
    "where servers listen")("network-ms",
                            options::value<double>()->default_value(0),
                            "one-way delay to each server")(
    "seed", options::value<std::uint64_t>()->default_value(1), "seed")(
    "link", options::value<std::vector<std::string>>(), "NAME=LISTEN=TARGET")(
    "ask", options::value<std::string>(), "admin addresses of stand-ins")(
    "prefix",
    options::value<std::string>()->default_value(""),
    "services to ask")(
    "rate", options::value<double>()->default_value(100), "queries a second")(
    "seconds", options::value<double>()->default_value(10), "how long");
  options::variables_map given;
  std::vector<std::string> rest(aArguments.begin() + 1, aArguments.end());
  options::store(options::command_line_parser(rest).options(known).run(),
                 given);
  if (given.contains("help")) {
    std::cout << known;
    return 0;
  }
  if (aArguments.front() == "direct") {
    return RunDirect(given);
  }
  return aArguments.front() == "proxy" ? RunProxy(given) : RunBackends(given);
}

}

int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  if (aCount < 2) {
    std::cerr << "usage: hibiscusspool-standin backends|proxy …\n";
    return 2;
  }
  try {
    return Run({ aArguments + 1, aArguments + aCount });
  } catch (const std::exception& problem) {
    std::cerr << problem.what() << "\n";
    return 2;
  }
}
