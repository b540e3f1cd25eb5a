// A server of a small service crashes and comes back cold. The service's
// configuration says how many requests a second a cold server tolerates.

#include "lab.h"

#include <deque>

using namespace lab;

namespace {

constexpr double kWarmupPerSecond = 10;
constexpr double kOvershoot = 1.5;
constexpr double kSlack = 5;
/** "Well above" the tolerated rate: a cold server crashes at three times it. */
constexpr std::size_t kCrashPerSecond = 30;
constexpr ms kWarmup{ 3000 };
constexpr int kClients = 12;
/** Orders a second of all clients together. */
constexpr int kOrders = 120;

std::string
Configuration()
{
  return R"({"version":7,"routes":[{"name":"order","host":"orders.example",)"
         R"("path_prefix":"/order/","kind":"non_idempotent","timeout_ms":3000,)"
         R"("target_latency_ms":500,"priority":1,"service":"ledger",)"
         R"("max_attempts":2}],"services":[{"name":"ledger",)"
         R"("health_path":"/health","max_conns":94,"protocol":"h1","tls":false,)"
         R"("warmup_s":3.0,"warmup_per_s":10.0}],"limits":{)"
         R"("max_header_bytes":16384,"max_body_bytes":262144,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

struct arrival
{
  time_point mAt;
  std::string mId;
  bool mIsCold = false;
};

struct case_state
{
  std::mutex mLock;
  std::map<std::string, time_point> mSent;
  /** Arrivals at the server that crashes. */
  std::vector<arrival> mArrivals;
  std::deque<time_point> mColdArrivals;
  int mOrders = 0;
  int mAnswered = 0;
  int mRefused = 0;
  int mLost = 0;
  int mColdCrashes = 0;
};

void
RunClient(const std::vector<std::string>& aFronts,
          int aNumber,
          const std::atomic<bool>& aEnds,
          case_state& aState,
          record& aRecord)
{
  auto next = steady::now();
  connection peer;
  std::size_t front = static_cast<std::size_t>(aNumber) % aFronts.size();
  for (int sent = 0; !aEnds; ++sent) {
    next += ms(1000 * kClients / kOrders);
    std::this_thread::sleep_until(next);
    std::string id =
      "o" + std::to_string(aNumber) + "-" + std::to_string(sent);
    if (!peer.IsOpen() && !peer.Open(aFronts[front], ms(1000))) {
      continue;
    }
    {
      std::lock_guard guard(aState.mLock);
      aState.mSent[id] = steady::now();
      ++aState.mOrders;
    }
    peer.Write("POST /order/" + id +
               " HTTP/1.1\r\nHost: orders.example\r\nX-Request-Id: " + id +
               "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\nhides");
    auto answer = peer.Read(steady::now() + ms(3500));
    int status = answer ? answer->Status() : 0;
    if (status != 200) {
      aRecord.Line("order " + id + " answered " + std::to_string(status));
    }
    if (!answer || answer->Field("connection") == "close") {
      peer.Close();
    }
    std::lock_guard guard(aState.mLock);
    aState.mAnswered += status == 200 ? 1 : 0;
    aState.mRefused += status == 503 || status == 429 ? 1 : 0;
    aState.mLost += status != 200 && status != 503 && status != 429 ? 1 : 0;
  }
}

/** The most requests that were sent and arrived within one second while the
 * server was cold. */
std::size_t
MostInOneSecond(const case_state& aState)
{
  std::vector<std::pair<time_point, time_point>> cold;
  for (const arrival& one : aState.mArrivals) {
    auto sent = aState.mSent.find(one.mId);
    if (one.mIsCold && sent != aState.mSent.end()) {
      cold.emplace_back(sent->second, one.mAt);
    }
  }
  std::size_t most = 0;
  for (const auto& first : cold) {
    std::size_t count = 0;
    for (const auto& other : cold) {
      bool isInside = other.first >= first.first &&
                      other.second < first.first + std::chrono::seconds(1);
      count += isInside ? 1 : 0;
    }
    most = std::max(most, count);
  }
  return most;
}

}

int
main(int aCount, char** aWords)
{
  if (aCount < 3) {
    std::cerr << "cold_server TOP RECORD" << std::endl;
    return 2;
  }
  bool hasTrouble =
    std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
  signal(SIGPIPE, SIG_IGN);
  record log(aWords[2]);
  deployment system(aWords[1], 3, 4);
  system.StartAll();
  if (system.Order("/api/Config.Put", Configuration()) != 200 ||
      !system.AwaitReady()) {
    log.Say("the deployment did not start");
    return 2;
  }
  log.Say("configuration acknowledged; warmup_per_s 10");
  case_state state;
  std::vector<std::unique_ptr<server>> servers;
  server* crashing = nullptr;
  for (int number = 0; number < 3; ++number) {
    server_options options;
    options.mService = "ledger";
    options.mZone = system.mZones[static_cast<std::size_t>(number)];
    options.mAddress = system.mNet + std::to_string(100 + number) + ":8080";
    options.mSlots = 4;
    options.mWork = ms(15);
    run_handler run = [&](server& aServer, const message& aRequest) {
      run_result result;
      std::string id = aRequest.Field("x-request-id");
      bool isCold = aServer.WarmupLeft() > 0;
      std::lock_guard guard(state.mLock);
      if (&aServer != crashing) {
        return result;
      }
      auto now = steady::now();
      state.mArrivals.push_back({ now, id, isCold });
      if (!isCold) {
        return result;
      }
      log.Line("cold server gets " + id + ", cold for " +
               std::to_string(aServer.WarmupLeft()) + " ms more");
      auto& recent = state.mColdArrivals;
      recent.push_back(now);
      while (recent.front() < now - std::chrono::seconds(1)) {
        recent.pop_front();
      }
      if (recent.size() > kCrashPerSecond) {
        recent.clear();
        ++state.mColdCrashes;
        log.Line("cold server crashes: more than 30 requests in a second");
        result.mCrashes = true;
      }
      return result;
    };
    run_handler guarded = [run](server& aServer, const message& aRequest) {
      run_result result = run(aServer, aRequest);
      if (result.mCrashes) {
        aServer.Crash(ms(2500), kWarmup);
      }
      return result;
    };
    servers.push_back(std::make_unique<server>(
      options, system.Controls(), guarded, log));
  }
  crashing = servers[0].get();
  std::this_thread::sleep_for(std::chrono::seconds(3));
  std::atomic<bool> ends = false;
  std::vector<std::thread> clients;
  for (int number = 0; number < kClients; ++number) {
    clients.emplace_back([&, number] {
      RunClient(system.Fronts(), number, ends, state, log);
    });
  }
  std::this_thread::sleep_for(std::chrono::seconds(6));
  if (hasTrouble) {
    log.Say("server " + crashing->Id() + " crashes; back in 2.5 s, cold for 3 s");
    crashing->Crash(ms(2500), kWarmup);
  }
  std::this_thread::sleep_for(std::chrono::seconds(25));
  ends = true;
  for (std::thread& one : clients) {
    one.join();
  }
  std::size_t most = MostInOneSecond(state);
  std::size_t bound =
    static_cast<std::size_t>(kWarmupPerSecond * kOvershoot + kSlack);
  log.Say("orders " + std::to_string(state.mOrders) + ", answered " +
          std::to_string(state.mAnswered) + ", refused " +
          std::to_string(state.mRefused) + ", lost " +
          std::to_string(state.mLost) + ", crashes of the cold server " +
          std::to_string(state.mColdCrashes));
  log.Say("most requests to the cold server in one second: " +
          std::to_string(most) + ", allowed " + std::to_string(bound));
  servers.clear();
  if (state.mAnswered == 0) {
    return 2;
  }
  return most > bound ? 1 : 0;
}
