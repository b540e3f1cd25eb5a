#include "drivers/control_client.h"

#include "core/log_event.h"
#include "decisions/group/control_host_list.h"
#include "drivers/grpc_settings.h"
#include "drivers/host_address.h"
#include "drivers/suspended_time.h"
#include "messages/control_codec.h"
#include "messages/refusal_codec.h"
#include "messages/rollout_codec.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <condition_variable>
#include <mutex>

#include <control.grpc.pb.h>
#include <grpcpp/grpcpp.h>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kStatusTimeout{ 1000 };
constexpr milliseconds kRetryDelay{ 50 };
/** Time limit for a report, which is repeated with later counts. */
constexpr milliseconds kReportTimeout{ 500 };
/** Calls until a report has reached the leader: one to a host that names it. */
constexpr int kReportCalls = 2;
/** Time limit for one host to answer a proposal. One that does not may have
 * frozen or be cut off, and the group may have another leader by then. */
constexpr milliseconds kAttemptTimeout{ 1000 };
/** Time from the beginning of a heartbeat round until a command that names it
 * can be sent: the interval of the rounds and the way here. */
constexpr milliseconds kRoundAge{ 300 };

template<typename request, typename reply>
struct unary_call
{
  grpc::ClientContext mContext;
  request mRequest;
  reply mReply;
  std::unique_ptr<wire::Control::Stub> mStub;
};

template<typename request, typename reply>
using unary_start = std::function<void(unary_call<request, reply>&,
                                       std::function<void(grpc::Status)>)>;

}

struct control_client::state
{
  asio::any_io_executor mExecutor;
  control_client_hooks mHooks;
  /** Addresses of the hosts that are not named by their address. */
  std::map<host_id, std::string> mAddresses;
  std::mutex mLock;
  control_host_list mHosts;
  std::map<host_id, std::shared_ptr<grpc::Channel>> mChannels;
  host_id mLeader;
  std::condition_variable mCallEnded;
  std::map<std::uint64_t, grpc::ClientContext*> mCalls;
  std::uint64_t mNextCall = 1;
  /** Number of reports that reached no leader, to ask another host next. */
  std::size_t mLostReports = 0;
  bool mIsStopped = false;

  /** Registers a new call and returns its number; none after `Stop`. */
  std::optional<std::uint64_t> BeginCall(grpc::ClientContext& aContext)
  {
    std::lock_guard guard(mLock);
    if (mIsStopped) {
      return std::nullopt;
    }
    mCalls[mNextCall] = &aContext;
    return mNextCall++;
  }

  void EndCall(std::uint64_t aCall)
  {
    std::lock_guard guard(mLock);
    mCalls.erase(aCall);
    mCallEnded.notify_all();
  }

  std::shared_ptr<grpc::Channel> Channel(const host_id& aHost)
  {
    std::lock_guard guard(mLock);
    auto& channel = mChannels[aHost];
    if (channel == nullptr) {
      channel = OpenChannel(AddressOf(mAddresses, aHost).value_or(""));
    }
    return channel;
  }

  /** Replaces the connection to a host after a call that timed out on it. */
  void DropSilentChannel(const host_id& aHost)
  {
    std::lock_guard guard(mLock);
    auto found = mChannels.find(aHost);
    if (found != mChannels.end() && IsConnectionSilent(*found->second)) {
      mChannels.erase(found);
    }
  }

  /** The host for the next try: the leader if known, else in rotation; empty
   * while no host is known. */
  host_id Target(std::size_t aTry)
  {
    std::lock_guard guard(mLock);
    return mHosts.Contains(mLeader) ? mLeader : mHosts.At(aTry);
  }

  /** Keeps a host in the list, and no channel to those that this makes it
   * forget; needs the lock. */
  void Learn(const host_id& aHost)
  {
    if (!AddressOf(mAddresses, aHost) || !mHosts.Learn(aHost)) {
      return;
    }
    log_event("control_host_learned").Add("host", aHost.mValue);
    std::erase_if(mChannels, [&](const auto& aEntry) {
      return !mHosts.Contains(aEntry.first);
    });
  }

  void SetLeader(host_id aLeader)
  {
    std::lock_guard guard(mLock);
    Learn(aLeader);
    mLeader = std::move(aLeader);
  }

  /** Makes one call to one host; returns no reply if it failed. */
  template<typename request, typename reply>
  asio::awaitable<std::optional<reply>> Call(host_id aHost,
                                             request aRequest,
                                             milliseconds aTimeout,
                                             unary_start<request, reply> aStart)
  {
    auto call = std::make_shared<unary_call<request, reply>>();
    call->mRequest = std::move(aRequest);
    call->mStub = wire::Control::NewStub(Channel(aHost));
    call->mContext.set_deadline(std::chrono::system_clock::now() + aTimeout);
    auto executor = co_await asio::this_coro::executor;
    auto number = BeginCall(call->mContext);
    if (!number) {
      co_return std::nullopt;
    }
    auto initiate = [this, call, executor, number, &aStart](auto aHandler) {
      auto shared = std::make_shared<decltype(aHandler)>(std::move(aHandler));
      aStart(
        *call,
        [this, call, shared, executor, number](const grpc::Status& aStatus) {
          asio::post(executor, [shared, aStatus] {
            (*shared)(static_cast<int>(aStatus.error_code()));
          });
          EndCall(*number);
        });
    };
    int code =
      co_await asio::async_initiate<const asio::use_awaitable_t<>&, void(int)>(
        initiate, asio::use_awaitable);
    if (code == grpc::StatusCode::DEADLINE_EXCEEDED) {
      DropSilentChannel(aHost);
    }
    if (code != grpc::StatusCode::OK) {
      co_return std::nullopt;
    }
    co_return std::move(call->mReply);
  }
};

control_client::control_client(std::shared_ptr<state> aState)
  : mState(std::move(aState))
{
}

control_client
control_client::Create(asio::any_io_executor aExecutor,
                       std::map<host_id, std::string> aAddresses,
                       control_client_hooks aHooks)
{
  auto made = std::make_shared<state>();
  made->mHooks = std::move(aHooks);
  made->mExecutor = std::move(aExecutor);
  std::set<host_id> configured;
  for (const auto& [host, address] : aAddresses) {
    configured.insert(host);
  }
  made->mHosts = control_host_list::Create(std::move(configured));
  made->mAddresses = std::move(aAddresses);
  return control_client(std::move(made));
}

void
control_client::Stop()
{
  std::unique_lock guard(mState->mLock);
  mState->mIsStopped = true;
  for (auto& [number, context] : mState->mCalls) {
    context->TryCancel();
  }
  mState->mCallEnded.wait(guard, [&] { return mState->mCalls.empty(); });
}

void
control_client::LearnHosts(const std::vector<host_id>& aHosts)
{
  std::lock_guard guard(mState->mLock);
  for (const host_id& host : aHosts) {
    mState->Learn(host);
  }
}

void
control_client::SetLeader(host_id aLeader)
{
  mState->SetLeader(std::move(aLeader));
}

std::vector<host_id>
control_client::Hosts() const
{
  std::lock_guard guard(mState->mLock);
  return mState->mHosts.Hosts();
}

asio::awaitable<propose_result>
control_client::ProposeOnce(host_id aHost,
                            const change_command& aCommand,
                            milliseconds aTimeout)
{
  using call = unary_call<wire::ProposeRequest, wire::ProposeReply>;
  wire::ProposeRequest request;
  WriteCommand(aCommand, *request.mutable_command());
  if (mState->mHooks.mLatestRound) {
    leader_round heard = mState->mHooks.mLatestRound();
    request.set_leader_term(heard.mTerm);
    request.set_leader_round(heard.mNumber);
    request.set_max_age_ms(
      static_cast<std::uint64_t>((aTimeout + kRoundAge).count()));
  }
  unary_start<wire::ProposeRequest, wire::ProposeReply> start =
    [](call& aCall, std::function<void(grpc::Status)> aDone) {
      aCall.mStub->async()->Propose(
        &aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aDone));
    };
  auto reply = co_await mState->Call<wire::ProposeRequest, wire::ProposeReply>(
    aHost, std::move(request), aTimeout, start);
  propose_result proposed;
  if (!reply) {
    co_return proposed;
  }
  proposed.mStatus = static_cast<propose_status>(reply->status());
  proposed.mLeader.mValue = reply->leader_host();
  for (const wire::Outcome& outcome : reply->outcomes()) {
    auto read = ReadOutcome(outcome);
    if (!read) {
      co_return propose_result{};
    }
    proposed.mOutcomes.push_back(std::move(read.value()));
  }
  co_return proposed;
}

asio::awaitable<result<std::vector<change_outcome>, control_client_error>>
control_client::Propose(change_command aCommand, steady_time aDeadline)
{
  asio::steady_timer retryTimer(co_await asio::this_coro::executor);
  milliseconds suspendedBefore = SuspendedTime();
  for (std::size_t tries = 0;; ++tries) {
    // The caller's time also passes while this machine is suspended.
    auto left = std::chrono::duration_cast<milliseconds>(
      aDeadline - std::chrono::steady_clock::now() -
      (SuspendedTime() - suspendedBefore));
    if (left <= milliseconds(0)) {
      co_return Fail(
        control_client_error::NoLeader,
        "No control host evaluated the change before the deadline.");
    }
    if (mState->mHooks.mIsCutOff && mState->mHooks.mIsCutOff()) {
      log_event("proposal_refused", log_event::severity::Warning)
        .Add("cause", NameOf(control_client_error::CutOff))
        .Add("left_ms", left.count());
      co_return Fail(control_client_error::CutOff,
                     "No leader reaches this control host.");
    }
    host_id target = mState->Target(tries);
    propose_result proposed;
    if (!target.IsEmpty()) {
      proposed =
        co_await ProposeOnce(target, aCommand, std::min(left, kAttemptTimeout));
    }
    if (proposed.mStatus == propose_status::Applied) {
      mState->SetLeader(target);
      co_return std::move(proposed.mOutcomes);
    }
    // A host that names itself as the leader but did not apply the command has
    // just lost its leadership.
    bool namesOtherLeader =
      !proposed.mLeader.IsEmpty() && proposed.mLeader != target;
    mState->SetLeader(namesOtherLeader ? proposed.mLeader : host_id{});
    if (!namesOtherLeader) {
      retryTimer.expires_after(kRetryDelay);
      co_await retryTimer.async_wait(asio::use_awaitable);
    }
  }
}

asio::awaitable<std::optional<change_outcome>>
control_client::ProposeOne(record_change aChange,
                           std::optional<log_index> aIfVersion,
                           steady_time aDeadline)
{
  change_command command;
  command.mIfVersion = aIfVersion;
  command.mChanges.push_back(std::move(aChange));
  auto outcomes = co_await Propose(std::move(command), aDeadline);
  if (!outcomes || outcomes.value().size() != 1) {
    co_return std::nullopt;
  }
  co_return std::move(outcomes.value().front());
}

asio::awaitable<std::vector<wire::StatusReply>>
control_client::Status()
{
  using call = unary_call<wire::StatusRequest, wire::StatusReply>;
  std::vector<wire::StatusReply> replies;
  unary_start<wire::StatusRequest, wire::StatusReply> start =
    [](call& aCall, std::function<void(grpc::Status)> aDone) {
      aCall.mStub->async()->Status(
        &aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aDone));
    };
  for (const host_id& host : Hosts()) {
    auto reply = co_await mState->Call<wire::StatusRequest, wire::StatusReply>(
      host, {}, kStatusTimeout, start);
    if (reply) {
      replies.push_back(std::move(*reply));
    }
  }
  co_return replies;
}

asio::awaitable<result<std::uint64_t, control_client_error>>
control_client::StoreRefusals(host_id aHost, const refusal_batch& aBatch)
{
  using call = unary_call<wire::RefusalBatch, wire::RefusalAck>;
  wire::RefusalBatch request;
  WriteRefusals(aBatch, request);
  unary_start<wire::RefusalBatch, wire::RefusalAck> start =
    [](call& aCall, std::function<void(grpc::Status)> aDone) {
      aCall.mStub->async()->StoreRefusals(
        &aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aDone));
    };
  auto reply = co_await mState->Call<wire::RefusalBatch, wire::RefusalAck>(
    aHost, std::move(request), kStatusTimeout, start);
  if (!reply) {
    co_return Fail(control_client_error::Refused,
                   aHost.mValue + " did not store the refusals.");
  }
  co_return reply->synced_number();
}

asio::awaitable<std::vector<refusal_batch>>
control_client::ReadRefusals(wall_ms aFrom)
{
  using call = unary_call<wire::RefusalQuery, wire::RefusalReport>;
  std::vector<refusal_batch> batches;
  unary_start<wire::RefusalQuery, wire::RefusalReport> start =
    [](call& aCall, std::function<void(grpc::Status)> aDone) {
      aCall.mStub->async()->ReadRefusals(
        &aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aDone));
    };
  wire::RefusalQuery query;
  query.set_from_ms(aFrom);
  for (const host_id& host : Hosts()) {
    auto reply = co_await mState->Call<wire::RefusalQuery, wire::RefusalReport>(
      host, query, kStatusTimeout, start);
    if (!reply) {
      continue;
    }
    for (const wire::RefusalBatch& batch : reply->batches()) {
      batches.push_back(hibiscusspool::ReadRefusals(batch));
    }
  }
  co_return batches;
}

asio::awaitable<std::optional<rollout_receipt>>
control_client::ReportRollouts(const std::vector<rollout_report>& aReports)
{
  using call = unary_call<wire::ReportRolloutRequest, wire::ReportRolloutReply>;
  unary_start<wire::ReportRolloutRequest, wire::ReportRolloutReply> start =
    [](call& aCall, std::function<void(grpc::Status)> aDone) {
      aCall.mStub->async()->ReportRollout(
        &aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aDone));
    };
  wire::ReportRolloutRequest request;
  for (const rollout_report& report : aReports) {
    WriteRolloutReport(report, *request.add_reports());
  }
  for (int calls = 0; calls < kReportCalls; ++calls) {
    host_id target = mState->Target(mState->mLostReports);
    if (target.IsEmpty()) {
      co_return std::nullopt;
    }
    auto reply = co_await mState
                   ->Call<wire::ReportRolloutRequest, wire::ReportRolloutReply>(
                     target, request, kReportTimeout, start);
    if (reply && reply->is_leader()) {
      mState->SetLeader(target);
      rollout_receipt receipt{ true, target, reply->term() };
      co_return receipt;
    }
    host_id leader;
    if (reply && reply->leader_host() != target.mValue) {
      leader.mValue = reply->leader_host();
    }
    bool isNamed = !leader.IsEmpty();
    mState->SetLeader(std::move(leader));
    if (!isNamed) {
      ++mState->mLostReports;
      co_return std::nullopt;
    }
  }
  co_return std::nullopt;
}

asio::awaitable<std::optional<wire::ProbeReply>>
control_client::Probe(host_id aHost)
{
  using call = unary_call<wire::ProbeRequest, wire::ProbeReply>;
  unary_start<wire::ProbeRequest, wire::ProbeReply> start =
    [](call& aCall, std::function<void(grpc::Status)> aDone) {
      aCall.mStub->async()->Probe(
        &aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aDone));
    };
  co_return co_await mState->Call<wire::ProbeRequest, wire::ProbeReply>(
    aHost, {}, kStatusTimeout, start);
}

}
