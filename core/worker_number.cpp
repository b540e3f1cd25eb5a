#include "core/worker_number.h"

namespace hibiscusspool {

namespace {

thread_local worker_number tCurrentWorker = 0;

}

worker_number
CurrentWorker()
{
  return tCurrentWorker;
}

void
SetCurrentWorker(worker_number aNumber)
{
  tCurrentWorker = aNumber;
}

}
