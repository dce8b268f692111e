/* simlead.c -- a leader of the replay: its link to targets, its term
 *
 * Stands in for node/dispatch*.c: holds, commits of ends, orders that are
 * lost.
 */
#include <inttypes.h>
#include <string.h>

#include "bench/simpriv.h"

#define COMMIT_MS 4u        /* from a proposal to its application */
#define HOLD_AGAIN_MS 500u  /* after one that failed */
#define LEASE_SLACK_MS 200u /* a lease is surely over then */
#define REMOVE_MS 1500u     /* a lost target is then forgotten */
#define HOLD_MS 1800u       /* a hold waits this long for an end */
#define LATE_LEAST_MS 2000u /* carried out this late, at least, */
#define LATE_MOST_MS 12000u /* and at most */
#define SAVE_MS 1000u       /* work between two checkpoints */
#define RUN_BASE 1024u /* run numbers of a term begin above its multiple */

/* ---- the leader's link -------------------------------------------------- */

static void
ask(struct sim *sim, struct sim_target *target)
{
    if (sim->plan == NULL || !target->up || target->asked ||
        target->committing) {
        return;
    }
    target->asked = true;
    target->asked_ms = sim->now_ms;
    if (!target->silent) {
        target->granted_until_ms =
            sim->now_ms + sim->load->lease_ms + LEASE_SLACK_MS;
        if (sim->now_ms >= target->cut_until_ms || target->cut_answers_only) {
            target->lease_until_ms = sim->now_ms + sim->load->lease_ms;
        }
    }
    sim_add_target_event(sim, SIM_LISTS, sim->now_ms + HOLD_MS, target)->upto =
        sim->now_ms;
    sim_answer_hold(sim, target);
}

/* A hold without an answer: nothing more is granted until one is. */
static void
fail_hold(struct sim *sim, struct sim_target *target,
          struct fleet_target *known)
{
    target->asked = false;
    if (!target->silent) {
        target->silent = true;
        plan_set_target_usable(sim->plan, known, false);
        sim_add_target_event(sim, SIM_LOST, target->granted_until_ms, target);
    }
    sim_add_target_event(sim, SIM_ASKS, sim->now_ms + HOLD_AGAIN_MS, target);
}

static void
check_settled(struct sim *sim)
{
    for (guint i = 0; !sim->settled && i < sim->targets->len; i++) {
        const struct sim_target *target = sim->targets->pdata[i];

        if (!target->listed && !target->lost) {
            return;
        }
    }
    if (!sim->settled) {
        sim->settled = true;
        plan_reconciled(sim->plan);
    }
}

static struct plan_listed_run
row_of(struct sim *sim, const struct sim_run *run)
{
    struct plan_listed_run row = {.task = run->task, .run_number = run->run};
    uint64_t done_ms = run->saved_ms + sim->now_ms - run->began_ms;

    if (sim_step_of(run->job, &run->task)->checkpoints) {
        g_snprintf(row.checkpoint, sizeof(row.checkpoint), "%" PRIu64,
                   done_ms / SAVE_MS * SAVE_MS);
    }
    return row;
}

/* The answer to a hold: the ends first, then the runs. */
static void
on_lists(struct sim *sim, struct sim_event *event)
{
    struct sim_target *target = event->target;
    struct fleet_target *known = fleet_find_target(sim->fleet, target->id);
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct plan_listed_run));
    struct fp_list ends = {NULL, 0};
    struct sim_event *commit;

    target->asked = false;
    target->silent = false;
    target->fence = sim->term;
    for (guint i = 0; i < target->ended->len; i++) {
        const struct sim_ended *ended =
            &g_array_index(target->ended, struct sim_ended, i);
        struct fleet_run_end *copy;

        if (ended->number > target->stored) {
            plan_run_ended(sim->plan, known, &ended->end, sim->now_ms);
        }
        copy = fp_list_add(&ends, sizeof(*copy));
        *copy = ended->end;
    }
    for (guint i = 0; i < target->runs->len; i++) {
        struct plan_listed_run row = row_of(sim, target->runs->pdata[i]);

        g_array_append_val(rows, row);
    }
    plan_runs_listed(sim->plan, known, (const void *)rows->data, rows->len,
                     !target->listed, target->asked_ms, sim->now_ms);
    g_array_free(rows, TRUE);
    target->listed = true;
    target->lost = false;
    plan_set_target_usable(sim->plan, known, true);
    if (ends.count > 0) {
        target->committing = true;
        commit = sim_add_target_event(sim, SIM_COMMITS,
                                      sim->now_ms + COMMIT_MS, target);
        commit->upto = target->next_number;
        commit->ends = ends;
    }
    else {
        ask(sim, target);
    }
    check_settled(sim);
}

/* The ends are in the log, and the target may forget them, if it still lives.
 */
static void
on_commits(struct sim *sim, struct sim_event *event)
{
    struct sim_target *target = event->target;
    struct fleet_run_ends ends = {.items = event->ends};
    char text[FLEET_TASK_ID_TEXT_BYTES];

    for (uint32_t i = 0; i < event->ends.count; i++) {
        const struct fleet_run_end *end =
            (const struct fleet_run_end *)event->ends.items + i;

        if (end->outcome == RUN_DONE) {
            fleet_task_id_text(&end->task, text, sizeof(text));
            g_hash_table_add(sim->over, g_strdup(text));
        }
    }
    sim_apply(sim, &FLEET_RUN_ENDS_SCHEMA, &ends);
    if (target->rec.born_ms != event->born) {
        return;
    }
    target->committing = false;
    for (guint i = target->ended->len; i > 0; i--) {
        if (g_array_index(target->ended, struct sim_ended, i - 1).number <=
            event->upto) {
            g_array_remove_index(target->ended, i - 1);
        }
    }
    target->stored = MAX(target->stored, event->upto);
    ask(sim, target);
}

/* Draws whether an order or a question goes without an answer. */
static bool
is_lost(struct sim *sim)
{
    return sim->now_ms < sim->lossy_until_ms &&
           (uint32_t)g_rand_int_range(sim->rand, 0, 1000) <
               sim->lossy_permille;
}

static void
send_order(struct sim *sim, enum sim_event_kind kind,
           const struct fleet_target *to, const struct fleet_task_id *task,
           uint32_t run, const char *checkpoint)
{
    struct sim_target *target = sim_find_target(sim, to->rec.id);
    bool lost = is_lost(sim);
    uint64_t at_ms = sim->now_ms + SIM_WAY_MS;
    struct sim_event *order;
    struct sim_event *timeout;

    if (lost) {
        at_ms = sim->now_ms + (uint64_t)g_rand_int_range(
                                  sim->rand, LATE_LEAST_MS, LATE_MOST_MS);
    }
    order = sim_add_target_event(sim, kind, at_ms, target);
    order->task = *task;
    order->run = run;
    g_strlcpy(order->checkpoint, checkpoint, sizeof(order->checkpoint));
    order->silent = lost;
    if (lost || !target->up) {
        timeout = sim_add_target_event(
            sim, kind == SIM_STARTS ? SIM_STARTED : SIM_STOP_TOLD,
            sim->now_ms + SIM_UNANSWERED_MS, target);
        timeout->task = *task;
        timeout->run = run;
        timeout->answer = ORDER_UNKNOWN;
    }
}

static void
on_start(void *ctx, const struct plan_start *start)
{
    send_order(ctx, SIM_STARTS, start->target, &start->task, start->run_number,
               start->checkpoint);
}

static void
on_stop(void *ctx, const struct fleet_target *target,
        const struct fleet_task_id *task, uint32_t run, const char *why)
{
    (void)why;
    send_order(ctx, SIM_STOPS, target, task, run, "");
}

static void
on_pace(void *ctx, const struct fleet_target *target,
        const struct fleet_task_id *task, uint32_t run, uint32_t percent)
{
    (void)ctx;
    (void)target;
    (void)task;
    (void)run;
    (void)percent;
}

/* The policy grants a part of the targets to a step, always the same ones. */
bool
sim_is_granted(const struct sim *sim, const struct sim_job *job, uint32_t step,
               const char *target)
{
    return job->queue->advice_us == 0 ||
           replay_draw(sim->seed, job->id + step, g_str_hash(target)) % 1000 <
               job->queue->granted_permille;
}

static bool
on_advise(void *ctx, const struct fleet_task_id *step,
          struct fleet_target *const *targets, uint32_t count,
          uint32_t expected_ms, bool short_call)
{
    struct sim *sim = ctx;
    const struct sim_job *job = g_hash_table_lookup(sim->jobs, &step->job_id);
    uint32_t spare = plan_reserved_policy_clients(sim->load->askers);
    struct sim_event *event;

    (void)expected_ms;
    if (sim->busy >= sim->load->askers ||
        (!short_call && sim->busy + spare >= sim->load->askers)) {
        return false;
    }
    sim->busy++;
    event = sim_add_event(
        sim, SIM_ADVISED,
        sim->now_ms + 2 * SIM_WAY_MS +
            (job->queue->advice_us + job->queue->advice_each_us * count) /
                1000);
    event->term = sim->term;
    event->task = *step;
    event->silent = is_lost(sim);
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

/* ---- the fleet's state -------------------------------------------------- */

static void
on_config(void *ctx)
{
    struct sim *sim = ctx;

    if (sim->plan != NULL) {
        plan_config_changed(sim->plan);
    }
}

static void
on_target(void *ctx, struct fleet_target *known, bool reborn)
{
    struct sim *sim = ctx;
    struct sim_target *target;

    if (sim->plan == NULL) {
        return;
    }
    plan_target_changed(sim->plan, known);
    target = sim_find_target(sim, known->rec.id);
    if (reborn) {
        plan_target_restarted(sim->plan, known, sim->now_ms);
    }
    if (target == NULL) {
        return; /* of no service of this load */
    }
    if (target->removed) {
        target->removed = false;
        target->listed = false;
        reborn = true; /* to the leader it is a new one */
    }
    if (reborn) {
        target->silent = false;
        target->lost = false;
        target->committing = false;
        target->asked = false;
        target->stored = 0;
        target->asked_ms = sim->now_ms;
        sim_add_target_event(sim, SIM_LISTS, sim->now_ms + 2 * SIM_WAY_MS,
                             target);
    }
}

static void
on_target_gone(void *ctx, struct fleet_target *known)
{
    struct sim *sim = ctx;

    if (sim->plan != NULL) {
        plan_target_removed(sim->plan, known);
    }
}

static void
on_job(void *ctx, struct fleet_job *job)
{
    struct sim *sim = ctx;

    if (sim->plan != NULL) {
        plan_job_added(sim->plan, job, sim->now_ms);
    }
}

static void
on_job_end(void *ctx, struct fleet_job *job)
{
    struct sim *sim = ctx;
    struct sim_job *from = g_hash_table_lookup(sim->jobs, &job->submit.id);

    from->ended_ms = sim->now_ms;
    from->state = job->state;
    sim->open--;
    if (sim->plan != NULL) {
        plan_job_ended(sim->plan, job, sim->now_ms);
    }
}

static void
on_job_gone(void *ctx, struct fleet_job *job)
{
    struct sim *sim = ctx;

    if (sim->plan != NULL) {
        plan_job_removed(sim->plan, job);
    }
}

struct fleet_ops
sim_fleet_ops(struct sim *sim)
{
    return (struct fleet_ops){.config_changed = on_config,
                              .target_changed = on_target,
                              .target_removed = on_target_gone,
                              .job_added = on_job,
                              .job_ended = on_job_end,
                              .job_removed = on_job_gone,
                              .ctx = sim};
}

/* ---- the leader's term -------------------------------------------------- */

void
sim_begin_term(struct sim *sim)
{
    const struct plan_params params = {.policy = sim->policy,
                                       .stop_ms = sim->load->stop_ms,
                                       .remote_run_permille = 1500,
                                       .run_base = sim->term * RUN_BASE};
    const struct plan_ops ops = {.start_run = on_start,
                                 .stop_run = on_stop,
                                 .set_pace = on_pace,
                                 .query_policy = on_advise,
                                 .ctx = sim};

    sim->settled = false;
    sim->busy = 0;
    sim->plan = plan_new(sim->fleet, &params, &ops, sim->now_ms);
    for (guint i = 0; i < sim->targets->len; i++) {
        struct sim_target *target = sim->targets->pdata[i];

        target->listed = false;
        target->lost = false;
        target->silent = false;
        target->granted_until_ms =
            sim->now_ms + sim->load->lease_ms + LEASE_SLACK_MS;
        target->committing = false;
        target->asked = false;
        target->stored = 0;
        target->asked_ms = sim->now_ms;
        target->removed = fleet_find_target(sim->fleet, target->id) == NULL;
        if (target->removed) {
            target->lost = true;
        }
        else if (target->up) {
            sim_add_target_event(sim, SIM_LISTS, sim->now_ms + 2 * SIM_WAY_MS,
                                 target);
        }
        else {
            sim_add_target_event(sim, SIM_LOST,
                                 sim->now_ms + sim->load->lease_ms, target);
        }
    }
}

void
sim_end_term(struct sim *sim)
{
    struct plan_counters *sum = &sim->result->counters;
    const struct plan_counters *counters;

    if (sim->plan == NULL) {
        return;
    }
    counters = plan_counters(sim->plan);
    sum->starts += counters->starts;
    sum->stops += counters->stops;
    sum->policy_queries += counters->policy_queries;
    sum->runs_lost += counters->runs_lost;
    plan_free(sim->plan);
    sim->plan = NULL;
    sim->term++;
}

/* ---- what a leader acts on -----------------------------------------------
 */

static void
take_answer(struct sim *sim, struct sim_event *event)
{
    struct sim_target *target = event->target;
    struct fleet_target *known = fleet_find_target(sim->fleet, target->id);

    if (known == NULL || target->rec.born_ms != event->born) {
        return;
    }
    if (event->kind == SIM_STARTED) {
        plan_start_answered(sim->plan, known, &event->task, event->run,
                            event->answer, sim->now_ms);
    }
    else {
        plan_stop_answered(sim->plan, known, &event->task, event->run,
                           event->answer, sim->now_ms);
    }
}

static void
forget(struct sim *sim, struct sim_target *target)
{
    struct fleet_target_removal gone = {.born_ms = target->rec.born_ms};

    g_strlcpy(gone.id, target->id, sizeof(gone.id));
    target->removed = true;
    sim_apply(sim, &FLEET_TARGET_REMOVAL_SCHEMA, &gone);
}

static void
hear_of_target(struct sim *sim, struct sim_target *target,
               struct sim_event *event)
{
    struct fleet_target *known = fleet_find_target(sim->fleet, target->id);

    if (known == NULL) {
        return;
    }
    switch (event->kind) {
    case SIM_LISTS:
        /* A hold that was answered before its time leaves its end here. */
        if (target->up && target->rec.born_ms == event->born &&
            (event->upto == 0 ||
             (target->asked && target->asked_ms == event->upto))) {
            if (sim->now_ms < target->cut_until_ms) {
                fail_hold(sim, target, known);
            }
            else {
                on_lists(sim, event);
            }
        }
        return;
    case SIM_ASKS:
        ask(sim, target);
        return;
    case SIM_REMOVES:
        if (target->lost) {
            forget(sim, target);
        }
        return;
    case SIM_SILENT:
        if (!target->up) {
            plan_set_target_usable(sim->plan, known, false);
        }
        return;
    default: /* SIM_LOST */
        if ((!target->up ||
             (target->silent && sim->now_ms >= target->granted_until_ms)) &&
            !target->lost) {
            target->lost = true;
            sim_add_target_event(sim, SIM_REMOVES, sim->now_ms + REMOVE_MS,
                                 target);
            plan_target_lost(sim->plan, known, sim->now_ms);
            check_settled(sim);
        }
    }
}

/* What concerns a leader is dropped when it leads no more. */
void
sim_act_as_leader(struct sim *sim, struct sim_event *event)
{
    if (sim->plan == NULL || event->term != sim->term) {
        return;
    }
    switch (event->kind) {
    case SIM_STARTED:
    case SIM_STOP_TOLD:
        take_answer(sim, event);
        return;
    case SIM_COMMITS:
        on_commits(sim, event);
        return;
    case SIM_ADVISED:
        sim->busy--;
        plan_policy_answered(
            sim->plan, &event->task,
            event->silent ? FP_ERR_UNKNOWN_OUTCOME : FP_OK,
            (const struct call_ticket *)(void *)event->tickets->data,
            event->silent ? 0 : event->tickets->len, sim->now_ms);
        return;
    default:
        hear_of_target(sim, event->target, event);
    }
}
