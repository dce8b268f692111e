/* schedyield.c -- eviction of running tasks: for urgent work, fair shares and
 * gang reservations, by quiet hours, and after changes of labels, selectors
 * and limits
 */
#include <stdlib.h>
#include <string.h>

#include "core/schedpriv.h"

/* A team's work is evicted for another team only if its share is more than
 * this many times the share of the other.
 */
#define RECLAIM_SHARE_RATIO 1.2
#define VICTIMS_MAX 64u /* tasks considered on one host */
#define MINUTES_PER_DAY 1440u

/* Reports whether a task may be evicted in favour of a class. */
typedef bool (*may_evict_fn)(const struct sched *sched,
                             const struct task *task,
                             const struct work_class *cls);

/* Tasks on one host whose eviction frees enough for one task, and its cost. */
struct eviction_plan {
    struct sched_host *host;
    struct task *victims[VICTIMS_MAX];
    uint32_t count;
    uint64_t lost_ms; /* run time lost */
};

/* Returns the run time lost by evicting the task; a gang restarts as a whole,
 * so all its tasks count.
 */
static uint64_t
lost_work_ms(const struct sched *sched, const struct task *task)
{
    uint64_t ran_ms = sched->wall_ms > task->started_ms
                          ? sched->wall_ms - task->started_ms
                          : 0;

    return task->job->rec.kind == WORK_GANG ? ran_ms * task->job->rec.count
                                            : ran_ms;
}

static bool
is_being_evicted(const struct sched *sched, const struct task *task)
{
    const struct eviction *eviction =
        g_hash_table_lookup(sched->evictions, &task->id);

    return task->cancelling ||
           (eviction != NULL && eviction->attempt == task->attempt);
}

static bool
may_evict_for_urgent(const struct sched *sched, const struct task *task,
                     const struct work_class *cls)
{
    (void)sched;
    (void)cls;
    return task->job->rec.kind == WORK_BATCH ||
           task->job->rec.kind == WORK_GANG;
}

static bool
may_evict_for_share(const struct sched *sched, const struct task *task,
                    const struct work_class *cls)
{
    const struct sched_team *victim_team = task->job->team->sched;
    const struct sched_team *waiting_team = cls->team->sched;

    (void)sched;
    return task->job->rec.kind == WORK_BATCH && victim_team != NULL &&
           victim_team != waiting_team &&
           (double)victim_team->share >
               RECLAIM_SHARE_RATIO * (double)waiting_team->share;
}

/* Allows batch work of teams whose share is not smaller than that of the
 * gang's team.
 */
static bool
may_evict_for_gang(const struct sched *sched, const struct task *task,
                   const struct work_class *cls)
{
    const struct sched_team *victim_team = task->job->team->sched;
    const struct sched_team *waiting_team = cls->team->sched;

    (void)sched;
    return task->job->rec.kind == WORK_BATCH && victim_team != NULL &&
           victim_team->share >= waiting_team->share;
}

/* Collects up to VICTIMS_MAX tasks that may be evicted, ordered by lost work,
 * least first.
 */
static uint32_t
collect_victims(const struct sched *sched, const struct sched_host *host,
                const struct work_class *cls, may_evict_fn may_evict,
                struct task **victims)
{
    uint32_t count = 0;

    for (struct task *task = host->target->first_task;
         task != NULL && count < VICTIMS_MAX; task = task->next_on_target) {
        uint32_t at = count;

        if (is_being_evicted(sched, task) || !may_evict(sched, task, cls)) {
            continue;
        }
        while (at > 0 && lost_work_ms(sched, victims[at - 1]) >
                             lost_work_ms(sched, task)) {
            victims[at] = victims[at - 1];
            at--;
        }
        victims[at] = task;
        count++;
    }
    return count;
}

/* Subtracts tasks that are already being evicted from after->pending and adds
 * the capacity held for preemptors.
 */
static void
apply_evictions_and_holds(const struct sched *sched,
                          const struct sched_host *host,
                          struct sched_host *after)
{
    for (const struct task *task = host->target->first_task; task != NULL;
         task = task->next_on_target) {
        if (is_being_evicted(sched, task)) {
            sched_subtract_size(&after->pending, &task->job->rec);
        }
    }
    for (uint32_t i = 0; host->held_for != NULL && i < host->held_count; i++) {
        sched_add_size(&after->pending, &host->held_for->size);
    }
}

/* Plans the evictions on one host that make room for a task of the class.
 * Returns false if there is not enough to evict. after.pending is unsigned and
 * wraps below zero when running tasks are subtracted from it; sums with the
 * host's use are correct again.
 */
static bool
make_eviction_plan(const struct sched *sched, struct sched_host *host,
                   const struct work_class *cls, may_evict_fn may_evict,
                   struct eviction_plan *plan)
{
    struct sched_host after = *host;
    struct task *victims[VICTIMS_MAX];
    uint32_t count = collect_victims(sched, host, cls, may_evict, victims);

    plan->host = host;
    plan->count = 0;
    plan->lost_ms = 0;
    apply_evictions_and_holds(sched, host, &after);
    while (!sched_fits(&after, &cls->size) && plan->count < count) {
        struct task *victim = victims[plan->count];

        sched_subtract_size(&after.pending, &victim->job->rec);
        plan->victims[plan->count] = victim;
        plan->lost_ms += lost_work_ms(sched, victim);
        plan->count++;
    }
    return sched_fits(&after, &cls->size);
}

/* Finds the host where making room for a task of the class loses the least
 * work.
 */
static bool
find_best_eviction_plan(const struct sched *sched,
                        const struct work_class *cls, may_evict_fn may_evict,
                        struct eviction_plan *best)
{
    struct eviction_plan plan;
    bool found = false;

    for (guint i = 0; i < cls->candidates->hosts->len; i++) {
        struct sched_host *host = cls->candidates->hosts->pdata[i];
        bool held_for_other = host->held_for != NULL &&
                              host->held_for != cls &&
                              sched->now_ms < host->held_until_ms;

        if (held_for_other || host->probation_ms != 0) {
            continue;
        }
        if (make_eviction_plan(sched, host, cls, may_evict, &plan) &&
            (!found || plan.lost_ms < best->lost_ms)) {
            *best = plan;
            found = true;
        }
    }
    return found;
}

/* Evicts the victims and holds the capacity on the host for the class. */
static void
execute_eviction_plan(struct sched *sched, struct work_class *cls,
                      const struct eviction_plan *plan)
{
    struct sched_host *host = plan->host;

    for (uint32_t i = 0; i < plan->count; i++) {
        sched_evict_task(sched, plan->victims[i], SCHED_ORDER_CHECKPOINT);
    }
    host->held_count = host->held_for == cls ? host->held_count + 1 : 1;
    host->held_for = cls;
    host->held_until_ms = sched->now_ms + SCHED_HOLD_MS;
}

/* Counts the tasks of the class that capacity is held for. */
static uint32_t
count_held_tasks(const struct sched *sched, const struct work_class *cls)
{
    uint32_t count = 0;

    for (guint i = 0; i < sched->hosts->len; i++) {
        const struct sched_host *host = sched->hosts->pdata[i];

        if (host->held_for == cls && sched->now_ms < host->held_until_ms) {
            count += host->held_count;
        }
    }
    return count;
}

void
sched_preempt_for_urgent(struct sched *sched, struct work_class *cls)
{
    uint32_t have = count_held_tasks(sched, cls);
    uint32_t want = MIN(cls->queue_length, SCHED_PREEMPT_MAX_TASKS);
    struct eviction_plan plan;

    while (have < want &&
           find_best_eviction_plan(sched, cls, may_evict_for_urgent, &plan)) {
        sched->counters.preempted += plan.count;
        execute_eviction_plan(sched, cls, &plan);
        have++;
    }
}

/* Reports whether the class has been blocked long enough to reclaim capacity
 * for it.
 */
static bool
awaits_reclaim(const struct sched *sched, const struct work_class *cls)
{
    return cls->block == SCHED_BLOCK_NO_CAPACITY &&
           cls->size.kind != WORK_GANG && cls->blocked_since_ms != 0 &&
           sched->now_ms >= cls->blocked_since_ms + SCHED_RECLAIM_AFTER_MS;
}

/* Returns the class that waits for its share, of the team with the smallest
 * share; NULL if there is none.
 */
static struct work_class *
find_reclaim_class(const struct sched *sched)
{
    struct work_class *found = NULL;
    uint32_t smallest_share = UINT32_MAX;

    for (guint i = 0; i < sched->team_list->len; i++) {
        const struct sched_team *sched_team = sched->team_list->pdata[i];

        for (guint j = 0; j < sched_team->classes->len; j++) {
            struct work_class *cls = sched_team->classes->pdata[j];

            if (sched_team->share < smallest_share &&
                awaits_reclaim(sched, cls)) {
                found = cls;
                smallest_share = sched_team->share;
            }
        }
    }
    return found;
}

/* Returns what one task of the class adds to its team's share, in millionths.
 */
static uint32_t
share_per_task(const struct sched *sched, const struct work_class *cls)
{
    const struct resources *capacity = &sched->capacity;
    double cpu =
        (double)cls->size.cpu_milli / (double)MAX(capacity->cpu_milli, 1);
    double memory =
        (double)cls->size.memory_mb / (double)MAX(capacity->memory_mb, 1);
    double accel = (double)cls->size.accel / (double)MAX(capacity->accel, 1);

    return (uint32_t)(MAX(cpu, MAX(memory, accel)) * 1e6 /
                      MAX(cls->team->conf.weight, 1));
}

/* Reclaims capacity for the team with the smallest share: once its work has
 * been blocked for SCHED_RECLAIM_AFTER_MS, batch work of teams with a clearly
 * larger share is evicted for up to SCHED_RECLAIM_MAX_TASKS of its tasks,
 * every SCHED_RECLAIM_EVERY_MS. Shares are adjusted with each eviction plan,
 * so that one round does not evict more than the difference.
 */
void
sched_reclaim(struct sched *sched)
{
    struct work_class *cls = find_reclaim_class(sched);
    struct eviction_plan plan;
    uint32_t served = 0;

    while (cls != NULL &&
           served < MIN(cls->queue_length, SCHED_RECLAIM_MAX_TASKS) &&
           count_held_tasks(sched, cls) < SCHED_RECLAIM_MAX_TASKS &&
           find_best_eviction_plan(sched, cls, may_evict_for_share, &plan)) {
        struct sched_team *waiting_team = cls->team->sched;

        sched->counters.reclaimed += plan.count;
        execute_eviction_plan(sched, cls, &plan);
        waiting_team->share += share_per_task(sched, cls);
        for (uint32_t i = 0; i < plan.count; i++) {
            struct sched_team *victim_team = plan.victims[i]->job->team->sched;

            victim_team->share -=
                MIN(victim_team->share, share_per_task(sched, cls));
        }
        served++;
        if (plan.count == 0) {
            break; /* capacity is free already; the next pass will use it */
        }
    }
}

/* A time at which a host is expected to have room for more tasks of a gang. */
struct opening {
    struct sched_host *host;
    uint64_t at_ms;
    uint32_t tasks;
};

static uint64_t
expected_end_ms(const struct sched *sched, const struct task *task)
{
    uint64_t run_ms = sched_expected_run_ms(sched, task->job);
    uint64_t ran_ms = sched->wall_ms > task->started_ms
                          ? sched->wall_ms - task->started_ms
                          : 0;

    /* An overdue task is assumed to run for half its run time more. */
    return sched->now_ms +
           (run_ms > ran_ms ? run_ms - ran_ms : MAX(ran_ms / 2, 1000));
}

static int
compare_opening_times(const void *a, const void *b)
{
    uint64_t x = ((const struct opening *)a)->at_ms;
    uint64_t y = ((const struct opening *)b)->at_ms;

    return x < y ? -1 : x > y;
}

/* Adds the openings of one host: now, and after the expected end of each of
 * its tasks.
 */
static void
add_openings(const struct sched *sched, const struct work_class *cls,
             struct sched_host *host, GArray *openings)
{
    struct sched_host after = *host;
    struct opening ends[VICTIMS_MAX];
    struct task *tasks[VICTIMS_MAX];
    uint32_t count = 0;
    uint32_t fit = 0;

    while (sched_fits(&after, &cls->size)) {
        sched_add_size(&after.pending, &cls->size);
        fit++;
    }
    if (fit > 0) {
        struct opening opening = {host, sched->now_ms, fit};

        g_array_append_val(openings, opening);
    }
    for (struct task *task = host->target->first_task;
         task != NULL && count < VICTIMS_MAX; task = task->next_on_target) {
        if (task->job->rec.kind != WORK_SERVICE) {
            ends[count].at_ms = expected_end_ms(sched, task);
            ends[count].tasks = count; /* index into tasks[] */
            tasks[count] = task;
            count++;
        }
    }
    qsort(ends, count, sizeof(ends[0]), compare_opening_times);
    for (uint32_t i = 0; i < count; i++) {
        struct opening opening = {host, ends[i].at_ms, 0};

        sched_subtract_size(&after.pending, &tasks[ends[i].tasks]->job->rec);
        while (sched_fits(&after, &cls->size)) {
            sched_add_size(&after.pending, &cls->size);
            opening.tasks++;
        }
        if (opening.tasks > 0) {
            g_array_append_val(openings, opening);
        }
    }
}

void
sched_release_reservation(struct sched *sched)
{
    for (guint i = 0; i < sched->hosts->len; i++) {
        struct sched_host *host = sched->hosts->pdata[i];

        if (host->reserved) {
            host->reserved = false;
            host->reserved_tasks = 0;
            sched_record_freed(sched, host);
        }
    }
    sched->reserved_for = NULL;
}

/* Returns how many tasks of the class would fit on the host if everything that
 * may be evicted for the gang were.
 */
static uint32_t
capacity_after_eviction(const struct sched *sched, struct sched_host *host,
                        const struct work_class *cls)
{
    struct sched_host after = *host;
    struct task *victims[VICTIMS_MAX];
    uint32_t count =
        collect_victims(sched, host, cls, may_evict_for_gang, victims);
    uint32_t fit = 0;

    apply_evictions_and_holds(sched, host, &after);
    for (uint32_t i = 0; i < count; i++) {
        sched_subtract_size(&after.pending, &victims[i]->job->rec);
    }
    while (sched_fits(&after, &cls->size)) {
        sched_add_size(&after.pending, &cls->size);
        fit++;
    }
    return fit;
}

/* Evicts tasks to make room for a gang of need tasks, but only if that frees
 * enough for the whole gang; otherwise the evictions would be wasted.
 */
static void
preempt_for_gang(struct sched *sched, struct work_class *cls, uint32_t need)
{
    uint32_t have = count_held_tasks(sched, cls);
    uint32_t possible = have;
    struct eviction_plan plan;

    for (guint i = 0; i < cls->candidates->hosts->len && possible < need;
         i++) {
        possible += capacity_after_eviction(
            sched, cls->candidates->hosts->pdata[i], cls);
    }
    if (possible < need) {
        return;
    }
    while (have < need &&
           find_best_eviction_plan(sched, cls, may_evict_for_gang, &plan)) {
        sched->counters.preempted += plan.count;
        execute_eviction_plan(sched, cls, &plan);
        have++;
    }
}

/* Makes or replaces the reservation, from the first used openings. */
static void
reserve_hosts(struct sched *sched, struct job *job, GArray *openings,
              guint used)
{
    uint64_t start_ms =
        g_array_index(openings, struct opening, used - 1).at_ms;

    if (sched->reserved_for == NULL) {
        sched->reserved_at_ms = sched->now_ms;
        sched->counters.reservations++;
    }
    sched_release_reservation(sched);
    sched->reserved_for = job;
    for (guint i = 0; i < used; i++) {
        const struct opening *opening =
            &g_array_index(openings, struct opening, i);
        struct sched_host *host = opening->host;

        host->reserved = true;
        host->reserved_start_ms = start_ms;
        memset(&host->reserved_size, 0, sizeof(host->reserved_size));
        sched_add_size(&host->reserved_size, &job->rec);
        host->reserved_tasks += opening->tasks;
    }
}

/* Only one gang at a time holds a reservation, so two gangs cannot deadlock.
 * The reservation covers the hosts that become free first; other work may
 * backfill them if it is expected to end before the gang can start. The time
 * for which capacity is held idle is bounded: after
 * SCHED_RESERVE_PREEMPT_AFTER_MS the missing capacity is taken from batch work
 * of teams whose share is not smaller, and after SCHED_RESERVE_MAX_MS the
 * reservation is dropped and no gang reserves for as long. The reservation is
 * recomputed every second, as expected run times change.
 */
void
sched_reserve(struct sched *sched, struct work_class *cls)
{
    struct job *job = cls->head->task->job;
    uint32_t need = ((const struct gang *)job->sched)->waiting;
    GArray *openings;
    uint32_t have = 0;
    guint used = 0;

    if (sched->now_ms < cls->blocked_since_ms + SCHED_RESERVE_AFTER_MS ||
        (sched->reserved_for != NULL && sched->reserved_for != job) ||
        sched->now_ms < sched->next_reserve_check_ms ||
        sched->now_ms < sched->no_reserve_before_ms) {
        return;
    }
    sched->next_reserve_check_ms = sched->now_ms + 1000;
    openings = g_array_new(FALSE, FALSE, sizeof(struct opening));
    for (guint i = 0; i < cls->candidates->hosts->len; i++) {
        add_openings(sched, cls, cls->candidates->hosts->pdata[i], openings);
    }
    g_array_sort(openings, compare_opening_times);
    while (used < openings->len && have < need) {
        have += g_array_index(openings, struct opening, used).tasks;
        used++;
    }
    if (have >= need) {
        reserve_hosts(sched, job, openings, used);
        if (sched->now_ms >=
            sched->reserved_at_ms + SCHED_RESERVE_PREEMPT_AFTER_MS) {
            preempt_for_gang(sched, cls, need);
        }
    }
    g_array_free(openings, TRUE);
}

static bool
day_in_list(const char *days, int weekday)
{
    static const char *const names[] = {"mon", "tue", "wed", "thu",
                                        "fri", "sat", "sun"};

    return days[0] == '\0' || strstr(days, names[weekday - 1]) != NULL;
}

/* A period over midnight belongs to the day on which it begins. The rule is in
 * local time, so a night is an hour shorter or longer when the clocks change.
 */
bool
sched_hours_active(const struct change_quiet_hours *rule, uint64_t wall_ms)
{
    GTimeZone *zone = g_time_zone_new_identifier(rule->time_zone);
    GDateTime *utc = g_date_time_new_from_unix_utc((gint64)(wall_ms / 1000));
    GDateTime *local;
    uint32_t minute;
    int weekday;
    bool active;

    if (zone == NULL) {
        zone = g_time_zone_new_utc();
    }
    local = g_date_time_to_timezone(utc, zone);
    minute = (uint32_t)(g_date_time_get_hour(local) * 60 +
                        g_date_time_get_minute(local));
    weekday = g_date_time_get_day_of_week(local);
    if (rule->from_minute <= rule->to_minute) {
        active = minute >= rule->from_minute && minute < rule->to_minute &&
                 day_in_list(rule->days, weekday);
    }
    else if (minute >= rule->from_minute) {
        active = day_in_list(rule->days, weekday);
    }
    else {
        active = minute < rule->to_minute &&
                 day_in_list(rule->days, weekday == 1 ? 7 : weekday - 1);
    }
    g_date_time_unref(local);
    g_date_time_unref(utc);
    g_time_zone_unref(zone);
    return active;
}

/* Reports changed orders for every target with running tasks. */
static void
notify_all_targets(struct sched *sched)
{
    for (guint i = 0; i < sched->hosts->len; i++) {
        struct sched_host *host = sched->hosts->pdata[i];

        if (host->target->first_task != NULL) {
            sched->ops.orders_changed(sched->ops.ctx, host->target);
        }
    }
}

void
sched_check_hours(struct sched *sched)
{
    uint64_t minute = sched->wall_ms / 60000;
    uint64_t hash = 1;
    GHashTableIter iter;
    struct quiet_hours *hours;

    if (minute == sched->hours_checked_minute) {
        return;
    }
    sched->hours_checked_minute = minute;
    g_hash_table_iter_init(&iter, sched->cell->quiet_hours);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&hours)) {
        if (sched_hours_active(&hours->conf, sched->wall_ms)) {
            hash += g_str_hash(hours->conf.name) | 1;
        }
    }
    if (hash != sched->active_hours_hash) {
        sched->active_hours_hash = hash;
        sched_invalidate_candidates(sched);
        sched->recheck_running = true;
        notify_all_targets(sched);
    }
}

/* Reports whether quiet hours require the task to leave its target. */
static bool
must_leave_for_hours(const struct sched *sched, const struct task *task)
{
    GHashTableIter iter;
    struct quiet_hours *hours;

    g_hash_table_iter_init(&iter, sched->cell->quiet_hours);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&hours)) {
        if (hours->conf.action == QUIET_HOURS_MOVE &&
            selector_match(hours->work_selector, task->job->rec.labels) &&
            selector_match(hours->target_selector, task->target->labels) &&
            sched_hours_active(&hours->conf, sched->wall_ms)) {
            return true;
        }
    }
    return false;
}

static gint
compare_newest_first(gconstpointer a, gconstpointer b)
{
    const struct task *x = *(const struct task *const *)a;
    const struct task *y = *(const struct task *const *)b;

    if (x->started_ms != y->started_ms) {
        return x->started_ms > y->started_ms ? -1 : 1;
    }
    return x->id > y->id ? -1 : x->id < y->id;
}

/* Evicts the newest tasks until the others are within the limit of the team.
 */
static void
enforce_team_limit(struct sched *sched, struct team *team, GPtrArray *running)
{
    static const struct change_submit no_task = {.kind = WORK_BATCH};
    struct team remaining = *team;

    g_ptr_array_sort(running, compare_newest_first);
    for (guint i = 0; i < running->len; i++) {
        struct task *task = running->pdata[i];

        if (cell_within_limits(&remaining, &no_task, 0)) {
            return;
        }
        if (!is_being_evicted(sched, task)) {
            sched_evict_task(sched, task, SCHED_ORDER_CHECKPOINT);
            sched->counters.moved++;
        }
        sched_subtract_size(&remaining.used, &task->job->rec);
    }
}

static void
free_ptr_array(gpointer list)
{
    g_ptr_array_free(list, TRUE);
}

void
sched_check_running(struct sched *sched)
{
    GHashTable *by_team = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                                NULL, free_ptr_array);
    GHashTableIter iter;
    struct team *team;
    GPtrArray *running;

    sched->recheck_running = false;
    for (guint i = 0; i < sched->hosts->len; i++) {
        const struct sched_host *host = sched->hosts->pdata[i];

        for (struct task *task = host->target->first_task; task != NULL;
             task = task->next_on_target) {
            running = g_hash_table_lookup(by_team, task->job->team);
            if (running == NULL) {
                running = g_ptr_array_new();
                g_hash_table_insert(by_team, task->job->team, running);
            }
            g_ptr_array_add(running, task);
            if (!is_being_evicted(sched, task) &&
                (!cell_selectors_match(task->job, task->target) ||
                 must_leave_for_hours(sched, task))) {
                sched_evict_task(sched, task, SCHED_ORDER_CHECKPOINT);
                sched->counters.moved++;
            }
        }
    }
    g_hash_table_iter_init(&iter, by_team);
    while (g_hash_table_iter_next(&iter, (gpointer *)&team,
                                  (gpointer *)&running)) {
        enforce_team_limit(sched, team, running);
    }
    g_hash_table_destroy(by_team);
}
