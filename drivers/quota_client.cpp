#include "drivers/quota_client.h"

#include "core/log_event.h"
#include "drivers/grpc_settings.h"
#include "messages/quota_codec.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <condition_variable>
#include <map>
#include <mutex>

#include <grpcpp/grpcpp.h>
#include <quota.grpc.pb.h>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

/** Time limit for a host to confirm a notice, after which another one passes it
 * on. */
constexpr milliseconds kNoticeTimeout{ 150 };

template<typename request, typename reply>
struct quota_call
{
  std::unique_ptr<wire::Quotas::Stub> mStub;
  grpc::ClientContext mContext;
  request mRequest;
  reply mReply;
};

template<typename request, typename reply>
using quota_start = std::function<void(quota_call<request, reply>&,
                                       std::function<void(grpc::Status)>)>;

void
LogFailure(const host_id& aHost, std::string_view aMessage, int aCode)
{
  log_event("quota_message_failed", log_event::severity::Warning)
    .Add("host", aHost.mValue)
    .Add("message", aMessage)
    .Add("code", aCode);
}

}

struct quota_client::state
{
  quota_client_hooks mHooks;
  std::mutex mLock;
  std::condition_variable mEnded;
  std::map<std::uint64_t, grpc::ClientContext*> mCalls;
  std::uint64_t mNextCall = 1;
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
    mEnded.notify_all();
  }

  /** Makes one call; returns no reply if it failed. The name is a literal. */
  template<typename request, typename reply>
  asio::awaitable<std::optional<reply>> Call(std::string_view aName,
                                             quota_target aTarget,
                                             request aRequest,
                                             milliseconds aTimeout,
                                             quota_start<request, reply> aStart)
  {
    auto call = std::make_shared<quota_call<request, reply>>();
    call->mRequest = std::move(aRequest);
    auto channel = mHooks.mChannel(aTarget.mHost, aTarget.mAddress);
    call->mStub = wire::Quotas::NewStub(channel);
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
    if (code == grpc::StatusCode::OK) {
      co_return std::move(call->mReply);
    }
    LogFailure(aTarget.mHost, aName, code);
    bool isSilent = code == grpc::StatusCode::DEADLINE_EXCEEDED &&
                    IsConnectionSilent(*channel);
    if (isSilent) {
      mHooks.mDropChannel(aTarget.mHost);
    }
    co_return std::nullopt;
  }
};

quota_client::quota_client(std::shared_ptr<state> aState)
  : mState(std::move(aState))
{
}

quota_client
quota_client::Create(quota_client_hooks aHooks)
{
  auto made = std::make_shared<state>();
  made->mHooks = std::move(aHooks);
  return quota_client(std::move(made));
}

asio::awaitable<std::optional<quota_reply>>
quota_client::Exchange(quota_message aMessage) const
{
  std::shared_ptr<state> self = mState;
  wire::QuotaRequest request;
  WriteQuotaRequest(aMessage.mRequest, request);
  quota_start<wire::QuotaRequest, wire::QuotaReply> start =
    [](auto& aCall, std::function<void(grpc::Status)> aDone) {
      aCall.mStub->async()->Exchange(
        &aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aDone));
    };
  auto reply = co_await self->Call<wire::QuotaRequest, wire::QuotaReply>(
    "request", aMessage.mTarget, std::move(request), aMessage.mTimeout, start);
  if (!reply) {
    co_return std::nullopt;
  }
  auto read = ReadQuotaReply(*reply);
  if (!read) {
    log_event("quota_reply_malformed", log_event::severity::Warning)
      .Add("host", aMessage.mTarget.mHost.mValue)
      .Add("cause", read.error().mDetail);
    co_return std::nullopt;
  }
  co_return std::move(read.value());
}

asio::awaitable<bool>
quota_client::Notify(quota_notice_message aMessage) const
{
  std::shared_ptr<state> self = mState;
  wire::QuotaNotice notice;
  WriteQuotaNotice(aMessage.mNotice, notice);
  quota_start<wire::QuotaNotice, wire::QuotaNoticeReply> start =
    [](auto& aCall, std::function<void(grpc::Status)> aDone) {
      aCall.mStub->async()->Notify(
        &aCall.mContext, &aCall.mRequest, &aCall.mReply, std::move(aDone));
    };
  auto reply = co_await self->Call<wire::QuotaNotice, wire::QuotaNoticeReply>(
    "notice", aMessage.mTarget, std::move(notice), kNoticeTimeout, start);
  co_return reply.has_value();
}

void
quota_client::Stop() const
{
  std::unique_lock guard(mState->mLock);
  mState->mIsStopped = true;
  for (auto& [number, context] : mState->mCalls) {
    context->TryCancel();
  }
  mState->mEnded.wait(guard, [&] { return mState->mCalls.empty(); });
}

}
