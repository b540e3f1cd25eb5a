#include "tests/integration/seeded_system.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <iostream>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace test;

namespace {

using std::chrono::steady_clock;

constexpr int kControlHosts = 5;
constexpr std::size_t kSeeds = 3;
/** Between the loss of a control host and its successor's start. */
constexpr milliseconds kAbsence{ 1'000 };
/** From a successor's start on, the group bears the next loss after this. */
constexpr milliseconds kRecovery{ 4'000 };
constexpr milliseconds kConfirmation{ 5'000 };

system_options
FiveControlHosts()
{
  system_options options;
  options.mControlHosts = kControlHosts;
  return options;
}

/** A seeded system whose control hosts are lost and replaced. */
class replaced_hosts_run
{
  seeded_system mHosts{ FiveControlHosts() };
  /** The control hosts that run, the oldest one first. */
  std::vector<int> mRunning;
  int mNextNumber = kControlHosts + 1;
  steady_clock::time_point mSuccessorStart;
  int mChanges = 0;

public:
  seeded_system& Hosts() { return mHosts; }
  [[nodiscard]] int Oldest() const { return mRunning.front(); }
  [[nodiscard]] int Leader() const { return mHosts.Leader(mRunning); }

  /** The seeds that hosts get: the newest control hosts. */
  [[nodiscard]] std::string NewestSeeds() const
  {
    return mHosts.Seeds({ mRunning.end() - kSeeds, mRunning.end() });
  }

  void Start()
  {
    mHosts.StartControlHosts(mHosts.AllSeeds(), true);
    mHosts.WriteEntry(mHosts.AllSeeds());
    mHosts.System().Start("e1");
    mRunning = mHosts.FirstControlHosts();
    CHECK(WaitFor([&] { return mHosts.Put(1, Name(mChanges)) == 200; }));
    for (int number : mRunning) {
      CHECK(WaitFor([&] { return ReadStatus(number, mChanges) == 200; }));
    }
    CHECK(WaitFor([&] { return mHosts.EntryHostListsItself(); }));
  }

  void Lose(int aNumber)
  {
    mHosts.LoseControlHost(aNumber);
    std::erase(mRunning, aNumber);
    std::this_thread::sleep_for(kAbsence);
  }

  void StartSuccessor(const std::string& aSeeds)
  {
    mSuccessorStart = steady_clock::now();
    mHosts.StartControlHost(mNextNumber, aSeeds, false);
    mRunning.push_back(mNextNumber++);
  }

  /** Not the newest host, which has just got its seeds: a SIGHUP before its
   * first code would end it. */
  void TellOthersOfSeeds()
  {
    for (int number : mRunning) {
      if (number != mRunning.back()) {
        mHosts.WriteControl(number, NewestSeeds(), false);
        mHosts.System().Signal("c" + std::to_string(number), SIGHUP);
      }
    }
    mHosts.WriteEntry(NewestSeeds());
    mHosts.System().Signal("e1", SIGHUP);
  }

  /** Each round asks another host, the newest one among them. */
  void CheckThatAChangeIsConfirmed()
  {
    std::this_thread::sleep_until(mSuccessorStart + kRecovery);
    ++mChanges;
    int asked = mRunning[mChanges % mRunning.size()];
    auto start = steady_clock::now();
    bool isConfirmed = WaitFor(
      [&] { return mHosts.Put(asked, Name(mChanges)) == 200; }, kConfirmation);
    auto taken =
      std::chrono::duration_cast<milliseconds>(steady_clock::now() - start);
    std::cout << "change " << mChanges << " through c" << asked << ": "
              << (isConfirmed ? "confirmed" : "not confirmed") << " after "
              << taken.count() << " ms\n";
    CHECK(isConfirmed);
    CHECK(taken <= kConfirmation);
  }

  /** Each round asks another host for all acknowledged changes. */
  void CheckThatEarlierChangesAreThere() const
  {
    CheckThatChangesAreAt(mRunning[(mChanges + 1) % mRunning.size()]);
  }

  void CheckThatEarlierChangesAreEverywhere() const
  {
    for (int number : mRunning) {
      CheckThatChangesAreAt(number);
    }
  }

private:
  void CheckThatChangesAreAt(int aHost) const
  {
    for (int change = 0; change <= mChanges; ++change) {
      unsigned status = 0;
      CHECK(WaitFor([&] {
        status = ReadStatus(aHost, change);
        return status == 200 || status == 404;
      }));
      LONGS_EQUAL(200, status);
    }
  }

  static std::string Name(int aChange) { return "t" + std::to_string(aChange); }

  [[nodiscard]] unsigned ReadStatus(int aHost, int aChange) const
  {
    return Call(
             "GET", mHosts.Operators(aHost), "/v1/templates/" + Name(aChange))
      .mStatus;
  }
};

}

TEST_GROUP(replaced_hosts){};

// Guards against a group that counts hosts that are gone as members until it
// has no majority any more.
TEST(replaced_hosts,
     ControlHostsLostForGoodOneByOneLeaveAGroupThatConfirmsChanges)
{
  constexpr int kLosses = 8;
  replaced_hosts_run run;
  run.Start();
  for (int loss = 0; loss < kLosses; ++loss) {
    int lost = run.Oldest();
    if (loss % 2 == 1) {
      CHECK(WaitFor([&] { return (lost = run.Leader()) != 0; }));
    }
    run.Lose(lost);
    run.StartSuccessor(run.NewestSeeds());
    run.TellOthersOfSeeds();
    run.CheckThatAChangeIsConfirmed();
    run.CheckThatEarlierChangesAreThere();
  }
  run.CheckThatEarlierChangesAreEverywhere();
  CHECK(WaitFor([&] { return run.Hosts().EntryHostListsItself(); }));
}

// No host that runs learns of new seeds, and each successor knows the host that
// it replaces and the one that is lost next.
TEST(replaced_hosts, ASuccessorThatKnowsOnlyOneLivingHostJoins)
{
  replaced_hosts_run run;
  run.Start();
  for (int loss = 0; loss < kControlHosts; ++loss) {
    int lost = run.Oldest();
    run.Lose(lost);
    run.StartSuccessor(run.Hosts().Seeds({ lost, run.Oldest() }));
    run.CheckThatAChangeIsConfirmed();
  }
  run.CheckThatEarlierChangesAreEverywhere();
  run.Hosts().System().StopProcess("e1", SIGKILL);
  run.Hosts().WriteEntry(run.NewestSeeds());
  run.Hosts().System().Start("e1");
  CHECK(WaitFor([&] { return run.Hosts().EntryHostListsItself(); }));
}
