/* dispatch.c -- the leader's work: its life, and the calls it answers */
#include "node/dispatch.h"

#include <string.h>

#include "base/event.h"
#include "base/log.h"
#include "node/dispatchpriv.h"

#define RUNS_A_TERM 1024u /* run numbers of inherited tasks in one term */
#define ID_DIGITS 16u
#define FORM_WAIT_MS 5000u /* for all seeds to join a new cell */

struct pending *
dispatch_add_pending(struct dispatch *dispatch, const struct lane *lane)
{
    struct pending *pending = g_new0(struct pending, 1);

    pending->dispatch = dispatch;
    if (lane != NULL) {
        g_strlcpy(pending->id, lane->id, sizeof(pending->id));
        pending->born_ms = lane->born_ms;
    }
    g_hash_table_add(dispatch->pending, pending);
    return pending;
}

void
dispatch_drop_pending(struct pending *pending)
{
    if (pending->dispatch != NULL) {
        g_hash_table_remove(pending->dispatch->pending, pending);
    }
    g_free(pending->checkpoint);
    g_free(pending->ticket);
    fp_blob_free(&pending->spec);
    g_free(pending);
}

/* ---- answers ------------------------------------------------------------ */

/* A caller whose change is on its way to the log. */
struct waiting_caller {
    struct pending *pending;
    struct relay *relay;
    struct relay_caller caller;
    uint64_t job_id; /* of a submission */
};

static void
answer_err(struct dispatch *dispatch, const struct relay_caller *caller,
           enum fp_err err)
{
    struct call_answer answer = {.err = err};

    relay_answer(dispatch->parts.relay, caller, FP_OK, &answer);
}

static void
on_change(void *ctx, enum fp_err err, const struct change_answer *change)
{
    struct waiting_caller *waiting = ctx;
    struct call_answer answer = {.err = err == FP_OK ? change->err : err};

    if (waiting->pending->dispatch != NULL && waiting->job_id != 0) {
        g_hash_table_remove(waiting->pending->dispatch->taking,
                            &waiting->job_id);
    }
    if (waiting->pending->dispatch != NULL) {
        histogram_add(&waiting->pending->dispatch->times.commit,
                      clock_mono_ms() - waiting->pending->asked_ms);
    }
    relay_answer(waiting->relay, &waiting->caller, FP_OK, &answer);
    dispatch_drop_pending(waiting->pending);
    g_free(waiting);
}

static void
propose(struct dispatch *dispatch, const struct relay_caller *caller,
        const struct fp_schema *schema, void *change, uint64_t job_id)
{
    struct waiting_caller *waiting = g_new0(struct waiting_caller, 1);

    waiting->pending = dispatch_add_pending(dispatch, NULL);
    waiting->relay = dispatch->parts.relay;
    waiting->caller = *caller;
    waiting->job_id = job_id;
    waiting->pending->asked_ms = clock_mono_ms();
    replica_propose(dispatch->parts.replica, schema, change, on_change,
                    waiting);
}

/* ---- callers' calls ----------------------------------------------------- */

/* Checks place and key; the team is NULL on an open queue without a key. */
static enum fp_err
find_place(struct dispatch *dispatch, const struct call_job *call,
           struct fleet_queue **queue, struct fleet_team **team)
{
    const struct fleet *fleet = dispatch->parts.fleet;

    *team = NULL;
    *queue = fleet_find_queue(fleet, call->host, call->path);
    if (fleet->config.version == 0) {
        return FP_ERR_CONFIG_STALE;
    }
    if (*queue == NULL) {
        return FP_ERR_NOT_FOUND;
    }
    if (call->has_key) {
        *team = g_hash_table_lookup(fleet->teams_by_key, call->key);
    }
    if (*team == NULL && (call->has_key || !(*queue)->conf.open)) {
        return FP_ERR_NO_KEY;
    }
    return FP_OK;
}

static bool
parse_id(const struct fleet_queue *queue, const char *path, uint64_t *id)
{
    const char *text = path + strlen(queue->conf.prefix);

    return strlen(text) == ID_DIGITS &&
           strspn(text, "0123456789abcdef") == ID_DIGITS &&
           g_ascii_string_to_unsigned(text, 16, 0, UINT64_MAX, id, NULL);
}

/* Finds a job by place; FP_ERR_GONE when it is not of that queue. */
static enum fp_err
find_job(struct dispatch *dispatch, const struct call_job *call,
         struct fleet_job **job)
{
    struct fleet_queue *queue;
    struct fleet_team *team;
    uint64_t id = 0;
    enum fp_err err = find_place(dispatch, call, &queue, &team);

    *job = NULL;
    if (err != FP_OK) {
        return err;
    }
    if (!parse_id(queue, call->path, &id)) {
        return FP_ERR_NOT_FOUND;
    }
    *job = fleet_find_job(dispatch->parts.fleet, id);
    if (*job == NULL || (*job)->queue != queue) {
        return FP_ERR_GONE;
    }
    return FP_OK;
}

static void
tell_rejected(const struct dispatch *dispatch, const struct call_submit *call,
              uint64_t id, const struct call_answer *answer, uint32_t wait_ms)
{
    char text[32];

    g_snprintf(text, sizeof(text), "%016llx", (unsigned long long)id);
    EVENT(EVENT_JOB_REJECTED, EVENT_STR("id", text),
          EVENT_STR("queue", call->to.path),
          EVENT_STR("error", fp_err_row(answer->err)->name),
          EVENT_INT("wait_ms", wait_ms),
          EVENT_INT("retry_after_ms", answer->retry_after_ms),
          EVENT_INT("config", dispatch->parts.fleet->config.version));
}

static void
on_submit(struct dispatch *dispatch, const struct relay_caller *caller,
          struct call_submit *call)
{
    struct fleet_queue *queue;
    struct fleet_team *team;
    struct plan_admission verdict = {FP_OK, 0, 0};
    struct call_answer answer = {.err = FP_OK};
    uint64_t id = 0;
    char why[200];
    uint64_t *key;

    answer.err = find_place(dispatch, &call->to, &queue, &team);
    if (answer.err == FP_OK && !parse_id(queue, call->to.path, &id)) {
        answer.err = FP_ERR_NOT_FOUND;
    }
    if (answer.err == FP_OK && fleet_find_job(dispatch->parts.fleet, id)) {
        relay_answer(dispatch->parts.relay, caller, FP_OK, &answer);
        return; /* accepted before */
    }
    if (answer.err == FP_OK) {
        answer.err = fleet_check_submit(&call->job, why, sizeof(why));
    }
    if (answer.err == FP_OK && !g_hash_table_contains(dispatch->taking, &id)) {
        verdict = plan_admit(dispatch->plan);
        answer.err = verdict.err;
        answer.retry_after_ms = verdict.retry_after_ms;
    }
    if (answer.err != FP_OK) {
        tell_rejected(dispatch, call, id, &answer, verdict.wait_ms);
        relay_answer(dispatch->parts.relay, caller, FP_OK, &answer);
        return;
    }
    call->job.id = id;
    g_strlcpy(call->job.host, queue->conf.host, sizeof(call->job.host));
    g_strlcpy(call->job.prefix, queue->conf.prefix, sizeof(call->job.prefix));
    g_strlcpy(call->job.team, team != NULL ? team->name : "",
              sizeof(call->job.team));
    key = g_memdup2(&id, sizeof(id));
    g_hash_table_add(dispatch->taking, key);
    propose(dispatch, caller, &FLEET_SUBMIT_SCHEMA, &call->job, id);
}

static void
on_state(struct dispatch *dispatch, const struct relay_caller *caller,
         const struct call_job *call)
{
    struct call_answer answer = {.err = FP_OK};
    struct fleet_job *job;

    answer.err = find_job(dispatch, call, &job);
    if (answer.err == FP_OK) {
        answer.state = plan_job_state(job);
    }
    relay_answer(dispatch->parts.relay, caller, FP_OK, &answer);
}

static void
on_cancel(struct dispatch *dispatch, const struct relay_caller *caller,
          const struct call_job *call)
{
    struct fleet_cancel cancel = {.id = 0};
    struct fleet_job *job;
    enum fp_err err = find_job(dispatch, call, &job);

    if (err != FP_OK || !fleet_job_is_live(job)) {
        answer_err(dispatch, caller, err);
        return;
    }
    cancel.id = job->submit.id;
    propose(dispatch, caller, &FLEET_CANCEL_SCHEMA, &cancel, 0);
}

static void
on_waiting(struct dispatch *dispatch, const struct relay_caller *caller,
           const struct call_job *call)
{
    struct call_answer answer = {.err = FP_OK};
    struct fleet_queue *queue;
    struct fleet_team *team;

    answer.err = find_place(dispatch, call, &queue, &team);
    if (answer.err == FP_OK && strcmp(call->path, queue->conf.prefix) != 0) {
        answer.err = FP_ERR_NOT_FOUND;
    }
    if (answer.err == FP_OK) {
        answer.count = queue->waiting_jobs;
    }
    relay_answer(dispatch->parts.relay, caller, FP_OK, &answer);
}

/* ---- operators' and targets' calls -------------------------------------- */

static void
on_configure(struct dispatch *dispatch, const struct relay_caller *caller,
             struct fleet_config *config)
{
    char why[200] = "";
    enum fp_err err = fleet_check_config(config, why, sizeof(why));

    if (err != FP_OK) {
        EVENT(EVENT_CONFIG_REFUSED, EVENT_INT("version", config->version),
              EVENT_STR("why", why));
    }
    if (err != FP_OK ||
        config->version <= dispatch->parts.fleet->config.version) {
        answer_err(dispatch, caller, err);
        return;
    }
    propose(dispatch, caller, &FLEET_CONFIG_SCHEMA, config, 0);
}

static void
on_read_config(struct dispatch *dispatch, const struct relay_caller *caller)
{
    struct call_answer answer = {.err = FP_ERR_CONFIG_STALE};

    if (dispatch->parts.fleet->config.version > 0) {
        answer.err = FP_OK;
        answer.text = dispatch->parts.fleet->config.text; /* borrowed */
    }
    relay_answer(dispatch->parts.relay, caller, FP_OK, &answer);
}

static void
on_announce(struct dispatch *dispatch, const struct relay_caller *caller,
            struct call_announce *call)
{
    struct fleet *fleet = dispatch->parts.fleet;
    struct fleet_target *known = fleet_find_target(fleet, call->target.id);

    if (fleet->config.version == 0) {
        answer_err(dispatch, caller, FP_ERR_CONFIG_STALE);
        return;
    }
    if (fleet_find_service(fleet, call->target.service) == NULL) {
        log_info(LOG_SCHED, "target %s names an unknown service '%s'",
                 call->target.id, call->target.service);
        answer_err(dispatch, caller, FP_ERR_NOT_FOUND);
        return;
    }
    if (known != NULL && known->rec.born_ms > call->target.born_ms) {
        answer_err(dispatch, caller, FP_ERR_STALE);
        return;
    }
    if (fleet_target_is_recorded(fleet, &call->target)) {
        answer_err(dispatch, caller, FP_OK);
        return;
    }
    propose(dispatch, caller, &FLEET_TARGET_SCHEMA, &call->target, 0);
}

static void
on_ping(struct dispatch *dispatch, const struct relay_caller *caller,
        const struct call_ping *ping)
{
    const struct fp_list *list =
        &raft_members(replica_raft(dispatch->parts.replica))->list;
    const struct raft_member *member = list->items;
    struct call_answer answer = {.err = FP_OK};

    if (ping->helper != 0) {
        dispatch_helper_heard(dispatch, caller->host, clock_mono_ms());
    }
    for (uint32_t i = 0; i < list->count; i++) {
        struct call_host *host = fp_list_add(&answer.hosts, sizeof(*host));

        g_strlcpy(host->host, member[i].host, sizeof(host->host));
    }
    relay_answer(dispatch->parts.relay, caller, FP_OK, &answer);
    g_free(answer.hosts.items);
}

/* A new cell takes nothing in before its seeds have joined, so that what it
 * has accepted bears a loss from the start. */
static bool
is_formed(const struct dispatch *dispatch, uint64_t now_ms)
{
    const struct settings_fleet *fleet = dispatch->parts.settings->fleet;
    const struct fp_list *list =
        &raft_members(replica_raft(dispatch->parts.replica))->list;
    const struct raft_member *member = list->items;
    uint32_t voters = 0;
    uint32_t want = MIN(fleet->seeds_count, 3);

    if (dispatch->parts.fleet->config.version > 0) {
        return true;
    }
    for (uint32_t i = 0; i < list->count; i++) {
        voters += member[i].role == RAFT_VOTER;
    }
    if (now_ms > dispatch->since_ms + FORM_WAIT_MS) {
        want = want / 2 + 1;
    }
    return voters >= want;
}

static const struct fp_schema *
schema_of(uint32_t kind)
{
    static const struct fp_schema *const table[] = {
        [CALL_SUBMIT] = &CALL_SUBMIT_SCHEMA,
        [CALL_STATE] = &CALL_JOB_SCHEMA,
        [CALL_CANCEL] = &CALL_JOB_SCHEMA,
        [CALL_WAITING] = &CALL_JOB_SCHEMA,
        [CALL_CONFIGURE] = &FLEET_CONFIG_SCHEMA,
        [CALL_READ_CONFIG] = &CALL_PING_SCHEMA,
        [CALL_ANNOUNCE] = &CALL_ANNOUNCE_SCHEMA,
        [CALL_LEAVE] = &FLEET_TARGET_REMOVAL_SCHEMA,
        [CALL_PING] = &CALL_PING_SCHEMA,
    };

    return kind < sizeof(table) / sizeof(table[0]) ? table[kind] : NULL;
}

union call_record {
    struct call_submit submit;
    struct call_job job;
    struct fleet_config config;
    struct call_announce announce;
    struct fleet_target_removal gone;
    struct call_ping ping;
};

static void
take_call(struct dispatch *dispatch, const struct relay_caller *caller,
          uint32_t kind, union call_record *record)
{
    switch (kind) {
    case CALL_SUBMIT:
        on_submit(dispatch, caller, &record->submit);
        break;
    case CALL_STATE:
        on_state(dispatch, caller, &record->job);
        break;
    case CALL_CANCEL:
        on_cancel(dispatch, caller, &record->job);
        break;
    case CALL_WAITING:
        on_waiting(dispatch, caller, &record->job);
        break;
    case CALL_CONFIGURE:
        on_configure(dispatch, caller, &record->config);
        break;
    case CALL_READ_CONFIG:
        on_read_config(dispatch, caller);
        break;
    case CALL_ANNOUNCE:
        on_announce(dispatch, caller, &record->announce);
        break;
    case CALL_LEAVE:
        propose(dispatch, caller, &FLEET_TARGET_REMOVAL_SCHEMA, &record->gone,
                0);
        break;
    default:
        on_ping(dispatch, caller, &record->ping);
        break;
    }
}

void
dispatch_called(struct dispatch *dispatch, const struct relay_caller *caller,
                uint32_t kind, const struct fp_blob *body)
{
    const struct fp_schema *schema = schema_of(kind);
    union call_record *record;

    if (!replica_leads(dispatch->parts.replica) ||
        (kind != CALL_PING && !is_formed(dispatch, clock_mono_ms()))) {
        relay_answer(dispatch->parts.relay, caller, FP_ERR_NO_LEADER, NULL);
        return;
    }
    record = g_new0(union call_record, 1);
    if (schema == NULL ||
        fp_decode(schema, body->data, body->size_bytes, record) != FP_OK) {
        answer_err(dispatch, caller, FP_ERR_BAD_REQUEST);
    }
    else {
        take_call(dispatch, caller, kind, record);
        fp_record_free(schema, record);
    }
    g_free(record);
}

/* ---- events of the state ------------------------------------------------ */

void
dispatch_config_changed(struct dispatch *dispatch)
{
    plan_config_changed(dispatch->plan);
}

void
dispatch_target_changed(struct dispatch *dispatch, struct fleet_target *target,
                        bool reborn)
{
    plan_target_changed(dispatch->plan, target);
    if (!g_hash_table_contains(dispatch->lanes, target->rec.id)) {
        dispatch_add_lane(dispatch, target);
    }
    else if (reborn) {
        dispatch_reset_lane(dispatch, target, clock_mono_ms());
    }
}

void
dispatch_target_removed(struct dispatch *dispatch, struct fleet_target *target)
{
    plan_target_removed(dispatch->plan, target);
    g_hash_table_remove(dispatch->lanes, target->rec.id);
}

void
dispatch_job_added(struct dispatch *dispatch, struct fleet_job *job)
{
    char text[32];
    uint32_t chain_ms;
    uint32_t objective_ms;

    plan_job_added(dispatch->plan, job, clock_mono_ms());
    plan_job_times(job, &chain_ms, &objective_ms);
    g_snprintf(text, sizeof(text), "%016llx",
               (unsigned long long)job->submit.id);
    EVENT(EVENT_JOB_ACCEPTED, EVENT_STR("id", text),
          EVENT_STR("queue", job->queue->conf.name),
          EVENT_STR("team", job->submit.team),
          EVENT_INT("tasks", job->task_count), EVENT_INT("chain_ms", chain_ms),
          EVENT_INT("objective_ms", objective_ms),
          EVENT_INT("config", dispatch->parts.fleet->config.version));
}

void
dispatch_job_ended(struct dispatch *dispatch, struct fleet_job *job)
{
    char text[32];
    uint32_t chain_ms;
    uint32_t objective_ms;
    uint64_t took_ms =
        job->ended_ms - MIN(job->submit.head.at_ms, job->ended_ms);

    plan_job_times(job, &chain_ms, &objective_ms);
    if (job->state == JOB_COMPLETED && objective_ms > 0) {
        histogram_add(&dispatch->times.completion,
                      took_ms * 1000 / objective_ms);
    }
    g_snprintf(text, sizeof(text), "%016llx",
               (unsigned long long)job->submit.id);
    EVENT(EVENT_JOB_ENDED, EVENT_STR("id", text),
          EVENT_STR("state", JOB_STATE_NAMES[job->state]),
          EVENT_INT("took_ms", took_ms),
          EVENT_INT("objective_ms", objective_ms));
    plan_job_ended(dispatch->plan, job, clock_mono_ms());
}

void
dispatch_job_removed(struct dispatch *dispatch, struct fleet_job *job)
{
    plan_job_removed(dispatch->plan, job);
}

/* ---- life --------------------------------------------------------------- */

void
dispatch_tick(struct dispatch *dispatch, uint64_t now_ms)
{
    dispatch_tick_lanes(dispatch, now_ms);
}

void
dispatch_flush(struct dispatch *dispatch, uint64_t now_ms)
{
    if (replica_leads(dispatch->parts.replica)) {
        plan_pass(dispatch->plan, now_ms, clock_wall_ms());
    }
}

static void
tell_found(void *ctx, const struct fleet_target *target,
           const struct fleet_task_id *task, uint32_t run, bool wanted)
{
    char id[FLEET_TASK_ID_TEXT_BYTES];

    (void)ctx;
    fleet_task_id_text(task, id, sizeof(id));
    EVENT(EVENT_RUN_FOUND, EVENT_STR("id", id), EVENT_INT("run", run),
          EVENT_STR("target", target->rec.id), EVENT_INT("wanted", wanted));
}

static void
tell_wait(void *ctx, const struct plan_wait *wait)
{
    char id[FLEET_TASK_ID_TEXT_BYTES];

    (void)ctx;
    fleet_step_id_text(&wait->step, id, sizeof(id));
    EVENT(EVENT_STEP_WAITING, EVENT_STR("id", id),
          EVENT_INT("idle", wait->pending), EVENT_STR("why", wait->reason),
          EVENT_INT("waited_ms", wait->waited_ms),
          EVENT_INT("granted", wait->granted),
          EVENT_INT("free_cpu", wait->free_cpu_milli),
          EVENT_INT("free_accel", wait->free_accel));
}

static void
tell_shunned(void *ctx, const struct fleet_target *target, uint64_t for_ms,
             uint32_t failures)
{
    (void)ctx;
    EVENT(EVENT_TARGET_BACKOFF, EVENT_STR("id", target->rec.id),
          EVENT_INT("for_ms", for_ms), EVENT_INT("failures", failures));
}

struct dispatch *
dispatch_new(const struct dispatch_parts *parts)
{
    struct dispatch *dispatch = g_new0(struct dispatch, 1);
    const struct settings_fleet *fleet = parts->settings->fleet;
    const struct plan_params params = {
        .remote_run_permille = fleet->far_permille,
        .stop_ms = fleet->stop_ms,
        .run_base =
            (uint32_t)raft_term(replica_raft(parts->replica)) * RUNS_A_TERM};
    const struct plan_ops ops = {.start_run = dispatch_start,
                                 .stop_run = dispatch_stop,
                                 .set_pace = dispatch_pace,
                                 .query_policy = dispatch_advise,
                                 .on_run_found = tell_found,
                                 .on_step_waiting = tell_wait,
                                 .on_target_backoff = tell_shunned,
                                 .ctx = dispatch};
    GHashTableIter iter;
    struct fleet_target *target;

    dispatch->parts = *parts;
    dispatch->since_ms = clock_mono_ms();
    dispatch->lanes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    dispatch->helpers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    dispatch->pending = g_hash_table_new(g_direct_hash, g_direct_equal);
    dispatch->unsent = g_ptr_array_new();
    dispatch->taking =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    dispatch->plan = plan_new(parts->fleet, &params, &ops, dispatch->since_ms);
    g_hash_table_iter_init(&iter, parts->fleet->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        dispatch_add_lane(dispatch, target);
    }
    return dispatch;
}

void
dispatch_free(struct dispatch *dispatch)
{
    GHashTableIter iter;
    struct pending *pending;

    if (dispatch == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, dispatch->pending);
    while (g_hash_table_iter_next(&iter, (gpointer *)&pending, NULL)) {
        pending->dispatch = NULL;
    }
    for (guint i = 0; i < dispatch->unsent->len; i++) {
        dispatch_drop_pending(dispatch->unsent->pdata[i]);
    }
    g_ptr_array_free(dispatch->unsent, TRUE);
    plan_free(dispatch->plan);
    g_hash_table_destroy(dispatch->pending);
    g_hash_table_destroy(dispatch->lanes);
    g_hash_table_destroy(dispatch->helpers);
    g_hash_table_destroy(dispatch->taking);
    g_free(dispatch);
}

const struct plan_counters *
dispatch_counters(const struct dispatch *dispatch)
{
    return plan_counters(dispatch->plan);
}

const struct dispatch_times *
dispatch_times(const struct dispatch *dispatch)
{
    return &dispatch->times;
}

json_t *
dispatch_dump(const struct dispatch *dispatch)
{
    return json_pack("{s:b,s:i,s:i,s:i,s:I,s:I,s:I,s:o}", "settled",
                     dispatch->settled, "targets",
                     (int)g_hash_table_size(dispatch->lanes), "helpers",
                     (int)g_hash_table_size(dispatch->helpers), "pending",
                     (int)g_hash_table_size(dispatch->pending), "orders_sent",
                     (json_int_t)dispatch->orders_sent, "holds",
                     (json_int_t)dispatch->holds, "ends_committed",
                     (json_int_t)dispatch->ends_committed, "plan",
                     plan_dump(dispatch->plan));
}
