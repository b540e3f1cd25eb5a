#include "drivers/subquery_client.h"

#include "core/log_event.h"
#include "drivers/grpc_settings.h"
#include "messages/subquery_codec.h"

#include <boost/asio/post.hpp>

#include <condition_variable>
#include <map>
#include <mutex>

#include <control.grpc.pb.h>
#include <grpcpp/grpcpp.h>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

/** Time after the request's deadline at which a subquery ends in any case. */
constexpr milliseconds kDeadlineReserve{ 200 };

class subquery_reactor;

}

struct subquery_client::state
{
  std::mutex mLock;
  std::condition_variable mEnded;
  std::map<host_id, std::shared_ptr<grpc::Channel>> mChannels;
  std::map<std::uint64_t, std::shared_ptr<grpc::ClientContext>> mCalls;
  std::uint64_t mNextCall = 1;
  bool mIsStopped = false;

  std::shared_ptr<grpc::Channel> Channel(const host_id& aHost,
                                         const std::string& aAddress)
  {
    std::lock_guard guard(mLock);
    auto& channel = mChannels[aHost];
    if (channel == nullptr) {
      channel = OpenChannel(aAddress);
    }
    return channel;
  }

  std::optional<std::uint64_t> BeginCall(
    std::shared_ptr<grpc::ClientContext> aContext)
  {
    std::lock_guard guard(mLock);
    if (mIsStopped) {
      return std::nullopt;
    }
    mCalls[mNextCall] = std::move(aContext);
    return mNextCall++;
  }

  void Cancel(std::uint64_t aCall)
  {
    std::shared_ptr<grpc::ClientContext> context;
    {
      std::lock_guard guard(mLock);
      auto found = mCalls.find(aCall);
      if (found == mCalls.end()) {
        return;
      }
      context = found->second;
    }
    context->TryCancel();
  }

  void EndCall(std::uint64_t aCall)
  {
    std::lock_guard guard(mLock);
    mCalls.erase(aCall);
    mEnded.notify_all();
  }
};

namespace {

/** The client's end of one subquery; deletes itself when it is done. */
class subquery_reactor : public grpc::ClientReadReactor<wire::SubqueryReply>
{
  std::unique_ptr<wire::Subqueries::Stub> mStub;
  std::shared_ptr<grpc::ClientContext> mContext;
  wire::SubqueryRequest mRequest;
  wire::SubqueryReply mReply;
  std::vector<service_id> mServices;
  std::vector<std::string> mPartFields;
  host_id mHost;
  asio::any_io_executor mExecutor;
  subquery_callback mCallback;
  std::function<void()> mOnDone;
  bool mHasLast = false;

public:
  subquery_reactor(std::unique_ptr<wire::Subqueries::Stub> aStub,
                   std::shared_ptr<grpc::ClientContext> aContext,
                   const subquery& aSubquery,
                   host_id aHost,
                   asio::any_io_executor aExecutor,
                   subquery_callback aCallback,
                   std::function<void()> aOnDone)
    : mStub(std::move(aStub))
    , mContext(std::move(aContext))
    , mServices(aSubquery.mServices)
    , mPartFields(aSubquery.mPartFields)
    , mHost(std::move(aHost))
    , mExecutor(std::move(aExecutor))
    , mCallback(std::move(aCallback))
    , mOnDone(std::move(aOnDone))
  {
    WriteSubquery(aSubquery, mRequest);
  }

  void Start()
  {
    mStub->async()->Run(mContext.get(), &mRequest, this);
    StartRead(&mReply);
    StartCall();
  }

  void OnReadDone(bool aIsOk) override
  {
    if (!aIsOk) {
      return;
    }
    auto update = ReadSubqueryUpdate(mReply, mServices, mPartFields);
    if (!update) {
      log_event("subquery_reply_malformed", log_event::severity::Warning)
        .Add("host", mHost.mValue)
        .Add("cause", update.error().mDetail);
      mContext->TryCancel();
      return;
    }
    mHasLast = update.value().mIsLast;
    Deliver(std::move(update.value()));
    StartRead(&mReply);
  }

  void OnDone(const grpc::Status& aStatus) override
  {
    if (!mHasLast) {
      subquery_update last;
      last.mIsLast = true;
      // A host that never had the subquery has asked no server.
      last.mIsRefused =
        aStatus.error_code() == grpc::StatusCode::INVALID_ARGUMENT ||
        aStatus.error_code() == grpc::StatusCode::UNIMPLEMENTED;
      Deliver(std::move(last));
    }
    mOnDone();
    delete this;
  }

private:
  void Deliver(subquery_update aUpdate)
  {
    asio::post(mExecutor,
               [callback = mCallback, update = std::move(aUpdate)]() mutable {
                 callback(std::move(update));
               });
  }
};

}

subquery_client::subquery_client(std::shared_ptr<state> aState)
  : mState(std::move(aState))
{
}

subquery_client
subquery_client::Create()
{
  return subquery_client(std::make_shared<state>());
}

std::function<void()>
subquery_client::Send(const assigned_subquery& aTarget,
                      const subquery& aSubquery,
                      asio::any_io_executor aExecutor,
                      subquery_callback aCallback) const
{
  std::shared_ptr<state> self = mState;
  auto context = std::make_shared<grpc::ClientContext>();
  context->set_deadline(std::chrono::system_clock::now() + aSubquery.mTimeLeft +
                        kDeadlineReserve);
  auto call = self->BeginCall(context);
  if (!call) {
    asio::post(aExecutor, [callback = std::move(aCallback)] {
      subquery_update refused;
      refused.mIsRefused = true;
      refused.mIsLast = true;
      callback(std::move(refused));
    });
    return [] {};
  }
  auto* reactor = new subquery_reactor(
    wire::Subqueries::NewStub(self->Channel(aTarget.mHost, aTarget.mAddress)),
    std::move(context),
    aSubquery,
    aTarget.mHost,
    std::move(aExecutor),
    std::move(aCallback),
    [self, call] { self->EndCall(*call); });
  reactor->Start();
  return [self, call] { self->Cancel(*call); };
}

std::shared_ptr<grpc::Channel>
subquery_client::ChannelTo(const host_id& aHost,
                           const std::string& aAddress) const
{
  return mState->Channel(aHost, aAddress);
}

void
subquery_client::DropChannel(const host_id& aHost) const
{
  std::lock_guard guard(mState->mLock);
  mState->mChannels.erase(aHost);
}

void
subquery_client::Stop() const
{
  std::unique_lock guard(mState->mLock);
  mState->mIsStopped = true;
  for (auto& [number, context] : mState->mCalls) {
    context->TryCancel();
  }
  mState->mEnded.wait(guard, [&] { return mState->mCalls.empty(); });
}

}
