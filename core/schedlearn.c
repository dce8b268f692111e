/* schedlearn.c -- learned run times of one team's work in one queue */
#include <stdlib.h>
#include <string.h>

#include "core/schedpriv.h"

static struct learned *
learned_of(const struct sched *sched, const struct job *job, bool make)
{
    char *key = g_strdup_printf("%s\n%s\n%s", job->rec.team, job->rec.queue,
                                job->rec.labels);
    struct learned *learned = g_hash_table_lookup(sched->learned, key);

    if (learned != NULL || !make) {
        g_free(key);
        return learned;
    }
    learned = g_new0(struct learned, 1);
    learned->key = key;
    g_hash_table_insert(sched->learned, learned->key, learned);
    return learned;
}

void
sched_learn(struct sched *sched, const struct task *task)
{
    struct learned *learned = learned_of(sched, task->job, true);
    uint64_t took = task->ended_ms > task->started_ms
                        ? task->ended_ms - task->started_ms
                        : 1;

    learned->run_ms[learned->count % SCHED_LEARN_RUNS] =
        (uint32_t)MIN(took, UINT32_MAX);
    learned->count++;
}

static int
compare_u32(const void *a, const void *b)
{
    uint32_t x = *(const uint32_t *)a;
    uint32_t y = *(const uint32_t *)b;

    return x < y ? -1 : x > y;
}

/* An upper quantile of what was seen, since declared run times are far off.
 */
uint64_t
sched_expected_run_ms(const struct sched *sched, const struct job *job)
{
    const struct learned *learned = learned_of(sched, job, false);
    uint32_t sorted[SCHED_LEARN_RUNS];
    uint32_t count;

    if (learned == NULL || learned->count < 3) {
        return job->rec.run_ms ? job->rec.run_ms : SCHED_DEFAULT_RUN_MS;
    }
    count = MIN(learned->count, SCHED_LEARN_RUNS);
    memcpy(sorted, learned->run_ms, count * sizeof(sorted[0]));
    qsort(sorted, count, sizeof(sorted[0]), compare_u32);
    return sorted[(count - 1) * 9 / 10];
}

bool
sched_has_learned(const struct sched *sched, const struct job *job)
{
    return learned_of(sched, job, false) != NULL;
}
