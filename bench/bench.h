/* bench.h -- measurements, each a subcommand of "bench" */
#ifndef FP_BENCH_H
#define FP_BENCH_H

#include "cli/cli.h"

int bench_main(struct cli *cli, int argc, char **argv);

/* One for each bench file. */
int bench_decide(struct cli *cli, int argc, char **argv);
int bench_log(struct cli *cli, int argc, char **argv);
int bench_route(struct cli *cli, int argc, char **argv);
int bench_replay(struct cli *cli, int argc, char **argv);

#endif /* FP_BENCH_H */
