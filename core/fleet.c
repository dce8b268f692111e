/* fleet.c -- the replicated state of a fleet */
#include "core/fleet.h"

#include <stdio.h>
#include <string.h>

static void
free_job(void *item)
{
    struct fleet_job *job = item;

    for (uint32_t i = 0; i < job->task_count; i++) {
        g_free(job->tasks[i].checkpoint);
    }
    g_free(job->tasks);
    g_free(job->first_task);
    fp_record_free(&FLEET_SUBMIT_SCHEMA, &job->submit);
    g_free(job);
}

static void
free_target(void *item)
{
    struct fleet_target *target = item;

    fp_record_free(&FLEET_TARGET_SCHEMA, &target->rec);
    g_free(target);
}

static void
free_list(void *list)
{
    g_ptr_array_free(list, TRUE);
}

struct fleet *
fleet_new(uint64_t keep_ms)
{
    struct fleet *fleet = g_new0(struct fleet, 1);

    fleet->keep_ms = keep_ms;
    fleet->queues = g_ptr_array_new_with_free_func(g_free);
    fleet->by_host =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_list);
    fleet->services = g_hash_table_new(g_str_hash, g_str_equal);
    fleet->teams =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    fleet->keys = g_hash_table_new(g_str_hash, g_str_equal);
    fleet->targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_target);
    fleet->jobs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_job);
    g_queue_init(&fleet->ended);
    return fleet;
}

void
fleet_free(struct fleet *fleet)
{
    if (fleet == NULL) {
        return;
    }
    g_queue_clear(&fleet->ended);
    g_hash_table_destroy(fleet->jobs);
    g_hash_table_destroy(fleet->targets);
    g_hash_table_destroy(fleet->keys);
    g_hash_table_destroy(fleet->teams);
    g_hash_table_destroy(fleet->services);
    g_hash_table_destroy(fleet->by_host);
    g_ptr_array_free(fleet->queues, TRUE);
    fp_record_free(&FLEET_CONFIG_SCHEMA, &fleet->config);
    g_free(fleet);
}

/* ---- configuration ------------------------------------------------------ */

static struct fleet_queue *
queue_at(const struct fleet *fleet, const char *host, const char *prefix)
{
    for (guint i = 0; i < fleet->queues->len; i++) {
        struct fleet_queue *queue = fleet->queues->pdata[i];

        if (strcmp(queue->conf.host, host) == 0 &&
            strcmp(queue->conf.prefix, prefix) == 0) {
            return queue;
        }
    }
    return NULL;
}

static gint
longer_first(gconstpointer a, gconstpointer b)
{
    const struct fleet_queue *x = *(struct fleet_queue *const *)a;
    const struct fleet_queue *y = *(struct fleet_queue *const *)b;

    return (gint)strlen(y->conf.prefix) - (gint)strlen(x->conf.prefix);
}

static void
index_queues(struct fleet *fleet)
{
    GHashTableIter iter;
    GPtrArray *list;

    g_hash_table_remove_all(fleet->by_host);
    for (guint i = 0; i < fleet->queues->len; i++) {
        struct fleet_queue *queue = fleet->queues->pdata[i];

        if (!queue->present) {
            continue;
        }
        list = g_hash_table_lookup(fleet->by_host, queue->conf.host);
        if (list == NULL) {
            list = g_ptr_array_new();
            g_hash_table_insert(fleet->by_host, queue->conf.host, list);
        }
        g_ptr_array_add(list, queue);
    }
    g_hash_table_iter_init(&iter, fleet->by_host);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&list)) {
        g_ptr_array_sort(list, longer_first);
    }
}

static void
set_queues(struct fleet *fleet)
{
    const struct fleet_queue_conf *conf = fleet->config.queues.items;
    GHashTable *known =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

    /* The keys of the index lie in the queues that change below. */
    g_hash_table_remove_all(fleet->by_host);
    for (guint i = 0; i < fleet->queues->len; i++) {
        struct fleet_queue *queue = fleet->queues->pdata[i];

        queue->present = false;
        g_hash_table_insert(
            known,
            g_strdup_printf("%s\n%s", queue->conf.host, queue->conf.prefix),
            queue);
    }
    for (uint32_t i = 0; i < fleet->config.queues.count; i++) {
        char *place = g_strdup_printf("%s\n%s", conf[i].host, conf[i].prefix);
        struct fleet_queue *queue = g_hash_table_lookup(known, place);

        if (queue == NULL) {
            queue = g_new0(struct fleet_queue, 1);
            g_ptr_array_add(fleet->queues, queue);
        }
        queue->conf = conf[i];
        queue->present = true;
        g_free(place);
    }
    g_hash_table_destroy(known);
    index_queues(fleet);
}

static void
set_services(struct fleet *fleet)
{
    struct fleet_service_conf *conf = fleet->config.services.items;

    g_hash_table_remove_all(fleet->services);
    for (uint32_t i = 0; i < fleet->config.services.count; i++) {
        g_hash_table_insert(fleet->services, conf[i].name, &conf[i]);
    }
}

static struct fleet_team *
need_team(struct fleet *fleet, const char *name)
{
    struct fleet_team *team = g_hash_table_lookup(fleet->teams, name);

    if (team == NULL) {
        team = g_new0(struct fleet_team, 1);
        g_strlcpy(team->name, name, sizeof(team->name));
        g_hash_table_insert(fleet->teams, team->name, team);
    }
    return team;
}

static void
set_teams(struct fleet *fleet)
{
    const struct fleet_team_conf *conf = fleet->config.teams.items;
    GHashTableIter iter;
    struct fleet_team *team;

    g_hash_table_remove_all(fleet->keys);
    g_hash_table_iter_init(&iter, fleet->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        team->present = false;
    }
    for (uint32_t i = 0; i < fleet->config.teams.count; i++) {
        struct fleet_key_conf *keys = conf[i].keys.items;

        team = need_team(fleet, conf[i].name);
        team->present = true;
        team->weight = conf[i].weight;
        team->limit.cpu_milli = conf[i].limit_cpu_milli;
        team->limit.memory_mb = conf[i].limit_memory_mb;
        team->limit.accel = conf[i].limit_accel;
        for (uint32_t k = 0; k < conf[i].keys.count; k++) {
            g_hash_table_insert(fleet->keys, keys[k].key, team);
        }
    }
}

/* The highest version wins; a version that is not higher changes nothing. */
static void
apply_config(struct fleet *fleet, struct fleet_config *config)
{
    if (config->version <= fleet->config.version) {
        return;
    }
    g_hash_table_remove_all(fleet->keys);
    g_hash_table_remove_all(fleet->services);
    fp_record_free(&FLEET_CONFIG_SCHEMA, &fleet->config);
    fleet->config = *config;
    memset(config, 0, sizeof(*config));
    set_queues(fleet);
    set_services(fleet);
    set_teams(fleet);
    if (fleet->ops.config_changed != NULL) {
        fleet->ops.config_changed(fleet->ops.ctx);
    }
}

static enum fp_err
check_queues(const struct fleet_config *config, char *why, size_t why_bytes)
{
    const struct fleet_queue_conf *queue = config->queues.items;
    const struct fleet_service_conf *service = config->services.items;
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTable *places =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    enum fp_err err = FP_OK;

    for (uint32_t i = 0; i < config->services.count; i++) {
        g_hash_table_add(names, (void *)service[i].name);
    }
    for (uint32_t i = 0; i < config->queues.count && err == FP_OK; i++) {
        char *place =
            g_strdup_printf("%s\n%s", queue[i].host, queue[i].prefix);

        if (!g_hash_table_contains(names, queue[i].service)) {
            snprintf(why, why_bytes, "queue '%s': no service '%s'",
                     queue[i].name, queue[i].service);
            err = FP_ERR_BAD_REQUEST;
        }
        else if (g_hash_table_contains(places, place)) {
            snprintf(why, why_bytes, "queue '%s': %s%s is taken",
                     queue[i].name, queue[i].host, queue[i].prefix);
            err = FP_ERR_BAD_REQUEST;
        }
        g_hash_table_add(places, place);
    }
    g_hash_table_destroy(names);
    g_hash_table_destroy(places);
    return err;
}

enum fp_err
fleet_check_config(const struct fleet_config *config, char *why,
                   size_t why_bytes)
{
    const struct fleet_team_conf *team = config->teams.items;
    GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);
    enum fp_err err = check_queues(config, why, why_bytes);

    for (uint32_t i = 0; i < config->teams.count && err == FP_OK; i++) {
        const struct fleet_key_conf *key = team[i].keys.items;

        for (uint32_t k = 0; k < team[i].keys.count; k++) {
            const char *owner = g_hash_table_lookup(keys, key[k].key);

            if (owner != NULL && strcmp(owner, team[i].name) != 0) {
                snprintf(why, why_bytes, "teams '%s' and '%s' share a key",
                         owner, team[i].name);
                err = FP_ERR_BAD_REQUEST;
            }
            g_hash_table_insert(keys, (void *)key[k].key,
                                (void *)team[i].name);
        }
    }
    g_hash_table_destroy(keys);
    return err;
}

struct fleet_queue *
fleet_find_queue(const struct fleet *fleet, const char *host, const char *path)
{
    const GPtrArray *list = g_hash_table_lookup(fleet->by_host, host);

    for (guint i = 0; list != NULL && i < list->len; i++) {
        struct fleet_queue *queue = list->pdata[i];

        if (strncmp(path, queue->conf.prefix, strlen(queue->conf.prefix)) ==
            0) {
            return queue;
        }
    }
    return NULL;
}

const struct fleet_service_conf *
fleet_find_service(const struct fleet *fleet, const char *name)
{
    return g_hash_table_lookup(fleet->services, name);
}

/* ---- targets ------------------------------------------------------------ */

struct fleet_target *
fleet_find_target(const struct fleet *fleet, const char *id)
{
    return g_hash_table_lookup(fleet->targets, id);
}

bool
fleet_knows_target(const struct fleet *fleet,
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
           strcmp(known->rack, rec->rack) == 0 &&
           strcmp(known->labels, rec->labels) == 0 &&
           rec->leaving <= known->leaving;
}

static void
remove_target(struct fleet *fleet, struct fleet_target *target)
{
    if (fleet->ops.target_removed != NULL) {
        fleet->ops.target_removed(fleet->ops.ctx, target);
    }
    g_hash_table_remove(fleet->targets, target->rec.id);
}

/* An address belongs to the incarnation that was born last. */
static bool
settle_address(struct fleet *fleet, const struct fleet_target_rec *rec)
{
    GList *all = g_hash_table_get_values(fleet->targets);
    bool ours = true;

    for (GList *at = all; at != NULL; at = at->next) {
        struct fleet_target *other = at->data;

        if (strcmp(other->rec.id, rec->id) == 0 ||
            strcmp(other->rec.address, rec->address) != 0) {
            continue;
        }
        if (other->rec.born_ms > rec->born_ms) {
            ours = false;
        }
        else {
            remove_target(fleet, other);
        }
    }
    g_list_free(all);
    return ours;
}

static void
apply_target(struct fleet *fleet, struct fleet_target_rec *rec,
             struct change_answer *answer)
{
    struct fleet_target *target = fleet_find_target(fleet, rec->id);
    bool reborn = target != NULL && target->rec.born_ms != rec->born_ms;

    if ((target != NULL && target->rec.born_ms > rec->born_ms) ||
        !settle_address(fleet, rec)) {
        answer->err = FP_ERR_STALE;
        return;
    }
    if (target == NULL) {
        target = g_new0(struct fleet_target, 1);
        target->rec = *rec;
        g_hash_table_insert(fleet->targets, target->rec.id, target);
    }
    else {
        /* A target that is leaving does not come back as it was. */
        bool leaving = rec->leaving || (!reborn && target->rec.leaving);

        target->rec = *rec;
        target->rec.leaving = leaving;
    }
    if (fleet->ops.target_changed != NULL) {
        fleet->ops.target_changed(fleet->ops.ctx, target, reborn);
    }
}

static void
apply_target_gone(struct fleet *fleet, const struct fleet_target_gone *gone)
{
    struct fleet_target *target = fleet_find_target(fleet, gone->id);

    if (target != NULL &&
        (gone->born_ms == 0 || gone->born_ms == target->rec.born_ms)) {
        remove_target(fleet, target);
    }
}

/* ---- jobs --------------------------------------------------------------- */

enum fp_err
fleet_check_submit(const struct fleet_submit *submit, char *why,
                   size_t why_bytes)
{
    const struct fleet_step *step = submit->steps.items;
    uint64_t tasks = 0;

    if (submit->steps.count == 0) {
        snprintf(why, why_bytes, "a job has one step or more");
        return FP_ERR_BAD_REQUEST;
    }
    for (uint32_t i = 0; i < submit->steps.count; i++) {
        const struct fleet_after *after = step[i].after.items;

        if (step[i].count == 0 || step[i].count > FLEET_STEP_TASKS_MAX) {
            snprintf(why, why_bytes, "step %u: %u tasks are outside 1 to %u",
                     i, step[i].count, FLEET_STEP_TASKS_MAX);
            return FP_ERR_BAD_REQUEST;
        }
        for (uint32_t k = 0; k < step[i].after.count; k++) {
            if (after[k].step >= i) {
                snprintf(why, why_bytes, "step %u: comes after step %u", i,
                         after[k].step);
                return FP_ERR_BAD_REQUEST;
            }
        }
        tasks += step[i].count;
    }
    if (tasks * MAX(submit->occurrences, 1) > FLEET_JOB_TASKS_MAX) {
        snprintf(why, why_bytes, "over %u tasks", FLEET_JOB_TASKS_MAX);
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
fleet_is_live(const struct fleet_job *job)
{
    return job->ended_ms == 0;
}

uint32_t
fleet_task_number(const struct fleet_job *job,
                  const struct fleet_task_name *name)
{
    if (name->step >= job->step_count ||
        name->index >= job->steps[name->step].count ||
        name->occurrence >= MAX(job->submit.occurrences, 1)) {
        return UINT32_MAX;
    }
    return name->occurrence * job->occurrence_tasks +
           job->first_task[name->step] + name->index;
}

void
fleet_step_text(const struct fleet_task_name *name, char *out,
                size_t out_bytes)
{
    snprintf(out, out_bytes, "%016llx.%u.%u", (unsigned long long)name->job_id,
             name->occurrence, name->step);
}

void
fleet_task_text(const struct fleet_task_name *name, char *out,
                size_t out_bytes)
{
    snprintf(out, out_bytes, "%016llx.%u.%u.%u",
             (unsigned long long)name->job_id, name->occurrence, name->step,
             name->index);
}

/* Takes over submit. */
static struct fleet_job *
add_job(struct fleet *fleet, struct fleet_submit *submit)
{
    struct fleet_job *job = g_new0(struct fleet_job, 1);
    uint32_t tasks = 0;

    job->submit = *submit;
    memset(submit, 0, sizeof(*submit));
    job->queue = queue_at(fleet, job->submit.host, job->submit.prefix);
    if (job->queue == NULL) {
        job->queue = g_new0(struct fleet_queue, 1);
        g_strlcpy(job->queue->conf.host, job->submit.host, FLEET_NAME_BYTES);
        g_strlcpy(job->queue->conf.prefix, job->submit.prefix,
                  FLEET_PATH_BYTES);
        g_ptr_array_add(fleet->queues, job->queue);
    }
    if (job->submit.team[0] != '\0') {
        job->team = need_team(fleet, job->submit.team);
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
    job->left = job->task_count;
    job->tasks = g_new0(struct fleet_task, job->task_count);
    g_hash_table_insert(fleet->jobs, &job->submit.id, job);
    return job;
}

static void
end_job(struct fleet *fleet, struct fleet_job *job, enum fleet_job_state state,
        uint64_t at_ms)
{
    job->state = state;
    job->ended_ms = MAX(at_ms, 1);
    g_queue_push_tail(&fleet->ended, job);
    if (fleet->ops.job_ended != NULL) {
        fleet->ops.job_ended(fleet->ops.ctx, job);
    }
}

static void
apply_submit(struct fleet *fleet, struct fleet_submit *submit,
             struct change_answer *answer)
{
    struct fleet_job *job;

    if (fleet_find_job(fleet, submit->id) != NULL) {
        return; /* the same job, sent again */
    }
    if (fleet_check_submit(submit, answer->detail, sizeof(answer->detail)) !=
        FP_OK) {
        answer->err = FP_ERR_BAD_REQUEST;
        return;
    }
    job = add_job(fleet, submit);
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
    else if (fleet_is_live(job)) {
        end_job(fleet, job, JOB_CANCELLED, fleet->now_ms);
    }
}

/* A gang's failure is one failure of each of its tasks. */
static void
count_failure(struct fleet_job *job, uint32_t first, uint32_t count,
              uint32_t run)
{
    for (uint32_t i = first; i < first + count; i++) {
        struct fleet_task *task = &job->tasks[i];

        if (run > task->failed_run) {
            task->failed_run = run;
            task->failures = (uint8_t)MIN(task->failures + 1, UINT8_MAX);
        }
    }
}

static void
mark_done(struct fleet_job *job, uint32_t first, uint32_t count)
{
    for (uint32_t i = first; i < first + count; i++) {
        if (!job->tasks[i].done) {
            job->tasks[i].done = true;
            job->left--;
        }
    }
}

static void
keep_checkpoint(struct fleet_job *job, uint32_t first, uint32_t count,
                const char *checkpoint)
{
    for (uint32_t i = first; i < first + count; i++) {
        g_free(job->tasks[i].checkpoint);
        job->tasks[i].checkpoint = g_strdup(checkpoint);
    }
}

static void
apply_end(struct fleet *fleet, const struct fleet_end *end)
{
    struct fleet_job *job = fleet_find_job(fleet, end->task.job_id);
    uint32_t number;
    const struct fleet_step *step;
    uint32_t first;
    uint32_t count;

    if (job == NULL || !fleet_is_live(job)) {
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
        keep_checkpoint(job, first, count, end->checkpoint);
    }
    if (end->outcome == RUN_DONE && !step->lasting) {
        mark_done(job, first, count);
        if (job->left == 0) {
            end_job(fleet, job, JOB_COMPLETED, fleet->now_ms);
        }
    }
    else if (end->outcome == RUN_FAILED && !step->lasting) {
        const struct fleet_task *task = &job->tasks[number];
        uint32_t most = job->queue->conf.max_attempts;

        count_failure(job, first, count, end->run);
        if (!task->done && most != 0 && task->failures >= most) {
            end_job(fleet, job, JOB_FAILED, fleet->now_ms);
        }
    }
}

static void
apply_ends(struct fleet *fleet, const struct fleet_ends *ends)
{
    const struct fleet_end *end = ends->items.items;

    for (uint32_t i = 0; i < ends->items.count; i++) {
        apply_end(fleet, &end[i]);
    }
}

static void
drop_old_jobs(struct fleet *fleet)
{
    struct fleet_job *job = g_queue_peek_head(&fleet->ended);

    while (job != NULL && job->ended_ms + fleet->keep_ms < fleet->now_ms) {
        g_queue_pop_head(&fleet->ended);
        if (fleet->ops.job_removed != NULL) {
            fleet->ops.job_removed(fleet->ops.ctx, job);
        }
        g_hash_table_remove(fleet->jobs, &job->submit.id);
        job = g_queue_peek_head(&fleet->ended);
    }
}

/* ---- the log ------------------------------------------------------------ */

union fleet_change {
    struct change_head head;
    struct fleet_config config;
    struct fleet_target_rec target;
    struct fleet_target_gone gone;
    struct fleet_submit submit;
    struct fleet_cancel cancel;
    struct fleet_ends ends;
};

static const struct fp_schema *
schema_of(uint32_t type)
{
    switch (type) {
    case FLEET_CONFIG:
        return &FLEET_CONFIG_SCHEMA;
    case FLEET_TARGET:
        return &FLEET_TARGET_SCHEMA;
    case FLEET_TARGET_GONE:
        return &FLEET_TARGET_GONE_SCHEMA;
    case FLEET_SUBMIT:
        return &FLEET_SUBMIT_SCHEMA;
    case FLEET_CANCEL:
        return &FLEET_CANCEL_SCHEMA;
    case FLEET_ENDS:
        return &FLEET_ENDS_SCHEMA;
    default:
        return NULL;
    }
}

static void
apply_decoded(struct fleet *fleet, uint32_t type, union fleet_change *change,
              struct change_answer *answer)
{
    switch (type) {
    case FLEET_CONFIG:
        apply_config(fleet, &change->config);
        break;
    case FLEET_TARGET:
        apply_target(fleet, &change->target, answer);
        break;
    case FLEET_TARGET_GONE:
        apply_target_gone(fleet, &change->gone);
        break;
    case FLEET_SUBMIT:
        apply_submit(fleet, &change->submit, answer);
        break;
    case FLEET_CANCEL:
        apply_cancel(fleet, &change->cancel, answer);
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
        schema = schema_of(type);
    }
    if (schema == NULL ||
        fp_decode(schema, data, size_bytes, change) != FP_OK) {
        answer->err = FP_ERR_CORRUPT;
        g_free(change);
        return;
    }
    fleet->now_ms = MAX(fleet->now_ms, change->head.at_ms);
    apply_decoded(fleet, type, change, answer);
    answer->version = fleet->config.version;
    drop_old_jobs(fleet);
    fp_record_free(schema, change);
    g_free(change);
}

/* ---- snapshots ---------------------------------------------------------- */

static void
add_item(struct fleet_snapshot *snap, const struct fp_schema *schema,
         const void *record)
{
    struct fleet_snapshot_item *item =
        fp_list_add(&snap->items, sizeof(*item));

    fp_encode(schema, record, &item->record);
}

static void
save_job(struct fleet_snapshot *snap, const struct fleet_job *job)
{
    struct fleet_job_saved saved = {
        .submit = job->submit, .state = job->state, .ended_ms = job->ended_ms};

    for (uint32_t i = 0; i < job->task_count; i++) {
        const struct fleet_task *task = &job->tasks[i];
        struct fleet_task_saved *out;

        if (!task->done && task->failures == 0 && task->checkpoint == NULL) {
            continue;
        }
        out = fp_list_add(&saved.tasks, sizeof(*out));
        out->number = i;
        out->done = task->done;
        out->failures = task->failures;
        out->failed_run = task->failed_run;
        if (task->checkpoint != NULL) {
            g_strlcpy(out->checkpoint, task->checkpoint,
                      sizeof(out->checkpoint));
        }
    }
    add_item(snap, &FLEET_JOB_SAVED_SCHEMA, &saved);
    g_free(saved.tasks.items);
}

void
fleet_save(const struct fleet *fleet, struct fp_blob *out)
{
    struct fleet_snapshot snap = {.now_ms = fleet->now_ms};
    GHashTableIter iter;
    struct fleet_target *target;
    struct fleet_job *job;

    add_item(&snap, &FLEET_CONFIG_SCHEMA, &fleet->config);
    g_hash_table_iter_init(&iter, fleet->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        add_item(&snap, &FLEET_TARGET_SCHEMA, &target->rec);
    }
    g_hash_table_iter_init(&iter, fleet->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        if (fleet_is_live(job)) {
            save_job(&snap, job);
        }
    }
    for (GList *at = fleet->ended.head; at != NULL; at = at->next) {
        save_job(&snap, at->data);
    }
    fp_encode(&FLEET_SNAPSHOT_SCHEMA, &snap, out);
    fp_record_free(&FLEET_SNAPSHOT_SCHEMA, &snap);
}

static void
load_job(struct fleet *fleet, struct fleet_job_saved *saved)
{
    const struct fleet_task_saved *in = saved->tasks.items;
    struct fleet_job *job = add_job(fleet, &saved->submit);

    for (uint32_t i = 0; i < saved->tasks.count; i++) {
        struct fleet_task *task;

        if (in[i].number >= job->task_count) {
            continue;
        }
        task = &job->tasks[in[i].number];
        task->failures = (uint8_t)MIN(in[i].failures, UINT8_MAX);
        task->failed_run = in[i].failed_run;
        if (in[i].checkpoint[0] != '\0') {
            task->checkpoint = g_strdup(in[i].checkpoint);
        }
        if (in[i].done) {
            task->done = true;
            job->left--;
        }
    }
    job->state = saved->state;
    job->ended_ms = saved->ended_ms;
    if (!fleet_is_live(job)) {
        g_queue_push_tail(&fleet->ended, job);
    }
}

static enum fp_err
load_item(struct fleet *fleet, const struct fp_blob *blob)
{
    struct fleet_job_saved saved;
    union fleet_change change;
    uint32_t type = 0;
    enum fp_err err = fp_peek_type(blob->data, blob->size_bytes, &type);

    memset(&saved, 0, sizeof(saved));
    memset(&change, 0, sizeof(change));
    if (err != FP_OK) {
        return err;
    }
    if (type == FLEET_JOB_SAVED) {
        err = fp_decode(&FLEET_JOB_SAVED_SCHEMA, blob->data, blob->size_bytes,
                        &saved);
        if (err == FP_OK) {
            load_job(fleet, &saved);
            fp_record_free(&FLEET_JOB_SAVED_SCHEMA, &saved);
        }
    }
    else if (type == FLEET_CONFIG || type == FLEET_TARGET) {
        struct change_answer answer = {.err = FP_OK};

        err =
            fp_decode(schema_of(type), blob->data, blob->size_bytes, &change);
        if (err == FP_OK) {
            apply_decoded(fleet, type, &change, &answer);
            fp_record_free(schema_of(type), &change);
        }
    }
    else {
        err = FP_ERR_CORRUPT;
    }
    return err;
}

/* Moves the state of one fleet into another; their ops stay. */
static void
swap_state(struct fleet *a, struct fleet *b)
{
    struct fleet_ops ops = a->ops;
    struct fleet kept = *a;

    *a = *b;
    a->ops = ops;
    ops = b->ops;
    *b = kept;
    b->ops = ops;
}

enum fp_err
fleet_load(struct fleet *fleet, const struct fp_blob *state)
{
    struct fleet *fresh = fleet_new(fleet->keep_ms);
    struct fleet_snapshot snap = {.now_ms = 0};
    const struct fleet_snapshot_item *item;
    enum fp_err err = fp_decode(&FLEET_SNAPSHOT_SCHEMA, state->data,
                                state->size_bytes, &snap);

    if (err == FP_OK) {
        item = snap.items.items;
        fresh->now_ms = snap.now_ms;
        for (uint32_t i = 0; i < snap.items.count && err == FP_OK; i++) {
            err = load_item(fresh, &item[i].record);
        }
        fp_record_free(&FLEET_SNAPSHOT_SCHEMA, &snap);
    }
    if (err == FP_OK) {
        swap_state(fleet, fresh);
    }
    fleet_free(fresh);
    return err;
}
