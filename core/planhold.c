/* planhold.c -- reservations of capacity for large tasks
 *
 * Workload: accelerators nearly all in use, by tasks that need one accelerator
 * and by gangs whose members take most of a target. Without a reservation a
 * gang waits until all of its members happen to fit at once on the few targets
 * that it may use. Capacity is reserved on the targets that are expected to be
 * free first.
 *
 * A step reserves capacity for all of its members or for none, so that two
 * gangs never deadlock by each reserving what the other one needs; and only if
 * it could be placed on empty targets, so that work that can never run
 * reserves nothing. Short tasks may run in reserved capacity (backfill) if
 * they are expected to end before the reservation starts.
 *
 * While little of a service is in use, a reservation delays other work only
 * briefly: targets that some long runs keep partly busy would else stand
 * mostly idle until these end.
 */
#include "core/planpriv.h"

/* Tasks with at least this many accelerators reserve capacity. */
#define RESERVATION_ACCEL_MIN 2u
/* Time from the start of a reservation until it expires. */
#define RESERVATION_GRACE_MS 3000u
/* Time that a backfill task must have before the reservation starts, per mille
 * of its estimated run time: estimates may be too short. */
#define BACKFILL_TIME_PERMILLE 1500u
/* How long a step waits for reserved capacity of a service of which less than
 * LITTLE_USED_PERCENT is in use. */
#define IDLE_RESERVED_MAX_MS 1500u
#define LITTLE_USED_PERCENT 50u

/* Capacity on a target for one member of a gang, or for a single task. */
struct slot {
    struct plan_target *target;
    uint64_t free_ms; /* when the capacity is expected to be free */
};

/* Finds the run that is expected to end next after after_key. The key of a run
 * is its expected end in ms, shifted left by 8, plus its index, so that runs
 * with the same expected end are found one after the other. Long-running
 * services never end. Returns the run and sets *index; NULL if there is none.
 */
static const struct plan_run *
find_next_run_to_end(const struct plan_target *target, uint64_t after_key,
                     guint *index)
{
    const struct plan_run *next = NULL;

    for (guint i = 0; i < target->runs->len; i++) {
        const struct plan_run *run = target->runs->pdata[i];

        if ((run->expected_end_ms << 8) + i > after_key &&
            (next == NULL || run->expected_end_ms < next->expected_end_ms) &&
            (run->step == NULL || !run->step->def->lasting)) {
            next = run;
            *index = i;
        }
    }
    return next;
}

/* When a target will have free capacity of this size, by the expected ends of
 * its runs; UINT64_MAX: not known. */
static uint64_t
expected_free_ms(const struct plan_target *target,
                 const struct fleet_resources *size, uint64_t now_ms)
{
    struct fleet_resources used = target->used;
    uint64_t free_ms = now_ms;
    uint64_t last_key = 0;

    while (plan_count_fitting(target, &used, size) == 0) {
        guint index = 0;
        const struct plan_run *next =
            find_next_run_to_end(target, last_key, &index);

        if (next == NULL) {
            return UINT64_MAX;
        }
        last_key = (next->expected_end_ms << 8) + index;
        free_ms = MAX(free_ms, next->expected_end_ms);
        plan_subtract_size(&used, &next->size);
    }
    return free_ms;
}

/* Whether a reservation does not hold against the step: work beyond its team's
 * rate reserves nothing from work within it. */
static bool
gives_way(const struct plan_step *reserved_for, const struct plan_step *step)
{
    return reserved_for->sort_key[0] >= CLASS_BEYOND_SHARE &&
           step->sort_key[0] < CLASS_BEYOND_SHARE;
}

/* Whether the step may reserve capacity on a target. A target has at most one
 * reservation at a time. */
static bool
can_reserve_on(const struct plan_target *target, const struct plan_step *step,
               uint64_t now_ms)
{
    return (target->reserved_for == NULL ||
            now_ms >= target->reserved_until_ms ||
            gives_way(target->reserved_for, step)) &&
           plan_takes_starts(target) && plan_could_fit(target, step);
}

/* Number of tasks that must start together. */
static uint32_t
member_count(const struct plan_step *step)
{
    return step->def->gang ? step->def->count : 1;
}

/* Calls fn for each target that the step may run on: those that the policy
 * granted if the step needs tickets, else all. */
static void
for_each_allowed_target(const struct plan_step *step,
                        void (*fn)(void *ctx, struct plan_target *target),
                        void *ctx)
{
    if (!plan_needs_ticket(step)) {
        const GPtrArray *targets = step->job->pool->targets;

        for (guint i = 0; i < targets->len; i++) {
            fn(ctx, targets->pdata[i]);
        }
        return;
    }
    for (guint i = 0; step->tickets != NULL && i < step->tickets->len; i++) {
        const struct plan_ticket *ticket =
            &g_array_index(step->tickets, struct plan_ticket, i);

        if (!ticket->target->removed && ticket->state == TICKET_GRANTED) {
            fn(ctx, ticket->target);
        }
    }
}

struct slot_search {
    struct plan *plan;
    const struct plan_step *step;
    const struct fleet_resources *size;
    uint64_t now_ms;
    GArray *slots; /* struct slot */
};

/* How many members fit on an empty target. */
static uint64_t
slots_when_empty(const struct plan_target *target,
                 const struct plan_step *step,
                 const struct fleet_resources *size)
{
    const struct fleet_resources empty = {0, 0, 0};
    uint64_t slots = plan_count_fitting(target, &empty, size);

    return step->def->spread == 0 ? slots : MIN(slots, step->def->spread);
}

/* Appends a slot for each member that the target can take, with the time when
 * the target is expected to be free for so many. */
static void
append_slots(void *ctx, struct plan_target *target)
{
    struct slot_search *search = ctx;
    struct fleet_resources total = {0, 0, 0};
    struct slot slot = {target, 0};
    uint64_t max_slots;

    if (!can_reserve_on(target, search->step, search->now_ms)) {
        return;
    }
    max_slots = MIN(slots_when_empty(target, search->step, search->size),
                    member_count(search->step));
    for (uint64_t i = 0; i < max_slots; i++) {
        plan_add_size(&total, search->size);
        slot.free_ms = expected_free_ms(target, &total, search->now_ms);
        if (slot.free_ms == UINT64_MAX) {
            return;
        }
        g_array_append_val(search->slots, slot);
    }
}

static gint
compare_slots(gconstpointer a, gconstpointer b)
{
    const struct slot *x = a;
    const struct slot *y = b;

    return x->free_ms == y->free_ms ? 0 : x->free_ms < y->free_ms ? -1 : 1;
}

void
plan_clear_reservation(struct plan_target *target)
{
    if (target->reserved_for != NULL) {
        target->reserved_for->reserved_targets--;
        target->reserved_for = NULL;
    }
}

/* Reserves the earliest slots for the step. The reservation starts when the
 * last of them is expected to be free. */
static void
reserve_slots(const struct slot_search *search, struct plan_step *step)
{
    uint32_t count = member_count(step);
    uint64_t start_ms =
        g_array_index(search->slots, struct slot, count - 1).free_ms;

    for (uint32_t i = 0; i < count; i++) {
        struct plan_target *target =
            g_array_index(search->slots, struct slot, i).target;

        if (target->reserved_for != step) {
            if (target->reserved_for != NULL) {
                plan_release_reservation(search->plan, target->reserved_for);
            }
            target->reserved = (struct fleet_resources){0, 0, 0};
            target->reserved_for = step;
            step->reserved_targets++;
        }
        plan_add_size(&target->reserved, search->size);
        target->reserved_from_ms = start_ms;
        target->reserved_until_ms = start_ms + RESERVATION_GRACE_MS;
    }
}

/* Whether the step has a reservation that has not expired. */
static bool
has_reservation(const struct plan *plan, const struct plan_step *step,
                uint64_t now_ms)
{
    for (guint i = 0; step->reserved_targets > 0 && i < plan->targets->len;
         i++) {
        const struct plan_target *target = plan->targets->pdata[i];

        if (target->reserved_for == step &&
            now_ms < target->reserved_until_ms && plan_takes_starts(target)) {
            return true;
        }
    }
    return false;
}

/* Reserved capacity may stay idle for a while, so it is reserved only when the
 * step would otherwise be late: from its own estimated run time before its
 * latest start on. */
static bool
is_reservation_due(const struct plan *plan, const struct plan_step *step,
                   uint64_t now_ms)
{
    switch (plan->params.policy->reserve_mode) {
    case RESERVE_NEVER:
        return false;
    case RESERVE_AT_ONCE:
        return true;
    default:
        return now_ms + plan_run_time_ms(plan, step, NULL) >=
               step->latest_start_ms;
    }
}

/* Workload: tasks with several accelerators among tasks with one; gangs of
 * some tens of tasks on a service whose free capacity is spread over all
 * targets in pieces that are smaller than a member. The latter reserve while
 * they can be in time: they take capacity from much other work. */
static bool
is_hard_to_place(const struct plan *plan, const struct plan_step *step,
                 const struct fleet_resources *size)
{
    return size->accel >= RESERVATION_ACCEL_MIN ||
           (plan->params.policy->reserves_for_gangs && step->def->gang &&
            step->def->count > 1 &&
            plan_class_of(step->sort_key) <= CLASS_IN_TIME);
}

void
plan_reserve_capacity(struct plan *plan, struct plan_step *step,
                      const struct fleet_resources *size, uint64_t now_ms)
{
    struct slot_search search = {
        .plan = plan, .step = step, .size = size, .now_ms = now_ms};

    if (!is_hard_to_place(plan, step, size) ||
        !is_reservation_due(plan, step, now_ms) ||
        plan_class_of(step->sort_key) >= CLASS_EXPIRED ||
        has_reservation(plan, step, now_ms)) {
        return;
    }
    plan_release_reservation(plan, step);
    search.slots = g_array_new(FALSE, FALSE, sizeof(struct slot));
    for_each_allowed_target(step, append_slots, &search);
    if (search.slots->len >= member_count(step)) {
        g_array_sort(search.slots, compare_slots);
        reserve_slots(&search, step);
    }
    g_array_free(search.slots, TRUE);
}

void
plan_release_reservation(struct plan *plan, const struct plan_step *step)
{
    for (guint i = 0; step->reserved_targets > 0 && i < plan->targets->len;
         i++) {
        struct plan_target *target = plan->targets->pdata[i];

        if (target->reserved_for == step) {
            plan_clear_reservation(target);
        }
    }
}

void
plan_check_reservation(struct plan *plan, struct plan_target *target)
{
    const struct fleet_resources *reserved = &target->reserved;

    if (target->reserved_for != NULL &&
        (!plan_could_fit(target, target->reserved_for) ||
         reserved->cpu_milli > target->capacity.cpu_milli ||
         reserved->memory_mb > target->capacity.memory_mb ||
         reserved->accel > target->capacity.accel)) {
        plan_release_reservation(plan, target->reserved_for);
    }
}

static bool
is_below(uint64_t used, uint64_t capacity, uint32_t percent)
{
    return capacity == 0 || used * 100 < capacity * percent;
}

bool
plan_is_little_used(const struct plan_pool *pool)
{
    return is_below(pool->used.cpu_milli, pool->capacity.cpu_milli,
                    LITTLE_USED_PERCENT) &&
           is_below(pool->used.memory_mb, pool->capacity.memory_mb,
                    LITTLE_USED_PERCENT) &&
           is_below(pool->used.accel, pool->capacity.accel,
                    LITTLE_USED_PERCENT);
}

bool
plan_is_reserved_for_other(const struct plan_target *target,
                           const struct plan_step *step, uint64_t now_ms)
{
    const struct plan *plan = target->pool->plan;
    uint64_t expected_ms = plan->params.policy->learns_speeds
                               ? plan_run_time_ms(plan, step, target)
                               : step->def->estimate_ms;
    uint64_t run_time_ms = expected_ms * BACKFILL_TIME_PERMILLE / 1000;

    if (target->reserved_for == NULL || target->reserved_for == step ||
        now_ms >= target->reserved_until_ms ||
        gives_way(target->reserved_for, step) ||
        (now_ms >= step->opened_ms + IDLE_RESERVED_MAX_MS &&
         plan_is_little_used(target->pool))) {
        return false;
    }
    return step->def->lasting ||
           now_ms + run_time_ms > target->reserved_from_ms;
}
