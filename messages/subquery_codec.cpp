#include "messages/subquery_codec.h"

#include <algorithm>

namespace hibiscusspool {

namespace {

constexpr std::uint32_t kProtocolVersion = 1;
constexpr int kMaxServices = 10'000;
constexpr std::uint64_t kMaxTimeUs = 3'600'000'000;

std::uint32_t
PositionOf(const service_id& aService, const std::vector<service_id>& aServices)
{
  auto found = std::find(aServices.begin(), aServices.end(), aService);
  return static_cast<std::uint32_t>(found - aServices.begin());
}

failure<codec_error>
UnknownService()
{
  return Fail(codec_error::UnknownName,
              "An update names a service that the subquery does not.");
}

}

void
WriteSubquery(const subquery& aSubquery, wire::SubqueryRequest& aOut)
{
  aOut.set_protocol_version(kProtocolVersion);
  aOut.set_request(aSubquery.mRequest.mValue);
  aOut.set_subquery(aSubquery.mId.mValue);
  aOut.set_team(aSubquery.mTeam.mValue);
  aOut.set_configuration(aSubquery.mConfiguration);
  for (const service_id& service : aSubquery.mServices) {
    aOut.add_services(service.mValue);
  }
  aOut.set_method(aSubquery.mForwarded->mMethod);
  aOut.set_target(aSubquery.mForwarded->mTarget);
  for (const header_field& field : aSubquery.mForwarded->mFields) {
    wire::Text& out = *aOut.add_fields();
    out.set_name(field.mName);
    out.set_value(field.mValue);
  }
  aOut.set_body(*aSubquery.mBody);
  aOut.set_time_left_us(static_cast<std::uint64_t>(
    std::max<std::int64_t>(0, aSubquery.mTimeLeft.count())));
  aOut.set_report_after_us(static_cast<std::uint64_t>(
    std::max<std::int64_t>(0, aSubquery.mReportAfter.count())));
  aOut.set_top_records(static_cast<std::uint32_t>(aSubquery.mTopRecords));
  for (const std::string& name : aSubquery.mPartFields) {
    aOut.add_part_fields(name);
  }
}

result<subquery, codec_error>
ReadSubquery(const wire::SubqueryRequest& aIn)
{
  if (aIn.protocol_version() != kProtocolVersion) {
    return Fail(codec_error::Malformed,
                "The subquery has protocol version " +
                  std::to_string(aIn.protocol_version()) + " instead of " +
                  std::to_string(kProtocolVersion) + ".");
  }
  bool isUsable =
    aIn.services_size() > 0 && aIn.services_size() <= kMaxServices &&
    !aIn.method().empty() && !aIn.target().empty() &&
    aIn.time_left_us() <= kMaxTimeUs && aIn.report_after_us() <= kMaxTimeUs;
  if (!isUsable) {
    return Fail(codec_error::Malformed,
                "A subquery needs 1 to 10000 services, a method, a target and "
                "times of at most an hour.");
  }
  subquery read;
  read.mRequest.mValue = aIn.request();
  read.mId.mValue = aIn.subquery();
  read.mTeam.mValue = aIn.team();
  read.mConfiguration = aIn.configuration();
  for (const std::string& service : aIn.services()) {
    read.mServices.push_back(service_id{ service });
  }
  auto forwarded = std::make_shared<forwarded_request>();
  forwarded->mMethod = aIn.method();
  forwarded->mTarget = aIn.target();
  for (const wire::Text& field : aIn.fields()) {
    forwarded->mFields.push_back({ field.name(), field.value() });
  }
  read.mForwarded = std::move(forwarded);
  read.mBody = std::make_shared<const std::string>(aIn.body());
  read.mTimeLeft = microseconds(aIn.time_left_us());
  read.mReportAfter = microseconds(aIn.report_after_us());
  read.mTopRecords = aIn.top_records();
  read.mPartFields = { aIn.part_fields().begin(), aIn.part_fields().end() };
  return read;
}

void
WriteSubqueryUpdate(const subquery_update& aUpdate,
                    const std::vector<service_id>& aServices,
                    wire::SubqueryReply& aOut)
{
  aOut.set_refused(aUpdate.mIsRefused);
  for (const subquery_part& part : aUpdate.mParts) {
    wire::SubqueryPart& out = *aOut.add_parts();
    out.set_service(PositionOf(part.mService, aServices));
    for (const header_field& field : part.mFields) {
      out.add_fields(field.mValue);
    }
  }
  aOut.set_records(aUpdate.mRecords);
  for (const subquery_straggler& straggler : aUpdate.mStragglers) {
    wire::SubqueryStraggler& out = *aOut.add_stragglers();
    out.set_service(PositionOf(straggler.mService, aServices));
    out.set_server(straggler.mServer.mValue);
  }
  for (const subquery_failure& failed : aUpdate.mFailures) {
    wire::SubqueryFailure& out = *aOut.add_failures();
    out.set_service(PositionOf(failed.mService, aServices));
    out.set_server(failed.mServer.mValue);
    out.set_may_have_run(failed.mMayHaveRun);
  }
  aOut.set_last(aUpdate.mIsLast);
}

result<subquery_update, codec_error>
ReadSubqueryUpdate(const wire::SubqueryReply& aIn,
                   const std::vector<service_id>& aServices,
                   const std::vector<std::string>& aPartFields)
{
  subquery_update update;
  update.mIsRefused = aIn.refused();
  for (const wire::SubqueryPart& in : aIn.parts()) {
    if (in.service() >= aServices.size()) {
      return UnknownService();
    }
    if (static_cast<std::size_t>(in.fields_size()) != aPartFields.size()) {
      return Fail(codec_error::Malformed,
                  "A part has " + std::to_string(in.fields_size()) +
                    " header fields instead of " +
                    std::to_string(aPartFields.size()) + ".");
    }
    subquery_part part;
    part.mService = aServices[in.service()];
    for (int field = 0; field < in.fields_size(); ++field) {
      part.mFields.push_back(
        { aPartFields[static_cast<std::size_t>(field)], in.fields(field) });
    }
    update.mParts.push_back(std::move(part));
  }
  update.mRecords = aIn.records();
  for (const wire::SubqueryStraggler& in : aIn.stragglers()) {
    if (in.service() >= aServices.size()) {
      return UnknownService();
    }
    update.mStragglers.push_back(
      { aServices[in.service()], server_id{ in.server() } });
  }
  for (const wire::SubqueryFailure& in : aIn.failures()) {
    if (in.service() >= aServices.size()) {
      return UnknownService();
    }
    update.mFailures.push_back(
      { aServices[in.service()], server_id{ in.server() }, in.may_have_run() });
  }
  update.mIsLast = aIn.last();
  return update;
}

}
