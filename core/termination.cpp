#include "core/termination.h"

#include "core/exception_cause.h"
#include "core/last_words.h"
#include "core/log_writer.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <string>

#include <unistd.h>

namespace hibiscusspool {

namespace {

constexpr std::size_t kMaxNotedBytes = 255;

struct noted_error
{
  std::array<char, kMaxNotedBytes> mText{};
  std::size_t mSize = 0;

  [[nodiscard]] std::string_view Text() const
  {
    return { mText.data(), mSize };
  }
};

struct fatal_signal
{
  int mNumber;
  std::string_view mName;
};

constexpr std::array kFatalSignals{
  fatal_signal{ SIGABRT, "SIGABRT" }, fatal_signal{ SIGSEGV, "SIGSEGV" },
  fatal_signal{ SIGBUS, "SIGBUS" },   fatal_signal{ SIGFPE, "SIGFPE" },
  fatal_signal{ SIGILL, "SIGILL" },
};

std::atomic<int> sLastWordsFile{ -1 };
thread_local noted_error tNotedError;
/** The exception that ends the process, if it is one. */
thread_local noted_error tException;

void
Note(noted_error& aError, std::string_view aText)
{
  aError.mSize = std::min(aText.size(), aError.mText.size());
  std::copy_n(aText.begin(), aError.mSize, aError.mText.begin());
}

std::string_view
SignalName(int aSignal)
{
  for (const fatal_signal& known : kFatalSignals) {
    if (known.mNumber == aSignal) {
      return known.mName;
    }
  }
  return "unknown";
}

void
OnFatalSignal(int aSignal, siginfo_t* aInfo, void* /*aContext*/)
{
  last_words line;
  std::string_view name = SignalName(aSignal);
  line.Add("level=error event=terminated cause=")
    .AddQuoted(tException.mSize > 0 ? tException.Text() : name);
  line.Add(" signal=").Add(name);
  if (tNotedError.mSize > 0) {
    line.Add(" library_error=").AddQuoted(tNotedError.Text());
  }
  // Abort sends its signal to itself; the address has a meaning for faults
  // only.
  if (aSignal != SIGABRT) {
    line.Add(" address=0x")
      .AddNumber(reinterpret_cast<std::uintptr_t>(aInfo->si_addr), 16);
  }
  line.Add(" thread=").AddNumber(static_cast<std::uint64_t>(gettid()));
  line.Add(" backtrace=").AddBacktrace();
  line.WriteTo(STDERR_FILENO);
  int file = sLastWordsFile;
  if (file >= 0) {
    line.WriteTo(file);
  }
  WriteQueuedLines();
  // The handler is reset, so that this ends the process when it returns.
  static_cast<void>(raise(aSignal));
}

[[noreturn]] void
Terminate()
{
  Note(tException, CauseOf(std::current_exception()));
  std::abort();
}

}

void
ReportTerminations()
{
  std::set_terminate(Terminate);
  // The first backtrace loads a library, which a signal handler can't.
  last_words unused;
  unused.AddBacktrace();
  for (const fatal_signal& handled : kFatalSignals) {
    struct sigaction action = {};
    action.sa_sigaction = OnFatalSignal;
    action.sa_flags = static_cast<int>(SA_SIGINFO | SA_RESETHAND);
    sigemptyset(&action.sa_mask);
    sigaction(handled.mNumber, &action, nullptr);
  }
}

void
SetLastWordsFile(int aFile)
{
  sLastWordsFile = aFile;
}

void
NoteLibraryError(std::string_view aText)
{
  Note(tNotedError, aText);
}

}
