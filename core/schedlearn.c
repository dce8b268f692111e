/* schedlearn.c -- predicts run times from those of earlier tasks
 *
 * Tasks of one team, queue and labels share a history.
 */
#include <stdlib.h>
#include <string.h>

#include "core/schedpriv.h"

static struct run_history *
find_history(const struct sched *sched, const struct job *job, bool create)
{
    char *key = g_strdup_printf("%s\n%s\n%s", job->rec.team, job->rec.queue,
                                job->rec.labels);
    struct run_history *history = g_hash_table_lookup(sched->run_history, key);

    if (history != NULL || !create) {
        g_free(key);
        return history;
    }
    history = g_new0(struct run_history, 1);
    history->key = key;
    g_hash_table_insert(sched->run_history, history->key, history);
    return history;
}

void
sched_record_run_time(struct sched *sched, const struct task *task)
{
    struct run_history *history = find_history(sched, task->job, true);
    uint64_t run_ms = task->ended_ms > task->started_ms
                          ? task->ended_ms - task->started_ms
                          : 1;

    history->run_ms[history->count % SCHED_HISTORY_RUNS] =
        (uint32_t)MIN(run_ms, UINT32_MAX);
    history->count++;
}

static int
compare_u32(const void *a, const void *b)
{
    uint32_t x = *(const uint32_t *)a;
    uint32_t y = *(const uint32_t *)b;

    return x < y ? -1 : x > y;
}

/* Returns the 90th percentile of the recorded run times, since declared run
 * times are far off. With fewer than three runs, returns the declared time or
 * SCHED_DEFAULT_RUN_MS.
 */
uint64_t
sched_expected_run_ms(const struct sched *sched, const struct job *job)
{
    const struct run_history *history = find_history(sched, job, false);
    uint32_t sorted[SCHED_HISTORY_RUNS];
    uint32_t count;

    if (history == NULL || history->count < 3) {
        return job->rec.run_ms ? job->rec.run_ms : SCHED_DEFAULT_RUN_MS;
    }
    count = MIN(history->count, SCHED_HISTORY_RUNS);
    memcpy(sorted, history->run_ms, count * sizeof(sorted[0]));
    qsort(sorted, count, sizeof(sorted[0]), compare_u32);
    return sorted[(count - 1) * 9 / 10];
}

bool
sched_has_run_history(const struct sched *sched, const struct job *job)
{
    return find_history(sched, job, false) != NULL;
}
