#pragma once

#include "controllers/account_controller.h"
#include "controllers/catalog_controller.h"

#include <string>

namespace hibiscusspool {

/** One host's request counts per team, which the reports merge. */
std::string
EncodeAccount(const host_id& aHost,
              const account_controller& aAccounts,
              const catalog_controller& aCatalog);

}
