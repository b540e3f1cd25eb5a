#pragma once

#include "core/failure.h"
#include "core/name_table.h"

namespace hibiscusspool {

enum class role_error
{
  BadSettings,
  /** The data folder is damaged. */
  DiskFailed,
  /** The data folder is in use, or the disk refused to be read or written,
   * which may pass. */
  DiskUnavailable,
  CannotListen,
  CannotStart,
};

template<>
inline constexpr name_table<role_error, 5> kNames<role_error>{ {
  { role_error::BadSettings, "bad_settings" },
  { role_error::DiskFailed, "disk_failed" },
  { role_error::DiskUnavailable, "disk_unavailable" },
  { role_error::CannotListen, "cannot_listen" },
  { role_error::CannotStart, "cannot_start" },
} };

}
