#pragma once

#include <boost/outcome.hpp>

#include <string>

namespace hibiscusspool {

/**
 * What went wrong in one layer: the layer's own code, and the cause in words
 * for the log and the caller.
 */
template<typename code>
struct failure
{
  code mCode;
  std::string mDetail;
};

/** A value, or the failure of the layer that was asked for it. */
template<typename value, typename code>
using result = boost::outcome_v2::checked<value, failure<code>>;

/** Makes the failing side of a result. */
template<typename code>
failure<code>
Fail(code aCode, std::string aDetail)
{
  return { aCode, std::move(aDetail) };
}

}
