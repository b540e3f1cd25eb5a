#include "drivers/raft_transport.h"

#include "core/log_event.h"
#include "decisions/group/raft_message_queue.h"
#include "drivers/grpc_settings.h"
#include "drivers/host_address.h"
#include "messages/raft_codec.h"

#include <condition_variable>
#include <mutex>
#include <set>

#include <control.grpc.pb.h>
#include <grpcpp/grpcpp.h>

namespace hibiscusspool {

namespace {

constexpr milliseconds kCallTimeout{ 1000 };
/** Added to the time of a call for each mebibyte, for a host that has a small
 * part of a processor. */
constexpr milliseconds kCallTimePerMebibyte{ 1000 };
constexpr std::size_t kMaxMessagesPerCall = 64;
constexpr std::uint64_t kMaxBytesPerCall = 1U << 20U;

/** Minimum age of a connection attempt before a sign of life from the peer
 * starts another one. */
constexpr milliseconds kMinAttemptAge{ 200 };

struct delivery
{
  grpc::ClientContext mContext;
  wire::DeliverRequest mRequest;
  wire::DeliverReply mReply;
  std::unique_ptr<wire::Control::Stub> mStub;
};

/** The channel and the queue of messages to one control host. */
struct peer_link
{
  std::shared_ptr<grpc::Channel> mChannel;
  steady_time mChannelOpenedAt;
  raft_message_queue mQueue;
  /** The call in progress; null while there is none. */
  std::shared_ptr<delivery> mCall;
  /** The latest call failed. */
  bool mIsUnreachable = false;
};

/** Logs once when a peer becomes unreachable and once when it is back. */
void
UpdateReachability(peer_link& aLink,
                   const host_id& aHost,
                   const grpc::Status& aStatus)
{
  if (aLink.mIsUnreachable == !aStatus.ok()) {
    return;
  }
  aLink.mIsUnreachable = !aStatus.ok();
  if (aStatus.ok()) {
    log_event("peer_regained").Add("peer", aHost.mValue);
    return;
  }
  log_event("peer_lost", log_event::severity::Warning)
    .Add("peer", aHost.mValue)
    .Add("code", static_cast<int>(aStatus.error_code()))
    .Add("cause", aStatus.error_message());
}

}

struct raft_transport::state
{
  std::map<host_id, std::string> mAddresses;
  sharded_map<host_id, peer_link> mLinks;
  std::mutex mLock;
  std::condition_variable mCallEnded;
  std::set<std::shared_ptr<delivery>> mCalls;
  bool mIsStopped = false;

  /** Registers a new call; false after `Stop`. */
  bool BeginCall(const std::shared_ptr<delivery>& aCall)
  {
    std::lock_guard guard(mLock);
    if (!mIsStopped) {
      mCalls.insert(aCall);
    }
    return !mIsStopped;
  }

  void EndCall(const std::shared_ptr<delivery>& aCall)
  {
    std::lock_guard guard(mLock);
    mCalls.erase(aCall);
    mCallEnded.notify_all();
  }
};

raft_transport::raft_transport(std::shared_ptr<state> aState)
  : mState(std::move(aState))
{
}

raft_transport
raft_transport::Create(std::map<host_id, std::string> aAddresses)
{
  auto made = std::make_shared<state>();
  made->mAddresses = std::move(aAddresses);
  return raft_transport(std::move(made));
}

void
raft_transport::Stop()
{
  std::unique_lock guard(mState->mLock);
  mState->mIsStopped = true;
  for (const auto& call : mState->mCalls) {
    call->mContext.TryCancel();
  }
  mState->mCallEnded.wait(guard, [&] { return mState->mCalls.empty(); });
}

void
raft_transport::Send(std::vector<raft_message> aMessages)
{
  std::map<host_id, std::vector<raft_message>> messagesByHost;
  for (raft_message& message : aMessages) {
    host_id host = message.mTo.mHost;
    messagesByHost[host].push_back(std::move(message));
  }
  for (auto& [host, messages] : messagesByHost) {
    if (!AddressOf(mState->mAddresses, host)) {
      continue;
    }
    mState->mLinks.Update(host, [&queued = messages](peer_link& aLink) {
      for (raft_message& message : queued) {
        aLink.mQueue.Push(std::move(message));
      }
    });
    SendNext(mState, host);
  }
}

void
raft_transport::OnContact(const host_id& aHost, steady_time aNow)
{
  std::shared_ptr<delivery> stuck;
  mState->mLinks.UpdateIfPresent(aHost, [&](peer_link& aLink) {
    bool isConnecting = aLink.mChannel != nullptr &&
                        aLink.mChannel->GetState(false) != GRPC_CHANNEL_READY;
    if (isConnecting && aNow - aLink.mChannelOpenedAt >= kMinAttemptAge) {
      aLink.mChannel.reset();
      stuck = aLink.mCall;
    }
  });
  if (stuck != nullptr) {
    stuck->mContext.TryCancel();
  }
}

void
raft_transport::CloseOthers(const std::set<host_id>& aMembers)
{
  // The link stays, so that a lost peer is not logged again.
  mState->mLinks.ForEach([&](const host_id& aHost, peer_link& aLink) {
    bool isIdle = aLink.mCall == nullptr && aLink.mQueue.IsEmpty();
    if (isIdle && !aMembers.contains(aHost)) {
      aLink.mChannel.reset();
    }
  });
}

void
raft_transport::SendNext(const std::shared_ptr<state>& aState,
                         const host_id& aHost)
{
  std::vector<raft_message> messages;
  std::shared_ptr<grpc::Channel> channel;
  std::shared_ptr<delivery> call;
  aState->mLinks.Update(aHost, [&](peer_link& aLink) {
    if (aLink.mCall != nullptr || aLink.mQueue.IsEmpty()) {
      return;
    }
    call = std::make_shared<delivery>();
    aLink.mCall = call;
    messages = aLink.mQueue.Take(kMaxMessagesPerCall, kMaxBytesPerCall);
    if (aLink.mChannel == nullptr) {
      aLink.mChannel = OpenChannel(*AddressOf(aState->mAddresses, aHost));
      aLink.mChannelOpenedAt = std::chrono::steady_clock::now();
    }
    channel = aLink.mChannel;
  });
  if (call == nullptr) {
    return;
  }
  if (!aState->BeginCall(call)) {
    return;
  }
  std::uint64_t bytes = 0;
  for (const raft_message& message : messages) {
    bytes += PayloadBytes(message);
    WriteMessage(message, *call->mRequest.add_messages());
  }
  call->mStub = wire::Control::NewStub(channel);
  milliseconds timeout = kCallTimeout + kCallTimePerMebibyte * (bytes >> 20U);
  call->mContext.set_deadline(std::chrono::system_clock::now() + timeout);
  call->mStub->async()->Deliver(
    &call->mContext,
    &call->mRequest,
    &call->mReply,
    [aState, aHost, call](const grpc::Status& aStatus) {
      aState->mLinks.Update(aHost, [&](peer_link& aLink) {
        aLink.mCall.reset();
        UpdateReachability(aLink, aHost, aStatus);
        bool hasTimedOut =
          aStatus.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
        bool isReplaced = aLink.mChannel == nullptr;
        if (hasTimedOut && !isReplaced && IsConnectionSilent(*aLink.mChannel)) {
          aLink.mChannel.reset();
        }
      });
      SendNext(aState, aHost);
      aState->EndCall(call);
    });
}

}
