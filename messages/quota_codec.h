#pragma once

#include "decisions/quota/quota_exchange.h"
#include "messages/codec_error.h"

#include <quota.pb.h>

namespace hibiscusspool {

// Each Write function fills a wire message, and each Read function decodes one.
// A Read function fails if a name is missing or a number is out of range.

void
WriteQuotaRequest(const quota_request& aRequest, wire::QuotaRequest& aOut);
result<quota_request, codec_error>
ReadQuotaRequest(const wire::QuotaRequest& aIn);

void
WriteQuotaReply(const quota_reply& aReply, wire::QuotaReply& aOut);
result<quota_reply, codec_error>
ReadQuotaReply(const wire::QuotaReply& aIn);

void
WriteQuotaNotice(const quota_notice& aNotice, wire::QuotaNotice& aOut);
result<quota_notice, codec_error>
ReadQuotaNotice(const wire::QuotaNotice& aIn);

}
