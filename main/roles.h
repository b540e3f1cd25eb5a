#pragma once

#include "main/control_role.h"
#include "main/entry_role.h"

#include <memory>

namespace hibiscusspool {

/** The roles of this process; null for those that it doesn't have. */
struct roles
{
  std::unique_ptr<control_role> mControl;
  std::unique_ptr<entry_role> mEntry;

  [[nodiscard]] bool AreOutOfTouch() const
  {
    return (mControl != nullptr && mControl->IsOutOfTouch()) ||
           (mEntry != nullptr && mEntry->IsOutOfTouch());
  }
};

}
