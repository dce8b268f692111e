/* planhold.c -- room that is held for large tasks
 *
 * Load pattern: accelerators nearly all in use, by tasks of one and by gangs
 * whose members take most of a target. Without held room a gang waits until
 * all of its members happen to fit at once on the few targets that it may use.
 * Room is held on the targets that are free first.
 *
 * A step holds room for all of its members or for none, so that two gangs
 * never hold what the other one needs; and only if it could be placed on empty
 * targets, so that work that can never run holds nothing. Short work may run
 * in held room as long as it should be over before the held time.
 */
#include "core/planpriv.h"

#define HOLD_ACCEL_MIN 2u /* tasks of this many accelerators get room held */
#define HOLD_MS 3000u     /* past its time a hold is given up after this */
/* Run times are estimates: short work has to fit with this to spare. */
#define FILL_IN_PERMILLE 1500u
#define WORTHLESS_KEY 3u /* in sort_key[0]: too late to hold up others */

/* Room for one member. */
struct slot {
    struct plan_target *target;
    uint64_t at_ms; /* when it should be free */
};

static const struct plan_run *
next_to_end(const struct plan_target *target, uint64_t after, guint *number)
{
    const struct plan_run *next = NULL;

    for (guint i = 0; i < target->runs->len; i++) {
        const struct plan_run *run = target->runs->pdata[i];

        if ((run->expected_end_ms << 8) + i > after &&
            (next == NULL || run->expected_end_ms < next->expected_end_ms) &&
            (run->step == NULL || !run->step->def->lasting)) {
            next = run;
            *number = i;
        }
    }
    return next;
}

/* When a target would have room for size, by what its runs are expected to
 * take; UINT64_MAX: not known. */
static uint64_t
free_at_ms(const struct plan_target *target, const struct fleet_size *size,
           uint64_t now_ms)
{
    struct fleet_size used = target->used;
    uint64_t at_ms = now_ms;
    uint64_t last = 0;

    while (plan_count_fitting(target, &used, size) == 0) {
        guint number = 0;
        const struct plan_run *next = next_to_end(target, last, &number);

        if (next == NULL) {
            return UINT64_MAX;
        }
        last = (next->expected_end_ms << 8) + number;
        at_ms = MAX(at_ms, next->expected_end_ms);
        plan_subtract_size(&used, &next->size);
    }
    return at_ms;
}

static bool
may_hold(const struct plan_target *target, const struct plan_step *step,
         uint64_t now_ms)
{
    return (target->reserved_for == NULL ||
            now_ms >= target->reserved_until_ms) &&
           target->usable && !target->target->rec.leaving &&
           plan_could_fit(target, step);
}

static uint32_t
members(const struct plan_step *step)
{
    return step->def->gang ? step->def->count : 1;
}

/* Calls fn for each target that the step may run on. */
static void
each_allowed(const struct plan *plan, const struct plan_step *step,
             void (*fn)(void *ctx, struct plan_target *target), void *ctx)
{
    if (!plan_needs_ticket(step)) {
        for (guint i = 0; i < plan->targets->len; i++) {
            fn(ctx, plan->targets->pdata[i]);
        }
        return;
    }
    for (guint i = 0; step->tickets != NULL && i < step->tickets->len; i++) {
        const struct plan_ticket *ticket =
            &g_array_index(step->tickets, struct plan_ticket, i);

        if (ticket->target != NULL && ticket->state == TICKET_GRANTED) {
            fn(ctx, ticket->target);
        }
    }
}

struct search {
    const struct plan_step *step;
    const struct fleet_size *size;
    uint64_t now_ms;
    GArray *slots; /* struct slot */
};

/* How many members an empty target has room for. */
static uint64_t
room_when_empty(const struct plan_target *target, const struct plan_step *step,
                const struct fleet_size *size)
{
    const struct fleet_size none = {0, 0, 0};
    uint64_t times = plan_count_fitting(target, &none, size);

    return step->def->spread == 0 ? times : MIN(times, step->def->spread);
}

static void
add_slots(void *ctx, struct plan_target *target)
{
    struct search *search = ctx;
    struct fleet_size sum = {0, 0, 0};
    struct slot slot = {target, 0};
    uint64_t most;

    if (!may_hold(target, search->step, search->now_ms)) {
        return;
    }
    most = MIN(room_when_empty(target, search->step, search->size),
               members(search->step));
    for (uint64_t i = 0; i < most; i++) {
        plan_add_size(&sum, search->size);
        slot.at_ms = free_at_ms(target, &sum, search->now_ms);
        if (slot.at_ms == UINT64_MAX) {
            return;
        }
        g_array_append_val(search->slots, slot);
    }
}

static gint
earliest_first(gconstpointer a, gconstpointer b)
{
    const struct slot *x = a;
    const struct slot *y = b;

    return x->at_ms == y->at_ms ? 0 : x->at_ms < y->at_ms ? -1 : 1;
}

static void
take_slots(const struct search *search, struct plan_step *step)
{
    uint32_t want = members(step);
    uint64_t from_ms =
        g_array_index(search->slots, struct slot, want - 1).at_ms;

    for (uint32_t i = 0; i < want; i++) {
        struct plan_target *target =
            g_array_index(search->slots, struct slot, i).target;

        if (target->reserved_for != step) {
            target->reserved = (struct fleet_size){0, 0, 0};
            target->reserved_for = step;
        }
        plan_add_size(&target->reserved, search->size);
        target->reserved_from_ms = from_ms;
        target->reserved_until_ms = from_ms + HOLD_MS;
    }
}

static bool
holds(const struct plan *plan, const struct plan_step *step, uint64_t now_ms)
{
    for (guint i = 0; i < plan->targets->len; i++) {
        const struct plan_target *target = plan->targets->pdata[i];

        if (target->reserved_for == step &&
            now_ms < target->reserved_until_ms && target->usable) {
            return true;
        }
    }
    return false;
}

/* Held room stands empty for a while, so it is held only when the step would
 * be late without it: at most its own run time before it must start. */
static bool
is_time_to_hold(const struct plan *plan, const struct plan_step *step,
                uint64_t now_ms)
{
    switch (plan->params.policy->reserve_mode) {
    case RESERVE_NEVER:
        return false;
    case RESERVE_AT_ONCE:
        return true;
    default:
        return now_ms + step->def->estimate_ms >= step->latest_start_ms;
    }
}

void
plan_reserve_capacity(struct plan *plan, struct plan_step *step,
                      const struct fleet_size *size, uint64_t now_ms)
{
    struct search search = {.step = step, .size = size, .now_ms = now_ms};

    if (size->accel < HOLD_ACCEL_MIN || !is_time_to_hold(plan, step, now_ms) ||
        step->sort_key[0] >= WORTHLESS_KEY || holds(plan, step, now_ms)) {
        return;
    }
    plan_release_reservation(plan, step);
    search.slots = g_array_new(FALSE, FALSE, sizeof(struct slot));
    each_allowed(plan, step, add_slots, &search);
    if (search.slots->len >= members(step)) {
        g_array_sort(search.slots, earliest_first);
        take_slots(&search, step);
    }
    g_array_free(search.slots, TRUE);
}

void
plan_release_reservation(struct plan *plan, const struct plan_step *step)
{
    for (guint i = 0; i < plan->targets->len; i++) {
        struct plan_target *target = plan->targets->pdata[i];

        if (target->reserved_for == step) {
            target->reserved_for = NULL;
        }
    }
}

bool
plan_is_reserved_from(const struct plan_target *target,
                      const struct plan_step *step, uint64_t now_ms)
{
    uint64_t takes_ms =
        (uint64_t)step->def->estimate_ms * FILL_IN_PERMILLE / 1000;

    if (target->reserved_for == NULL || target->reserved_for == step ||
        now_ms >= target->reserved_until_ms) {
        return false;
    }
    return step->def->lasting || now_ms + takes_ms > target->reserved_from_ms;
}
