#include "messages/operator_json.h"

#include "decisions/state/announcement.h"

#include <limits>

namespace hibiscusspool {

namespace json = boost::json;

namespace {

constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t kMaxUnits = std::numeric_limits<std::uint32_t>::max();

/** Checks the name of a record and creates a reader for its body. */
result<json_reader, json_error>
ReadNamed(const std::string& aName, const std::string& aBody)
{
  if (!IsValidName(aName)) {
    return Fail(
      json_error::OutOfRange,
      "A record's name must be 1 to 128 letters, digits and any of . _ - :");
  }
  return json_reader::Create(aBody);
}

json::object
EncodeTexts(const std::map<std::string, std::string>& aTexts)
{
  json::object object;
  for (const auto& [name, text] : aTexts) {
    object[name] = text;
  }
  return object;
}

struct record_encoder
{
  json::object operator()(const template_record& aRecord) const
  {
    json::object object = EncodeTexts(aRecord.mFields);
    object["name"] = aRecord.mTemplate.mValue;
    object["version"] = aRecord.mVersion;
    object["parameters"] = EncodeTexts(aRecord.mDefaults);
    return object;
  }
  json::object operator()(const team_record& aRecord) const
  {
    return { { "name", aRecord.mTeam.mValue },
             { "version", aRecord.mVersion },
             { "template", aRecord.mTemplate.mValue },
             { "parameters", EncodeTexts(aRecord.mParameters) } };
  }
  json::object operator()(const failure_domain_record& aRecord) const
  {
    return { { "name", aRecord.mFailureDomain.mValue },
             { "version", aRecord.mVersion },
             { "state", NameOf(aRecord.mState) } };
  }
  json::object operator()(const entry_host_record& aRecord) const
  {
    return { { "host", aRecord.mHost.mValue },
             { "version", aRecord.mVersion },
             { "incarnation", aRecord.mIncarnation },
             { "failure_domain", aRecord.mFailureDomain.mValue },
             { "callers_address", aRecord.mCallersAddress },
             { "announce_address", aRecord.mAnnounceAddress },
             { "state", NameOf(aRecord.mState) },
             { "sponsor", aRecord.mControlHost.mValue } };
  }
  json::object operator()(const server_record& aRecord) const
  {
    json::array snapshots;
    for (snapshot_number snapshot : aRecord.mSnapshots) {
      snapshots.push_back(snapshot);
    }
    return { { "server", aRecord.mServer.mValue },
             { "version", aRecord.mVersion },
             { "incarnation", aRecord.mIncarnation },
             { "service", aRecord.mService.mValue },
             { "failure_domain", aRecord.mFailureDomain.mValue },
             { "address", aRecord.mAddress },
             { "slots", aRecord.mSlots },
             { "connections", aRecord.mConnections },
             { "cold_slots", aRecord.mColdSlots },
             { "state", NameOf(aRecord.mState) },
             { "snapshots", std::move(snapshots) },
             { "sponsor", aRecord.mLeaseHolder.mValue },
             { "software_version", aRecord.mSoftwareVersion } };
  }
  json::object operator()(const rollout_record& aRecord) const
  {
    return { { "service", aRecord.mService.mValue },
             { "version", aRecord.mVersion },
             { "target_version", aRecord.mTargetVersion },
             { "state", NameOf(aRecord.mState) },
             { "duration_ms", aRecord.mDuration.count() },
             { "elapsed_ms", aRecord.mElapsed.count() },
             { "share", aRecord.mShare },
             { "started_at_ms", aRecord.mStartedAt },
             { "ended_at_ms", aRecord.mEndedAt },
             { "reason", aRecord.mReason } };
  }
  json::object operator()(const quarantine_record& aRecord) const
  {
    json::array servers;
    for (const server_id& server : aRecord.mCrashedServers) {
      servers.push_back(json::value(server.mValue));
    }
    return { { "fingerprint", aRecord.mFingerprint.mValue },
             { "version", aRecord.mVersion },
             { "crashed_servers", std::move(servers) },
             { "trials", aRecord.mTrials.size() },
             { "incidents", aRecord.mIncidents },
             { "until_ms", aRecord.mUntil } };
  }
  json::object operator()(const claim_record& aRecord) const
  {
    return { { "team", aRecord.mTeam.mValue },
             { "key", aRecord.mKey.mValue },
             { "state", NameOf(aRecord.mState) },
             { "owner", aRecord.mOwner.mValue } };
  }
  json::object operator()(const configuration_record& aRecord) const
  {
    return { { "number", aRecord.mNumber },
             { "version", aRecord.mVersion },
             { "routes", aRecord.mRoutes.size() },
             { "services", aRecord.mServices.size() },
             { "requires_keys", aRecord.mCallerTeams.has_value() } };
  }
  json::object operator()(const record_removal& aRecord) const
  {
    return { { "removed", NameOf(aRecord.mKind) }, { "name", aRecord.mName } };
  }
};

}

result<template_record, json_error>
ParseTemplate(const std::string& aName, const std::string& aBody)
{
  auto reader = ReadNamed(aName, aBody);
  if (!reader) {
    return reader.error();
  }
  template_record record;
  record.mTemplate.mValue = aName;
  record.mDefaults = reader.value().TextMap("parameters");
  record.mFields = reader.value().RemainingTexts();
  if (auto failed = reader.value().Finish()) {
    return *failed;
  }
  return record;
}

result<team_record, json_error>
ParseTeam(const std::string& aName, const std::string& aBody)
{
  auto reader = ReadNamed(aName, aBody);
  if (!reader) {
    return reader.error();
  }
  team_record record;
  record.mTeam.mValue = aName;
  record.mTemplate.mValue = reader.value().Text("template");
  record.mParameters = reader.value().TextMap("parameters");
  if (auto failed = reader.value().Finish()) {
    return *failed;
  }
  return record;
}

result<failure_domain_record, json_error>
ParseFailureDomain(const std::string& aName, const std::string& aBody)
{
  auto reader = ReadNamed(aName, aBody);
  if (!reader) {
    return reader.error();
  }
  std::string text = reader.value().Text("state");
  if (auto failed = reader.value().Finish()) {
    return *failed;
  }
  auto state = ValueOf<failure_domain_state>(text);
  if (!state) {
    return Fail(json_error::OutOfRange,
                "\"state\" is \"" + text + "\"; allowed are in and out.");
  }
  return failure_domain_record{ failure_domain_id{ aName }, 0, *state };
}

result<server_record, json_error>
ParseAnnouncement(const std::string& aBody)
{
  auto created = json_reader::Create(aBody);
  if (!created) {
    return created.error();
  }
  json_reader& reader = created.value();
  server_record record;
  record.mServer.mValue = reader.Text("server");
  record.mIncarnation = reader.Number("incarnation", kMaxNumber);
  record.mService.mValue = reader.Text("service");
  record.mFailureDomain.mValue = reader.Text("failure_domain");
  record.mAddress = reader.Text("address");
  record.mSlots = static_cast<std::uint32_t>(reader.Number("slots", kMaxUnits));
  record.mConnections =
    static_cast<std::uint32_t>(reader.Number("connections", kMaxUnits));
  record.mColdSlots =
    static_cast<std::uint32_t>(reader.Number("cold_slots", kMaxUnits));
  std::string state = reader.Text("state");
  record.mSnapshots = reader.Numbers("snapshots");
  if (auto failed = reader.Finish()) {
    return *failed;
  }
  auto parsedState = ValueOf<server_state>(state);
  if (!parsedState) {
    return Fail(json_error::OutOfRange,
                "\"state\" is \"" + state +
                  "\"; allowed are cold, ready, draining and gone.");
  }
  record.mState = *parsedState;
  return record;
}

json::object
EncodeRecord(const record_change& aRecord)
{
  return std::visit(record_encoder{}, aRecord);
}

json::object
EncodeOutcome(const change_outcome& aOutcome)
{
  return { { "verdict", NameOf(aOutcome.mVerdict) },
           { "version", aOutcome.mVersion },
           { "index", aOutcome.mIndex },
           { "detail", aOutcome.mDetail } };
}

json::object
EncodeStatus(const std::vector<wire::StatusReply>& aReplies)
{
  json::object status;
  json::array hosts;
  json::array daemons;
  const wire::StatusReply* leaderReply = nullptr;
  for (const wire::StatusReply& reply : aReplies) {
    hosts.push_back({ { "host", reply.host() },
                      { "role", reply.role() },
                      { "leader", reply.leader() },
                      { "term", reply.term() },
                      { "index", reply.commit_index() } });
    bool isNewer = leaderReply == nullptr || reply.term() > leaderReply->term();
    if (reply.role() == NameOf(raft_role::Leader) && isNewer) {
      leaderReply = &reply;
    }
    for (const wire::DaemonStatus& daemon : reply.daemons()) {
      daemons.push_back(
        { { "host", daemon.host().name() },
          { "failure_domain", daemon.host().failure_domain() },
          { "address", daemon.host().callers_address() },
          { "announce_address", daemon.host().announce_address() },
          { "control_host", reply.host() },
          { "confirmed_index", daemon.held_index() },
          { "confirmed_age_ms", daemon.confirmed_age_ms() },
          { "heard_ms_ago", daemon.heard_ms_ago() } });
    }
  }
  status["leader"] = leaderReply != nullptr ? leaderReply->host() : "";
  status["index"] = leaderReply != nullptr ? leaderReply->commit_index() : 0;
  status["servers"] = leaderReply != nullptr ? leaderReply->servers() : 0;
  status["claims"] = leaderReply != nullptr ? leaderReply->claims() : 0;
  json::array members;
  if (leaderReply != nullptr) {
    for (const wire::MemberStatus& member : leaderReply->members()) {
      members.push_back({ { "host", member.host() },
                          { "disk", member.disk() },
                          { "voter", member.voter() } });
    }
  }
  status["members"] = std::move(members);
  status["strength"] = nullptr;
  if (leaderReply != nullptr && leaderReply->has_strength()) {
    const wire::GroupStrength& strength = leaderReply->strength();
    status["strength"] =
      json::object{ { "voters", strength.voters() },
                    { "reachable_voters", strength.reachable_voters() },
                    { "spare_voters", strength.spare_voters() },
                    { "learners", strength.learners() } };
  }
  status["control_hosts"] = std::move(hosts);
  status["daemons"] = std::move(daemons);
  return status;
}

json::object
EncodeRefusals(const merged_refusals& aMerged)
{
  json::array refusals;
  for (const refusal& entry : aMerged.mRefusals) {
    refusals.push_back({ { "id", entry.mId },
                         { "team", entry.mTeam.mValue },
                         { "request_id", entry.mRequest.mValue },
                         { "reason", NameOf(entry.mReason) },
                         { "ran", NameOf(entry.mRan) },
                         { "at_ms", entry.mAt },
                         { "detail", entry.mDetail } });
  }
  json::array gaps;
  for (const refusal_gap& gap : aMerged.mGaps) {
    gaps.push_back({ { "host", gap.mHost.mValue },
                     { "incarnation", gap.mIncarnation },
                     { "first", gap.mFirst },
                     { "last", gap.mLast } });
  }
  return { { "refusals", std::move(refusals) }, { "gaps", std::move(gaps) } };
}

}
