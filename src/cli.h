#pragma once

// The command line: operator commands, each of which calls the operator port of one entry and prints a table or JSON,
// and the commands `entry` and `serve` that run the daemon.

#include <string>
#include <vector>

namespace briarvane
{

/// Exit codes of every command; docs/operators.md lists them.
enum class ExitCode : int {
    Ok = 0,
    Failed = 1,       // the request was sent and failed
    Usage = 2,        // wrong flags or settings
    Refused = 3,      // a budget, a check of the file or a policy forbids the change
    Conflict = 4,     // another operator changed the same object at the same time
    Unavailable = 5,  // the entry or the store cannot be reached
    Partial = 6,      // accepted, but not confirmed by every entry in time
};

/// Runs the program and returns its exit code. `arguments` does not include the name of the program.
int runCommandLine(const std::vector<std::string> &arguments);

}
