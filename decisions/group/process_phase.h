#pragma once

#include "core/name_table.h"

#include <cstdint>
#include <optional>

namespace hibiscusspool {

/** How far a process has come. */
enum class process_phase
{
  Starting,
  Serving,
  Stopped,
};

template<>
inline constexpr name_table<process_phase, 3> kNames<process_phase>{ {
  { process_phase::Starting, "starting" },
  { process_phase::Serving, "serving" },
  { process_phase::Stopped, "stopped" },
} };

/** What a process leaves for the next one on the same host. */
struct process_record
{
  process_phase mPhase = process_phase::Starting;
  /** Processes before this one that ended in a row before they served. */
  std::uint64_t mEarlyEnds = 0;
};

/** The first record of a process that starts after one that left a record. */
constexpr process_record
NextProcess(const std::optional<process_record>& aPrevious)
{
  bool endedEarly = aPrevious && aPrevious->mPhase == process_phase::Starting;
  return { process_phase::Starting,
           endedEarly ? aPrevious->mEarlyEnds + 1 : 0 };
}

}
