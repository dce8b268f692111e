/* apiquery.c -- the query routes of the HTTP API */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#include "node/apipriv.h"

#define JOBS_LIST_MAX 1000u

void
api_get_health(struct api *api, struct http_request *request,
               const char *suffix)
{
    (void)api;
    (void)suffix;
    http_reply(request, 200, "text/plain", "ok\n", 3, 0);
}

/* Readiness check of the load balancer: 200 while this host should receive
 * requests, else 503.
 */
void
api_get_ready(struct api *api, struct http_request *request,
              const char *suffix)
{
    (void)suffix;
    if (api->deps.is_ready(api->deps.ctx)) {
        http_reply(request, 200, "text/plain", "ready\n", 6, 0);
    }
    else {
        http_reply(request, 503, "text/plain", "not ready\n", 10, 0);
    }
}

static uint32_t
count_targets_up(const struct cell *cell)
{
    GHashTableIter iter;
    struct target *target;
    uint32_t count = 0;

    g_hash_table_iter_init(&iter, cell->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        if (target->rec.state == TARGET_UP) {
            count++;
        }
    }
    return count;
}

static json_t *
task_counts(const struct cell *cell)
{
    json_t *counts = json_object();

    for (int i = 0; i < TASK_STATE_COUNT; i++) {
        json_object_set_new(counts, TASK_STATE_NAMES[i],
                            json_integer(cell->state_counts[i]));
    }
    return counts;
}

static json_t *
status_body(const struct api *api)
{
    const struct replica *replica = api->deps.replica;
    const struct cell *cell = replica_cell(replica);
    const struct raft *raft = replica_raft(replica);

    return json_pack(
        "{s:s,s:s,s:b,s:b,s:b,s:I,s:I,s:I,s:I,s:i,s:i,s:o}", "host",
        api->deps.settings->host, "leader", raft_leader_host(raft),
        "is_leader", replica_is_leader(replica), "fresh",
        replica_is_fresh(replica), "ready", api->deps.is_ready(api->deps.ctx),
        "term", (json_int_t)raft_term(raft), "commit_index",
        (json_int_t)raft_commit_index(raft), "applied_index",
        (json_int_t)raft_applied_index(raft), "config_version",
        (json_int_t)cell->config_version, "targets",
        g_hash_table_size(cell->targets), "targets_up", count_targets_up(cell),
        "tasks", task_counts(cell));
}

void
api_get_status(struct api *api, struct http_request *request,
               const char *suffix)
{
    (void)suffix;
    api_reply(request, 200, status_body(api), 0);
}

static json_t *
process_body(void)
{
    struct rusage usage;

    getrusage(RUSAGE_SELF, &usage);
    return json_pack(
        "{s:I,s:I,s:I}", "user_us",
        (json_int_t)usage.ru_utime.tv_sec * 1000000 + usage.ru_utime.tv_usec,
        "system_us",
        (json_int_t)usage.ru_stime.tv_sec * 1000000 + usage.ru_stime.tv_usec,
        "peak_memory_kb", (json_int_t)usage.ru_maxrss);
}

static json_t *
refused_changes_body(const struct cell *cell)
{
    json_t *refused = json_object();

    for (int i = 0; i < FP_ERR_COUNT; i++) {
        if (cell->refused_changes[i] > 0) {
            json_object_set_new(
                refused, fp_err_row((enum fp_err)i)->name,
                json_integer((json_int_t)cell->refused_changes[i]));
        }
    }
    return refused;
}

static json_t *
dump_body(const struct api *api)
{
    const struct cell *cell = replica_cell(api->deps.replica);
    json_t *dump = json_pack(
        "{s:o,s:o,s:o,s:o,s:o,s:{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:o}}", "status",
        status_body(api), "process", process_body(), "replica",
        replica_dump(api->deps.replica), "gateway",
        gateway_dump(api->deps.gateway), "owner", owner_dump(api->deps.owner),
        "cell", "teams", (json_int_t)g_hash_table_size(cell->teams), "keys",
        (json_int_t)g_hash_table_size(cell->keys_by_name), "queues",
        (json_int_t)g_hash_table_size(cell->queues), "targets",
        (json_int_t)g_hash_table_size(cell->targets), "jobs",
        (json_int_t)g_hash_table_size(cell->jobs), "change_ids",
        (json_int_t)g_hash_table_size(cell->recent_changes),
        "idempotency_keys",
        (json_int_t)g_hash_table_size(cell->idempotency_entries), "refused",
        refused_changes_body(cell));

    api->deps.extend_dump(api->deps.ctx, dump);
    return dump;
}

void
api_get_dump(struct api *api, struct http_request *request, const char *suffix)
{
    char why[160] = "";
    json_t *dump = dump_body(api);

    (void)suffix;
    json_object_set_new(
        dump, "invariants_hold",
        json_boolean(cell_check_invariants(replica_cell(api->deps.replica),
                                           why, sizeof(why))));
    json_object_set_new(dump, "invariant_broken", json_string(why));
    api_reply(request, 200, dump, 0);
}

/* Appends each integer and boolean of the object, nested ones included, as a
 * line "PREFIX_KEY_KEY... VALUE" of the Prometheus text format.
 */
static void
append_metrics(GString *out, const char *prefix, const json_t *object)
{
    const char *key;
    json_t *value;

    json_object_foreach((json_t *)object, key, value)
    {
        char *name = g_strdup_printf("%s_%s", prefix, key);

        g_strdelimit(name, "-. ", '_');
        if (json_is_object(value)) {
            append_metrics(out, name, value);
        }
        else if (json_is_integer(value)) {
            g_string_append_printf(out, "%s %lld\n", name,
                                   (long long)json_integer_value(value));
        }
        else if (json_is_boolean(value)) {
            g_string_append_printf(out, "%s %d\n", name, json_is_true(value));
        }
        g_free(name);
    }
}

void
api_get_metrics(struct api *api, struct http_request *request,
                const char *suffix)
{
    GString *out = g_string_new(NULL);
    json_t *dump = dump_body(api);

    (void)suffix;
    append_metrics(out, "filbertpath", dump);
    json_decref(dump);
    http_reply(request, 200, "text/plain; version=0.0.4", out->str, out->len,
               0);
    g_string_free(out, TRUE);
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(a, b);
}

/* Lists the records of a table by name, without the fields that concern only
 * the change that wrote them.
 */
static json_t *
list_table(GHashTable *table, const struct fp_schema *schema)
{
    GList *names = g_list_sort(g_hash_table_get_keys(table), compare_names);
    json_t *list = json_array();

    for (GList *link = names; link != NULL; link = link->next) {
        json_t *object =
            fp_to_json(schema, g_hash_table_lookup(table, link->data));

        json_object_del(object, "check_version");
        json_object_del(object, "change_id");
        json_object_del(object, "remove");
        json_array_append_new(list, object);
    }
    g_list_free(names);
    return list;
}

/* GET /v1/config/KIND */
void
api_get_config(struct api *api, struct http_request *request,
               const char *suffix)
{
    const struct cell *cell = replica_cell(api->deps.replica);
    json_t *list = NULL;

    if (!replica_is_fresh(api->deps.replica)) {
        http_reply_error(request, FP_ERR_NOT_FRESH, "");
        return;
    }
    if (strcmp(suffix, "team") == 0) {
        list = list_table(cell->teams, &CHANGE_TEAM_SCHEMA);
    }
    else if (strcmp(suffix, "key") == 0) {
        list = list_table(cell->keys_by_name, &CHANGE_KEY_SCHEMA);
    }
    else if (strcmp(suffix, "queue") == 0) {
        list = list_table(cell->queues, &CHANGE_QUEUE_SCHEMA);
    }
    else if (strcmp(suffix, "hours") == 0) {
        list = list_table(cell->quiet_hours, &CHANGE_HOURS_SCHEMA);
    }
    if (list == NULL) {
        http_reply_error(request, FP_ERR_NOT_FOUND,
                         "config is one of: team, key, queue, hours");
        return;
    }
    api_reply(request, 200, list, 0);
}

void
api_get_targets(struct api *api, struct http_request *request,
                const char *suffix)
{
    const struct cell *cell = replica_cell(api->deps.replica);
    json_t *list = list_table(cell->targets, &CHANGE_TARGET_SCHEMA);
    size_t index;
    json_t *object;

    (void)suffix;
    json_array_foreach(list, index, object)
    {
        const struct target *target = cell_target(
            cell, json_string_value(json_object_get(object, "name")));

        json_object_set_new(
            object, "committed",
            json_pack("{s:i,s:I,s:I,s:I}", "running", target->used.running,
                      "cpu_milli", (json_int_t)target->used.cpu_milli,
                      "memory_mb", (json_int_t)target->used.memory_mb, "accel",
                      (json_int_t)target->used.accel));
    }
    api_reply(request, 200, list, 0);
}

static json_t *
task_body(const struct task *task)
{
    return json_pack(
        "{s:I,s:s,s:i,s:i,s:i,s:s,s:s,s:I,s:I,s:b}", "id",
        (json_int_t)task->id, "state", TASK_STATE_NAMES[task->state],
        "attempt", task->attempt, "failures", task->failures, "exit_code",
        task->exit_code, "last_outcome",
        task->attempt == 0 || task->state == TASK_RUNNING
            ? ""
            : END_OUTCOME_NAMES[task->last_outcome],
        "target", task->target == NULL ? "" : task->target->rec.name,
        "started_ms", (json_int_t)task->started_ms, "ended_ms",
        (json_int_t)task->ended_ms, "cancelling", task->cancelling);
}

static json_t *
job_body(const struct job *job, bool with_tasks)
{
    uint32_t counts[TASK_STATE_COUNT] = {0};
    json_t *body;
    json_t *tasks = json_array();

    for (uint32_t i = 0; i < job->rec.count; i++) {
        counts[job->tasks[i].state]++;
        if (with_tasks) {
            json_array_append_new(tasks, task_body(&job->tasks[i]));
        }
    }
    body =
        json_pack("{s:I,s:s,s:s,s:s,s:i,s:I}", "id", (json_int_t)job->rec.id,
                  "queue", job->rec.queue, "team", job->rec.team, "kind",
                  WORK_KIND_NAMES[job->rec.kind], "count", job->rec.count,
                  "submitted_ms", (json_int_t)job->rec.submitted_ms);
    for (int i = 0; i < TASK_STATE_COUNT; i++) {
        json_object_set_new(body, TASK_STATE_NAMES[i],
                            json_integer(counts[i]));
    }
    if (with_tasks) {
        json_object_set(body, "tasks", tasks);
    }
    json_decref(tasks);
    return body;
}

/* GET /v1/jobs/ID: operators may read any job, teams their own and those of
 * open queues.
 */
void
api_get_job(struct api *api, struct http_request *request, const char *suffix)
{
    const struct cell *cell = replica_cell(api->deps.replica);
    const struct job *job = cell_job(cell, g_ascii_strtoull(suffix, NULL, 10));
    char team[NAME_BYTES] = "";
    char hash[72];

    if (!api_is_operator(api, request)) {
        enum fp_err err = gateway_authenticate(cell, request, team, hash);

        if (err != FP_OK) {
            http_reply_error(request, err, "");
            return;
        }
        if (job != NULL && strcmp(job->rec.team, team) != 0 &&
            !(job->queue != NULL && job->queue->conf.open)) {
            job = NULL; /* do not reveal that another team's job exists */
        }
    }
    if (!replica_is_fresh(api->deps.replica)) {
        http_reply_error(request, FP_ERR_NOT_FRESH, "");
        return;
    }
    if (job == NULL) {
        http_reply_error(request, FP_ERR_NOT_FOUND, "no such job");
        return;
    }
    api_reply(request, 200, job_body(job, true), 0);
}

static gint
compare_newest_first(gconstpointer a, gconstpointer b)
{
    uint64_t id_a = ((const struct job *)a)->rec.id;
    uint64_t id_b = ((const struct job *)b)->rec.id;

    return id_a > id_b ? -1 : id_a < id_b;
}

/* GET /v1/jobs: the newest JOBS_LIST_MAX jobs, newest first. */
void
api_get_jobs(struct api *api, struct http_request *request, const char *suffix)
{
    const struct cell *cell = replica_cell(api->deps.replica);
    GList *jobs =
        g_list_sort(g_hash_table_get_values(cell->jobs), compare_newest_first);
    json_t *list = json_array();

    (void)suffix;
    for (GList *link = jobs;
         link != NULL && json_array_size(list) < JOBS_LIST_MAX;
         link = link->next) {
        json_array_append_new(list, job_body(link->data, false));
    }
    g_list_free(jobs);
    api_reply(request, 200, list, 0);
}
