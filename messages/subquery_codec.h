#pragma once

#include "filters/subquery.h"
#include "messages/codec_error.h"

#include <control.pb.h>

namespace hibiscusspool {

// An update names services by their position in the subquery, and a part's
// header fields by the position of their names, so both functions for updates
// need these lists.

void
WriteSubquery(const subquery& aSubquery, wire::SubqueryRequest& aOut);
result<subquery, codec_error>
ReadSubquery(const wire::SubqueryRequest& aIn);

void
WriteSubqueryUpdate(const subquery_update& aUpdate,
                    const std::vector<service_id>& aServices,
                    wire::SubqueryReply& aOut);
result<subquery_update, codec_error>
ReadSubqueryUpdate(const wire::SubqueryReply& aIn,
                   const std::vector<service_id>& aServices,
                   const std::vector<std::string>& aPartFields);

}
