// One request crashes each server that begins to run it. Its caller sends it
// again, as the platform's clients do: one retry after a failure, and the whole
// again after some seconds.

#include "lab.h"

using namespace lab;

namespace {

constexpr ms kContact{ 4000 };
constexpr int kAllowedRetries = 3;
constexpr int kServers = 13;
/** Times at which the request comes; each but the first time it is sent twice.
 */
constexpr int kVolleys = 5;
constexpr ms kBetweenSends{ 200 };
constexpr std::chrono::seconds kPause{ 6 };
constexpr ms kDown{ 2500 };

std::string
Configuration()
{
  return R"({"version":7,"routes":[{"name":"lookup","host":"parts.example",)"
         R"("path_prefix":"/find/","kind":"idempotent","timeout_ms":6000,)"
         R"("target_latency_ms":400,"priority":2,"service":"yard",)"
         R"("max_attempts":2},{"name":"order","host":"parts.example",)"
         R"("path_prefix":"/order/","kind":"non_idempotent","timeout_ms":6000,)"
         R"("target_latency_ms":400,"priority":2,"service":"yard",)"
         R"("max_attempts":2}],"services":[{"name":"yard",)"
         R"("health_path":"/health","max_conns":214,"protocol":"h1","tls":false,)"
         R"("warmup_s":0,"warmup_per_s":0.0}],"limits":{)"
         R"("max_header_bytes":16384,"max_body_bytes":262144,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

struct case_state
{
  std::mutex mLock;
  /** Servers that the request crashed. */
  int mCrashes = 0;
  time_point mThirdCrash{};
  /** Client attempts that reached a server later than the contact time after
   * the third crash. */
  std::set<std::string> mLateRetries;
  /** The same without the client's own retries. */
  std::set<std::string> mLateSends;
  int mLateCrashes = 0;
  int mOrders = 0;
  int mOrdersLost = 0;
};

/** Other callers' orders, one after the other on a kept connection. */
void
SendOrders(const std::string& aFront,
           int aNumber,
           const std::atomic<bool>& aEnds,
           case_state& aState,
           record& aRecord)
{
  connection peer;
  for (int sent = 0; !aEnds; ++sent) {
    std::this_thread::sleep_for(ms(60));
    std::string id = "o" + std::to_string(aNumber) + "-" + std::to_string(sent);
    if (!peer.IsOpen() && !peer.Open(aFront, ms(1000))) {
      continue;
    }
    peer.Write("POST /order/" + id +
               " HTTP/1.1\r\nHost: parts.example\r\nX-Request-Id: " + id +
               "\r\nX-Deadline-Ms: 6000\r\nContent-Length: 5\r\n\r\nchain");
    auto answer = peer.Read(steady::now() + ms(6500));
    int status = answer ? answer->Status() : 0;
    bool isLost = status != 200 && status != 503;
    aRecord.Line("order " + id + " answered " + std::to_string(status));
    if (!answer || answer->Field("connection") == "close") {
      peer.Close();
    }
    std::lock_guard guard(aState.mLock);
    ++aState.mOrders;
    aState.mOrdersLost += isLost ? 1 : 0;
  }
}

}

int
main(int aCount, char** aWords)
{
  if (aCount < 3) {
    std::cerr << "crashing_request TOP RECORD" << std::endl;
    return 2;
  }
  bool hasTrouble = std::getenv("TROUBLE") == nullptr ||
                    std::string(std::getenv("TROUBLE")) != "0";
  signal(SIGPIPE, SIG_IGN);
  record log(aWords[2]);
  deployment system(aWords[1], 3, 4);
  system.StartAll();
  if (system.Order("/api/Config.Put", Configuration()) != 200 ||
      !system.AwaitReady()) {
    log.Say("the deployment did not start");
    return 2;
  }
  case_state state;
  run_handler run = [&](server& aServer, const message& aRequest) {
    run_result result;
    std::string id = aRequest.Field("x-request-id");
    if (aRequest.Path() != "/find/7f" || !hasTrouble) {
      log.Line("server " + aServer.mOptions.mAddress + " runs " + id);
      return result;
    }
    {
      std::lock_guard guard(state.mLock);
      auto now = steady::now();
      bool isLate = state.mCrashes >= 3 && now > state.mThirdCrash + kContact;
      if (isLate) {
        state.mLateRetries.insert(id);
        state.mLateSends.insert(id.substr(0, id.rfind('-')));
        ++state.mLateCrashes;
      }
      ++state.mCrashes;
      if (state.mCrashes == 3) {
        state.mThirdCrash = now;
      }
      log.Line("server " + aServer.mOptions.mAddress + " crashes on " + id +
               (isLate ? " (late)" : ""));
    }
    aServer.Crash(kDown, ms(0));
    result.mCrashes = true;
    return result;
  };
  std::vector<std::unique_ptr<server>> servers;
  for (int number = 0; number < kServers; ++number) {
    server_options options;
    options.mService = "yard";
    options.mZone =
      system.mZones[static_cast<std::size_t>(number) % system.mZones.size()];
    options.mAddress = system.mNet + std::to_string(100 + number) + ":8080";
    options.mSlots = 4;
    options.mWork = ms(40);
    servers.push_back(
      std::make_unique<server>(options, system.Controls(), run, log));
  }
  std::this_thread::sleep_for(std::chrono::seconds(6));
  std::atomic<bool> ends = false;
  std::vector<std::thread> others;
  auto fronts = system.Fronts();
  for (int number = 0; number < 8; ++number) {
    others.emplace_back([&, number] {
      SendOrders(fronts[static_cast<std::size_t>(number) % fronts.size()],
                 number,
                 ends,
                 state,
                 log);
    });
  }
  std::this_thread::sleep_for(std::chrono::seconds(2));
  std::size_t front = 0;
  auto send = [&](const std::string& aName) {
    for (int attempt = 0; attempt < 2; ++attempt) {
      std::string id = aName + "-" + std::to_string(attempt);
      std::string target = fronts[front++ % fronts.size()];
      log.Line("client sends " + id + " to " + target);
      message answer = Call(target,
                            "GET",
                            "/find/7f",
                            "",
                            ms(6000),
                            "Host: parts.example\r\nX-Request-Id: " + id +
                              "\r\nX-Deadline-Ms: 6000\r\n");
      log.Line("client gets " + std::to_string(answer.Status()) + " for " + id);
      if (answer.Status() == 200) {
        return;
      }
      double pause = std::atof(answer.Field("retry-after").c_str());
      std::this_thread::sleep_for(
        ms(static_cast<long>(std::min(2.0, pause) * 1000)));
    }
  };
  for (int volley = 0; volley < kVolleys; ++volley) {
    send("p" + std::to_string(volley) + "a");
    if (volley > 0) {
      std::this_thread::sleep_for(kBetweenSends);
      send("p" + std::to_string(volley) + "b");
    }
    std::this_thread::sleep_for(kPause);
  }
  ends = true;
  for (std::thread& one : others) {
    one.join();
  }
  log.Say("servers crashed: " + std::to_string(state.mCrashes) +
          "; retries that reached a server later than 4 s after the third "
          "crash: " +
          std::to_string(state.mLateRetries.size()) + " of " +
          std::to_string(state.mLateSends.size()) +
          " times that it came again (allowed " +
          std::to_string(kAllowedRetries) + ")");
  log.Say("orders of other callers " + std::to_string(state.mOrders) +
          ", lost " + std::to_string(state.mOrdersLost));
  servers.clear();
  if (state.mOrders == state.mOrdersLost) {
    return 2;
  }
  return static_cast<int>(state.mLateRetries.size()) > kAllowedRetries ? 1 : 0;
}
