#pragma once

#include "core/clock.h"
#include "core/sharded_map.h"
#include "decisions/records.h"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace hibiscusspool {

/** Number of a watch stream within this process. */
using stream_id = std::uint64_t;

/** What a daemon says on its stream. */
struct watch_report
{
  /** A mark to confirm; 0 when there is none. */
  std::uint64_t mMark = 0;
  log_index mAppliedIndex = 0;
  milliseconds mConfirmedAge{ 0 };
  /** The daemon's shares of the backend servers are handed over. */
  bool mHasShares = false;
};

/** The next message to a daemon. */
struct watch_update
{
  /** The facts take the place of all that the daemon holds. */
  bool mIsFullState = false;
  std::vector<record_change> mRecordChanges;
  log_index mIndex = 0;
  std::uint64_t mConfirmedMark = 0;
};

/** What `status` shows of one daemon. */
struct daemon_status
{
  entry_host_record mHost;
  watch_report mReport;
  steady_time mHeardAt;
};

struct watch_hub_hooks
{
  /** The index and all facts, for a stream that can't go on from its index. */
  std::function<std::pair<log_index, std::vector<record_change>>()> mReadState;
  /** Asks for a confirmed read; replies once it is applied here. */
  std::function<void(std::function<void(log_index)>)> mReadBarrier;
};

/**
 * The watch streams of the daemons that hold on to this control host. Applied
 * facts go to each stream in order; marks are confirmed in rounds, one read
 * for all marks that came before it.
 */
class watch_hub
{
  struct record_batch
  {
    log_index mIndex = 0;
    std::shared_ptr<const std::vector<record_change>> mRecordChanges;
  };

  struct stream
  {
    entry_host_record mHost;
    watch_report mReport;
    steady_time mHeardAt;
    bool mNeedsAll = true;
    log_index mSentIndex = 0;
    std::uint64_t mMark = 0;
    /** The round whose answer confirms the mark. */
    std::uint64_t mMarkRound = 0;
    /** A later mark, which must not push the waiting one back. */
    std::uint64_t mNextMark = 0;
    std::uint64_t mNextMarkRound = 0;
    std::uint64_t mConfirmedMark = 0;
    std::uint64_t mAnsweredMark = 0;
    std::function<void()> mWake;
  };

  watch_hub_hooks mHooks;
  sharded_map<stream_id, stream> mStreams;
  std::atomic<stream_id> mNextStream{ 1 };

  mutable std::mutex mLogLock;
  std::deque<record_batch> mLog;
  log_index mApplied = 0;
  log_index mLogStart = 0;

  std::mutex mRoundLock;
  std::uint64_t mRound = 1;
  bool mIsAsking = false;
  bool mIsWanted = false;

  void AskRound();
  void EndRound(std::uint64_t aRound);
  void WakeAll();

public:
  explicit watch_hub(watch_hub_hooks aHooks)
    : mHooks(std::move(aHooks))
  {
  }

  /** Adds the facts of one applied entry. */
  void Publish(log_index aIndex, std::vector<record_change> aFacts);
  /** Lets all streams start anew from the facts that are in force. */
  void ResetStreams(log_index aIndex);

  /** Opens a stream; `aWake` is called when `Next` has something. */
  stream_id Open(entry_host_record aHost,
                 std::function<void()> aWake,
                 steady_time aNow);
  void Close(stream_id aStream);
  /** Takes a daemon's report and, with it, a mark to confirm. */
  void Report(stream_id aStream, watch_report aReport, steady_time aNow);
  /** What to send next on a stream, or nothing. */
  std::optional<watch_update> Next(stream_id aStream);

  [[nodiscard]] std::vector<daemon_status> Daemons() const;
};

}
