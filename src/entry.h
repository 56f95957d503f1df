#pragma once

// The process behind `briarvane entry`.

#include "settings.h"

namespace briarvane
{

/// Runs an entry until SIGTERM or SIGINT and returns the process exit code.
int runEntry(const EntrySettings &settings);

}
