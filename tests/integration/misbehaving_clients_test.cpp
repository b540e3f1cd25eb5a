#include "tests/integration/platform_server.h"
#include "tests/integration/raw_crowd.h"
#include "tests/integration/seeded_system.h"

#include <cstdio>
#include <fstream>
#include <memory>

#include <sys/wait.h>

#include <CppUTest/TestHarness.h>

using namespace test;

namespace {

/** Machines of the smallest entry host and of a control host. */
constexpr std::size_t kEntryMemory = 112'000'000;
constexpr std::size_t kControlMemory = 256'000'000;
constexpr rlim_t kEntryDescriptors = 2870;
constexpr rlim_t kControlDescriptors = 4096;

/** The largest body and head that the platform allows. */
constexpr std::size_t kBodyBytes = 262'144;
constexpr std::size_t kHeadBytes = 16'384;
constexpr milliseconds kSendTimeout{ 5000 };

/** Clients of an entry host and of a control host: what they send is more than
 * the memory of the machine. */
struct crowd_size
{
  std::size_t mEntry = 600;
  std::size_t mControl = 1100;
};

/** A listener, the head of a request to it without the end, and an ordinary
 * request that it answers with 200. */
struct target
{
  std::string mName;
  std::string mProcess;
  std::string mAddress;
  std::string mHead;
  std::string mOrdinaryPath;
};

std::string
Configuration(std::size_t aPadding)
{
  return R"({"version":1,"routes":[{"name":"find","host":"a","path_prefix":)"
         R"("/find/","kind":"idempotent","timeout_ms":2000,)"
         R"("target_latency_ms":400,"priority":1,"service":"find",)"
         R"("max_attempts":2}],"services":[{)"
         R"("name":"find","health_path":"/health","max_conns":64,)"
         R"("protocol":"h1","tls":false,"warmup_s":0.0,"warmup_per_s":0.0}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})" +
         std::string(aPadding, ' ');
}

/** Many header fields of four bytes, up to a size. */
std::string
ShortFields(std::size_t aBytes)
{
  std::string fields;
  while (fields.size() + 4 <= aBytes) {
    fields += "a:\r\n";
  }
  return fields;
}

std::string
Repeat(const std::string& aText, std::size_t aTimes)
{
  std::string repeated;
  for (std::size_t number = 0; number < aTimes; ++number) {
    repeated += aText;
  }
  return repeated;
}

}

/** A control host, an entry host with each kind of listener, and a server. */
TEST_GROUP(misbehaving_clients)
{
  std::unique_ptr<seeded_system> mHosts;
  std::unique_ptr<platform_server> mServer;
  /** Figures over their bound, and processes that ended. */
  std::string mViolations;

  void Start(rlim_t aEntryDescriptors = kEntryDescriptors,
             rlim_t aControlDescriptors = kControlDescriptors,
             std::size_t aPadding = 0)
  {
    system_options options;
    options.mControlHosts = 1;
    options.mEntryDescriptors = aEntryDescriptors;
    options.mControlDescriptors = aControlDescriptors;
    mHosts = std::make_unique<seeded_system>(options);
    mHosts->StartControlHosts(mHosts->AllSeeds(), true);
    WriteEntry();
    mHosts->System().Start("e1");
    CHECK(WaitFor([&] {
      return Call("POST",
                  mHosts->Platform(1),
                  "/api/Config.Put",
                  Configuration(aPadding))
               .mStatus == 200;
    }));
    mServer = std::make_unique<platform_server>(
      "i-1", mHosts->Server(1), mHosts->Platform(1));
    for (const target& each : Targets()) {
      CHECK(WaitFor([&] { return IsAnswered(each); }));
    }
  }

  void teardown() override
  {
    mServer.reset();
    mHosts.reset();
  }

  [[nodiscard]] std::string EntryAddress(int aPort) const
  {
    std::string clients = mHosts->Clients();
    return clients.substr(0, clients.find(':') + 1) + std::to_string(aPort);
  }

  /** The settings that `WriteEntry` of the system writes, and the listeners
   * that it omits. */
  void WriteEntry() const
  {
    mHosts->WriteEntry(mHosts->AllSeeds());
    std::ofstream file(mHosts->System().Folder() / "e1.ini", std::ios::app);
    file << "readiness_address=" << EntryAddress(10'907)
         << "\ndirectory_address=" << EntryAddress(10'908) << "\n";
  }

  [[nodiscard]] std::vector<target> Targets() const
  {
    std::string announce = EntryAddress(10'903);
    std::string readiness = EntryAddress(10'907);
    std::string directory = EntryAddress(10'908);
    std::string callers = mHosts->Callers();
    std::string clients = mHosts->Clients();
    std::string operators = mHosts->Operators(1);
    std::string control = mHosts->Platform(1);
    auto post = [](const std::string& aPath) {
      return "POST " + aPath + " HTTP/1.1\r\nHost: a\r\n";
    };
    return {
      { "callers", "e1", callers, post("/v1/teams/t/query"), "/healthz" },
      { "route", "e1", clients, post("/find/x"), "/find/one" },
      { "no_route", "e1", clients, post("/none"), "/find/one" },
      { "readiness", "e1", readiness, post("/api/ready"), "/api/ready" },
      { "directory", "e1", directory, post("/api/resolve"), "/api/resolve" },
      { "announce", "e1", announce, post("/v1/announce"), "/v1/account" },
      { "operators", "c1", operators, post("/v1/templates/t"), "/v1/status" },
      { "control", "c1", control, post("/api/Config.Put"), "/api/Config.Get" },
    };
  }

  static bool IsAnswered(const target& aTarget)
  {
    return Call("GET",
                aTarget.mAddress,
                aTarget.mOrdinaryPath,
                "",
                { { "Host", "a" }, { "X-Request-Id", "ordinary" } })
             .mStatus == 200;
  }

  void Violate(const std::string& aTarget, const std::string& aWhat)
  {
    mViolations += aTarget + ": " + aWhat + "\n";
  }

  /** Compares a process with the machine that it has to fit. */
  void CheckFigures(const target& aTarget, rlim_t aMaxDescriptors)
  {
    bool isEntry = aTarget.mProcess == "e1";
    pid_t process = mHosts->System().Pid(aTarget.mProcess);
    siginfo_t ended{};
    waitid(
      P_PID, static_cast<id_t>(process), &ended, WEXITED | WNOHANG | WNOWAIT);
    if (ended.si_pid == process) {
      Violate(aTarget.mName, "the process has ended");
      return;
    }
    process_figures figures = FiguresOf(process);
    if (std::getenv("SHOW_FIGURES") != nullptr) {
      std::printf("%s: %zu bytes, %zu descriptors\n",
                  aTarget.mName.c_str(),
                  figures.mPeakBytes,
                  figures.mDescriptors);
    }
    if (figures.mPeakBytes > (isEntry ? kEntryMemory : kControlMemory)) {
      Violate(aTarget.mName,
              std::to_string(figures.mPeakBytes) + " bytes of memory");
    }
    if (figures.mDescriptors > aMaxDescriptors) {
      Violate(aTarget.mName,
              std::to_string(figures.mDescriptors) + " descriptors");
    }
  }

  /** Sends the same bytes on many connections and checks the process and an
   * ordinary request while they are open. */
  void Attack(const target& aTarget,
              std::size_t aCount,
              const std::string& aBytes,
              rlim_t aMaxDescriptors)
  {
    ResetPeak(mHosts->System().Pid(aTarget.mProcess));
    raw_crowd crowd(aTarget.mAddress, aCount);
    crowd.Send(aBytes, kSendTimeout);
    CheckFigures(aTarget, aMaxDescriptors);
    if (!WaitFor([&] { return IsAnswered(aTarget); })) {
      Violate(aTarget.mName, "an ordinary request was not answered");
    }
    CheckFigures(aTarget, aMaxDescriptors);
  }

  /** Attacks each listener; `aTail` follows the head of its requests. */
  void AttackAll(const crowd_size& aSize, const std::string& aTail)
  {
    for (const target& each : Targets()) {
      bool isEntry = each.mProcess == "e1";
      Attack(each,
             isEntry ? aSize.mEntry : aSize.mControl,
             each.mHead + aTail,
             isEntry ? kEntryDescriptors : kControlDescriptors);
    }
  }

  void CheckNoViolations() const
  {
    STRCMP_EQUAL("", mViolations.c_str());
  }
};

// Guards against bodies that stop just short of their end: each is within the
// limits, and all of them together exceeded the memory of the machine.
TEST(misbehaving_clients, BodiesOneByteShort)
{
  Start();
  AttackAll({},
            "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n" +
              std::string(kBodyBytes - 1, 'b'));
  CheckNoViolations();
}

// Guards against the same in chunks, whose strings grow beyond what they hold.
TEST(misbehaving_clients, ChunkedBodiesWithoutAnEnd)
{
  Start();
  constexpr std::size_t kChunk = 1024;
  std::string chunk = "400\r\n" + std::string(kChunk, 'c') + "\r\n";
  AttackAll({},
            "Transfer-Encoding: chunked\r\n\r\n" +
              Repeat(chunk, kBodyBytes / kChunk));
  CheckNoViolations();
}

// Guards against bodies that are far over the limit, declared and in chunks.
TEST(misbehaving_clients, BodiesOfManyTimesTheLimit)
{
  Start();
  constexpr std::size_t kTimes = 16;
  constexpr crowd_size kFew{ 60, 60 };
  std::string body(kTimes * kBodyBytes, 'b');
  AttackAll(
    kFew, "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  AttackAll(kFew,
            "Transfer-Encoding: chunked\r\n\r\n400000\r\n" + body + "\r\n");
  CheckNoViolations();
}

// Guards against heads of a legal size whose fields take many times their
// bytes, with an unfinished body after them.
TEST(misbehaving_clients, ManyShortFieldsBeforeABody)
{
  Start();
  constexpr std::size_t kOtherFields = 128;
  AttackAll(
    {}, ShortFields(kHeadBytes - kOtherFields) + "Content-Length: 2\r\n\r\nb");
  CheckNoViolations();
}

// Guards against many heads that don't end, whose buffers had no common bound.
TEST(misbehaving_clients, ManyShortFieldsWithoutAnEnd)
{
  Start();
  constexpr std::size_t kOtherFields = 128;
  AttackAll({ 2400, 2400 }, ShortFields(kHeadBytes - kOtherFields));
  CheckNoViolations();
}

// Guards against responses that pile up for clients that don't read them.
TEST(misbehaving_clients, PipelinedRequestsWithoutReading)
{
  constexpr std::size_t kDocument = 200'000;
  constexpr std::size_t kRequests = 1000;
  Start(kEntryDescriptors, kControlDescriptors, kDocument);
  for (const target& each : Targets()) {
    bool isEntry = each.mProcess == "e1";
    std::string request = "GET " + each.mOrdinaryPath +
                          " HTTP/1.1\r\nHost: a\r\nX-Request-Id: p\r\n\r\n";
    Attack(each,
           isEntry ? 600 : 1800,
           Repeat(request, kRequests),
           isEntry ? kEntryDescriptors : kControlDescriptors);
  }
  CheckNoViolations();
}

// Guards against connections that send nothing or stop half-way until the
// process has no descriptor left: nobody else could connect for a minute.
TEST(misbehaving_clients, StalledConnectionsLeaveRoomForOthers)
{
  constexpr rlim_t kDescriptors = 400;
  // A tenth remains for servers, the disk and other hosts.
  constexpr rlim_t kMaxOpen = kDescriptors * 9 / 10;
  constexpr std::size_t kClients = 500;
  Start(kDescriptors, kDescriptors);
  for (const target& each : Targets()) {
    Attack(each, kClients, "", kMaxOpen);
    Attack(each, kClients, each.mHead, kMaxOpen);
  }
  CheckNoViolations();
}
