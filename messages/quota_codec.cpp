#include "messages/quota_codec.h"

#include <algorithm>
#include <cmath>

namespace hibiscusspool {

namespace {

constexpr int kMaxItems = 10'000;
constexpr int kMaxSpendings = 10'000;
constexpr int kMaxRelays = 10'000;
constexpr std::uint32_t kMaxTimeMs = 3'600'000;

std::uint32_t
ToWire(milliseconds aTime)
{
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(aTime.count(), 0, kMaxTimeMs));
}

milliseconds
FromWire(std::uint32_t aTime)
{
  return milliseconds(std::min(aTime, kMaxTimeMs));
}

bool
IsLimit(double aNumber)
{
  return std::isfinite(aNumber) && aNumber >= 0;
}

failure<codec_error>
Malformed(std::string_view aWhat)
{
  return Fail(codec_error::Malformed,
              "A message on quotas has an invalid " + std::string(aWhat) + ".");
}

void
WriteItem(const quota_item& aItem, wire::QuotaItem& aOut)
{
  aOut.set_team(aItem.mTeam.mValue);
  aOut.set_configuration(aItem.mTerms.mConfiguration);
  aOut.set_rate_per_second(aItem.mTerms.mRatePerSecond);
  aOut.set_burst(aItem.mTerms.mBurst);
  aOut.set_ask(aItem.mAsk);
  aOut.set_settled(aItem.mSettled);
  for (const quota_spending& spent : aItem.mSpendings) {
    wire::QuotaSpending& out = *aOut.add_spendings();
    out.set_age_ms(ToWire(spent.mAge));
    out.set_count(spent.mCount);
  }
}

result<quota_item, codec_error>
ReadItem(const wire::QuotaItem& aIn)
{
  if (aIn.team().empty()) {
    return Malformed("team");
  }
  if (!IsLimit(aIn.rate_per_second()) || !IsLimit(aIn.burst())) {
    return Malformed("limit");
  }
  if (aIn.spendings_size() > kMaxSpendings) {
    return Malformed("number of spendings");
  }
  quota_item item;
  item.mTeam.mValue = aIn.team();
  item.mTerms = { aIn.configuration(), aIn.rate_per_second(), aIn.burst() };
  item.mAsk = aIn.ask();
  item.mSettled = aIn.settled();
  for (const wire::QuotaSpending& spent : aIn.spendings()) {
    item.mSpendings.push_back({ FromWire(spent.age_ms()), spent.count() });
  }
  return item;
}

}

void
WriteQuotaRequest(const quota_request& aRequest, wire::QuotaRequest& aOut)
{
  aOut.set_host(aRequest.mHost.mValue);
  aOut.set_incarnation(aRequest.mIncarnation);
  aOut.set_sequence(aRequest.mSequence);
  for (const quota_item& item : aRequest.mItems) {
    WriteItem(item, *aOut.add_items());
  }
}

result<quota_request, codec_error>
ReadQuotaRequest(const wire::QuotaRequest& aIn)
{
  if (aIn.host().empty()) {
    return Malformed("host");
  }
  if (aIn.items_size() > kMaxItems) {
    return Malformed("number of items");
  }
  quota_request request;
  request.mHost.mValue = aIn.host();
  request.mIncarnation = aIn.incarnation();
  request.mSequence = aIn.sequence();
  for (const wire::QuotaItem& in : aIn.items()) {
    auto item = ReadItem(in);
    if (!item) {
      return item.error();
    }
    request.mItems.push_back(std::move(item.value()));
  }
  return request;
}

void
WriteQuotaReply(const quota_reply& aReply, wire::QuotaReply& aOut)
{
  for (const quota_answer& answer : aReply.mAnswers) {
    wire::QuotaAnswer& out = *aOut.add_answers();
    out.set_team(answer.mTeam.mValue);
    out.set_role(static_cast<std::uint32_t>(answer.mRole));
    out.set_granted(answer.mIsGranted);
    if (answer.mMeteredFor) {
      out.set_metered_for_ms(ToWire(*answer.mMeteredFor));
    }
    out.set_room_in_ms(ToWire(answer.mRoomIn));
    out.set_retry_in_ms(ToWire(answer.mRetryIn));
  }
}

result<quota_reply, codec_error>
ReadQuotaReply(const wire::QuotaReply& aIn)
{
  quota_reply reply;
  for (const wire::QuotaAnswer& in : aIn.answers()) {
    auto role = ReadEnum<quota_role>(in.role());
    if (!role) {
      return role.error();
    }
    quota_answer answer;
    answer.mTeam.mValue = in.team();
    answer.mRole = role.value();
    answer.mIsGranted = in.granted();
    if (in.has_metered_for_ms()) {
      answer.mMeteredFor = FromWire(in.metered_for_ms());
    }
    answer.mRoomIn = FromWire(in.room_in_ms());
    answer.mRetryIn = FromWire(in.retry_in_ms());
    reply.mAnswers.push_back(std::move(answer));
  }
  return reply;
}

void
WriteQuotaNotice(const quota_notice& aNotice, wire::QuotaNotice& aOut)
{
  aOut.set_team(aNotice.mTeam.mValue);
  aOut.set_metered_for_ms(ToWire(aNotice.mMeteredFor));
  aOut.set_follow(aNotice.mFollow.mValue);
  aOut.set_follow_for_ms(ToWire(aNotice.mFollowFor));
  for (const host_id& host : aNotice.mRelayTo) {
    aOut.add_relay_to(host.mValue);
  }
}

result<quota_notice, codec_error>
ReadQuotaNotice(const wire::QuotaNotice& aIn)
{
  if (aIn.team().empty()) {
    return Malformed("team");
  }
  if (aIn.relay_to_size() > kMaxRelays) {
    return Malformed("number of relays");
  }
  quota_notice notice;
  notice.mTeam.mValue = aIn.team();
  notice.mMeteredFor = FromWire(aIn.metered_for_ms());
  notice.mFollow.mValue = aIn.follow();
  notice.mFollowFor = FromWire(aIn.follow_for_ms());
  for (const std::string& host : aIn.relay_to()) {
    notice.mRelayTo.push_back(host_id{ host });
  }
  return notice;
}

}
