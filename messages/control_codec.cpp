#include "messages/control_codec.h"

#include "messages/configuration_codec.h"
#include "messages/rollout_codec.h"

namespace hibiscusspool {

namespace {

using text_list = google::protobuf::RepeatedPtrField<wire::Text>;

void
WriteTexts(const std::map<std::string, std::string>& aTexts, text_list& aOut)
{
  for (const auto& [name, value] : aTexts) {
    wire::Text& text = *aOut.Add();
    text.set_name(name);
    text.set_value(value);
  }
}

std::map<std::string, std::string>
ReadTexts(const text_list& aIn)
{
  std::map<std::string, std::string> read;
  for (const wire::Text& text : aIn) {
    read[text.name()] = text.value();
  }
  return read;
}

void
WriteServer(const server_record& aRecord, wire::ServerRecord& aOut)
{
  aOut.set_name(aRecord.mServer.mValue);
  aOut.set_version(aRecord.mVersion);
  aOut.set_incarnation(aRecord.mIncarnation);
  aOut.set_sequence(aRecord.mSequence);
  aOut.set_service(aRecord.mService.mValue);
  aOut.set_failure_domain(aRecord.mFailureDomain.mValue);
  aOut.set_address(aRecord.mAddress);
  aOut.set_slots(aRecord.mSlots);
  aOut.set_connections(aRecord.mConnections);
  aOut.set_cold_slots(aRecord.mColdSlots);
  aOut.set_state(static_cast<std::uint32_t>(aRecord.mState));
  for (snapshot_number snapshot : aRecord.mSnapshots) {
    aOut.add_snapshots(snapshot);
  }
  aOut.set_sponsor(aRecord.mLeaseHolder.mValue);
  aOut.set_gone_at_ms(aRecord.mGoneAt);
  aOut.set_cold_mark(aRecord.mColdEpoch);
  aOut.set_started_at_ms(aRecord.mStartedAt);
  aOut.set_has_left(aRecord.mHasLeft);
  aOut.set_software_version(aRecord.mSoftwareVersion);
}

result<record_change, codec_error>
ReadServer(const wire::ServerRecord& aIn)
{
  auto state = ReadEnum<server_state>(aIn.state());
  if (!state) {
    return state.error();
  }
  server_record record;
  record.mServer.mValue = aIn.name();
  record.mVersion = aIn.version();
  record.mIncarnation = aIn.incarnation();
  record.mSequence = aIn.sequence();
  record.mService.mValue = aIn.service();
  record.mFailureDomain.mValue = aIn.failure_domain();
  record.mAddress = aIn.address();
  record.mSlots = aIn.slots();
  record.mConnections = aIn.connections();
  record.mColdSlots = aIn.cold_slots();
  record.mState = state.value();
  record.mSnapshots.assign(aIn.snapshots().begin(), aIn.snapshots().end());
  record.mLeaseHolder.mValue = aIn.sponsor();
  record.mGoneAt = aIn.gone_at_ms();
  record.mColdEpoch = aIn.cold_mark();
  record.mStartedAt = aIn.started_at_ms();
  record.mHasLeft = aIn.has_left();
  record.mSoftwareVersion = aIn.software_version();
  return record;
}

void
WriteClaim(const claim_record& aRecord, wire::ClaimRecord& aOut)
{
  aOut.set_team(aRecord.mTeam.mValue);
  aOut.set_key(aRecord.mKey.mValue);
  aOut.set_version(aRecord.mVersion);
  aOut.set_fingerprint(aRecord.mFingerprint.mValue);
  aOut.set_attempt(aRecord.mAttempt.mValue);
  aOut.set_owner(aRecord.mOwner.mValue);
  aOut.set_owner_incarnation(aRecord.mOwnerIncarnation);
  aOut.set_state(static_cast<std::uint32_t>(aRecord.mState));
  aOut.set_outcome(aRecord.mOutcome);
  aOut.set_settled_at_ms(aRecord.mSettledAt);
}

result<claim_record, codec_error>
ReadClaim(const wire::ClaimRecord& aIn)
{
  auto state = ReadEnum<claim_state>(aIn.state());
  if (!state) {
    return state.error();
  }
  claim_record record;
  record.mTeam.mValue = aIn.team();
  record.mKey.mValue = aIn.key();
  record.mVersion = aIn.version();
  record.mFingerprint.mValue = aIn.fingerprint();
  record.mAttempt.mValue = aIn.attempt();
  record.mOwner.mValue = aIn.owner();
  record.mOwnerIncarnation = aIn.owner_incarnation();
  record.mState = state.value();
  record.mOutcome = aIn.outcome();
  record.mSettledAt = aIn.settled_at_ms();
  return record;
}

record_change
ReadQuarantine(const wire::QuarantineRecord& aIn)
{
  quarantine_record record;
  record.mFingerprint.mValue = aIn.fingerprint();
  record.mVersion = aIn.version();
  for (const std::string& server : aIn.crashed_servers()) {
    record.mCrashedServers.push_back(server_id{ server });
  }
  record.mTrials.assign(aIn.trials().begin(), aIn.trials().end());
  record.mUntil = aIn.until_ms();
  record.mIncidents = aIn.incidents();
  record.mIncidentAt = aIn.incident_at_ms();
  return record;
}

/** Fills the message of the record's kind. */
struct change_writer
{
  wire::RecordChange& mOut;

  void operator()(const template_record& aRecord) const
  {
    wire::TemplateRecord& out = *mOut.mutable_template_record();
    out.set_name(aRecord.mTemplate.mValue);
    out.set_version(aRecord.mVersion);
    WriteTexts(aRecord.mFields, *out.mutable_fields());
    WriteTexts(aRecord.mDefaults, *out.mutable_defaults());
  }
  void operator()(const team_record& aRecord) const
  {
    wire::TeamRecord& out = *mOut.mutable_team();
    out.set_name(aRecord.mTeam.mValue);
    out.set_version(aRecord.mVersion);
    out.set_template_name(aRecord.mTemplate.mValue);
    WriteTexts(aRecord.mParameters, *out.mutable_parameters());
  }
  void operator()(const failure_domain_record& aRecord) const
  {
    wire::FailureDomainRecord& out = *mOut.mutable_failure_domain();
    out.set_name(aRecord.mFailureDomain.mValue);
    out.set_version(aRecord.mVersion);
    out.set_state(static_cast<std::uint32_t>(aRecord.mState));
  }
  void operator()(const entry_host_record& aRecord) const
  {
    WriteEntryHost(aRecord, *mOut.mutable_entry_host());
  }
  void operator()(const server_record& aRecord) const
  {
    WriteServer(aRecord, *mOut.mutable_server());
  }
  void operator()(const quarantine_record& aRecord) const
  {
    wire::QuarantineRecord& out = *mOut.mutable_quarantine();
    out.set_fingerprint(aRecord.mFingerprint.mValue);
    out.set_version(aRecord.mVersion);
    for (const server_id& server : aRecord.mCrashedServers) {
      out.add_crashed_servers(server.mValue);
    }
    for (const std::string& trial : aRecord.mTrials) {
      out.add_trials(trial);
    }
    out.set_until_ms(aRecord.mUntil);
    out.set_incidents(aRecord.mIncidents);
    out.set_incident_at_ms(aRecord.mIncidentAt);
  }
  void operator()(const claim_record& aRecord) const
  {
    WriteClaim(aRecord, *mOut.mutable_claim());
  }
  void operator()(const configuration_record& aRecord) const
  {
    WriteConfiguration(aRecord, *mOut.mutable_configuration());
  }
  void operator()(const rollout_record& aRecord) const
  {
    WriteRollout(aRecord, *mOut.mutable_rollout());
  }
  void operator()(const record_removal& aRecord) const
  {
    wire::Removal& out = *mOut.mutable_removal();
    out.set_kind(static_cast<std::uint32_t>(aRecord.mKind));
    out.set_name(aRecord.mName);
  }
};

/** Turns a result of one record type into a result of the variant. */
template<typename record>
result<record_change, codec_error>
AsChange(result<record, codec_error> aRead)
{
  if (!aRead) {
    return aRead.error();
  }
  return record_change(std::move(aRead.value()));
}

}

void
WriteEntryHost(const entry_host_record& aRecord, wire::EntryHostRecord& aOut)
{
  aOut.set_name(aRecord.mHost.mValue);
  aOut.set_version(aRecord.mVersion);
  aOut.set_incarnation(aRecord.mIncarnation);
  aOut.set_failure_domain(aRecord.mFailureDomain.mValue);
  aOut.set_callers_address(aRecord.mCallersAddress);
  aOut.set_announce_address(aRecord.mAnnounceAddress);
  aOut.set_state(static_cast<std::uint32_t>(aRecord.mState));
  aOut.set_sponsor(aRecord.mControlHost.mValue);
  aOut.set_subquery_address(aRecord.mSubqueryAddress);
}

result<entry_host_record, codec_error>
ReadEntryHost(const wire::EntryHostRecord& aIn)
{
  auto state = ReadEnum<entry_host_state>(aIn.state());
  if (!state) {
    return state.error();
  }
  entry_host_record record;
  record.mHost.mValue = aIn.name();
  record.mVersion = aIn.version();
  record.mIncarnation = aIn.incarnation();
  record.mFailureDomain.mValue = aIn.failure_domain();
  record.mCallersAddress = aIn.callers_address();
  record.mAnnounceAddress = aIn.announce_address();
  record.mState = state.value();
  record.mControlHost.mValue = aIn.sponsor();
  record.mSubqueryAddress = aIn.subquery_address();
  return record;
}

void
WriteChange(const record_change& aChange, wire::RecordChange& aOut)
{
  std::visit(change_writer{ aOut }, aChange);
}

result<record_change, codec_error>
ReadChange(const wire::RecordChange& aIn)
{
  switch (aIn.record_case()) {
    case wire::RecordChange::kTemplateRecord: {
      const auto& in = aIn.template_record();
      return template_record{ template_id{ in.name() },
                              in.version(),
                              ReadTexts(in.fields()),
                              ReadTexts(in.defaults()) };
    }
    case wire::RecordChange::kTeam: {
      const auto& in = aIn.team();
      return team_record{ team_id{ in.name() },
                          in.version(),
                          template_id{ in.template_name() },
                          ReadTexts(in.parameters()) };
    }
    case wire::RecordChange::kFailureDomain: {
      const auto& in = aIn.failure_domain();
      auto state = ReadEnum<failure_domain_state>(in.state());
      if (!state) {
        return state.error();
      }
      return failure_domain_record{ failure_domain_id{ in.name() },
                                    in.version(),
                                    state.value() };
    }
    case wire::RecordChange::kEntryHost:
      return AsChange(ReadEntryHost(aIn.entry_host()));
    case wire::RecordChange::kServer:
      return ReadServer(aIn.server());
    case wire::RecordChange::kQuarantine:
      return ReadQuarantine(aIn.quarantine());
    case wire::RecordChange::kClaim:
      return AsChange(ReadClaim(aIn.claim()));
    case wire::RecordChange::kRemoval: {
      auto kind = ReadEnum<record_kind>(aIn.removal().kind());
      if (!kind) {
        return kind.error();
      }
      return record_removal{ kind.value(), aIn.removal().name() };
    }
    case wire::RecordChange::kConfiguration:
      return AsChange(ReadConfiguration(aIn.configuration()));
    case wire::RecordChange::kRollout:
      return AsChange(ReadRollout(aIn.rollout()));
    case wire::RecordChange::RECORD_NOT_SET:
      break;
  }
  return Fail(codec_error::Malformed, "A record change contains no record.");
}

std::string
EncodeChanges(const std::vector<record_change>& aChanges)
{
  wire::WatchDown encoded;
  for (const record_change& change : aChanges) {
    WriteChange(change, *encoded.add_facts());
  }
  return encoded.SerializeAsString();
}

void
WriteCommand(const change_command& aCommand, wire::Command& aOut)
{
  aOut.set_change_id(aCommand.mChangeId.mValue);
  if (aCommand.mIfVersion) {
    aOut.set_if_version(*aCommand.mIfVersion);
  }
  aOut.set_proposed_at_ms(aCommand.mProposedAt);
  for (const record_change& change : aCommand.mChanges) {
    WriteChange(change, *aOut.add_wishes());
  }
}

result<change_command, codec_error>
ReadCommand(const wire::Command& aIn)
{
  change_command command;
  command.mChangeId.mValue = aIn.change_id();
  if (aIn.has_if_version()) {
    command.mIfVersion = aIn.if_version();
  }
  command.mProposedAt = aIn.proposed_at_ms();
  for (const wire::RecordChange& change : aIn.wishes()) {
    auto read = ReadChange(change);
    if (!read) {
      return read.error();
    }
    command.mChanges.push_back(std::move(read.value()));
  }
  return command;
}

void
WriteOutcome(const change_outcome& aOutcome, wire::Outcome& aOut)
{
  aOut.set_verdict(static_cast<std::uint32_t>(aOutcome.mVerdict));
  aOut.set_version(aOutcome.mVersion);
  aOut.set_index(aOutcome.mIndex);
  aOut.set_detail(aOutcome.mDetail);
  aOut.set_recorded_outcome(aOutcome.mRecordedOutcome);
}

result<change_outcome, codec_error>
ReadOutcome(const wire::Outcome& aIn)
{
  auto verdict = ReadEnum<change_verdict>(aIn.verdict());
  if (!verdict) {
    return verdict.error();
  }
  change_outcome outcome;
  outcome.mVerdict = verdict.value();
  outcome.mVersion = aIn.version();
  outcome.mIndex = aIn.index();
  outcome.mDetail = aIn.detail();
  outcome.mRecordedOutcome = aIn.recorded_outcome();
  return outcome;
}

std::string
EncodeCommand(const change_command& aCommand)
{
  wire::Command command;
  WriteCommand(aCommand, command);
  return command.SerializeAsString();
}

result<change_command, codec_error>
DecodeCommand(const std::string& aBytes)
{
  wire::Command command;
  if (!command.ParseFromString(aBytes)) {
    return Fail(codec_error::Malformed, "A command can't be parsed.");
  }
  return ReadCommand(command);
}

std::string
EncodeState(const control_state& aState)
{
  wire::ControlSnapshot snapshot;
  snapshot.set_index(aState.Index());
  snapshot.set_time_ms(aState.Time());
  for (const record_change& record : aState.Records()) {
    WriteChange(record, *snapshot.add_facts());
  }
  for (const claim_record& claim : aState.Claims()) {
    WriteClaim(claim, *snapshot.add_claims());
  }
  for (const evaluated_change& evaluated : aState.EvaluatedChanges()) {
    wire::JudgedChange& out = *snapshot.add_judged();
    out.set_change_id(evaluated.mChangeId.mValue);
    out.set_judged_at_ms(evaluated.mEvaluatedAt);
    WriteChange(evaluated.mChange, *out.mutable_wish());
    WriteOutcome(evaluated.mOutcome, *out.mutable_outcome());
  }
  return snapshot.SerializeAsString();
}

result<control_state, codec_error>
DecodeState(const std::string& aBytes, control_limits aLimits)
{
  wire::ControlSnapshot snapshot;
  if (!snapshot.ParseFromString(aBytes)) {
    return Fail(codec_error::Malformed, "A snapshot can't be parsed.");
  }
  std::vector<record_change> records;
  for (const wire::RecordChange& record : snapshot.facts()) {
    auto read = ReadChange(record);
    if (!read) {
      return read.error();
    }
    records.push_back(std::move(read.value()));
  }
  std::vector<claim_record> claims;
  for (const wire::ClaimRecord& claim : snapshot.claims()) {
    auto read = ReadClaim(claim);
    if (!read) {
      return read.error();
    }
    claims.push_back(std::move(read.value()));
  }
  std::vector<evaluated_change> evaluated;
  for (const wire::JudgedChange& change : snapshot.judged()) {
    auto proposed = ReadChange(change.wish());
    auto outcome = ReadOutcome(change.outcome());
    if (!proposed || !outcome) {
      return Fail(codec_error::Malformed,
                  "An evaluated change can't be decoded.");
    }
    evaluated.push_back({ change_id{ change.change_id() },
                          change.judged_at_ms(),
                          std::move(proposed.value()),
                          std::move(outcome.value()) });
  }
  return control_state::Restore(
    aLimits, snapshot.index(), snapshot.time_ms(), records, claims, evaluated);
}

}
