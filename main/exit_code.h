#pragma once

#include "core/name_table.h"
#include "main/role_error.h"

namespace hibiscusspool {

/** The codes with which a process ends; a signal has none of them. */
enum class exit_code
{
  Success,
  /** An exception, or a command that failed. */
  Failure,
  /** The command line or the settings file. */
  UsageError,
  BadSettings,
  DiskFailed,
  CannotListen,
  CannotStart,
};

template<>
inline constexpr name_table<exit_code, 7> kNames<exit_code>{ {
  { exit_code::Success, "success" },
  { exit_code::Failure, "failure" },
  { exit_code::UsageError, "usage_error" },
  { exit_code::BadSettings, "bad_settings" },
  { exit_code::DiskFailed, "disk_failed" },
  { exit_code::CannotListen, "cannot_listen" },
  { exit_code::CannotStart, "cannot_start" },
} };

/** The code of a process whose role could not be started. */
constexpr exit_code
ExitCodeOf(role_error aError)
{
  switch (aError) {
    case role_error::BadSettings:
      return exit_code::BadSettings;
    case role_error::DiskFailed:
    case role_error::DiskUnavailable:
      return exit_code::DiskFailed;
    case role_error::CannotListen:
      return exit_code::CannotListen;
    case role_error::CannotStart:
      return exit_code::CannotStart;
  }
  return exit_code::Failure;
}

}
