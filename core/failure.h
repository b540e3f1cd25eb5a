#pragma once

#include <boost/outcome.hpp>

#include <string>

namespace hibiscusspool {

/**
 * An error of one layer: the layer's error code, and a description for the log
 * and the caller.
 */
template<typename code>
struct failure
{
  code mCode;
  std::string mDetail;
};

/** A value, or the failure of the layer that should have produced it. */
template<typename value, typename code>
using result = boost::outcome_v2::checked<value, failure<code>>;

/** Creates a failure, which converts to a `result`. */
template<typename code>
failure<code>
Fail(code aCode, std::string aDetail)
{
  return { aCode, std::move(aDetail) };
}

}
