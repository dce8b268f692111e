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
#define ASK_AGAIN_MS 50u     /* after a question that failed */
#define ASK_ROUND_TRIP_MS 60u
#define TICKET_MARGIN_MS                                                      \
    250u /* off a ticket's time, for the way and clocks                       \
          */

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
plan_ticket_for(const struct plan_step *step, const struct plan_target *target,
                uint64_t now_ms)
{
    const struct plan_ticket *ticket = find_ticket(step, target);

    return ticket != NULL && now_ms < ticket->until_ms ? ticket->ticket : NULL;
}

bool
plan_was_granted(const struct plan_step *step,
                 const struct plan_target *target)
{
    return find_ticket(step, target) != NULL;
}

void
plan_drop_ticket(struct plan_step *step, const struct plan_target *target)
{
    struct plan_ticket *ticket = find_ticket(step, target);

    if (ticket != NULL) {
        ticket->until_ms = 0;
    }
}

static uint64_t
free_room(const struct plan_target *target, const struct fleet_size *size)
{
    if (size->accel > 0) {
        return target->size.accel -
               MIN(target->used.accel, target->size.accel);
    }
    return target->size.cpu_milli -
           MIN(target->used.cpu_milli, target->size.cpu_milli);
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

/* A first question: all that could run it, those with most room first. */
static GArray *
list_all(const struct plan *plan, const struct plan_step *step)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    const struct fleet_size size = plan_task_size(step->def);

    for (guint i = 0; i < plan->targets->len; i++) {
        struct plan_target *target = plan->targets->pdata[i];
        struct candidate candidate = {target, 0};

        if (target->usable && !target->target->rec.leaving &&
            plan_may_ever_fit(plan, target, step)) {
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

/* A later question: those that were granted, for fresh tickets. */
static GArray *
list_granted(const struct plan *plan, const struct plan_step *step)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(struct candidate));

    (void)plan;
    for (guint i = 0; i < step->tickets->len; i++) {
        const struct plan_ticket *ticket =
            &g_array_index(step->tickets, struct plan_ticket, i);
        struct candidate candidate = {ticket->target, 0};

        if (ticket->target != NULL && ticket->target->usable &&
            !ticket->target->target->rec.leaving) {
            g_array_append_val(list, candidate);
        }
    }
    return list;
}

static uint32_t
count_to_name(const struct plan_step *step, guint listed)
{
    const struct fleet_step *def = step->def;
    uint32_t want = def->count * ASK_SPARE_FACTOR;

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

/* Good for long enough that asking now would be too early. */
static bool
tickets_last(const struct plan_step *step, uint32_t ask_ms, uint64_t now_ms)
{
    uint64_t until_ms = 0;

    for (guint i = 0; i < step->tickets->len; i++) {
        const struct plan_ticket *ticket =
            &g_array_index(step->tickets, struct plan_ticket, i);

        if (ticket->target != NULL) {
            until_ms = MAX(until_ms, ticket->until_ms);
        }
    }
    return now_ms + ask_ms + ASK_ROUND_TRIP_MS < until_ms;
}

/* When the steps before it will be done, by estimate. */
static uint64_t
opens_at_ms(const struct plan *plan, const struct plan_step *step)
{
    const struct fleet_after *after = step->def->after.items;
    const struct plan_step *base = step - step->index;
    uint64_t at_ms = 0;

    for (guint t = 0; t < plan->targets->len; t++) {
        const struct plan_target *target = plan->targets->pdata[t];

        for (guint i = 0; i < target->runs->len; i++) {
            const struct plan_run *run = target->runs->pdata[i];

            for (uint32_t a = 0; a < step->def->after.count; a++) {
                if (run->step == &base[after[a].step]) {
                    at_ms = MAX(at_ms, run->expected_ms);
                }
            }
        }
    }
    return at_ms;
}

void
plan_ask(struct plan *plan, struct plan_step *step, uint64_t now_ms)
{
    const struct fleet_queue_conf *conf = &step->job->job->queue->conf;
    struct fleet_task_name name = {step->job->job->submit.id, step->occurrence,
                                   step->index, 0};
    struct fleet_target *targets[FLEET_ADVICE_MAX];
    GArray *list;
    uint32_t count;
    uint32_t ask_ms = question_ms(conf, ASK_TARGETS_LEAST);

    if (step->asking || now_ms < step->ask_after_ms ||
        (step->advised && tickets_last(step, ask_ms, now_ms))) {
        return;
    }
    if (step->coming) {
        uint64_t opens_ms = opens_at_ms(plan, step);

        if (opens_ms > now_ms + ask_ms + conf->ticket_ms / 2) {
            step->ask_after_ms = opens_ms - ask_ms -
                                 MIN(conf->ticket_ms / 2, opens_ms - ask_ms);
            return;
        }
    }
    list = step->advised ? list_granted(plan, step) : list_all(plan, step);
    if (step->advised && list->len == 0) {
        step->advised = false; /* all that were granted are gone */
    }
    count = step->advised ? MIN(list->len, FLEET_ADVICE_MAX)
                          : count_to_name(step, list->len);
    for (uint32_t i = 0; i < count; i++) {
        targets[i] = g_array_index(list, struct candidate, i).target->target;
    }
    ask_ms = question_ms(conf, count);
    if (count > 0 && plan->ops.advise(plan->ops.ctx, &name, targets, count,
                                      ask_ms, ask_ms < PLAN_SHORT_CALL_MS)) {
        step->asking = true;
        plan->counters.questions++;
    }
    g_array_free(list, TRUE);
}

static void
set_ticket(struct plan *plan, struct plan_step *step,
           const struct call_ticket *from, uint64_t until_ms)
{
    struct fleet_target *target = fleet_find_target(plan->fleet, from->id);
    struct plan_ticket *ticket;
    struct plan_ticket fresh = {.target = NULL};

    if (target == NULL || target->plan == NULL) {
        return;
    }
    ticket = find_ticket(step, target->plan);
    if (ticket == NULL) {
        fresh.target = target->plan;
        g_strlcpy(fresh.id, from->id, sizeof(fresh.id));
        g_array_append_val(step->tickets, fresh);
        ticket = &g_array_index(step->tickets, struct plan_ticket,
                                step->tickets->len - 1);
    }
    g_strlcpy(ticket->ticket, from->ticket, sizeof(ticket->ticket));
    ticket->until_ms = until_ms;
}

void
plan_advised(struct plan *plan, const struct fleet_task_name *name,
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
    if (at >= pjob->step_count) {
        return;
    }
    step = &pjob->steps[at];
    step->asking = false;
    plan->dirty = true;
    if (err != FP_OK) {
        step->ask_after_ms = now_ms + ASK_AGAIN_MS;
        return;
    }
    if (step->tickets == NULL) {
        step->tickets = g_array_new(FALSE, FALSE, sizeof(struct plan_ticket));
    }
    step->advised = true;
    for (uint32_t i = 0; i < count; i++) {
        uint32_t good_ms = job->queue->conf.ticket_ms;

        set_ticket(plan, step, &tickets[i],
                   now_ms + good_ms - MIN(good_ms, TICKET_MARGIN_MS));
    }
    if (step->tickets->len == 0) {
        step->advised = false; /* others are named next time */
        step->ask_after_ms = now_ms + ASK_AGAIN_MS;
    }
}
