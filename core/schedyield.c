/* schedyield.c -- what makes running work yield: urgent work, shares, gangs'
 * reservations, quiet hours, and changes of labels, selectors and limits
 */
#include <stdlib.h>
#include <string.h>

#include "core/schedpriv.h"

#define SHARE_SLACK 1.2 /* a team this far over another gives way */
#define VICTIMS_MAX 64u /* tasks looked at on one host */
#define MINUTES_A_DAY 1440u

/* Which tasks may be stopped for which beneficiary. */
typedef bool (*may_stop)(const struct sched *sched, const struct task *task,
                         const struct work_class *cls);

/* Tasks on one host that would make enough room, and what that would lose. */
struct plan {
    struct sched_host *host;
    struct task *victims[VICTIMS_MAX];
    uint32_t count;
    uint64_t lost_ms;
};

/* Work lost by stopping the task; a gang loses all that its tasks did. */
static uint64_t
work_lost(const struct sched *sched, const struct task *task)
{
    uint64_t ran = sched->wall_ms > task->started_ms
                       ? sched->wall_ms - task->started_ms
                       : 0;

    return task->job->rec.kind == WORK_GANG ? ran * task->job->rec.count : ran;
}

static bool
is_yielding(const struct sched *sched, const struct task *task)
{
    const struct yielding *yielding =
        g_hash_table_lookup(sched->yielding, &task->id);

    return task->cancelling ||
           (yielding != NULL && yielding->attempt == task->attempt);
}

static bool
stop_for_urgent(const struct sched *sched, const struct task *task,
                const struct work_class *cls)
{
    (void)sched;
    (void)cls;
    return task->job->rec.kind == WORK_BATCH ||
           task->job->rec.kind == WORK_GANG;
}

static bool
stop_for_share(const struct sched *sched, const struct task *task,
               const struct work_class *cls)
{
    const struct sched_team *giver = task->job->team->sched;
    const struct sched_team *taker = cls->team->sched;

    (void)sched;
    return task->job->rec.kind == WORK_BATCH && giver != NULL &&
           giver != taker &&
           (double)giver->share > SHARE_SLACK * (double)taker->share;
}

/* Batch work of teams that have no less than the gang's own. */
static bool
stop_for_gang(const struct sched *sched, const struct task *task,
              const struct work_class *cls)
{
    const struct sched_team *giver = task->job->team->sched;
    const struct sched_team *taker = cls->team->sched;

    (void)sched;
    return task->job->rec.kind == WORK_BATCH && giver != NULL &&
           giver->share >= taker->share;
}

/* Collects the tasks that may yield, those that lose least first. */
static uint32_t
collect_victims(const struct sched *sched, const struct sched_host *host,
                const struct work_class *cls, may_stop allowed,
                struct task **victims)
{
    uint32_t count = 0;

    for (struct task *task = host->target->first;
         task != NULL && count < VICTIMS_MAX; task = task->next_here) {
        uint32_t at = count;

        if (is_yielding(sched, task) || !allowed(sched, task, cls)) {
            continue;
        }
        while (at > 0 &&
               work_lost(sched, victims[at - 1]) > work_lost(sched, task)) {
            victims[at] = victims[at - 1];
            at--;
        }
        victims[at] = task;
        count++;
    }
    return count;
}

/* Room that tasks which already yield will leave, less what is earmarked. */
static void
add_leaving(const struct sched *sched, const struct sched_host *host,
            struct sched_host *after)
{
    for (const struct task *task = host->target->first; task != NULL;
         task = task->next_here) {
        if (is_yielding(sched, task)) {
            sched_return(&after->pending, &task->job->rec);
        }
    }
    for (uint32_t i = 0; host->earmark != NULL && i < host->earmark_count;
         i++) {
        sched_take(&after->pending, &host->earmark->size);
    }
}

/* Room arithmetic wraps while more is returned than was pending; sums with
 * what is in use come out right again, as unsigned numbers do.
 */
static bool
plan_host(const struct sched *sched, struct sched_host *host,
          const struct work_class *cls, may_stop allowed, struct plan *plan)
{
    struct sched_host after = *host;
    struct task *victims[VICTIMS_MAX];
    uint32_t count = collect_victims(sched, host, cls, allowed, victims);

    plan->host = host;
    plan->count = 0;
    plan->lost_ms = 0;
    add_leaving(sched, host, &after);
    while (!sched_room(&after, &cls->size) && plan->count < count) {
        struct task *victim = victims[plan->count];

        sched_return(&after.pending, &victim->job->rec);
        plan->victims[plan->count] = victim;
        plan->lost_ms += work_lost(sched, victim);
        plan->count++;
    }
    return sched_room(&after, &cls->size);
}

static bool
best_plan(const struct sched *sched, const struct work_class *cls,
          may_stop allowed, struct plan *best)
{
    struct plan plan;
    bool found = false;

    for (guint i = 0; i < cls->domain->hosts->len; i++) {
        struct sched_host *host = cls->domain->hosts->pdata[i];
        bool other = host->earmark != NULL && host->earmark != cls &&
                     sched->now_ms < host->earmark_until_ms;

        if (other || host->probation_ms != 0) {
            continue;
        }
        if (plan_host(sched, host, cls, allowed, &plan) &&
            (!found || plan.lost_ms < best->lost_ms)) {
            *best = plan;
            found = true;
        }
    }
    return found;
}

static void
carry_out(struct sched *sched, struct work_class *cls, const struct plan *plan)
{
    struct sched_host *host = plan->host;

    for (uint32_t i = 0; i < plan->count; i++) {
        sched_yield_task(sched, plan->victims[i], SCHED_CHECKPOINT);
    }
    host->earmark_count = host->earmark == cls ? host->earmark_count + 1 : 1;
    host->earmark = cls;
    host->earmark_until_ms = sched->now_ms + SCHED_EARMARK_MS;
}

static uint32_t
earmarked_for(const struct sched *sched, const struct work_class *cls)
{
    uint32_t count = 0;

    for (guint i = 0; i < sched->hosts->len; i++) {
        const struct sched_host *host = sched->hosts->pdata[i];

        if (host->earmark == cls && sched->now_ms < host->earmark_until_ms) {
            count += host->earmark_count;
        }
    }
    return count;
}

void
sched_preempt_for(struct sched *sched, struct work_class *cls)
{
    uint32_t have = earmarked_for(sched, cls);
    uint32_t want = MIN(cls->count, SCHED_PREEMPT_AHEAD);
    struct plan plan;

    while (have < want && best_plan(sched, cls, stop_for_urgent, &plan)) {
        sched->counters.preempted += plan.count;
        carry_out(sched, cls, &plan);
        have++;
    }
}

static bool
waits_for_its_share(const struct sched *sched, const struct work_class *cls)
{
    return cls->block == SCHED_BLOCK_ROOM && cls->size.kind != WORK_GANG &&
           cls->blocked_since_ms != 0 &&
           sched->now_ms >= cls->blocked_since_ms + SCHED_RECLAIM_AFTER_MS;
}

/* The blocked work of the team with the smallest share. */
static struct work_class *
neediest_class(const struct sched *sched)
{
    struct work_class *neediest = NULL;
    uint32_t least = UINT32_MAX;

    for (guint i = 0; i < sched->team_list->len; i++) {
        const struct sched_team *entry = sched->team_list->pdata[i];

        for (guint j = 0; j < entry->classes->len; j++) {
            struct work_class *cls = entry->classes->pdata[j];

            if (entry->share < least && waits_for_its_share(sched, cls)) {
                neediest = cls;
                least = entry->share;
            }
        }
    }
    return neediest;
}

/* What one task of this size adds to its team's share. */
static uint32_t
share_step(const struct sched *sched, const struct work_class *cls)
{
    const struct use *total = &sched->total;
    double cpu =
        (double)cls->size.cpu_milli / (double)MAX(total->cpu_milli, 1);
    double memory =
        (double)cls->size.memory_mb / (double)MAX(total->memory_mb, 1);
    double accel = (double)cls->size.accel / (double)MAX(total->accel, 1);

    return (uint32_t)(MAX(cpu, MAX(memory, accel)) * 1e6 /
                      MAX(cls->team->conf.weight, 1));
}

/* Lent share comes back: from SCHED_RECLAIM_AFTER_MS on, room is made each
 * second for some tasks of the team with the smallest share, out of batch work
 * of teams that have clearly more. Shares are moved along with each plan, so
 * that a round does not take more than the difference.
 */
void
sched_reclaim(struct sched *sched)
{
    struct work_class *cls = neediest_class(sched);
    struct plan plan;
    uint32_t made = 0;

    while (cls != NULL && made < MIN(cls->count, SCHED_RECLAIM_TASKS) &&
           earmarked_for(sched, cls) < SCHED_RECLAIM_TASKS &&
           best_plan(sched, cls, stop_for_share, &plan)) {
        struct sched_team *taker = cls->team->sched;

        sched->counters.reclaimed += plan.count;
        carry_out(sched, cls, &plan);
        taker->share += share_step(sched, cls);
        for (uint32_t i = 0; i < plan.count; i++) {
            struct sched_team *giver = plan.victims[i]->job->team->sched;

            giver->share -= MIN(giver->share, share_step(sched, cls));
        }
        made++;
        if (plan.count == 0) {
            break; /* there is room; the lines will find it */
        }
    }
}

/* When a host will have room for more tasks of the gang. */
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

    /* Past its expected end a task is taken to run half as long again. */
    return sched->now_ms +
           (run_ms > ran_ms ? run_ms - ran_ms : MAX(ran_ms / 2, 1000));
}

static int
by_end(const void *a, const void *b)
{
    uint64_t x = ((const struct opening *)a)->at_ms;
    uint64_t y = ((const struct opening *)b)->at_ms;

    return x < y ? -1 : x > y;
}

/* Adds the openings of one host: now, and after the end of each task. */
static void
add_openings(const struct sched *sched, const struct work_class *cls,
             struct sched_host *host, GArray *openings)
{
    struct sched_host after = *host;
    struct opening ends[VICTIMS_MAX];
    struct task *tasks[VICTIMS_MAX];
    uint32_t count = 0;
    uint32_t fit = 0;

    while (sched_room(&after, &cls->size)) {
        sched_take(&after.pending, &cls->size);
        fit++;
    }
    if (fit > 0) {
        struct opening opening = {host, sched->now_ms, fit};

        g_array_append_val(openings, opening);
    }
    for (struct task *task = host->target->first;
         task != NULL && count < VICTIMS_MAX; task = task->next_here) {
        if (task->job->rec.kind != WORK_SERVICE) {
            ends[count].at_ms = expected_end_ms(sched, task);
            ends[count].tasks = count;
            tasks[count] = task;
            count++;
        }
    }
    qsort(ends, count, sizeof(ends[0]), by_end);
    for (uint32_t i = 0; i < count; i++) {
        struct opening opening = {host, ends[i].at_ms, 0};

        sched_return(&after.pending, &tasks[ends[i].tasks]->job->rec);
        while (sched_room(&after, &cls->size)) {
            sched_take(&after.pending, &cls->size);
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
            sched_note_freed(sched, host);
        }
    }
    sched->reserved_for = NULL;
}

/* How many tasks of the class the host could hold without what may stop. */
static uint32_t
room_without(const struct sched *sched, struct sched_host *host,
             const struct work_class *cls)
{
    struct sched_host after = *host;
    struct task *victims[VICTIMS_MAX];
    uint32_t count = collect_victims(sched, host, cls, stop_for_gang, victims);
    uint32_t fit = 0;

    add_leaving(sched, host, &after);
    for (uint32_t i = 0; i < count; i++) {
        sched_return(&after.pending, &victims[i]->job->rec);
    }
    while (sched_room(&after, &cls->size)) {
        sched_take(&after.pending, &cls->size);
        fit++;
    }
    return fit;
}

/* Makes room for the rest of a gang, if there is enough that may stop: else
 * nothing is stopped in vain.
 */
static void
take_room_for_gang(struct sched *sched, struct work_class *cls, uint32_t need)
{
    uint32_t have = earmarked_for(sched, cls);
    uint32_t could = have;
    struct plan plan;

    for (guint i = 0; i < cls->domain->hosts->len && could < need; i++) {
        could += room_without(sched, cls->domain->hosts->pdata[i], cls);
    }
    if (could < need) {
        return;
    }
    while (have < need && best_plan(sched, cls, stop_for_gang, &plan)) {
        sched->counters.preempted += plan.count;
        carry_out(sched, cls, &plan);
        have++;
    }
}

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
        host->start_ms = start_ms;
        memset(&host->reserved_size, 0, sizeof(host->reserved_size));
        sched_take(&host->reserved_size, &job->rec);
        host->reserved_tasks += opening->tasks;
    }
}

/* One gang at a time holds a reservation, so two gangs never wait for each
 * other. It takes the hosts that come free first; other work may fill in
 * there if it is expected to end before the gang can start. What is held idle
 * is bounded in time: after SCHED_GANG_PATIENCE_MS the rest of the room is
 * taken from batch work of teams with no smaller share, and after
 * SCHED_RESERVE_MAX_MS the hosts are let go for as long. Looked at again each
 * second, as expectations change.
 */
void
sched_reserve(struct sched *sched, struct work_class *cls)
{
    struct job *job = cls->first->task->job;
    uint32_t need = ((const struct gang *)job->sched)->waiting;
    GArray *openings;
    uint32_t have = 0;
    guint used = 0;

    if (sched->now_ms < cls->blocked_since_ms + SCHED_RESERVE_AFTER_MS ||
        (sched->reserved_for != NULL && sched->reserved_for != job) ||
        sched->now_ms < sched->reserve_check_ms ||
        sched->now_ms < sched->reserve_rest_ms) {
        return;
    }
    sched->reserve_check_ms = sched->now_ms + 1000;
    openings = g_array_new(FALSE, FALSE, sizeof(struct opening));
    for (guint i = 0; i < cls->domain->hosts->len; i++) {
        add_openings(sched, cls, cls->domain->hosts->pdata[i], openings);
    }
    g_array_sort(openings, by_end);
    while (used < openings->len && have < need) {
        have += g_array_index(openings, struct opening, used).tasks;
        used++;
    }
    if (have >= need) {
        reserve_hosts(sched, job, openings, used);
        if (sched->now_ms >= sched->reserved_at_ms + SCHED_GANG_PATIENCE_MS) {
            take_room_for_gang(sched, cls, need);
        }
    }
    g_array_free(openings, TRUE);
}

static bool
day_listed(const char *days, int weekday)
{
    static const char *const names[] = {"mon", "tue", "wed", "thu",
                                        "fri", "sat", "sun"};

    return days[0] == '\0' || strstr(days, names[weekday - 1]) != NULL;
}

/* A night belongs to the day on which it begins. Local wall time decides, so
 * a night is an hour shorter or longer when the clocks change.
 */
bool
sched_hours_active(const struct change_hours *rule, uint64_t wall_ms)
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
                 day_listed(rule->days, weekday);
    }
    else if (minute >= rule->from_minute) {
        active = day_listed(rule->days, weekday);
    }
    else {
        active = minute < rule->to_minute &&
                 day_listed(rule->days, weekday == 1 ? 7 : weekday - 1);
    }
    g_date_time_unref(local);
    g_date_time_unref(utc);
    g_time_zone_unref(zone);
    return active;
}

static void
wake_all(struct sched *sched)
{
    for (guint i = 0; i < sched->hosts->len; i++) {
        struct sched_host *host = sched->hosts->pdata[i];

        if (host->target->first != NULL) {
            sched->ops.wake(sched->ops.ctx, host->target);
        }
    }
}

/* Looks once a wall-clock minute which rules hold. */
void
sched_check_hours(struct sched *sched)
{
    uint64_t minute = sched->wall_ms / 60000;
    uint64_t state = 1;
    GHashTableIter iter;
    struct hours *hours;

    if (minute == sched->hours_minute) {
        return;
    }
    sched->hours_minute = minute;
    g_hash_table_iter_init(&iter, sched->cell->hours);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&hours)) {
        if (sched_hours_active(&hours->conf, sched->wall_ms)) {
            state += g_str_hash(hours->conf.name) | 1;
        }
    }
    if (state != sched->hours_state) {
        sched->hours_state = state;
        sched_stale_domains(sched);
        sched->check_running = true;
        wake_all(sched);
    }
}

/* Reports whether quiet hours move the task away from where it runs. */
static bool
must_move(const struct sched *sched, const struct task *task)
{
    GHashTableIter iter;
    struct hours *hours;

    g_hash_table_iter_init(&iter, sched->cell->hours);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&hours)) {
        if (hours->conf.action == HOURS_MOVE &&
            selector_match(hours->work, task->job->rec.labels) &&
            selector_match(hours->hosts, task->target->labels) &&
            sched_hours_active(&hours->conf, sched->wall_ms)) {
            return true;
        }
    }
    return false;
}

static gint
newest_first(gconstpointer a, gconstpointer b)
{
    const struct task *x = *(const struct task *const *)a;
    const struct task *y = *(const struct task *const *)b;

    if (x->started_ms != y->started_ms) {
        return x->started_ms > y->started_ms ? -1 : 1;
    }
    return x->id > y->id ? -1 : x->id < y->id;
}

/* A lowered limit stops the newest tasks until the rest is within it. */
static void
shrink_team(struct sched *sched, struct team *team, GPtrArray *running)
{
    static const struct change_submit nothing = {.kind = WORK_BATCH};
    struct team left = *team;

    g_ptr_array_sort(running, newest_first);
    for (guint i = 0; i < running->len; i++) {
        struct task *task = running->pdata[i];

        if (cell_within_limit(&left, &nothing, 0)) {
            return;
        }
        if (!is_yielding(sched, task)) {
            sched_yield_task(sched, task, SCHED_CHECKPOINT);
            sched->counters.moved++;
        }
        sched_return(&left.use, &task->job->rec);
    }
}

static void
free_list(gpointer list)
{
    g_ptr_array_free(list, TRUE);
}

/* After a change of labels, selectors, limits or hours: one pass over all
 * running tasks.
 */
void
sched_check_running(struct sched *sched)
{
    GHashTable *by_team =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free_list);
    GHashTableIter iter;
    struct team *team;
    GPtrArray *running;

    sched->check_running = false;
    for (guint i = 0; i < sched->hosts->len; i++) {
        const struct sched_host *host = sched->hosts->pdata[i];

        for (struct task *task = host->target->first; task != NULL;
             task = task->next_here) {
            running = g_hash_table_lookup(by_team, task->job->team);
            if (running == NULL) {
                running = g_ptr_array_new();
                g_hash_table_insert(by_team, task->job->team, running);
            }
            g_ptr_array_add(running, task);
            if (!is_yielding(sched, task) &&
                (!cell_selects(task->job, task->target) ||
                 must_move(sched, task))) {
                sched_yield_task(sched, task, SCHED_CHECKPOINT);
                sched->counters.moved++;
            }
        }
    }
    g_hash_table_iter_init(&iter, by_team);
    while (g_hash_table_iter_next(&iter, (gpointer *)&team,
                                  (gpointer *)&running)) {
        shrink_team(sched, team, running);
    }
    g_hash_table_destroy(by_team);
}
