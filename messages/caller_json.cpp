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
  // A serialized string can be parsed again only if its bytes are UTF-8.
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

/** Adds opaque bytes as a string if they are UTF-8, else in base64. */
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
  json::object response;
  response["request_id"] = aRequest.mRequest.mValue;
  response["snapshot"] = aRequest.mSnapshot;
  // Full coverage is written as 1, not as 1E0 as the library would.
  bool isFull = aRequest.mMissing.empty();
  response["coverage"] =
    isFull ? json::value(1) : json::value(aRequest.mCoverage);
  response["services_asked"] = aRequest.mServices.size();
  response["services_answered"] = aRequest.mResponses.size();
  json::array missing;
  for (const missing_service& service : aRequest.mMissing) {
    missing.push_back({ { "service", service.mService.mValue },
                        { "reason", NameOf(service.mReason) } });
  }
  response["missing"] = std::move(missing);
  json::array responses;
  for (const service_response& serviceResponse : aRequest.mResponses) {
    json::object entry;
    entry["service"] = serviceResponse.mService.mValue;
    SetOpaque(entry, "body", serviceResponse.mResponse.mBody);
    responses.push_back(std::move(entry));
  }
  response["answers"] = std::move(responses);
  return response;
}

json::object
EncodeRun(const request_context& aRequest)
{
  json::object response;
  response["request_id"] = aRequest.mRequest.mValue;
  response["ran"] = NameOf(execution_status::Yes);
  SetOpaque(response, "answer", aRequest.mRunResponse);
  return response;
}

}

std::string
EncodeResponse(const request_context& aRequest)
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
                 milliseconds aTtl)
{
  json::array hosts;
  for (const entry_host_record& host : aHosts) {
    hosts.push_back({ { "host", host.mHost.mValue },
                      { "address", host.mCallersAddress },
                      { "failure_domain", host.mFailureDomain.mValue },
                      { "announce_address", host.mAnnounceAddress } });
  }
  return json::serialize(json::object{ { "entry_hosts", std::move(hosts) },
                                       { "keep_for_ms", aTtl.count() } });
}

std::string
EncodeError(std::string_view aCode, std::string_view aDetail)
{
  json::object inner{ { "code", aCode }, { "detail", aDetail } };
  return json::serialize(json::object{ { "error", std::move(inner) } });
}

}
