#pragma once

#include <string_view>

namespace hibiscusspool {

/**
 * Lets a process that ends by itself say why in a last line on standard error,
 * before the process aborts: an exception that nothing catches, a failed
 * assertion or a fault. Then the queued lines of the log are written, as far as
 * standard output takes them at once. The signal still ends the process.
 */
void
ReportTerminations();

/** Also writes the last line to this open file, so that the next process can
 * read it; -1 for none. */
void
SetLastWordsFile(int aFile);

/** Keeps the latest error of a library on this thread, which may abort the
 * process next; the last line then holds it, cut to 255 bytes. */
void
NoteLibraryError(std::string_view aText);

}
