#include "cli.h"

int main(int argc, char **argv)
{
    return briarvane::runCommandLine({argv + 1, argv + argc});
}
