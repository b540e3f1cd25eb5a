#include "core/termination.h"
#include "drivers/grpc_settings.h"
#include "tests/core/ended_process.h"

#include <grpc/grpc.h>
#include <grpc/support/log.h>

#include <CppUTest/TestHarness.h>

using namespace hibiscusspool;

TEST_GROUP(grpc_messages){};

TEST(grpc_messages, AFailedAssertionOfTheLibraryIsInTheLastLine)
{
  auto ended = test::RunUntilEnd([] {
    ReportTerminations();
    LogGrpcMessages();
    // Before this the library logs nothing.
    grpc_init();
    bool isHeld = false;
    GPR_ASSERT(isHeld);
  });
  CHECK(WIFSIGNALED(ended.mStatus));
  LONGS_EQUAL(SIGABRT, WTERMSIG(ended.mStatus));
  STRCMP_CONTAINS("library_error=\"assertion failed: isHeld\"",
                  ended.mText.c_str());
}
