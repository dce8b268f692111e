/* schedwhy.c -- what running work is to do, and why waiting work waits */
#include <stdio.h>
#include <string.h>

#include "core/schedpriv.h"

/* Throttling is derived from the hours each time, never stored. */
static bool
is_throttled(const struct sched *sched, const struct task *task)
{
    GHashTableIter iter;
    struct hours *hours;

    g_hash_table_iter_init(&iter, sched->cell->hours);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&hours)) {
        if (hours->conf.action == HOURS_THROTTLE &&
            selector_match(hours->work, task->job->rec.labels) &&
            selector_match(hours->hosts, task->target->labels) &&
            sched_hours_active(&hours->conf, sched->wall_ms)) {
            return true;
        }
    }
    return false;
}

enum sched_order
sched_order(const struct sched *sched, const struct task *task)
{
    const struct yielding *yielding =
        g_hash_table_lookup(sched->yielding, &task->id);

    if (task->cancelling) {
        return SCHED_STOP;
    }
    if (yielding != NULL && yielding->attempt == task->attempt) {
        return yielding->order;
    }
    return is_throttled(sched, task) ? SCHED_THROTTLE : SCHED_RUN;
}

const char *
sched_block_name(enum sched_block block)
{
    static const char *const names[SCHED_BLOCK_COUNT] = {
        "next in line", "starting",         "backoff",
        "team limit",   "quiet hours",      "no matching target",
        "no room",      "rest of its gang", "smaller shares first"};

    return names[block];
}

static uint32_t
place_in_line(const struct wait *wait)
{
    uint32_t place = 1;

    for (const struct wait *at = wait->prev; at != NULL; at = at->prev) {
        place++;
    }
    return place;
}

/* Rough: the line ahead, one run time for each batch that the running tasks of
 * the same team make up. No estimate without learned run times.
 */
static uint64_t
estimate(const struct sched *sched, const struct wait *wait, uint32_t place)
{
    const struct job *job = wait->task->job;
    uint64_t run_ms = sched_expected_run_ms(sched, job);
    uint32_t running = job->team->use.running;

    if (!sched_has_learned(sched, job) || running == 0) {
        return 0;
    }
    return run_ms * place / running;
}

static void
explain_line(const struct sched *sched, const struct wait *wait,
             struct sched_reason *reason)
{
    const struct work_class *cls = wait->cls;
    const struct change_submit *size = &cls->size;

    reason->block = cls->block;
    reason->place = place_in_line(wait);
    reason->estimate_ms = estimate(sched, wait, reason->place);
    switch (cls->block) {
    case SCHED_BLOCK_LIMIT:
        snprintf(reason->text, sizeof(reason->text),
                 "team %s is at its upper limit: %u tasks running, %u units "
                 "granted to requests",
                 cls->team->conf.name, cls->team->use.running,
                 cls->team->granted);
        break;
    case SCHED_BLOCK_ROOM:
        snprintf(reason->text, sizeof(reason->text),
                 "none of %u matching targets has %u cpu_milli, %u MB and %u "
                 "accel free",
                 cls->domain->hosts->len, size->cpu_milli, size->memory_mb,
                 size->accel);
        break;
    case SCHED_BLOCK_HOURS:
        snprintf(reason->text, sizeof(reason->text),
                 "quiet hours hold on every matching target");
        break;
    case SCHED_BLOCK_NO_HOST:
        snprintf(reason->text, sizeof(reason->text),
                 "no target that is up matches the selectors");
        break;
    default:
        snprintf(reason->text, sizeof(reason->text),
                 "place %u in the line of team %s", reason->place,
                 cls->team->conf.name);
    }
}

void
sched_why(struct sched *sched, const struct task *task,
          struct sched_reason *reason)
{
    bool is_gang = task->job->rec.kind == WORK_GANG;
    const struct gang *gang = is_gang ? sched_gang_of(task->job) : NULL;
    const struct wait *wait = is_gang ? gang->wait : task->sched;

    memset(reason, 0, sizeof(*reason));
    if (task->state != TASK_WAITING) {
        snprintf(reason->text, sizeof(reason->text), "the task is %s",
                 TASK_STATE_NAMES[task->state]);
        return;
    }
    if (wait == NULL) {
        reason->block = is_gang ? SCHED_BLOCK_GANG : SCHED_BLOCK_NONE;
        snprintf(reason->text, sizeof(reason->text),
                 "waits for the rest of its gang to stop");
        return;
    }
    if (wait->proposed) {
        reason->block = SCHED_BLOCK_STARTING;
        snprintf(reason->text, sizeof(reason->text), "is being started");
        return;
    }
    if (wait->delayed != NULL) {
        reason->block = SCHED_BLOCK_RETRY;
        reason->estimate_ms = wait->task->retry_at_ms > sched->wall_ms
                                  ? wait->task->retry_at_ms - sched->wall_ms
                                  : 0;
        snprintf(reason->text, sizeof(reason->text),
                 "waits out a backoff after %u failures", task->failures);
        return;
    }
    explain_line(sched, wait, reason);
}
