/* bench.c -- finds the measurement */
#include "bench/bench.h"

#include <stdio.h>
#include <string.h>

int
bench_main(struct cli *cli, int argc, char **argv)
{
    if (argc >= 2 && strcmp(argv[1], "decide") == 0) {
        return bench_decide(cli, argc - 1, argv + 1);
    }
    return cli_error(FP_ERR_BAD_REQUEST, "needs: route, log or decide");
}
