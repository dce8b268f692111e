/* sim.c -- the world of a replay: its events, its troubles, a whole play */
#include <inttypes.h>
#include <string.h>

#include "bench/simpriv.h"
#include "node/clock.h"

#define SAMPLE_MS 2000u /* between looks at lasting work */

/* ---- events ------------------------------------------------------------- */

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer ctx)
{
    const struct sim_event *x = a;
    const struct sim_event *y = b;

    (void)ctx;
    if (x->at_ms != y->at_ms) {
        return x->at_ms < y->at_ms ? -1 : 1;
    }
    return x->number < y->number ? -1 : 1;
}

struct sim_event *
sim_add_event(struct sim *sim, enum sim_event_kind kind, uint64_t at_ms)
{
    struct sim_event *event = g_new0(struct sim_event, 1);

    event->kind = kind;
    event->at_ms = at_ms;
    event->number = sim->next_event++;
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
    event->born = target->rec.born_ms;
    return event;
}

static void
free_event(struct sim_event *event)
{
    if (event->tickets != NULL) {
        g_array_free(event->tickets, TRUE);
    }
    g_free(event->ends.items);
    g_free(event);
}

/* ---- the log ------------------------------------------------------------ */

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
sim_breach(struct sim *sim, uint32_t *count, const char *what,
           const char *task, const char *where)
{
    if (sim->result->breaches.first[0] == '\0') {
        g_snprintf(
            sim->result->breaches.first, sizeof(sim->result->breaches.first),
            "%" PRIu64 " ms: %s %s on %s", sim->now_ms, task, what, where);
    }
    (*count)++;
}

/* ---- what is there -------------------------------------------------------
 */

static void
configure(struct sim *sim)
{
    struct fleet_config config = {.version = 1};

    for (uint32_t i = 0; i < sim->load->queues_count; i++) {
        const struct replay_queue *from = &sim->load->queues[i];
        struct fleet_queue_conf *queue =
            fp_list_add(&config.queues, sizeof(*queue));

        g_strlcpy(queue->name, from->name, sizeof(queue->name));
        g_strlcpy(queue->host, SIM_HOST, sizeof(queue->host));
        g_snprintf(queue->prefix, sizeof(queue->prefix), "/%s/", from->name);
        g_strlcpy(queue->service, from->service, sizeof(queue->service));
        queue->priority = from->priority;
        queue->objective_ms = from->objective_ms;
        queue->stretch_permille = from->stretch_permille;
        queue->max_attempts = from->max_attempts;
        queue->advised = from->advice_us > 0;
        queue->advice_us = from->advice_us;
        queue->advice_each_us = from->advice_each_us;
        queue->ticket_ms = from->ticket_ms;
    }
    for (uint32_t i = 0; i < sim->load->services_count; i++) {
        struct fleet_service_conf *service =
            fp_list_add(&config.services, sizeof(*service));

        g_strlcpy(service->name, sim->load->services[i].name,
                  sizeof(service->name));
    }
    for (uint32_t i = 0; i < sim->load->teams_count; i++) {
        const struct replay_team *from = &sim->load->teams[i];
        struct fleet_team_conf *team =
            fp_list_add(&config.teams, sizeof(*team));
        struct fleet_key_conf *key =
            fp_list_add(&team->keys, sizeof(struct fleet_key_conf));

        g_strlcpy(team->name, from->name, sizeof(team->name));
        g_strlcpy(key->key, from->name, sizeof(key->key));
        team->weight = from->weight;
        team->limit_cpu_milli = from->limit_cpu_milli;
        team->limit_accel = from->limit_accel;
    }
    sim_apply(sim, &FLEET_CONFIG_SCHEMA, &config);
    fp_record_free(&FLEET_CONFIG_SCHEMA, &config);
}

static void
add_target(struct sim *sim, const struct replay_service *service,
           uint32_t number)
{
    struct sim_target *target = g_new0(struct sim_target, 1);
    struct fleet_target_rec *rec = &target->rec;
    uint32_t draw = replay_draw(sim->seed, g_str_hash(service->name), number);
    uint32_t size =
        service->sizes_percent[draw % service->sizes_percent_count];

    g_snprintf(target->id, sizeof(target->id), "%s-%u", service->name, number);
    g_strlcpy(rec->id, target->id, sizeof(rec->id));
    g_strlcpy(rec->address, target->id, sizeof(rec->address));
    g_strlcpy(rec->service, service->name, sizeof(rec->service));
    g_snprintf(rec->rack, sizeof(rec->rack), "%s-r%u", service->name,
               number / service->rack);
    g_strlcpy(rec->labels, rec->rack, sizeof(rec->labels));
    rec->cpu_milli = service->cpu_milli * size / 100;
    rec->memory_mb = service->memory_mb * size / 100;
    rec->accel = service->accel;
    target->speed_percent =
        service->speeds_percent[draw / 64 % service->speeds_percent_count];
    target->runs = g_ptr_array_new_with_free_func(g_free);
    target->highest =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    target->ended = g_array_new(FALSE, FALSE, sizeof(struct sim_ended));
    g_ptr_array_add(sim->targets, target);
    sim_revive(sim, target);
}

/* ---- troubles ----------------------------------------------------------- */

static void
begin_on_targets(struct sim *sim, const struct replay_event *trouble)
{
    for (guint i = 0; i < sim->targets->len; i++) {
        struct sim_target *target = sim->targets->pdata[i];
        uint64_t until_ms = sim->now_ms + trouble->for_ms;

        if ((trouble->on != NULL &&
             strcmp(trouble->on, target->rec.service) != 0) ||
            (uint32_t)g_rand_int_range(sim->rand, 0, 1000) >=
                trouble->share_permille) {
            continue;
        }
        if (trouble->kind == REPLAY_SLOW) {
            target->slow_until_ms = until_ms;
            target->slow_percent = trouble->factor_percent;
        }
        else if (trouble->kind == REPLAY_FAILING) {
            target->fails_until_ms = until_ms;
        }
        else if (trouble->kind == REPLAY_CUT) {
            target->cut_until_ms = until_ms;
            target->cut_answers_only = trouble->factor_percent >= 100;
            sim_cut(sim, target);
        }
        else if (trouble->kind == REPLAY_LEAVING) {
            target->rec.leaving = true;
            target->rec.stays_ms = trouble->for_ms;
            sim_apply(sim, &FLEET_TARGET_SCHEMA, &target->rec);
            sim_add_target_event(sim, SIM_GONE, until_ms, target);
        }
        else {
            sim_crash(sim, target);
            if (trouble->kind == REPLAY_CRASH) {
                sim_add_target_event(sim, SIM_REVIVES, until_ms, target);
            }
        }
    }
}

static void
on_trouble(struct sim *sim, const struct replay_event *trouble)
{
    switch (trouble->kind) {
    case REPLAY_BURST:
        return; /* the jobs were made so */
    case REPLAY_LOSSY:
        sim->lossy_until_ms = sim->now_ms + trouble->for_ms;
        sim->lossy_permille = trouble->share_permille;
        return;
    case REPLAY_NO_LEADER:
        sim_end_term(sim);
        sim_add_event(sim, SIM_LEADS, sim->now_ms + trouble->for_ms);
        return;
    default:
        begin_on_targets(sim, trouble);
    }
}

static void
sample_lasting(struct sim *sim)
{
    GHashTableIter iter;
    struct sim_job *job;

    g_hash_table_iter_init(&iter, sim->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        if (job->queue->lasting && job->ended_ms == 0 &&
            sim->now_ms >= job->arrived_ms + SAMPLE_MS) {
            job->samples +=
                sim_step_of(job, &(struct fleet_task_id){0})->count;
        }
    }
    for (guint t = 0; t < sim->targets->len; t++) {
        const struct sim_target *target = sim->targets->pdata[t];

        for (guint i = 0; i < target->runs->len; i++) {
            const struct sim_run *run = target->runs->pdata[i];

            job = (struct sim_job *)run->job;
            if (job->queue->lasting && job->ended_ms == 0 &&
                sim->now_ms >= job->arrived_ms + SAMPLE_MS) {
                job->working++;
            }
        }
    }
    sim_add_event(sim, SIM_SAMPLES, sim->now_ms + SAMPLE_MS);
}

/* ---- the loop ----------------------------------------------------------- */

static void
cancel(struct sim *sim, const struct sim_job *job)
{
    struct fleet_cancel change = {.id = job->id};

    sim_apply(sim, &FLEET_CANCEL_SCHEMA, &change);
}

static void
act(struct sim *sim, struct sim_event *event)
{
    switch (event->kind) {
    case SIM_ARRIVES:
    case SIM_CANCELS:
        if (sim->plan == NULL) {
            struct sim_event *again =
                sim_add_event(sim, event->kind, sim->now_ms + SIM_SILENT_MS);

            again->job = event->job;
        }
        else if (event->kind == SIM_CANCELS) {
            cancel(sim, event->job);
        }
        else {
            sim_apply(sim, &FLEET_SUBMIT_SCHEMA, &event->job->submit);
        }
        return;
    case SIM_STARTS:
    case SIM_STOPS:
        sim_on_order(sim, event);
        return;
    case SIM_ENDS:
    case SIM_STOPPED:
        sim_on_over(sim, event);
        return;
    case SIM_LAPSES:
        if (event->target->up && event->target->rec.born_ms == event->born) {
            sim_on_lapse(sim, event->target);
        }
        return;
    case SIM_ANNOUNCES:
        if (event->target->up && event->target->removed) {
            sim_apply(sim, &FLEET_TARGET_SCHEMA, &event->target->rec);
        }
        return;
    case SIM_GONE:
        sim_crash(sim, event->target);
        return;
    case SIM_REVIVES:
        sim_revive(sim, event->target);
        return;
    case SIM_TROUBLE:
        on_trouble(sim, event->trouble);
        return;
    case SIM_LEADS:
        sim_begin_term(sim);
        return;
    case SIM_SAMPLES:
        sample_lasting(sim);
        return;
    default:
        sim_act_as_leader(sim, event);
    }
}

static void
pass(struct sim *sim)
{
    uint64_t passes;
    uint64_t began_us;
    double us;

    if (sim->plan == NULL) {
        return;
    }
    passes = plan_counters(sim->plan)->passes;
    began_us = clock_mono_us();
    plan_pass(sim->plan, sim->now_ms, SIM_WALL_START_MS + sim->now_ms);
    if (plan_counters(sim->plan)->passes != passes) {
        us = (double)(clock_mono_us() - began_us);
        g_array_append_val(sim->result->decision_us, us);
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
            act(sim, event);
            free_event(event);
        }
        pass(sim);
        if (sim->open == 0 && sim->now_ms > sim->load->seconds * 1000u) {
            return;
        }
    }
}

/* ---- life --------------------------------------------------------------- */

static void
add_jobs(struct sim *sim)
{
    sim->jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
    sim->open = sim->result->jobs->len;
    for (guint i = 0; i < sim->result->jobs->len; i++) {
        struct sim_job *job = sim->result->jobs->pdata[i];

        g_hash_table_insert(sim->jobs, &job->id, job);
        sim_add_event(sim, SIM_ARRIVES, job->arrived_ms)->job = job;
        if (job->cancel_ms != 0) {
            sim_add_event(sim, SIM_CANCELS,
                          MIN(job->cancel_ms, sim->load->seconds * 1000u))
                ->job = job;
        }
    }
}

static void
add_world(struct sim *sim)
{
    const struct replay_load *load = sim->load;

    sim->fleet = fleet_new(UINT32_MAX);
    sim->fleet->ops = sim_fleet_ops(sim);
    configure(sim);
    for (uint32_t s = 0; s < load->services_count; s++) {
        for (uint32_t i = 0; i < load->services[s].targets; i++) {
            add_target(sim, &load->services[s], i);
        }
    }
    for (uint32_t i = 0; i < load->events_count; i++) {
        sim_add_event(sim, SIM_TROUBLE, MAX(load->events[i].at_ms, 1))
            ->trouble = &load->events[i];
    }
    sim_add_event(sim, SIM_SAMPLES, SAMPLE_MS);
    add_jobs(sim);
}

/* Whether a team may ever run what must run together of a step. */
static bool
is_under_cap(const struct replay_team *team, const struct fleet_step *step)
{
    uint64_t count = step->gang ? step->count : 1;

    return (team->limit_cpu_milli == 0 ||
            count * step->cpu_milli <= team->limit_cpu_milli) &&
           (team->limit_accel == 0 ||
            count * step->accel <= team->limit_accel);
}

/* Whether the targets that are left could run each step of a job. */
static bool
can_be_done(const struct sim *sim, const struct sim_job *job)
{
    const struct fleet_step *steps = job->submit.steps.items;

    for (uint32_t s = 0; s < job->submit.steps.count; s++) {
        const struct fleet_step *step = &steps[s];
        uint32_t room = 0;

        for (guint t = 0; t < sim->targets->len; t++) {
            const struct sim_target *target = sim->targets->pdata[t];
            const struct fleet_target_rec *rec = &target->rec;

            if (target->up && strcmp(rec->service, job->queue->service) == 0 &&
                sim_is_granted(sim, job, s, target->id)) {
                uint32_t times = rec->cpu_milli / step->cpu_milli;

                times = MIN(times, rec->memory_mb / step->memory_mb);
                room += step->accel == 0
                            ? times
                            : MIN(times, rec->accel / step->accel);
            }
        }
        if (room < (step->gang ? step->count : 1) ||
            !is_under_cap(&sim->load->teams[job->team], step)) {
            return false;
        }
    }
    return true;
}

static void
count_stuck(struct sim *sim)
{
    for (guint i = 0; i < sim->result->jobs->len; i++) {
        const struct sim_job *job = sim->result->jobs->pdata[i];
        char text[32];

        if (job->ended_ms == 0 && can_be_done(sim, job)) {
            g_snprintf(text, sizeof(text), "%016" PRIx64, job->id);
            sim_breach(sim, &sim->result->breaches.stuck, "did not end", text,
                       job->queue->name);
        }
    }
}

struct sim_result *
sim_play(const struct replay_load *load, const struct plan_policy *policy,
         uint32_t seed)
{
    struct sim sim = {.load = load, .policy = policy, .seed = seed, .term = 1};
    GSequenceIter *at;

    sim.result = g_new0(struct sim_result, 1);
    sim.result->jobs = replay_make_jobs(load, seed);
    sim.result->decision_us = g_array_new(FALSE, FALSE, sizeof(double));
    sim.rand = g_rand_new_with_seed(seed + 17);
    sim.events = g_sequence_new(NULL);
    sim.targets = g_ptr_array_new_with_free_func(sim_free_target);
    sim.over = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    add_world(&sim);
    sim_begin_term(&sim);
    run_until(&sim, (uint64_t)(load->seconds + load->drain_seconds) * 1000);
    count_stuck(&sim);
    sim_end_term(&sim);
    for (at = g_sequence_get_begin_iter(sim.events);
         !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at)) {
        free_event(g_sequence_get(at));
    }
    g_sequence_free(sim.events);
    g_ptr_array_free(sim.targets, TRUE);
    g_hash_table_destroy(sim.jobs);
    g_hash_table_destroy(sim.over);
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
