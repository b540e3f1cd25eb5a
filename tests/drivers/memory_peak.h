#pragma once

#include <cstddef>
#include <functional>

namespace hibiscusspool {

/**
 * Calls a function in a child process, and returns by how many bytes the peak
 * of the child's memory grew. Fails the test if the child doesn't exit with 0.
 */
std::size_t
PeakGrowth(const std::function<void()>& aBody);

}
