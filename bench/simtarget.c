/* simtarget.c -- targets of the replay: what runs on them, orders, ends */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "bench/simpriv.h"

#define ANNOUNCE_MS 700u /* a target that can be reached again says so */

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
         uint32_t number)
{
    for (guint i = 0; i < target->runs->len; i++) {
        struct sim_run *run = target->runs->pdata[i];

        if (run->run == number && run->task.job_id == task->job_id &&
            run->task.step == task->step && run->task.index == task->index) {
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
used_on(const struct sim_target *target)
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

/* A hold that is out is answered when there is an end to list. */
void
sim_answer_hold(struct sim *sim, struct sim_target *target)
{
    if (target->asked && target->ended->len > 0) {
        target->asked = false;
        sim_add_target_event(sim, SIM_LISTS, sim->now_ms + SIM_WAY_MS, target);
    }
}

static void
waste(struct sim *sim, const struct sim_run *run, uint64_t kept_ms)
{
    uint64_t worked_ms = sim->now_ms - run->began_ms;

    if (worked_ms > kept_ms && !run->job->queue->lasting) {
        sim->result->wasted_milli_s +=
            sim_step_of(run->job, &run->task)->cpu_milli *
            (worked_ms - kept_ms) / 1000;
    }
}

static void
end_run(struct sim *sim, struct sim_target *target, struct sim_run *run,
        enum run_outcome outcome)
{
    struct sim_ended ended = {.number = ++target->next_number};
    const struct fleet_step *step = sim_step_of(run->job, &run->task);
    char text[FLEET_TASK_ID_TEXT_BYTES];
    uint64_t done_ms = run->saved_ms + sim->now_ms - run->began_ms;

    fleet_task_id_text(&run->task, text, sizeof(text));
    ended.end.task = run->task;
    ended.end.run = run->run;
    ended.end.outcome = outcome;
    if (outcome == RUN_STOPPED && step->checkpoints) {
        g_snprintf(ended.end.checkpoint, sizeof(ended.end.checkpoint),
                   "%" PRIu64, done_ms);
    }
    if (outcome != RUN_DONE) {
        waste(sim, run,
              outcome == RUN_STOPPED && step->checkpoints ? UINT32_MAX : 0);
    }
    g_array_append_val(target->ended, ended);
    g_hash_table_insert(target->highest, g_strdup(text),
                        GUINT_TO_POINTER(run->run));
    g_ptr_array_remove_fast(target->runs, run);
    sim_answer_hold(sim, target);
}

/* A task of a gang ends for all of them. */
static void
end_gang(struct sim *sim, const struct fleet_task_id *task, uint32_t number,
         enum run_outcome outcome)
{
    for (guint t = 0; t < sim->targets->len; t++) {
        struct sim_target *target = sim->targets->pdata[t];

        for (guint i = target->runs->len; i > 0; i--) {
            struct sim_run *run = target->runs->pdata[i - 1];

            if (run->task.job_id == task->job_id &&
                run->task.step == task->step && run->run == number) {
                end_run(sim, target, run, outcome);
            }
        }
    }
}

static void
check_start(struct sim *sim, const struct sim_target *on,
            const struct sim_run *run, const char *text)
{
    struct sim_breaches *breaches = &sim->result->breaches;
    const struct fleet_step *step = sim_step_of(run->job, &run->task);
    const struct replay_team *team = &sim->load->teams[run->job->team];
    struct fleet_resources used = used_on(on);
    uint64_t team_cpu = 0;
    uint32_t running = 0;

    if (used.cpu_milli > on->rec.cpu_milli ||
        used.memory_mb > on->rec.memory_mb || used.accel > on->rec.accel) {
        sim_breach(sim, &breaches->over_size, "goes over the size", text,
                   on->id);
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
        (running > 1 || g_hash_table_contains(sim->over, text))) {
        sim_breach(sim, &breaches->doubled, "runs twice", text, on->id);
    }
    if (team->limit_cpu_milli != 0 &&
        team_cpu > team->limit_cpu_milli * 1.1 + step->cpu_milli) {
        sim_breach(sim, &breaches->over_cap, "passes its team's cap", text,
                   on->id);
    }
}

static uint64_t
run_ms(struct sim *sim, const struct sim_target *target, struct sim_run *run)
{
    uint32_t work_ms = replay_work_ms(run->job, &run->task, sim->seed);
    uint64_t ms = work_ms;

    if (work_ms == UINT32_MAX) {
        return UINT32_MAX;
    }
    ms = ms * 100 / target->speed_percent;
    if (sim->now_ms < target->slow_until_ms) {
        ms = ms * target->slow_percent / 100;
    }
    return ms;
}

/* Carries out a start; the answer is what the target says of it. */
static enum order_answer
take_start(struct sim *sim, struct sim_target *target,
           const struct sim_event *order)
{
    struct sim_job *job = g_hash_table_lookup(sim->jobs, &order->task.job_id);
    char text[FLEET_TASK_ID_TEXT_BYTES];
    struct sim_run *run;
    struct sim_event *end;

    fleet_task_id_text(&order->task, text, sizeof(text));
    if (find_run(target, &order->task, order->run) != NULL) {
        return ORDER_DONE;
    }
    if (order->run <=
        GPOINTER_TO_UINT(g_hash_table_lookup(target->highest, text))) {
        return ORDER_STALE_RUN;
    }
    run = g_new0(struct sim_run, 1);
    run->task = order->task;
    run->run = order->run;
    run->job = job;
    run->began_ms = sim->now_ms;
    run->saved_ms = strtoull(order->checkpoint, NULL, 10);
    g_ptr_array_add(target->runs, run);
    check_start(sim, target, run, text);
    job->began_ms = job->began_ms != 0 ? job->began_ms : sim->now_ms;
    run->whole_ms = run_ms(sim, target, run);
    run->fails = sim->now_ms < target->fails_until_ms ||
                 replay_draw(sim->seed + 1, job->id ^ order->run,
                             order->task.step * 65536u + order->task.index) %
                         1000 <
                     job->queue->failures_permille;
    if (run->fails) {
        run->whole_ms = run->saved_ms + 200 +
                        replay_draw(sim->seed, job->id, order->run) % 400;
    }
    if (run->whole_ms != UINT32_MAX) {
        run->ends_ms = sim->now_ms + (run->whole_ms > run->saved_ms
                                          ? run->whole_ms - run->saved_ms
                                          : 1);
        end = sim_add_target_event(sim, SIM_ENDS, run->ends_ms, target);
        end->task = run->task;
        end->run = run->run;
    }
    return ORDER_DONE;
}

static enum order_answer
take_stop(struct sim *sim, struct sim_target *target,
          const struct sim_event *order)
{
    struct sim_run *run = find_run(target, &order->task, order->run);
    char text[FLEET_TASK_ID_TEXT_BYTES];
    struct sim_event *event;

    fleet_task_id_text(&order->task, text, sizeof(text));
    if (order->run >
        GPOINTER_TO_UINT(g_hash_table_lookup(target->highest, text))) {
        g_hash_table_insert(target->highest, g_strdup(text),
                            GUINT_TO_POINTER(order->run));
    }
    if (run != NULL && !run->stopping) {
        run->stopping = true;
        event = sim_add_target_event(sim, SIM_STOPPED,
                                     sim->now_ms + sim->load->stop_ms, target);
        event->task = run->task;
        event->run = run->run;
    }
    return ORDER_DONE;
}

static void
answer_order(struct sim *sim, const struct sim_event *order,
             enum order_answer answer, uint64_t after_ms)
{
    struct sim_event *reply = sim_add_target_event(
        sim, order->kind == SIM_STARTS ? SIM_STARTED : SIM_STOP_TOLD,
        sim->now_ms + after_ms, order->target);

    reply->term = order->term;
    reply->born = order->born;
    reply->task = order->task;
    reply->run = order->run;
    reply->answer = answer;
}

/* An order arrives: at whatever incarnation listens by then, unless its target
 * had taken it and held it back. */
void
sim_on_order(struct sim *sim, struct sim_event *order)
{
    struct sim_target *target = order->target;
    enum order_answer answer;
    bool cut = sim->now_ms < target->cut_until_ms;

    if (!target->up || (cut && !target->cut_answers_only)) {
        if (!order->silent) {
            answer_order(sim, order, ORDER_UNKNOWN, SIM_UNANSWERED_MS);
        }
        return;
    }
    if (order->silent && order->born != target->rec.born_ms) {
        return; /* it died with the process that held it back */
    }
    if (order->term < target->fence) {
        return; /* its sender does not lead any more */
    }
    target->fence = order->term;
    answer = order->kind == SIM_STARTS ? take_start(sim, target, order)
                                       : take_stop(sim, target, order);
    target->lease_until_ms = sim->now_ms + sim->load->lease_ms;
    if (!order->silent) {
        answer_order(sim, order, cut ? ORDER_UNKNOWN : answer,
                     cut ? SIM_UNANSWERED_MS : SIM_WAY_MS);
    }
}

void
sim_cut(struct sim *sim, struct sim_target *target)
{
    sim_add_target_event(sim, SIM_LAPSES,
                         MAX(target->lease_until_ms, sim->now_ms) + 1, target);
    sim_add_target_event(sim, SIM_ANNOUNCES,
                         target->cut_until_ms + ANNOUNCE_MS, target);
}

void
sim_on_lapse(struct sim *sim, struct sim_target *target)
{
    if (sim->now_ms <= target->lease_until_ms) {
        if (sim->now_ms < target->cut_until_ms) {
            sim_add_target_event(sim, SIM_LAPSES, target->lease_until_ms + 1,
                                 target);
        }
        return;
    }
    while (target->runs->len > 0) {
        end_run(sim, target, target->runs->pdata[target->runs->len - 1],
                RUN_LAPSED);
    }
}

void
sim_crash(struct sim *sim, struct sim_target *target)
{
    if (!target->up) {
        return;
    }
    target->up = false;
    target->asked = false;
    for (guint i = 0; i < target->runs->len; i++) {
        waste(sim, target->runs->pdata[i], 0);
    }
    g_ptr_array_set_size(target->runs, 0);
    g_array_set_size(target->ended, 0);
    g_hash_table_remove_all(target->highest);
    sim_add_target_event(sim, SIM_SILENT, sim->now_ms + SIM_SILENT_MS, target);
    sim_add_target_event(sim, SIM_LOST, sim->now_ms + sim->load->lease_ms,
                         target);
}

void
sim_revive(struct sim *sim, struct sim_target *target)
{
    target->up = true;
    target->fence = 0;
    target->next_number = 0;
    target->rec.born_ms = SIM_WALL_START_MS + sim->now_ms;
    target->slow_until_ms = 0;
    target->fails_until_ms = 0;
    sim_apply(sim, &FLEET_TARGET_SCHEMA, &target->rec);
}

void
sim_on_over(struct sim *sim, struct sim_event *event)
{
    struct sim_target *target = event->target;
    struct sim_run *run = find_run(target, &event->task, event->run);
    bool stopped = event->kind == SIM_STOPPED;
    enum run_outcome outcome;

    if (run == NULL || target->rec.born_ms != event->born) {
        return;
    }
    outcome = stopped ? RUN_STOPPED : run->fails ? RUN_FAILED : RUN_DONE;
    if (sim_step_of(run->job, &run->task)->gang) {
        end_run(sim, target, run, outcome);
        end_gang(sim, &event->task, event->run,
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
    g_hash_table_destroy(target->highest);
    g_array_free(target->ended, TRUE);
    g_free(target);
}
