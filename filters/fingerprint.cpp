#include "filters/fingerprint.h"

#include <xxhash.h>

namespace hibiscusspool {

fingerprint_id
FingerprintOf(const std::string& aBody, std::uint64_t aSeed)
{
  XXH128_hash_t hash = XXH3_128bits_withSeed(aBody.data(), aBody.size(), aSeed);
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, hash);
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (unsigned char byte : canonical.digest) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 15U];
  }
  return fingerprint_id{ text };
}

fingerprint_id
FingerprintOf(const forwarded_request& aRequest, const std::string& aBody)
{
  const header_field* host = FindField(aRequest.mFields, "host");
  std::string head = aRequest.mMethod + '\n' + aRequest.mTarget + '\n' +
                     (host == nullptr ? std::string() : host->mValue);
  return FingerprintOf(aBody, XXH3_64bits(head.data(), head.size()));
}

fingerprint_id
FingerprintOf(const fingerprint_id& aRequest, const team_id& aTeam)
{
  return FingerprintOf(aRequest.mValue + '\n' + aTeam.mValue, 0);
}

}
