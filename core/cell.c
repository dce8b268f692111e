/* cell.c -- tables, dispatch of changes, snapshots and invariants of a cell */
#include "core/cell.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "core/cellpriv.h"

static const cell_apply_fn APPLY[CHANGE_TYPE_COUNT] = {
    [CHANGE_TEAM] = cell_apply_team,
    [CHANGE_KEY] = cell_apply_key,
    [CHANGE_QUEUE] = cell_apply_queue,
    [CHANGE_QUIET_HOURS] = cell_apply_quiet_hours,
    [CHANGE_LABELS] = cell_apply_labels,
    [CHANGE_TARGET] = cell_apply_target,
    [CHANGE_TARGET_STATE] = cell_apply_target_state,
    [CHANGE_SUBMIT] = cell_apply_submit,
    [CHANGE_PLACE] = cell_apply_place,
    [CHANGE_END] = cell_apply_end,
    [CHANGE_CANCEL] = cell_apply_cancel,
    [CHANGE_OWNER] = cell_apply_owner,
    [CHANGE_GRANT] = cell_apply_grant,
    [CHANGE_PROCESS_ENDED] = cell_apply_process_ended,
    [CHANGE_INTENT] = cell_apply_intent,
    [CHANGE_OUTCOME] = cell_apply_outcome,
    [CHANGE_TASK_LEASE] = cell_apply_task_lease,
};

static void
free_recent_change(void *item)
{
    struct recent_change *recent = item;

    g_free(recent->detail);
    g_free(recent);
}

static void
create_tables(struct cell *cell)
{
    cell->teams =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, cell_free_team);
    cell->keys_by_hash = g_hash_table_new(g_str_hash, g_str_equal);
    cell->keys_by_name =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    cell->queues =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, cell_free_queue);
    cell->quiet_hours = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                              cell_free_quiet_hours);
    cell->targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, cell_free_target);
    cell->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                       cell_free_job);
    cell->recent_changes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                                 free_recent_change);
    cell->idempotency_entries = g_hash_table_new_full(
        g_str_hash, g_str_equal, NULL, cell_free_idempotency_entry);
    g_queue_init(&cell->ended_jobs);
    g_queue_init(&cell->recent_changes_order);
    g_queue_init(&cell->idempotency_order);
}

static void
destroy_tables(struct cell *cell)
{
    g_queue_clear(&cell->ended_jobs);
    g_queue_clear(&cell->recent_changes_order);
    g_queue_clear(&cell->idempotency_order);
    g_hash_table_destroy(cell->idempotency_entries);
    g_hash_table_destroy(cell->recent_changes);
    g_hash_table_destroy(cell->jobs);
    g_hash_table_destroy(cell->targets);
    g_hash_table_destroy(cell->quiet_hours);
    g_hash_table_destroy(cell->queues);
    g_hash_table_destroy(cell->keys_by_hash);
    g_hash_table_destroy(cell->keys_by_name);
    g_hash_table_destroy(cell->teams);
}

static void
add_recent_change(struct cell *cell, const char *change_id, uint32_t err,
                  uint64_t version, uint64_t id, const char *detail)
{
    struct recent_change *recent;

    if (g_hash_table_contains(cell->recent_changes, change_id)) {
        return;
    }
    recent = g_new0(struct recent_change, 1);
    g_strlcpy(recent->change_id, change_id, sizeof(recent->change_id));
    recent->err = err;
    recent->version = version;
    recent->id = id;
    recent->detail = detail[0] == '\0' ? NULL : g_strdup(detail);
    g_hash_table_insert(cell->recent_changes, recent->change_id, recent);
    g_queue_push_tail(&cell->recent_changes_order, recent);
    while (g_queue_get_length(&cell->recent_changes_order) >
           CELL_RECENT_CHANGES_MAX) {
        struct recent_change *oldest =
            g_queue_pop_head(&cell->recent_changes_order);

        g_hash_table_remove(cell->recent_changes, oldest->change_id);
    }
}

/* Gives a change that was sent again the answer to its first copy. Returns
 * false when there was none.
 */
static bool
answer_from_recent_change(const struct cell *cell, const char *change_id,
                          struct change_answer *answer)
{
    const struct recent_change *recent;

    if (change_id[0] == '\0') {
        return false;
    }
    recent = g_hash_table_lookup(cell->recent_changes, change_id);
    if (recent == NULL) {
        return false;
    }
    answer->err = recent->err;
    answer->version = recent->version;
    answer->id = recent->id;
    if (recent->detail != NULL) {
        g_strlcpy(answer->detail, recent->detail, sizeof(answer->detail));
    }
    return true;
}

struct cell *
cell_new(const struct cell_ops *ops)
{
    struct cell *cell = g_new0(struct cell, 1);

    if (ops != NULL) {
        cell->ops = *ops;
    }
    create_tables(cell);
    return cell;
}

void
cell_free(struct cell *cell)
{
    if (cell == NULL) {
        return;
    }
    destroy_tables(cell);
    g_free(cell);
}

void
cell_refuse(struct change_answer *answer, enum fp_err err, const char *format,
            ...)
{
    va_list args;

    answer->err = err;
    va_start(args, format);
    vsnprintf(answer->detail, sizeof(answer->detail), format, args);
    va_end(args);
}

bool
cell_check_version(struct change_answer *answer, bool check, uint64_t given,
                   uint64_t current)
{
    if (!check || given == current) {
        return true;
    }
    cell_refuse(answer, FP_ERR_VERSION_CONFLICT,
                "field version: %llu is not the current one, which is %llu",
                (unsigned long long)given, (unsigned long long)current);
    answer->version = current;
    return false;
}

void
cell_notify_task(struct cell *cell, struct task *task,
                 enum task_state old_state)
{
    if (cell->ops.task_changed != NULL) {
        cell->ops.task_changed(cell->ops.ctx, task, old_state);
    }
}

void
cell_notify_target(struct cell *cell, struct target *target)
{
    if (cell->ops.target_changed != NULL) {
        cell->ops.target_changed(cell->ops.ctx, target);
    }
}

void
cell_apply(struct cell *cell, uint64_t index, const uint8_t *data,
           size_t size_bytes, struct change_answer *answer)
{
    uint32_t type = 0;
    const struct fp_schema *schema = NULL;
    struct change_head *head;

    memset(answer, 0, sizeof(*answer));
    if (fp_peek_type(data, size_bytes, &type) == FP_OK) {
        schema = change_schema(type);
    }
    if (schema == NULL) {
        cell_refuse(answer, FP_ERR_CORRUPT, "unknown type of change");
        cell->refused_changes[answer->err]++;
        return;
    }
    head = g_malloc0(schema->size_bytes);
    if (fp_decode(schema, data, size_bytes, head) != FP_OK) {
        cell_refuse(answer, FP_ERR_CORRUPT, "malformed change");
        goto done;
    }
    cell->now_ms = MAX(cell->now_ms, head->at_ms);
    if (answer_from_recent_change(cell, head->change_id, answer)) {
        goto done;
    }
    APPLY[type](cell, index, head, answer);
    if (head->change_id[0] != '\0') {
        add_recent_change(cell, head->change_id, answer->err, answer->version,
                          answer->id, answer->detail);
    }
    cell_expire_jobs(cell);
    cell_expire_idempotency(cell);

done:
    if (answer->err != FP_OK) {
        cell->refused_changes[answer->err]++;
    }
    fp_record_free(schema, head);
    g_free(head);
}

/* Appends a record, preceded by its size as a 32-bit little-endian number. */
static void
save_record(GByteArray *out, const struct fp_schema *schema,
            const void *record)
{
    struct fp_blob blob;
    uint32_t size;

    fp_encode(schema, record, &blob);
    size = GUINT32_TO_LE(blob.size_bytes);
    g_byte_array_append(out, (const guint8 *)&size, sizeof(size));
    g_byte_array_append(out, blob.data, blob.size_bytes);
    fp_blob_free(&blob);
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(a, b);
}

static gint
compare_ids(gconstpointer a, gconstpointer b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;

    return x < y ? -1 : x > y;
}

/* Saves the records in order of their names, so that equal states give equal
 * bytes.
 */
static void
save_table(GByteArray *out, GHashTable *table, const struct fp_schema *schema)
{
    GList *names = g_list_sort(g_hash_table_get_keys(table), compare_names);

    for (GList *link = names; link != NULL; link = link->next) {
        save_record(out, schema, g_hash_table_lookup(table, link->data));
    }
    g_list_free(names);
}

static void
save_grants(GByteArray *out, const struct cell *cell)
{
    GList *names =
        g_list_sort(g_hash_table_get_keys(cell->teams), compare_names);

    for (GList *link = names; link != NULL; link = link->next) {
        const struct team *team = cell_team(cell, link->data);

        for (guint i = 0; i < team->grants->len; i++) {
            const struct grant *grant =
                &g_array_index(team->grants, struct grant, i);
            struct change_grant change = {.run_id = grant->run_id,
                                          .units = grant->units};

            g_strlcpy(change.team, team->conf.name, sizeof(change.team));
            g_strlcpy(change.host, grant->host, sizeof(change.host));
            save_record(out, &CHANGE_GRANT_SCHEMA, &change);
        }
    }
    g_list_free(names);
}

static void
save_tasks(GByteArray *out, const struct job *job)
{
    for (uint32_t i = 0; i < job->rec.count; i++) {
        const struct task *task = &job->tasks[i];
        struct record_task record = {
            .id = task->id,
            .state = task->state,
            .attempt = task->attempt,
            .failures = task->failures,
            .restarts = task->restarts,
            .exit_code = task->exit_code,
            .last_outcome = task->last_outcome,
            .started_ms = task->started_ms,
            .ended_ms = task->ended_ms,
            .retry_at_ms = task->retry_at_ms,
            .cancelling = task->cancelling,
        };

        if (task->target != NULL) {
            g_strlcpy(record.target, task->target->rec.name,
                      sizeof(record.target));
        }
        save_record(out, &RECORD_TASK_SCHEMA, &record);
    }
}

static void
save_jobs(GByteArray *out, const struct cell *cell)
{
    GList *ids = g_list_sort(g_hash_table_get_keys(cell->jobs), compare_ids);

    for (GList *link = ids; link != NULL; link = link->next) {
        const struct job *job = g_hash_table_lookup(cell->jobs, link->data);

        save_record(out, &CHANGE_SUBMIT_SCHEMA, &job->rec);
        save_tasks(out, job);
    }
    g_list_free(ids);
}

static void
save_idempotency_entries(GByteArray *out, const struct cell *cell)
{
    for (GList *link = cell->idempotency_order.head; link != NULL;
         link = link->next) {
        const struct idempotency_entry *entry = link->data;
        const char *separator = strchr(entry->key, '\n');
        struct record_idempotency record = {
            .run_id = entry->run_id,
            .state = entry->state,
            .deadline_ms = entry->deadline_ms,
            .ended_ms = entry->ended_ms,
            .err = entry->err,
            .status = entry->status,
            .body = entry->body,
        };

        memcpy(record.team, entry->key, (size_t)(separator - entry->key));
        g_strlcpy(record.key, separator + 1, sizeof(record.key));
        g_strlcpy(record.digest, entry->digest, sizeof(record.digest));
        if (entry->content_type != NULL) {
            g_strlcpy(record.content_type, entry->content_type,
                      sizeof(record.content_type));
        }
        save_record(out, &RECORD_IDEMPOTENCY_SCHEMA, &record);
    }
}

static void
save_recent_changes(GByteArray *out, const struct cell *cell)
{
    for (GList *link = cell->recent_changes_order.head; link != NULL;
         link = link->next) {
        const struct recent_change *recent = link->data;
        struct change_answer answer = {
            .err = recent->err, .version = recent->version, .id = recent->id};
        struct record_recent_change record = {{0}, {NULL, 0}};

        if (recent->detail != NULL) {
            g_strlcpy(answer.detail, recent->detail, sizeof(answer.detail));
        }
        g_strlcpy(record.change_id, recent->change_id,
                  sizeof(record.change_id));
        fp_encode(&CHANGE_ANSWER_SCHEMA, &answer, &record.answer);
        save_record(out, &RECORD_RECENT_CHANGE_SCHEMA, &record);
        fp_blob_free(&record.answer);
    }
}

void
cell_save(const struct cell *cell, struct fp_blob *out)
{
    GByteArray *bytes = g_byte_array_new();
    struct record_cell record = {.now_ms = cell->now_ms,
                                 .config_version = cell->config_version,
                                 .former_request_ms = cell->former_request_ms,
                                 .former_until_ms = cell->former_until_ms,
                                 .task_lease_ms = cell->task_lease_ms};

    /* Records that others refer to come first: teams before grants, queues
     * and targets before jobs and tasks. */
    save_record(bytes, &RECORD_CELL_SCHEMA, &record);
    save_table(bytes, cell->teams, &CHANGE_TEAM_SCHEMA);
    save_table(bytes, cell->keys_by_name, &CHANGE_KEY_SCHEMA);
    save_table(bytes, cell->queues, &CHANGE_QUEUE_SCHEMA);
    save_table(bytes, cell->quiet_hours, &CHANGE_QUIET_HOURS_SCHEMA);
    save_table(bytes, cell->targets, &CHANGE_TARGET_SCHEMA);
    save_grants(bytes, cell);
    save_jobs(bytes, cell);
    save_idempotency_entries(bytes, cell);
    save_recent_changes(bytes, cell);
    out->size_bytes = bytes->len;
    out->data = g_byte_array_free(bytes, FALSE);
}

static void
restore_grant(struct cell *cell, const struct change_grant *change)
{
    struct team *team = cell_team(cell, change->team);
    struct grant grant = {.run_id = change->run_id, .units = change->units};

    if (team != NULL) {
        g_strlcpy(grant.host, change->host, sizeof(grant.host));
        g_array_append_val(team->grants, grant);
        team->granted_units += grant.units;
    }
}

static bool
restore_recent_change(struct cell *cell,
                      const struct record_recent_change *record)
{
    struct change_answer answer;

    if (fp_decode(&CHANGE_ANSWER_SCHEMA, record->answer.data,
                  record->answer.size_bytes, &answer) != FP_OK) {
        return false;
    }
    add_recent_change(cell, record->change_id, answer.err, answer.version,
                      answer.id, answer.detail);
    fp_record_free(&CHANGE_ANSWER_SCHEMA, &answer);
    return true;
}

static void
restore_cell(struct cell *cell, const struct record_cell *record)
{
    cell->now_ms = record->now_ms;
    cell->config_version = record->config_version;
    cell->former_request_ms = record->former_request_ms;
    cell->former_until_ms = record->former_until_ms;
    cell->task_lease_ms = record->task_lease_ms;
}

/* Adds one decoded record of a snapshot to the state. */
static bool
restore_record(struct cell *cell, uint32_t type, void *record)
{
    char why[160];

    switch (type) {
    case RECORD_CELL:
        restore_cell(cell, record);
        return true;
    case CHANGE_TEAM:
        cell_put_team(cell, record);
        return true;
    case CHANGE_KEY:
        cell_put_key(cell, record);
        return true;
    case CHANGE_QUEUE:
        return cell_put_queue(cell, record, why, sizeof(why)) == FP_OK;
    case CHANGE_QUIET_HOURS:
        return cell_put_quiet_hours(cell, record, why, sizeof(why)) == FP_OK;
    case CHANGE_TARGET:
        cell_put_target(cell, record);
        return true;
    case CHANGE_GRANT:
        restore_grant(cell, record);
        return true;
    case CHANGE_SUBMIT:
        return cell_restore_job(cell, record) != NULL;
    case RECORD_TASK:
        cell_restore_task(cell, record);
        return true;
    case RECORD_IDEMPOTENCY:
        cell_restore_idempotency_entry(cell, record);
        return true;
    case RECORD_RECENT_CHANGE:
        return restore_recent_change(cell, record);
    default:
        return false;
    }
}

/* Returns the schema of a record type in snapshots, or NULL. */
static const struct fp_schema *
snapshot_schema(uint32_t type)
{
    switch (type) {
    case RECORD_TASK:
        return &RECORD_TASK_SCHEMA;
    case RECORD_IDEMPOTENCY:
        return &RECORD_IDEMPOTENCY_SCHEMA;
    case RECORD_RECENT_CHANGE:
        return &RECORD_RECENT_CHANGE_SCHEMA;
    case RECORD_CELL:
        return &RECORD_CELL_SCHEMA;
    default:
        return change_schema(type);
    }
}

static bool
load_record(struct cell *cell, const uint8_t *data, uint32_t size_bytes)
{
    uint32_t type;
    const struct fp_schema *schema;
    void *record;
    bool ok;

    if (fp_peek_type(data, size_bytes, &type) != FP_OK) {
        return false;
    }
    schema = snapshot_schema(type);
    if (schema == NULL) {
        return false;
    }
    record = g_malloc0(schema->size_bytes);
    ok = fp_decode(schema, data, size_bytes, record) == FP_OK;
    if (ok) {
        ok = restore_record(cell, type, record);
        fp_record_free(schema, record);
    }
    g_free(record);
    return ok;
}

enum fp_err
cell_load(struct cell *cell, const struct fp_blob *blob)
{
    uint32_t offset = 0;

    destroy_tables(cell);
    create_tables(cell);
    cell->idempotency_body_bytes = 0;
    memset(cell->state_counts, 0, sizeof(cell->state_counts));
    while (offset + sizeof(uint32_t) <= blob->size_bytes) {
        uint32_t size;

        memcpy(&size, blob->data + offset, sizeof(size));
        size = GUINT32_FROM_LE(size);
        offset += sizeof(size);
        if (size > blob->size_bytes - offset ||
            !load_record(cell, blob->data + offset, size)) {
            destroy_tables(cell);
            create_tables(cell);
            return FP_ERR_CORRUPT;
        }
        offset += size;
    }
    return offset == blob->size_bytes ? FP_OK : FP_ERR_CORRUPT;
}

struct team *
cell_team(const struct cell *cell, const char *name)
{
    return g_hash_table_lookup(cell->teams, name);
}

struct queue *
cell_queue(const struct cell *cell, const char *name)
{
    return g_hash_table_lookup(cell->queues, name);
}

struct target *
cell_target(const struct cell *cell, const char *name)
{
    return g_hash_table_lookup(cell->targets, name);
}

struct job *
cell_job(const struct cell *cell, uint64_t id)
{
    return g_hash_table_lookup(cell->jobs, &id);
}

struct task *
cell_task(const struct cell *cell, uint64_t id)
{
    struct job *job = cell_job(cell, id / TASK_IDS_PER_JOB);
    uint64_t index = id % TASK_IDS_PER_JOB;

    return job == NULL || index >= job->rec.count ? NULL : &job->tasks[index];
}

enum fp_err
cell_key_team(const struct cell *cell, const char *hash, const char **team)
{
    const struct change_key *key =
        g_hash_table_lookup(cell->keys_by_hash, hash);

    if (key == NULL || key->withdrawn) {
        return FP_ERR_NO_KEY;
    }
    *team = key->team;
    return FP_OK;
}

enum fp_err
cell_check_queue_access(const struct queue *queue, const char *team)
{
    if (queue->conf.open) {
        return FP_OK;
    }
    if (team == NULL) {
        return FP_ERR_NO_KEY;
    }
    if (queue->conf.team[0] != '\0' && strcmp(queue->conf.team, team) != 0) {
        return FP_ERR_NOT_ALLOWED;
    }
    return FP_OK;
}

static bool
check_target_usage(const struct target *target, char *why, size_t why_bytes)
{
    struct resources sum = {0, 0, 0, 0};

    for (const struct task *task = target->first_task; task != NULL;
         task = task->next_on_target) {
        sum.running++;
        sum.cpu_milli += task->job->rec.cpu_milli;
        sum.memory_mb += task->job->rec.memory_mb;
        sum.accel += task->job->rec.accel;
    }
    if (sum.running != target->used.running ||
        sum.cpu_milli != target->used.cpu_milli ||
        sum.memory_mb != target->used.memory_mb ||
        sum.accel != target->used.accel) {
        snprintf(why, why_bytes, "target %s: sums differ from its tasks",
                 target->rec.name);
        return false;
    }
    if (sum.cpu_milli > target->rec.cpu_milli ||
        sum.memory_mb > target->rec.memory_mb ||
        sum.accel > target->rec.accel) {
        snprintf(why, why_bytes, "target %s is overcommitted",
                 target->rec.name);
        return false;
    }
    return true;
}

bool
cell_check_invariants(const struct cell *cell, char *why, size_t why_bytes)
{
    GHashTableIter iter;
    struct target *target;
    struct team *team;

    g_hash_table_iter_init(&iter, cell->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        if (!check_target_usage(target, why, why_bytes)) {
            return false;
        }
    }
    g_hash_table_iter_init(&iter, cell->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        uint32_t sum = 0;

        for (guint i = 0; i < team->grants->len; i++) {
            sum += g_array_index(team->grants, struct grant, i).units;
        }
        if (sum != team->granted_units) {
            snprintf(why, why_bytes, "team %s: grants differ from their sum",
                     team->conf.name);
            return false;
        }
    }
    return true;
}
