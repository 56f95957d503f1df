#pragma once

// The daemon.

#include "settings.h"

namespace briarvane
{

/// Runs an entry until it is told to stop; returns the exit code.
int runEntry(const EntrySettings &settings);

}
