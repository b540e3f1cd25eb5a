#include "messages/caller_json.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/json.hpp>

namespace hibiscusspool {

namespace json = boost::json;

namespace {

bool
IsUtf8(const std::string& aText)
{
  json::error_code error;
  json::parse_options options;
  options.allow_invalid_utf8 = false;
  json::parser parser({}, options);
  // A serialised string parses again just when its bytes are UTF-8.
  std::string quoted = json::serialize(json::string(aText));
  parser.write(quoted, error);
  return !error;
}

std::string
ToBase64(const std::string& aBytes)
{
  using namespace boost::archive::iterators;
  using encoder =
    base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
  std::string text(encoder(aBytes.begin()), encoder(aBytes.end()));
  text.append((3 - aBytes.size() % 3) % 3, '=');
  return text;
}

/** Opaque bytes: as a string if they are text, else in base64. */
void
SetOpaque(json::object& aObject,
          std::string_view aKey,
          const std::string& aBytes)
{
  if (IsUtf8(aBytes)) {
    aObject[aKey] = aBytes;
    return;
  }
  aObject[std::string(aKey) + "_base64"] = ToBase64(aBytes);
}

json::object
EncodeQuery(const request_context& aRequest)
{
  json::object reply;
  reply["request_id"] = aRequest.mRequest.mValue;
  reply["snapshot"] = aRequest.mSnapshot;
  // Whole coverage reads as 1, which the library would write as 1E0.
  bool isFull = aRequest.mMissing.empty();
  reply["coverage"] = isFull ? json::value(1) : json::value(aRequest.mCoverage);
  reply["services_asked"] = aRequest.mServices.size();
  reply["services_answered"] = aRequest.mResponses.size();
  json::array missing;
  for (const missing_service& service : aRequest.mMissing) {
    missing.push_back({ { "service", service.mService.mValue },
                        { "reason", NameOf(service.mReason) } });
  }
  reply["missing"] = std::move(missing);
  json::array answers;
  for (const service_response& answer : aRequest.mResponses) {
    json::object entry;
    entry["service"] = answer.mService.mValue;
    SetOpaque(entry, "body", answer.mResponse.mBody);
    answers.push_back(std::move(entry));
  }
  reply["answers"] = std::move(answers);
  return reply;
}

json::object
EncodeRun(const request_context& aRequest)
{
  json::object reply;
  reply["request_id"] = aRequest.mRequest.mValue;
  reply["ran"] = NameOf(execution_status::Yes);
  SetOpaque(reply, "answer", aRequest.mRunResponse);
  return reply;
}

}

std::string
EncodeAnswer(const request_context& aRequest)
{
  bool isRun = aRequest.mKind == request_kind::Run;
  return json::serialize(isRun ? EncodeRun(aRequest) : EncodeQuery(aRequest));
}

std::string
EncodeRefusal(const refusal& aRefusal)
{
  json::object inner;
  inner["id"] = aRefusal.mId;
  inner["reason"] = NameOf(aRefusal.mReason);
  inner["ran"] = NameOf(aRefusal.mRan);
  inner["retry_after_ms"] = aRefusal.mRetryAfter.count();
  inner["detail"] = aRefusal.mDetail;
  inner["request_id"] = aRefusal.mRequest.mValue;
  return json::serialize(json::object{ { "refusal", std::move(inner) } });
}

std::string
EncodeEntryHosts(const std::vector<entry_host_record>& aHosts,
                 milliseconds aKeepFor)
{
  json::array hosts;
  for (const entry_host_record& host : aHosts) {
    hosts.push_back({ { "host", host.mHost.mValue },
                      { "address", host.mCallersAddress },
                      { "failure_domain", host.mFailureDomain.mValue },
                      { "announce_address", host.mAnnounceAddress } });
  }
  return json::serialize(json::object{ { "entry_hosts", std::move(hosts) },
                                       { "keep_for_ms", aKeepFor.count() } });
}

std::string
EncodeError(std::string_view aCode, std::string_view aDetail)
{
  json::object inner{ { "code", aCode }, { "detail", aDetail } };
  return json::serialize(json::object{ { "error", std::move(inner) } });
}

}
