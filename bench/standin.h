/* standin.h -- the stand-in target, which simulates a worker: it announces
 * itself, sends heartbeats, runs each task for the time in its payload, and
 * answers requests like a service instance
 *
 * Used by the demonstration, the golden sessions and the benchmarks. It is
 * also a minimal example of the target protocol in docs/API.md.
 */
#ifndef FP_STANDIN_H
#define FP_STANDIN_H

#include <uv.h>

#include "cli/cli.h"
#include "core/change.h"

struct standin_options {
    struct change_target target; /* announced; run_id is drawn at random */
    const char *journal; /* file to append starts and ends to; NULL: none */
    bool fail_all;       /* fail every task immediately */
    uint32_t stop_ms;    /* duration of a checkpoint */
    uint32_t answer_ms;  /* default delay of a response */
    uint32_t tick_ms;    /* timer interval; 0: 2 */
};

struct standin;

/* Starts a stand-in target on the loop. options is copied. cli->key must stay
 * valid as long as the target; requests are served only if options->target has
 * an address. Returns the errors of httpd_new(), with the reason in why. *out
 * is set on errors too; release it by standin_free().
 */
enum fp_err standin_new(uv_loop_t *loop, const struct cli *cli,
                        const struct standin_options *options,
                        struct standin **out, char *why, size_t why_bytes);

/* Stops and frees the target without notice to the hosts, as if it had
 * crashed. standin may be NULL.
 */
void standin_free(struct standin *standin);

/* The subcommand "standin"; returns the exit code. */
int standin_main(struct cli *cli, int argc, char **argv);

#endif /* FP_STANDIN_H */
