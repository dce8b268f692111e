/* bench.c -- finds the measurement */
#include "bench/bench.h"

#include <string.h>

static const struct cli_command MEASUREMENTS[] = {
    {"decide", "", "decisions, in virtual time", bench_decide},
    {"log", "FOLDER", "replicated changes, starts, memory", bench_log},
    {"replay", "FILE", "a load of fleets, in virtual time", bench_replay},
    {"route", "", "requests against direct calls", bench_route},
    {NULL, NULL, NULL, NULL},
};

int
bench_main(struct cli *cli, int argc, char **argv)
{
    for (const struct cli_command *at = MEASUREMENTS; at->name != NULL; at++) {
        if (argc >= 2 && strcmp(argv[1], at->name) == 0) {
            return at->run(cli, argc - 1, argv + 1);
        }
    }
    return cli_error(FP_ERR_BAD_REQUEST,
                     "needs: decide, log, replay or route");
}
