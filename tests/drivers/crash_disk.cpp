#include "tests/drivers/crash_disk.h"

#include <algorithm>
#include <fstream>

namespace hibiscusspool::tests {

namespace {

enum class write_fate
{
  Missing,
  Present,
  HalfPresent,
  LastByteMissing,
  HeadIsZero,
  FirstHalfIsZero,
  MiddleIsZero,
  AllZero,
};

constexpr std::size_t kWriteFates = 8;
/** A resize or a name is kept or lost. */
constexpr std::size_t kOtherFates = 2;

std::string
Tear(std::string aBytes, write_fate aFate)
{
  constexpr std::size_t kHeadBytes = 8;
  std::size_t size = aBytes.size();
  auto fillZero = [&](std::size_t aFirst, std::size_t aLast) {
    std::fill(aBytes.begin() + static_cast<std::ptrdiff_t>(aFirst),
              aBytes.begin() + static_cast<std::ptrdiff_t>(aLast),
              '\0');
  };
  switch (aFate) {
    case write_fate::HalfPresent:
      aBytes.resize(size / 2);
      break;
    case write_fate::LastByteMissing:
      aBytes.resize(size - 1);
      break;
    case write_fate::HeadIsZero:
      fillZero(0, std::min(kHeadBytes, size));
      break;
    case write_fate::FirstHalfIsZero:
      fillZero(0, size / 2);
      break;
    case write_fate::MiddleIsZero:
      fillZero(size / 3, 2 * size / 3);
      break;
    case write_fate::AllZero:
      fillZero(0, size);
      break;
    case write_fate::Missing:
    case write_fate::Present:
      break;
  }
  return aBytes;
}

void
WriteAt(std::string& aContent, std::uint64_t aOffset, const std::string& aBytes)
{
  if (aContent.size() < aOffset + aBytes.size()) {
    aContent.resize(aOffset + aBytes.size(), '\0');
  }
  aContent.replace(aOffset, aBytes.size(), aBytes);
}

}

crash_disk::crash_disk(const folder_state& aFiles)
{
  for (const auto& [name, content] : aFiles) {
    mNames[name] = mFiles.size();
    mFiles.push_back({ content, {} });
  }
  mSyncedNames = mNames;
}

void
crash_disk::Follow(const file_operation& aOperation)
{
  const std::string& name = aOperation.mName;
  switch (aOperation.mKind) {
    case file_operation_kind::Created:
      mPendingNames.push_back({ {}, name, mFiles.size() });
      mNames[name] = mFiles.size();
      mFiles.emplace_back();
      return;
    case file_operation_kind::Written:
    case file_operation_kind::Resized:
      mFiles[mNames.at(name)].mPending.push_back(
        { aOperation.mKind == file_operation_kind::Resized,
          aOperation.mOffset,
          aOperation.mBytes });
      return;
    case file_operation_kind::Synced: {
      std::size_t number = mNames.at(name);
      file& synced = mFiles[number];
      for (const change& pending : synced.mPending) {
        if (pending.mIsResize) {
          synced.mSynced.resize(pending.mOffset);
        } else {
          WriteAt(synced.mSynced, pending.mOffset, pending.mBytes);
        }
      }
      synced.mPending.clear();
      std::erase_if(mPendingNames, [&](const name_change& aChange) {
        bool isCreation = aChange.mOldName.empty() && aChange.mFile == number;
        if (isCreation) {
          mSyncedNames[aChange.mNewName] = number;
        }
        return isCreation;
      });
      return;
    }
    case file_operation_kind::Renamed: {
      std::size_t number = mNames.at(name);
      mPendingNames.push_back({ name, aOperation.mNewName, number });
      mNames.erase(name);
      mNames[aOperation.mNewName] = number;
      return;
    }
    case file_operation_kind::Removed:
      mPendingNames.push_back({ name, {}, mNames.at(name) });
      mNames.erase(name);
      return;
    case file_operation_kind::FolderSynced:
      if (!aOperation.mName.empty()) {
        return;
      }
      mSyncedNames = mNames;
      mPendingNames.clear();
      return;
  }
}

folder_state
crash_disk::FilesInPlace() const
{
  folder_state state;
  for (const auto& [name, number] : mNames) {
    std::string content = mFiles[number].mSynced;
    for (const change& pending : mFiles[number].mPending) {
      if (pending.mIsResize) {
        content.resize(pending.mOffset);
      } else {
        WriteAt(content, pending.mOffset, pending.mBytes);
      }
    }
    state[name] = std::move(content);
  }
  return state;
}

folder_state
crash_disk::SyncedFiles() const
{
  return MakeState(std::vector<std::size_t>(ChoiceCounts().size(), 0));
}

std::vector<std::size_t>
crash_disk::ChoiceCounts() const
{
  std::vector<std::size_t> counts(mPendingNames.size(), kOtherFates);
  for (const file& each : mFiles) {
    for (const change& pending : each.mPending) {
      counts.push_back(pending.mIsResize ? kOtherFates : kWriteFates);
    }
  }
  return counts;
}

folder_state
crash_disk::MakeState(const std::vector<std::size_t>& aChoices) const
{
  auto choice = aChoices.begin();
  std::map<std::string, std::size_t> names = mSyncedNames;
  for (const name_change& pending : mPendingNames) {
    if (*choice++ == 0) {
      continue;
    }
    names.erase(pending.mOldName);
    if (!pending.mNewName.empty()) {
      names[pending.mNewName] = pending.mFile;
    }
  }
  std::vector<std::string> contents;
  for (const file& each : mFiles) {
    std::string content = each.mSynced;
    for (const change& pending : each.mPending) {
      auto fate = static_cast<write_fate>(*choice++);
      if (fate == write_fate::Missing) {
        continue;
      }
      if (pending.mIsResize) {
        content.resize(pending.mOffset);
      } else {
        WriteAt(content, pending.mOffset, Tear(pending.mBytes, fate));
      }
    }
    contents.push_back(std::move(content));
  }
  folder_state state;
  for (const auto& [name, number] : names) {
    state[name] = contents[number];
  }
  return state;
}

std::vector<folder_state>
crash_disk::States(std::size_t aMax, std::mt19937_64& aRandom) const
{
  std::vector<std::size_t> counts = ChoiceCounts();
  std::size_t total = 1;
  for (std::size_t count : counts) {
    total = std::min(total * count, std::size_t{ 1 } << 30U);
  }
  std::vector<folder_state> states;
  for (std::size_t number = 0; number < std::min(total, aMax); ++number) {
    std::size_t rest = total <= aMax ? number : aRandom() % total;
    std::vector<std::size_t> choices;
    for (std::size_t count : counts) {
      choices.push_back(rest % count);
      rest /= count;
    }
    states.push_back(MakeState(choices));
  }
  return states;
}

void
WriteState(const std::filesystem::path& aFolder, const folder_state& aState)
{
  std::filesystem::remove_all(aFolder);
  std::filesystem::create_directories(aFolder);
  for (const auto& [name, content] : aState) {
    std::ofstream(aFolder / name, std::ios::binary) << content;
  }
}

}
