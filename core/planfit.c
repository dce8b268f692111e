/* planfit.c -- placement of a step's tasks on targets */
#include <string.h>

#include "core/planpack.h"
#include "core/planpriv.h"

/* Targets whose runs take longer than this, per mille of the estimate, are
 * used last. */
#define SLOW_TARGET_PERMILLE 2200u
/* With learned speeds: a run time, of the usual one, that makes work without
 * slack avoid a target; less than that is left to packing, as on a full
 * service all work is late. */
#define SLOW_TARGET_RUN_PERMILLE 1500u
/* How finely targets are told apart by how late the step
 * would be, in parts of its run time. */
#define LATENESS_PARTS 4u
#define LATENESS_MAX 1000u
/* Cost of the target where the task failed last: above all other costs. */
#define FAILED_HERE_COST (1ull << 52)
/* How long targets are kept free of other starts before a trial. */
#define TRIAL_WAIT_MS 600u
/* A ticket must be valid for longer than this when a start is ordered. */
#define TICKET_MIN_REMAINING_MS 60u

static bool
has_label(const struct plan_target *target, const char *label)
{
    const char *labels = target->target->rec.labels;
    size_t bytes = strlen(label);

    if (bytes == 0) {
        return true;
    }
    for (const char *match = strstr(labels, label); match != NULL;
         match = strstr(match + 1, label)) {
        if ((match == labels || match[-1] == ',') &&
            (match[bytes] == '\0' || match[bytes] == ',')) {
            return true;
        }
    }
    return false;
}

static uint64_t
free_capacity(uint64_t capacity, uint64_t used, uint64_t reserved)
{
    return capacity > used + reserved ? capacity - used - reserved : 0;
}

static uint64_t
max_tasks(uint64_t capacity, uint64_t used, uint64_t each)
{
    if (each == 0) {
        return UINT32_MAX;
    }
    return capacity > used ? (capacity - used) / each : 0;
}

uint64_t
plan_count_fitting(const struct plan_target *target,
                   const struct fleet_resources *used,
                   const struct fleet_resources *each)
{
    uint64_t count = max_tasks(target->capacity.cpu_milli, used->cpu_milli,
                               each->cpu_milli);

    count = MIN(count, max_tasks(target->capacity.memory_mb, used->memory_mb,
                                 each->memory_mb));
    return MIN(count,
               max_tasks(target->capacity.accel, used->accel, each->accel));
}

static uint32_t
count_step_runs(const struct plan_target *target, const struct plan_step *step)
{
    uint32_t count = 0;

    for (guint i = 0; i < target->runs->len; i++) {
        const struct plan_run *run = target->runs->pdata[i];

        count += run->step == step;
    }
    return count;
}

bool
plan_could_hold(const struct plan_target *target, const struct fleet_step *def)
{
    return (def->fills || def->cpu_milli <= target->capacity.cpu_milli) &&
           def->memory_mb <= target->capacity.memory_mb &&
           def->accel <= target->capacity.accel &&
           has_label(target, def->label);
}

bool
plan_could_fit(const struct plan_target *target, const struct plan_step *step)
{
    return target->pool == step->job->pool &&
           plan_could_hold(target, step->def);
}

bool
plan_fits(const struct plan_target *target, const struct fleet_resources *size,
          const struct plan_step *step, uint64_t now_ms)
{
    struct fleet_resources reserved = {0, 0, 0};

    if (plan_is_reserved_for_other(target, step, now_ms)) {
        reserved = target->reserved;
    }
    return plan_takes_starts(target) &&
           !plan_is_too_cold(target, step, now_ms) &&
           now_ms >= target->backoff_until_ms &&
           (now_ms >= target->failing_until_ms ||
            target->pool->most_are_failing) &&
           plan_is_apart(target, step, now_ms) &&
           size->cpu_milli <= free_capacity(target->capacity.cpu_milli,
                                            target->used.cpu_milli,
                                            reserved.cpu_milli) &&
           size->memory_mb <= free_capacity(target->capacity.memory_mb,
                                            target->used.memory_mb,
                                            reserved.memory_mb) &&
           size->accel <= free_capacity(target->capacity.accel,
                                        target->used.accel, reserved.accel) &&
           (step->def->spread == 0 ||
            count_step_runs(target, step) + target->members <
                step->def->spread);
}

/* Workload: targets of unlike speed. Work with little slack keeps away
 * from slow ones, in particular the last tasks of a chain; to work that can
 * wait, and still be in time there, they are the same. */
static uint64_t
speed_cost(const struct plan *plan, const struct plan_target *target,
           const struct plan_step *step, uint64_t usual_ms, uint64_t now_ms)
{
    uint64_t run_ms;
    uint64_t in_time_ms;

    if (!plan->params.policy->learns_speeds) {
        return target->slowdown_permille > SLOW_TARGET_PERMILLE
                   ? (uint64_t)target->slowdown_permille << 38
                   : 0;
    }
    if (step->def->lasting || step->def->fills) {
        return 0;
    }
    run_ms = usual_ms * plan_slowness_permille(plan, target) / 1000;
    in_time_ms = usual_ms * SLOW_TARGET_RUN_PERMILLE / 1000;
    if (step->latest_start_ms > now_ms) {
        in_time_ms += step->latest_start_ms - now_ms;
    }
    if (run_ms <= in_time_ms) {
        return 0;
    }
    return (1 + MIN((run_ms - in_time_ms) * LATENESS_PARTS / usual_ms,
                    LATENESS_MAX))
           << 38;
}

/* Cost of placing a task on a target; the lowest is chosen. Prefers the rack
 * of the task's data, then targets that are not slow, then the tightest fit
 * (best fit), which keeps large blocks of capacity free. Filler work prefers
 * targets without tasks that bound their tail latency, then those with the
 * most idle CPU. Such latency-bound tasks avoid targets with filler work. A
 * task that may crash its target prefers targets with few runs. */
static uint64_t
placement_cost(const struct plan *plan, const struct plan_target *target,
               const struct plan_step *step,
               const struct fleet_resources *size, uint64_t usual_ms,
               uint64_t now_ms)
{
    const struct fleet_step *def = step->def;
    /* The capacity may have fallen below what runs. */
    uint64_t free_cpu =
        free_capacity(target->capacity.cpu_milli, target->used.cpu_milli, 0);
    uint64_t free_accel =
        free_capacity(target->capacity.accel, target->used.accel, 0);
    uint64_t cost = 0;

    if (def->rack[0] != '\0' &&
        strcmp(def->rack, target->target->rec.rack) != 0) {
        cost += 1ull << 50;
    }
    if (step->is_trial) {
        cost += (uint64_t)target->runs->len << 42;
    }
    cost += speed_cost(plan, target, step, usual_ms, now_ms);
    if (def->fills) {
        cost += (uint64_t)target->serving_runs << 40;
        return cost + (1ull << 32) - MIN(free_cpu, 1ull << 32);
    }
    if (def->tail_ms > 0) {
        for (guint i = 0; i < target->runs->len; i++) {
            const struct plan_run *run = target->runs->pdata[i];

            cost +=
                run->step != NULL && run->step->def->fills ? 1ull << 40 : 0;
        }
    }
    if (plan->params.policy->packs_all) {
        return cost +
               plan_packing_cost(&target->capacity, &target->used, size);
    }
    if (def->accel > 0) {
        cost += free_accel << 32;
    }
    return cost + free_cpu;
}

struct placement_search {
    const struct plan *plan;
    struct plan_step *step;
    const struct fleet_resources *size;
    uint64_t usual_ms;                   /* run time on a typical target */
    const char *rack;                    /* NULL: any */
    const struct plan_target *failed_on; /* last failure; NULL: none */
    uint64_t now_ms;
    struct plan_target *best;
    uint64_t best_cost;
};

static void
consider_target(struct placement_search *search, struct plan_target *target)
{
    uint64_t cost;

    if (!plan_could_fit(target, search->step) ||
        (search->rack != NULL &&
         strcmp(search->rack, target->target->rec.rack) != 0) ||
        !plan_fits(target, search->size, search->step, search->now_ms)) {
        return;
    }
    cost = placement_cost(search->plan, target, search->step, search->size,
                          search->usual_ms, search->now_ms) +
           plan_cold_cost(target, search->now_ms) +
           (target == search->failed_on ? FAILED_HERE_COST : 0);
    if (cost < search->best_cost) {
        search->best = target;
        search->best_cost = cost;
    }
}

/* Finds the cheapest target for one more task of the step, among those with a
 * valid ticket where one is needed; NULL: there is none. */
static struct plan_target *
find_best_target(const struct plan *plan, struct plan_step *step,
                 const struct fleet_resources *size, const char *rack,
                 const struct plan_target *failed_on, uint64_t now_ms)
{
    struct placement_search search = {
        .plan = plan,
        .step = step,
        .size = size,
        .usual_ms = MAX(plan_run_time_ms(plan, step, NULL), 1),
        .rack = rack,
        .failed_on = failed_on,
        .now_ms = now_ms,
        .best_cost = UINT64_MAX};

    if (!plan_leaves_headroom(plan, step, size)) {
        return NULL;
    }
    if (!plan_needs_ticket(step)) {
        const GPtrArray *targets = step->job->pool->targets;

        for (guint i = 0; i < targets->len; i++) {
            consider_target(&search, targets->pdata[i]);
        }
        return search.best;
    }
    for (guint i = 0; step->tickets != NULL && i < step->tickets->len; i++) {
        const struct plan_ticket *ticket =
            &g_array_index(step->tickets, struct plan_ticket, i);

        if (!ticket->target->removed && ticket->state == TICKET_GRANTED &&
            now_ms + TICKET_MIN_REMAINING_MS < ticket->valid_until_ms) {
            consider_target(&search, ticket->target);
        }
    }
    return search.best;
}

static bool
start_on_target(struct plan *plan, struct plan_step *step, uint32_t index,
                uint32_t run_number, struct plan_target *target,
                uint64_t now_ms)
{
    const char *ticket =
        plan_needs_ticket(step) ? plan_valid_ticket(step, target, now_ms) : "";

    plan_use_ticket(step, target);
    return plan_start_run(plan, step, index, run_number, target, ticket,
                          now_ms);
}

static bool
may_start_task(const struct plan_step *step, uint32_t number, uint64_t now_ms)
{
    const struct plan_task *task = &step->job->tasks[number];

    return !task->done && task->runs == 0 && now_ms >= task->not_before_ms &&
           plan_may_crash_again(task) && plan_has_attempts(step, number, 1);
}

/* Why may_start_task() is false for a task without a run. */
static const char *
no_start_reason(const struct plan_step *step, uint32_t number, uint64_t now_ms)
{
    const struct plan_task *task = &step->job->tasks[number];

    if (task->done) {
        return "some of its gang are done";
    }
    if (task->runs > 0) {
        return "some of its gang have a run";
    }
    if (now_ms < task->not_before_ms) {
        return "a pause after a failed or refused start";
    }
    return plan_may_crash_again(task) ? "its attempts are used up"
                                      : "a task may crash its target";
}

/* Why no target was found; the texts appear in step.waits events. */
static const char *
no_target_reason(const struct plan *plan, const struct plan_step *step,
                 const struct fleet_resources *size)
{
    if (plan_is_all_evacuated(step)) {
        return "its data centres are evacuated";
    }
    if (!plan_leaves_headroom(plan, step, size)) {
        return "the room left is kept for tighter work";
    }
    return plan_needs_ticket(step) ? PLAN_NO_TICKET_REASON : "no room";
}

/* Finds a target for each task of a gang, on the given rack only unless it is
 * NULL. Members already placed count in target->used and target->members
 * during the search; this is undone before it returns. */
static bool
fit_gang(struct plan *plan, struct plan_step *step, const char *rack,
         struct plan_target **chosen, uint64_t now_ms)
{
    const struct fleet_resources size = plan_task_size(step->def);
    uint32_t found = 0;

    while (found < step->def->count) {
        struct plan_target *target =
            find_best_target(plan, step, &size, rack, NULL, now_ms);

        if (target == NULL) {
            break;
        }
        target->members++;
        target->used.cpu_milli += size.cpu_milli;
        target->used.memory_mb += size.memory_mb;
        target->used.accel += size.accel;
        chosen[found++] = target;
    }
    for (uint32_t i = 0; i < found; i++) {
        chosen[i]->members--;
        chosen[i]->used.cpu_milli -= size.cpu_milli;
        chosen[i]->used.memory_mb -= size.memory_mb;
        chosen[i]->used.accel -= size.accel;
    }
    return found == step->def->count;
}

/* Places a same_rack gang on a single rack if one has the capacity, otherwise
 * on any racks. */
static bool
fit_gang_prefer_rack(struct plan *plan, struct plan_step *step,
                     const struct fleet_resources *size,
                     struct plan_target **chosen, uint64_t now_ms)
{
    const GPtrArray *targets = step->job->pool->targets;
    GHashTable *tried_racks;
    bool found = false;

    if (!step->def->same_rack) {
        return fit_gang(plan, step, NULL, chosen, now_ms);
    }
    tried_racks = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; !found && i < targets->len; i++) {
        const struct plan_target *target = targets->pdata[i];
        char *rack = target->target->rec.rack;

        if (plan_fits(target, size, step, now_ms) &&
            g_hash_table_add(tried_racks, rack)) {
            found = fit_gang(plan, step, rack, chosen, now_ms);
        }
    }
    g_hash_table_destroy(tried_racks);
    return found || fit_gang(plan, step, NULL, chosen, now_ms);
}

/* Whether a target keeps itself free for a trial of the step. */
static bool
awaits_trial(const struct plan *plan, const struct plan_step *step,
             uint64_t now_ms)
{
    for (guint i = 0; i < plan->targets->len; i++) {
        const struct plan_target *target = plan->targets->pdata[i];

        if (target->trial_job == step->job &&
            now_ms < target->trial_until_ms && plan_takes_starts(target)) {
            return true;
        }
    }
    return false;
}

/* Workload: a cell so busy that on each target something was just started. The
 * targets that would take the step, but for that, get no other starts until it
 * can be tried there. */
static void
prepare_trial(struct plan *plan, struct plan_step *step, uint64_t now_ms)
{
    const struct fleet_resources size = plan_task_size(step->def);
    const uint32_t count = step->def->gang ? step->def->count : 1;
    struct plan_target **chosen;
    bool fits;

    if (!step->is_trial || awaits_trial(plan, step, now_ms)) {
        return;
    }
    chosen = g_new0(struct plan_target *, count);
    step->is_trial = false;
    if (step->def->gang) {
        fits = fit_gang_prefer_rack(plan, step, &size, chosen, now_ms);
    }
    else {
        chosen[0] = find_best_target(plan, step, &size, NULL, NULL, now_ms);
        fits = chosen[0] != NULL;
    }
    step->is_trial = true;
    for (uint32_t i = 0; fits && i < count && chosen[i] != NULL; i++) {
        plan_begin_trial(chosen[i], step, now_ms);
        chosen[i]->trial_until_ms += TRIAL_WAIT_MS;
    }
    g_free(chosen);
}

/* Starts as many tasks as fit; for the first that does not, tries to reserve
 * capacity. */
static void
place_tasks(struct plan *plan, struct plan_step *step, uint64_t now_ms)
{
    const struct fleet_resources size = plan_task_size(step->def);

    for (uint32_t i = 0; i < step->def->count && step->pending > 0; i++) {
        uint32_t number = step->first_task + i;
        struct plan_target *target;

        if (!may_start_task(step, number, now_ms)) {
            if (step->job->tasks[number].runs == 0 &&
                !step->job->tasks[number].done) {
                step->wait_reason = no_start_reason(step, number, now_ms);
            }
            continue;
        }
        if (!plan_team_allows(plan, step, 1)) {
            step->wait_reason = plan_team_reason(step);
            return;
        }
        target = find_best_target(plan, step, &size, NULL,
                                  step->job->tasks[number].failed_on, now_ms);
        if (target == NULL) {
            step->wait_reason = no_target_reason(plan, step, &size);
            plan_reserve_capacity(plan, step, &size, now_ms);
            prepare_trial(plan, step, now_ms);
            return;
        }
        start_on_target(plan, step, i,
                        step->job->tasks[number].next_run_number, target,
                        now_ms);
    }
    plan_release_reservation(plan, step);
}

/* Starts all tasks of the gang, under one run number, or none. */
static void
place_gang(struct plan *plan, struct plan_step *step, uint64_t now_ms)
{
    const struct fleet_resources size = plan_task_size(step->def);
    struct plan_target **chosen;
    uint32_t run_number = 0;

    if (step->pending != step->def->count ||
        step->unfinished != step->def->count) {
        step->wait_reason = step->unfinished != step->def->count
                                ? "some of its gang are done"
                                : "some of its gang have a run";
        return;
    }
    for (uint32_t i = 0; i < step->def->count; i++) {
        if (!may_start_task(step, step->first_task + i, now_ms)) {
            step->wait_reason =
                no_start_reason(step, step->first_task + i, now_ms);
            return;
        }
        run_number =
            MAX(run_number,
                step->job->tasks[step->first_task + i].next_run_number);
    }
    if (!plan_team_allows(plan, step, step->def->count)) {
        step->wait_reason = plan_team_reason(step);
        return;
    }
    chosen = g_new0(struct plan_target *, step->def->count);
    if (fit_gang_prefer_rack(plan, step, &size, chosen, now_ms)) {
        for (uint32_t i = 0; i < step->def->count; i++) {
            start_on_target(plan, step, i, run_number, chosen[i], now_ms);
        }
        plan_release_reservation(plan, step);
    }
    else {
        step->wait_reason = no_target_reason(plan, step, &size);
        plan_reserve_capacity(plan, step, &size, now_ms);
        prepare_trial(plan, step, now_ms);
    }
    g_free(chosen);
}

void
plan_place_step(struct plan *plan, struct plan_step *step, uint64_t now_ms)
{
    step->is_trial = plan_is_step_suspected(step);
    if (step->def->gang) {
        place_gang(plan, step, now_ms);
    }
    else {
        place_tasks(plan, step, now_ms);
    }
}
