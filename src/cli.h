#pragma once

// Operator commands: each talks to the operator port of one entry and prints a table or JSON.

#include <string>
#include <vector>

namespace briarvane
{

/// Exit codes of every command; docs/operators.md lists them.
enum class ExitCode : int {
    Ok = 0,
    Failed = 1,       // the request was made and did not succeed
    Usage = 2,        // wrong flags or settings
    Refused = 3,      // a budget, a check of the file or a policy forbids it
    Conflict = 4,     // somebody else changed the same thing
    Unavailable = 5,  // the entry or the store cannot be reached
    Partial = 6,      // accepted, but not confirmed by every entry in time
};

/// Runs the program with its arguments, without the program's name.
int runCommandLine(const std::vector<std::string> &arguments);

}
