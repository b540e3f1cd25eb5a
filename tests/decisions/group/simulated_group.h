#pragma once

#include "decisions/group/raft_node.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace test {

using namespace hibiscusspool;

constexpr int kHosts = 3;

/** Storage whose synced contents survive crashes. */
struct simulated_storage
{
  raft_hard_state mHardState;
  raft_snapshot mSnapshot;
  std::vector<raft_entry> mEntries;

  void Write(const raft_actions& aActions)
  {
    if (aActions.mInstallSnapshot) {
      mSnapshot = *aActions.mInstallSnapshot;
      mEntries.clear();
    }
    if (aActions.mHardState) {
      mHardState = *aActions.mHardState;
    }
    if (aActions.mAppend.empty()) {
      return;
    }
    log_index first = aActions.mAppend.front().mIndex;
    std::erase_if(mEntries, [&](const raft_entry& aEntry) {
      return aEntry.mIndex >= first || aEntry.mIndex <= mSnapshot.mIndex;
    });
    mEntries.insert(
      mEntries.end(), aActions.mAppend.begin(), aActions.mAppend.end());
  }
};

struct simulated_member
{
  raft_peer_id mId;
  simulated_storage mStorage;
  std::unique_ptr<raft_node> mNode;
  std::vector<raft_entry> mApplied;
  log_index mAppliedIndex = 0;
  bool mIsFrozen = false;
};

struct in_flight_message
{
  steady_time mDue;
  raft_message mMessage;
};

/**
 * A group under a seeded scheduler of messages, crashes, freezes, lost disks
 * and partitions; checks the Raft invariants after each step.
 */
class simulated_group
{
  std::mt19937_64 mRandom;
  steady_time mNow{ std::chrono::hours(1) };
  std::vector<simulated_member> mMembers;
  std::vector<in_flight_message> mInFlight;
  std::set<std::pair<std::string, std::string>> mBlockedLinks;
  /** The first entry that a member reported as committed, by index. */
  std::map<log_index, raft_entry> mCommitted;
  std::map<raft_term, std::string> mLeaders;
  std::map<std::uint64_t, log_index> mReads;
  std::uint64_t mNextToken = 1;
  int mNextDisk = 100;
  int mNextPayload = 0;
  std::string mViolation;

  [[nodiscard]] bool IsFrozen(const host_id& aHost) const;
  void ProcessActions(std::size_t aPosition);
  void Send(raft_message aMessage);
  void Apply(simulated_member& aMember, const raft_entry& aEntry);
  void CheckLeader(const simulated_member& aMember);
  void CheckLog(const simulated_member& aMember);

public:
  bool mLosesMessages = true;
  /** Hosts that start know the other hosts from their settings. */
  bool mKnowsHosts = true;
  /** With `mKnowsHosts` off, the hosts that the settings name. */
  std::set<host_id> mSeeds;
  int mConfirmedReads = 0;
  /** The failure domains that each host knows from its start on. */
  std::map<host_id, failure_domain_id> mDomains;
  milliseconds mHeartbeatInterval{ 100 };
  milliseconds mElectionTimeout{ 1000 };

  explicit simulated_group(std::uint64_t aSeed,
                           int aHosts = kHosts,
                           milliseconds aElection = milliseconds(1000),
                           bool aKnowsHosts = true);

  std::uint64_t Pick(std::uint64_t aBound);
  [[nodiscard]] const std::string& Violation() const { return mViolation; }
  [[nodiscard]] std::size_t CommittedCount() const { return mCommitted.size(); }
  [[nodiscard]] steady_time Now() const { return mNow; }
  simulated_member& Member(std::size_t aPosition)
  {
    return mMembers[aPosition];
  }
  [[nodiscard]] std::size_t Count() const { return mMembers.size(); }
  [[nodiscard]] bool IsRunning(std::size_t aPosition) const
  {
    return mMembers[aPosition].mNode != nullptr;
  }

  /** Adds a host with an empty disk and returns its position; it is started
   * with `Start`. */
  std::size_t AddHost(const std::string& aName);
  void Start(std::size_t aPosition);
  void Crash(std::size_t aPosition);
  /** Stops a member's time; messages to it arrive once it goes on. */
  void Freeze(std::size_t aPosition) { mMembers[aPosition].mIsFrozen = true; }
  void Thaw(std::size_t aPosition) { mMembers[aPosition].mIsFrozen = false; }
  void LoseDisk(std::size_t aPosition);
  /** True if the voters are exactly the hosts with their current disks. */
  bool AllDisksVote();
  void Isolate(std::size_t aPosition);
  void BlockOneWay(std::size_t aFrom, std::size_t aTo);
  void Heal() { mBlockedLinks.clear(); }
  /** True if this member knows that it is cut off from the group. */
  bool IsCutOff(std::size_t aPosition);
  /** The leader of the latest term, or the number of members. */
  std::size_t LeaderPosition();
  bool Propose(std::size_t aPosition);
  void Read(std::size_t aPosition);
  void Compact(std::size_t aPosition);
  void Transfer(std::size_t aPosition);
  /** Advances time by 10 ms and delivers the messages that are due. */
  void RunStep();
  void RunFor(milliseconds aTime);
  void Deliver(const raft_message& aMessage, bool aIgnoresBlocks = false);
};

/** Commits some entries and returns how many are committed then. */
std::size_t
CommitSome(simulated_group& aGroup, int aCount);

}
