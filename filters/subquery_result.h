#pragma once

#include "filters/request_context.h"
#include "filters/subquery.h"

namespace hibiscusspool {

/** The request with which this host asks the servers of a subquery. */
request_context
ToContext(const subquery& aSubquery,
          std::shared_ptr<caller_status> aCaller,
          subquery_callback aOnProgress,
          steady_time aNow);

/** An update with the merged records of these responses. */
subquery_update
MakeUpdate(const std::vector<service_response>& aResponses,
           const std::vector<std::string>& aPartFields,
           std::size_t aTopRecords);

/** The last update of a subquery, after its request has ended. */
subquery_update
FinalUpdate(request_context& aRequest);

}
