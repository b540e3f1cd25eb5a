// CppUTest redefines `new`, so other headers must come before its own.
#include <glog/logging.h>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int
main(int aCount, char** aArguments)
{
  FLAGS_minloglevel = google::GLOG_FATAL;
  // Libraries keep objects for the life of the process, which the leak check
  // would report.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aArguments);
}
