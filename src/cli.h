#pragma once

// The command line: operator commands, each of which calls the operator port of one entry and prints a table or JSON,
// and the commands `entry` and `serve`, each of which runs an entry.

#include <string>
#include <vector>

namespace briarvane
{

/// Exit codes of every command; docs/operators.md lists them.
enum class ExitCode : int {
    Ok = 0,
    /// The entry answered with an error that has no code of its own (for example because no object has the given
    /// name), the wave that the command waits for was paused or aborted, no pool has the name given to `pool show`, or
    /// the entry that the command runs could not start.
    Failed = 1,
    Usage = 2,  // wrong flags or settings, or a file that cannot be read
    /// The file is not valid, or a budget or the state of the object forbids the change.
    Refused = 3,
    /// Another version than --expected-version is in force, the object was changed by someone else at the same time,
    /// the instance is being drained, moved or rebooted or has failed, or the name or pool of a new wave is already in
    /// use.
    Conflict = 4,
    /// The entry sent no valid response or answered with status 503, for example because the store cannot be reached,
    /// or the state of the instance or wave that the command waits for could not be read.
    Unavailable = 5,
    /// The change was accepted, but not every entry confirmed it in time, or it was not finished within --wait-s.
    Partial = 6,
};

/// Runs the program and returns its exit code. `arguments` does not include the name of the program.
int runCommandLine(const std::vector<std::string> &arguments);

}
