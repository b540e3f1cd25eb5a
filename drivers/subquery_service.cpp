#include "drivers/subquery_service.h"

#include "core/log_event.h"
#include "drivers/rpc_server.h"
#include "messages/subquery_codec.h"

#include <deque>
#include <mutex>

#include <control.grpc.pb.h>
#include <grpcpp/grpcpp.h>

namespace hibiscusspool {

namespace {

/** The server's end of one subquery; deletes itself when it is done. */
class subquery_reactor : public grpc::ServerWriteReactor<wire::SubqueryReply>
{
  /** Makes updates after the end of the call have no effect. */
  struct update_gate
  {
    std::mutex mLock;
    subquery_reactor* mReactor = nullptr;
  };

  std::shared_ptr<update_gate> mGate = std::make_shared<update_gate>();
  std::vector<service_id> mServices;
  std::function<void()> mCancel;
  std::deque<wire::SubqueryReply> mReplies;
  bool mIsWriting = false;
  bool mIsFinished = false;
  bool mIsCancelled = false;

  /** Continues with the next reply; needs the gate's lock. */
  void Continue()
  {
    if (mIsWriting || mIsFinished) {
      return;
    }
    if (mReplies.empty()) {
      return;
    }
    mIsWriting = true;
    if (mReplies.front().last()) {
      mIsFinished = true;
      StartWriteAndFinish(
        &mReplies.front(), grpc::WriteOptions(), grpc::Status::OK);
      return;
    }
    StartWrite(&mReplies.front());
  }

public:
  subquery_reactor() { mGate->mReactor = this; }

  void Start(const wire::SubqueryRequest& aRequest,
             const subquery_handler& aHandler)
  {
    auto read = ReadSubquery(aRequest);
    if (!read) {
      log_event("subquery_malformed", log_event::severity::Warning)
        .Add("cause", read.error().mDetail);
      std::lock_guard guard(mGate->mLock);
      mIsFinished = true;
      Finish({ grpc::StatusCode::INVALID_ARGUMENT, read.error().mDetail });
      return;
    }
    mServices = read.value().mServices;
    std::function<void()> cancel = aHandler(
      std::move(read.value()), [gate = mGate](const subquery_update& aUpdate) {
        std::lock_guard guard(gate->mLock);
        if (gate->mReactor != nullptr) {
          gate->mReactor->Send(aUpdate);
        }
      });
    bool isCancelled = false;
    {
      std::lock_guard guard(mGate->mLock);
      isCancelled = mIsCancelled;
      mCancel = cancel;
    }
    if (isCancelled) {
      cancel();
    }
  }

  void Send(const subquery_update& aUpdate)
  {
    WriteSubqueryUpdate(aUpdate, mServices, mReplies.emplace_back());
    Continue();
  }

  void OnWriteDone(bool aIsOk) override
  {
    std::lock_guard guard(mGate->mLock);
    mIsWriting = false;
    mReplies.pop_front();
    if (mIsFinished) {
      return;
    }
    if (!aIsOk) {
      mIsFinished = true;
      Finish(grpc::Status::CANCELLED);
      return;
    }
    Continue();
  }

  void OnCancel() override
  {
    std::function<void()> cancel;
    {
      std::lock_guard guard(mGate->mLock);
      mIsCancelled = true;
      cancel = mCancel;
      if (!mIsFinished && !mIsWriting) {
        mIsFinished = true;
        Finish(grpc::Status::CANCELLED);
      }
    }
    if (cancel) {
      cancel();
    }
  }

  void OnDone() override
  {
    {
      std::lock_guard guard(mGate->mLock);
      mGate->mReactor = nullptr;
    }
    delete this;
  }
};

class subquery_callback_service : public wire::Subqueries::CallbackService
{
  subquery_handler mHandler;

public:
  explicit subquery_callback_service(subquery_handler aHandler)
    : mHandler(std::move(aHandler))
  {
  }

  grpc::ServerWriteReactor<wire::SubqueryReply>* Run(
    grpc::CallbackServerContext* /*aContext*/,
    const wire::SubqueryRequest* aRequest) override
  {
    auto* reactor = new subquery_reactor();
    reactor->Start(*aRequest, mHandler);
    return reactor;
  }
};

}

struct subquery_service::state
{
  subquery_callback_service mService;
  std::optional<rpc_server> mServer;

  explicit state(subquery_handler aHandler)
    : mService(std::move(aHandler))
  {
  }
};

subquery_service::subquery_service(std::unique_ptr<state> aState)
  : mState(std::move(aState))
{
}

subquery_service::subquery_service(subquery_service&&) noexcept = default;
subquery_service&
subquery_service::operator=(subquery_service&&) noexcept = default;
subquery_service::~subquery_service() = default;

result<subquery_service, subquery_service_error>
subquery_service::Create(boost::asio::io_context& aContext,
                         const std::string& aAddress,
                         subquery_handler aHandler,
                         grpc::Service* aOtherService)
{
  auto made = std::make_unique<state>(std::move(aHandler));
  auto server =
    rpc_server::Create(aContext, aAddress, made->mService, aOtherService);
  if (!server) {
    return Fail(subquery_service_error::CannotListen, server.error().mDetail);
  }
  made->mServer.emplace(std::move(server.value()));
  return subquery_service(std::move(made));
}

void
subquery_service::Stop(milliseconds aTimeout)
{
  mState->mServer->Stop(aTimeout);
}

}
