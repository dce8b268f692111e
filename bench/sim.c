/* sim.c -- simulation of a load: event queue, faults, main loop */
#include <inttypes.h>
#include <string.h>

#include "bench/simpriv.h"
#include "node/clock.h"

#define SAMPLE_INTERVAL_MS 2000u /* between samples of lasting jobs */

/* ---- event queue -------------------------------------------------------- */

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer ctx)
{
    const struct sim_event *x = a;
    const struct sim_event *y = b;

    (void)ctx;
    if (x->at_ms != y->at_ms) {
        return x->at_ms < y->at_ms ? -1 : 1;
    }
    return x->sequence < y->sequence ? -1 : 1;
}

struct sim_event *
sim_add_event(struct sim *sim, enum sim_event_kind kind, uint64_t at_ms)
{
    struct sim_event *event = g_new0(struct sim_event, 1);

    event->kind = kind;
    event->at_ms = at_ms;
    event->sequence = sim->next_sequence++;
    g_sequence_insert_sorted(sim->events, event, compare_events, NULL);
    return event;
}

struct sim_event *
sim_add_target_event(struct sim *sim, enum sim_event_kind kind, uint64_t at_ms,
                     struct sim_target *target)
{
    struct sim_event *event = sim_add_event(sim, kind, at_ms);

    event->target = target;
    event->term = sim->term;
    event->born_ms = target->rec.born_ms;
    return event;
}

static void
free_event(struct sim_event *event)
{
    if (event->listed_runs != NULL) {
        g_array_free(event->listed_runs, TRUE);
        g_array_free(event->listed_ends, TRUE);
    }
    if (event->tickets != NULL) {
        g_array_free(event->tickets, TRUE);
    }
    g_free(event->ends.items);
    g_free(event->late_rec);
    g_free(event);
}

/* ---- changes and breaches ----------------------------------------------- */

void
sim_apply(struct sim *sim, const struct fp_schema *schema, void *record)
{
    struct change_answer answer = {.err = FP_OK};
    struct fp_blob blob;

    ((struct change_head *)record)->at_ms = SIM_WALL_START_MS + sim->now_ms;
    fp_encode(schema, record, &blob);
    fleet_apply(sim->fleet, blob.data, blob.size_bytes, &answer);
    fp_blob_free(&blob);
}

void
sim_count_breach(struct sim *sim, uint32_t *count, const char *description,
                 const char *task, const char *place)
{
    if (sim->result->breaches.first[0] == '\0') {
        g_snprintf(sim->result->breaches.first,
                   sizeof(sim->result->breaches.first),
                   "%" PRIu64 " ms: %s %s on %s", sim->now_ms, task,
                   description, place);
    }
    (*count)++;
}

/* ---- configuration and targets ------------------------------------------ */

static void
apply_config(struct sim *sim)
{
    struct fleet_config config = {.version = 1};

    for (uint32_t i = 0; i < sim->load->queues_count; i++) {
        const struct replay_queue *load_queue = &sim->load->queues[i];
        struct fleet_queue_conf *queue =
            fp_list_add(&config.queues, sizeof(*queue));

        g_strlcpy(queue->name, load_queue->name, sizeof(queue->name));
        g_strlcpy(queue->host, SIM_HOST, sizeof(queue->host));
        g_snprintf(queue->prefix, sizeof(queue->prefix), "/%s/",
                   load_queue->name);
        g_strlcpy(queue->service, load_queue->service, sizeof(queue->service));
        queue->priority = load_queue->priority;
        queue->objective_ms = load_queue->objective_ms;
        queue->stretch_permille = load_queue->stretch_permille;
        queue->max_attempts = load_queue->max_attempts;
        queue->advised = load_queue->advice_us > 0;
        queue->advice_us = load_queue->advice_us;
        queue->advice_each_us = load_queue->advice_each_us;
        queue->ticket_ms = load_queue->ticket_ms;
    }
    for (uint32_t i = 0; i < sim->load->services_count; i++) {
        struct fleet_service_conf *service =
            fp_list_add(&config.services, sizeof(*service));

        g_strlcpy(service->name, sim->load->services[i].name,
                  sizeof(service->name));
    }
    for (uint32_t i = 0; i < sim->load->teams_count; i++) {
        const struct replay_team *load_team = &sim->load->teams[i];
        struct fleet_team_conf *team =
            fp_list_add(&config.teams, sizeof(*team));
        struct fleet_key_conf *key =
            fp_list_add(&team->keys, sizeof(struct fleet_key_conf));

        g_strlcpy(team->name, load_team->name, sizeof(team->name));
        g_strlcpy(key->key, load_team->name, sizeof(key->key));
        team->weight = load_team->weight;
        team->limit_cpu_milli = load_team->limit_cpu_milli;
        team->limit_accel = load_team->limit_accel;
    }
    sim_apply(sim, &FLEET_CONFIG_SCHEMA, &config);
    fp_record_free(&FLEET_CONFIG_SCHEMA, &config);
}

static void
add_target(struct sim *sim, const struct replay_service *service,
           uint32_t index)
{
    struct sim_target *target = g_new0(struct sim_target, 1);
    struct fleet_target_rec *rec = &target->rec;
    uint32_t draw = replay_hash(sim->seed, g_str_hash(service->name), index);
    uint32_t size =
        service->sizes_percent[draw % service->sizes_percent_count];

    g_snprintf(target->id, sizeof(target->id), "%s-%u", service->name, index);
    g_strlcpy(rec->id, target->id, sizeof(rec->id));
    g_strlcpy(rec->address, target->id, sizeof(rec->address));
    g_strlcpy(rec->service, service->name, sizeof(rec->service));
    g_snprintf(rec->rack, sizeof(rec->rack), "%s-r%u", service->name,
               index / service->rack);
    g_strlcpy(rec->labels, rec->rack, sizeof(rec->labels));
    target->data_centre = index % SIM_DATA_CENTRES;
    g_snprintf(rec->data_centre, sizeof(rec->data_centre), "dc-%u",
               target->data_centre);
    rec->cpu_milli = service->cpu_milli * size / 100;
    rec->memory_mb = service->memory_mb * size / 100;
    rec->accel = service->accel;
    target->nominal =
        (struct fleet_resources){rec->cpu_milli, rec->memory_mb, rec->accel};
    target->speed_percent =
        service->speeds_percent[draw / 64 % service->speeds_percent_count];
    target->runs = g_ptr_array_new_with_free_func(g_free);
    target->highest_stale_run =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    target->unacked_ends =
        g_array_new(FALSE, FALSE, sizeof(struct sim_unacked_end));
    g_ptr_array_add(sim->targets, target);
    sim_boot_target(sim, target);
}

/* ---- events of the load ------------------------------------------------- */

static void
apply_to_targets(struct sim *sim, const struct replay_event *load_event)
{
    for (guint i = 0; i < sim->targets->len; i++) {
        struct sim_target *target = sim->targets->pdata[i];
        uint64_t until_ms = sim->now_ms + load_event->for_ms;

        if ((load_event->on != NULL &&
             strcmp(load_event->on, target->rec.service) != 0) ||
            (uint32_t)g_rand_int_range(sim->rand, 0, 1000) >=
                load_event->share_permille) {
            continue;
        }
        if (load_event->kind == REPLAY_SLOW) {
            target->slow_until_ms = until_ms;
            target->slow_percent = load_event->factor_percent;
        }
        else if (load_event->kind == REPLAY_CAPACITY) {
            sim_set_capacity(sim, target, load_event->factor_percent);
        }
        else if (load_event->kind == REPLAY_FAILING) {
            target->failing_until_ms = until_ms;
        }
        else if (load_event->kind == REPLAY_CUT) {
            target->cut_until_ms = until_ms;
            target->cut_answers_only = load_event->factor_percent >= 100;
            sim_cut_link(sim, target);
        }
        else if (load_event->kind == REPLAY_LEAVING) {
            target->rec.leaving = true;
            target->rec.stays_ms = load_event->for_ms;
            sim_apply(sim, &FLEET_TARGET_SCHEMA, &target->rec);
            sim_add_target_event(sim, SIM_TARGET_DEPARTURE, until_ms, target);
        }
        else {
            sim_crash_target(sim, target);
            if (load_event->kind == REPLAY_CRASH) {
                sim_add_target_event(sim, SIM_TARGET_RESTART, until_ms,
                                     target);
            }
        }
    }
}

/* Without a leader the operator's call has no answer and is sent again. */
static void
order_evacuation(struct sim *sim, const struct sim_event *event)
{
    const char *on = event->load_event->on;

    if (sim->plan == NULL) {
        struct sim_event *retry =
            sim_add_event(sim, SIM_EVACUATION, sim->now_ms + SIM_DETECTION_MS);

        retry->load_event = event->load_event;
        retry->withdrawn = event->withdrawn;
        return;
    }
    for (uint32_t i = 0; i < SIM_DATA_CENTRES; i++) {
        struct fleet_evacuation order = {.withdrawn = event->withdrawn};

        g_snprintf(order.data_centre, sizeof(order.data_centre), "dc-%u", i);
        if (on == NULL || strcmp(on, order.data_centre) == 0) {
            sim_apply(sim, &FLEET_EVACUATION_SCHEMA, &order);
            sim->evacuated[i] = !event->withdrawn;
        }
    }
}

static void
add_evacuation(struct sim *sim, const struct replay_event *load_event)
{
    struct sim_event *event =
        sim_add_event(sim, SIM_EVACUATION, sim->now_ms + load_event->for_ms);

    event->load_event = load_event;
    event->withdrawn = true;
    order_evacuation(sim, &(struct sim_event){.load_event = load_event});
}

static void
on_load_event(struct sim *sim, const struct replay_event *load_event)
{
    switch (load_event->kind) {
    case REPLAY_BURST:
    case REPLAY_TEAM_BURST:
        return; /* applied when the jobs were generated */
    case REPLAY_LOSSY:
        sim->lossy_until_ms = sim->now_ms + load_event->for_ms;
        sim->lossy_permille = load_event->share_permille;
        return;
    case REPLAY_SLOW_LEADER:
        sim->slow_leader_until_ms = sim->now_ms + load_event->for_ms;
        sim->leader_delay_ms = MAX(load_event->factor_percent / 100, 1);
        for (guint i = 0; i < sim->targets->len; i++) {
            sim_watch_lease(sim, sim->targets->pdata[i]);
        }
        return;
    case REPLAY_EVACUATED:
        add_evacuation(sim, load_event);
        return;
    case REPLAY_NO_LEADER:
        sim_end_term(sim);
        sim_add_event(sim, SIM_TERM_START, sim->now_ms + load_event->for_ms);
        return;
    default:
        apply_to_targets(sim, load_event);
    }
}

/* Counts the tasks of lasting jobs, and which of them run. A new job is
 * counted from SAMPLE_INTERVAL_MS after its arrival. */
static void
sample_lasting_jobs(struct sim *sim)
{
    GHashTableIter iter;
    struct sim_job *job;

    g_hash_table_iter_init(&iter, sim->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        if (job->queue->lasting && job->ended_ms == 0 &&
            sim->now_ms >= job->arrived_ms + SAMPLE_INTERVAL_MS) {
            job->task_samples +=
                sim_step_of(job, &(struct fleet_task_id){0})->count;
        }
    }
    for (guint t = 0; t < sim->targets->len; t++) {
        const struct sim_target *target = sim->targets->pdata[t];

        for (guint i = 0; i < target->runs->len; i++) {
            const struct sim_run *run = target->runs->pdata[i];

            job = (struct sim_job *)run->job;
            if (job->queue->lasting && job->ended_ms == 0 &&
                sim->now_ms >= job->arrived_ms + SAMPLE_INTERVAL_MS) {
                job->running_samples++;
            }
        }
    }
    sim_add_event(sim, SIM_SAMPLE, sim->now_ms + SAMPLE_INTERVAL_MS);
}

/* ---- main loop ---------------------------------------------------------- */

static void
cancel_job(struct sim *sim, const struct sim_job *job)
{
    struct fleet_cancel change = {.id = job->id};

    sim_apply(sim, &FLEET_CANCEL_SCHEMA, &change);
}

static void
submit_job(struct sim *sim, struct sim_job *job)
{
    const struct fleet_team *team =
        g_hash_table_lookup(sim->fleet->teams, job->submit.team);

    fleet_decide_share(sim->fleet, &job->submit, team,
                       SIM_WALL_START_MS + sim->now_ms);
    sim_apply(sim, &FLEET_SUBMIT_SCHEMA, &job->submit);
}

static void
handle_event(struct sim *sim, struct sim_event *event)
{
    switch (event->kind) {
    case SIM_JOB_ARRIVAL:
    case SIM_JOB_CANCEL:
        if (sim->plan == NULL) {
            struct sim_event *retry = sim_add_event(
                sim, event->kind, sim->now_ms + SIM_DETECTION_MS);

            retry->job = event->job;
        }
        else if (event->kind == SIM_JOB_CANCEL) {
            cancel_job(sim, event->job);
        }
        else {
            submit_job(sim, event->job);
        }
        return;
    case SIM_START_ARRIVAL:
    case SIM_STOP_ARRIVAL:
        sim_on_order(sim, event);
        return;
    case SIM_RUN_END:
    case SIM_STOP_END:
        sim_on_run_end(sim, event);
        return;
    case SIM_LEASE_CHECK:
        if (event->target->up &&
            event->target->rec.born_ms == event->born_ms) {
            sim_on_lease_check(sim, event->target);
        }
        return;
    case SIM_TARGET_ANNOUNCEMENT:
        if (event->target->up && event->target->removed) {
            sim_apply(sim, &FLEET_TARGET_SCHEMA, &event->target->rec);
        }
        return;
    case SIM_TARGET_DEPARTURE:
        sim_crash_target(sim, event->target);
        return;
    case SIM_TARGET_RESTART:
        /* Two crashes may overlap. */
        if (!event->target->up) {
            sim_boot_target(sim, event->target);
        }
        return;
    case SIM_TASK_CRASH:
        sim_on_task_crash(sim, event);
        return;
    case SIM_CAPACITY_CHANGE:
    case SIM_LATE_ANNOUNCEMENT:
        sim_announce_capacity(sim, event);
        return;
    case SIM_LOAD_EVENT:
        on_load_event(sim, event->load_event);
        return;
    case SIM_EVACUATION:
        order_evacuation(sim, event);
        return;
    case SIM_TERM_START:
        sim_begin_term(sim);
        return;
    case SIM_SAMPLE:
        sample_lasting_jobs(sim);
        return;
    default:
        sim_on_leader_event(sim, event);
    }
}

static void
run_scheduling_pass(struct sim *sim)
{
    uint64_t passes;
    uint64_t started_us;
    double duration_us;

    if (sim->plan == NULL ||
        (sim->now_ms < sim->slow_leader_until_ms &&
         sim->now_ms % MAX(sim->leader_delay_ms / 4, 1) != 0)) {
        return;
    }
    passes = plan_counters(sim->plan)->passes;
    started_us = clock_mono_us();
    plan_pass(sim->plan, sim->now_ms, SIM_WALL_START_MS + sim->now_ms);
    if (plan_counters(sim->plan)->passes != passes) {
        duration_us = (double)(clock_mono_us() - started_us);
        g_array_append_val(sim->result->decision_us, duration_us);
    }
}

static void
run_until(struct sim *sim, uint64_t end_ms)
{
    while (sim->now_ms < end_ms) {
        GSequenceIter *first;

        sim->now_ms++;
        while (first = g_sequence_get_begin_iter(sim->events),
               !g_sequence_iter_is_end(first) &&
                   ((struct sim_event *)g_sequence_get(first))->at_ms <=
                       sim->now_ms) {
            struct sim_event *event = g_sequence_get(first);

            g_sequence_remove(first);
            handle_event(sim, event);
            free_event(event);
        }
        run_scheduling_pass(sim);
        if (sim->unfinished_jobs == 0 &&
            sim->now_ms > sim->load->seconds * 1000u) {
            return;
        }
    }
}

/* ---- setup and result --------------------------------------------------- */

static void
add_job_events(struct sim *sim)
{
    sim->jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
    sim->unfinished_jobs = sim->result->jobs->len;
    for (guint i = 0; i < sim->result->jobs->len; i++) {
        struct sim_job *job = sim->result->jobs->pdata[i];

        g_hash_table_insert(sim->jobs, &job->id, job);
        sim_add_event(sim, SIM_JOB_ARRIVAL, job->arrived_ms)->job = job;
        if (job->cancel_ms != 0) {
            sim_add_event(sim, SIM_JOB_CANCEL,
                          MIN(job->cancel_ms, sim->load->seconds * 1000u))
                ->job = job;
        }
    }
}

static void
set_up_simulation(struct sim *sim)
{
    const struct replay_load *load = sim->load;

    sim->fleet = fleet_new(UINT32_MAX);
    sim->fleet->ops = sim_fleet_ops(sim);
    sim->fleet->share_window_ms =
        sim->policy->by_share ? load->share_window_ms : 0;
    apply_config(sim);
    for (uint32_t s = 0; s < load->services_count; s++) {
        for (uint32_t i = 0; i < load->services[s].targets; i++) {
            add_target(sim, &load->services[s], i);
        }
    }
    for (uint32_t i = 0; i < load->events_count; i++) {
        sim_add_event(sim, SIM_LOAD_EVENT, MAX(load->events[i].at_ms, 1))
            ->load_event = &load->events[i];
    }
    sim_add_event(sim, SIM_SAMPLE, SAMPLE_INTERVAL_MS);
    add_job_events(sim);
}

/* Whether the limits of a team allow a task of a step, or a whole gang. */
static bool
fits_team_limit(const struct replay_team *team, const struct fleet_step *step)
{
    uint64_t count = step->gang ? step->count : 1;

    return (team->limit_cpu_milli == 0 ||
            count * step->cpu_milli <= team->limit_cpu_milli) &&
           (team->limit_accel == 0 ||
            count * step->accel <= team->limit_accel);
}

/* Whether the remaining targets, if empty, have capacity for each step of a
 * job. */
static bool
can_complete(const struct sim *sim, const struct sim_job *job)
{
    const struct fleet_step *steps = job->submit.steps.items;

    for (uint32_t s = 0; s < job->submit.steps.count; s++) {
        const struct fleet_step *step = &steps[s];
        uint32_t slots = 0;

        for (guint t = 0; t < sim->targets->len; t++) {
            const struct sim_target *target = sim->targets->pdata[t];
            const struct fleet_target_rec *rec = &target->rec;

            if (target->up && strcmp(rec->service, job->queue->service) == 0 &&
                sim_is_granted(sim, job, s, target->id)) {
                uint32_t target_slots = rec->cpu_milli / step->cpu_milli;

                target_slots =
                    MIN(target_slots, rec->memory_mb / step->memory_mb);
                slots += step->accel == 0
                             ? target_slots
                             : MIN(target_slots, rec->accel / step->accel);
            }
        }
        if (slots < (step->gang ? step->count : 1) ||
            !fits_team_limit(&sim->load->teams[job->team], step)) {
            return false;
        }
    }
    return true;
}

static void
count_stuck_jobs(struct sim *sim)
{
    for (guint i = 0; i < sim->result->jobs->len; i++) {
        const struct sim_job *job = sim->result->jobs->pdata[i];
        char id_text[32];

        if (job->ended_ms == 0 && !job->crashes && can_complete(sim, job)) {
            g_snprintf(id_text, sizeof(id_text), "%016" PRIx64, job->id);
            sim_count_breach(sim, &sim->result->breaches.stuck, "did not end",
                             id_text, job->queue->name);
        }
    }
}

struct sim_result *
sim_replay(const struct replay_load *load, const struct plan_policy *policy,
           uint32_t seed)
{
    struct sim sim = {.load = load, .policy = policy, .seed = seed, .term = 1};
    GSequenceIter *iter;

    sim.result = g_new0(struct sim_result, 1);
    sim.result->jobs = replay_generate_jobs(load, seed);
    sim.result->decision_us = g_array_new(FALSE, FALSE, sizeof(double));
    sim.rand = g_rand_new_with_seed(seed + 17);
    sim.events = g_sequence_new(NULL);
    sim.targets = g_ptr_array_new_with_free_func(sim_free_target);
    sim.done_tasks =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    set_up_simulation(&sim);
    sim_begin_term(&sim);
    run_until(&sim, (uint64_t)(load->seconds + load->drain_seconds) * 1000);
    count_stuck_jobs(&sim);
    sim_end_term(&sim);
    for (iter = g_sequence_get_begin_iter(sim.events);
         !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter)) {
        free_event(g_sequence_get(iter));
    }
    g_sequence_free(sim.events);
    g_ptr_array_free(sim.targets, TRUE);
    g_hash_table_destroy(sim.jobs);
    g_hash_table_destroy(sim.done_tasks);
    g_rand_free(sim.rand);
    fleet_free(sim.fleet);
    return sim.result;
}

void
sim_result_free(struct sim_result *result)
{
    g_ptr_array_free(result->jobs, TRUE);
    g_array_free(result->decision_us, TRUE);
    g_free(result);
}
