/* planevac.c -- evacuated data centres, and targets that are cold
 *
 * Workload: an operator takes all targets of a data centre out of use for a
 * while, at any load. No run starts there; the capacity that is left serves
 * what waits, by the usual order. There is no deadline by which the data
 * centre must be empty, so runs that end soon are finished: a stop would cost
 * their callers the work since the last checkpoint and the time to resume.
 * Runs that would go on for long are moved, a few at a time: lasting ones, and
 * those with checkpoints. Each is stopped only when another target has room
 * for it, and within the limit of its step on tasks stopped at once. Runs
 * without checkpoints, and gangs, which start again only as a whole, are left
 * until they end.
 */
#include "core/planpriv.h"

/* A run that should end within this is finished where it is. */
#define FINISH_MAX_MS 60000u
/* Moves: how often they are considered, and runs that are moved at once. */
#define MOVE_INTERVAL_MS 100u
#define MOVES_MAX 4u
/* A run counts as at work from this time after its start on. */
#define SETTLE_MS 2000u
/* Without a limit of its own, a lasting step moves one task of so many at
 * once. */
#define MOVED_SHARE 10u
/* A cold target gets one start in this time, and is used after others. */
#define COLD_START_INTERVAL_MS 400u
#define COLD_COST (1ull << 49)
/* What waits for longer than this starts on cold targets whatever has just
 * started there, if it is a gang or little of its service is in use. */
#define COLD_WAIT_MAX_MS 1500u

/* ---- evacuated data centres --------------------------------------------- */

bool
plan_target_takes_starts(const struct fleet_target *target)
{
    return target->plan != NULL && plan_takes_starts(target->plan);
}

/* Gives up what is kept on the target for steps that may not start there: a
 * reservation, as a whole, so that the step may reserve elsewhere, and a
 * trial. */
static void
release_target(struct plan *plan, struct plan_target *target)
{
    if (target->reserved_for != NULL) {
        plan_release_reservation(plan, target->reserved_for);
    }
    target->trial_until_ms = 0;
}

static void
update_evacuation(struct plan *plan, struct plan_target *target)
{
    target->in_evacuation =
        fleet_is_evacuated(plan->fleet, target->target->rec.data_centre);
    if (target->in_evacuation) {
        release_target(plan, target);
    }
}

void
plan_evacuation_changed(struct plan *plan)
{
    for (guint i = 0; i < plan->targets->len; i++) {
        update_evacuation(plan, plan->targets->pdata[i]);
    }
    plan->dirty = true;
}

bool
plan_is_all_evacuated(const struct plan_step *step)
{
    const GPtrArray *targets = step->job->pool->targets;

    for (guint i = 0; i < targets->len; i++) {
        const struct plan_target *target = targets->pdata[i];

        if (!target->in_evacuation) {
            return false;
        }
    }
    return targets->len > 0;
}

void
plan_count_in_data_centre(const struct plan *plan, struct call_evacuation *out)
{
    for (guint i = 0; i < plan->targets->len; i++) {
        const struct plan_target *target = plan->targets->pdata[i];

        if (g_strcmp0(target->target->rec.data_centre, out->data_centre) !=
            0) {
            continue;
        }
        out->targets++;
        out->runs += target->runs->len;
        for (guint k = 0; k < target->runs->len; k++) {
            const struct plan_run *run = target->runs->pdata[k];

            out->lasting += run->step != NULL && run->step->def->lasting;
        }
    }
}

/* ---- moves -------------------------------------------------------------- */

static bool
is_at_work(const struct plan_run *run, uint64_t now_ms)
{
    const struct plan_target *target = run->target;

    return run->state == RUN_ACTIVE && !run->detached && target->usable &&
           !target->target->rec.leaving && run->active_since_ms != 0 &&
           now_ms >= run->active_since_ms + SETTLE_MS;
}

/* Tasks of the step that are not at work. */
static uint32_t
count_away(const struct plan_step *step, uint64_t now_ms)
{
    uint32_t at_work = 0;

    for (GList *link = step->job->runs.head; link != NULL; link = link->next) {
        const struct plan_run *run = link->data;

        at_work += run->step == step && is_at_work(run, now_ms);
    }
    return step->def->count - MIN(at_work, step->def->count);
}

/* How many tasks of the step may be away at once because of moves. */
static uint32_t
away_limit(const struct fleet_step *def)
{
    return def->keeps_floor ? def->may_miss : MAX(def->count / MOVED_SHARE, 1);
}

static bool
should_move(const struct plan_run *run, uint64_t now_ms)
{
    const struct plan_step *step = run->step;

    if (step == NULL || step->job->ended || step->def->gang ||
        run->stop_ordered_ms != 0 || !is_at_work(run, now_ms)) {
        return false;
    }
    if (step->def->lasting) {
        return count_away(step, now_ms) < away_limit(step->def);
    }
    return step->def->checkpoints &&
           run->expected_end_ms > now_ms + FINISH_MAX_MS;
}

/* Whether a task of the step can start at once on another target. Without
 * tickets for such targets, asks the policy for some. */
static bool
has_room_elsewhere(struct plan *plan, struct plan_step *step, uint64_t now_ms)
{
    const GPtrArray *targets = step->job->pool->targets;
    const struct fleet_resources size = plan_task_size(step->def);
    bool needs_ticket = plan_needs_ticket(step);

    for (guint i = 0; i < targets->len; i++) {
        const struct plan_target *target = targets->pdata[i];

        if (plan_could_fit(target, step) &&
            plan_fits(target, &size, step, now_ms) &&
            (!needs_ticket ||
             plan_valid_ticket(step, target, now_ms + plan->params.stop_ms) !=
                 NULL)) {
            return true;
        }
    }
    if (needs_ticket) {
        plan_query_policy(plan, step, now_ms);
    }
    return false;
}

static uint32_t
count_moves(const struct plan *plan)
{
    uint32_t count = 0;

    for (guint i = 0; i < plan->targets->len; i++) {
        const struct plan_target *target = plan->targets->pdata[i];

        for (guint k = 0; target->in_evacuation && k < target->runs->len;
             k++) {
            const struct plan_run *run = target->runs->pdata[k];

            count += run->stop_ordered_ms != 0;
        }
    }
    return count;
}

void
plan_move_evacuated_runs(struct plan *plan, uint64_t now_ms)
{
    uint32_t moves;

    if (now_ms < plan->next_move_ms || !plan->reconciled) {
        return;
    }
    plan->next_move_ms = now_ms + MOVE_INTERVAL_MS;
    moves = count_moves(plan);
    for (guint i = 0; i < plan->targets->len; i++) {
        const struct plan_target *target = plan->targets->pdata[i];

        for (guint k = 0; target->in_evacuation && moves < MOVES_MAX &&
                          k < target->runs->len;
             k++) {
            struct plan_run *run = target->runs->pdata[k];

            if (should_move(run, now_ms) &&
                has_room_elsewhere(plan, run->step, now_ms)) {
                plan->counters.evacuated_runs++;
                plan_order_stop(plan, run, PLAN_EVACUATED_REASON, now_ms);
                moves++;
            }
        }
    }
}

/* ---- cold targets ------------------------------------------------------- */

/* Workload: many targets return at once and are slow at first. Others are
 * preferred; with none, each cold one gets starts one by one, so that it
 * fills as it gets warm. Small work takes each target's turn as it comes, and
 * a gang would need those of several targets at the same time. */
bool
plan_is_too_cold(const struct plan_target *target,
                 const struct plan_step *step, uint64_t now_ms)
{
    return now_ms < target->cold_until_ms && target->last_start_ms != 0 &&
           now_ms < target->last_start_ms + COLD_START_INTERVAL_MS &&
           (now_ms < step->opened_ms + COLD_WAIT_MAX_MS ||
            (!step->def->gang && !plan_is_little_used(target->pool)));
}

uint64_t
plan_cold_cost(const struct plan_target *target, uint64_t now_ms)
{
    return now_ms < target->cold_until_ms ? COLD_COST : 0;
}

void
plan_update_cold(struct plan *plan, uint64_t now_ms)
{
    const uint64_t wall_ms =
        (uint64_t)((int64_t)now_ms + plan->wall_offset_ms);
    bool has_cold = false;

    for (guint i = 0; plan->has_cold && i < plan->targets->len; i++) {
        struct plan_target *target = plan->targets->pdata[i];
        const struct fleet_target_rec *rec = &target->target->rec;
        uint64_t until_ms = fleet_target_cold_until_ms(rec);

        /* The clock of the host that recorded it may be ahead. */
        target->cold_until_ms =
            until_ms > wall_ms ? now_ms + MIN(until_ms - wall_ms, rec->cold_ms)
                               : 0;
        has_cold = has_cold || target->cold_until_ms != 0;
    }
    plan->has_cold = has_cold;
}

void
plan_update_place(struct plan *plan, struct plan_target *target)
{
    plan->has_cold = plan->has_cold || target->target->rec.cold_ms > 0;
    update_evacuation(plan, target);
}
