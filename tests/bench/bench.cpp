// Times the most expensive decisions at the planned system size, each on one
// thread.

#include "controllers/backend_controller.h"
#include "messages/control_codec.h"

#include <chrono>
#include <cstdio>
#include <string>

namespace {

using namespace hibiscusspool;

constexpr int kServices = 170;
constexpr int kReplicas = 33;
constexpr int kDaemons = 810;

double
SecondsSince(steady_time aStart)
{
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       aStart)
    .count();
}

server_record
MakeServer(int aService, int aReplica)
{
  server_record record;
  record.mService.mValue = "service-" + std::to_string(aService);
  record.mServer.mValue =
    record.mService.mValue + "-" + std::to_string(aReplica);
  record.mIncarnation = 1'796'000'000'000;
  record.mFailureDomain.mValue = "domain-" + std::to_string(aReplica % 4);
  record.mAddress = "10.1." + std::to_string(aService) + "." +
                    std::to_string(aReplica) + ":8080";
  record.mSlots = 20;
  record.mConnections = 55;
  record.mColdSlots = 2;
  record.mState = server_state::Ready;
  record.mSnapshots = { 41, 42 };
  record.mLeaseHolder.mValue = "entry-" + std::to_string(aReplica);
  return record;
}

void
TimeQueryPlan()
{
  steady_time now = std::chrono::steady_clock::now();
  backend_controller backends(
    { host_id{ "entry-1" }, failure_domain_id{ "domain-1" } },
    { [](const std::vector<connection_id>&) {}, [](const server_id&) {} });
  // At the planned size, a daemon holds shares of two or three replicas of each
  // service. Here 24 hosts share the servers, so that every replica is usable.
  std::vector<share_holder> hosts;
  for (int number = 0; number < 24; ++number) {
    hosts.push_back({ host_id{ "entry-" + std::to_string(number) }, {} });
  }
  backends.SetHosts(hosts, now);
  std::vector<choice_request> choices;
  for (int service = 0; service < kServices; ++service) {
    for (int replica = 0; replica < kReplicas; ++replica) {
      backends.Put(MakeServer(service, replica), true, now);
    }
    choice_request choice;
    choice.mService.mValue = "service-" + std::to_string(service);
    choice.mSnapshot = 42;
    choices.push_back(choice);
  }
  constexpr int kRounds = 300;
  steady_time started = std::chrono::steady_clock::now();
  std::vector<attempt_permit> permits;
  double planSeconds = 0;
  for (int round = 0; round < kRounds; ++round) {
    permits.clear();
    steady_time roundStarted = std::chrono::steady_clock::now();
    for (const choice_request& choice : choices) {
      permits.push_back(*backends.Choose(choice, roundStarted));
    }
    planSeconds += SecondsSince(roundStarted);
    connection_id number = 1;
    for (const attempt_permit& permit : permits) {
      backends.Finish(
        permit,
        { attempt_status::Answered, microseconds(5000), number++ },
        roundStarted);
    }
  }
  std::printf("plan of a query to %d services of %d servers: %.1f us; with "
              "finished attempts: %.1f us\n",
              kServices,
              kReplicas,
              planSeconds / kRounds * 1e6,
              SecondsSince(started) / kRounds * 1e6);
}

void
TimeShareAllocation()
{
  std::vector<server_capacity> servers;
  for (int replica = 0; replica < kReplicas; ++replica) {
    servers.push_back({ MakeServer(0, replica).mServer, 55 });
  }
  std::vector<share_holder> hosts;
  for (int number = 0; number < kDaemons; ++number) {
    hosts.push_back({ host_id{ "entry-" + std::to_string(number) }, {} });
  }
  constexpr int kRounds = 50;
  std::vector<share_ring> rings;
  for (std::size_t round = 0; round < kRounds; ++round) {
    rings.push_back(share_ring::Create(hosts, hosts[round].mHost));
  }
  steady_time started = std::chrono::steady_clock::now();
  for (const share_ring& ring : rings) {
    static_cast<void>(ring.Allocate(service_id{ "service" }, servers));
  }
  std::printf("shares of one service of %d servers allocated to %d hosts: "
              "%.2f ms\n",
              kReplicas,
              kDaemons,
              SecondsSince(started) / kRounds * 1e3);
}

void
TimeControlState()
{
  control_state state({});
  log_index index = 0;
  steady_time started = std::chrono::steady_clock::now();
  for (int service = 0; service < kServices; ++service) {
    for (int replica = 0; replica < kReplicas; ++replica) {
      change_command command;
      command.mChanges.emplace_back(MakeServer(service, replica));
      auto decoded = DecodeCommand(EncodeCommand(command));
      state.Apply(++index, decoded.value());
    }
  }
  double applySeconds = SecondsSince(started);
  started = std::chrono::steady_clock::now();
  std::string bytes = EncodeState(state);
  std::printf("%llu server records: %.1f us each to encode and apply; a "
              "snapshot has %.0f kB and takes %.1f ms\n",
              static_cast<unsigned long long>(index),
              applySeconds / static_cast<double>(index) * 1e6,
              static_cast<double>(bytes.size()) / 1e3,
              SecondsSince(started) * 1e3);
  constexpr int kClaims = 100'000;
  started = std::chrono::steady_clock::now();
  for (int number = 0; number < kClaims; ++number) {
    claim_record claim;
    claim.mTeam.mValue = "crew-board";
    claim.mKey.mValue = "order-" + std::to_string(number);
    claim.mFingerprint.mValue = std::string(32, 'f');
    claim.mAttempt.mValue = "entry-1-1796000000000-c" + std::to_string(number);
    claim.mOwner.mValue = "entry-1";
    change_command command;
    command.mChanges.emplace_back(claim);
    state.Apply(++index, command);
    claim.mState = claim_state::Done;
    claim.mOutcome = std::string(100, 'o');
    command.mChanges = { claim };
    state.Apply(++index, command);
  }
  double claimSeconds = SecondsSince(started);
  bytes = EncodeState(state);
  std::printf("%d claims made and settled: %.1f us each; the snapshot now has "
              "%.1f MB\n",
              kClaims,
              claimSeconds / kClaims * 1e6,
              static_cast<double>(bytes.size()) / 1e6);
}

}

int
main()
{
  TimeQueryPlan();
  TimeShareAllocation();
  TimeControlState();
  return 0;
}
