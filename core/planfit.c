/* planfit.c -- where a step's tasks fit */
#include <string.h>

#include "core/planpriv.h"

#define SLOW_PERMILLE 2200u /* a target this much slower is a last resort */
#define AVOID_POINTS (1ull << 52) /* more than any other reason */
#define TICKET_SLACK_MS 60u       /* a ticket must be good for this long */

static bool
has_label(const struct plan_target *target, const char *label)
{
    const char *labels = target->target->rec.labels;
    size_t bytes = strlen(label);

    if (bytes == 0) {
        return true;
    }
    for (const char *at = strstr(labels, label); at != NULL;
         at = strstr(at + 1, label)) {
        if ((at == labels || at[-1] == ',') &&
            (at[bytes] == '\0' || at[bytes] == ',')) {
            return true;
        }
    }
    return false;
}

static uint64_t
room(uint64_t size, uint64_t used, uint64_t held)
{
    return size > used + held ? size - used - held : 0;
}

static uint64_t
times(uint64_t size, uint64_t used, uint64_t each)
{
    if (each == 0) {
        return UINT32_MAX;
    }
    return size > used ? (size - used) / each : 0;
}

uint64_t
plan_count_fitting(const struct plan_target *target,
                   const struct fleet_size *used,
                   const struct fleet_size *each)
{
    uint64_t count =
        times(target->capacity.cpu_milli, used->cpu_milli, each->cpu_milli);

    count = MIN(count, times(target->capacity.memory_mb, used->memory_mb,
                             each->memory_mb));
    return MIN(count, times(target->capacity.accel, used->accel, each->accel));
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
plan_could_fit(const struct plan_target *target, const struct plan_step *step)
{
    const struct fleet_step *def = step->def;

    return target->pool == step->job->pool &&
           (def->fills || def->cpu_milli <= target->capacity.cpu_milli) &&
           def->memory_mb <= target->capacity.memory_mb &&
           def->accel <= target->capacity.accel &&
           has_label(target, def->label);
}

bool
plan_fits(const struct plan_target *target, const struct fleet_size *size,
          const struct plan_step *step, uint64_t now_ms)
{
    struct fleet_size held = {0, 0, 0};

    if (plan_is_reserved_from(target, step, now_ms)) {
        held = target->reserved;
    }
    return target->usable && !target->target->rec.leaving &&
           now_ms >= target->backoff_until_ms &&
           size->cpu_milli <= room(target->capacity.cpu_milli,
                                   target->used.cpu_milli, held.cpu_milli) &&
           size->memory_mb <= room(target->capacity.memory_mb,
                                   target->used.memory_mb, held.memory_mb) &&
           size->accel <=
               room(target->capacity.accel, target->used.accel, held.accel) &&
           (step->def->spread == 0 ||
            count_step_runs(target, step) < step->def->spread);
}

static bool
is_within(uint64_t limit, uint64_t used, uint64_t untold, uint64_t size)
{
    return limit == 0 || used + untold + size <= limit;
}

/* Targets that have not told what runs there may be full of this team's work,
 * as far as it had any: the first moments of a leader's term. */
static bool
within_limit(const struct plan *plan, const struct fleet_team *team,
             const struct fleet_size *size)
{
    const struct fleet_size *untold = &plan->unlisted_capacity;

    if (team == NULL) {
        return true;
    }
    return is_within(team->limit.cpu_milli, team->used.cpu_milli,
                     MIN(untold->cpu_milli, team->unfound.cpu_milli),
                     size->cpu_milli) &&
           is_within(team->limit.memory_mb, team->used.memory_mb,
                     MIN(untold->memory_mb, team->unfound.memory_mb),
                     size->memory_mb) &&
           is_within(team->limit.accel, team->used.accel,
                     MIN(untold->accel, team->unfound.accel), size->accel);
}

/* Smaller is better: data near, not slow, then the tightest fit, so that large
 * pieces of room stay whole. Filling work goes where processors are left over
 * and nobody is served. */
static uint64_t
score(const struct plan_target *target, const struct plan_step *step)
{
    const struct fleet_step *def = step->def;
    uint64_t left_cpu = target->capacity.cpu_milli - target->used.cpu_milli;
    uint64_t left_accel = target->capacity.accel - target->used.accel;
    uint64_t points = 0;

    if (def->rack[0] != '\0' &&
        strcmp(def->rack, target->target->rec.rack) != 0) {
        points += 1ull << 50;
    }
    if (target->slowdown_permille > SLOW_PERMILLE) {
        points += (uint64_t)target->slowdown_permille << 38;
    }
    if (def->fills) {
        points += (uint64_t)target->serving_runs << 40;
        return points + (1ull << 32) - MIN(left_cpu, 1ull << 32);
    }
    if (def->tail_ms > 0) {
        for (guint i = 0; i < target->runs->len; i++) {
            const struct plan_run *run = target->runs->pdata[i];

            points +=
                run->step != NULL && run->step->def->fills ? 1ull << 40 : 0;
        }
    }
    if (def->accel > 0) {
        points += left_accel << 32;
    }
    return points + left_cpu;
}

struct pick {
    struct plan_step *step;
    const struct fleet_size *size;
    const char *rack;                /* NULL: any */
    const struct plan_target *avoid; /* the last one where the task failed */
    uint64_t now_ms;
    struct plan_target *best;
    uint64_t best_points;
};

static void
consider(struct pick *pick, struct plan_target *target)
{
    uint64_t points;

    if (!plan_could_fit(target, pick->step) ||
        (pick->rack != NULL &&
         strcmp(pick->rack, target->target->rec.rack) != 0) ||
        !plan_fits(target, pick->size, pick->step, pick->now_ms)) {
        return;
    }
    points =
        score(target, pick->step) + (target == pick->avoid ? AVOID_POINTS : 0);
    if (points < pick->best_points) {
        pick->best = target;
        pick->best_points = points;
    }
}

/* The best target for one more task of the step, by ticket where one is
 * needed. */
static struct plan_target *
pick_target(const struct plan *plan, struct plan_step *step,
            const struct fleet_size *size, const char *rack,
            const struct plan_target *avoid, uint64_t now_ms)
{
    struct pick pick = {step, size, rack, avoid, now_ms, NULL, UINT64_MAX};

    if (!plan_leaves_headroom(plan, step, size)) {
        return NULL;
    }
    if (!plan_needs_ticket(step)) {
        for (guint i = 0; i < plan->targets->len; i++) {
            consider(&pick, plan->targets->pdata[i]);
        }
        return pick.best;
    }
    for (guint i = 0; step->tickets != NULL && i < step->tickets->len; i++) {
        const struct plan_ticket *ticket =
            &g_array_index(step->tickets, struct plan_ticket, i);

        if (ticket->target != NULL && ticket->state == TICKET_GRANTED &&
            now_ms + TICKET_SLACK_MS < ticket->valid_until_ms) {
            consider(&pick, ticket->target);
        }
    }
    return pick.best;
}

static bool
start_on(struct plan *plan, struct plan_step *step, uint32_t index,
         uint32_t run, struct plan_target *target, uint64_t now_ms)
{
    const char *ticket =
        plan_needs_ticket(step) ? plan_valid_ticket(step, target, now_ms) : "";

    return plan_start_run(plan, step, index, run, target, ticket, now_ms);
}

static bool
may_run(const struct plan_step *step, uint32_t number, uint64_t now_ms)
{
    const struct plan_task *task = &step->job->tasks[number];
    uint32_t most = step->job->job->queue->conf.max_attempts;

    return !task->done && task->runs == 0 && now_ms >= task->not_before_ms &&
           (step->def->lasting || most == 0 || task->failures < most);
}

/* Why no target was found, for the log. */
static const char *
why_none(const struct plan *plan, const struct plan_step *step,
         const struct fleet_size *size)
{
    if (!plan_leaves_headroom(plan, step, size)) {
        return "the room left is kept for tighter work";
    }
    return plan_needs_ticket(step) ? "no room on a target with a good ticket"
                                   : "no room";
}

static void
place_tasks(struct plan *plan, struct plan_step *step, uint64_t now_ms)
{
    const struct fleet_size size = plan_task_size(step->def);

    for (uint32_t i = 0; i < step->def->count && step->pending > 0; i++) {
        uint32_t number = step->first_task + i;
        struct plan_target *target;

        if (!may_run(step, number, now_ms)) {
            continue;
        }
        if (!within_limit(plan, step->job->job->team, &size)) {
            step->wait_reason = "its team is at its limit";
            return;
        }
        target = pick_target(plan, step, &size, NULL,
                             step->job->tasks[number].failed_on, now_ms);
        if (target == NULL) {
            step->wait_reason = why_none(plan, step, &size);
            plan_reserve_capacity(plan, step, &size, now_ms);
            return;
        }
        start_on(plan, step, i, step->job->tasks[number].next_run_number,
                 target, now_ms);
    }
    plan_release_reservation(plan, step);
}

/* Finds room for all tasks of a gang at once, on one rack if named. Room is
 * taken on trial while the search goes on and given back after it. */
static bool
fit_gang(struct plan *plan, struct plan_step *step, const char *rack,
         struct plan_target **chosen, uint64_t now_ms)
{
    const struct fleet_size size = plan_task_size(step->def);
    uint32_t found = 0;

    while (found < step->def->count) {
        struct plan_target *target =
            pick_target(plan, step, &size, rack, NULL, now_ms);
        uint32_t already = 0;

        for (uint32_t i = 0; target != NULL && i < found; i++) {
            already += chosen[i] == target;
        }
        if (target == NULL ||
            (step->def->spread != 0 && already >= step->def->spread)) {
            break;
        }
        target->used.cpu_milli += size.cpu_milli;
        target->used.memory_mb += size.memory_mb;
        target->used.accel += size.accel;
        chosen[found++] = target;
    }
    for (uint32_t i = 0; i < found; i++) {
        chosen[i]->used.cpu_milli -= size.cpu_milli;
        chosen[i]->used.memory_mb -= size.memory_mb;
        chosen[i]->used.accel -= size.accel;
    }
    return found == step->def->count;
}

static bool
fit_gang_near(struct plan *plan, struct plan_step *step,
              struct plan_target **chosen, uint64_t now_ms)
{
    for (guint i = 0; step->def->same_rack && i < plan->targets->len; i++) {
        const struct plan_target *target = plan->targets->pdata[i];

        if (fit_gang(plan, step, target->target->rec.rack, chosen, now_ms)) {
            return true;
        }
    }
    return fit_gang(plan, step, NULL, chosen, now_ms);
}

static void
place_gang(struct plan *plan, struct plan_step *step, uint64_t now_ms)
{
    const struct fleet_size size = plan_task_size(step->def);
    struct fleet_size whole = {size.cpu_milli * step->def->count,
                               size.memory_mb * step->def->count,
                               size.accel * step->def->count};
    struct plan_target **chosen;
    uint32_t run = 0;

    if (step->pending != step->def->count ||
        step->unfinished != step->def->count) {
        return;
    }
    for (uint32_t i = 0; i < step->def->count; i++) {
        if (!may_run(step, step->first_task + i, now_ms)) {
            return;
        }
        run = MAX(run, step->job->tasks[step->first_task + i].next_run_number);
    }
    if (!within_limit(plan, step->job->job->team, &whole)) {
        step->wait_reason = "its team is at its limit";
        return;
    }
    chosen = g_new0(struct plan_target *, step->def->count);
    if (fit_gang_near(plan, step, chosen, now_ms)) {
        for (uint32_t i = 0; i < step->def->count; i++) {
            start_on(plan, step, i, run, chosen[i], now_ms);
        }
        plan_release_reservation(plan, step);
    }
    else {
        step->wait_reason = why_none(plan, step, &size);
        plan_reserve_capacity(plan, step, &size, now_ms);
    }
    g_free(chosen);
}

void
plan_place_step(struct plan *plan, struct plan_step *step, uint64_t now_ms)
{
    if (step->def->gang) {
        place_gang(plan, step, now_ms);
    }
    else {
        place_tasks(plan, step, now_ms);
    }
}
