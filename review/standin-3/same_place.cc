// An operator sends a configuration in which two routes share the same host and
// prefix; the names of the host differ in the case of a letter only.

#include "lab.h"

using namespace lab;

namespace {

std::string
Route(const std::string& aName,
      const std::string& aHost,
      const std::string& aPrefix,
      const std::string& aService)
{
  return R"({"name":")" + aName + R"(","host":")" + aHost +
         R"(","path_prefix":")" + aPrefix +
         R"(","kind":"idempotent","timeout_ms":3000,"target_latency_ms":500,)"
         R"("priority":1,"service":")" +
         aService + R"(","max_attempts":2})";
}

std::string
Configuration(int aVersion, const std::string& aRoutes)
{
  std::string services;
  for (const std::string name : { "desk", "shop" }) {
    services += (services.empty() ? "" : ",") + std::string(R"({"name":")") +
                name +
                R"(","health_path":"/health","max_conns":94,"protocol":"h1",)"
                R"("tls":false,"warmup_s":0,"warmup_per_s":0.0})";
  }
  return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" +
         aRoutes + R"(],"services":[)" + services +
         R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

}

int
main(int aCount, char** aWords)
{
  if (aCount < 3) {
    std::cerr << "same_place TOP RECORD" << std::endl;
    return 2;
  }
  bool hasTrouble = std::getenv("TROUBLE") == nullptr ||
                    std::string(std::getenv("TROUBLE")) != "0";
  signal(SIGPIPE, SIG_IGN);
  record log(aWords[2]);
  deployment system(aWords[1], 3, 2);
  system.StartAll();
  std::string first = Route("browse", "catalogue.example", "/find/", "shop");
  if (system.Order("/api/Config.Put", Configuration(7, first)) != 200 ||
      !system.AwaitReady()) {
    log.Say("the deployment did not start");
    return 2;
  }
  run_handler run = [&](server& aServer, const message& aRequest) {
    run_result result;
    result.mBody = aServer.mOptions.mService;
    log.Line("service " + aServer.mOptions.mService + " runs " +
             aRequest.Field("x-request-id") + ", host " +
             aRequest.Field("host"));
    return result;
  };
  std::vector<std::unique_ptr<server>> servers;
  for (int number = 0; number < 4; ++number) {
    server_options options;
    options.mService = number < 2 ? "desk" : "shop";
    options.mZone = system.mZones[static_cast<std::size_t>(number % 3)];
    options.mAddress = system.mNet + std::to_string(100 + number) + ":8080";
    servers.push_back(
      std::make_unique<server>(options, system.Controls(), run, log));
  }
  std::this_thread::sleep_for(std::chrono::seconds(3));
  // The invalid one; without the disruption, the prefixes differ.
  std::string second = Route("wholesale",
                             "Catalogue.example",
                             hasTrouble ? "/find/" : "/stock/",
                             "desk");
  int status =
    system.Order("/api/Config.Put", Configuration(9, first + "," + second));
  log.Say("configuration 9 answered " + std::to_string(status));
  // Longer than config_apply_ms.
  std::this_thread::sleep_for(std::chrono::seconds(4));
  message stored =
    Call(system.Controls()[0], "GET", "/api/Config.Get", "", ms(1000));
  bool isStored = stored.mBody.find("\"version\":9") != std::string::npos;
  log.Say(std::string("configuration 9 is ") +
          (isStored ? "read back" : "not read back"));
  int wrong = 0;
  int served = 0;
  for (int number = 0; number < 40; ++number) {
    std::string id = "q" + std::to_string(number);
    bool isSecond = number % 2 == 1;
    std::string path =
      (isSecond && !hasTrouble ? "/stock/" : "/find/") + std::to_string(number);
    message answer =
      Call(system.Fronts()[static_cast<std::size_t>(number / 2 % 2)],
           "GET",
           path,
           "",
           ms(3000),
           "Host: " +
             std::string(isSecond ? "Catalogue.example" : "catalogue.example") +
             "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 3000\r\n");
    std::string expected = isSecond ? "desk" : "shop";
    log.Line("client gets " + std::to_string(answer.Status()) + " for " + id +
             " from " + answer.mBody.substr(0, 8) + ", route's service " +
             expected);
    served += answer.Status() == 200 ? 1 : 0;
    wrong += answer.Status() == 200 && answer.mBody != expected ? 1 : 0;
  }
  servers.clear();
  log.Say("served " + std::to_string(served) +
          ", of them by the other route's service " + std::to_string(wrong));
  if (!hasTrouble && (status != 200 || served == 0)) {
    return 2;
  }
  bool isAcknowledged = hasTrouble && status == 200;
  return isAcknowledged || wrong > 0 ? 1 : 0;
}
