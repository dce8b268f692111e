/* schedwhy.c -- orders for running tasks and explanations for waiting ones */
#include <stdio.h>
#include <string.h>

#include "core/schedpriv.h"

/* Throttling follows from the quiet hours at each call; it is not stored. */
static bool
is_throttled(const struct sched *sched, const struct task *task)
{
    GHashTableIter iter;
    struct quiet_hours *hours;

    g_hash_table_iter_init(&iter, sched->cell->quiet_hours);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&hours)) {
        if (hours->conf.action == QUIET_HOURS_THROTTLE &&
            selector_match(hours->work_selector, task->job->rec.labels) &&
            selector_match(hours->target_selector, task->target->labels) &&
            sched_hours_active(&hours->conf, sched->wall_ms)) {
            return true;
        }
    }
    return false;
}

enum sched_order
sched_task_order(const struct sched *sched, const struct task *task)
{
    const struct eviction *eviction =
        g_hash_table_lookup(sched->evictions, &task->id);

    if (task->cancelling) {
        return SCHED_ORDER_STOP;
    }
    if (eviction != NULL && eviction->attempt == task->attempt) {
        return eviction->order;
    }
    return is_throttled(sched, task) ? SCHED_ORDER_THROTTLE : SCHED_ORDER_RUN;
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
queue_position(const struct wait_entry *wait)
{
    uint32_t position = 1;

    for (const struct wait_entry *at = wait->prev; at != NULL; at = at->prev) {
        position++;
    }
    return position;
}

/* Returns a rough estimate of the wait: the expected run time, times the
 * position in the queue, over the number of running tasks of the team. 0, no
 * estimate, without recorded run times or running tasks.
 */
static uint64_t
estimate_wait_ms(const struct sched *sched, const struct wait_entry *wait,
                 uint32_t position)
{
    const struct job *job = wait->task->job;
    uint64_t run_ms = sched_expected_run_ms(sched, job);
    uint32_t running = job->team->used.running;

    if (!sched_has_run_history(sched, job) || running == 0) {
        return 0;
    }
    return run_ms * position / running;
}

static void
explain_queued(const struct sched *sched, const struct wait_entry *wait,
               struct sched_explanation *explanation)
{
    const struct work_class *cls = wait->cls;
    const struct change_submit *size = &cls->size;

    explanation->block = cls->block;
    explanation->position = queue_position(wait);
    explanation->estimate_ms =
        estimate_wait_ms(sched, wait, explanation->position);
    switch (cls->block) {
    case SCHED_BLOCK_TEAM_LIMIT:
        snprintf(explanation->text, sizeof(explanation->text),
                 "team %s is at its upper limit: %u tasks running, %u units "
                 "granted to requests",
                 cls->team->conf.name, cls->team->used.running,
                 cls->team->granted_units);
        break;
    case SCHED_BLOCK_NO_CAPACITY:
        snprintf(explanation->text, sizeof(explanation->text),
                 "none of %u matching targets has %u cpu_milli, %u MB and %u "
                 "accel free",
                 cls->candidates->hosts->len, size->cpu_milli, size->memory_mb,
                 size->accel);
        break;
    case SCHED_BLOCK_QUIET_HOURS:
        snprintf(explanation->text, sizeof(explanation->text),
                 "quiet hours hold on every matching target");
        break;
    case SCHED_BLOCK_NO_TARGET:
        snprintf(explanation->text, sizeof(explanation->text),
                 "no target that is up matches the selectors");
        break;
    default:
        snprintf(explanation->text, sizeof(explanation->text),
                 "place %u in the line of team %s", explanation->position,
                 cls->team->conf.name);
    }
}

void
sched_explain(struct sched *sched, const struct task *task,
              struct sched_explanation *explanation)
{
    bool is_gang = task->job->rec.kind == WORK_GANG;
    const struct gang *gang = is_gang ? sched_get_gang(task->job) : NULL;
    const struct wait_entry *wait = is_gang ? gang->wait : task->sched;

    memset(explanation, 0, sizeof(*explanation));
    if (task->state != TASK_WAITING) {
        snprintf(explanation->text, sizeof(explanation->text),
                 "the task is %s", TASK_STATE_NAMES[task->state]);
        return;
    }
    if (wait == NULL) {
        explanation->block =
            is_gang ? SCHED_BLOCK_GANG_STOPPING : SCHED_BLOCK_NONE;
        snprintf(explanation->text, sizeof(explanation->text),
                 "waits for the rest of its gang to stop");
        return;
    }
    if (wait->proposed) {
        explanation->block = SCHED_BLOCK_STARTING;
        snprintf(explanation->text, sizeof(explanation->text),
                 "is being started");
        return;
    }
    if (wait->backoff_iter != NULL) {
        explanation->block = SCHED_BLOCK_BACKOFF;
        explanation->estimate_ms =
            wait->task->retry_at_ms > sched->wall_ms
                ? wait->task->retry_at_ms - sched->wall_ms
                : 0;
        snprintf(explanation->text, sizeof(explanation->text),
                 "waits out a backoff after %u failures", task->failures);
        return;
    }
    explain_queued(sched, wait, explanation);
}
