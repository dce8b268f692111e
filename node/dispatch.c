/* dispatch.c -- the leader of a fleet: lifecycle and calls */
#include "node/dispatch.h"

#include <string.h>

#include "base/event.h"
#include "base/log.h"
#include "core/fence.h"
#include "node/dispatchpriv.h"

/* Run numbers for the runs of inherited tasks in each term. */
#define RUN_NUMBERS_PER_TERM 1024u
#define ID_DIGITS 16u
#define SEEDS_WAIT_MS 5000u /* wait for all seeds of a new cell to join */

struct pending_request *
dispatch_add_pending(struct dispatch *dispatch,
                     const struct target_session *session)
{
    struct pending_request *pending = g_new0(struct pending_request, 1);

    pending->dispatch = dispatch;
    if (session != NULL) {
        g_strlcpy(pending->target_id, session->id, sizeof(pending->target_id));
        pending->born_ms = session->born_ms;
    }
    g_hash_table_add(dispatch->pending, pending);
    return pending;
}

void
dispatch_drop_pending(struct pending_request *pending)
{
    if (pending->dispatch != NULL) {
        g_hash_table_remove(pending->dispatch->pending, pending);
    }
    g_free(pending->checkpoint);
    g_free(pending->ticket);
    fp_blob_free(&pending->spec);
    g_free(pending);
}

/* ---- proposals ---------------------------------------------------------- */

/* A proposed change, whose caller waits for the answer. */
struct pending_proposal {
    struct pending_request *pending;
    struct relay *relay;
    struct relay_caller caller;
    uint64_t job_id;         /* ID of a submitted job; else 0 */
    uint64_t job_bytes;      /* estimated, of a submitted job */
    bool is_new_target;      /* counts in targets_submitting */
    struct fleet_team *team; /* in whose offered_jobs it counts; NULL: none */
};

void
dispatch_answer_err(struct dispatch *dispatch,
                    const struct relay_caller *caller, enum fp_err err)
{
    struct call_answer answer = {.err = err};

    relay_answer(dispatch->deps.relay, caller, FP_OK, &answer);
}

static void
on_proposal_done(void *ctx, enum fp_err err,
                 const struct change_answer *change)
{
    struct pending_proposal *proposal = ctx;
    struct call_answer answer = {.err = err == FP_OK ? change->err : err};

    if (proposal->pending->dispatch != NULL && proposal->job_id != 0) {
        g_hash_table_remove(proposal->pending->dispatch->submitting,
                            &proposal->job_id);
        proposal->pending->dispatch->submitting_bytes -= proposal->job_bytes;
        if (proposal->team != NULL) {
            proposal->team->offered_jobs--;
        }
    }
    if (proposal->pending->dispatch != NULL && proposal->is_new_target) {
        proposal->pending->dispatch->targets_submitting--;
    }
    if (proposal->pending->dispatch != NULL) {
        histogram_add(&proposal->pending->dispatch->times.commit_ms,
                      clock_mono_ms() - proposal->pending->sent_ms);
    }
    relay_answer(proposal->relay, &proposal->caller, FP_OK, &answer);
    dispatch_drop_pending(proposal->pending);
    g_free(proposal);
}

/* what: the fields of the proposal that describe the change. */
static void
propose(struct dispatch *dispatch, const struct relay_caller *caller,
        const struct fp_schema *schema, void *change,
        const struct pending_proposal *what)
{
    struct pending_proposal *proposal = g_memdup2(what, sizeof(*what));

    proposal->pending = dispatch_add_pending(dispatch, NULL);
    proposal->relay = dispatch->deps.relay;
    proposal->caller = *caller;
    dispatch->submitting_bytes += what->job_bytes;
    dispatch->targets_submitting += what->is_new_target;
    if (what->team != NULL) {
        what->team->offered_jobs++;
    }
    proposal->pending->sent_ms = clock_mono_ms();
    replica_propose(dispatch->deps.replica, schema, change, on_proposal_done,
                    proposal);
}

void
dispatch_propose(struct dispatch *dispatch, const struct relay_caller *caller,
                 const struct fp_schema *schema, void *change)
{
    const struct pending_proposal what = {.job_id = 0};

    propose(dispatch, caller, schema, change, &what);
}

/* ---- calls of clients --------------------------------------------------- */

/* Finds the queue of a call, and the team of its key. The team is NULL for a
 * call without a key, which only an open queue accepts. */
static enum fp_err
find_queue_and_team(struct dispatch *dispatch, const struct call_job *call,
                    struct fleet_queue **queue, struct fleet_team **team)
{
    const struct fleet *fleet = dispatch->deps.fleet;

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

/* Finds the job that a call names; FP_ERR_GONE: its queue has no such job. */
static enum fp_err
find_job(struct dispatch *dispatch, const struct call_job *call,
         struct fleet_job **job)
{
    struct fleet_queue *queue;
    struct fleet_team *team;
    uint64_t id = 0;
    enum fp_err err = find_queue_and_team(dispatch, call, &queue, &team);

    *job = NULL;
    if (err != FP_OK) {
        return err;
    }
    if (!parse_id(queue, call->path, &id)) {
        return FP_ERR_NOT_FOUND;
    }
    *job = fleet_find_job(dispatch->deps.fleet, id);
    if (*job == NULL || (*job)->queue != queue) {
        return FP_ERR_GONE;
    }
    return FP_OK;
}

static void
log_job_rejected(const struct dispatch *dispatch,
                 const struct call_submit *call, uint64_t id,
                 const struct call_answer *answer,
                 const struct plan_admission *admission)
{
    char text[32];

    g_snprintf(text, sizeof(text), "%016llx", (unsigned long long)id);
    EVENT(EVENT_JOB_REJECTED, EVENT_STR("id", text),
          EVENT_STR("queue", call->to.path),
          EVENT_STR("error", fp_err_row(answer->err)->name),
          EVENT_STR("why", admission->reason),
          EVENT_INT("retry_after_ms", answer->retry_after_ms),
          EVENT_INT("config", dispatch->deps.fleet->config.version));
}

/* Whether a job that is neither known nor being committed is admitted. A
 * leader that is ready has applied all entries of earlier terms, so what it
 * does not know will not be committed. */
static enum fp_err
admit_job(struct dispatch *dispatch, const struct fleet_submit *job,
          uint64_t job_bytes, const struct fleet_team *team,
          struct plan_admission *admission)
{
    if (!g_hash_table_contains(dispatch->submitting, &job->id)) {
        *admission = plan_admit(dispatch->plan, job, team);
        if (admission->err == FP_OK) {
            *admission = dispatch_admit_to_room(dispatch, job_bytes, team);
        }
    }
    return admission->err;
}

static void
on_submit(struct dispatch *dispatch, const struct relay_caller *caller,
          struct call_submit *call)
{
    struct fleet_queue *queue;
    struct fleet_team *team;
    struct plan_admission admission = {.err = FP_OK, .reason = ""};
    struct call_answer answer = {.err = FP_OK};
    uint64_t id = 0;
    char reason[200];
    struct pending_proposal what = {.job_id = 0};
    uint64_t *submitting_id;
    uint64_t job_bytes = room_job_bytes(&call->job, true);

    answer.err = find_queue_and_team(dispatch, &call->to, &queue, &team);
    if (answer.err == FP_OK && !parse_id(queue, call->to.path, &id)) {
        answer.err = FP_ERR_NOT_FOUND;
    }
    if (answer.err == FP_OK && fleet_find_job(dispatch->deps.fleet, id)) {
        relay_answer(dispatch->deps.relay, caller, FP_OK, &answer);
        return; /* the job was accepted before */
    }
    if (answer.err == FP_OK) {
        answer.err = fleet_check_submit(&call->job, reason, sizeof(reason));
    }
    call->job.id = id;
    if (answer.err == FP_OK) {
        answer.err =
            admit_job(dispatch, &call->job, job_bytes, team, &admission);
        answer.retry_after_ms = admission.retry_after_ms;
    }
    if (answer.err != FP_OK) {
        log_job_rejected(dispatch, call, id, &answer, &admission);
        relay_answer(dispatch->deps.relay, caller, FP_OK, &answer);
        return;
    }
    g_strlcpy(call->job.host, queue->conf.host, sizeof(call->job.host));
    g_strlcpy(call->job.prefix, queue->conf.prefix, sizeof(call->job.prefix));
    g_strlcpy(call->job.team, team != NULL ? team->name : "",
              sizeof(call->job.team));
    submitting_id = g_memdup2(&id, sizeof(id));
    g_hash_table_add(dispatch->submitting, submitting_id);
    fleet_decide_share(dispatch->deps.fleet, &call->job, team,
                       clock_wall_ms());
    what.job_id = id;
    what.job_bytes = job_bytes;
    what.team = call->job.beyond_share ? NULL : team;
    propose(dispatch, caller, &FLEET_SUBMIT_SCHEMA, &call->job, &what);
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
    relay_answer(dispatch->deps.relay, caller, FP_OK, &answer);
}

static void
on_cancel(struct dispatch *dispatch, const struct relay_caller *caller,
          const struct call_job *call)
{
    struct fleet_cancel cancel = {.id = 0};
    struct fleet_job *job;
    enum fp_err err = find_job(dispatch, call, &job);

    if (err != FP_OK || !fleet_job_is_live(job)) {
        dispatch_answer_err(dispatch, caller, err);
        return;
    }
    cancel.id = job->submit.id;
    dispatch_propose(dispatch, caller, &FLEET_CANCEL_SCHEMA, &cancel);
}

static void
on_count_waiting(struct dispatch *dispatch, const struct relay_caller *caller,
                 const struct call_job *call)
{
    struct call_answer answer = {.err = FP_OK};
    struct fleet_queue *queue;
    struct fleet_team *team;

    answer.err = find_queue_and_team(dispatch, call, &queue, &team);
    if (answer.err == FP_OK && strcmp(call->path, queue->conf.prefix) != 0) {
        answer.err = FP_ERR_NOT_FOUND;
    }
    if (answer.err == FP_OK) {
        answer.count = queue->waiting_jobs;
    }
    relay_answer(dispatch->deps.relay, caller, FP_OK, &answer);
}

/* ---- calls of operators and targets ------------------------------------- */

static void
on_configure(struct dispatch *dispatch, const struct relay_caller *caller,
             struct fleet_config *config)
{
    char reason[200] = "";
    enum fp_err err = fleet_check_config(config, reason, sizeof(reason));

    if (err != FP_OK) {
        EVENT(EVENT_CONFIG_REFUSED, EVENT_INT("version", config->version),
              EVENT_STR("why", reason));
    }
    if (err != FP_OK ||
        config->version <= dispatch->deps.fleet->config.version) {
        dispatch_answer_err(dispatch, caller, err);
        return;
    }
    dispatch_propose(dispatch, caller, &FLEET_CONFIG_SCHEMA, config);
}

static void
on_read_config(struct dispatch *dispatch, const struct relay_caller *caller)
{
    struct call_answer answer = {.err = FP_ERR_CONFIG_STALE};

    if (dispatch->deps.fleet->config.version > 0) {
        answer.err = FP_OK;
        answer.text = dispatch->deps.fleet->config.text; /* borrowed */
    }
    relay_answer(dispatch->deps.relay, caller, FP_OK, &answer);
}

static void
on_announce(struct dispatch *dispatch, const struct relay_caller *caller,
            struct call_announce *call)
{
    struct fleet *fleet = dispatch->deps.fleet;
    struct fleet_target *known = fleet_find_target(fleet, call->target.id);
    struct pending_proposal what = {.job_id = 0};
    char reason[100];

    if (fleet->config.version == 0) {
        dispatch_answer_err(dispatch, caller, FP_ERR_CONFIG_STALE);
        return;
    }
    if (fleet_find_service(fleet, call->target.service) == NULL) {
        log_info(LOG_SCHED, "target %s announces an unknown service '%s'",
                 call->target.id, call->target.service);
        dispatch_answer_err(dispatch, caller, FP_ERR_NOT_FOUND);
        return;
    }
    call->target.sequence = call->sequence;
    if (fleet_check_target(&call->target, clock_wall_ms(), reason,
                           sizeof(reason)) != FP_OK) {
        log_notice(LOG_SCHED, "refused the announcement of target %s: %s",
                   call->target.id, reason);
        dispatch_answer_err(dispatch, caller, FP_ERR_BAD_REQUEST);
        return;
    }
    if (known != NULL && known->rec.born_ms > call->target.born_ms) {
        dispatch_answer_err(dispatch, caller, FP_ERR_STALE);
        return;
    }
    if (known != NULL &&
        dispatch_is_old_announcement(dispatch, known, &call->target)) {
        log_info(LOG_SCHED, "announcement %llu of target %s came late",
                 (unsigned long long)call->sequence, call->target.id);
        dispatch_answer_err(dispatch, caller, FP_OK);
        return;
    }
    if (fleet_target_is_recorded(fleet, &call->target)) {
        dispatch_answer_err(dispatch, caller, FP_OK);
        return;
    }
    if (known == NULL && !dispatch_admit_target(dispatch, &call->target)) {
        dispatch_answer_err(dispatch, caller, FP_ERR_HOST_FULL);
        return;
    }
    what.is_new_target = known == NULL;
    propose(dispatch, caller, &FLEET_TARGET_SCHEMA, &call->target, &what);
}

static void
on_ping(struct dispatch *dispatch, const struct relay_caller *caller,
        const struct call_ping *ping)
{
    const struct fp_list *list =
        &raft_members(replica_raft(dispatch->deps.replica))->list;
    const struct raft_member *member = list->items;
    struct call_answer answer = {.err = FP_OK};

    if (ping->helper != 0) {
        dispatch_on_helper_ping(dispatch, caller->host, clock_mono_ms());
    }
    dispatch_note_data_centre(dispatch, ping->data_centre);
    dispatch_note_memory(dispatch, caller->host, ping->memory_mb);
    for (uint32_t i = 0; i < list->count; i++) {
        struct call_host *host = fp_list_add(&answer.hosts, sizeof(*host));

        g_strlcpy(host->host, member[i].host, sizeof(host->host));
    }
    relay_answer(dispatch->deps.relay, caller, FP_OK, &answer);
    g_free(answer.hosts.items);
}

/* A new cell accepts no calls but pings before up to three of its seeds have
 * joined as voters, so that whatever it accepts survives the loss of a host.
 * After SEEDS_WAIT_MS a majority of them is enough. */
static bool
is_cell_formed(const struct dispatch *dispatch, uint64_t now_ms)
{
    const struct settings_fleet *fleet = dispatch->deps.settings->fleet;
    const struct fp_list *list =
        &raft_members(replica_raft(dispatch->deps.replica))->list;
    const struct raft_member *member = list->items;
    uint32_t voters = 0;
    uint32_t want = MIN(fleet->seeds_count, 3);

    if (dispatch->deps.fleet->config.version > 0) {
        return true;
    }
    for (uint32_t i = 0; i < list->count; i++) {
        voters += member[i].role == RAFT_VOTER;
    }
    if (now_ms > dispatch->term_start_ms + SEEDS_WAIT_MS) {
        want = want / 2 + 1;
    }
    return voters >= want;
}

static const struct fp_schema *
call_schema(uint32_t kind)
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
        [CALL_EVACUATE] = &FLEET_EVACUATION_SCHEMA,
        [CALL_READ_EVACUATIONS] = &CALL_PING_SCHEMA,
    };

    return kind < sizeof(table) / sizeof(table[0]) ? table[kind] : NULL;
}

union call_record {
    struct call_submit submit;
    struct call_job job;
    struct fleet_config config;
    struct call_announce announce;
    struct fleet_target_removal removal;
    struct call_ping ping;
    struct fleet_evacuation evacuation;
};

static void
handle_call(struct dispatch *dispatch, const struct relay_caller *caller,
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
        on_count_waiting(dispatch, caller, &record->job);
        break;
    case CALL_CONFIGURE:
        on_configure(dispatch, caller, &record->config);
        break;
    case CALL_EVACUATE:
        dispatch_on_evacuate(dispatch, caller, &record->evacuation);
        break;
    case CALL_READ_EVACUATIONS:
        dispatch_on_read_evacuations(dispatch, caller);
        break;
    case CALL_READ_CONFIG:
        on_read_config(dispatch, caller);
        break;
    case CALL_ANNOUNCE:
        on_announce(dispatch, caller, &record->announce);
        break;
    case CALL_LEAVE:
        record->removal.is_notice = true;
        dispatch_propose(dispatch, caller, &FLEET_TARGET_REMOVAL_SCHEMA,
                         &record->removal);
        break;
    default:
        on_ping(dispatch, caller, &record->ping);
        break;
    }
}

void
dispatch_handle_call(struct dispatch *dispatch,
                     const struct relay_caller *caller, uint32_t kind,
                     const struct fp_blob *body)
{
    const struct fp_schema *schema = call_schema(kind);
    union call_record *record;

    if (!replica_is_leader(dispatch->deps.replica) ||
        (kind != CALL_PING && !is_cell_formed(dispatch, clock_mono_ms()))) {
        relay_answer(dispatch->deps.relay, caller, FP_ERR_NO_LEADER, NULL);
        return;
    }
    record = g_new0(union call_record, 1);
    if (schema == NULL ||
        fp_decode(schema, body->data, body->size_bytes, record) != FP_OK) {
        dispatch_answer_err(dispatch, caller, FP_ERR_BAD_REQUEST);
    }
    else {
        handle_call(dispatch, caller, kind, record);
        fp_record_free(schema, record);
    }
    g_free(record);
}

/* ---- changes of the fleet's state --------------------------------------- */

void
dispatch_config_changed(struct dispatch *dispatch)
{
    plan_config_changed(dispatch->plan);
}

void
dispatch_target_changed(struct dispatch *dispatch, struct fleet_target *target,
                        bool restarted)
{
    plan_target_changed(dispatch->plan, target);
    if (!g_hash_table_contains(dispatch->sessions, target->rec.id)) {
        dispatch_add_session(dispatch, target, clock_mono_ms());
    }
    else if (restarted) {
        dispatch_reset_session(dispatch, target, clock_mono_ms());
    }
    dispatch_set_leaving(dispatch, target);
}

void
dispatch_target_removed(struct dispatch *dispatch, struct fleet_target *target)
{
    plan_target_removed(dispatch->plan, target);
    g_hash_table_remove(dispatch->sessions, target->rec.id);
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
          EVENT_INT("config", dispatch->deps.fleet->config.version),
          EVENT_INT("beyond_share", job->beyond_share));
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
        histogram_add(&dispatch->times.completion_permille,
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

void
dispatch_queue_removed(struct dispatch *dispatch,
                       const struct fleet_queue *queue)
{
    plan_queue_removed(dispatch->plan, queue);
}

/* ---- lifecycle ---------------------------------------------------------- */

void
dispatch_tick(struct dispatch *dispatch, uint64_t now_ms)
{
    dispatch_tick_sessions(dispatch, now_ms);
    dispatch_tick_queries(dispatch, now_ms);
}

bool
dispatch_needs_new_term(const struct dispatch *dispatch)
{
    return dispatch->last_session >= FENCE_SESSION_MAX;
}

void
dispatch_flush(struct dispatch *dispatch, uint64_t now_ms)
{
    if (replica_is_leader(dispatch->deps.replica)) {
        plan_pass(dispatch->plan, now_ms, clock_wall_ms());
    }
}

static void
log_run_found(void *ctx, const struct fleet_target *target,
              const struct fleet_task_id *task, uint32_t run_number,
              bool adopted)
{
    char id[FLEET_TASK_ID_TEXT_BYTES];

    (void)ctx;
    fleet_task_id_text(task, id, sizeof(id));
    EVENT(EVENT_RUN_FOUND, EVENT_STR("id", id), EVENT_INT("run", run_number),
          EVENT_STR("target", target->rec.id), EVENT_INT("wanted", adopted));
}

static void
log_run_copied(void *ctx, const struct plan_copy *copy)
{
    char id[FLEET_TASK_ID_TEXT_BYTES];

    (void)ctx;
    fleet_task_id_text(&copy->task, id, sizeof(id));
    EVENT(EVENT_RUN_COPIED, EVENT_STR("id", id),
          EVENT_INT("run", copy->run_number),
          EVENT_INT("copy", copy->copy_number),
          EVENT_STR("from", copy->from->rec.id),
          EVENT_STR("to", copy->to->rec.id), EVENT_INT("ran_ms", copy->ran_ms),
          EVENT_INT("late_permille", copy->late_permille));
}

static void
log_job_released(void *ctx, const struct fleet_job *job, uint32_t unlisted)
{
    char id[32];

    (void)ctx;
    g_snprintf(id, sizeof(id), "%016llx", (unsigned long long)job->submit.id);
    EVENT(EVENT_JOB_RELEASED, EVENT_STR("id", id),
          EVENT_STR("queue", job->queue->conf.name),
          EVENT_STR("service", job->queue->conf.service),
          EVENT_INT("unlisted", unlisted));
}

static void
log_step_waiting(void *ctx, const struct plan_wait *wait)
{
    char id[FLEET_TASK_ID_TEXT_BYTES];

    (void)ctx;
    fleet_step_id_text(&wait->step, id, sizeof(id));
    EVENT(EVENT_STEP_WAITING, EVENT_STR("id", id),
          EVENT_INT("idle", wait->pending), EVENT_STR("why", wait->reason),
          EVENT_INT("waited_ms", wait->waited_ms),
          EVENT_INT("named", wait->named), EVENT_INT("granted", wait->granted),
          EVENT_INT("refused", wait->refused),
          EVENT_INT("asking", wait->asking),
          EVENT_INT("expired", wait->expired),
          EVENT_INT("fitting", wait->fitting), EVENT_INT("kept", wait->kept),
          EVENT_INT("holding", wait->holding),
          EVENT_INT("running", wait->running),
          EVENT_STR("query", wait->query != NULL ? wait->query : ""),
          EVENT_INT("query_ms", wait->query_ms),
          EVENT_INT("next_query_ms", wait->next_query_ms),
          EVENT_INT("free_cpu", wait->free_cpu_milli),
          EVENT_INT("free_accel", wait->free_accel),
          EVENT_INT("beyond_share", wait->beyond_share));
}

static void
log_target_backoff(void *ctx, const struct fleet_target *target,
                   uint64_t for_ms, uint32_t failures)
{
    (void)ctx;
    EVENT(EVENT_TARGET_BACKOFF, EVENT_STR("id", target->rec.id),
          EVENT_INT("for_ms", for_ms), EVENT_INT("failures", failures));
}

static const struct plan_policy *
choose_policy(const struct settings_fleet *fleet)
{
    if (!fleet->is_contended) {
        return &PLAN_POLICY_DEFAULT;
    }
    return &PLAN_POLICY_CONTENDED;
}

struct dispatch *
dispatch_new(const struct dispatch_deps *deps)
{
    struct dispatch *dispatch = g_new0(struct dispatch, 1);
    const struct settings_fleet *fleet = deps->settings->fleet;
    const struct plan_params params = {
        .policy = choose_policy(fleet),
        .remote_run_permille = fleet->remote_run_permille,
        .stop_ms = fleet->stop_ms,
        .wall_ms = clock_wall_ms(),
        .run_base = (uint32_t)raft_term(replica_raft(deps->replica)) *
                    RUN_NUMBERS_PER_TERM};
    const struct plan_ops ops = {.start_run = dispatch_start_run,
                                 .stop_run = dispatch_stop_run,
                                 .set_pace = dispatch_set_pace,
                                 .query_policy = dispatch_query_policy,
                                 .on_run_found = log_run_found,
                                 .on_job_released = log_job_released,
                                 .on_run_copied = log_run_copied,
                                 .on_step_waiting = log_step_waiting,
                                 .on_run_lost = dispatch_log_run_lost,
                                 .on_target_crashed =
                                     dispatch_log_target_crashed,
                                 .store_evidence = dispatch_store_evidence,
                                 .repeat_ends = dispatch_repeat_ends,
                                 .on_target_backoff = log_target_backoff,
                                 .ctx = dispatch};
    GHashTableIter iter;
    struct fleet_target *target;

    dispatch->deps = *deps;
    dispatch->term_start_ms = clock_mono_ms();
    dispatch->sessions =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    dispatch->policy_queries = g_ptr_array_new();
    dispatch->helpers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    dispatch->host_data_centres =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    dispatch->pending = g_hash_table_new(g_direct_hash, g_direct_equal);
    dispatch->unsent_starts = g_ptr_array_new();
    dispatch->unstored_evidence = g_ptr_array_new();
    dispatch->core_memory =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    dispatch->submitting =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    dispatch->plan =
        plan_new(deps->fleet, &params, &ops, dispatch->term_start_ms);
    g_hash_table_iter_init(&iter, deps->fleet->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        dispatch_add_session(dispatch, target, 0);
    }
    return dispatch;
}

void
dispatch_free(struct dispatch *dispatch)
{
    GHashTableIter iter;
    struct pending_request *pending;

    if (dispatch == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, dispatch->pending);
    while (g_hash_table_iter_next(&iter, (gpointer *)&pending, NULL)) {
        pending->dispatch = NULL;
    }
    for (guint i = 0; i < dispatch->unsent_starts->len; i++) {
        dispatch_drop_pending(dispatch->unsent_starts->pdata[i]);
    }
    g_ptr_array_free(dispatch->unsent_starts, TRUE);
    dispatch_free_evidence(dispatch);
    plan_free(dispatch->plan);
    g_hash_table_destroy(dispatch->pending);
    g_hash_table_destroy(dispatch->sessions);
    g_hash_table_destroy(dispatch->helpers);
    g_ptr_array_free(dispatch->policy_queries, TRUE);
    g_hash_table_destroy(dispatch->host_data_centres);
    g_hash_table_destroy(dispatch->core_memory);
    g_hash_table_destroy(dispatch->submitting);
    g_free(dispatch);
}

const struct plan_counters *
dispatch_counters(const struct dispatch *dispatch)
{
    return plan_counters(dispatch->plan);
}

struct plan_gauges
dispatch_gauges(const struct dispatch *dispatch)
{
    return plan_gauges(dispatch->plan);
}

const struct dispatch_policy_counters *
dispatch_policy_counters(const struct dispatch *dispatch)
{
    return &dispatch->policy;
}

uint64_t
dispatch_checkpoints_refused(const struct dispatch *dispatch)
{
    return dispatch->checkpoints_refused;
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
                     dispatch->reconciled, "targets",
                     (int)g_hash_table_size(dispatch->sessions), "helpers",
                     (int)g_hash_table_size(dispatch->helpers), "pending",
                     (int)g_hash_table_size(dispatch->pending), "orders_sent",
                     (json_int_t)dispatch->orders_sent, "holds",
                     (json_int_t)dispatch->holds_sent, "ends_committed",
                     (json_int_t)dispatch->ends_committed, "plan",
                     plan_dump(dispatch->plan));
}
