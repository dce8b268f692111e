/* standin.h -- a stand-in target: a worker that announces itself, sends
 * heartbeats, runs tasks for the time that their payload names, and answers
 * requests as a service instance would
 *
 * Used by the demonstration, the golden sessions and the benches; it is also
 * the smallest example of the targets' protocol in docs/API.md.
 */
#ifndef FP_STANDIN_H
#define FP_STANDIN_H

#include <uv.h>

#include "cli/cli.h"
#include "core/change.h"

struct standin_options {
    struct change_target target; /* what it announces; run_id is drawn */
    const char *journal; /* file that gets a line for each start and end */
    bool fail_all;       /* every task fails at once */
    uint32_t stop_ms;    /* time that a checkpoint takes */
    uint32_t answer_ms;  /* time that every request takes */
    uint32_t tick_ms;    /* how often it looks what is due; 0: 2 */
};

struct standin;

/* Starts one on a loop; the options are copied but for the texts. */
enum fp_err standin_new(uv_loop_t *loop, const struct cli *cli,
                        const struct standin_options *options,
                        struct standin **out, char *why, size_t why_bytes);

/* Ends it without a word, as a crash would. */
void standin_free(struct standin *standin);

/* The subcommand. */
int standin_main(struct cli *cli, int argc, char **argv);

#endif /* FP_STANDIN_H */
