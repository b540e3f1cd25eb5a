#include "core/log_event.h"
#include "core/log_writer.h"
#include "core/termination.h"
#include "tests/core/ended_process.h"

#include <cstdio>
#include <cstdlib>
#include <stdexcept>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace hibiscusspool;

TEST_GROUP(termination){
  static void CheckEndedBy(int aSignal, const test::ended_process& aEnded){
    CHECK(WIFSIGNALED(aEnded.mStatus));
LONGS_EQUAL(aSignal, WTERMSIG(aEnded.mStatus));
}
}
;

TEST(termination, AnExceptionThatEndsTheProcessIsNamed)
{
  auto ended = test::RunUntilEnd([] {
    ReportTerminations();
    std::thread([] { throw std::runtime_error("the cause"); }).join();
  });
  CheckEndedBy(SIGABRT, ended);
  STRCMP_CONTAINS("event=terminated cause=\"the cause\"", ended.mText.c_str());
}

TEST(termination, AFaultIsNamedWithItsAddressAndBacktrace)
{
  auto ended = test::RunUntilEnd([] {
    ReportTerminations();
    std::thread([] { raise(SIGSEGV); }).join();
  });
  CheckEndedBy(SIGSEGV, ended);
  STRCMP_CONTAINS("signal=SIGSEGV address=0x", ended.mText.c_str());
  STRCMP_CONTAINS("backtrace=+0x", ended.mText.c_str());
}

TEST(termination, AnAbortIsNamedWithTheLatestErrorOfALibrary)
{
  auto ended = test::RunUntilEnd([] {
    ReportTerminations();
    NoteLibraryError("assertion failed: \"x\"");
    std::abort();
  });
  CheckEndedBy(SIGABRT, ended);
  STRCMP_CONTAINS("library_error=\"assertion failed: _x_\"",
                  ended.mText.c_str());
}

TEST(termination, LinesThatWaitForTheWriterAreWritten)
{
  auto ended = test::RunUntilEnd([] {
    ReportTerminations();
    StartLogWriter();
    log_event("before_the_end").Add("number", 7);
    raise(SIGSEGV);
  });
  CheckEndedBy(SIGSEGV, ended);
  STRCMP_CONTAINS("event=before_the_end number=7", ended.mText.c_str());
}

TEST(termination, TheLastLineIsKeptInAFileForTheNextProcess)
{
  std::FILE* file = std::tmpfile();
  auto ended = test::RunUntilEnd([&] {
    ReportTerminations();
    SetLastWordsFile(fileno(file));
    std::abort();
  });
  CheckEndedBy(SIGABRT, ended);
  std::rewind(file);
  char line[128] = {};
  CHECK(std::fgets(line, sizeof line, file) != nullptr);
  std::fclose(file);
  STRCMP_CONTAINS("event=terminated cause=\"SIGABRT\"", line);
}

TEST(termination, AProcessEndsAlthoughNobodyReadsItsLines)
{
  int ends[2] = {};
  LONGS_EQUAL(0, pipe(ends));
  auto ended = test::RunUntilEnd([&] {
    dup2(ends[1], STDOUT_FILENO);
    ReportTerminations();
    StartLogWriter();
    std::string filling(1000, 'x');
    for (int number = 0; number < 200; ++number) {
      log_event("filling").Add("text", filling);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    log_event("before_the_end").Add("number", 8);
    raise(SIGSEGV);
  });
  CheckEndedBy(SIGSEGV, ended);
  close(ends[0]);
  close(ends[1]);
}
