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

/** A daemon's report on its stream. */
struct watch_report
{
  /** Number of a read-index request, which renews the daemon's lease once it
   * is confirmed; 0 if none. */
  std::uint64_t mMark = 0;
  log_index mAppliedIndex = 0;
  milliseconds mConfirmedAge{ 0 };
  /** The daemon may use its shares of the backend servers. */
  bool mHasShares = false;
};

/** The next message to a daemon. */
struct watch_update
{
  /** The changes are the full state and replace all that the daemon has. */
  bool mIsFullState = false;
  std::vector<record_change> mRecordChanges;
  log_index mIndex = 0;
  std::uint64_t mConfirmedMark = 0;
};

/** State of one daemon, as shown by `status`. */
struct daemon_status
{
  entry_host_record mHost;
  watch_report mReport;
  steady_time mLastMessageAt;
};

struct watch_hub_hooks
{
  /** The applied index and all records, for a stream that can't be resumed
   * from its index. */
  std::function<std::pair<log_index, std::vector<record_change>>()> mReadState;
  /** Starts a linearizable read; calls back once it is applied here. */
  std::function<void(std::function<void(log_index)>)> mReadBarrier;
};

/**
 * The watch streams of the daemons connected to this control host. Applied
 * changes go to each stream in order. Marks are confirmed in rounds: one
 * linearizable read confirms all marks that arrived before it.
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
    steady_time mLastMessageAt;
    bool mNeedsFullState = true;
    log_index mSentIndex = 0;
    std::uint64_t mMark = 0;
    /** The round that confirms the mark. */
    std::uint64_t mMarkRound = 0;
    /** A later mark, kept apart so that it does not delay the pending one. */
    std::uint64_t mNextMark = 0;
    std::uint64_t mNextMarkRound = 0;
    std::uint64_t mConfirmedMark = 0;
    std::uint64_t mSentMark = 0;
    std::function<void()> mWake;
  };

  watch_hub_hooks mHooks;
  sharded_map<stream_id, stream> mStreams;
  std::atomic<stream_id> mNextStream{ 1 };

  mutable std::mutex mBacklogLock;
  std::deque<record_batch> mBacklog;
  log_index mApplied = 0;
  log_index mBacklogStart = 0;

  std::mutex mRoundLock;
  std::uint64_t mRound = 1;
  bool mIsRoundActive = false;
  bool mIsRoundRequested = false;

  void StartRound();
  void EndRound(std::uint64_t aRound);
  void WakeAll();

public:
  explicit watch_hub(watch_hub_hooks aHooks)
    : mHooks(std::move(aHooks))
  {
  }

  /** Adds the record changes of one applied entry. */
  void Publish(log_index aIndex, std::vector<record_change> aChanges);
  /** Makes all streams restart from the full state. */
  void ResetStreams(log_index aIndex);

  /** Opens a stream; `aCallback` is called when `Next` may have an update. */
  stream_id Open(entry_host_record aHost,
                 std::function<void()> aCallback,
                 steady_time aNow);
  void Close(stream_id aStream);
  /** Stores a daemon's report and starts confirming its mark, if any. */
  void Report(stream_id aStream, watch_report aReport, steady_time aNow);
  /** The next update to send on a stream, if any. */
  std::optional<watch_update> Next(stream_id aStream);

  [[nodiscard]] std::vector<daemon_status> Daemons() const;
};

}
