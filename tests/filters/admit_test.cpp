#include "filters/admit.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

namespace {

namespace asio = boost::asio;
using namespace hibiscusspool;

const steady_time kNow{ std::chrono::hours(1) };

}

TEST_GROUP(admit)
{
  admission_controller mAdmission{ 10 };
  admit_hooks mHooks;
  request_context mRequest;

  void setup() override
  {
    mHooks.mNow = [] { return kNow; };
    mHooks.mServingHosts = [] { return 1U; };
    mHooks.mIsLeaseValid = [](steady_time /*aNow*/) { return true; };
    mRequest.mTeam.mValue = "team";
    mRequest.mRequest.mValue = "id";
    mRequest.mFingerprint.mValue = "print";
    mRequest.mReceivedAt = kNow;
    mRequest.mDeadline = kNow + milliseconds(600);
    mRequest.mSoftDeadline = kNow + milliseconds(120);
    mRequest.mPriority = 1;
    mRequest.mPolicy.mLatencyObjective = milliseconds(150);
    mRequest.mPolicy.mMinimumCoverage = 0.85;
    std::vector<service_id> shards;
    for (int shard = 0; shard < 36; ++shard) {
      shards.push_back({ "s" + std::to_string(shard) });
    }
    mRequest.mServices = service_set::Create(shards);
  }

  void Admit()
  {
    filter admit = MakeAdmit(mAdmission, mHooks);
    asio::io_context context;
    asio::co_spawn(context, admit.mHook(mRequest), asio::detached);
    context.run();
  }
};

// Guards against a refusal that isn't true, or that keeps a slot.
TEST(admit, WhatServersCannotBearIsRefusedBeforeItTakesASlot)
{
  mHooks.mCheckOverload = [](const request_context& /*aRequest*/,
                             steady_time /*aNow*/) {
    overload_verdict verdict;
    verdict.mIsAdmitted = false;
    verdict.mRetryAfter = milliseconds(700);
    return verdict;
  };
  Admit();
  CHECK(mRequest.mRefusal.has_value());
  CHECK(mRequest.mRefusal->mReason == refusal_reason::Overloaded);
  CHECK(mRequest.mRefusal->mRan == execution_status::No);
  CHECK(mRequest.mRefusal->mRetryAfter == milliseconds(700));
  CHECK(!mRequest.mIsAdmitted);
  LONGS_EQUAL(0, mAdmission.Running());
}

// Guards against a change for deployments without the setting.
TEST(admit, WithoutOverloadControlOnlyTheQueueDecides)
{
  Admit();
  CHECK(!mRequest.mRefusal.has_value());
  CHECK(mRequest.mIsAdmitted);
  LONGS_EQUAL(1, mAdmission.Running());
}

TEST(admit, AnAdmittedRequestGoesOnToTheQueue)
{
  std::optional<overload_request> asked;
  mHooks.mCheckOverload = [&](const request_context& aRequest,
                              steady_time /*aNow*/) {
    asked = ToOverloadRequest(aRequest);
    return overload_verdict{};
  };
  Admit();
  CHECK(mRequest.mIsAdmitted);
  CHECK(asked.has_value());
  LONGS_EQUAL(1, asked->mRank.mPriority);
  CHECK(asked->mRank.mObjective == milliseconds(150));
  CHECK(asked->mDeadline == mRequest.mDeadline);
  LONGS_EQUAL(36, asked->mServices.size());
  LONGS_EQUAL(31, asked->mNeeded);
}

// Guards against routes without an objective being the most urgent ones.
TEST(admit, WithoutAnObjectiveTheDeadlineStandsInForIt)
{
  mRequest.mSoftDeadline = mRequest.mDeadline;
  mRequest.mPolicy.mLatencyObjective = milliseconds(1);
  CHECK(ToOverloadRequest(mRequest).mRank.mObjective == milliseconds(600));
}

// Guards against equal requests of several callers passing for repeats.
TEST(admit, OnlyARequestWithTheSameIdIsARepeat)
{
  std::string key = ToOverloadRequest(mRequest).mRepeatKey;
  CHECK(key == ToOverloadRequest(mRequest).mRepeatKey);
  mRequest.mRequest.mValue = "other";
  CHECK(key != ToOverloadRequest(mRequest).mRepeatKey);
  mRequest.mRequest.mValue = "";
  CHECK(ToOverloadRequest(mRequest).mRepeatKey.empty());
}
