/* planticket.c -- questions to the placement policy, and its tickets
 *
 * Load pattern: the policy answers one question of each asker at a time, a
 * short one in tens of milliseconds, a long one in most of a second, and a
 * ticket is good for a second or two. So a question names only targets that
 * may have room, the first ones in line ask first, and what was granted is
 * kept: only tickets are asked for again.
 */
#include <string.h>

#include "core/planpriv.h"

#define ASK_TARGETS_LEAST 8u /* named even for one task */
#define ASK_SPARE_FACTOR 5u  /* targets named for each one that is needed */
/* A gang's question names this many for each member, and at least as many as
 * the objective of its job allows the time for. */
#define ASK_GANG_FACTOR 12u
#define ASK_GANG_LEAST 30u
#define ASK_AGAIN_MS 50u     /* after a question that failed */
#define ASK_DOUBLINGS_MAX 6u /* of the patience with a slow policy */
#define ASK_ROUND_TRIP_MS 60u
#define SPARED_SHARE 4u /* one asker in so many is for short questions, */
#define SPARED_LEAST 2u /* these at least, but never more than half */
/* Off a ticket's time, for the way and for clocks. */
#define TICKET_MARGIN_MS 250u

uint32_t
plan_reserved_policy_clients(uint32_t askers)
{
    return MIN(MAX(askers / SPARED_SHARE, SPARED_LEAST), askers / 2);
}

bool
plan_needs_ticket(const struct plan_step *step)
{
    return step->job->job->queue->conf.advised;
}

static struct plan_ticket *
find_ticket(const struct plan_step *step, const struct plan_target *target)
{
    for (guint i = 0; step->tickets != NULL && i < step->tickets->len; i++) {
        struct plan_ticket *ticket =
            &g_array_index(step->tickets, struct plan_ticket, i);

        if (ticket->target == target) {
            return ticket;
        }
    }
    return NULL;
}

const char *
plan_valid_ticket(const struct plan_step *step,
                  const struct plan_target *target, uint64_t now_ms)
{
    const struct plan_ticket *ticket = find_ticket(step, target);

    return ticket != NULL && ticket->state == TICKET_GRANTED &&
                   now_ms < ticket->valid_until_ms
               ? ticket->ticket
               : NULL;
}

bool
plan_was_granted(const struct plan_step *step,
                 const struct plan_target *target)
{
    const struct plan_ticket *ticket = find_ticket(step, target);

    return ticket != NULL && ticket->state == TICKET_GRANTED;
}

void
plan_expire_ticket(struct plan_step *step, const struct plan_target *target)
{
    struct plan_ticket *ticket = find_ticket(step, target);

    if (ticket != NULL) {
        ticket->valid_until_ms = 0;
    }
}

static uint64_t
free_room(const struct plan_target *target, const struct fleet_size *size)
{
    if (size->accel > 0) {
        return target->capacity.accel -
               MIN(target->used.accel, target->capacity.accel);
    }
    return target->capacity.cpu_milli -
           MIN(target->used.cpu_milli, target->capacity.cpu_milli);
}

struct candidate {
    struct plan_target *target;
    uint64_t room;
};

static gint
most_room_first(gconstpointer a, gconstpointer b)
{
    const struct candidate *x = a;
    const struct candidate *y = b;

    return x->room == y->room ? 0 : x->room > y->room ? -1 : 1;
}

/* Targets that could run the step and were not named before, the emptiest
 * first. */
static GArray *
list_unknown(const struct plan *plan, const struct plan_step *step)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    const struct fleet_size size = plan_task_size(step->def);

    for (guint i = 0; i < plan->targets->len; i++) {
        struct plan_target *target = plan->targets->pdata[i];
        struct candidate candidate = {target, 0};

        if (target->usable && !target->target->rec.leaving &&
            find_ticket(step, target) == NULL &&
            plan_could_fit(target, step)) {
            candidate.room = free_room(target, &size);
            if (step->def->rack[0] != '\0' &&
                strcmp(step->def->rack, target->target->rec.rack) == 0) {
                candidate.room += 1ull << 40;
            }
            g_array_append_val(list, candidate);
        }
    }
    g_array_sort(list, most_room_first);
    return list;
}

/* Targets that were granted and whose tickets end before until_ms. */
static GArray *
list_expiring(const struct plan_step *step, uint64_t until_ms)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(struct candidate));

    for (guint i = 0; step->tickets != NULL && i < step->tickets->len; i++) {
        const struct plan_ticket *ticket =
            &g_array_index(step->tickets, struct plan_ticket, i);
        struct candidate candidate = {ticket->target, 0};

        if (ticket->target != NULL && ticket->state == TICKET_GRANTED &&
            ticket->valid_until_ms < until_ms && ticket->target->usable &&
            !ticket->target->target->rec.leaving) {
            g_array_append_val(list, candidate);
        }
    }
    return list;
}

/* How many more tasks of the step the granted targets have room for now. */
static uint64_t
room_granted(const struct plan_step *step, uint64_t now_ms)
{
    const struct fleet_size size = plan_task_size(step->def);
    uint64_t sum = 0;

    for (guint i = 0; step->tickets != NULL && i < step->tickets->len; i++) {
        const struct plan_ticket *ticket =
            &g_array_index(step->tickets, struct plan_ticket, i);
        const struct plan_target *target = ticket->target;
        uint64_t times;

        if (target == NULL || ticket->state != TICKET_GRANTED ||
            !plan_fits(target, &size, step, now_ms)) {
            continue;
        }
        times = plan_count_fitting(target, &target->used, &size);
        if (step->def->spread > 0) {
            times = MIN(times, step->def->spread);
        }
        sum += times;
    }
    return sum;
}

/* A gang needs room for all, other tasks for one at a time. */
static bool
has_room_granted(const struct plan_step *step, uint64_t now_ms)
{
    return room_granted(step, now_ms) >=
           (step->def->gang ? step->def->count : 1);
}

/* Load pattern: gangs whose members take whole targets, on a service that is
 * nearly full, where the policy allows a third of the targets. The more of
 * them are known to be allowed, the sooner enough of them are free together.
 */
static uint32_t
count_for_gang(const struct fleet_step *def)
{
    return MAX(def->count * ASK_GANG_FACTOR, ASK_GANG_LEAST);
}

static uint32_t
count_to_name(const struct plan *plan, const struct plan_step *step,
              guint listed)
{
    const struct fleet_step *def = step->def;
    uint32_t want = def->count * ASK_SPARE_FACTOR;

    if (def->gang && plan->params.policy->wide_gang_queries) {
        want = count_for_gang(def);
    }

    if (def->accel == 0 && def->spread == 0) {
        want = want / 3; /* several fit on one target */
    }
    want = MAX(want, ASK_TARGETS_LEAST);
    return MIN(MIN(want, listed), FLEET_ADVICE_MAX);
}

static uint32_t
question_ms(const struct fleet_queue_conf *conf, uint32_t targets)
{
    return (conf->advice_us + conf->advice_each_us * targets) / 1000;
}

/* When the steps before it will be done, by estimate. */
static uint64_t
opens_at_ms(const struct plan_step *step)
{
    const struct fleet_after *after = step->def->after.items;
    const struct plan_step *base = step - step->index;
    uint64_t at_ms = 0;

    for (uint32_t i = 0; i < step->def->after.count; i++) {
        at_ms = MAX(at_ms, base[after[i].step].expected_end_ms);
    }
    return at_ms;
}

/* Whom to name: those that were granted, for fresh tickets, and while the
 * granted ones are full also some that were not named before. */
static GArray *
choose_targets(const struct plan *plan, const struct plan_step *step,
               uint32_t ask_ms, uint64_t now_ms)
{
    GArray *list = list_expiring(step, now_ms + ask_ms + ASK_ROUND_TRIP_MS);

    if (!has_room_granted(step, now_ms)) {
        GArray *more = list_unknown(plan, step);

        g_array_append_vals(list, more->data,
                            count_to_name(plan, step, more->len));
        g_array_free(more, TRUE);
    }
    if (list->len > FLEET_ADVICE_MAX) {
        g_array_set_size(list, FLEET_ADVICE_MAX);
    }
    return list;
}

static void
note_asked(struct plan_step *step, const GArray *list)
{
    struct plan_ticket fresh = {.state = TICKET_PENDING};

    if (step->tickets == NULL) {
        step->tickets = g_array_new(FALSE, FALSE, sizeof(struct plan_ticket));
    }
    for (guint i = 0; i < list->len; i++) {
        fresh.target = g_array_index(list, struct candidate, i).target;
        if (find_ticket(step, fresh.target) == NULL) {
            g_array_append_val(step->tickets, fresh);
        }
    }
    step->query_in_flight = true;
}

/* The step is not open yet: asks so that the tickets are fresh when it opens.
 */
static bool
is_too_early(struct plan_step *step, uint32_t ask_ms, uint64_t now_ms)
{
    uint64_t lead_ms = ask_ms + step->job->job->queue->conf.ticket_ms / 2;
    uint64_t opens_ms;

    if (!step->is_upcoming || step->is_open) {
        return false;
    }
    opens_ms = opens_at_ms(step);
    if (opens_ms <= now_ms + lead_ms) {
        return false;
    }
    step->next_query_ms = opens_ms - lead_ms;
    return true;
}

/* What the policy did not grant it refused; without an answer nothing is
 * known of those that were named for the first time. */
static void
settle_asked(struct plan_step *step, bool answered)
{
    for (guint i = step->tickets->len; i > 0; i--) {
        struct plan_ticket *ticket =
            &g_array_index(step->tickets, struct plan_ticket, i - 1);

        if (ticket->state == TICKET_PENDING && answered) {
            ticket->state = TICKET_REFUSED;
        }
        else if (ticket->state == TICKET_PENDING) {
            g_array_remove_index_fast(step->tickets, i - 1);
        }
    }
}

void
plan_query_policy(struct plan *plan, struct plan_step *step, uint64_t now_ms)
{
    const struct fleet_queue_conf *conf = &step->job->job->queue->conf;
    struct fleet_task_name name = {step->job->job->submit.id, step->occurrence,
                                   step->index, 0};
    struct fleet_target *targets[FLEET_ADVICE_MAX];
    uint32_t ask_ms = question_ms(conf, ASK_TARGETS_LEAST);
    GArray *list;

    if (step->query_in_flight || now_ms < step->next_query_ms ||
        plan->queries_blocked ||
        (plan->long_queries_blocked && ask_ms >= PLAN_SHORT_QUERY_MS) ||
        is_too_early(step, ask_ms, now_ms)) {
        return;
    }
    list = choose_targets(plan, step, ask_ms, now_ms);
    for (guint i = 0; i < list->len; i++) {
        targets[i] = g_array_index(list, struct candidate, i).target->target;
    }
    ask_ms = question_ms(conf, list->len);
    if (list->len == 0) {
        step->next_query_ms = now_ms + ASK_AGAIN_MS;
    }
    else {
        /* Noted first: the answer may come before the call returns. */
        note_asked(step, list);
        plan->counters.policy_queries++;
        if (!plan->ops.query_policy(
                plan->ops.ctx, &name, targets, list->len,
                ask_ms << MIN(step->query_failures, ASK_DOUBLINGS_MAX),
                ask_ms < PLAN_SHORT_QUERY_MS)) {
            plan->counters.policy_queries--;
            plan->long_queries_blocked = true;
            plan->queries_blocked = ask_ms < PLAN_SHORT_QUERY_MS;
            step->query_in_flight = false;
            settle_asked(step, false);
        }
    }
    g_array_free(list, TRUE);
}

void
plan_policy_answered(struct plan *plan, const struct fleet_task_name *name,
                     enum fp_err err, const struct call_ticket *tickets,
                     uint32_t count, uint64_t now_ms)
{
    struct fleet_job *job = fleet_find_job(plan->fleet, name->job_id);
    struct plan_job *pjob = job != NULL ? job->plan : NULL;
    uint32_t at;
    struct plan_step *step;

    if (pjob == NULL) {
        return;
    }
    at = name->occurrence * job->step_count + name->step;
    if (at >= pjob->step_count || pjob->steps[at].tickets == NULL) {
        return;
    }
    step = &pjob->steps[at];
    step->query_in_flight = false;
    plan->dirty = true;
    for (uint32_t i = 0; err == FP_OK && i < count; i++) {
        struct fleet_target *target =
            fleet_find_target(plan->fleet, tickets[i].id);
        struct plan_ticket *ticket =
            target != NULL ? find_ticket(step, target->plan) : NULL;
        uint32_t good_ms = job->queue->conf.ticket_ms;

        if (ticket != NULL) {
            ticket->state = TICKET_GRANTED;
            ticket->valid_until_ms =
                now_ms + good_ms - MIN(good_ms, TICKET_MARGIN_MS);
            g_strlcpy(ticket->ticket, tickets[i].ticket,
                      sizeof(ticket->ticket));
        }
    }
    settle_asked(step, err == FP_OK);
    step->query_failures = err == FP_OK ? 0 : step->query_failures + 1;
    if (err != FP_OK) {
        step->next_query_ms = now_ms + ASK_AGAIN_MS;
    }
}
