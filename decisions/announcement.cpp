#include "decisions/announcement.h"

#include "core/address.h"

#include <algorithm>
#include <sstream>

namespace hibiscusspool {

namespace {

constexpr std::size_t kLongestName = 128;
constexpr std::uint32_t kMostSlots = 10'000;
constexpr std::uint32_t kMostConnections = 100'000;
constexpr std::size_t kMostSnapshots = 16;

failure<announcement_error>
OutOfRange(std::string_view aField,
           std::uint64_t aValue,
           std::uint64_t aLowest,
           std::uint64_t aHighest)
{
  std::ostringstream detail;
  detail << aField << " is " << aValue << "; allowed are " << aLowest << " to "
         << aHighest << ".";
  return Fail(announcement_error::OutOfRange, detail.str());
}

failure<announcement_error>
BadName(std::string_view aField)
{
  return Fail(announcement_error::InvalidName,
              std::string(aField) +
                " must be 1 to 128 letters, digits and any of . _ - :");
}

}

bool
IsValidName(std::string_view aName)
{
  return !aName.empty() && aName.size() <= kLongestName &&
         std::all_of(aName.begin(), aName.end(), [](unsigned char aLetter) {
           return std::isalnum(aLetter) != 0 || aLetter == '.' ||
                  aLetter == '_' || aLetter == '-' || aLetter == ':';
         });
}

result<void, announcement_error>
CheckAnnouncement(const server_record& aRecord)
{
  if (!IsValidName(aRecord.mServer.mValue)) {
    return BadName("server");
  }
  if (!IsValidName(aRecord.mService.mValue)) {
    return BadName("service");
  }
  if (!IsValidName(aRecord.mFailureDomain.mValue)) {
    return BadName("failure_domain");
  }
  if (!ParseAddress(aRecord.mAddress)) {
    return Fail(announcement_error::BadAddress,
                "address must be an IP and a port, as in 10.0.0.1:80.");
  }
  if (aRecord.mIncarnation == 0) {
    return OutOfRange("incarnation", 0, 1, UINT64_MAX);
  }
  if (aRecord.mSlots < 1 || aRecord.mSlots > kMostSlots) {
    return OutOfRange("slots", aRecord.mSlots, 1, kMostSlots);
  }
  if (aRecord.mConnections < 1 || aRecord.mConnections > kMostConnections) {
    return OutOfRange("connections", aRecord.mConnections, 1, kMostConnections);
  }
  if (aRecord.mColdSlots > aRecord.mSlots) {
    return OutOfRange("cold_slots", aRecord.mColdSlots, 0, aRecord.mSlots);
  }
  if (aRecord.mSnapshots.size() > kMostSnapshots) {
    return OutOfRange(
      "snapshots", aRecord.mSnapshots.size(), 0, kMostSnapshots);
  }
  return boost::outcome_v2::success();
}

bool
HasRecordChanged(const server_record& aKnown, const server_record& aAnnounced)
{
  return aKnown.mIncarnation != aAnnounced.mIncarnation ||
         aKnown.mState != aAnnounced.mState ||
         aKnown.mLeaseHolder != aAnnounced.mLeaseHolder ||
         aKnown.mService != aAnnounced.mService ||
         aKnown.mFailureDomain != aAnnounced.mFailureDomain ||
         aKnown.mAddress != aAnnounced.mAddress ||
         aKnown.mSlots != aAnnounced.mSlots ||
         aKnown.mConnections != aAnnounced.mConnections ||
         aKnown.mColdSlots != aAnnounced.mColdSlots ||
         aKnown.mSnapshots != aAnnounced.mSnapshots;
}

}
