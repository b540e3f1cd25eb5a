#pragma once

#include "controllers/control_group.h"
#include "decisions/admission/refusal.h"
#include "decisions/state/change.h"
#include "messages/json_reader.h"

#include <string>
#include <vector>

#include <control.pb.h>

namespace hibiscusspool {

/**
 * The template's fields, and `parameters` with defaults, as in
 * `{"services":["a","b"],"wait_ms":"${wait}","parameters":{"wait":500}}`.
 */
result<template_record, json_error>
ParseTemplate(const std::string& aName, const std::string& aBody);

/** `{"template":"…","parameters":{…}}` */
result<team_record, json_error>
ParseTeam(const std::string& aName, const std::string& aBody);

/** `{"state":"in"}` or `{"state":"out"}` */
result<failure_domain_record, json_error>
ParseFailureDomain(const std::string& aName, const std::string& aBody);

/** The record that a backend server announces. */
result<server_record, json_error>
ParseAnnouncement(const std::string& aBody);

/** A record as shown to operators. */
boost::json::object
EncodeRecord(const record_change& aRecord);

boost::json::object
EncodeOutcome(const change_outcome& aOutcome);

/** The merged status of the control hosts. */
boost::json::object
EncodeStatus(const std::vector<wire::StatusReply>& aReplies);

boost::json::object
EncodeRefusals(const merged_refusals& aMerged);

}
