#pragma once

#include "core/clock.h"
#include "core/sharded_map.h"
#include "decisions/group/control_host_choice.h"
#include "decisions/state/records.h"

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

/** An update as a daemon receives it. */
struct watch_update
{
  /** The changes are the full state and replace all that the daemon has. */
  bool mIsFullState = false;
  std::vector<record_change> mRecordChanges;
  log_index mIndex = 0;
  std::uint64_t mConfirmedMark = 0;
  /** The control hosts that serve watch streams; empty if unchanged. */
  std::vector<control_host> mControlHosts;
};

/** Encoded record changes, shared by all streams that send them. */
using encoded_changes = std::shared_ptr<const std::string>;

/** The next message of a stream. */
struct watch_message
{
  bool mIsFullState = false;
  std::vector<encoded_changes> mChanges;
  log_index mIndex = 0;
  std::uint64_t mConfirmedMark = 0;
  std::vector<control_host> mControlHosts;
  /** This host was in touch with a majority after the stream was opened. */
  bool mHasMajority = false;
  /** This host is cut off from the group; another one may not be. */
  bool mIsCutOff = false;
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
  /** Starts a linearizable read; calls back once this host has applied its
   * index. */
  std::function<void(std::function<void(log_index)>)> mReadBarrier;
  std::function<std::string(const std::vector<record_change>&)> mEncode;
  /** Calls `Flush` at the given time. */
  std::function<void(steady_time)> mScheduleFlush;
};

struct watch_hub_config
{
  /** Minimum time between two flushes of record changes to the streams. */
  milliseconds mFlushInterval{ 50 };
};

/**
 * The watch streams of the daemons connected to this control host. Applied
 * changes go to each stream in order. They are encoded once, and changes that
 * follow each other closely are sent together, so that the cost for a stream
 * does not grow with the rate of changes. Marks are confirmed in rounds: one
 * linearizable read confirms all marks that arrived before it.
 */
class watch_hub
{
  struct record_batch
  {
    log_index mIndex = 0;
    encoded_changes mChanges;
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
    bool mIsToldOfMajority = false;
    /** Number of the latest loss of the group that the daemon knows of. */
    std::uint64_t mToldLoss = 0;
    /** Version of the list of control hosts that was sent. */
    std::uint64_t mSentHostsVersion = 0;
    std::function<void()> mWake;
  };

  watch_hub_config mConfig;
  watch_hub_hooks mHooks;
  sharded_map<stream_id, stream> mStreams;
  std::atomic<stream_id> mNextStream{ 1 };
  /** Number of the current loss of the group, or 0 while this host is in touch
   * with it. */
  std::atomic<std::uint64_t> mLoss{ 0 };
  std::atomic<std::uint64_t> mLosses{ 0 };

  mutable std::mutex mBacklogLock;
  std::deque<record_batch> mBacklog;
  std::size_t mBacklogBytes = 0;
  log_index mApplied = 0;
  /** Index of the latest change that is no longer in the backlog; a stream that
   * has not received it needs the full state. */
  log_index mBacklogStart = 0;
  /** Index up to which changes may be sent without a confirmed mark. */
  log_index mFlushed = 0;
  steady_time mNextFlushAt;
  bool mIsFlushScheduled = false;
  /** The latest full state that was sent, with its index. */
  record_batch mFullState;
  std::vector<control_host> mControlHosts;
  std::uint64_t mHostsVersion = 0;

  std::mutex mRoundLock;
  /** The active round, or the next one if none is active. */
  std::uint64_t mRound = 1;
  bool mIsRoundActive = false;
  /** A mark arrived that needs another round after the active one. */
  bool mIsRoundRequested = false;

  void StartRound();
  void EndRound(std::uint64_t aRound);
  void WakeAll();
  /** Drops the oldest batches beyond the limits; needs the backlog's lock. */
  void TrimBacklog();
  /** Adds the backlog after `aFrom` and up to `aTo`; needs the backlog's lock.
   */
  void AppendBacklog(log_index aFrom,
                     log_index aTo,
                     watch_message& aMessage) const;
  /** Sets a full state and the changes since it. */
  void SetFullState(watch_message& aMessage);

public:
  watch_hub(watch_hub_config aConfig, watch_hub_hooks aHooks)
    : mConfig(aConfig)
    , mHooks(std::move(aHooks))
  {
  }

  /** Adds the record changes of one applied entry. */
  void Publish(log_index aIndex,
               const std::vector<record_change>& aChanges,
               steady_time aNow);
  /** Lets the streams send all changes that were published. */
  void Flush(steady_time aNow);
  /** Makes all streams restart from the full state. */
  void ResetStreams(log_index aIndex);
  /** Tells all daemons if this host is cut off from the group: a stream here
   * confirms nothing until it is in touch again. */
  void SetCutOff(bool aIsCutOff);
  /** Sets the control hosts among which daemons choose, sorted. */
  void SetControlHosts(std::vector<control_host> aHosts);

  /**
   * Opens a stream; `aCallback` is called when `Next` may have an update. A
   * daemon that has all changes up to `aAppliedIndex` gets only later ones, if
   * they are still known here.
   */
  stream_id Open(entry_host_record aHost,
                 log_index aAppliedIndex,
                 std::function<void()> aCallback,
                 steady_time aNow);
  void Close(stream_id aStream);
  /** Stores a daemon's report and starts confirming its mark, if any. */
  void Report(stream_id aStream, watch_report aReport, steady_time aNow);
  /** The next message to send on a stream, if any. */
  std::optional<watch_message> Next(stream_id aStream);

  [[nodiscard]] std::vector<daemon_status> Daemons() const;
};

}
