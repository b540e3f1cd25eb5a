#include <csignal>

namespace {

/** A SIGHUP that arrives before its handler is set would end the process; the
 * settings file, which it announces, is read after that anyway. */
void
IgnoreHangup()
{
  std::signal(SIGHUP, SIG_IGN);
}

using initializer = void (*)();

/** Runs before the initializers of all libraries, which take most of the time
 * until `main`. */
[[gnu::section(".preinit_array"), gnu::used]] const initializer kFirst =
  IgnoreHangup;

}
