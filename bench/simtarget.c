/* simtarget.c -- simulated targets: runs, orders, leases, crashes */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "bench/simpriv.h"

/* A target announces itself this long after it was reconnected. */
#define ANNOUNCEMENT_DELAY_MS 700u
/* A target announces a changed capacity within this time. Starts are checked
 * against a smaller one CAPACITY_GRACE_MS later. */
#define ANNOUNCEMENT_INTERVAL_MS 500u
#define CAPACITY_GRACE_MS 3500u
#define LATE_ANNOUNCEMENT_MAX_MS 6000u
#define CRASH_AFTER_MS 10u /* from the start of a task that crashes */
#define CRASH_DOWN_MS 3000u
/* A task that crashes its targets may be started this often after
 * CRASHES_UNDER_TASK of them have crashed. */
#define LATE_STARTS_MAX 2u
#define CRASHES_UNDER_TASK 3u

struct sim_target *
sim_find_target(struct sim *sim, const char *id)
{
    for (guint i = 0; i < sim->targets->len; i++) {
        struct sim_target *target = sim->targets->pdata[i];

        if (strcmp(target->id, id) == 0) {
            return target;
        }
    }
    return NULL;
}

static struct sim_run *
find_run(const struct sim_target *target, const struct fleet_task_id *task,
         uint32_t run_number)
{
    for (guint i = 0; i < target->runs->len; i++) {
        struct sim_run *run = target->runs->pdata[i];

        if (run->run_number == run_number &&
            run->task.job_id == task->job_id && run->task.step == task->step &&
            run->task.index == task->index) {
            return run;
        }
    }
    return NULL;
}

const struct fleet_step *
sim_step_of(const struct sim_job *job, const struct fleet_task_id *task)
{
    return (const struct fleet_step *)job->submit.steps.items + task->step;
}

static struct fleet_resources
used_resources(const struct sim_target *target)
{
    struct fleet_resources used = {0, 0, 0};

    for (guint i = 0; i < target->runs->len; i++) {
        const struct sim_run *run = target->runs->pdata[i];
        const struct fleet_step *step = sim_step_of(run->job, &run->task);

        used.cpu_milli += step->cpu_milli;
        used.memory_mb += step->memory_mb;
        used.accel += step->accel;
    }
    return used;
}

void
sim_answer_hold(struct sim *sim, struct sim_target *target)
{
    if (target->hold_in_flight && target->unacked_ends->len > 0) {
        target->hold_in_flight = false;
        sim_add_target_event(sim, SIM_HOLD_ANSWER,
                             sim->now_ms + SIM_NETWORK_DELAY_MS, target);
    }
}

/* Counts the processor time that is lost with a run. kept_ms is the run time
 * that a checkpoint saves; UINT32_MAX: all. */
static void
count_waste(struct sim *sim, const struct sim_run *run, uint64_t kept_ms)
{
    uint64_t ran_ms = sim->now_ms - run->started_ms;

    if (ran_ms > kept_ms && !run->job->queue->lasting) {
        sim->result->wasted_cpu_milli_s +=
            sim_step_of(run->job, &run->task)->cpu_milli * (ran_ms - kept_ms) /
            1000;
    }
}

static void
end_run(struct sim *sim, struct sim_target *target, struct sim_run *run,
        enum run_outcome outcome)
{
    struct sim_unacked_end unacked_end = {.number = ++target->last_end_number};
    const struct fleet_step *step = sim_step_of(run->job, &run->task);
    char task_text[FLEET_TASK_ID_TEXT_BYTES];
    uint64_t done_ms = run->resumed_ms + sim->now_ms - run->started_ms;

    fleet_task_id_text(&run->task, task_text, sizeof(task_text));
    unacked_end.end.task = run->task;
    unacked_end.end.run = run->run_number;
    unacked_end.end.outcome = outcome;
    if (outcome == RUN_STOPPED && step->checkpoints) {
        g_snprintf(unacked_end.end.checkpoint,
                   sizeof(unacked_end.end.checkpoint), "%" PRIu64, done_ms);
    }
    if (outcome != RUN_DONE) {
        count_waste(sim, run,
                    outcome == RUN_STOPPED && step->checkpoints ? UINT32_MAX
                                                                : 0);
    }
    g_array_append_val(target->unacked_ends, unacked_end);
    g_hash_table_insert(target->highest_stale_run, g_strdup(task_text),
                        GUINT_TO_POINTER(run->run_number));
    g_ptr_array_remove_fast(target->runs, run);
    sim_answer_hold(sim, target);
}

/* Ends all runs of a gang, after one of them has ended. */
static void
end_gang(struct sim *sim, const struct fleet_task_id *task,
         uint32_t run_number, enum run_outcome outcome)
{
    for (guint t = 0; t < sim->targets->len; t++) {
        struct sim_target *target = sim->targets->pdata[t];

        for (guint i = target->runs->len; i > 0; i--) {
            struct sim_run *run = target->runs->pdata[i - 1];

            if (run->task.job_id == task->job_id &&
                run->task.step == task->step &&
                run->run_number == run_number) {
                end_run(sim, target, run, outcome);
            }
        }
    }
}

static struct fleet_resources
enforced_capacity(const struct sim *sim, const struct sim_target *target)
{
    const struct fleet_target_rec *rec = &target->rec;

    if (sim->now_ms < target->checked_until_ms) {
        return target->checked_capacity;
    }
    return (struct fleet_resources){rec->cpu_milli, rec->memory_mb,
                                    rec->accel};
}

/* Checks the invariants of struct sim_breaches after the start of a run. */
static void
check_start(struct sim *sim, const struct sim_target *started_on,
            const struct sim_run *run, const char *task_text)
{
    struct sim_breaches *breaches = &sim->result->breaches;
    const struct fleet_step *step = sim_step_of(run->job, &run->task);
    const struct replay_team *team = &sim->load->teams[run->job->team];
    const struct fleet_resources used = used_resources(started_on);
    const struct fleet_resources capacity = enforced_capacity(sim, started_on);
    uint64_t team_cpu = 0;
    uint32_t running = 0;

    if (used.cpu_milli > capacity.cpu_milli ||
        used.memory_mb > capacity.memory_mb || used.accel > capacity.accel) {
        sim_count_breach(sim, &breaches->over_size, "exceeds the capacity",
                         task_text, started_on->id);
    }
    for (guint t = 0; t < sim->targets->len; t++) {
        const struct sim_target *target = sim->targets->pdata[t];

        for (guint i = 0; i < target->runs->len; i++) {
            const struct sim_run *other = target->runs->pdata[i];

            running += other->task.job_id == run->task.job_id &&
                       other->task.step == run->task.step &&
                       other->task.index == run->task.index;
            if (other->job->team == run->job->team) {
                team_cpu += sim_step_of(other->job, &other->task)->cpu_milli;
            }
        }
    }
    if (!step->duplicates &&
        (running > 1 || g_hash_table_contains(sim->done_tasks, task_text))) {
        sim_count_breach(sim, &breaches->doubled, "runs twice", task_text,
                         started_on->id);
    }
    if (team->limit_cpu_milli != 0 &&
        team_cpu > team->limit_cpu_milli * 1.1 + step->cpu_milli) {
        sim_count_breach(sim, &breaches->over_cap, "exceeds its team's limit",
                         task_text, started_on->id);
    }
}

static bool
is_crashing_task(const struct sim_job *job, const struct fleet_task_id *task)
{
    return job->crashes && task->step == job->crashing_step &&
           task->index == job->crashing_index;
}

/* A crashing task is started: its target crashes a little later. */
static void
plan_task_crash(struct sim *sim, struct sim_target *target,
                struct sim_job *job, const struct sim_event *order,
                const char *task_text)
{
    const uint32_t after_ms = job->queue->crash_after_ms;
    struct sim_event *crash;

    if (job->crash_times->len >= CRASHES_UNDER_TASK &&
        ++job->late_starts == LATE_STARTS_MAX + 1) {
        sim_count_breach(sim, &sim->result->breaches.over_crashes,
                         "crashed three targets and was started three times "
                         "more",
                         task_text, target->id);
    }
    crash = sim_add_target_event(
        sim, SIM_TASK_CRASH,
        sim->now_ms + (after_ms != 0 ? after_ms : CRASH_AFTER_MS), target);
    crash->task = order->task;
    crash->run_number = order->run_number;
}

/* Whether a run is one of those that take much longer than usual. */
static bool
is_in_tail(const struct sim *sim, const struct sim_run *run)
{
    const struct replay_queue *queue = run->job->queue;
    uint32_t run_number = queue->tail_of_task ? 0 : run->run_number;

    return replay_hash(sim->seed + 3, run->job->id ^ run_number,
                       run->task.step * 65536u + run->task.index) %
               1000 <
           queue->tail_permille;
}

/* Run time from scratch on a target as fast as it is now. */
static uint64_t
total_run_ms(struct sim *sim, const struct sim_target *target,
             struct sim_run *run)
{
    uint32_t base_ms = replay_run_ms(run->job, &run->task, sim->seed);
    uint64_t ms = base_ms;

    if (base_ms == UINT32_MAX) {
        return UINT32_MAX;
    }
    ms = ms * 100 / target->speed_percent;
    if (is_in_tail(sim, run)) {
        ms = ms * run->job->queue->tail_factor_percent / 100;
    }
    if (sim->now_ms < target->slow_until_ms) {
        ms = ms * target->slow_percent / 100;
    }
    return ms;
}

/* Carries out a start order and returns the target's answer. */
static enum order_answer
handle_start(struct sim *sim, struct sim_target *target,
             const struct sim_event *order)
{
    struct sim_job *job = g_hash_table_lookup(sim->jobs, &order->task.job_id);
    char task_text[FLEET_TASK_ID_TEXT_BYTES];
    struct sim_run *run;
    struct sim_event *end;

    fleet_task_id_text(&order->task, task_text, sizeof(task_text));
    if (find_run(target, &order->task, order->run_number) != NULL) {
        return ORDER_DONE;
    }
    if (order->run_number <= GPOINTER_TO_UINT(g_hash_table_lookup(
                                 target->highest_stale_run, task_text))) {
        return ORDER_STALE_RUN;
    }
    run = g_new0(struct sim_run, 1);
    run->task = order->task;
    run->run_number = order->run_number;
    run->job = job;
    run->started_ms = sim->now_ms;
    run->resumed_ms = strtoull(order->checkpoint, NULL, 10);
    g_ptr_array_add(target->runs, run);
    check_start(sim, target, run, task_text);
    if (is_crashing_task(job, &order->task)) {
        plan_task_crash(sim, target, job, order, task_text);
    }
    job->first_start_ms =
        job->first_start_ms != 0 ? job->first_start_ms : sim->now_ms;
    run->total_ms = total_run_ms(sim, target, run);
    run->fails = sim->now_ms < target->failing_until_ms ||
                 replay_hash(sim->seed + 1, job->id ^ order->run_number,
                             order->task.step * 65536u + order->task.index) %
                         1000 <
                     job->queue->failures_permille;
    if (run->fails) { /* after 200 to 599 ms */
        run->total_ms =
            run->resumed_ms + 200 +
            replay_hash(sim->seed, job->id, order->run_number) % 400;
    }
    if (run->total_ms != UINT32_MAX) {
        run->end_ms = sim->now_ms + (run->total_ms > run->resumed_ms
                                         ? run->total_ms - run->resumed_ms
                                         : 1);
        end = sim_add_target_event(sim, SIM_RUN_END, run->end_ms, target);
        end->task = run->task;
        end->run_number = run->run_number;
    }
    return ORDER_DONE;
}

/* Carries out a stop order and returns the target's answer, which is sent
 * before the run has stopped. */
static enum order_answer
handle_stop(struct sim *sim, struct sim_target *target,
            const struct sim_event *order)
{
    struct sim_run *run = find_run(target, &order->task, order->run_number);
    char task_text[FLEET_TASK_ID_TEXT_BYTES];
    struct sim_event *event;

    fleet_task_id_text(&order->task, task_text, sizeof(task_text));
    if (order->run_number > GPOINTER_TO_UINT(g_hash_table_lookup(
                                target->highest_stale_run, task_text))) {
        g_hash_table_insert(target->highest_stale_run, g_strdup(task_text),
                            GUINT_TO_POINTER(order->run_number));
    }
    if (run != NULL && !run->stopping) {
        run->stopping = true;
        event = sim_add_target_event(sim, SIM_STOP_END,
                                     sim->now_ms + sim->load->stop_ms, target);
        event->task = run->task;
        event->run_number = run->run_number;
    }
    return ORDER_DONE;
}

static void
answer_order(struct sim *sim, const struct sim_event *order,
             enum order_answer answer, uint64_t after_ms)
{
    struct sim_event *reply = sim_add_target_event(
        sim,
        order->kind == SIM_START_ARRIVAL ? SIM_START_ANSWER : SIM_STOP_ANSWER,
        sim->now_ms + after_ms, order->target);

    reply->term = order->term;
    reply->born_ms = order->born_ms;
    reply->task = order->task;
    reply->run_number = order->run_number;
    reply->answer = answer;
}

/* An order reaches the incarnation that is up when it arrives. But an order
 * without an answer was received at once and is carried out late: it is lost
 * if the target has restarted since. */
void
sim_on_order(struct sim *sim, struct sim_event *order)
{
    struct sim_target *target = order->target;
    enum order_answer answer;
    bool cut = sim->now_ms < target->cut_until_ms;

    if (!target->up || (cut && !target->cut_answers_only)) {
        if (!order->unanswered) {
            answer_order(sim, order, ORDER_UNKNOWN, SIM_ORDER_TIMEOUT_MS);
        }
        return;
    }
    if (order->unanswered && order->born_ms != target->rec.born_ms) {
        return;
    }
    if (order->term < target->fence) {
        return; /* fenced: the target has seen a newer leader */
    }
    target->fence = order->term;
    answer = order->kind == SIM_START_ARRIVAL
                 ? handle_start(sim, target, order)
                 : handle_stop(sim, target, order);
    target->lease_until_ms = sim->now_ms + sim->load->lease_ms;
    if (!order->unanswered) {
        answer_order(sim, order, cut ? ORDER_UNKNOWN : answer,
                     cut ? SIM_ORDER_TIMEOUT_MS : SIM_NETWORK_DELAY_MS);
    }
}

void
sim_watch_lease(struct sim *sim, struct sim_target *target)
{
    sim_add_target_event(sim, SIM_LEASE_CHECK,
                         MAX(target->lease_until_ms, sim->now_ms) + 1, target);
}

void
sim_cut_link(struct sim *sim, struct sim_target *target)
{
    sim_watch_lease(sim, target);
    sim_add_target_event(sim, SIM_TARGET_ANNOUNCEMENT,
                         target->cut_until_ms + ANNOUNCEMENT_DELAY_MS, target);
}

void
sim_on_lease_check(struct sim *sim, struct sim_target *target)
{
    if (sim->now_ms <= target->lease_until_ms) {
        if (sim->now_ms <
            MAX(target->cut_until_ms, sim->slow_leader_until_ms)) {
            sim_watch_lease(sim, target);
        }
        return;
    }
    while (target->runs->len > 0) {
        end_run(sim, target, target->runs->pdata[target->runs->len - 1],
                RUN_LAPSED);
    }
}

void
sim_crash_target(struct sim *sim, struct sim_target *target)
{
    if (!target->up) {
        return;
    }
    target->up = false;
    target->hold_in_flight = false;
    for (guint i = 0; i < target->runs->len; i++) {
        count_waste(sim, target->runs->pdata[i], 0);
    }
    g_ptr_array_set_size(target->runs, 0);
    g_array_set_size(target->unacked_ends, 0);
    g_hash_table_remove_all(target->highest_stale_run);
    sim_add_target_event(sim, SIM_CRASH_DETECTION,
                         sim->now_ms + SIM_CLOSE_DETECTION_MS, target);
    sim_add_target_event(sim, SIM_TARGET_LOSS,
                         sim->now_ms + sim->load->lease_ms, target);
}

void
sim_on_task_crash(struct sim *sim, struct sim_event *event)
{
    struct sim_target *target = event->target;
    const struct sim_run *run =
        find_run(target, &event->task, event->run_number);
    struct sim_job *job;

    if (run == NULL || target->rec.born_ms != event->born_ms) {
        return;
    }
    job = g_hash_table_lookup(sim->jobs, &event->task.job_id);
    g_array_append_val(job->crash_times, sim->now_ms);
    sim->result->crashed_targets++;
    for (guint i = 0; i < target->runs->len; i++) {
        const struct sim_run *other = target->runs->pdata[i];

        sim->result->crash_neighbours += other->job != job;
    }
    sim_crash_target(sim, target);
    sim_add_target_event(sim, SIM_TARGET_RESTART, sim->now_ms + CRASH_DOWN_MS,
                         target);
}

/* A copy of the last announcement was held up, and arrives after the next. */
static void
hold_up_announcement(struct sim *sim, struct sim_target *target)
{
    const uint32_t delay_ms =
        replay_hash(sim->seed + 3, sim->now_ms, g_str_hash(target->id)) %
        LATE_ANNOUNCEMENT_MAX_MS;

    sim_add_target_event(sim, SIM_LATE_ANNOUNCEMENT,
                         sim->now_ms + ANNOUNCEMENT_INTERVAL_MS + delay_ms,
                         target)
        ->late_rec = g_memdup2(&target->rec, sizeof(target->rec));
    target->rec.sequence++;
}

void
sim_set_capacity(struct sim *sim, struct sim_target *target, uint32_t percent)
{
    struct fleet_target_rec *rec = &target->rec;
    const struct fleet_resources old = enforced_capacity(sim, target);

    hold_up_announcement(sim, target);

    rec->cpu_milli = (uint32_t)(target->nominal.cpu_milli * percent / 100);
    rec->memory_mb = (uint32_t)(target->nominal.memory_mb * percent / 100);
    rec->accel = (uint32_t)(target->nominal.accel * percent / 100);
    target->checked_capacity = (struct fleet_resources){
        MAX(old.cpu_milli, rec->cpu_milli), MAX(old.memory_mb, rec->memory_mb),
        MAX(old.accel, rec->accel)};
    target->checked_until_ms =
        sim->now_ms + ANNOUNCEMENT_INTERVAL_MS + CAPACITY_GRACE_MS;
    sim_add_target_event(
        sim, SIM_CAPACITY_CHANGE,
        sim->now_ms + 1 +
            replay_hash(sim->seed, sim->now_ms, g_str_hash(target->id)) %
                ANNOUNCEMENT_INTERVAL_MS,
        target);
}

void
sim_announce_capacity(struct sim *sim, struct sim_event *event)
{
    struct sim_target *target = event->target;

    if (!target->up || target->removed ||
        target->rec.born_ms != event->born_ms) {
        return;
    }
    if (event->late_rec == NULL &&
        (sim->plan == NULL || sim->now_ms < target->cut_until_ms)) {
        sim_add_target_event(sim, SIM_CAPACITY_CHANGE,
                             sim->now_ms + ANNOUNCEMENT_INTERVAL_MS, target);
        return;
    }
    if (event->late_rec == NULL && !event->is_late &&
        sim->now_ms < sim->slow_leader_until_ms) {
        sim_add_target_event(sim, SIM_CAPACITY_CHANGE,
                             sim->now_ms + sim->leader_delay_ms, target)
            ->is_late = true;
        return;
    }
    sim_apply(sim, &FLEET_TARGET_SCHEMA,
              event->late_rec != NULL ? event->late_rec : &target->rec);
}

void
sim_boot_target(struct sim *sim, struct sim_target *target)
{
    target->up = true;
    target->fence = 0;
    target->last_end_number = 0;
    target->rec.born_ms = SIM_WALL_START_MS + sim->now_ms;
    target->slow_until_ms = 0;
    target->failing_until_ms = 0;
    sim_apply(sim, &FLEET_TARGET_SCHEMA, &target->rec);
}

void
sim_on_run_end(struct sim *sim, struct sim_event *event)
{
    struct sim_target *target = event->target;
    struct sim_run *run = find_run(target, &event->task, event->run_number);
    bool stopped = event->kind == SIM_STOP_END;
    enum run_outcome outcome;

    if (run == NULL || target->rec.born_ms != event->born_ms) {
        return;
    }
    outcome = stopped ? RUN_STOPPED : run->fails ? RUN_FAILED : RUN_DONE;
    if (sim_step_of(run->job, &run->task)->gang) {
        end_run(sim, target, run, outcome);
        end_gang(sim, &event->task, event->run_number,
                 outcome == RUN_DONE ? RUN_DONE : RUN_BROKEN);
    }
    else {
        end_run(sim, target, run, outcome);
    }
}

void
sim_free_target(void *item)
{
    struct sim_target *target = item;

    g_ptr_array_free(target->runs, TRUE);
    g_hash_table_destroy(target->highest_stale_run);
    g_array_free(target->unacked_ends, TRUE);
    g_free(target);
}
