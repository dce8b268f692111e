/* plancrash.c -- crashes of targets: which runs may have caused them, and how
 * their tasks are started from then on
 *
 * Workload: tasks that crash every target that starts them, among other work,
 * and among targets that are lost for other causes: with a rack, a service, or
 * at random. A target that has crashed lists no ends, so the cause is
 * inferred.
 *
 * A run is suspected if the target was last known to be alive shortly after
 * the order to start it. If several jobs have such runs on the target, each of
 * them is tried apart: its tasks start on a target where nothing else was just
 * started, and nothing else starts there meanwhile. A run that outlives the
 * trial clears its task. If several targets are lost at the same time, and the
 * starts on them do not explain that, no task is suspected.
 */
#include <string.h>

#include "core/planpriv.h"

/* A start crashes its target within this time, which includes the order's way
 * to the target. */
#define START_CRASH_MS 300u
/* A target that crashes at a start is not back before this time. */
#define RESTART_MIN_MS 1000u
/* So many starts after which the target was lost, whatever is known of them:
 * the next ones count in full. */
#define UNSURE_STARTS_MAX 3u
/* A run that is older than this is never taken for the cause of a crash. */
#define LATE_CRASH_MAX_MS 10000u
/* Losses of targets with a common cause are noticed within this time of each
 * other, as they end their connections. */
#define COMMON_CAUSE_MS 100u
/* The same for targets that do not end their connections: it takes the time of
 * a call without an answer to notice that. */
#define COMMON_CAUSE_SILENT_MS 2000u
/* Weight of another target that is lost at the same time as a sign of a common
 * cause: without a start that would explain it, and with one of a task that
 * was not suspected before. */
#define UNEXPLAINED_WEIGHT 2u
#define UNEXPECTED_WEIGHT 1u
/* Sum of the weights from which on there is a common cause: in a rack, and in
 * a service, where it is at least COMMON_PERCENT of the targets. */
#define COMMON_IN_RACK 3u
#define COMMON_IN_SERVICE 4u
#define COMMON_PERCENT 4u
#define SILENCES_KEPT_MS 60000u

static struct plan_task *
task_of(const struct plan_run *run)
{
    return run->step != NULL ? &run->step->job->tasks[run->task_number] : NULL;
}

/* ---- suspects ----------------------------------------------------------- */

/* The last time at which a target is known to have been alive. A process that
 * is cut off or stopped does not end its connections. */
static uint64_t
last_alive_ms(const struct plan_target *target)
{
    return target->closed ? target->silent_ms : target->alive_ms;
}

static uint64_t
ran_ms(const struct plan_run *run)
{
    const uint64_t alive_ms = last_alive_ms(run->target);

    return alive_ms - MIN(alive_ms, run->ordered_ms);
}

/* How long a run must go on until it is not the cause of earlier crashes. */
static uint64_t
clearing_ms(const struct crashes *crashes)
{
    if (crashes == NULL || crashes_count(crashes, CRASH_PRESENT) == 0) {
        return START_CRASH_MS;
    }
    return MIN(2 * (uint64_t)crashes->ran_ms + START_CRASH_MS,
               LATE_CRASH_MAX_MS);
}

/* Whether a run may have crashed its target: by its start, or some time later
 * if its task has been present at several crashes. */
static bool
is_suspect(const struct plan_run *run)
{
    const struct plan_task *task = task_of(run);
    uint64_t within_ms = START_CRASH_MS;

    if (run->active_since_ms == 0) {
        return true; /* its order may be carried out at any time */
    }
    if (task != NULL && task->crashes != NULL &&
        crashes_count(task->crashes, CRASH_PRESENT) >= CRASHES_PRESENT_MAX) {
        within_ms = clearing_ms(task->crashes);
    }
    return ran_ms(run) < within_ms;
}

/* Number of other runs of the task by whose start a target may have crashed.
 */
static uint32_t
other_crashes(const struct plan_run *run)
{
    const struct crashes *crashes = task_of(run)->crashes;
    uint32_t count = 0;

    for (uint32_t i = 0; crashes != NULL && i < crashes->count; i++) {
        count += crashes->entries[i].run != run->run_number &&
                 crashes->entries[i].evidence != CRASH_PRESENT;
    }
    return count;
}

/* Whether the start of a run that its target has not confirmed has crashed it.
 * An order to a target that is dark, or that has crashed before and is just
 * back, has no answer either. */
static bool
has_start_crashed(const struct plan_run *run, uint64_t now_ms)
{
    const struct plan_target *target = run->target;

    if (!run->is_trial) {
        return false;
    }
    return other_crashes(run) >= UNSURE_STARTS_MAX ||
           (target->closed && target->silent_ms >= run->ordered_ms &&
            target->silent_ms < run->ordered_ms + START_CRASH_MS &&
            now_ms >= run->ordered_ms + RESTART_MIN_MS);
}

/* ---- evidence ----------------------------------------------------------- */

static void
add_evidence(struct plan *plan, struct plan_step *step,
             const struct fleet_task_id *id, uint32_t run_number,
             enum crash_evidence evidence, uint64_t run_ms)
{
    struct plan_task *task = &step->job->tasks[step->first_task + id->index];
    struct fleet_task_crash *item;
    const enum crash_verdict before = crashes_verdict(task->crashes);

    if (task->crashes == NULL) {
        task->crashes = g_new0(struct crashes, 1);
    }
    if (!crashes_add(task->crashes, run_number, evidence,
                     (uint32_t)MIN(run_ms, UINT32_MAX))) {
        return;
    }
    step->job->has_crashes = true;
    plan->dirty = true;
    if (before != CRASH_PROVEN &&
        crashes_verdict(task->crashes) == CRASH_PROVEN) {
        plan->counters.tasks_given_up++;
    }
    item = fp_list_add(&plan->evidence, sizeof(*item));
    *item =
        (struct fleet_task_crash){.task = *id,
                                  .run = run_number,
                                  .evidence = evidence,
                                  .ran_ms = (uint32_t)MIN(run_ms, UINT32_MAX)};
}

void
plan_suspect_run(struct plan *plan, struct plan_run *run, uint64_t now_ms)
{
    struct plan_task *task = task_of(run);

    if (task != NULL && !run->is_open_crash && !run->is_judged) {
        run->is_open_crash = true;
        task->open_crashes++;
        add_evidence(plan, run->step, &run->task, run->run_number,
                     run->active_since_ms == 0 &&
                             !has_start_crashed(run, now_ms)
                         ? CRASH_UNSURE
                         : CRASH_OPEN,
                     0);
    }
}

/* Returns whether it was open. */
static bool
end_open_crash(struct plan_run *run)
{
    struct plan_task *task = task_of(run);
    const bool was_open = run->is_open_crash;

    run->is_open_crash = false;
    if (was_open && task != NULL) {
        task->open_crashes--;
    }
    return was_open;
}

void
plan_unsuspect_run(struct plan *plan, struct plan_run *run)
{
    if (end_open_crash(run) && task_of(run) != NULL) {
        add_evidence(plan, run->step, &run->task, run->run_number,
                     CRASH_WITHDRAWN, 0);
    }
}

/* ---- silent targets ----------------------------------------------------- */

void
plan_target_answers(struct plan_target *target, uint64_t now_ms)
{
    target->alive_ms = MAX(target->alive_ms, now_ms);
}

/* How much a silent target speaks for a cause that it shares with others. */
static uint32_t
common_weight(const struct plan_target *target)
{
    uint32_t weight = UNEXPLAINED_WEIGHT;

    if (target->alive_ms == 0) {
        return 0; /* it may have been lost before this term */
    }
    for (guint i = 0; i < target->runs->len; i++) {
        const struct plan_run *run = target->runs->pdata[i];
        const struct plan_task *task = task_of(run);

        if (!is_suspect(run)) {
            continue;
        }
        if (task != NULL &&
            crashes_verdict(task->crashes) != CRASH_NOT_SUSPECTED) {
            return 0;
        }
        weight = UNEXPECTED_WEIGHT;
    }
    return weight;
}

static void
drop_old_silences(struct plan *plan, uint64_t now_ms)
{
    guint old = 0;

    while (old < plan->silences->len &&
           g_array_index(plan->silences, struct plan_silence, old).at_ms +
                   SILENCES_KEPT_MS <
               now_ms) {
        old++;
    }
    if (old > 0) {
        g_array_remove_range(plan->silences, 0, old);
    }
}

static void
begin_silence(struct plan *plan, struct plan_target *target, bool closed,
              uint64_t now_ms)
{
    struct plan_silence silence = {
        .number = ++plan->last_silence, .at_ms = now_ms, .pool = target->pool};

    target->silent_ms = now_ms;
    target->closed = closed;
    target->silence = silence.number;
    silence.closed = closed;
    silence.common_weight = common_weight(target);
    g_strlcpy(silence.rack, target->target->rec.rack, sizeof(silence.rack));
    drop_old_silences(plan, now_ms);
    g_array_append_val(plan->silences, silence);
}

void
plan_end_silence(struct plan *plan, struct plan_target *target)
{
    if (target->silent_ms == 0) {
        return;
    }
    for (guint i = plan->silences->len; i > 0; i--) {
        struct plan_silence *silence =
            &g_array_index(plan->silences, struct plan_silence, i - 1);

        if (silence->number == target->silence) {
            silence->answered = true;
            break;
        }
    }
    target->silent_ms = 0;
    target->closed = false;
    for (guint i = 0; i < target->runs->len; i++) {
        plan_unsuspect_run(plan, target->runs->pdata[i]);
    }
}

/* A target that ends its connections has probably crashed, and its tasks that
 * allow copies start elsewhere before that is certain. A target that only does
 * not answer may be cut off: that adds to a suspicion, and raises none. The
 * silence of one that has departed was announced. */
void
plan_target_silent(struct plan *plan, struct fleet_target *target, bool closed,
                   uint64_t now_ms)
{
    struct plan_target *ptarget = target->plan;

    if (ptarget->silent_ms == 0 && !target->rec.departed) {
        begin_silence(plan, ptarget, closed, now_ms);
        for (guint i = 0; i < ptarget->runs->len; i++) {
            struct plan_run *run = ptarget->runs->pdata[i];

            if (run->step != NULL && is_suspect(run) &&
                (closed || plan_is_step_suspected(run->step))) {
                plan_suspect_run(plan, run, now_ms);
            }
        }
    }
    plan_set_target_usable(plan, target, false);
}

/* Whether the loss of a target has a cause that it shares with others. */
static bool
has_common_cause(const struct plan *plan, const struct plan_target *target)
{
    const uint64_t within_ms =
        target->closed ? COMMON_CAUSE_MS : COMMON_CAUSE_SILENT_MS;
    uint32_t in_rack = 0;
    uint32_t in_service = 0;

    for (guint i = 0; i < plan->silences->len; i++) {
        const struct plan_silence *other =
            &g_array_index(plan->silences, struct plan_silence, i);

        if (other->number == target->silence || other->answered ||
            other->closed != target->closed ||
            other->at_ms + within_ms < target->silent_ms ||
            target->silent_ms + within_ms < other->at_ms) {
            continue;
        }
        if (other->pool == target->pool) {
            in_service += other->common_weight;
        }
        if (strcmp(other->rack, target->target->rec.rack) == 0) {
            in_rack += other->common_weight;
        }
    }
    return in_rack >= COMMON_IN_RACK ||
           in_service >= MAX(COMMON_IN_SERVICE, target->pool->targets->len *
                                                    COMMON_PERCENT / 100);
}

/* ---- judging a crash ---------------------------------------------------- */

void
plan_store_evidence(struct plan *plan)
{
    struct fp_list items = plan->evidence;

    if (items.count == 0) {
        return;
    }
    plan->evidence = (struct fp_list){NULL, 0};
    if (plan->ops.store_evidence != NULL) {
        plan->ops.store_evidence(plan->ops.ctx, &items);
    }
    g_free(items.items);
}

void
plan_clear_task(struct plan *plan, struct plan_step *step,
                const struct fleet_task_id *id, uint32_t run_number)
{
    const struct plan_task *task =
        &step->job->tasks[step->first_task + id->index];

    if (task->crashes != NULL && task->crashes->count > 0) {
        add_evidence(plan, step, id, run_number, CRASH_CLEARED, 0);
    }
}

void
plan_clear_survivor(struct plan *plan, const struct plan_run *run,
                    uint64_t requested_ms)
{
    const struct plan_task *task = task_of(run);

    if (task != NULL && task->crashes != NULL && task->crashes->count > 0 &&
        run->active_since_ms != 0 &&
        requested_ms >= run->active_since_ms + clearing_ms(task->crashes)) {
        plan_clear_task(plan, run->step, &run->task, run->run_number);
    }
}

/* The runs of a lost target that may have crashed it. */
struct suspects {
    uint32_t runs;
    const struct plan_job *job; /* of the first one */
    bool several_jobs;
};

static struct suspects
find_suspects(const struct plan_target *target)
{
    struct suspects found = {0, NULL, false};

    for (guint i = 0; i < target->runs->len; i++) {
        const struct plan_run *run = target->runs->pdata[i];
        const struct plan_job *job = run->step != NULL ? run->step->job : NULL;

        if (run->is_judged || !is_suspect(run)) {
            continue;
        }
        found.several_jobs =
            found.several_jobs || (found.runs > 0 && job != found.job);
        found.job = found.runs == 0 ? job : found.job;
        found.runs++;
    }
    return found;
}

/* A lease that ran out after calls without answers is no sign of a crash by
 * itself: the target may have been cut off. Returns whether the loss of the
 * target is evidence. */
static bool
judge_run(struct plan *plan, const struct plan_run *run,
          const struct suspects *found, bool is_crash, uint64_t now_ms)
{
    const struct plan_task *task = task_of(run);
    enum crash_evidence evidence = CRASH_PRESENT;

    if (is_suspect(run) &&
        (is_crash || crashes_verdict(task->crashes) != CRASH_NOT_SUSPECTED)) {
        evidence = found->several_jobs ? CRASH_SHARED : CRASH_ALONE;
        if (run->active_since_ms == 0 && !has_start_crashed(run, now_ms)) {
            evidence = CRASH_UNSURE;
        }
    }
    else if (!is_suspect(run) &&
             (found->runs > 0 || ran_ms(run) > LATE_CRASH_MAX_MS)) {
        return false;
    }
    add_evidence(plan, run->step, &run->task, run->run_number, evidence,
                 ran_ms(run));
    return true;
}

static void
report_lost_run(struct plan *plan, const struct plan_run *run,
                bool may_be_cause)
{
    const struct plan_lost_run lost = {.target = run->target->target,
                                       .task = run->task,
                                       .run_number = run->run_number,
                                       .ran_ms = ran_ms(run),
                                       .is_suspect = may_be_cause};

    if (run->step != NULL) {
        struct fleet_queue *queue = run->step->job->job->queue;

        queue->lost_suspects += may_be_cause;
        queue->lost_neighbours += !may_be_cause;
    }
    if (plan->ops.on_run_lost != NULL) {
        plan->ops.on_run_lost(plan->ops.ctx, &lost);
    }
}

void
plan_judge_crash(struct plan *plan, struct plan_target *target,
                 enum plan_loss loss, uint64_t now_ms)
{
    struct plan_crash crash = {.target = target->target, .loss = loss};
    struct suspects found;

    if (target->silent_ms == 0) {
        target->silent_ms = now_ms; /* it may have been silent before */
        target->silence = 0;
    }
    found = find_suspects(target);
    crash.silent_ms = now_ms - MIN(now_ms, target->silent_ms);
    crash.is_common = loss != LOSS_LEFT && has_common_cause(plan, target);
    for (guint i = 0; i < target->runs->len; i++) {
        struct plan_run *run = target->runs->pdata[i];
        const bool may_be_cause =
            loss != LOSS_LEFT && !crash.is_common && is_suspect(run);

        if (run->is_judged) {
            continue;
        }
        if (run->step != NULL && loss != LOSS_LEFT && !crash.is_common &&
            judge_run(plan, run, &found,
                      loss == LOSS_CRASHED || target->closed, now_ms)) {
            end_open_crash(run);
        }
        run->is_judged = true;
        plan_unsuspect_run(plan, run);
        crash.runs++;
        crash.suspects += may_be_cause;
        report_lost_run(plan, run, may_be_cause);
    }
    if (loss == LOSS_LEFT) {
        return;
    }
    plan->counters.targets_lost++;
    plan->counters.common_losses += crash.is_common;
    if (plan->ops.on_target_crashed != NULL) {
        plan->ops.on_target_crashed(plan->ops.ctx, &crash);
    }
}

enum crash_verdict
plan_crash_verdict(const struct fleet_job *job,
                   const struct fleet_task_id *task)
{
    const struct plan_job *pjob = job->plan;
    const uint32_t number = fleet_task_number(job, task);

    return pjob != NULL && number != UINT32_MAX
               ? crashes_verdict(pjob->tasks[number].crashes)
               : CRASH_NOT_SUSPECTED;
}

/* ---- trials ------------------------------------------------------------- */

bool
plan_may_crash_again(const struct plan_task *task)
{
    return crashes_verdict(task->crashes) != CRASH_PROVEN &&
           (task->open_crashes == 0 ||
            crashes_at_start(task->crashes) < CRASHES_PROVEN_MIN);
}

bool
plan_is_step_suspected(const struct plan_step *step)
{
    for (uint32_t i = 0; step->job->has_crashes && i < step->def->count; i++) {
        const struct plan_task *task = &step->job->tasks[step->first_task + i];

        if (!task->done &&
            crashes_verdict(task->crashes) != CRASH_NOT_SUSPECTED) {
            return true;
        }
    }
    return false;
}

/* Whether a run of another job was just started on the target. */
static bool
has_new_run(const struct plan_target *target, const struct plan_job *job,
            uint64_t now_ms)
{
    for (guint i = 0; i < target->runs->len; i++) {
        const struct plan_run *run = target->runs->pdata[i];

        if ((run->step == NULL || run->step->job != job) &&
            (run->active_since_ms == 0 ||
             now_ms < run->ordered_ms + START_CRASH_MS)) {
            return true;
        }
    }
    return false;
}

bool
plan_is_apart(const struct plan_target *target, const struct plan_step *step,
              uint64_t now_ms)
{
    if (target->trial_job != NULL && target->trial_job != step->job &&
        now_ms < target->trial_until_ms) {
        return false;
    }
    return !step->is_trial || !has_new_run(target, step->job, now_ms);
}

void
plan_begin_trial(struct plan_target *target, struct plan_step *step,
                 uint64_t now_ms)
{
    target->trial_job = step->job;
    target->trial_until_ms = now_ms + START_CRASH_MS;
}

void
plan_end_trials(struct plan *plan, const struct plan_job *job)
{
    for (guint i = 0; job->has_crashes && i < plan->targets->len; i++) {
        struct plan_target *target = plan->targets->pdata[i];

        if (target->trial_job == job) {
            target->trial_job = NULL;
        }
    }
}
