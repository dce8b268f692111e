/* plancopy.c -- second runs of tasks that take much longer than expected
 *
 * Workload: three of a hundred runs take several times as long as the others,
 * or sit on a target that has become slow, and the job ends with its last
 * task. How long runs take is learned by queue, as multiples of the expected
 * run time: a run that has lasted longer than nearly all others is likely to
 * go on for long. A copy is started once it is likely to end by a time that
 * matters to the caller, and the run itself is not: the objective or, if that
 * is lost, the time after which the result has no value. Whether copies do end
 * first is learned as well, since the work itself may be long, and then a copy
 * takes as long.
 */
#include "core/plancopy.h"

#include <string.h>

#include "core/planspeed.h"

/* Between two searches for stragglers. */
#define SEARCH_INTERVAL_MS 25u
/* Run times are counted in these parts of the expected run time. */
#define BUCKETS_PER_UNIT 16u
#define BUCKETS                                                               \
    (8u * BUCKETS_PER_UNIT) /* the last one has all longer runs               \
                             */
/* The counts are halved at so many runs, so that old ones are forgotten. */
#define RUN_WEIGHT 64u
#define RUNS_MAX 512u
/* No copies for a queue before so many of its runs have ended. */
#define RUNS_MIN 20u
/* A step's own runs correct its estimate, as if so many others had taken what
 * was estimated. */
#define ESTIMATE_WEIGHT 2u
/* From so many ended runs of a step on, its estimate counts as corrected. */
#define CORRECTED_RUNS_MIN 3u
/* A copy is started if it ends in time where the run alone would not with so
 * much probability. */
#define GAIN_MIN_PERMILLE 300u
#define START_MS 60u /* until a copy that is ordered is at work */
/* No copies in a service if a step has waited for so long. */
#define WAIT_MAX_MS 250u
/* Part of a service that may be in use, with the work that waits, when a copy
 * starts. */
#define USED_MAX_PERMILLE 850u
/* Bound on the work that copies may waste, of all work in a window. */
#define EXTRA_WORK_PERMILLE 10u
#define BUDGET_WINDOW_MS 10000u
/* An accelerator counts as so many thousandths of a core. */
#define ACCEL_CPU_MILLI 8000u
/* Copies that won and lost before any are known: copies are presumed useful
 * until several have lost. */
#define WON_PRIOR 6u
#define COPIES_PRIOR 8u
#define COPIES_MAX 64u
/* A queue whose copies are not useful has one in this time. */
#define TRIAL_INTERVAL_MS 5000u
#define STARTS_MAX 16u /* copies in one search */
/* A result later than this many objectives has no value to the client. */
#define EXPIRY_FACTOR 3u

/* Run times as multiples of the expected run time, and copies of such runs. */
struct run_times {
    uint32_t counts[BUCKETS]; /* RUN_WEIGHT for each run until it is halved */
    uint32_t sum;
    uint32_t won;
    uint32_t lost;
    uint64_t last_copy_ms;
};

/* What is known about the runs of a queue. The runs of a step that end first
 * show whether its work is longer than estimated. */
struct queue_runs {
    struct run_times estimated; /* while few runs of their step had ended */
    struct run_times corrected; /* by the ended runs of their step */
};

/* Work of a service in the last BUDGET_WINDOW_MS or twice that, in thousandths
 * of a core times ms. */
struct budget {
    uint64_t work;
    uint64_t extra;                 /* of it, what copies may waste */
    bool is_full;                   /* no copies in this search */
    struct fleet_resources waiting; /* work that waits for capacity */
};

struct plan_copies {
    GHashTable *queues;  /* name to struct queue_runs */
    GHashTable *budgets; /* service to struct budget */
    uint64_t searched_ms;
    uint64_t halved_ms;
};

/* A run that a copy may overtake. */
struct straggler {
    struct plan_run *run;
    uint64_t age_ms;
    uint64_t until_ms;      /* the copy is of use if it ends by then */
    bool is_late;           /* that is after the objective */
    uint32_t late_permille; /* probability that the run ends later */
};

struct plan_copies *
plan_copies_new(void)
{
    struct plan_copies *copies = g_new0(struct plan_copies, 1);

    copies->queues =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    copies->budgets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return copies;
}

void
plan_copies_free(struct plan_copies *copies)
{
    g_hash_table_destroy(copies->queues);
    g_hash_table_destroy(copies->budgets);
    g_free(copies);
}

static void *
get_or_add(GHashTable *table, const char *name, size_t bytes)
{
    void *item = g_hash_table_lookup(table, name);

    if (item == NULL) {
        item = g_malloc0(bytes);
        g_hash_table_insert(table, g_strdup(name), item);
    }
    return item;
}

/* Run times to compare a run of the step with. */
static struct run_times *
run_times_of(const struct plan *plan, const struct plan_step *step)
{
    struct queue_runs *queue =
        get_or_add(plan->copies->queues, step->job->job->queue->conf.name,
                   sizeof(struct queue_runs));

    return step->ended_runs < CORRECTED_RUNS_MIN ? &queue->estimated
                                                 : &queue->corrected;
}

static struct budget *
budget_of(const struct plan *plan, const struct plan_pool *pool)
{
    return get_or_add(plan->copies->budgets, pool->service,
                      sizeof(struct budget));
}

bool
plan_allows_copies(const struct plan *plan, const struct plan_step *step)
{
    return plan->params.policy->copies && step->def->duplicates &&
           !step->def->gang && !step->def->lasting;
}

/* ---- run times ---------------------------------------------------------- */

/* Expected run time of a task of the step on a target. While the typical run
 * time of the step is not known (core/planspeed.h), it is corrected by the
 * step's ended runs. */
static uint64_t
expected_run_ms(const struct plan *plan, const struct plan_step *step,
                const struct plan_target *target)
{
    uint64_t ms = plan_run_time_ms(plan, step, target);

    ms = ms * MAX(target->slowdown_permille, 1) / 1000;
    if (step->typical_run_ms == 0) {
        ms = ms * (step->ended_permille + ESTIMATE_WEIGHT * 1000u) /
             ((step->ended_runs + ESTIMATE_WEIGHT) * 1000u);
    }
    return MAX(ms, 1);
}

static uint32_t
bucket_of(uint64_t ms, uint64_t expected_ms)
{
    return (uint32_t)MIN(ms * BUCKETS_PER_UNIT / expected_ms, BUCKETS - 1);
}

static void
add_run_time(struct run_times *times, uint32_t bucket)
{
    if (times->sum >= RUNS_MAX * RUN_WEIGHT) {
        times->sum = 0;
        for (uint32_t i = 0; i < BUCKETS; i++) {
            times->counts[i] /= 2;
            times->sum += times->counts[i];
        }
    }
    times->counts[bucket] += RUN_WEIGHT;
    times->sum += RUN_WEIGHT;
}

/* Probability, per mille, that a run that has lasted for from buckets ends
 * within until, by the runs that lasted as long; a third for one that has
 * lasted longer than all of them. */
static uint32_t
end_permille(const struct run_times *times, uint32_t from, uint32_t until)
{
    uint32_t ended = 0;
    uint32_t runs = 0;

    for (uint32_t i = from; i < BUCKETS; i++) {
        runs += times->counts[i];
        ended += i < until ? times->counts[i] : 0;
    }
    return until <= from
               ? 0
               : (ended + RUN_WEIGHT) * 1000 / (runs + 3 * RUN_WEIGHT);
}

/* ---- ends --------------------------------------------------------------- */

static uint64_t
cost_milli(const struct fleet_resources *size)
{
    return size->cpu_milli + size->accel * ACCEL_CPU_MILLI;
}

static void
count_copy(struct run_times *times, bool won)
{
    if (times->won + times->lost >= COPIES_MAX) {
        times->won /= 2;
        times->lost /= 2;
    }
    times->won += won;
    times->lost += !won;
}

/* A run of a task with a copy is done: the others are wasted. */
static void
judge_copy(struct plan *plan, const struct plan_run *done, uint64_t now_ms)
{
    struct run_times *times = run_times_of(plan, done->step);

    for (GList *link = done->step->job->runs.head; link != NULL;
         link = link->next) {
        const struct plan_run *run = link->data;

        if (run == done || run->step != done->step ||
            run->task_number != done->task_number ||
            (!run->is_copy && !done->is_copy)) {
            continue;
        }
        plan->counters.copy_waste_milli_s +=
            run->size.cpu_milli * (now_ms - run->ordered_ms) / 1000;
        if (run->is_copy) {
            plan->counters.copies_lost++;
            count_copy(times, false);
        }
        else if (!run->is_inherited) { /* it lasted at least so long */
            add_run_time(
                run_times_of(plan, run->step),
                bucket_of(now_ms - run->ordered_ms,
                          expected_run_ms(plan, run->step, run->target)));
        }
    }
    if (done->is_copy) {
        plan->counters.copies_won++;
        count_copy(times, true);
    }
}

/* A run of the step has ended that was expected to take expected_ms. */
static void
correct_estimate(struct plan_step *step, uint64_t ran_ms, uint64_t expected_ms)
{
    const uint32_t runs = step->ended_runs + ESTIMATE_WEIGHT;
    const uint64_t uncorrected_ms =
        MAX(expected_ms * runs * 1000 /
                (step->ended_permille + ESTIMATE_WEIGHT * 1000u),
            1);

    if (step->ended_runs >= RUNS_MAX) {
        return;
    }
    step->ended_runs++;
    if (step->typical_run_ms == 0) {
        step->ended_permille += (uint32_t)MIN(
            ran_ms * 1000 / uncorrected_ms, BUCKETS / BUCKETS_PER_UNIT * 1000);
    }
}

void
plan_learn_copies(struct plan *plan, const struct plan_run *run,
                  uint32_t outcome, uint64_t now_ms)
{
    struct plan_step *step = run->step;
    uint64_t ran_ms = now_ms - run->ordered_ms;
    uint64_t expected_ms;

    if (!plan->params.policy->copies || step == NULL || outcome != RUN_DONE ||
        step->def->lasting || step->job->tasks[run->task_number].done) {
        return;
    }
    expected_ms = expected_run_ms(plan, step, run->target);
    if (!run->is_inherited &&
        step->job->tasks[run->task_number].checkpoint == NULL) {
        add_run_time(run_times_of(plan, step), bucket_of(ran_ms, expected_ms));
        correct_estimate(step, ran_ms, expected_ms);
    }
    judge_copy(plan, run, now_ms);
}

/* ---- budget ------------------------------------------------------------- */

/* Adds the work of each service since the last search, and forgets half of all
 * in each window. */
static void
update_budgets(struct plan *plan, uint64_t now_ms)
{
    struct plan_copies *copies = plan->copies;
    GHashTableIter iter;
    const struct plan_pool *pool;
    struct budget *budget;
    uint64_t since_ms =
        copies->searched_ms == 0
            ? 0
            : MIN(now_ms - copies->searched_ms, BUDGET_WINDOW_MS);
    bool halve = now_ms >= copies->halved_ms + BUDGET_WINDOW_MS;

    copies->searched_ms = now_ms;
    if (halve) {
        copies->halved_ms = now_ms;
    }
    g_hash_table_iter_init(&iter, plan->pools);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pool)) {
        budget = budget_of(plan, pool);
        budget->work += cost_milli(&pool->used) * since_ms;
        budget->is_full = pool->unlisted_targets > 0;
        budget->waiting = (struct fleet_resources){0, 0, 0};
        if (halve) {
            budget->work /= 2;
            budget->extra /= 2;
        }
    }
}

/* Workload: a burst; all capacity is for tasks that have no run yet. */
static void
count_waiting_work(struct plan *plan, uint64_t now_ms)
{
    for (guint i = 0; i < plan->open_steps->len; i++) {
        const struct plan_step *step = plan->open_steps->pdata[i];
        const struct fleet_resources size = plan_task_size(step->def);
        struct budget *budget = budget_of(plan, step->job->pool);

        if (step->due_ms != 0 &&
            (int64_t)now_ms + plan->wall_offset_ms < (int64_t)step->due_ms) {
            continue;
        }
        budget->waiting.cpu_milli += size.cpu_milli * step->pending;
        budget->waiting.accel += size.accel * step->pending;
        if (now_ms > step->opened_ms + WAIT_MAX_MS && step->due_ms == 0) {
            budget->is_full = true;
        }
    }
}

static bool
leaves_room(uint64_t capacity, uint64_t used, uint64_t waiting, uint64_t size)
{
    return size == 0 ||
           used + waiting + size <= capacity * USED_MAX_PERMILLE / 1000;
}

/* Whether a copy of this size and cost keeps within what is free in the
 * service and within the bound on extra work. */
static bool
is_within_budget(const struct plan *plan, const struct plan_step *step,
                 const struct fleet_resources *size, uint64_t extra)
{
    const struct plan_pool *pool = step->job->pool;
    const struct budget *budget = budget_of(plan, pool);

    return !budget->is_full &&
           leaves_room(pool->capacity.cpu_milli, pool->used.cpu_milli,
                       budget->waiting.cpu_milli, size->cpu_milli) &&
           leaves_room(pool->capacity.accel, pool->used.accel,
                       budget->waiting.accel, size->accel) &&
           plan_team_allows(plan, step, 1) &&
           budget->extra + extra <= budget->work * EXTRA_WORK_PERMILLE / 1000;
}

/* Part of such copies that end first, per mille. */
static uint32_t
useful_permille(const struct run_times *times)
{
    return (times->won + WON_PRIOR) * 1000 /
           (times->won + times->lost + COPIES_PRIOR);
}

/* ---- search ------------------------------------------------------------- */

/* Whether another run of the task may start now, if that pays: it has one run,
 * which is at work, and both may fail without exceeding the queue's limit. */
static bool
may_copy(const struct plan *plan, const struct plan_run *run, uint64_t now_ms)
{
    const struct plan_step *step = run->step;
    const struct plan_task *task;

    if (step == NULL || !plan_allows_copies(plan, step) || step->job->ended ||
        run->state != RUN_ACTIVE || run->detached ||
        run->stop_ordered_ms != 0) {
        return false;
    }
    task = &step->job->tasks[run->task_number];
    return !task->done && task->runs == 1 && task->copies == 1 &&
           now_ms >= task->not_before_ms && task->crashes == NULL &&
           task->open_crashes == 0 && !plan_is_step_suspected(step) &&
           plan_has_attempts(step, run->task_number, 2);
}

/* Probability, per mille, that a run that is as old as the straggler on this
 * target ends after until_ms. */
static uint32_t
late_permille(const struct plan *plan, const struct straggler *straggler,
              uint64_t until_ms, uint64_t now_ms)
{
    const struct plan_run *run = straggler->run;
    uint64_t expected_ms = expected_run_ms(plan, run->step, run->target);
    uint64_t left_ms = until_ms > now_ms ? until_ms - now_ms : 0;

    return 1000 -
           end_permille(run_times_of(plan, run->step),
                        bucket_of(straggler->age_ms, expected_ms),
                        bucket_of(straggler->age_ms + left_ms, expected_ms));
}

/* Probability, per mille, that a copy ends by until_ms if it is started now on
 * a target; NULL: on one without peculiarities. */
static uint32_t
copy_permille(const struct plan *plan, const struct straggler *straggler,
              const struct plan_target *target, uint64_t now_ms)
{
    const struct plan_step *step = straggler->run->step;
    const struct run_times *times = run_times_of(plan, step);
    uint64_t expected_ms = target != NULL ? expected_run_ms(plan, step, target)
                                          : MAX(step->def->estimate_ms, 1);

    if (straggler->until_ms <= now_ms + START_MS) {
        return 0;
    }
    return end_permille(
        times, 0,
        bucket_of(straggler->until_ms - now_ms - START_MS, expected_ms));
}

/* Whether a copy on the target would change so often what the caller gets.
 * Where copies rarely end first, one is tried from time to time. */
static bool
is_copy_useful(const struct plan *plan, const struct straggler *straggler,
               const struct plan_target *target, uint64_t now_ms)
{
    const struct run_times *times = run_times_of(plan, straggler->run->step);
    uint32_t gain_permille = straggler->late_permille *
                             copy_permille(plan, straggler, target, now_ms) /
                             1000;

    return gain_permille >= GAIN_MIN_PERMILLE &&
           (gain_permille * useful_permille(times) / 1000 >=
                GAIN_MIN_PERMILLE ||
            now_ms >= times->last_copy_ms + TRIAL_INTERVAL_MS);
}

/* Lists a run if it has lasted longer than estimated and a copy would be of
 * use. The step's tasks all have a run, so that its end depends on this one.
 */
static void
consider_run(const struct plan *plan, GArray *list, struct plan_run *run,
             uint64_t now_ms)
{
    struct straggler straggler = {.run = run,
                                  .age_ms = now_ms - run->ordered_ms};
    const struct plan_step *step = run->step;

    if (step == NULL || straggler.age_ms < step->def->estimate_ms ||
        step->pending > 0 || step->latest_start_ms == 0 ||
        !may_copy(plan, run, now_ms) ||
        run_times_of(plan, step)->sum < RUNS_MIN * RUN_WEIGHT) {
        return;
    }
    straggler.until_ms = step->latest_start_ms + step->def->estimate_ms;
    straggler.late_permille =
        late_permille(plan, &straggler, straggler.until_ms, now_ms);
    if (!is_copy_useful(plan, &straggler, NULL, now_ms)) {
        straggler.is_late = true;
        straggler.until_ms +=
            (uint64_t)(EXPIRY_FACTOR - 1) * step->job->objective_ms;
        straggler.late_permille =
            late_permille(plan, &straggler, straggler.until_ms, now_ms);
        if (!is_copy_useful(plan, &straggler, NULL, now_ms)) {
            return;
        }
    }
    g_array_append_val(list, straggler);
}

/* Those that can be in time first, then the oldest. */
static gint
compare_stragglers(gconstpointer a, gconstpointer b)
{
    const struct straggler *x = a;
    const struct straggler *y = b;

    if (x->is_late != y->is_late) {
        return x->is_late ? 1 : -1;
    }
    return x->age_ms == y->age_ms ? 0 : x->age_ms > y->age_ms ? -1 : 1;
}

static GArray *
list_stragglers(const struct plan *plan, uint64_t now_ms)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(struct straggler));

    for (guint i = 0; i < plan->targets->len; i++) {
        const struct plan_target *target = plan->targets->pdata[i];

        for (guint k = 0; k < target->runs->len; k++) {
            consider_run(plan, list, target->runs->pdata[k], now_ms);
        }
    }
    g_array_sort(list, compare_stragglers);
    return list;
}

/* Expected run time of a copy on a target, for comparison: another rack than
 * the straggler's counts as a tenth faster. UINT64_MAX: it cannot run there.
 */
static uint64_t
copy_rank_ms(const struct plan *plan, const struct straggler *straggler,
             const struct plan_target *target,
             const struct fleet_resources *size, uint64_t now_ms)
{
    const struct plan_step *step = straggler->run->step;
    const struct plan_target *other = straggler->run->target;
    uint64_t ms;

    if (target == other || target->failures_in_row > 0 ||
        !plan_could_fit(target, step) ||
        !plan_fits(target, size, step, now_ms)) {
        return UINT64_MAX;
    }
    ms = expected_run_ms(plan, step, target);
    return strcmp(target->target->rec.rack, other->target->rec.rack) == 0
               ? ms
               : ms * 9 / 10;
}

static struct plan_target *
find_target(const struct plan *plan, const struct straggler *straggler,
            const struct fleet_resources *size, uint64_t now_ms)
{
    const struct plan_step *step = straggler->run->step;
    const GPtrArray *targets = step->job->pool->targets;
    struct plan_target *best = NULL;
    uint64_t best_ms = UINT64_MAX;

    for (guint i = 0; i < targets->len; i++) {
        struct plan_target *target = targets->pdata[i];
        uint64_t ms;

        if (plan_needs_ticket(step) &&
            plan_valid_ticket(step, target, now_ms + START_MS) == NULL) {
            continue;
        }
        ms = copy_rank_ms(plan, straggler, target, size, now_ms);
        if (ms < best_ms) {
            best = target;
            best_ms = ms;
        }
    }
    return best;
}

static void
start_copy(struct plan *plan, const struct straggler *straggler,
           struct plan_target *target, uint64_t now_ms)
{
    struct plan_run *run = straggler->run;
    struct plan_step *step = run->step;
    const struct plan_task *task = &step->job->tasks[run->task_number];
    const char *ticket =
        plan_needs_ticket(step) ? plan_valid_ticket(step, target, now_ms) : "";

    if (plan->ops.on_run_copied != NULL) {
        const struct plan_copy copy = {.task = run->task,
                                       .run_number = run->run_number,
                                       .copy_number = task->next_run_number,
                                       .from = run->target->target,
                                       .to = target->target,
                                       .ran_ms = straggler->age_ms,
                                       .late_permille =
                                           straggler->late_permille};

        plan->ops.on_run_copied(plan->ops.ctx, &copy);
    }
    plan->counters.copies++;
    step->is_trial = false;
    plan_start_run(plan, step, run->task.index, task->next_run_number, target,
                   ticket, now_ms);
}

/* Starts a copy if a target is free that is fast enough. Without a ticket for
 * one the policy is queried, for a later search. */
static bool
try_copy(struct plan *plan, const struct straggler *straggler, uint64_t now_ms)
{
    struct plan_step *step = straggler->run->step;
    const struct fleet_resources size = plan_task_size(step->def);
    struct plan_target *target;
    uint64_t extra =
        cost_milli(&size) * (straggler->age_ms + step->def->estimate_ms);

    if (!is_copy_useful(plan, straggler, NULL, now_ms) ||
        !plan_leaves_headroom(plan, step, &size) ||
        !is_within_budget(plan, step, &size, extra)) {
        return false;
    }
    target = find_target(plan, straggler, &size, now_ms);
    if (target == NULL) {
        if (plan_needs_ticket(step)) {
            plan_query_policy(plan, step, now_ms);
        }
        return false;
    }
    if (!is_copy_useful(plan, straggler, target, now_ms)) {
        return false;
    }
    budget_of(plan, step->job->pool)->extra += extra;
    run_times_of(plan, step)->last_copy_ms = now_ms;
    start_copy(plan, straggler, target, now_ms);
    return true;
}

void
plan_start_copies(struct plan *plan, uint64_t now_ms)
{
    GArray *list;
    uint32_t started = 0;

    if (!plan->params.policy->copies || !plan->reconciled ||
        now_ms < plan->copies->searched_ms + SEARCH_INTERVAL_MS) {
        return;
    }
    update_budgets(plan, now_ms);
    count_waiting_work(plan, now_ms);
    list = list_stragglers(plan, now_ms);
    for (guint i = 0; i < list->len && started < STARTS_MAX; i++) {
        started +=
            try_copy(plan, &g_array_index(list, struct straggler, i), now_ms);
    }
    g_array_free(list, TRUE);
}
