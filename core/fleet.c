/* fleet.c -- the replicated state of a fleet */
#include <stdio.h>
#include <string.h>

#include "core/fleetpriv.h"
#include "core/room.h"

/* Announcements of the same cold target may differ by this. */
#define COLD_TOLERANCE_MS 2000u
/* Clocks of targets and hosts may differ by hours. */
#define BORN_AHEAD_MAX_MS (24u * 3600 * 1000)
#define SEQUENCE_MAX ((UINT64_C(1) << 53) - 1)

void
fleet_drop_progress(struct fleet_job *job)
{
    for (uint32_t i = 0; job->tasks != NULL && i < job->task_count; i++) {
        g_free(job->tasks[i].checkpoint);
        failures_clear(&job->tasks[i].failures);
        g_free(job->tasks[i].crashes);
    }
    g_free(job->tasks);
    job->tasks = NULL;
    fp_blob_free(&job->submit.spec);
    job->submit.spec = (struct fp_blob){0};
}

static void
free_job(void *item)
{
    struct fleet_job *job = item;

    fleet_drop_progress(job);
    fleet_free_services(job);
    g_free(job->first_task);
    fp_record_free(&FLEET_SUBMIT_SCHEMA, &job->submit);
    g_free(job);
}

static void
free_target(void *item)
{
    struct fleet_target *target = item;

    fp_record_free(&FLEET_TARGET_SCHEMA, &target->rec);
    fleet_end_outage(target);
    g_free(target);
}

static void
free_queue_list(void *list)
{
    g_ptr_array_free(list, TRUE);
}

struct fleet *
fleet_new(uint64_t retention_ms)
{
    struct fleet *fleet = g_new0(struct fleet, 1);

    fleet->retention_ms = retention_ms;
    fleet->queues = g_ptr_array_new_with_free_func(g_free);
    fleet->queues_by_host =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_queue_list);
    fleet->services = g_hash_table_new(g_str_hash, g_str_equal);
    fleet->teams =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    fleet->teams_by_key = g_hash_table_new(g_str_hash, g_str_equal);
    fleet->targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_target);
    fleet->data_centres = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                                fleet_free_data_centre);
    fleet->jobs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_job);
    g_queue_init(&fleet->ended_jobs);
    return fleet;
}

void
fleet_free(struct fleet *fleet)
{
    if (fleet == NULL) {
        return;
    }
    g_queue_clear(&fleet->ended_jobs);
    g_hash_table_destroy(fleet->jobs);
    g_hash_table_destroy(fleet->targets);
    g_hash_table_destroy(fleet->data_centres);
    g_hash_table_destroy(fleet->teams_by_key);
    g_hash_table_destroy(fleet->teams);
    g_hash_table_destroy(fleet->services);
    g_hash_table_destroy(fleet->queues_by_host);
    g_ptr_array_free(fleet->queues, TRUE);
    fp_record_free(&FLEET_CONFIG_SCHEMA, &fleet->config);
    g_free(fleet);
}

/* ---- targets ------------------------------------------------------------ */

struct fleet_target *
fleet_find_target(const struct fleet *fleet, const char *id)
{
    return g_hash_table_lookup(fleet->targets, id);
}

uint64_t
fleet_target_cold_until_ms(const struct fleet_target_rec *rec)
{
    return rec->cold_ms == 0 ? 0 : rec->head.at_ms + rec->cold_ms;
}

/* Whether a target announces that it is cold for longer than is known. */
static bool
is_colder(const struct fleet *fleet, const struct fleet_target_rec *known,
          const struct fleet_target_rec *announced)
{
    return announced->cold_ms > 0 &&
           fleet->now_ms + announced->cold_ms >
               fleet_target_cold_until_ms(known) + COLD_TOLERANCE_MS;
}

bool
fleet_target_is_recorded(const struct fleet *fleet,
                         const struct fleet_target_rec *rec)
{
    const struct fleet_target *target = fleet_find_target(fleet, rec->id);
    const struct fleet_target_rec *known;

    if (target == NULL) {
        return false;
    }
    known = &target->rec;
    return known->born_ms == rec->born_ms &&
           strcmp(known->address, rec->address) == 0 &&
           strcmp(known->service, rec->service) == 0 &&
           known->cpu_milli == rec->cpu_milli &&
           known->memory_mb == rec->memory_mb && known->accel == rec->accel &&
           strcmp(known->data_centre, rec->data_centre) == 0 &&
           strcmp(known->rack, rec->rack) == 0 &&
           strcmp(known->labels, rec->labels) == 0 &&
           rec->leaving <= known->leaving &&
           (known->leaving || !known->departed) &&
           !is_colder(fleet, known, rec);
}

enum fp_err
fleet_check_target(const struct fleet_target_rec *rec, uint64_t wall_ms,
                   char *reason, size_t reason_bytes)
{
    if (rec->born_ms > wall_ms + BORN_AHEAD_MAX_MS) {
        snprintf(reason, reason_bytes,
                 "its start at %llu ms is over a day in the future",
                 (unsigned long long)rec->born_ms);
        return FP_ERR_BAD_REQUEST;
    }
    if (rec->sequence > SEQUENCE_MAX) {
        snprintf(reason, reason_bytes, "no target sends announcement %llu",
                 (unsigned long long)rec->sequence);
        return FP_ERR_BAD_REQUEST;
    }
    return FP_OK;
}

static void
remove_target(struct fleet *fleet, struct fleet_target *target)
{
    if (fleet->ops.target_removed != NULL) {
        fleet->ops.target_removed(fleet->ops.ctx, target);
    }
    g_hash_table_remove(fleet->targets, target->rec.id);
}

static void
mark_departed(struct fleet *fleet, struct fleet_target *target)
{
    if (target->rec.departed) {
        return;
    }
    target->rec.departed = true;
    if (fleet->ops.target_changed != NULL) {
        fleet->ops.target_changed(fleet->ops.ctx, target, false);
    }
}

/* Marks older targets with the same address as departed: it belongs to the
 * incarnation that started last. They are not removed: an invalid announcement
 * may name the address of a target at work. Returns false when a newer target
 * has the address and has not departed. */
static bool
claim_address(struct fleet *fleet, const struct fleet_target_rec *rec)
{
    GList *all = g_hash_table_get_values(fleet->targets);
    bool is_newest = true;

    for (GList *link = all; link != NULL; link = link->next) {
        struct fleet_target *other = link->data;

        if (strcmp(other->rec.id, rec->id) == 0 ||
            strcmp(other->rec.address, rec->address) != 0) {
            continue;
        }
        if (other->rec.born_ms > rec->born_ms) {
            is_newest = is_newest && other->rec.departed;
        }
        else {
            mark_departed(fleet, other);
        }
    }
    g_list_free(all);
    return is_newest;
}

static void
apply_target(struct fleet *fleet, struct fleet_target_rec *rec,
             struct change_answer *answer)
{
    struct fleet_target *target = fleet_find_target(fleet, rec->id);
    bool restarted = target != NULL && target->rec.born_ms != rec->born_ms;
    bool changed_service =
        target != NULL && (target->rec.changed_service ||
                           strcmp(target->rec.service, rec->service) != 0);

    if ((target != NULL &&
         (target->rec.born_ms > rec->born_ms ||
          (!restarted && target->rec.sequence > rec->sequence))) ||
        !claim_address(fleet, rec)) {
        answer->err = FP_ERR_STALE;
        return;
    }
    if (target == NULL) {
        target = g_new0(struct fleet_target, 1);
        target->rec = *rec;
        g_hash_table_insert(fleet->targets, target->rec.id, target);
    }
    else {
        /* Leaving is final for an incarnation, and with it departing. */
        bool leaving = rec->leaving || (!restarted && target->rec.leaving);
        bool departed = leaving && !restarted && target->rec.departed;

        target->rec = *rec;
        target->rec.leaving = leaving;
        target->rec.departed = departed;
        target->rec.changed_service = changed_service;
        if (restarted) {
            fleet_end_outage(target);
        }
    }
    fleet_remember_data_centre(fleet, rec->data_centre);
    if (fleet->ops.target_changed != NULL) {
        fleet->ops.target_changed(fleet->ops.ctx, target, restarted);
    }
}

static void
apply_target_removal(struct fleet *fleet,
                     const struct fleet_target_removal *removal)
{
    struct fleet_target *target = fleet_find_target(fleet, removal->id);

    if (target == NULL ||
        (removal->born_ms != 0 && removal->born_ms != target->rec.born_ms)) {
        return;
    }
    if (removal->is_notice) {
        mark_departed(fleet, target);
    }
    else {
        remove_target(fleet, target);
    }
}

/* ---- jobs --------------------------------------------------------------- */

enum fp_err
fleet_check_submit(const struct fleet_submit *submit, char *reason,
                   size_t reason_bytes)
{
    const struct fleet_step *step = submit->steps.items;
    uint64_t tasks = 0;

    if (submit->steps.count == 0) {
        snprintf(reason, reason_bytes, "a job has one step or more");
        return FP_ERR_BAD_REQUEST;
    }
    if (submit->first_due_ms > FLEET_DUE_MAX_MS) {
        snprintf(reason, reason_bytes, "due at %llu ms, at most %llu",
                 (unsigned long long)submit->first_due_ms,
                 (unsigned long long)FLEET_DUE_MAX_MS);
        return FP_ERR_BAD_REQUEST;
    }
    for (uint32_t i = 0; i < submit->steps.count; i++) {
        const struct fleet_dependency *after = step[i].after.items;

        if (step[i].count == 0 || step[i].count > FLEET_STEP_TASKS_MAX) {
            snprintf(reason, reason_bytes,
                     "step %u: %u tasks are outside 1 to %u", i, step[i].count,
                     FLEET_STEP_TASKS_MAX);
            return FP_ERR_BAD_REQUEST;
        }
        for (uint32_t k = 0; k < step[i].after.count; k++) {
            if (after[k].step >= i) {
                snprintf(reason, reason_bytes, "step %u: comes after step %u",
                         i, after[k].step);
                return FP_ERR_BAD_REQUEST;
            }
        }
        tasks += step[i].count;
    }
    if (tasks * MAX(submit->occurrences, 1) > FLEET_JOB_TASKS_MAX) {
        snprintf(reason, reason_bytes, "over %u tasks", FLEET_JOB_TASKS_MAX);
        return FP_ERR_BAD_REQUEST;
    }
    return FP_OK;
}

struct fleet_job *
fleet_find_job(const struct fleet *fleet, uint64_t id)
{
    return g_hash_table_lookup(fleet->jobs, &id);
}

bool
fleet_is_beyond_share(const struct fleet *fleet, const struct fleet_team *team,
                      uint64_t at_ms)
{
    struct share share;

    if (fleet->share_window_ms == 0 || team == NULL) {
        return false;
    }
    share = team->share;
    for (uint32_t i = 0; i < team->offered_jobs; i++) {
        share_take(&share, team->weight, fleet->share_window_ms, at_ms);
    }
    return !share_has_room(&share, team->weight, fleet->share_window_ms,
                           at_ms);
}

void
fleet_decide_share(const struct fleet *fleet, struct fleet_submit *job,
                   const struct fleet_team *team, uint64_t at_ms)
{
    job->share_window_ms = fleet->share_window_ms;
    job->beyond_share = fleet_is_beyond_share(fleet, team, at_ms);
}

bool
fleet_job_is_live(const struct fleet_job *job)
{
    return job->ended_ms == 0;
}

uint32_t
fleet_task_number(const struct fleet_job *job,
                  const struct fleet_task_id *task)
{
    if (task->step >= job->step_count ||
        task->index >= job->steps[task->step].count ||
        task->occurrence >= MAX(job->submit.occurrences, 1)) {
        return UINT32_MAX;
    }
    return task->occurrence * job->occurrence_tasks +
           job->first_task[task->step] + task->index;
}

void
fleet_step_id_text(const struct fleet_task_id *task, char *out,
                   size_t out_bytes)
{
    snprintf(out, out_bytes, "%016llx.%u.%u", (unsigned long long)task->job_id,
             task->occurrence, task->step);
}

void
fleet_task_id_text(const struct fleet_task_id *task, char *out,
                   size_t out_bytes)
{
    snprintf(out, out_bytes, "%016llx.%u.%u.%u",
             (unsigned long long)task->job_id, task->occurrence, task->step,
             task->index);
}

static void
count_job_bytes(struct fleet *fleet, struct fleet_job *job, uint64_t bytes)
{
    fleet->job_bytes += bytes - job->bytes;
    if (job->team != NULL) {
        job->team->job_bytes += bytes - job->bytes;
    }
    job->bytes = bytes;
}

void
fleet_count_job(struct fleet *fleet, struct fleet_job *job)
{
    count_job_bytes(fleet, job,
                    room_job_bytes(&job->submit, fleet_job_is_live(job)));
}

struct fleet_job *
fleet_add_job(struct fleet *fleet, struct fleet_submit *submit)
{
    struct fleet_job *job = g_new0(struct fleet_job, 1);
    uint32_t tasks = 0;

    job->submit = *submit;
    memset(submit, 0, sizeof(*submit));
    job->accepted_ms = job->submit.head.at_ms;
    job->beyond_share = job->submit.beyond_share;
    job->queue =
        fleet_find_queue_exact(fleet, job->submit.host, job->submit.prefix);
    if (job->queue == NULL) {
        job->queue = g_new0(struct fleet_queue, 1);
        g_strlcpy(job->queue->conf.host, job->submit.host, FLEET_NAME_BYTES);
        g_strlcpy(job->queue->conf.prefix, job->submit.prefix,
                  FLEET_PATH_BYTES);
        g_ptr_array_add(fleet->queues, job->queue);
    }
    job->queue->jobs++;
    if (job->submit.team[0] != '\0') {
        job->team = fleet_ensure_team(fleet, job->submit.team);
    }
    job->step_count = job->submit.steps.count;
    job->steps = job->submit.steps.items;
    job->first_task = g_new0(uint32_t, job->step_count);
    for (uint32_t i = 0; i < job->step_count; i++) {
        job->first_task[i] = tasks;
        tasks += job->steps[i].count;
    }
    job->occurrence_tasks = tasks;
    job->task_count = tasks * MAX(job->submit.occurrences, 1);
    job->tasks_left = job->task_count;
    job->tasks = g_new0(struct fleet_task, job->task_count);
    g_hash_table_insert(fleet->jobs, &job->submit.id, job);
    fleet_count_job(fleet, job);
    return job;
}

static void
end_job(struct fleet *fleet, struct fleet_job *job, enum fleet_job_state state,
        uint64_t at_ms)
{
    job->state = state;
    job->ended_ms = MAX(at_ms, 1);
    g_queue_push_tail(&fleet->ended_jobs, job);
    if (fleet->ops.job_ended != NULL) {
        fleet->ops.job_ended(fleet->ops.ctx, job);
    }
    fleet_drop_progress(job);
    fleet_count_job(fleet, job);
}

/* The leader has decided whether the job is beyond its team's rate, so that
 * replicas of versions without shares, which know no tokens, agree on it. */
static void
use_share(struct fleet_job *job)
{
    if (job->team != NULL && job->submit.share_window_ms != 0 &&
        !job->beyond_share) {
        share_take(&job->team->share, job->team->weight,
                   job->submit.share_window_ms, job->accepted_ms);
    }
}

static void
apply_submit(struct fleet *fleet, struct fleet_submit *submit,
             struct change_answer *answer)
{
    struct fleet_job *job;

    if (fleet_find_job(fleet, submit->id) != NULL) {
        return; /* a retry of a request that was applied before */
    }
    if (fleet_check_submit(submit, answer->detail, sizeof(answer->detail)) !=
        FP_OK) {
        answer->err = FP_ERR_BAD_REQUEST;
        return;
    }
    job = fleet_add_job(fleet, submit);
    use_share(job);
    answer->first = true;
    if (fleet->ops.job_added != NULL) {
        fleet->ops.job_added(fleet->ops.ctx, job);
    }
}

static void
apply_cancel(struct fleet *fleet, const struct fleet_cancel *cancel,
             struct change_answer *answer)
{
    struct fleet_job *job = fleet_find_job(fleet, cancel->id);

    if (job == NULL) {
        answer->err = FP_ERR_GONE;
    }
    else if (fleet_job_is_live(job)) {
        end_job(fleet, job, JOB_CANCELLED, fleet->now_ms);
    }
}

/* Counts a failed run of one task, or of each task of a gang. A run is counted
 * once, although its end may be committed several times. */
static void
count_failure(struct fleet_job *job, uint32_t first, uint32_t count,
              uint32_t run_number)
{
    for (uint32_t i = first; i < first + count; i++) {
        failures_add(&job->tasks[i].failures, run_number);
    }
}

static void
mark_tasks_done(struct fleet_job *job, uint32_t first, uint32_t count)
{
    for (uint32_t i = first; i < first + count; i++) {
        if (!job->tasks[i].done) {
            job->tasks[i].done = true;
            job->tasks_left--;
        }
    }
}

static void
store_checkpoint(struct fleet_job *job, uint32_t first, uint32_t count,
                 const char *checkpoint)
{
    for (uint32_t i = first; i < first + count; i++) {
        g_free(job->tasks[i].checkpoint);
        job->tasks[i].checkpoint = g_strdup(checkpoint);
    }
}

/* Applies the end of a run: to every task of the step for a gang, else to one
 * task. */
static void
apply_end(struct fleet *fleet, const struct fleet_run_end *end)
{
    struct fleet_job *job = fleet_find_job(fleet, end->task.job_id);
    uint32_t number;
    const struct fleet_step *step;
    uint32_t first;
    uint32_t count;

    if (job == NULL || !fleet_job_is_live(job)) {
        return;
    }
    number = fleet_task_number(job, &end->task);
    if (number == UINT32_MAX) {
        return;
    }
    step = &job->steps[end->task.step];
    first = step->gang ? number - end->task.index : number;
    count = step->gang ? step->count : 1;
    if (end->checkpoint[0] != '\0') {
        store_checkpoint(job, first, count, end->checkpoint);
    }
    if (end->outcome == RUN_DONE && !step->lasting) {
        mark_tasks_done(job, first, count);
        if (job->tasks_left == 0) {
            end_job(fleet, job, JOB_COMPLETED, fleet->now_ms);
        }
    }
    else if (end->outcome == RUN_FAILED && !step->lasting) {
        const struct fleet_task *task = &job->tasks[number];
        uint32_t max_attempts = job->queue->conf.max_attempts;

        count_failure(job, first, count, end->run);
        if (!task->done && max_attempts != 0 &&
            task->failures.count >= max_attempts) {
            end_job(fleet, job, JOB_FAILED, fleet->now_ms);
        }
    }
}

static void
apply_ends(struct fleet *fleet, const struct fleet_run_ends *ends)
{
    const struct fleet_run_end *end = ends->items.items;

    for (uint32_t i = 0; i < ends->items.count; i++) {
        apply_end(fleet, &end[i]);
    }
}

/* Adds evidence to a task; a task that is proven to crash its targets fails
 * its job. */
static void
apply_crash(struct fleet *fleet, const struct fleet_task_crash *crash)
{
    struct fleet_job *job = fleet_find_job(fleet, crash->task.job_id);
    struct fleet_task *task;
    uint32_t number;

    if (job == NULL || !fleet_job_is_live(job) ||
        crash->evidence >= CRASH_EVIDENCE_COUNT) {
        return;
    }
    number = fleet_task_number(job, &crash->task);
    if (number == UINT32_MAX || job->tasks[number].done) {
        return;
    }
    task = &job->tasks[number];
    if (task->crashes == NULL) {
        task->crashes = g_new0(struct crashes, 1);
    }
    crashes_add(task->crashes, crash->run, crash->evidence, crash->ran_ms);
    if (crashes_verdict(task->crashes) == CRASH_PROVEN) {
        end_job(fleet, job, JOB_FAILED, fleet->now_ms);
    }
}

static void
apply_crashes(struct fleet *fleet, const struct fleet_crashes *crashes)
{
    const struct fleet_task_crash *crash = crashes->items.items;

    for (uint32_t i = 0; i < crashes->items.count; i++) {
        apply_crash(fleet, &crash[i]);
    }
}

static void
remove_expired_jobs(struct fleet *fleet)
{
    struct fleet_job *job = g_queue_peek_head(&fleet->ended_jobs);
    struct fleet_queue *queue;

    while (job != NULL &&
           job->ended_ms + fleet->retention_ms < fleet->now_ms) {
        g_queue_pop_head(&fleet->ended_jobs);
        if (fleet->ops.job_removed != NULL) {
            fleet->ops.job_removed(fleet->ops.ctx, job);
        }
        count_job_bytes(fleet, job, 0);
        queue = job->queue;
        queue->jobs--;
        g_hash_table_remove(fleet->jobs, &job->submit.id);
        fleet_drop_unused_queue(fleet, queue);
        job = g_queue_peek_head(&fleet->ended_jobs);
    }
}

/* ---- applying changes --------------------------------------------------- */

const struct fp_schema *
fleet_schema_of(uint32_t type)
{
    switch (type) {
    case FLEET_CONFIG:
        return &FLEET_CONFIG_SCHEMA;
    case FLEET_TARGET:
        return &FLEET_TARGET_SCHEMA;
    case FLEET_TARGET_REMOVAL:
        return &FLEET_TARGET_REMOVAL_SCHEMA;
    case FLEET_SUBMIT:
        return &FLEET_SUBMIT_SCHEMA;
    case FLEET_CANCEL:
        return &FLEET_CANCEL_SCHEMA;
    case FLEET_RUN_ENDS:
        return &FLEET_RUN_ENDS_SCHEMA;
    case FLEET_CRASHES:
        return &FLEET_CRASHES_SCHEMA;
    case FLEET_EVACUATION:
        return &FLEET_EVACUATION_SCHEMA;
    case FLEET_OUTAGE:
        return &FLEET_OUTAGE_SCHEMA;
    case FLEET_LEASE:
        return &FLEET_LEASE_SCHEMA;
    default:
        return NULL;
    }
}

void
fleet_apply_decoded(struct fleet *fleet, uint32_t type,
                    union fleet_change *change, struct change_answer *answer)
{
    switch (type) {
    case FLEET_CONFIG:
        fleet_apply_config(fleet, &change->config);
        break;
    case FLEET_TARGET:
        apply_target(fleet, &change->target, answer);
        break;
    case FLEET_TARGET_REMOVAL:
        apply_target_removal(fleet, &change->removal);
        break;
    case FLEET_SUBMIT:
        apply_submit(fleet, &change->submit, answer);
        break;
    case FLEET_CANCEL:
        apply_cancel(fleet, &change->cancel, answer);
        break;
    case FLEET_CRASHES:
        apply_crashes(fleet, &change->crashes);
        break;
    case FLEET_EVACUATION:
        fleet_apply_evacuation(fleet, &change->evacuation);
        break;
    case FLEET_OUTAGE:
        fleet_apply_outage(fleet, &change->outage);
        break;
    case FLEET_LEASE:
        fleet->lease_ms = change->lease.lease_ms;
        break;
    default:
        apply_ends(fleet, &change->ends);
        break;
    }
}

void
fleet_apply(struct fleet *fleet, const uint8_t *data, uint32_t size_bytes,
            struct change_answer *answer)
{
    union fleet_change *change = g_new0(union fleet_change, 1);
    const struct fp_schema *schema = NULL;
    uint32_t type = 0;

    memset(answer, 0, sizeof(*answer));
    if (fp_peek_type(data, size_bytes, &type) == FP_OK) {
        schema = fleet_schema_of(type);
    }
    if (schema == NULL ||
        fp_decode(schema, data, size_bytes, change) != FP_OK) {
        answer->err = FP_ERR_CORRUPT;
        g_free(change);
        return;
    }
    fleet->now_ms = MAX(fleet->now_ms, change->head.at_ms);
    fleet_apply_decoded(fleet, type, change, answer);
    if (type == FLEET_CONFIG) {
        fleet_drop_unused_queues(fleet);
    }
    answer->version = fleet->config.version;
    remove_expired_jobs(fleet);
    fp_record_free(schema, change);
    g_free(change);
}
