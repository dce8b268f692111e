/* planticket.c -- queries to the placement policy, and its tickets
 *
 * Workload: the policy answers one query of each client at a time, a short one
 * in tens of milliseconds, a long one in most of a second, and a ticket is
 * valid for a second or two. So a query names only targets that may have free
 * capacity, and grants are kept: for granted targets only a new ticket is
 * requested.
 *
 * Workload: more steps wait than the policy can be asked about, among them
 * gangs that cannot be placed for long, or never. Turns at the policy go first
 * to steps that can be placed once they have an answer, then in scheduling
 * order to the others, then to steps that will open soon. Tickets of steps
 * that cannot be placed now are renewed, so that they start without a query
 * once there is room, but ever more slowly while turns are short, and not at
 * all if their targets could not hold them.
 */
#include <string.h>

#include "core/planpack.h"
#include "core/planpriv.h"

/* How many targets a query lists, for the policy to choose from. */
#define QUERY_TARGETS_MIN 8u         /* at least, even for a single task */
#define QUERY_TARGETS_PER_TASK 5u    /* for each task of a step */
#define QUERY_TARGETS_PER_MEMBER 12u /* for each member of a gang */
/* At least, for a gang: as many as the policy answers in the time that the
 * job's objective leaves. */
#define QUERY_GANG_TARGETS_MIN 30u
/* Delay after a failed query, or when there is no target to query. */
#define QUERY_RETRY_MS 50u
/* Of the steps that could use a turn at the policy, and had none for this
 * long, the one that had none for longest goes first, once in this interval;
 * all others go in scheduling order. */
#define QUERY_STARVED_MS 4000u
#define QUERY_STARVED_BESIDE_ROOM_MS 2000u /* on a little used service */
#define STARVED_INTERVAL_MS 500u
/* Turns at the policy are short for this long after a step that could use one
 * got none. */
#define TURNS_SHORT_MS 4000u
/* While they are, time between two queries for a step that cannot be placed:
 * half of the validity of its tickets, for so many in a row, then doubled with
 * each, up to AHEAD_PAUSE_MAX_MS. */
#define AHEAD_AT_FULL_PACE 4u
#define AHEAD_PAUSE_MAX_MS 6000u
#define AHEAD_DOUBLINGS_MAX 8u
/* A step that should start once it has an answer, and did not after so many in
 * a row, goes in scheduling order. */
#define RENEWALS_FIRST_MAX 3u
#define QUERY_ROUND_TRIP_MS 60u /* network time to and from the policy */
/* One in this many policy clients is kept for short queries, but at least
 * SHORT_QUERY_CLIENTS_MIN of them and never more than half. */
#define SHORT_QUERY_CLIENTS_DIVISOR 4u
#define SHORT_QUERY_CLIENTS_MIN 2u
/* Workload: an answer whose rows can't all be read. A target without a
 * readable row is named again after this, which doubles with each such answer
 * in a row, up to so many times, as they may never be readable. */
#define UNREAD_RETRY_MS 100u
#define UNREAD_RETRY_DOUBLINGS_MAX 6u
/* Workload: a step to which the policy has granted nothing. Its refusals stand
 * for good by the policy's promise; without this a single wrong answer would
 * keep the step from running for ever. */
#define REFUSALS_KEPT_MS 10000u
/* Subtracted from a ticket's validity, for what its age does not hold: network
 * delay between the policy and the host that asked it, and to the target. */
#define TICKET_MARGIN_MS 250u
/* A target counts as free soon if it is by this long after the answer. */
#define FREE_SOON_MS 500u
/* Targets that take this part of a typical one's run time are named last among
 * equals. */
#define SLOW_TO_NAME_PERMILLE 1300u

const char *const QUERY_PURPOSE_NAMES[QUERY_PURPOSE_COUNT] = {
    "renewal", "first", "more", "ahead"};

uint32_t
plan_reserved_policy_clients(uint32_t clients)
{
    return MIN(
        MAX(clients / SHORT_QUERY_CLIENTS_DIVISOR, SHORT_QUERY_CLIENTS_MIN),
        clients / 2);
}

bool
plan_needs_ticket(const struct plan_step *step)
{
    return step->job->job->queue->conf.advised;
}

static struct plan_ticket *
find_ticket(const struct plan_step *step, const struct plan_target *target)
{
    guint number =
        step->tickets != NULL
            ? GPOINTER_TO_UINT(g_hash_table_lookup(step->ticket_index, target))
            : 0;

    return number != 0
               ? &g_array_index(step->tickets, struct plan_ticket, number - 1)
               : NULL;
}

static void
add_ticket(struct plan_step *step, struct plan_target *target)
{
    const struct plan_ticket ticket = {.target = target,
                                       .state = TICKET_PENDING};

    if (step->tickets == NULL) {
        step->tickets = g_array_new(FALSE, FALSE, sizeof(struct plan_ticket));
        step->ticket_index = g_hash_table_new(g_direct_hash, g_direct_equal);
    }
    target->references++;
    g_array_append_val(step->tickets, ticket);
    g_hash_table_insert(step->ticket_index, target,
                        GUINT_TO_POINTER(step->tickets->len));
}

static void
remove_ticket(struct plan_step *step, guint index)
{
    struct plan_ticket *ticket =
        &g_array_index(step->tickets, struct plan_ticket, index);
    struct plan_target *target = ticket->target;

    g_free(ticket->ticket);
    g_hash_table_remove(step->ticket_index, target);
    g_array_remove_index_fast(step->tickets, index);
    if (index < step->tickets->len) {
        g_hash_table_insert(
            step->ticket_index,
            g_array_index(step->tickets, struct plan_ticket, index).target,
            GUINT_TO_POINTER(index + 1));
    }
    plan_unref_target(target);
}

void
plan_free_tickets(struct plan_step *step)
{
    if (step->tickets == NULL) {
        return;
    }
    for (guint i = 0; i < step->tickets->len; i++) {
        struct plan_ticket *ticket =
            &g_array_index(step->tickets, struct plan_ticket, i);

        g_free(ticket->ticket);
        plan_unref_target(ticket->target);
    }
    g_array_free(step->tickets, TRUE);
    g_hash_table_destroy(step->ticket_index);
    step->tickets = NULL;
    step->ticket_index = NULL;
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

void
plan_use_ticket(struct plan_step *step, const struct plan_target *target)
{
    struct plan_ticket *ticket = find_ticket(step, target);

    if (ticket != NULL) {
        ticket->used = true;
    }
    step->ahead_queries = 0;
    step->renewals = 0;
    step->ahead_ms = 0;
}

void
plan_expire_ticket(struct plan_step *step, const struct plan_target *target)
{
    struct plan_ticket *ticket = find_ticket(step, target);

    if (ticket != NULL && ticket->state == TICKET_GRANTED) {
        ticket->valid_until_ms = 0;
    }
}

/* Free accelerators if the task needs any, else free CPU in thousandths of a
 * core. */
static uint64_t
free_resource(const struct plan_target *target,
              const struct fleet_resources *size)
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
    uint64_t rank; /* the highest is named first */
};

/* What will be in use on a target by then, by the expected ends of its runs.
 */
static struct fleet_resources
used_at(const struct plan_target *target, uint64_t at_ms)
{
    struct fleet_resources used = target->used;

    for (guint i = 0; i < target->runs->len; i++) {
        const struct plan_run *run = target->runs->pdata[i];

        if (run->expected_end_ms <= at_ms &&
            (run->step == NULL || !run->step->def->lasting)) {
            plan_subtract_size(&used, &run->size);
        }
    }
    return used;
}

/* Workload: tasks that need most of one resource of a target, which the
 * targets with much of another one free do not have. Targets with room for the
 * task rank first, then those that should have it when the answer is there,
 * then the others; among equals first those that are not slow, and then those
 * with the most free: by the time of the answer other steps have filled the
 * fullest. answer_ms: when the answer is expected; 0: at once. */
static uint64_t
rank_by_room(const struct plan *plan, const struct plan_target *target,
             const struct plan_step *step, uint64_t answer_ms)
{
    const struct fleet_resources size = plan_task_size(step->def);
    struct fleet_resources used = target->used;
    uint64_t rank = 0;

    if (plan_count_fitting(target, &used, &size) > 0) {
        rank = 2ull << 32;
    }
    else if (answer_ms != 0) {
        used = used_at(target, answer_ms + FREE_SOON_MS);
        rank = plan_count_fitting(target, &used, &size) > 0 ? 1ull << 32 : 0;
    }
    if (plan->params.policy->learns_speeds && !step->def->lasting &&
        plan_slowness_permille(plan, target) < SLOW_TO_NAME_PERMILLE) {
        rank += 1ull << 31;
    }
    return rank + plan_packing_cost(&target->capacity, &used, &size);
}

/* Workload: gangs whose members take whole targets, on a service that is
 * nearly full, where the policy allows a third of the targets. The more
 * targets are granted, the sooner enough of them are free at the same time. */
static uint32_t
gang_query_targets(const struct fleet_step *def)
{
    return MAX(def->count * QUERY_TARGETS_PER_MEMBER, QUERY_GANG_TARGETS_MIN);
}

/* How many targets a query for the step names beside those that are granted.
 */
uint32_t
plan_query_targets(const struct plan *plan, const struct fleet_step *def)
{
    uint32_t count = def->count * QUERY_TARGETS_PER_TASK;

    if (def->gang && plan->params.policy->wide_gang_queries) {
        count = gang_query_targets(def);
    }

    if (def->accel == 0 && def->spread == 0) {
        count = count / 3; /* several tasks fit on one target */
    }
    count = MAX(count, QUERY_TARGETS_MIN);
    return MIN(count, FLEET_QUERY_TARGETS_MAX);
}

/* Whether a target that could run the step is granted to it. */
static bool
has_grant(const struct plan_step *step)
{
    for (guint i = 0; step->tickets != NULL && i < step->tickets->len; i++) {
        const struct plan_ticket *ticket =
            &g_array_index(step->tickets, struct plan_ticket, i);

        if (ticket->state == TICKET_GRANTED && !ticket->target->removed &&
            plan_could_fit(ticket->target, step)) {
            return true;
        }
    }
    return false;
}

/* Gives each target that the step has named in a query the mark plan->mark, so
 * that a scan of all targets needs no look-up for each. Refused targets that
 * may be named again get none. */
static void
mark_named_targets(struct plan *plan, const struct plan_step *step,
                   uint64_t now_ms)
{
    bool granted = has_grant(step);

    plan->mark++;
    for (guint i = 0; step->tickets != NULL && i < step->tickets->len; i++) {
        const struct plan_ticket *ticket =
            &g_array_index(step->tickets, struct plan_ticket, i);

        if (ticket->state != TICKET_REFUSED ||
            (granted && !ticket->doubtful) ||
            now_ms < ticket->refused_until_ms) {
            ticket->target->mark = plan->mark;
        }
    }
}

/* Inserts a candidate into a list that is sorted by rank, largest first, and
 * holds at most max items. */
static void
insert_candidate(GArray *list, uint32_t max, const struct candidate *candidate)
{
    guint low = 0;
    guint high = list->len;

    while (low < high) {
        guint middle = (low + high) / 2;

        if (g_array_index(list, struct candidate, middle).rank >=
            candidate->rank) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    if (low >= max) {
        return;
    }
    if (list->len == max) {
        g_array_set_size(list, max - 1);
    }
    g_array_insert_vals(list, low, candidate, 1);
}

/* Lists the best of the usable targets that could run the step and were not
 * named in a query yet: those on the rack of its data first, then by free
 * capacity, largest first. answer_ms: see rank_by_room(). */
static GArray *
list_unqueried(struct plan *plan, const struct plan_step *step,
               uint64_t answer_ms, uint64_t now_ms)
{
    const GPtrArray *targets = step->job->pool->targets;
    GArray *list = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    const struct fleet_resources size = plan_task_size(step->def);
    uint32_t max = plan_query_targets(plan, step->def);

    mark_named_targets(plan, step, now_ms);
    for (guint i = 0; i < targets->len; i++) {
        struct plan_target *target = targets->pdata[i];
        struct candidate candidate = {target, 0};

        if (target->mark != plan->mark && plan_takes_starts(target) &&
            plan_could_fit(target, step)) {
            candidate.rank = plan->params.policy->packs_all
                                 ? rank_by_room(plan, target, step, answer_ms)
                                 : free_resource(target, &size);
            if (step->def->rack[0] != '\0' &&
                strcmp(step->def->rack, target->target->rec.rack) == 0) {
                candidate.rank += 1ull << 40;
            }
            insert_candidate(list, max, &candidate);
        }
    }
    return list;
}

/* Lists granted targets whose tickets expire before until_ms. */
static GArray *
list_expiring_grants(const struct plan_step *step, uint64_t until_ms)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(struct candidate));

    for (guint i = 0; step->tickets != NULL && i < step->tickets->len; i++) {
        const struct plan_ticket *ticket =
            &g_array_index(step->tickets, struct plan_ticket, i);
        struct candidate candidate = {ticket->target, 0};

        if (!ticket->target->removed && ticket->state == TICKET_GRANTED &&
            ticket->valid_until_ms < until_ms &&
            plan_takes_starts(ticket->target) &&
            plan_could_fit(ticket->target, step)) {
            g_array_append_val(list, candidate);
        }
    }
    return list;
}

/* Number of tasks of the step that fit now on the granted targets, beside what
 * is reserved there for others. */
static uint64_t
granted_capacity(const struct plan_step *step, uint64_t now_ms)
{
    const struct fleet_resources size = plan_task_size(step->def);
    uint64_t tasks = 0;

    for (guint i = 0; step->tickets != NULL && i < step->tickets->len; i++) {
        const struct plan_ticket *ticket =
            &g_array_index(step->tickets, struct plan_ticket, i);
        const struct plan_target *target = ticket->target;
        struct fleet_resources used = target->used;
        uint64_t fitting;

        if (target->removed || ticket->state != TICKET_GRANTED ||
            !plan_could_fit(target, step) ||
            !plan_fits(target, &size, step, now_ms)) {
            continue;
        }
        if (plan_is_reserved_for_other(target, step, now_ms)) {
            plan_add_size(&used, &target->reserved);
        }
        fitting = plan_count_fitting(target, &used, &size);
        if (step->def->spread > 0) {
            fitting = MIN(fitting, step->def->spread);
        }
        tasks += fitting;
    }
    return tasks;
}

/* Number of tasks of the step for which granted targets have room, or would
 * have it if they were empty. */
static uint64_t
granted_room(const struct plan_step *step, bool if_empty)
{
    const struct fleet_resources size = plan_task_size(step->def);
    const struct fleet_resources empty = {0, 0, 0};
    uint64_t tasks = 0;

    for (guint i = 0; step->tickets != NULL && i < step->tickets->len; i++) {
        const struct plan_ticket *ticket =
            &g_array_index(step->tickets, struct plan_ticket, i);
        const struct plan_target *target = ticket->target;
        uint64_t fitting;

        if (target->removed || ticket->state != TICKET_GRANTED ||
            !plan_takes_starts(target) || !plan_could_fit(target, step)) {
            continue;
        }
        fitting = plan_count_fitting(target, if_empty ? &empty : &target->used,
                                     &size);
        if (step->def->spread > 0) {
            fitting = MIN(fitting, step->def->spread);
        }
        tasks += fitting;
    }
    return tasks;
}

/* The state of the step's queries, for the log. */
static const char *
query_state(const struct plan_step *step, uint64_t now_ms)
{
    if (step->query_in_flight) {
        return "under way";
    }
    if (now_ms < step->next_query_ms) {
        return "paused";
    }
    return step->query_blocked ? "no host is free" : "none due";
}

/* Why no granted target was found for the step. */
static const char *
ticket_reason(const struct plan_step *step, const struct plan_wait *wait)
{
    uint32_t needed = step->def->gang ? step->def->count : 1;

    if (wait->granted == 0) {
        return wait->asking > 0 ? "the placement policy has not answered"
                                : "no target is granted";
    }
    if (wait->holding < needed) {
        return "its granted targets are too small";
    }
    if (wait->fitting + wait->kept < needed) {
        return "its granted targets are full";
    }
    if (wait->fitting < needed) {
        return "its granted targets are kept for others, or pause";
    }
    return wait->expired > 0 ? "its tickets have expired" : wait->reason;
}

void
plan_count_tickets(const struct plan_step *step, struct plan_wait *wait,
                   uint64_t now_ms)
{
    for (guint i = 0; step->tickets != NULL && i < step->tickets->len; i++) {
        const struct plan_ticket *ticket =
            &g_array_index(step->tickets, struct plan_ticket, i);

        wait->named++;
        wait->granted += ticket->state == TICKET_GRANTED;
        wait->refused += ticket->state == TICKET_REFUSED;
        wait->asking += ticket->state == TICKET_PENDING;
        wait->expired += ticket->state == TICKET_GRANTED &&
                         now_ms >= ticket->valid_until_ms;
    }
    wait->fitting = (uint32_t)MIN(granted_capacity(step, now_ms), UINT32_MAX);
    wait->kept =
        (uint32_t)MIN(granted_room(step, false) -
                          MIN(granted_room(step, false), wait->fitting),
                      UINT32_MAX);
    wait->holding = (uint32_t)MIN(granted_room(step, true), UINT32_MAX);
    wait->running = step->unfinished - step->pending;
    if (!plan_needs_ticket(step)) {
        return;
    }
    wait->query = query_state(step, now_ms);
    wait->query_ms =
        step->query_sent_ms == 0 ? 0 : now_ms - step->query_sent_ms;
    wait->next_query_ms =
        step->next_query_ms - MIN(step->next_query_ms, now_ms);
    if (g_strcmp0(wait->reason, PLAN_NO_TICKET_REASON) == 0) {
        wait->reason = ticket_reason(step, wait);
    }
}

/* Whether the granted targets have free capacity for the whole gang, or for
 * one task if the step is not a gang. */
static bool
is_granted_capacity_enough(const struct plan_step *step, uint64_t now_ms)
{
    return granted_capacity(step, now_ms) >=
           (step->def->gang ? step->def->count : 1);
}

/* Expected duration of a query for this many targets. */
static uint32_t
expected_query_ms(const struct fleet_queue_conf *conf, uint32_t targets)
{
    return (uint32_t)((conf->advice_us +
                       (uint64_t)conf->advice_each_us * targets) /
                      1000);
}

/* When the step will open: the expected end of all steps it depends on. */
static uint64_t
expected_open_ms(const struct plan_step *step)
{
    const struct fleet_dependency *after = step->def->after.items;
    const struct plan_step *base = step - step->index;
    uint64_t latest_end_ms = 0;

    for (uint32_t i = 0; i < step->def->after.count; i++) {
        latest_end_ms =
            MAX(latest_end_ms, base[after[i].step].expected_end_ms);
    }
    return latest_end_ms;
}

/* Lists the targets to name in a query: granted ones whose tickets are about
 * to expire and, if the query is for more, some that were not named yet; none
 * if there is none of these. */
static GArray *
choose_query_targets(struct plan *plan, const struct plan_step *step,
                     enum query_purpose purpose, uint32_t query_ms,
                     uint64_t now_ms)
{
    uint64_t answer_ms = now_ms + query_ms + QUERY_ROUND_TRIP_MS;
    GArray *list = list_expiring_grants(step, answer_ms);

    if (purpose == QUERY_FIRST || purpose == QUERY_MORE) {
        GArray *unqueried = list_unqueried(
            plan, step, query_ms < PLAN_SHORT_QUERY_MS ? 0 : answer_ms,
            now_ms);

        if (unqueried->len == 0) {
            g_array_set_size(list, 0);
        }
        g_array_append_vals(list, unqueried->data, unqueried->len);
        g_array_free(unqueried, TRUE);
    }
    if (list->len > FLEET_QUERY_TARGETS_MAX) {
        g_array_set_size(list, FLEET_QUERY_TARGETS_MAX);
    }
    return list;
}

/* Records the targets as named in a query that is in progress. */
static void
mark_queried(struct plan_step *step, const GArray *list)
{
    for (guint i = 0; i < list->len; i++) {
        struct plan_target *target =
            g_array_index(list, struct candidate, i).target;

        struct plan_ticket *ticket = find_ticket(step, target);

        if (ticket == NULL) {
            add_ticket(step, target);
        }
        else if (ticket->state == TICKET_REFUSED) {
            ticket->state = TICKET_PENDING;
        }
    }
    step->query_in_flight = true;
}

/* Whether a query for a step that is not open yet is too early: its tickets
 * would lose more than half of their validity before the step opens. If so,
 * postpones the query. */
static bool
is_too_early(struct plan_step *step, uint32_t query_ms, uint64_t now_ms)
{
    uint64_t lead_ms = query_ms + step->job->job->queue->conf.ticket_ms / 2;
    uint64_t opens_ms;

    if (!step->is_upcoming || step->is_open) {
        return false;
    }
    opens_ms = expected_open_ms(step);
    if (opens_ms <= now_ms + lead_ms) {
        return false;
    }
    step->next_query_ms = opens_ms - lead_ms;
    return true;
}

/* Ends a query. Targets that an answer did not grant are refused; without an
 * answer they are forgotten, so that they can be named again. */
static void
resolve_queried(struct plan_step *step, bool answered, bool doubtful,
                uint64_t refused_until_ms)
{
    for (guint i = step->tickets->len; i > 0; i--) {
        struct plan_ticket *ticket =
            &g_array_index(step->tickets, struct plan_ticket, i - 1);

        if (ticket->state == TICKET_PENDING && answered) {
            ticket->state = TICKET_REFUSED;
            ticket->doubtful = doubtful;
            ticket->refused_until_ms = refused_until_ms;
        }
        else if (ticket->state == TICKET_PENDING) {
            remove_ticket(step, i - 1);
        }
    }
}

/* Whether the step, or all of it if it is a gang, could start if it had valid
 * tickets for the targets that are granted. */
static bool
is_placeable(const struct plan *plan, const struct plan_step *step,
             uint64_t now_ms)
{
    const struct fleet_resources size = plan_task_size(step->def);
    const uint32_t count = step->def->gang ? step->def->count : 1;

    return (!step->def->gang || step->pending == count) &&
           is_granted_capacity_enough(step, now_ms) &&
           plan_team_allows(plan, step, count) &&
           plan_leaves_headroom(plan, step, &size);
}

/* Whether the granted targets could hold the step, or all of it if it is a
 * gang, if they were empty. */
static bool
could_hold(const struct plan_step *step)
{
    return granted_room(step, true) >=
           (step->def->gang ? step->def->count : 1);
}

static enum query_purpose
purpose_of_query(const struct plan *plan, const struct plan_step *step,
                 uint64_t now_ms)
{
    if (step->tickets == NULL || step->tickets->len == 0) {
        return QUERY_FIRST;
    }
    if (!step->is_open) {
        return QUERY_AHEAD;
    }
    if (is_placeable(plan, step, now_ms)) {
        return QUERY_RENEWAL;
    }
    return is_granted_capacity_enough(step, now_ms) ||
                   now_ms < step->all_named_until_ms
               ? QUERY_AHEAD
               : QUERY_MORE;
}

static void
pause_ahead(struct plan_step *step, uint64_t now_ms)
{
    const uint32_t doublings =
        step->ahead_queries - MIN(step->ahead_queries, AHEAD_AT_FULL_PACE);
    const uint64_t pause_ms =
        (uint64_t)step->job->job->queue->conf.ticket_ms / 2
        << MIN(doublings, AHEAD_DOUBLINGS_MAX);

    step->ahead_queries++;
    step->ahead_ms = now_ms + MIN(pause_ms, AHEAD_PAUSE_MAX_MS);
}

static void
note_refused_turn(struct plan *plan, struct plan_step *step,
                  enum query_purpose purpose, uint64_t now_ms)
{
    if (purpose != QUERY_AHEAD) {
        plan->turn_refused_ms = now_ms;
        if (step->unserved_since_ms == 0) {
            step->unserved_since_ms = now_ms;
        }
    }
}

/* Sends a query for the step, unless there is no target to name or no policy
 * client is free. Returns whether there was a target to name. */
static bool
send_query(struct plan *plan, struct plan_step *step,
           enum query_purpose purpose, uint64_t now_ms)
{
    const struct fleet_queue_conf *conf = &step->job->job->queue->conf;
    struct fleet_task_id id = {step->job->job->submit.id, step->occurrence,
                               step->index, 0};
    struct fleet_target *targets[FLEET_QUERY_TARGETS_MAX];
    uint32_t query_ms = expected_query_ms(conf, QUERY_TARGETS_MIN);
    const uint64_t sent_ms = step->query_sent_ms;
    GArray *list;
    guint count;

    step->query_blocked =
        plan->queries_blocked ||
        (plan->long_queries_blocked && query_ms >= PLAN_SHORT_QUERY_MS);
    if (is_too_early(step, query_ms, now_ms)) {
        return true;
    }
    if (step->query_blocked) {
        note_refused_turn(plan, step, purpose, now_ms);
        return true;
    }
    list = choose_query_targets(plan, step, purpose, query_ms, now_ms);
    count = list->len;
    for (guint i = 0; i < count; i++) {
        targets[i] = g_array_index(list, struct candidate, i).target->target;
    }
    query_ms = expected_query_ms(conf, count);
    if (count > 0) {
        /* Before the call: the answer may come before query_policy() returns.
         */
        step->query_sent_ms = now_ms;
        mark_queried(step, list);
        plan->counters.policy_queries++;
        plan->counters.policy_queries_for[purpose]++;
        if (!plan->ops.query_policy(plan->ops.ctx, &id, targets, count,
                                    query_ms,
                                    query_ms < PLAN_SHORT_QUERY_MS)) {
            plan->counters.policy_queries--;
            plan->counters.policy_queries_for[purpose]--;
            step->query_sent_ms = sent_ms;
            step->query_blocked = true;
            plan->long_queries_blocked = true;
            plan->queries_blocked = query_ms < PLAN_SHORT_QUERY_MS;
            step->query_in_flight = false;
            resolve_queried(step, false, false, 0);
            note_refused_turn(plan, step, purpose, now_ms);
        }
        else {
            step->unserved_since_ms = 0;
            step->renewals += purpose == QUERY_RENEWAL;
            if (purpose == QUERY_AHEAD) {
                pause_ahead(step, now_ms);
            }
        }
    }
    else {
        step->unserved_since_ms = 0; /* it has no use for a turn */
    }
    g_array_free(list, TRUE);
    return count > 0;
}

/* A step that may be queried about. */
struct query_wish {
    struct plan_step *step;
    enum query_purpose purpose;
    uint64_t unserved_ms; /* since it could have used a turn and got none */
    bool places;          /* it should start once it has an answer */
    bool goes_first;
    guint place; /* in scheduling order */
};

static gint
compare_wishes(gconstpointer a, gconstpointer b)
{
    const struct query_wish *x = a;
    const struct query_wish *y = b;

    if (x->goes_first != y->goes_first) {
        return x->goes_first ? -1 : 1;
    }
    if (x->places != y->places) {
        return x->places ? -1 : 1;
    }
    return x->place < y->place ? -1 : 1;
}

/* Lets the step that had no turn for longest go first, if it is its time. */
static void
promote_starved(const struct plan *plan, GArray *wishes, uint64_t now_ms)
{
    struct query_wish *longest = NULL;

    for (guint i = 0; i < wishes->len; i++) {
        struct query_wish *wish = &g_array_index(wishes, struct query_wish, i);

        const uint32_t starved_ms = plan_is_little_used(wish->step->job->pool)
                                        ? QUERY_STARVED_BESIDE_ROOM_MS
                                        : QUERY_STARVED_MS;

        if (wish->purpose != QUERY_AHEAD && wish->unserved_ms >= starved_ms &&
            (longest == NULL || wish->unserved_ms > longest->unserved_ms)) {
            longest = wish;
        }
    }
    if (longest != NULL && now_ms >= plan->starved_turn_ms) {
        longest->goes_first = true;
    }
}

void
plan_want_query(struct plan *plan, struct plan_step *step)
{
    g_ptr_array_add(plan->querying_steps, step);
}

static bool
may_query(const struct plan_step *step, uint64_t now_ms)
{
    return !step->query_in_flight && now_ms >= step->next_query_ms;
}

void
plan_query_policy(struct plan *plan, struct plan_step *step, uint64_t now_ms)
{
    enum query_purpose purpose = QUERY_MORE;

    if (!may_query(step, now_ms)) {
        return;
    }
    if (step->tickets == NULL || step->tickets->len == 0) {
        purpose = QUERY_FIRST;
    }
    else if (is_granted_capacity_enough(step, now_ms)) {
        purpose = QUERY_RENEWAL;
    }
    if (!send_query(plan, step, purpose, now_ms) &&
        (purpose != QUERY_MORE ||
         !send_query(plan, step, QUERY_RENEWAL, now_ms))) {
        step->next_query_ms = now_ms + QUERY_RETRY_MS;
    }
}

/* Fills in the steps that want a query. */
static void
collect_wishes(const struct plan *plan, GArray *wishes, uint64_t now_ms)
{
    for (guint i = 0; i < plan->querying_steps->len; i++) {
        struct query_wish wish = {.step = plan->querying_steps->pdata[i],
                                  .place = i};

        if (wish.step->pending == 0 || !may_query(wish.step, now_ms)) {
            continue;
        }
        if (wish.step->unserved_since_ms != 0) {
            wish.unserved_ms = now_ms - wish.step->unserved_since_ms;
        }
        wish.purpose = purpose_of_query(plan, wish.step, now_ms);
        wish.places = wish.purpose == QUERY_RENEWAL &&
                      wish.step->renewals < RENEWALS_FIRST_MAX;
        g_array_append_val(wishes, wish);
    }
    promote_starved(plan, wishes, now_ms);
    g_array_sort(wishes, compare_wishes);
}

/* Renews tickets of a step that cannot be placed at their pace; beyond it,
 * ahead takes up the step. */
static void
renew_ahead(struct plan *plan, struct plan_step *step, GPtrArray *ahead,
            uint64_t now_ms)
{
    if (!could_hold(step)) {
        return;
    }
    if (now_ms < step->ahead_ms) {
        g_ptr_array_add(ahead, step);
    }
    else {
        send_query(plan, step, QUERY_AHEAD, now_ms);
    }
}

/* Queries about upcoming steps, of jobs beyond their teams' shares or of the
 * others. */
static void
query_upcoming(struct plan *plan, bool beyond_share, GPtrArray *ahead,
               uint64_t now_ms)
{
    for (guint i = 0; i < plan->upcoming_steps->len; i++) {
        struct plan_step *step = plan->upcoming_steps->pdata[i];

        if ((plan->params.policy->by_share && step->job->job->beyond_share) !=
                beyond_share ||
            !may_query(step, now_ms)) {
            continue;
        }
        if (purpose_of_query(plan, step, now_ms) == QUERY_AHEAD) {
            renew_ahead(plan, step, ahead, now_ms);
        }
        else {
            send_query(plan, step, QUERY_FIRST, now_ms);
        }
    }
}

/* Queries for a step by its purpose. If that is to renew tickets ahead of
 * need, or there is no further target to name, see renew_ahead(). */
static void
serve_wish(struct plan *plan, const struct query_wish *wish, GPtrArray *ahead,
           uint64_t now_ms)
{
    struct plan_step *step = wish->step;

    if (wish->purpose != QUERY_AHEAD) {
        if (send_query(plan, step, wish->purpose, now_ms) ||
            wish->purpose == QUERY_RENEWAL) {
            if (wish->goes_first && step->query_sent_ms == now_ms) {
                plan->starved_turn_ms = now_ms + STARVED_INTERVAL_MS;
            }
            return;
        }
        step->all_named_until_ms = now_ms + QUERY_RETRY_MS;
    }
    renew_ahead(plan, step, ahead, now_ms);
}

void
plan_send_queries(struct plan *plan, uint64_t now_ms)
{
    GArray *wishes = g_array_new(FALSE, FALSE, sizeof(struct query_wish));
    GPtrArray *ahead = g_ptr_array_new();

    collect_wishes(plan, wishes, now_ms);
    for (guint i = 0; i < wishes->len; i++) {
        serve_wish(plan, &g_array_index(wishes, struct query_wish, i), ahead,
                   now_ms);
    }
    query_upcoming(plan, false, ahead, now_ms);
    query_upcoming(plan, true, ahead, now_ms);
    for (guint i = 0; i < ahead->len; i++) {
        struct plan_step *step = ahead->pdata[i];

        if (now_ms >= plan->turn_refused_ms + TURNS_SHORT_MS) {
            send_query(plan, step, QUERY_AHEAD, now_ms);
        }
    }
    g_ptr_array_set_size(plan->querying_steps, 0);
    g_ptr_array_free(ahead, TRUE);
    g_array_free(wishes, TRUE);
}

/* How long the targets that an answer did not grant are not named again. */
static uint64_t
refusal_ms(struct plan_step *step, const struct plan_policy_answer *answer)
{
    if (answer->unread == 0) {
        step->unread_answers = 0;
        return REFUSALS_KEPT_MS;
    }
    step->unread_answers++;
    return (uint64_t)UNREAD_RETRY_MS
           << MIN(step->unread_answers - 1, UNREAD_RETRY_DOUBLINGS_MAX);
}

/* Takes over what the policy has granted. An answer that comes after the query
 * was given up is as good, by its age; its targets may have been forgotten. */
static void
take_grants(struct plan *plan, struct plan_step *step,
            const struct plan_policy_answer *answer, uint64_t now_ms)
{
    const uint32_t valid_ms = step->job->job->queue->conf.ticket_ms;
    const uint64_t valid_until_ms =
        now_ms + valid_ms - MIN(valid_ms, TICKET_MARGIN_MS + answer->age_ms);

    for (uint32_t i = 0; i < answer->count; i++) {
        struct fleet_target *target =
            fleet_find_target(plan->fleet, answer->tickets[i].id);
        struct plan_ticket *ticket =
            target != NULL ? find_ticket(step, target->plan) : NULL;

        if (ticket == NULL && answer->is_late && target != NULL) {
            add_ticket(step, target->plan);
            ticket = find_ticket(step, target->plan);
        }
        if (ticket != NULL && (ticket->state != TICKET_GRANTED ||
                               valid_until_ms >= ticket->valid_until_ms)) {
            plan->counters.tickets_unused +=
                ticket->state == TICKET_GRANTED && !ticket->used;
            ticket->used = false;
            ticket->state = TICKET_GRANTED;
            ticket->valid_until_ms = valid_until_ms;
            g_free(ticket->ticket);
            ticket->ticket = g_strdup(answer->tickets[i].ticket);
        }
    }
}

static struct plan_step *
find_queried_step(const struct plan *plan, const struct fleet_task_id *id)
{
    struct fleet_job *job = fleet_find_job(plan->fleet, id->job_id);
    struct plan_step *step = job != NULL && job->plan != NULL
                                 ? plan_find_step(job->plan, id)
                                 : NULL;

    return step != NULL && step->tickets != NULL ? step : NULL;
}

void
plan_policy_answered(struct plan *plan, const struct fleet_task_id *id,
                     const struct plan_policy_answer *answer, uint64_t now_ms)
{
    struct plan_step *step = find_queried_step(plan, id);

    if (step == NULL) {
        return;
    }
    plan->dirty = true;
    if (answer->err == FP_OK) {
        take_grants(plan, step, answer, now_ms);
    }
    if (answer->is_late) {
        return;
    }
    step->query_in_flight = false;
    if (answer->err != FP_OK) {
        resolve_queried(step, false, false, 0);
        step->next_query_ms = now_ms + QUERY_RETRY_MS;
        return;
    }
    resolve_queried(step, true, answer->unread > 0,
                    now_ms + refusal_ms(step, answer));
}

void
plan_give_up_query(struct plan *plan, const struct fleet_task_id *id)
{
    struct plan_step *step = find_queried_step(plan, id);

    if (step != NULL && step->query_in_flight) {
        step->query_in_flight = false;
        resolve_queried(step, false, false, 0);
        plan->dirty = true;
    }
}
