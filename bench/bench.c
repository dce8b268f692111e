/* bench.c -- finds the measurement */
#include "bench/bench.h"

#include <stdio.h>
#include <string.h>

int
bench_main(struct cli *cli, int argc, char **argv)
{
    (void)cli;
    (void)argv;
    (void)argc;
    return cli_error(FP_ERR_BAD_REQUEST, "needs: route, log or decide");
}
