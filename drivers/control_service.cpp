#include "drivers/control_service.h"

#include "core/log_event.h"
#include "drivers/rpc_server.h"
#include "messages/control_codec.h"
#include "messages/raft_codec.h"
#include "messages/refusal_codec.h"
#include "messages/rollout_codec.h"

#include <algorithm>
#include <mutex>
#include <optional>

#include <control.grpc.pb.h>
#include <grpcpp/grpcpp.h>
#include <grpcpp/support/byte_buffer.h>

namespace hibiscusspool {

namespace {

/** Time that calls in progress get to end at a stop. */
constexpr milliseconds kStopTimeout{ 1000 };
/** Time that a call without a deadline, or with a very late one, may wait. */
constexpr milliseconds kMaxCallTime{ 60'000 };

grpc::Status
BadMessage(const failure<codec_error>& aError)
{
  return { grpc::StatusCode::INVALID_ARGUMENT, aError.mDetail };
}

/**
 * The encoded message of a watch stream. The changes are encoded already; in
 * the encoding, concatenated messages are one message with the fields of all.
 */
grpc::ByteBuffer
ToBytes(const watch_message& aMessage)
{
  wire::WatchDown head;
  head.set_replace(aMessage.mIsFullState);
  head.set_index(aMessage.mIndex);
  head.set_confirmed_mark(aMessage.mConfirmedMark);
  head.set_has_majority(aMessage.mHasMajority);
  head.set_cut_off(aMessage.mIsCutOff);
  for (const control_host& host : aMessage.mControlHosts) {
    head.add_control_hosts(host.mHost.mValue);
    head.add_control_domains(host.mFailureDomain.mValue);
  }
  std::vector<grpc::Slice> slices{ grpc::Slice(head.SerializeAsString()) };
  for (const encoded_changes& changes : aMessage.mChanges) {
    // The slice shares the bytes and keeps them alive.
    auto* owner = new encoded_changes(changes);
    slices.emplace_back(
      const_cast<char*>(changes->data()),
      changes->size(),
      [](void* aOwner) { delete static_cast<encoded_changes*>(aOwner); },
      owner);
  }
  return { slices.data(), slices.size() };
}

/**
 * The server's end of a daemon's watch stream. It receives callbacks from gRPC
 * and wake-ups from the watch hub, and deletes itself when the stream is done.
 */
class watch_reactor
  : public grpc::ServerBidiReactor<grpc::ByteBuffer, grpc::ByteBuffer>
{
  /** Makes wake-ups after the end of the stream have no effect. */
  struct wake_gate
  {
    std::mutex mLock;
    watch_reactor* mReactor = nullptr;
  };

  const control_service_hooks& mHooks;
  std::shared_ptr<wake_gate> mGate = std::make_shared<wake_gate>();
  grpc::ByteBuffer mReceived;
  grpc::ByteBuffer mSent;
  wire::WatchUp mUp;
  stream_id mStream = 0;
  bool mIsWriting = false;
  bool mIsFinished = false;

  void FinishOnce(const grpc::Status& aStatus)
  {
    {
      std::lock_guard guard(mGate->mLock);
      if (mIsFinished) {
        return;
      }
      mIsFinished = true;
      mGate->mReactor = nullptr;
    }
    Finish(aStatus);
  }

  bool OpenStream()
  {
    auto hello = ReadEntryHost(mUp.hello());
    if (!mUp.has_hello() || !hello) {
      return false;
    }
    std::weak_ptr<wake_gate> gate = mGate;
    mStream = mHooks.mOpenStream(
      hello.value(), mUp.held_index(), [gate] { Wake(gate); });
    return true;
  }

  static void Wake(const std::weak_ptr<wake_gate>& aGate)
  {
    auto gate = aGate.lock();
    if (!gate) {
      return;
    }
    std::lock_guard guard(gate->mLock);
    if (gate->mReactor != nullptr) {
      gate->mReactor->WriteNext();
    }
  }

  /** Starts a write unless one is in progress; needs the gate's lock. */
  void WriteNext()
  {
    if (mIsWriting || mIsFinished || mStream == 0) {
      return;
    }
    auto message = mHooks.mNextMessage(mStream);
    if (!message) {
      return;
    }
    mSent = ToBytes(*message);
    mIsWriting = true;
    StartWrite(&mSent);
  }

public:
  explicit watch_reactor(const control_service_hooks& aHooks)
    : mHooks(aHooks)
  {
    mGate->mReactor = this;
    StartRead(&mReceived);
  }

  void OnReadDone(bool aIsOk) override
  {
    if (!aIsOk) {
      FinishOnce(grpc::Status::OK);
      return;
    }
    mUp.Clear();
    if (!grpc::SerializationTraits<wire::WatchUp>::Deserialize(&mReceived, &mUp)
           .ok()) {
      FinishOnce({ grpc::StatusCode::INVALID_ARGUMENT,
                   "A message of the watch stream can't be decoded." });
      return;
    }
    if (mStream == 0 && !OpenStream()) {
      FinishOnce({ grpc::StatusCode::INVALID_ARGUMENT,
                   "The first message of a watch stream must contain the "
                   "daemon's record." });
      return;
    }
    mHooks.mReceiveReport(mStream,
                          { mUp.mark(),
                            mUp.held_index(),
                            milliseconds(mUp.confirmed_age_ms()),
                            mUp.usable() });
    Wake(mGate);
    StartRead(&mReceived);
  }

  void OnWriteDone(bool aIsOk) override
  {
    if (!aIsOk) {
      FinishOnce(grpc::Status::OK);
      return;
    }
    std::lock_guard guard(mGate->mLock);
    mIsWriting = false;
    WriteNext();
  }

  void OnCancel() override { FinishOnce(grpc::Status::CANCELLED); }

  void OnDone() override
  {
    if (mStream != 0) {
      mHooks.mCloseStream(mStream);
    }
    delete this;
  }
};

using callback_service = wire::Control::WithRawCallbackMethod_Watch<
  wire::Control::WithCallbackMethod_Deliver<
    wire::Control::WithCallbackMethod_Probe<
      wire::Control::WithCallbackMethod_Propose<
        wire::Control::WithCallbackMethod_Status<
          wire::Control::WithCallbackMethod_StoreRefusals<
            wire::Control::WithCallbackMethod_ReadRefusals<
              wire::Control::WithCallbackMethod_ReportRollout<
                wire::Control::Service>>>>>>>>;

class control_callback_service : public callback_service
{
  control_service_hooks mHooks;

public:
  explicit control_callback_service(control_service_hooks aHooks)
    : mHooks(std::move(aHooks))
  {
  }

  grpc::ServerUnaryReactor* Deliver(grpc::CallbackServerContext* aContext,
                                    const wire::DeliverRequest* aRequest,
                                    wire::DeliverReply* /*aReply*/) override
  {
    auto* reactor = aContext->DefaultReactor();
    std::vector<raft_message> messages;
    for (const wire::RaftMessage& message : aRequest->messages()) {
      auto read = ReadMessage(message);
      if (!read) {
        reactor->Finish(BadMessage(read.error()));
        return reactor;
      }
      messages.push_back(std::move(read.value()));
    }
    mHooks.mReceiveMessages(std::move(messages));
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  grpc::ServerUnaryReactor* Probe(grpc::CallbackServerContext* aContext,
                                  const wire::ProbeRequest* /*aRequest*/,
                                  wire::ProbeReply* aReply) override
  {
    probe_result probe = mHooks.mProbe();
    WritePeerId(probe.mSelf, *aReply->mutable_self());
    aReply->set_empty(probe.mIsEmpty);
    aReply->set_failure_domain(probe.mFailureDomain.mValue);
    for (const host_id& host : probe.mGroup) {
      aReply->add_group(host.mValue);
    }
    auto* reactor = aContext->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  /** The time until which the caller waits. */
  [[nodiscard]] steady_time DeadlineOf(
    const grpc::CallbackServerContext& aContext) const
  {
    auto left = aContext.deadline() - std::chrono::system_clock::now();
    auto longest = std::chrono::duration_cast<decltype(left)>(kMaxCallTime);
    return mHooks.mSteadyNow() + std::min(left, longest);
  }

  static std::optional<proposal_age> AgeOf(const wire::ProposeRequest& aRequest)
  {
    if (aRequest.leader_term() == 0) {
      return std::nullopt;
    }
    auto max =
      std::min<std::uint64_t>(aRequest.max_age_ms(), kMaxCallTime.count());
    return proposal_age{ { aRequest.leader_term(), aRequest.leader_round() },
                         milliseconds(static_cast<std::int64_t>(max)) };
  }

  grpc::ServerUnaryReactor* Propose(grpc::CallbackServerContext* aContext,
                                    const wire::ProposeRequest* aRequest,
                                    wire::ProposeReply* aReply) override
  {
    auto* reactor = aContext->DefaultReactor();
    auto command = ReadCommand(aRequest->command());
    if (!command) {
      reactor->Finish(BadMessage(command.error()));
      return reactor;
    }
    mHooks.mPropose(
      std::move(command.value()),
      [reactor, aReply](propose_result aResult) {
        aReply->set_status(static_cast<wire::ProposeStatus>(aResult.mStatus));
        aReply->set_leader_host(aResult.mLeader.mValue);
        for (const change_outcome& outcome : aResult.mOutcomes) {
          WriteOutcome(outcome, *aReply->add_outcomes());
        }
        reactor->Finish(grpc::Status::OK);
      },
      DeadlineOf(*aContext),
      AgeOf(*aRequest));
    return reactor;
  }

  grpc::ServerBidiReactor<grpc::ByteBuffer, grpc::ByteBuffer>* Watch(
    grpc::CallbackServerContext* /*aContext*/) override
  {
    return new watch_reactor(mHooks);
  }

  grpc::ServerUnaryReactor* Status(grpc::CallbackServerContext* aContext,
                                   const wire::StatusRequest* /*aRequest*/,
                                   wire::StatusReply* aReply) override
  {
    control_group_status status = mHooks.mStatus();
    aReply->set_host(status.mSelf.mHost.mValue);
    aReply->set_role(std::string(NameOf(status.mRole)));
    aReply->set_leader(status.mLeader.mValue);
    aReply->set_term(status.mTerm);
    aReply->set_commit_index(status.mCommit);
    aReply->set_claims(status.mClaims);
    aReply->set_servers(status.mServers);
    for (const raft_peer& peer : status.mPeers) {
      wire::MemberStatus& member = *aReply->add_members();
      member.set_host(peer.mId.mHost.mValue);
      member.set_disk(peer.mId.mDisk.mValue);
      member.set_voter(peer.mIsVoter);
    }
    if (status.mRole == raft_role::Leader) {
      wire::GroupStrength& strength = *aReply->mutable_strength();
      strength.set_voters(status.mStrength.mVoters);
      strength.set_reachable_voters(status.mStrength.mReachableVoters);
      strength.set_spare_voters(status.mStrength.Spare());
      strength.set_learners(status.mStrength.mLearners);
    }
    WriteDaemons(*aReply);
    auto* reactor = aContext->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  grpc::ServerUnaryReactor* StoreRefusals(grpc::CallbackServerContext* aContext,
                                          const wire::RefusalBatch* aRequest,
                                          wire::RefusalAck* aReply) override
  {
    auto* reactor = aContext->DefaultReactor();
    auto synced = mHooks.mStoreRefusals(hibiscusspool::ReadRefusals(*aRequest));
    if (!synced) {
      reactor->Finish({ grpc::StatusCode::UNAVAILABLE,
                        "The refusals could not be written to disk." });
      return reactor;
    }
    aReply->set_synced_number(*synced);
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  grpc::ServerUnaryReactor* ReadRefusals(grpc::CallbackServerContext* aContext,
                                         const wire::RefusalQuery* aRequest,
                                         wire::RefusalReport* aReply) override
  {
    for (const refusal_batch& batch :
         mHooks.mReadRefusals(aRequest->from_ms())) {
      WriteRefusals(batch, *aReply->add_batches());
    }
    auto* reactor = aContext->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  grpc::ServerUnaryReactor* ReportRollout(
    grpc::CallbackServerContext* aContext,
    const wire::ReportRolloutRequest* aRequest,
    wire::ReportRolloutReply* aReply) override
  {
    auto* reactor = aContext->DefaultReactor();
    std::vector<rollout_report> reports;
    for (const wire::RolloutReport& report : aRequest->reports()) {
      auto read = ReadRolloutReport(report);
      if (!read) {
        reactor->Finish(BadMessage(read.error()));
        return reactor;
      }
      reports.push_back(std::move(read.value()));
    }
    rollout_receipt receipt = mHooks.mReportRollouts(reports);
    aReply->set_is_leader(receipt.mIsLeader);
    aReply->set_leader_host(receipt.mLeader.mValue);
    aReply->set_term(receipt.mTerm);
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

private:
  void WriteDaemons(wire::StatusReply& aReply)
  {
    steady_time now = mHooks.mSteadyNow();
    for (const daemon_status& daemon : mHooks.mDaemons()) {
      wire::DaemonStatus& out = *aReply.add_daemons();
      WriteEntryHost(daemon.mHost, *out.mutable_host());
      out.set_held_index(daemon.mReport.mAppliedIndex);
      out.set_confirmed_age_ms(
        static_cast<std::uint64_t>(daemon.mReport.mConfirmedAge.count()));
      auto ago =
        std::chrono::duration_cast<milliseconds>(now - daemon.mLastMessageAt);
      out.set_heard_ms_ago(static_cast<std::uint64_t>(ago.count()));
    }
  }
};

}

struct control_service::state
{
  control_callback_service mService;
  std::optional<rpc_server> mServer;

  explicit state(control_service_hooks aHooks)
    : mService(std::move(aHooks))
  {
  }
};

control_service::control_service(std::unique_ptr<state> aState)
  : mState(std::move(aState))
{
}

control_service::control_service(control_service&&) noexcept = default;
control_service&
control_service::operator=(control_service&&) noexcept = default;
control_service::~control_service() = default;

result<control_service, control_service_error>
control_service::Create(boost::asio::io_context& aContext,
                        const std::string& aAddress,
                        control_service_hooks aHooks)
{
  auto made = std::make_unique<state>(std::move(aHooks));
  auto server = rpc_server::Create(aContext, aAddress, made->mService);
  if (!server) {
    return Fail(control_service_error::CannotListen, server.error().mDetail);
  }
  made->mServer.emplace(std::move(server.value()));
  return control_service(std::move(made));
}

void
control_service::Stop()
{
  mState->mServer->Stop(kStopTimeout);
}

}
