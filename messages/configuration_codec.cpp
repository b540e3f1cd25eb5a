#include "messages/configuration_codec.h"

namespace hibiscusspool {

namespace {

std::uint64_t
MillisecondCount(milliseconds aTime)
{
  return static_cast<std::uint64_t>(aTime.count());
}

milliseconds
Milliseconds(std::uint64_t aCount)
{
  return milliseconds(static_cast<std::int64_t>(aCount));
}

void
WriteRoute(const route_record& aRoute, wire::RouteRecord& aOut)
{
  aOut.set_name(aRoute.mName);
  aOut.set_authority(aRoute.mAuthority);
  aOut.set_path_prefix(aRoute.mPathPrefix);
  aOut.set_kind(static_cast<std::uint32_t>(aRoute.mKind));
  aOut.set_timeout_ms(MillisecondCount(aRoute.mTimeout));
  aOut.set_objective_ms(MillisecondCount(aRoute.mLatencyObjective));
  aOut.set_priority(aRoute.mPriority);
  aOut.set_most_attempts(aRoute.mMaxAttempts);
  for (const weighted_service& backend : aRoute.mBackends) {
    wire::WeightedService& out = *aOut.add_backends();
    out.set_service(backend.mService.mValue);
    out.set_weight(backend.mWeight);
  }
  for (const service_id& shard : aRoute.mShards) {
    aOut.add_shards(shard.mValue);
  }
  aOut.set_top_records(aRoute.mTopRecords);
  aOut.set_minimum_coverage(aRoute.mMinimumCoverage);
  aOut.set_is_public(aRoute.mIsPublic);
}

result<route_record, codec_error>
ReadRoute(const wire::RouteRecord& aIn)
{
  if (aIn.kind() >= kNames<route_kind>.size()) {
    return Fail(codec_error::UnknownName,
                "No kind of route has the number " +
                  std::to_string(aIn.kind()) + ".");
  }
  route_record route;
  route.mName = aIn.name();
  route.mAuthority = aIn.authority();
  route.mPathPrefix = aIn.path_prefix();
  route.mKind = static_cast<route_kind>(aIn.kind());
  route.mTimeout = Milliseconds(aIn.timeout_ms());
  route.mLatencyObjective = Milliseconds(aIn.objective_ms());
  route.mPriority = aIn.priority();
  route.mMaxAttempts = aIn.most_attempts();
  for (const wire::WeightedService& backend : aIn.backends()) {
    route.mBackends.push_back(
      { service_id{ backend.service() }, backend.weight() });
  }
  for (const std::string& shard : aIn.shards()) {
    route.mShards.push_back(service_id{ shard });
  }
  route.mTopRecords = aIn.top_records();
  route.mMinimumCoverage = aIn.minimum_coverage();
  route.mIsPublic = aIn.is_public();
  return route;
}

void
WriteCallerTeam(const caller_team_record& aTeam, wire::CallerTeamRecord& aOut)
{
  aOut.set_team(aTeam.mTeam.mValue);
  for (const std::string& key : aTeam.mKeys) {
    aOut.add_keys(key);
  }
  if (aTeam.mPriority) {
    aOut.set_priority(*aTeam.mPriority);
  }
  aOut.set_rate_per_second(aTeam.mRatePerSecond);
  aOut.set_burst(aTeam.mBurst);
}

caller_team_record
ReadCallerTeam(const wire::CallerTeamRecord& aIn)
{
  caller_team_record team;
  team.mTeam.mValue = aIn.team();
  team.mKeys.assign(aIn.keys().begin(), aIn.keys().end());
  if (aIn.has_priority()) {
    team.mPriority = aIn.priority();
  }
  team.mRatePerSecond = aIn.rate_per_second();
  team.mBurst = aIn.burst();
  return team;
}

}

void
WriteConfiguration(const configuration_record& aRecord,
                   wire::ConfigurationRecord& aOut)
{
  aOut.set_number(aRecord.mNumber);
  aOut.set_version(aRecord.mVersion);
  for (const route_record& route : aRecord.mRoutes) {
    WriteRoute(route, *aOut.add_routes());
  }
  for (const service_profile& service : aRecord.mServices) {
    wire::ServiceProfile& out = *aOut.add_services();
    out.set_service(service.mService.mValue);
    out.set_connections(service.mConnections);
    out.set_warmup_ms(MillisecondCount(service.mWarmup));
    out.set_cold_rate(service.mColdRate);
  }
  wire::CallerLimits& limits = *aOut.mutable_limits();
  limits.set_header_bytes(aRecord.mLimits.mMaxHeaderBytes);
  limits.set_body_bytes(aRecord.mLimits.mMaxBodyBytes);
  limits.set_header_timeout_ms(
    MillisecondCount(aRecord.mLimits.mHeaderTimeout));
  limits.set_idle_timeout_ms(MillisecondCount(aRecord.mLimits.mIdleTimeout));
  if (aRecord.mCallerTeams) {
    aOut.set_requires_keys(true);
    for (const caller_team_record& team : *aRecord.mCallerTeams) {
      WriteCallerTeam(team, *aOut.add_caller_teams());
    }
  }
  aOut.set_document(aRecord.mDocument);
}

result<configuration_record, codec_error>
ReadConfiguration(const wire::ConfigurationRecord& aIn)
{
  configuration_record record;
  record.mNumber = aIn.number();
  record.mVersion = aIn.version();
  for (const wire::RouteRecord& in : aIn.routes()) {
    auto route = ReadRoute(in);
    if (!route) {
      return route.error();
    }
    record.mRoutes.push_back(std::move(route.value()));
  }
  for (const wire::ServiceProfile& service : aIn.services()) {
    record.mServices.push_back({ service_id{ service.service() },
                                 service.connections(),
                                 Milliseconds(service.warmup_ms()),
                                 service.cold_rate() });
  }
  record.mLimits = { aIn.limits().header_bytes(),
                     aIn.limits().body_bytes(),
                     Milliseconds(aIn.limits().header_timeout_ms()),
                     Milliseconds(aIn.limits().idle_timeout_ms()) };
  if (aIn.requires_keys() || !aIn.caller_teams().empty()) {
    auto& teams = record.mCallerTeams.emplace();
    for (const wire::CallerTeamRecord& team : aIn.caller_teams()) {
      teams.push_back(ReadCallerTeam(team));
    }
  }
  record.mDocument = aIn.document();
  return record;
}

}
