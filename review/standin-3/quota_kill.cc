// One tenant sends many times its usual for some seconds, over the one
// connection that its client keeps. The front machine at its other end is
// killed; the client goes on at another.

#include "lab.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

using namespace lab;

namespace {

constexpr int kFronts = 6;
/** The first tenant is the hot one. */
constexpr int kTenants = 4;
/** Of each tenant but the hot one, whose one client has one connection. */
constexpr int kConnections = 6;
/** Requests a second of one tenant, and of the hot one while it is hot. */
constexpr double kUsual = 12.5;
constexpr double kHot = 7.5 * kUsual;
/** From the first request on. */
constexpr ms kHotFrom{ 9500 };
constexpr ms kHotFor{ 6500 };
constexpr ms kKillAfter{ 3000 };
constexpr double kRate = 20;
constexpr double kBurst = 20;
constexpr std::chrono::seconds kWindow{ 5 };
constexpr double kOvershoot = 0.1;
constexpr double kSlack = 20;

/** A name for the hot tenant, of which one in six will do: the machine that its
 * clients use is also the one that keeps its account. */
std::string
HotTenant(const std::vector<std::string>& aHosts)
{
  for (int number = 0;; ++number) {
    std::string name = "hot" + std::to_string(number);
    std::uint64_t seed = XXH3_64bits(name.data(), name.size());
    std::size_t owner = 0;
    std::uint64_t most = 0;
    for (std::size_t host = 0; host < aHosts.size(); ++host) {
      std::uint64_t weight =
        XXH3_64bits_withSeed(aHosts[host].data(), aHosts[host].size(), seed);
      if (weight > most) {
        most = weight;
        owner = host;
      }
    }
    if (owner == 0) {
      return name;
    }
  }
}

std::string
Configuration(const std::string& aHot)
{
  std::ostringstream text;
  text << R"({"version":7,"tenants":[)";
  for (int number = 0; number < kTenants; ++number) {
    std::string name = number == 0 ? aHot : "club" + std::to_string(number);
    text << (number == 0 ? "" : ",") << R"({"name":")" << name
         << R"(","api_keys":["key)" << number << R"("],"rate_per_s":)" << kRate
         << R"(,"burst":)" << kBurst << "}";
  }
  text << R"(],"routes":[{"name":"segment","host":"profiles.example",)"
          R"("path_prefix":"/segment/","kind":"idempotent","timeout_ms":2000,)"
          R"("target_latency_ms":800,"priority":1,"service":"archive",)"
          R"("max_attempts":2}],"services":[{"name":"archive",)"
          R"("health_path":"/health","max_conns":720,"protocol":"h1",)"
          R"("tls":false,"warmup_s":0,"warmup_per_s":0.0}],"limits":{)"
          R"("max_header_bytes":16384,"max_body_bytes":262144,)"
          R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
  return text.str();
}

struct run_request
{
  time_point mSent;
  time_point mArrived;
};

struct case_state
{
  std::mutex mLock;
  std::map<std::string, time_point> mSent;
  std::map<std::string, std::vector<run_request>> mRuns;
  std::map<int, int> mStatuses;
};

int
CountConnections(int aTenant)
{
  return aTenant == 0 ? 1 : kConnections;
}

void
RunConnection(const std::vector<std::string>& aFronts,
              int aTenant,
              int aNumber,
              const std::atomic<bool>& aEnds,
              case_state& aState,
              record& aRecord)
{
  auto start = steady::now();
  std::size_t front = aTenant == 0 ? 0 : static_cast<std::size_t>(aNumber);
  auto findInterval = [&] {
    auto now = steady::now();
    bool isHot = aTenant == 0 && now >= start + kHotFrom &&
                 now < start + kHotFrom + kHotFor;
    double perSecond = isHot ? kHot : kUsual / CountConnections(aTenant);
    return std::chrono::microseconds(static_cast<long>(1e6 / perSecond));
  };
  auto next = start + findInterval() * aNumber / kConnections;
  connection peer;
  for (int sent = 0; !aEnds; ++sent) {
    next = std::max(next + findInterval(), steady::now() - ms(50));
    std::this_thread::sleep_until(next);
    std::string id = "t" + std::to_string(aTenant) + "-" +
                     std::to_string(aNumber) + "-" + std::to_string(sent);
    while (!aEnds && !peer.IsOpen() && !peer.Open(aFronts[front], ms(300))) {
      // The machine that failed is left out.
      front =
        1 + (front + static_cast<std::size_t>(aNumber)) % (aFronts.size() - 1);
    }
    {
      std::lock_guard guard(aState.mLock);
      aState.mSent[id] = steady::now();
    }
    peer.Write("GET /segment/" + id +
               " HTTP/1.1\r\nHost: profiles.example\r\nAuthorization: Bearer "
               "key" +
               std::to_string(aTenant) + "\r\nX-Request-Id: " + id +
               "\r\nX-Deadline-Ms: 2000\r\n\r\n");
    auto answer = peer.Read(steady::now() + ms(2200));
    if (!answer || answer->Field("connection") == "close") {
      peer.Close();
    }
    int status = answer ? answer->Status() : 0;
    aRecord.Line("client of tenant " + std::to_string(aTenant) + " sent " + id +
                 ", answered " + std::to_string(status));
    std::lock_guard guard(aState.mLock);
    ++aState.mStatuses[status];
  }
}

/** The most requests that were sent and ran within one window. */
std::size_t
MostInWindow(const std::vector<run_request>& aRuns, time_point& aStart)
{
  std::size_t most = 0;
  for (const run_request& first : aRuns) {
    std::size_t count = 0;
    for (const run_request& one : aRuns) {
      bool isInside =
        one.mSent >= first.mSent && one.mArrived <= first.mSent + kWindow;
      count += isInside ? 1 : 0;
    }
    if (count > most) {
      most = count;
      aStart = first.mSent;
    }
  }
  return most;
}

}

int
main(int aCount, char** aWords)
{
  if (aCount < 3) {
    std::cerr << "quota_kill TOP RECORD" << std::endl;
    return 2;
  }
  bool hasTrouble = std::getenv("TROUBLE") == nullptr ||
                    std::string(std::getenv("TROUBLE")) != "0";
  signal(SIGPIPE, SIG_IGN);
  record log(aWords[2]);
  deployment system(aWords[1], 3, kFronts);
  system.mExtra = { { "bounds.strict_revoke", "true" },
                    { "bounds.revoke_ms", "5000" },
                    { "bounds.quota_window_s", "5" },
                    { "bounds.quota_overshoot", "0.1" },
                    { "bounds.quota_slack", "20" } };
  system.StartAll();
  std::string hot = HotTenant(system.Addresses(true, "7740"));
  if (system.Order("/api/Config.Put", Configuration(hot)) != 200 ||
      !system.AwaitReady()) {
    log.Say("the deployment did not start");
    return 2;
  }
  case_state state;
  auto start = steady::now();
  run_handler run = [&](server&, const message& aRequest) {
    run_result result;
    std::string id = aRequest.Field("x-request-id");
    std::string tenant = aRequest.Field("x-tenant");
    std::lock_guard guard(state.mLock);
    auto sent = state.mSent.find(id);
    if (sent != state.mSent.end()) {
      state.mRuns[tenant].push_back({ sent->second, steady::now() });
      log.Line("run " + id + " of " + tenant);
    }
    return result;
  };
  std::vector<std::unique_ptr<server>> servers;
  for (int number = 0; number < 4; ++number) {
    server_options options;
    options.mService = "archive";
    options.mZone =
      system.mZones[static_cast<std::size_t>(number) % system.mZones.size()];
    options.mAddress = system.mNet + std::to_string(100 + number) + ":8080";
    options.mSlots = 16;
    options.mQueue = 64;
    options.mWork = ms(4);
    servers.push_back(
      std::make_unique<server>(options, system.Controls(), run, log));
  }
  // The bounds hold from some time after the start on.
  std::this_thread::sleep_for(std::chrono::seconds(8));
  std::atomic<bool> ends = false;
  std::vector<std::thread> clients;
  for (int tenant = 0; tenant < kTenants; ++tenant) {
    for (int number = 0; number < CountConnections(tenant); ++number) {
      clients.emplace_back([&, tenant, number] {
        RunConnection(system.Fronts(), tenant, number, ends, state, log);
      });
    }
  }
  std::this_thread::sleep_for(kHotFrom + kKillAfter);
  if (hasTrouble) {
    machine& one = system.Find("front0");
    log.Say("front0 is killed; it is started again after half a second");
    system.Kill(one);
    std::this_thread::sleep_for(ms(500));
    system.Start(one, false);
  }
  std::this_thread::sleep_for(std::chrono::seconds(10));
  ends = true;
  for (std::thread& one : clients) {
    one.join();
  }
  servers.clear();
  auto bound = static_cast<std::size_t>(
    (kRate * static_cast<double>(kWindow.count()) + kBurst) * (1 + kOvershoot) +
    kSlack);
  std::size_t broken = 0;
  std::size_t runs = 0;
  for (const auto& [tenant, all] : state.mRuns) {
    time_point from;
    std::size_t most = MostInWindow(all, from);
    runs += all.size();
    log.Say(
      "tenant " + tenant + ": most in 5 s " + std::to_string(most) +
      ", allowed " + std::to_string(bound) + ", from " +
      std::to_string(std::chrono::duration_cast<ms>(from - start).count()) +
      " ms");
    broken += most > bound ? 1 : 0;
  }
  for (const auto& [status, count] : state.mStatuses) {
    log.Say("answers " + std::to_string(status) + ": " + std::to_string(count));
  }
  if (runs == 0) {
    return 2;
  }
  return broken > 0 ? 1 : 0;
}
