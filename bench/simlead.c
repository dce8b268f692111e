/* simlead.c -- the simulated leader: sessions with targets, terms
 *
 * Replaces node/dispatch*.c: hold calls, commits of ends, policy queries, and
 * orders that are lost or late.
 */
#include <inttypes.h>
#include <string.h>

#include "bench/simpriv.h"

#define COMMIT_MS 4u       /* from a proposal to its commit */
#define HOLD_RETRY_MS 500u /* after a failed hold call */
/* The leader takes a lease for expired this long after lease_ms. */
#define LEASE_MARGIN_MS 200u
#define REMOVAL_DELAY_MS 1500u   /* until a lost target is removed */
#define HOLD_WAIT_MS 1800u       /* a hold call waits this long for an end */
#define LATE_ORDER_MIN_MS 2000u  /* delay of an order without an answer */
#define LATE_ORDER_MAX_MS 12000u /* exclusive */
#define CHECKPOINT_INTERVAL_MS 1000u /* run time between two checkpoints */
/* Run numbers for the runs of inherited tasks in each term. */
#define RUN_NUMBERS_PER_TERM 1024u

/* ---- sessions with targets ---------------------------------------------- */

/* Sends a hold call, which extends the target's lease unless it is silent. */
static void
send_hold(struct sim *sim, struct sim_target *target)
{
    if (sim->plan == NULL || !target->up || target->hold_in_flight ||
        target->answer_unread || target->ends_in_flight) {
        return;
    }
    target->hold_in_flight = true;
    target->hold_sent_ms = sim->now_ms;
    if (!target->silent) {
        target->leases_over_ms =
            sim->now_ms + sim->load->lease_ms + LEASE_MARGIN_MS;
        if (sim->now_ms >= target->cut_until_ms || target->cut_answers_only) {
            target->lease_until_ms = sim->now_ms + sim->load->lease_ms;
        }
    }
    sim_add_target_event(sim, SIM_HOLD_ANSWER, sim->now_ms + HOLD_WAIT_MS,
                         target)
        ->hold_sent_ms = sim->now_ms;
    sim_answer_hold(sim, target);
}

/* Handles an unanswered hold call: the target gets no lease until it answers
 * one. */
static void
on_hold_failed(struct sim *sim, struct sim_target *target,
               struct fleet_target *fleet_target)
{
    target->hold_in_flight = false;
    target->answer_unread = false;
    if (!target->silent) {
        target->silent = true;
        plan_target_silent(sim->plan, fleet_target, false, sim->now_ms);
        sim_add_target_event(sim, SIM_TARGET_LOSS, target->leases_over_ms,
                             target);
    }
    sim_add_target_event(sim, SIM_HOLD_RETRY, sim->now_ms + HOLD_RETRY_MS,
                         target);
}

/* Calls plan_reconciled() once every target has listed its runs or is lost. */
static void
check_reconciled(struct sim *sim)
{
    for (guint i = 0; !sim->reconciled && i < sim->targets->len; i++) {
        const struct sim_target *target = sim->targets->pdata[i];

        if (!target->runs_listed && !target->lost) {
            return;
        }
    }
    if (!sim->reconciled) {
        sim->reconciled = true;
        plan_reconciled(sim->plan);
    }
}

static struct plan_listed_run
make_listed_run(struct sim *sim, const struct sim_run *run)
{
    struct plan_listed_run listed = {.task = run->task,
                                     .run_number = run->run_number};
    uint64_t done_ms = run->resumed_ms + sim->now_ms - run->started_ms;

    if (sim_step_of(run->job, &run->task)->checkpoints) {
        g_snprintf(listed.checkpoint, sizeof(listed.checkpoint), "%" PRIu64,
                   done_ms / CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS);
    }
    return listed;
}

/* Takes down what the target answers to a hold call. */
static void
take_lists(struct sim *sim, struct sim_event *event)
{
    struct sim_target *target = event->target;

    target->fence = sim->term;
    event->listed_runs =
        g_array_new(FALSE, FALSE, sizeof(struct plan_listed_run));
    event->listed_ends =
        g_array_new(FALSE, FALSE, sizeof(struct sim_unacked_end));
    g_array_append_vals(event->listed_ends, target->unacked_ends->data,
                        target->unacked_ends->len);
    for (guint i = 0; i < target->runs->len; i++) {
        struct plan_listed_run listed =
            make_listed_run(sim, target->runs->pdata[i]);

        g_array_append_val(event->listed_runs, listed);
    }
}

/* Passes the ends that the target listed to the scheduler, then its runs. */
static void
on_hold_answered(struct sim *sim, struct sim_event *event)
{
    struct sim_target *target = event->target;
    struct fleet_target *fleet_target =
        fleet_find_target(sim->fleet, target->id);
    struct fp_list ends = {NULL, 0};
    struct plan_run_list list;
    struct sim_event *commit;
    uint64_t last_number = 0;

    if (event->listed_runs == NULL) {
        take_lists(sim, event);
    }
    target->answer_unread = false;
    target->hold_in_flight = false;
    target->silent = false;
    for (guint i = 0; i < event->listed_ends->len; i++) {
        const struct sim_unacked_end *unacked_end =
            &g_array_index(event->listed_ends, struct sim_unacked_end, i);
        struct fleet_run_end *copy;

        last_number = MAX(last_number, unacked_end->number);
        if (unacked_end->number > target->stored_end_number) {
            plan_run_ended(sim->plan, fleet_target, &unacked_end->end,
                           sim->now_ms);
        }
        copy = fp_list_add(&ends, sizeof(*copy));
        *copy = unacked_end->end;
    }
    list =
        (struct plan_run_list){.runs = (const void *)event->listed_runs->data,
                               .count = event->listed_runs->len,
                               .is_first = !target->runs_listed,
                               .requested_ms = target->hold_sent_ms};
    plan_runs_listed(sim->plan, fleet_target, &list, sim->now_ms);
    target->runs_listed = true;
    target->lost = false;
    plan_set_target_usable(sim->plan, fleet_target, true);
    if (ends.count > 0) {
        target->ends_in_flight = true;
        commit = sim_add_target_event(sim, SIM_ENDS_COMMIT,
                                      sim->now_ms + COMMIT_MS, target);
        commit->last_end_number = last_number;
        commit->ends = ends;
    }
    else {
        send_hold(sim, target);
    }
    check_reconciled(sim);
}

/* Applies committed ends, and acknowledges them to the target unless it has
 * restarted since. */
static void
on_ends_committed(struct sim *sim, struct sim_event *event)
{
    struct sim_target *target = event->target;
    struct fleet_run_ends ends = {.items = event->ends};
    char task_text[FLEET_TASK_ID_TEXT_BYTES];

    for (uint32_t i = 0; i < event->ends.count; i++) {
        const struct fleet_run_end *end =
            (const struct fleet_run_end *)event->ends.items + i;

        if (end->outcome == RUN_DONE) {
            fleet_task_id_text(&end->task, task_text, sizeof(task_text));
            g_hash_table_add(sim->done_tasks, g_strdup(task_text));
        }
    }
    sim_apply(sim, &FLEET_RUN_ENDS_SCHEMA, &ends);
    if (target->rec.born_ms != event->born_ms) {
        return;
    }
    target->ends_in_flight = false;
    for (guint i = target->unacked_ends->len; i > 0; i--) {
        if (g_array_index(target->unacked_ends, struct sim_unacked_end, i - 1)
                .number <= event->last_end_number) {
            g_array_remove_index(target->unacked_ends, i - 1);
        }
    }
    target->stored_end_number =
        MAX(target->stored_end_number, event->last_end_number);
    send_hold(sim, target);
}

/* Draws whether the answer to an order or a policy query is lost. */
static bool
draw_answer_loss(struct sim *sim)
{
    return sim->now_ms < sim->lossy_until_ms &&
           (uint32_t)g_rand_int_range(sim->rand, 0, 1000) <
               sim->lossy_permille;
}

static void
send_order(struct sim *sim, enum sim_event_kind kind,
           const struct fleet_target *fleet_target,
           const struct fleet_task_id *task, uint32_t run_number,
           const char *checkpoint)
{
    struct sim_target *target = sim_find_target(sim, fleet_target->rec.id);
    bool unanswered = draw_answer_loss(sim);
    uint64_t at_ms = sim->now_ms + SIM_NETWORK_DELAY_MS;
    struct sim_event *order;
    struct sim_event *timeout;

    if (unanswered) {
        at_ms = sim->now_ms + (uint64_t)g_rand_int_range(sim->rand,
                                                         LATE_ORDER_MIN_MS,
                                                         LATE_ORDER_MAX_MS);
    }
    order = sim_add_target_event(sim, kind, at_ms, target);
    order->task = *task;
    order->run_number = run_number;
    g_strlcpy(order->checkpoint, checkpoint, sizeof(order->checkpoint));
    order->unanswered = unanswered;
    if (unanswered || !target->up) {
        timeout = sim_add_target_event(
            sim,
            kind == SIM_START_ARRIVAL ? SIM_START_ANSWER : SIM_STOP_ANSWER,
            sim->now_ms + SIM_ORDER_TIMEOUT_MS, target);
        timeout->task = *task;
        timeout->run_number = run_number;
        timeout->answer = ORDER_UNKNOWN;
    }
}

static void
start_run(void *ctx, const struct plan_start *start)
{
    struct sim *sim = ctx;
    const struct sim_target *target =
        sim_find_target(sim, start->target->rec.id);

    if (sim->evacuated[target->data_centre]) {
        char text[FLEET_TASK_ID_TEXT_BYTES];

        fleet_task_id_text(&start->task, text, sizeof(text));
        sim_count_breach(sim, &sim->result->breaches.evacuated,
                         "starts in an evacuated data centre", text,
                         target->id);
    }
    send_order(ctx, SIM_START_ARRIVAL, start->target, &start->task,
               start->run_number, start->checkpoint);
}

static void
stop_run(void *ctx, const struct fleet_target *target,
         const struct fleet_task_id *task, uint32_t run_number,
         const char *reason)
{
    (void)reason;
    send_order(ctx, SIM_STOP_ARRIVAL, target, task, run_number, "");
}

static void
store_evidence(void *ctx, const struct fp_list *items)
{
    struct fleet_crashes crashes = {.items = *items};

    sim_apply(ctx, &FLEET_CRASHES_SCHEMA, &crashes);
}

static void
repeat_ends(void *ctx, const struct fp_list *items)
{
    struct fleet_run_ends ends = {.items = *items};

    sim_apply(ctx, &FLEET_RUN_ENDS_SCHEMA, &ends);
}

/* Has no effect: simulated runs have no pace. */
static void
set_pace(void *ctx, const struct fleet_target *target,
         const struct fleet_task_id *task, uint32_t run_number,
         uint32_t percent)
{
    (void)ctx;
    (void)target;
    (void)task;
    (void)run_number;
    (void)percent;
}

/* The policy always allows a step on the same part of the targets, so that a
 * repeated query gets the same answer. */
bool
sim_is_granted(const struct sim *sim, const struct sim_job *job, uint32_t step,
               const char *target)
{
    return job->queue->advice_us == 0 ||
           replay_hash(sim->seed, job->id + step, g_str_hash(target)) % 1000 <
               job->queue->granted_permille;
}

static bool
query_policy(void *ctx, const struct fleet_task_id *step,
             struct fleet_target *const *targets, uint32_t count,
             uint32_t expected_ms, bool short_query)
{
    struct sim *sim = ctx;
    const struct sim_job *job = g_hash_table_lookup(sim->jobs, &step->job_id);
    uint32_t reserved = plan_reserved_policy_clients(sim->load->askers);
    struct sim_event *event;

    (void)expected_ms;
    if (sim->busy_clients >= sim->load->askers ||
        (!short_query && sim->busy_clients + reserved >= sim->load->askers)) {
        return false;
    }
    sim->busy_clients++;
    event = sim_add_event(
        sim, SIM_POLICY_ANSWER,
        sim->now_ms + 2 * SIM_NETWORK_DELAY_MS +
            (job->queue->advice_us + job->queue->advice_each_us * count) /
                1000);
    event->term = sim->term;
    event->task = *step;
    event->unanswered = draw_answer_loss(sim);
    event->tickets = g_array_new(FALSE, TRUE, sizeof(struct call_ticket));
    for (uint32_t i = 0; i < count; i++) {
        struct call_ticket ticket = {.ticket = "ticket"};

        g_strlcpy(ticket.id, targets[i]->rec.id, sizeof(ticket.id));
        if (sim_is_granted(sim, job, step->step, ticket.id)) {
            g_array_append_val(event->tickets, ticket);
        }
    }
    return true;
}

/* ---- changes of the fleet's state --------------------------------------- */

static void
on_config_changed(void *ctx)
{
    struct sim *sim = ctx;

    if (sim->plan != NULL) {
        plan_config_changed(sim->plan);
    }
}

static void
on_target_changed(void *ctx, struct fleet_target *fleet_target, bool restarted)
{
    struct sim *sim = ctx;
    struct sim_target *target;

    if (sim->plan == NULL) {
        return;
    }
    plan_target_changed(sim->plan, fleet_target);
    target = sim_find_target(sim, fleet_target->rec.id);
    if (restarted) {
        plan_target_restarted(sim->plan, fleet_target, sim->now_ms);
    }
    if (target == NULL) {
        return; /* not simulated */
    }
    if (target->removed) {
        target->removed = false;
        target->runs_listed = false;
        restarted = true; /* the leader has no state of a removed target */
    }
    if (restarted) {
        target->silent = false;
        target->lost = false;
        target->ends_in_flight = false;
        target->hold_in_flight = false;
        target->answer_unread = false;
        target->stored_end_number = 0;
        target->hold_sent_ms = sim->now_ms;
        sim_add_target_event(sim, SIM_HOLD_ANSWER,
                             sim->now_ms + 2 * SIM_NETWORK_DELAY_MS, target);
    }
}

static void
on_target_removed(void *ctx, struct fleet_target *fleet_target)
{
    struct sim *sim = ctx;

    if (sim->plan != NULL) {
        plan_target_removed(sim->plan, fleet_target);
    }
}

static void
on_job_added(void *ctx, struct fleet_job *job)
{
    struct sim *sim = ctx;

    if (sim->plan != NULL) {
        plan_job_added(sim->plan, job, sim->now_ms);
    }
}

static void
check_given_up(struct sim *sim, const struct fleet_job *job,
               const struct sim_job *sim_job)
{
    char id_text[32];

    for (uint32_t i = 0; !sim_job->crashes && i < job->task_count; i++) {
        if (crashes_verdict(job->tasks[i].crashes) == CRASH_PROVEN) {
            g_snprintf(id_text, sizeof(id_text), "%016" PRIx64, sim_job->id);
            sim_count_breach(sim, &sim->result->breaches.wrongly_given_up,
                             "is given up and crashes no target", id_text,
                             sim_job->queue->name);
        }
    }
}

static void
on_job_ended(void *ctx, struct fleet_job *job)
{
    struct sim *sim = ctx;
    struct sim_job *sim_job = g_hash_table_lookup(sim->jobs, &job->submit.id);

    check_given_up(sim, job, sim_job);
    sim_job->ended_ms = sim->now_ms;
    sim_job->state = job->state;
    sim->unfinished_jobs--;
    if (sim->plan != NULL) {
        plan_job_ended(sim->plan, job, sim->now_ms);
    }
}

static void
on_job_removed(void *ctx, struct fleet_job *job)
{
    struct sim *sim = ctx;

    if (sim->plan != NULL) {
        plan_job_removed(sim->plan, job);
    }
}

static void
on_queue_removed(void *ctx, struct fleet_queue *queue)
{
    struct sim *sim = ctx;

    if (sim->plan != NULL) {
        plan_queue_removed(sim->plan, queue);
    }
}

static void
on_evacuation_changed(void *ctx, const struct fleet_data_centre *data_centre)
{
    struct sim *sim = ctx;

    (void)data_centre;
    if (sim->plan != NULL) {
        plan_evacuation_changed(sim->plan);
    }
}

struct fleet_ops
sim_fleet_ops(struct sim *sim)
{
    return (struct fleet_ops){.config_changed = on_config_changed,
                              .target_changed = on_target_changed,
                              .target_removed = on_target_removed,
                              .job_added = on_job_added,
                              .job_ended = on_job_ended,
                              .job_removed = on_job_removed,
                              .queue_removed = on_queue_removed,
                              .evacuation_changed = on_evacuation_changed,
                              .ctx = sim};
}

/* ---- terms -------------------------------------------------------------- */

void
sim_begin_term(struct sim *sim)
{
    const struct plan_params params = {
        .policy = sim->policy,
        .stop_ms = sim->load->stop_ms,
        .remote_run_permille = 1500,
        .run_base = sim->term * RUN_NUMBERS_PER_TERM,
        .wall_ms = SIM_WALL_START_MS + sim->now_ms};
    const struct plan_ops ops = {.start_run = start_run,
                                 .stop_run = stop_run,
                                 .set_pace = set_pace,
                                 .query_policy = query_policy,
                                 .store_evidence = store_evidence,
                                 .repeat_ends = repeat_ends,
                                 .ctx = sim};

    sim->reconciled = false;
    sim->busy_clients = 0;
    sim->plan = plan_new(sim->fleet, &params, &ops, sim->now_ms);
    for (guint i = 0; i < sim->targets->len; i++) {
        struct sim_target *target = sim->targets->pdata[i];

        target->runs_listed = false;
        target->lost = false;
        target->silent = false;
        target->leases_over_ms =
            sim->now_ms + sim->load->lease_ms + LEASE_MARGIN_MS;
        target->ends_in_flight = false;
        target->hold_in_flight = false;
        target->answer_unread = false;
        target->stored_end_number = 0;
        target->hold_sent_ms = sim->now_ms;
        target->removed = fleet_find_target(sim->fleet, target->id) == NULL;
        if (target->removed) {
            target->lost = true;
        }
        else if (target->up) {
            sim_add_target_event(sim, SIM_HOLD_ANSWER,
                                 sim->now_ms + 2 * SIM_NETWORK_DELAY_MS,
                                 target);
        }
        else {
            sim_add_target_event(sim, SIM_TARGET_LOSS,
                                 sim->now_ms + sim->load->lease_ms, target);
        }
    }
}

void
sim_end_term(struct sim *sim)
{
    struct plan_counters *totals = &sim->result->counters;
    const struct plan_counters *counters;

    if (sim->plan == NULL) {
        return;
    }
    counters = plan_counters(sim->plan);
    totals->starts += counters->starts;
    totals->stops += counters->stops;
    totals->policy_queries += counters->policy_queries;
    totals->runs_lost += counters->runs_lost;
    totals->copies += counters->copies;
    totals->copies_won += counters->copies_won;
    totals->copies_lost += counters->copies_lost;
    plan_free(sim->plan);
    sim->plan = NULL;
    sim->term++;
}

/* ---- events for the leader ---------------------------------------------- */

static void
on_order_answered(struct sim *sim, struct sim_event *event)
{
    struct sim_target *target = event->target;
    struct fleet_target *fleet_target =
        fleet_find_target(sim->fleet, target->id);

    if (fleet_target == NULL || target->rec.born_ms != event->born_ms) {
        return;
    }
    if (event->kind == SIM_START_ANSWER) {
        plan_start_answered(sim->plan, fleet_target, &event->task,
                            event->run_number, event->answer, sim->now_ms);
    }
    else {
        plan_stop_answered(sim->plan, fleet_target, &event->task,
                           event->run_number, event->answer, sim->now_ms);
    }
}

static void
remove_target(struct sim *sim, struct sim_target *target)
{
    struct fleet_target_removal removal = {.born_ms = target->rec.born_ms};

    g_strlcpy(removal.id, target->id, sizeof(removal.id));
    target->removed = true;
    sim_apply(sim, &FLEET_TARGET_REMOVAL_SCHEMA, &removal);
}

static void
on_target_event(struct sim *sim, struct sim_target *target,
                struct sim_event *event)
{
    struct fleet_target *fleet_target =
        fleet_find_target(sim->fleet, target->id);

    if (fleet_target == NULL) {
        return;
    }
    switch (event->kind) {
    case SIM_HOLD_ANSWER:
        /* Ignores the end of the wait of a call that was answered before. */
        if (target->up && target->rec.born_ms == event->born_ms &&
            (event->is_late || event->hold_sent_ms == 0 ||
             (target->hold_in_flight &&
              target->hold_sent_ms == event->hold_sent_ms))) {
            if (sim->now_ms < target->cut_until_ms) {
                on_hold_failed(sim, target, fleet_target);
            }
            else {
                on_hold_answered(sim, event);
            }
        }
        return;
    case SIM_HOLD_RETRY:
        send_hold(sim, target);
        return;
    case SIM_TARGET_REMOVAL:
        if (target->lost) {
            remove_target(sim, target);
        }
        return;
    case SIM_CRASH_DETECTION:
        if (!target->up) {
            plan_target_silent(sim->plan, fleet_target, true, sim->now_ms);
        }
        return;
    default: /* SIM_TARGET_LOSS */
        if ((!target->up ||
             (target->silent && sim->now_ms >= target->leases_over_ms)) &&
            !target->lost) {
            target->lost = true;
            sim_add_target_event(sim, SIM_TARGET_REMOVAL,
                                 sim->now_ms + REMOVAL_DELAY_MS, target);
            plan_target_lost(sim->plan, fleet_target, LOSS_LEASE, sim->now_ms);
            check_reconciled(sim);
        }
    }
}

/* Whether a hold call ends with this event; see on_target_event(). */
static bool
ends_hold_call(const struct sim *sim, const struct sim_event *event)
{
    const struct sim_target *target = event->target;

    return target->up && target->rec.born_ms == event->born_ms &&
           sim->now_ms >= target->cut_until_ms &&
           (event->hold_sent_ms == 0 ||
            (target->hold_in_flight &&
             target->hold_sent_ms == event->hold_sent_ms));
}

/* Puts off an answer that a slow leader does not handle yet; what a target
 * lists is as old as its answer. Returns whether it was put off. */
static bool
put_off_answer(struct sim *sim, struct sim_event *event)
{
    struct sim_event *late;

    if (event->is_late || sim->now_ms >= sim->slow_leader_until_ms ||
        (event->kind != SIM_START_ANSWER && event->kind != SIM_STOP_ANSWER &&
         event->kind != SIM_POLICY_ANSWER && event->kind != SIM_ENDS_COMMIT &&
         event->kind != SIM_HOLD_ANSWER) ||
        (event->kind == SIM_HOLD_ANSWER && !ends_hold_call(sim, event))) {
        return false;
    }
    if (event->kind == SIM_HOLD_ANSWER) {
        event->target->hold_in_flight = false;
        event->target->answer_unread = true;
        take_lists(sim, event);
    }
    late = sim_add_event(sim, event->kind, sim->now_ms + sim->leader_delay_ms);
    late->term = event->term;
    late->target = event->target;
    late->born_ms = event->born_ms;
    late->task = event->task;
    late->run_number = event->run_number;
    late->answer = event->answer;
    late->unanswered = event->unanswered;
    late->last_end_number = event->last_end_number;
    late->tickets = g_steal_pointer(&event->tickets);
    late->ends = event->ends;
    event->ends = (struct fp_list){NULL, 0};
    late->listed_runs = g_steal_pointer(&event->listed_runs);
    late->listed_ends = g_steal_pointer(&event->listed_ends);
    late->is_late = true;
    return true;
}

static void
on_policy_answer(struct sim *sim, const struct sim_event *event)
{
    const struct plan_policy_answer answer = {
        event->unanswered ? FP_ERR_UNKNOWN_OUTCOME : FP_OK,
        (const struct call_ticket *)(void *)event->tickets->data,
        event->unanswered ? 0 : event->tickets->len,
        0,
        0,
        false};

    plan_policy_answered(sim->plan, &event->task, &answer, sim->now_ms);
}

void
sim_on_leader_event(struct sim *sim, struct sim_event *event)
{
    if (sim->plan == NULL || event->term != sim->term ||
        put_off_answer(sim, event)) {
        return;
    }
    switch (event->kind) {
    case SIM_START_ANSWER:
    case SIM_STOP_ANSWER:
        on_order_answered(sim, event);
        return;
    case SIM_ENDS_COMMIT:
        on_ends_committed(sim, event);
        return;
    case SIM_POLICY_ANSWER:
        sim->busy_clients--;
        on_policy_answer(sim, event);
        return;
    default:
        on_target_event(sim, event->target, event);
    }
}
