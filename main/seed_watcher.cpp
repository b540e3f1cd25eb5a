#include "main/seed_watcher.h"

#include "core/log_event.h"
#include "main/role_support.h"

namespace hibiscusspool {

seed_watcher::seed_watcher(std::string aPath,
                           const settings& aSettings,
                           roles& aRoles)
  : mPath(std::move(aPath))
  , mRoles(aRoles)
  , mSeeds(aSettings.mPlatformSeeds)
{
}

void
seed_watcher::Adopt(const settings& aSettings)
{
  std::lock_guard guard(mLock);
  bool isNews = aSettings.IsOnPlatform() && !aSettings.mPlatformSeeds.empty() &&
                aSettings.mPlatformSeeds != mSeeds;
  bool isStarted = mRoles.mControl != nullptr || mRoles.mEntry != nullptr;
  if (!isNews || !isStarted) {
    return;
  }
  mSeeds = aSettings.mPlatformSeeds;
  auto hosts = ControlHosts(aSettings);
  log_event("seeds_changed").Add("count", hosts.size());
  if (mRoles.mControl != nullptr) {
    mRoles.mControl->SetSeeds(hosts);
  }
  if (mRoles.mEntry != nullptr) {
    mRoles.mEntry->SetSeeds(hosts);
  }
}

void
seed_watcher::Reload()
{
  auto loaded = LoadRepairedSettings(mPath);
  if (!loaded) {
    log_event("reload_failed", log_event::severity::Error)
      .Add("error", NameOf(loaded.error().mCode))
      .Add("cause", loaded.error().mDetail);
    return;
  }
  log_event("reloaded")
    .Add("path", mPath)
    .Add("in_force", "seeds now, other settings after the next start");
  LogRepairs(loaded.value().mRepairs);
  Adopt(loaded.value().mSettings);
}

boost::asio::awaitable<void>
seed_watcher::Follow()
{
  if (!mRoles.AreOutOfTouch()) {
    co_return;
  }
  // A file that can't be read now is read again next time.
  auto loaded = LoadRepairedSettings(mPath);
  if (loaded) {
    Adopt(loaded.value().mSettings);
  }
}

}
