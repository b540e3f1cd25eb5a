#include "main/entry_role.h"

#include "core/background_task.h"
#include "core/log_event.h"
#include "main/role_support.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hibiscusspool {

namespace asio = boost::asio;

namespace {

/** Time for which reports on quotas are collected. */
constexpr milliseconds kQuotaReportDelay{ 100 };

}

quota_config
entry_role::QuotaConfig() const
{
  quota_config config;
  config.mSelf = mSelf;
  config.mIncarnation = mIncarnation;
  config.mBounds.mWindow = std::chrono::seconds(mSettings.mEntryQuotaWindowS);
  config.mBounds.mOvershoot = mSettings.mEntryQuotaOvershoot;
  config.mBounds.mSlack = mSettings.mEntryQuotaSlack;
  config.mStartedAt = SteadyNow();
  return config;
}

quota_hooks
entry_role::QuotaHooks()
{
  quota_hooks hooks;
  hooks.mConfirmedAge = [this](steady_time aNow) { return mLease.Age(aNow); };
  hooks.mOnNews = [this] { ReportQuotasSoon(); };
  hooks.mSendNotice = [this](const quota_notice_message& aMessage) {
    RunInBackground(
      asio::make_strand(mContext), "quota_notice", SendQuotaNotice(aMessage));
  };
  hooks.mProbe = [this](const quota_message& aMessage) {
    RunInBackground(
      asio::make_strand(mContext), "quota_probe", ProbeQuotaOwner(aMessage));
  };
  hooks.mOnState = [](const team_id& aTeam, bool aIsMetered, double aUsed) {
    log_event("quota_state")
      .Add("caller_team", aTeam.mValue)
      .Add("state", aIsMetered ? "metered" : "open")
      .Add("used", static_cast<std::uint64_t>(aUsed));
  };
  hooks.mOnTakeover = [](const team_id& aTeam, const host_id& aOwner) {
    log_event("quota_takeover")
      .Add("caller_team", aTeam.mValue)
      .Add("owner", aOwner.mValue);
  };
  return hooks;
}

quota_filter_hooks
entry_role::QuotaFilterHooks()
{
  return { SteadyNow, [this](quota_message aMessage) {
            return mQuotaClient.Exchange(std::move(aMessage));
          } };
}

quota_client_hooks
entry_role::QuotaClientHooks()
{
  return { [this](const host_id& aHost, const std::string& aAddress) {
            return mSubqueryClient.ChannelTo(aHost, aAddress);
          },
           [this](const host_id& aHost) {
             mSubqueryClient.DropChannel(aHost);
           } };
}

void
entry_role::ReportQuotasSoon()
{
  if (mIsStopping || mIsReportingQuotas.exchange(true)) {
    return;
  }
  RunInBackground(asio::make_strand(mContext), "quota_reports", ReportQuotas());
}

asio::awaitable<void>
entry_role::ReportQuotas()
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(kQuotaReportDelay);
  co_await timer.async_wait(asio::use_awaitable);
  mIsReportingQuotas = false;
  steady_time now = SteadyNow();
  std::vector<quota_message> messages = mQuotas.TakeReports(now);
  // Goes on while no host takes the reports.
  if (messages.empty() && mQuotas.HasNews(now)) {
    ReportQuotasSoon();
  }
  for (quota_message& message : messages) {
    RunInBackground(asio::make_strand(mContext),
                    "quota_report",
                    SendQuotaReport(std::move(message)));
  }
}

asio::awaitable<void>
entry_role::SendQuotaReport(quota_message aMessage)
{
  std::optional<quota_reply> reply = co_await mQuotaClient.Exchange(aMessage);
  steady_time now = SteadyNow();
  mQuotas.OnReported(aMessage, reply, now);
  if (mQuotas.HasNews(now)) {
    ReportQuotasSoon();
  }
}

asio::awaitable<void>
entry_role::ProbeQuotaOwner(quota_message aMessage)
{
  std::optional<quota_reply> reply = co_await mQuotaClient.Exchange(aMessage);
  if (mIsStopping) {
    co_return;
  }
  mQuotas.OnProbed(aMessage, reply, SteadyNow());
}

asio::awaitable<void>
entry_role::SendQuotaNotice(quota_notice_message aMessage)
{
  bool isTaken = co_await mQuotaClient.Notify(aMessage);
  if (!isTaken && !mIsStopping) {
    mQuotas.OnNoticeFailed(aMessage);
  }
}

}
