#pragma once

#include "main/roles.h"
#include "settings/settings.h"

#include <boost/asio/awaitable.hpp>

#include <mutex>
#include <string>

namespace hibiscusspool {

/** Follows the seeds in the settings file while the process runs. All other
 * settings are in force after the next start. */
class seed_watcher
{
  std::string mPath;
  roles& mRoles;
  std::mutex mLock;
  endpoint_list mSeeds;

  /** Adopts seeds that differ from the last ones. */
  void Adopt(const settings& aSettings);

public:
  /** The roles may be started later than the watcher. */
  seed_watcher(std::string aPath, const settings& aSettings, roles& aRoles);

  /** Reads the file after a signal and reports what it holds. */
  void Reload();
  /** Reads the file again while a role is out of touch with the control hosts:
   * it may name other seeds by now. */
  boost::asio::awaitable<void> Follow();
};

}
