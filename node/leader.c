/* leader.c -- the leader of a cell: target leases, orders and placement */
#include "node/leader.h"

#include <glib.h>
#include <string.h>

#include "base/log.h"
#include "core/lease.h"
#include "node/heartbeat.h"

#define DECISIONS_PER_PASS 1000u
#define STORE_RETRY_MS 500u   /* between proposals of the length of leases */
#define CHECK_INTERVAL_MS 50u /* of leases, hold times and the scheduler */

/* The lease of a target and its held heartbeat. */
struct lease {
    char name[NAME_BYTES];
    uint64_t renewed_ms;  /* when the last answered heartbeat arrived */
    uint64_t query_id;    /* query ID of the held heartbeat; 0: none */
    uint64_t received_ms; /* when the held heartbeat arrived */
    uint64_t hold_until_ms;
    struct heartbeat heartbeat; /* the last received one */
    uint32_t sent_digest;       /* digest of the orders in the last answer */
    bool queued;                /* in queued_leases of struct leader */
    uint32_t cpu_used_milli;    /* as the target reported */
    uint32_t memory_used_mb;
};

/* A counted reference to the leader, for callbacks of proposals, which may
 * come after leader_free().
 */
struct leader_ref {
    struct leader *leader; /* NULL once it is freed */
    uint32_t ref_count;
};

/* A proposed placement that has not been answered. */
struct pending_placement {
    struct leader_ref *ref;
    struct change_place change;
};

struct leader {
    struct replica *replica;
    const struct settings *settings;
    struct leader_ref *ref;
    struct sched *sched;
    GHashTable *leases;       /* target name to struct lease */
    GHashTable *ending_tasks; /* set of IDs of tasks whose end is proposed */
    GPtrArray *queued_leases; /* struct lease: check_lease() is due */
    uint64_t next_check_ms;   /* when to check all leases next */
    uint64_t next_store_ms;   /* when their length may be proposed next */
    bool sched_pending;       /* a scheduling pass is due */
    uint64_t term_start_ms;
    uint64_t sched_us;     /* total time of scheduling passes */
    uint64_t sched_max_us; /* time of the longest pass */
    uint64_t heartbeats;
    uint64_t attempts_lost; /* declared lost */
};

static void
free_lease(void *item)
{
    struct lease *lease = item;

    fp_record_free(&HEARTBEAT_SCHEMA, &lease->heartbeat);
    g_free(lease);
}

static struct lease *
lease_of(struct leader *leader, const char *name)
{
    struct lease *lease = g_hash_table_lookup(leader->leases, name);

    if (lease == NULL) {
        lease = g_new0(struct lease, 1);
        g_strlcpy(lease->name, name, sizeof(lease->name));
        lease->renewed_ms = clock_mono_ms();
        g_hash_table_insert(leader->leases, lease->name, lease);
    }
    return lease;
}

static struct leader_ref *
leader_ref_get(struct leader_ref *ref)
{
    ref->ref_count++;
    return ref;
}

static struct leader *
leader_ref_put(struct leader_ref *ref)
{
    struct leader *leader = ref->leader;

    ref->ref_count--;
    if (ref->ref_count == 0) {
        g_free(ref);
    }
    return leader;
}

static void
on_placement_done(void *ctx, enum fp_err err,
                  const struct change_answer *answer)
{
    struct pending_placement *placement = ctx;
    struct leader *leader = leader_ref_put(placement->ref);
    const struct fp_list *items = &placement->change.items;
    bool failed = err != FP_OK || answer->err != FP_OK;

    if (leader != NULL && failed) {
        log_info(LOG_SCHED, "a placement of %u tasks was refused: %s",
                 items->count,
                 err != FP_OK ? fp_err_row(err)->name : answer->detail);
        sched_placement_failed(leader->sched, items->items, items->count);
        leader->sched_pending = true;
    }
    fp_record_free(&CHANGE_PLACE_SCHEMA, &placement->change);
    g_free(placement);
}

static void
propose_placement(void *ctx, const struct place_item *items, uint32_t count)
{
    struct leader *leader = ctx;
    struct pending_placement *placement = g_new0(struct pending_placement, 1);

    placement->ref = leader_ref_get(leader->ref);
    placement->change.items.items = g_memdup2(items, count * sizeof(items[0]));
    placement->change.items.count = count;
    replica_propose(leader->replica, &CHANGE_PLACE_SCHEMA, &placement->change,
                    on_placement_done, placement);
}

static void
queue_lease(struct leader *leader, struct lease *lease)
{
    if (!lease->queued) {
        lease->queued = true;
        g_ptr_array_add(leader->queued_leases, lease);
    }
}

static void
on_orders_changed(void *ctx, struct target *target)
{
    struct leader *leader = ctx;

    queue_lease(leader, lease_of(leader, target->rec.name));
}

/* Proposed ends of attempts. Their tasks are in ending_tasks until the answer,
 * so that later heartbeats do not propose the ends again.
 */
struct pending_ends {
    struct leader_ref *ref;
    struct change_end change;
};

static void
on_ends_done(void *ctx, enum fp_err err, const struct change_answer *answer)
{
    struct pending_ends *ends = ctx;
    struct leader *leader = leader_ref_put(ends->ref);
    const struct end_item *items = ends->change.items.items;

    (void)err;
    (void)answer;
    for (uint32_t i = 0; leader != NULL && i < ends->change.items.count; i++) {
        g_hash_table_remove(leader->ending_tasks, &items[i].task_id);
    }
    fp_record_free(&CHANGE_END_SCHEMA, &ends->change);
    g_free(ends);
}

static void
propose_ends(struct leader *leader, struct pending_ends *ends)
{
    const struct end_item *items = ends->change.items.items;

    if (ends->change.items.count == 0) {
        g_free(ends);
        return;
    }
    for (uint32_t i = 0; i < ends->change.items.count; i++) {
        g_hash_table_add(leader->ending_tasks,
                         g_memdup2(&items[i].task_id, sizeof(uint64_t)));
    }
    ends->ref = leader_ref_get(leader->ref);
    replica_propose(leader->replica, &CHANGE_END_SCHEMA, &ends->change,
                    on_ends_done, ends);
}

static void
add_end(struct leader *leader, struct pending_ends *ends,
        const struct task *task, enum end_outcome outcome, uint32_t exit_code)
{
    struct end_item *item;

    if (g_hash_table_contains(leader->ending_tasks, &task->id)) {
        return;
    }
    item = fp_list_add(&ends->change.items, sizeof(*item));
    item->task_id = task->id;
    item->attempt = task->attempt;
    item->outcome = outcome;
    item->exit_code = exit_code;
    if (outcome == END_FAILED) {
        item->retry_at_ms =
            sched_retry_at(leader->sched, task, clock_wall_ms());
    }
}

static bool
runs_on(const struct task *task, const struct target *target, uint32_t attempt)
{
    return task != NULL && task->state == TASK_RUNNING &&
           task->target == target && task->attempt == attempt;
}

/* Proposes the ends of those attempts that a heartbeat reports as ended. */
static void
handle_reports(struct leader *leader, struct target *target,
               const struct heartbeat *heartbeat)
{
    static const enum end_outcome outcomes[] = {[REPORT_DONE] = END_DONE,
                                                [REPORT_FAILED] = END_FAILED,
                                                [REPORT_STOPPED] = END_STOPPED,
                                                [REPORT_NOT_RUN] =
                                                    END_NOT_RUN};
    struct pending_ends *ends = g_new0(struct pending_ends, 1);
    const struct attempt_report *reports = heartbeat->tasks.items;
    struct cell *cell = replica_cell(leader->replica);

    for (uint32_t i = 0; i < heartbeat->tasks.count; i++) {
        const struct task *task = cell_task(cell, reports[i].id);

        if (reports[i].state != REPORT_RUNNING &&
            runs_on(task, target, reports[i].attempt)) {
            add_end(leader, ends, task, outcomes[reports[i].state],
                    reports[i].exit_code);
        }
    }
    propose_ends(leader, ends);
}

static json_t *
new_start_order(const struct leader *leader, const struct task *task)
{
    const struct change_submit *rec = &task->job->rec;
    json_t *payload = json_stringn(
        rec->payload.data == NULL ? "" : (const char *)rec->payload.data,
        rec->payload.size_bytes);

    return json_pack(
        "{s:I,s:i,s:s,s:s,s:i,s:i,s:i,s:i,s:b,s:o}", "id",
        (json_int_t)task->id, "attempt", task->attempt, "queue", rec->queue,
        "team", rec->team, "cpu_milli", rec->cpu_milli, "memory_mb",
        rec->memory_mb, "accel", rec->accel, "run_ms", rec->run_ms, "throttle",
        sched_task_order(leader->sched, task) == SCHED_ORDER_THROTTLE,
        "payload", payload == NULL ? json_string("") : payload);
}

static json_t *
new_attempt_order(uint64_t id, uint32_t attempt, const char *mode)
{
    json_t *order =
        json_pack("{s:I,s:i}", "id", (json_int_t)id, "attempt", attempt);

    if (mode != NULL) {
        json_object_set_new(order, "mode", json_string(mode));
    }
    return order;
}

/* Orders to a target: the lists of an answer to its heartbeat. */
struct orders {
    json_t *start;
    json_t *stop;
    json_t *forget;
    json_t *throttle;
    uint32_t digest; /* of all orders, whatever their sequence; 0: none */
};

static void
add_to_digest(struct orders *orders, uint64_t id, uint32_t attempt,
              uint32_t kind)
{
    orders->digest += (uint32_t)((id * 31 + attempt) * 2654435761u + kind) | 1;
}

static void
add_running_task_order(const struct leader *leader, const struct task *task,
                       struct orders *orders)
{
    enum sched_order order = sched_task_order(leader->sched, task);

    if (order == SCHED_ORDER_RUN) {
        return;
    }
    add_to_digest(orders, task->id, task->attempt, order);
    if (order == SCHED_ORDER_THROTTLE) {
        json_array_append_new(
            orders->throttle,
            new_attempt_order(task->id, task->attempt, NULL));
        return;
    }
    json_array_append_new(
        orders->stop,
        new_attempt_order(task->id, task->attempt,
                          order == SCHED_ORDER_STOP ? "stop" : "checkpoint"));
}

static void
add_reported_attempt_order(const struct leader *leader,
                           const struct target *target,
                           const struct attempt_report *report,
                           struct orders *orders)
{
    const struct task *task =
        cell_task(replica_cell(leader->replica), report->id);

    if (runs_on(task, target, report->attempt)) {
        if (report->state == REPORT_RUNNING) {
            add_running_task_order(leader, task, orders);
        }
        return;
    }
    add_to_digest(orders, report->id, report->attempt, 10 + report->state);
    if (report->state == REPORT_RUNNING) {
        json_array_append_new(
            orders->stop,
            new_attempt_order(report->id, report->attempt, "stop"));
        return;
    }
    json_array_append_new(
        orders->forget, new_attempt_order(report->id, report->attempt, NULL));
}

static bool
is_reported(const struct heartbeat *heartbeat, const struct task *task)
{
    const struct attempt_report *reports = heartbeat->tasks.items;

    for (uint32_t i = 0; i < heartbeat->tasks.count; i++) {
        if (reports[i].id == task->id && reports[i].attempt == task->attempt) {
            return true;
        }
    }
    return false;
}

static void
collect_orders(const struct leader *leader, const struct target *target,
               const struct heartbeat *heartbeat, struct orders *orders)
{
    const struct attempt_report *reports = heartbeat->tasks.items;

    orders->start = json_array();
    orders->stop = json_array();
    orders->forget = json_array();
    orders->throttle = json_array();
    orders->digest = 0;
    for (const struct task *task = target->first_task; task != NULL;
         task = task->next_on_target) {
        if (!is_reported(heartbeat, task)) {
            add_to_digest(orders, task->id, task->attempt, 20);
            json_array_append_new(orders->start,
                                  new_start_order(leader, task));
        }
    }
    for (uint32_t i = 0; i < heartbeat->tasks.count; i++) {
        add_reported_attempt_order(leader, target, &reports[i], orders);
    }
}

static void
free_orders(struct orders *orders)
{
    json_decref(orders->start);
    json_decref(orders->stop);
    json_decref(orders->forget);
    json_decref(orders->throttle);
}

/* The longest time on this host's clock that a lease of this length may last
 * on a target's clock. */
static uint64_t
lease_span_ms(uint64_t lease_ms)
{
    return lease_ms + lease_ms * LEADER_DRIFT_PERMILLE / 1000 +
           LEADER_LEASE_MARGIN_MS;
}

/* Length of the leases that are granted now. */
static uint32_t
granted_lease_ms(const struct leader *leader)
{
    return lease_to_grant_ms((uint32_t)leader->settings->times.task_lease_ms,
                             replica_cell(leader->replica)->task_lease_ms);
}

/* How long the leases that this or an earlier leader granted may last. */
static uint64_t
awaited_lease_ms(const struct leader *leader)
{
    return lease_span_ms(
        lease_to_await_ms((uint32_t)leader->settings->times.task_lease_ms,
                          replica_cell(leader->replica)->task_lease_ms));
}

/* Answers the held heartbeat, which renews the lease from when it arrived. */
static void
answer_heartbeat(struct leader *leader, struct lease *lease,
                 struct orders *orders)
{
    uint64_t query_id = lease->query_id;
    json_t *body;

    lease->query_id = 0;
    if (!replica_is_leader(leader->replica)) {
        replica_reply(leader->replica, query_id, FP_ERR_NO_LEADER, NULL);
        return;
    }
    lease->renewed_ms = MAX(lease->renewed_ms, lease->received_ms);
    lease->sent_digest = orders->digest;
    body = json_pack("{s:I,s:I,s:O,s:O,s:O,s:O}", "number",
                     (json_int_t)lease->heartbeat.number, "lease_ms",
                     (json_int_t)granted_lease_ms(leader), "start",
                     orders->start, "stop", orders->stop, "forget",
                     orders->forget, "throttle", orders->throttle);
    replica_reply(leader->replica, query_id, FP_OK, body);
}

static void
check_lease(struct leader *leader, struct lease *lease, uint64_t now_ms)
{
    struct target *target =
        cell_target(replica_cell(leader->replica), lease->name);
    struct orders orders;

    if (lease->query_id == 0 || target == NULL ||
        granted_lease_ms(leader) == 0) {
        return;
    }
    collect_orders(leader, target, &lease->heartbeat, &orders);
    if (now_ms >= lease->hold_until_ms ||
        (orders.digest != 0 && orders.digest != lease->sent_digest)) {
        answer_heartbeat(leader, lease, &orders);
    }
    free_orders(&orders);
}

static void
ignore_answer(void *ctx, enum fp_err err, const struct change_answer *answer)
{
    (void)ctx;
    (void)err;
    (void)answer;
}

static void
propose_state(struct leader *leader, const struct target *target,
              enum target_state state)
{
    struct change_target_state change = {.run_id = target->rec.run_id,
                                         .state = state};

    log_notice(LOG_CELL, "target %s is %s", target->rec.name,
               TARGET_STATE_NAMES[state]);
    g_strlcpy(change.name, target->rec.name, sizeof(change.name));
    replica_propose(leader->replica, &CHANGE_TARGET_STATE_SCHEMA, &change,
                    ignore_answer, NULL);
}

static void
update_target_state(struct leader *leader, struct target *target,
                    const struct heartbeat *heartbeat)
{
    if (heartbeat->leaving && target->rec.state == TARGET_UP) {
        propose_state(leader, target, TARGET_LEAVING);
    }
    else if (!heartbeat->leaving && target->rec.state == TARGET_DOWN) {
        propose_state(leader, target, TARGET_UP);
    }
}

static uint64_t
hold_time_ms(const struct leader *leader)
{
    uint64_t targets =
        g_hash_table_size(replica_cell(leader->replica)->targets);
    uint64_t max_ms =
        leader->settings->times.task_lease_ms / LEADER_HOLD_LEASE_DIVISOR;

    return MIN(
        MAX(targets * 1000 / LEADER_HEARTBEATS_PER_S, LEADER_HOLD_MIN_MS),
        max_ms);
}

static void
hold_heartbeat(struct leader *leader, struct lease *lease, uint64_t query_id,
               struct heartbeat *heartbeat)
{
    uint64_t now_ms = clock_mono_ms();

    if (lease->query_id != 0) {
        replica_reply(leader->replica, lease->query_id, FP_ERR_STALE, NULL);
    }
    fp_record_free(&HEARTBEAT_SCHEMA, &lease->heartbeat);
    lease->heartbeat = *heartbeat;
    lease->query_id = query_id;
    lease->received_ms = now_ms;
    lease->hold_until_ms = now_ms + hold_time_ms(leader);
    lease->cpu_used_milli = heartbeat->cpu_used_milli;
    lease->memory_used_mb = heartbeat->memory_used_mb;
    queue_lease(leader, lease);
}

static void
on_heartbeat(struct leader *leader, uint64_t query_id, const json_t *body)
{
    struct heartbeat heartbeat = {.number = 0};
    char reason[200];
    struct target *target;

    leader->heartbeats++;
    if (fp_from_json(&HEARTBEAT_SCHEMA, body, &heartbeat, reason,
                     sizeof(reason)) != FP_OK) {
        replica_reply(leader->replica, query_id, FP_ERR_BAD_REQUEST,
                      json_string(reason));
        fp_record_free(&HEARTBEAT_SCHEMA, &heartbeat);
        return;
    }
    target = cell_target(replica_cell(leader->replica), heartbeat.name);
    if (target == NULL || target->rec.run_id != heartbeat.run_id) {
        replica_reply(leader->replica, query_id, FP_ERR_STALE,
                      json_string("announce first"));
        fp_record_free(&HEARTBEAT_SCHEMA, &heartbeat);
        return;
    }
    update_target_state(leader, target, &heartbeat);
    handle_reports(leader, target, &heartbeat);
    hold_heartbeat(leader, lease_of(leader, heartbeat.name), query_id,
                   &heartbeat);
}

/* Proposes that a target whose lease has expired is down, and that its
 * attempts are lost. */
static void
expire_lease(struct leader *leader, struct target *target)
{
    struct pending_ends *ends = g_new0(struct pending_ends, 1);

    propose_state(leader, target, TARGET_DOWN);
    for (const struct task *task = target->first_task; task != NULL;
         task = task->next_on_target) {
        add_end(leader, ends, task, END_LOST, 0);
        leader->attempts_lost++;
    }
    propose_ends(leader, ends);
}

static void
expire_leases(struct leader *leader, uint64_t now_ms)
{
    uint64_t expire_after_ms = awaited_lease_ms(leader);
    GHashTableIter iter;
    struct target *target;

    if (!replica_is_leader(leader->replica)) {
        return;
    }
    g_hash_table_iter_init(&iter, replica_cell(leader->replica)->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        struct lease *lease = lease_of(leader, target->rec.name);

        if (target->rec.state == TARGET_DOWN && target->first_task == NULL) {
            continue;
        }
        if (now_ms > lease->renewed_ms + expire_after_ms) {
            /* Keeps the proposals from being repeated at the next check. */
            lease->renewed_ms = now_ms;
            expire_lease(leader, target);
        }
    }
}

/* Stores the length of leases when it is due. While none is stored, heartbeats
 * are held: no lease may be granted. */
static void
store_lease(struct leader *leader, uint64_t now_ms)
{
    const uint32_t stored_ms = replica_cell(leader->replica)->task_lease_ms;
    struct change_task_lease change = {
        .lease_ms = lease_to_store_ms(
            (uint32_t)leader->settings->times.task_lease_ms, stored_ms,
            now_ms >= leader->term_start_ms + awaited_lease_ms(leader))};

    if (change.lease_ms == 0 || now_ms < leader->next_store_ms ||
        !replica_is_leader(leader->replica)) {
        return;
    }
    log_notice(LOG_CELL, "leases of tasks last up to %u ms, before: %u",
               change.lease_ms, stored_ms);
    leader->next_store_ms = now_ms + STORE_RETRY_MS;
    replica_propose(leader->replica, &CHANGE_TASK_LEASE_SCHEMA, &change,
                    ignore_answer, NULL);
}

static json_t *
explain_task(struct leader *leader, uint64_t id)
{
    const struct task *task = cell_task(replica_cell(leader->replica), id);
    struct sched_explanation explanation;

    if (task == NULL) {
        return NULL;
    }
    sched_explain(leader->sched, task, &explanation);
    return json_pack(
        "{s:I,s:s,s:s,s:i,s:I,s:s}", "id", (json_int_t)id, "state",
        TASK_STATE_NAMES[task->state], "reason",
        task->state == TASK_WAITING ? sched_block_name(explanation.block) : "",
        "place", explanation.position, "estimate_ms",
        (json_int_t)explanation.estimate_ms, "text", explanation.text);
}

static void
on_why(struct leader *leader, uint64_t query_id, const json_t *body)
{
    json_t *answer = explain_task(
        leader, (uint64_t)json_integer_value(json_object_get(body, "id")));

    replica_reply(leader->replica, query_id,
                  answer == NULL ? FP_ERR_NOT_FOUND : FP_OK, answer);
}

struct leader *
leader_new(struct replica *replica, const struct settings *settings)
{
    struct leader *leader = g_new0(struct leader, 1);
    const struct sched_ops ops = {propose_placement, on_orders_changed,
                                  leader};

    leader->replica = replica;
    leader->settings = settings;
    leader->ref = g_new0(struct leader_ref, 1);
    leader->ref->leader = leader;
    leader->ref->ref_count = 1;
    leader->term_start_ms = clock_mono_ms();
    leader->leases =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_lease);
    leader->queued_leases = g_ptr_array_new();
    leader->ending_tasks =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    leader->sched = sched_new(replica_cell(replica), &SCHED_POLICY, &ops,
                              leader->term_start_ms, clock_wall_ms());
    leader->sched_pending = true;
    return leader;
}

void
leader_free(struct leader *leader)
{
    if (leader == NULL) {
        return;
    }
    leader->ref->leader = NULL;
    leader_ref_put(leader->ref);
    sched_free(leader->sched);
    g_ptr_array_free(leader->queued_leases, TRUE);
    g_hash_table_destroy(leader->leases);
    g_hash_table_destroy(leader->ending_tasks);
    g_free(leader);
}

void
leader_task_changed(struct leader *leader, struct task *task,
                    enum task_state old_state)
{
    sched_task_changed(leader->sched, task, old_state);
    leader->sched_pending = true;
}

void
leader_attempt_ended(struct leader *leader, struct task *task,
                     struct target *target)
{
    sched_attempt_ended(leader->sched, task, target);
    on_orders_changed(leader, target);
    leader->sched_pending = true;
}

void
leader_target_changed(struct leader *leader, struct target *target)
{
    sched_target_changed(leader->sched, target);
    leader->sched_pending = true;
}

void
leader_config_changed(struct leader *leader)
{
    sched_config_changed(leader->sched);
    leader->sched_pending = true;
}

void
leader_job_removed(struct leader *leader, struct job *job)
{
    sched_job_removed(leader->sched, job);
}

void
leader_handle_query(struct leader *leader, uint64_t query_id,
                    const char *route, const json_t *body)
{
    if (strcmp(route, "heartbeat") == 0) {
        on_heartbeat(leader, query_id, body);
    }
    else if (strcmp(route, "why") == 0) {
        on_why(leader, query_id, body);
    }
    else {
        replica_reply(leader->replica, query_id, FP_ERR_NOT_FOUND, NULL);
    }
}

static void
run_scheduler(struct leader *leader, uint64_t now_ms)
{
    uint64_t start_us = clock_mono_us();
    uint64_t elapsed_us;

    sched_run(leader->sched, now_ms, clock_wall_ms(), DECISIONS_PER_PASS);
    elapsed_us = clock_mono_us() - start_us;
    leader->sched_us += elapsed_us;
    leader->sched_max_us = MAX(leader->sched_max_us, elapsed_us);
}

/* Checks the queued leases; an answer may queue more of them. */
static void
check_queued_leases(struct leader *leader, uint64_t now_ms)
{
    while (leader->queued_leases->len > 0) {
        struct lease *lease =
            leader->queued_leases->pdata[leader->queued_leases->len - 1];

        g_ptr_array_set_size(leader->queued_leases,
                             (gint)leader->queued_leases->len - 1);
        lease->queued = false;
        check_lease(leader, lease, now_ms);
    }
}

void
leader_flush(struct leader *leader, uint64_t now_ms)
{
    if (leader->sched_pending && replica_is_leader(leader->replica)) {
        leader->sched_pending = false;
        run_scheduler(leader, now_ms);
    }
    check_queued_leases(leader, now_ms);
}

static void
queue_overdue_leases(struct leader *leader, uint64_t now_ms)
{
    GHashTableIter iter;
    struct lease *lease;

    g_hash_table_iter_init(&iter, leader->leases);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&lease)) {
        if (lease->query_id != 0 && now_ms >= lease->hold_until_ms) {
            queue_lease(leader, lease);
        }
    }
}

void
leader_tick(struct leader *leader, uint64_t now_ms)
{
    if (now_ms < leader->next_check_ms) {
        return;
    }
    leader->next_check_ms = now_ms + CHECK_INTERVAL_MS;
    leader->sched_pending = true;
    store_lease(leader, now_ms);
    queue_overdue_leases(leader, now_ms);
    expire_leases(leader, now_ms);
}

json_t *
leader_dump(const struct leader *leader)
{
    const struct sched_counters *counters = sched_counters(leader->sched);

    return json_pack(
        "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "leading_ms",
        (json_int_t)(clock_mono_ms() - leader->term_start_ms), "heartbeats",
        (json_int_t)leader->heartbeats, "attempts_lost",
        (json_int_t)leader->attempts_lost, "ends_proposed",
        (json_int_t)g_hash_table_size(leader->ending_tasks), "sched_us",
        (json_int_t)leader->sched_us, "sched_max_us",
        (json_int_t)leader->sched_max_us, "decisions",
        (json_int_t)counters->decisions, "placements_refused",
        (json_int_t)counters->refused, "preempted",
        (json_int_t)counters->preempted, "reclaimed",
        (json_int_t)counters->reclaimed, "moved", (json_int_t)counters->moved,
        "reservations", (json_int_t)counters->reservations, "probations",
        (json_int_t)counters->probations);
}
