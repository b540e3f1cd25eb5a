#pragma once

#include "core/failure.h"
#include "core/name_table.h"

namespace hibiscusspool {

enum class role_error
{
  BadSettings,
  DiskFailed,
  CannotListen,
  CannotStart,
};

template<>
inline constexpr name_table<role_error, 4> kNames<role_error>{ {
  { role_error::BadSettings, "bad_settings" },
  { role_error::DiskFailed, "disk_failed" },
  { role_error::CannotListen, "cannot_listen" },
  { role_error::CannotStart, "cannot_start" },
} };

}
