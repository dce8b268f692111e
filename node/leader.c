/* leader.c -- what only the leader does: leases of targets and placement */
#include "node/leader.h"

#include <glib.h>
#include <string.h>

#include "base/log.h"
#include "node/heartbeat.h"

#define DECISIONS_A_ROUND 1000u
#define LOOK_EVERY_MS 50u /* at leases, holds and waits that end by time */

/* One target's lease and its held heartbeat. */
struct lease {
    char name[NAME_BYTES];
    uint64_t renewed_ms; /* when the last answered heartbeat came in */
    uint64_t ask;        /* held question; 0: none */
    uint64_t came_ms;    /* when the held heartbeat came in */
    uint64_t hold_until_ms;
    struct heartbeat heartbeat; /* the held one */
    uint32_t told;              /* digest of the orders last told */
    bool woken;
    uint32_t cpu_used_milli; /* as reported */
    uint32_t memory_used_mb;
};

/* What callbacks of proposals hold: it outlives the leader, is empty then, and
 * is freed with its last user.
 */
struct box {
    struct leader *leader;
    uint32_t users;
};

/* A proposed placement, until its answer comes. */
struct placing {
    struct box *box;
    struct change_place change;
};

struct leader {
    struct replica *replica;
    const struct settings *settings;
    struct box *box;
    struct sched *sched;
    GHashTable *leases; /* target name to struct lease */
    GHashTable *ending; /* task ID to attempt: an end is proposed */
    GPtrArray *woken;   /* struct lease that there is news for */
    uint64_t look_ms;   /* when to look at all of them next */
    bool dirty;         /* the scheduler has something to look at */
    uint64_t since_ms;
    uint64_t sched_us;     /* spent in the scheduler */
    uint64_t sched_max_us; /* longest round */
    uint64_t heartbeats;
    uint64_t lost; /* attempts called lost */
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

static struct box *
box_take(struct box *box)
{
    box->users++;
    return box;
}

static struct leader *
box_give_back(struct box *box)
{
    struct leader *leader = box->leader;

    box->users--;
    if (box->users == 0) {
        g_free(box);
    }
    return leader;
}

static void
on_placed(void *ctx, enum fp_err err, const struct change_answer *answer)
{
    struct placing *placing = ctx;
    struct leader *leader = box_give_back(placing->box);
    const struct fp_list *items = &placing->change.items;
    bool failed = err != FP_OK || answer->err != FP_OK;

    if (leader != NULL && failed) {
        log_info(LOG_SCHED, "A placement of %u tasks was refused: %s.",
                 items->count,
                 err != FP_OK ? fp_err_row(err)->name : answer->detail);
        sched_placement_failed(leader->sched, items->items, items->count);
        leader->dirty = true;
    }
    fp_record_free(&CHANGE_PLACE_SCHEMA, &placing->change);
    g_free(placing);
}

static void
on_place(void *ctx, const struct place_item *items, uint32_t count)
{
    struct leader *leader = ctx;
    struct placing *placing = g_new0(struct placing, 1);

    placing->box = box_take(leader->box);
    placing->change.items.items = g_memdup2(items, count * sizeof(items[0]));
    placing->change.items.count = count;
    replica_propose(leader->replica, &CHANGE_PLACE_SCHEMA, &placing->change,
                    on_placed, placing);
}

static void
wake_lease(struct leader *leader, struct lease *lease)
{
    if (!lease->woken) {
        lease->woken = true;
        g_ptr_array_add(leader->woken, lease);
    }
}

static void
on_wake(void *ctx, struct target *target)
{
    struct leader *leader = ctx;

    wake_lease(leader, lease_of(leader, target->rec.name));
}

/* An end that is proposed, so that later heartbeats do not propose it again.
 */
struct ending {
    struct box *box;
    struct change_end change;
};

static void
on_ended(void *ctx, enum fp_err err, const struct change_answer *answer)
{
    struct ending *ending = ctx;
    struct leader *leader = box_give_back(ending->box);
    const struct end_item *items = ending->change.items.items;

    (void)err;
    (void)answer;
    for (uint32_t i = 0; leader != NULL && i < ending->change.items.count;
         i++) {
        g_hash_table_remove(leader->ending, &items[i].task_id);
    }
    fp_record_free(&CHANGE_END_SCHEMA, &ending->change);
    g_free(ending);
}

static void
propose_ends(struct leader *leader, struct ending *ending)
{
    const struct end_item *items = ending->change.items.items;

    if (ending->change.items.count == 0) {
        g_free(ending);
        return;
    }
    for (uint32_t i = 0; i < ending->change.items.count; i++) {
        g_hash_table_add(leader->ending,
                         g_memdup2(&items[i].task_id, sizeof(uint64_t)));
    }
    ending->box = box_take(leader->box);
    replica_propose(leader->replica, &CHANGE_END_SCHEMA, &ending->change,
                    on_ended, ending);
}

static void
add_end(struct leader *leader, struct ending *ending, const struct task *task,
        enum end_outcome outcome, uint32_t exit_code)
{
    struct end_item *item;

    if (g_hash_table_contains(leader->ending, &task->id)) {
        return;
    }
    item = fp_list_add(&ending->change.items, sizeof(*item));
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
runs_here(const struct task *task, const struct target *target,
          uint32_t attempt)
{
    return task != NULL && task->state == TASK_RUNNING &&
           task->target == target && task->attempt == attempt;
}

/* Takes over what the target says became of its attempts. */
static void
take_reports(struct leader *leader, struct target *target,
             const struct heartbeat *heartbeat)
{
    static const enum end_outcome outcomes[] = {[REPORT_DONE] = END_DONE,
                                                [REPORT_FAILED] = END_FAILED,
                                                [REPORT_STOPPED] = END_STOPPED,
                                                [REPORT_NOT_RUN] =
                                                    END_NOT_RUN};
    struct ending *ending = g_new0(struct ending, 1);
    const struct report *reports = heartbeat->tasks.items;
    struct cell *cell = replica_cell(leader->replica);

    for (uint32_t i = 0; i < heartbeat->tasks.count; i++) {
        const struct task *task = cell_task(cell, reports[i].id);

        if (reports[i].state != REPORT_RUNNING &&
            runs_here(task, target, reports[i].attempt)) {
            add_end(leader, ending, task, outcomes[reports[i].state],
                    reports[i].exit_code);
        }
    }
    propose_ends(leader, ending);
}

static json_t *
start_order(const struct leader *leader, const struct task *task)
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
attempt_order(uint64_t id, uint32_t attempt, const char *mode)
{
    json_t *order =
        json_pack("{s:I,s:i}", "id", (json_int_t)id, "attempt", attempt);

    if (mode != NULL) {
        json_object_set_new(order, "mode", json_string(mode));
    }
    return order;
}

/* What the target has to do, as lists of one answer. */
struct orders {
    json_t *start;
    json_t *stop;
    json_t *forget;
    json_t *throttle;
    uint32_t digest; /* of all that is in the lists */
};

static void
note_order(struct orders *orders, uint64_t id, uint32_t attempt, uint32_t kind)
{
    orders->digest += (uint32_t)((id * 31 + attempt) * 2654435761u + kind) | 1;
}

static void
order_running(const struct leader *leader, const struct task *task,
              struct orders *orders)
{
    enum sched_order order = sched_task_order(leader->sched, task);

    if (order == SCHED_ORDER_RUN) {
        return;
    }
    note_order(orders, task->id, task->attempt, order);
    if (order == SCHED_ORDER_THROTTLE) {
        json_array_append_new(orders->throttle,
                              attempt_order(task->id, task->attempt, NULL));
        return;
    }
    json_array_append_new(
        orders->stop,
        attempt_order(task->id, task->attempt,
                      order == SCHED_ORDER_STOP ? "stop" : "checkpoint"));
}

static void
order_reported(const struct leader *leader, const struct target *target,
               const struct report *report, struct orders *orders)
{
    const struct task *task =
        cell_task(replica_cell(leader->replica), report->id);

    if (runs_here(task, target, report->attempt)) {
        if (report->state == REPORT_RUNNING) {
            order_running(leader, task, orders);
        }
        return;
    }
    note_order(orders, report->id, report->attempt, 10 + report->state);
    if (report->state == REPORT_RUNNING) {
        json_array_append_new(
            orders->stop, attempt_order(report->id, report->attempt, "stop"));
        return;
    }
    json_array_append_new(orders->forget,
                          attempt_order(report->id, report->attempt, NULL));
}

static bool
is_reported(const struct heartbeat *heartbeat, const struct task *task)
{
    const struct report *reports = heartbeat->tasks.items;

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
    const struct report *reports = heartbeat->tasks.items;

    orders->start = json_array();
    orders->stop = json_array();
    orders->forget = json_array();
    orders->throttle = json_array();
    orders->digest = 0;
    for (const struct task *task = target->first_task; task != NULL;
         task = task->next_on_target) {
        if (!is_reported(heartbeat, task)) {
            note_order(orders, task->id, task->attempt, 20);
            json_array_append_new(orders->start, start_order(leader, task));
        }
    }
    for (uint32_t i = 0; i < heartbeat->tasks.count; i++) {
        order_reported(leader, target, &reports[i], orders);
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

/* Answers the held heartbeat; the lease counts from when it came in. */
static void
answer_held(struct leader *leader, struct lease *lease, struct orders *orders)
{
    uint64_t ask = lease->ask;
    json_t *body;

    lease->ask = 0;
    if (!replica_leads(leader->replica)) {
        replica_answer(leader->replica, ask, FP_ERR_NO_LEADER, NULL);
        return;
    }
    lease->renewed_ms = MAX(lease->renewed_ms, lease->came_ms);
    lease->told = orders->digest;
    body = json_pack("{s:I,s:I,s:O,s:O,s:O,s:O}", "number",
                     (json_int_t)lease->heartbeat.number, "lease_ms",
                     (json_int_t)leader->settings->times.task_lease_ms,
                     "start", orders->start, "stop", orders->stop, "forget",
                     orders->forget, "throttle", orders->throttle);
    replica_answer(leader->replica, ask, FP_OK, body);
}

static void
consider_held(struct leader *leader, struct lease *lease, uint64_t now_ms)
{
    struct target *target =
        cell_target(replica_cell(leader->replica), lease->name);
    struct orders orders;

    if (lease->ask == 0 || target == NULL) {
        return;
    }
    collect_orders(leader, target, &lease->heartbeat, &orders);
    if (now_ms >= lease->hold_until_ms ||
        (orders.digest != 0 && orders.digest != lease->told)) {
        answer_held(leader, lease, &orders);
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

    log_notice(LOG_CELL, "Target %s is %s.", target->rec.name,
               TARGET_STATE_NAMES[state]);
    g_strlcpy(change.name, target->rec.name, sizeof(change.name));
    replica_propose(leader->replica, &CHANGE_TARGET_STATE_SCHEMA, &change,
                    ignore_answer, NULL);
}

static void
take_state(struct leader *leader, struct target *target,
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
hold_ms(const struct leader *leader)
{
    uint64_t targets =
        g_hash_table_size(replica_cell(leader->replica)->targets);
    uint64_t most = leader->settings->times.task_lease_ms / LEADER_HOLD_PART;

    return MIN(MAX(targets * 1000 / LEADER_HEARTBEATS, LEADER_HOLD_MS), most);
}

static void
hold_heartbeat(struct leader *leader, struct lease *lease, uint64_t ask,
               struct heartbeat *heartbeat)
{
    uint64_t now_ms = clock_mono_ms();

    if (lease->ask != 0) {
        replica_answer(leader->replica, lease->ask, FP_ERR_STALE, NULL);
    }
    fp_record_free(&HEARTBEAT_SCHEMA, &lease->heartbeat);
    lease->heartbeat = *heartbeat;
    lease->ask = ask;
    lease->came_ms = now_ms;
    lease->hold_until_ms = now_ms + hold_ms(leader);
    lease->cpu_used_milli = heartbeat->cpu_used_milli;
    lease->memory_used_mb = heartbeat->memory_used_mb;
    wake_lease(leader, lease);
}

static void
on_heartbeat(struct leader *leader, uint64_t ask, const json_t *body)
{
    struct heartbeat heartbeat = {.number = 0};
    char why[200];
    struct target *target;

    leader->heartbeats++;
    if (fp_from_json(&HEARTBEAT_SCHEMA, body, &heartbeat, why, sizeof(why)) !=
        FP_OK) {
        replica_answer(leader->replica, ask, FP_ERR_BAD_REQUEST,
                       json_string(why));
        fp_record_free(&HEARTBEAT_SCHEMA, &heartbeat);
        return;
    }
    target = cell_target(replica_cell(leader->replica), heartbeat.name);
    if (target == NULL || target->rec.run_id != heartbeat.run_id) {
        replica_answer(leader->replica, ask, FP_ERR_STALE,
                       json_string("announce first"));
        fp_record_free(&HEARTBEAT_SCHEMA, &heartbeat);
        return;
    }
    take_state(leader, target, &heartbeat);
    take_reports(leader, target, &heartbeat);
    hold_heartbeat(leader, lease_of(leader, heartbeat.name), ask, &heartbeat);
}

/* Calls the attempts on a silent target lost, once its lease is surely over.
 */
static void
expire_target(struct leader *leader, struct target *target)
{
    struct ending *ending = g_new0(struct ending, 1);

    propose_state(leader, target, TARGET_DOWN);
    for (const struct task *task = target->first_task; task != NULL;
         task = task->next_on_target) {
        add_end(leader, ending, task, END_LOST, 0);
        leader->lost++;
    }
    propose_ends(leader, ending);
}

static void
expire_leases(struct leader *leader, uint64_t now_ms)
{
    uint64_t lease_ms = leader->settings->times.task_lease_ms;
    uint64_t over_ms =
        lease_ms + lease_ms * LEADER_DRIFT_PERMILLE / 1000 + LEADER_MARGIN_MS;
    GHashTableIter iter;
    struct target *target;

    if (!replica_leads(leader->replica)) {
        return;
    }
    g_hash_table_iter_init(&iter, replica_cell(leader->replica)->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        struct lease *lease = lease_of(leader, target->rec.name);

        if (target->rec.state == TARGET_DOWN && target->first_task == NULL) {
            continue;
        }
        if (now_ms > lease->renewed_ms + over_ms) {
            lease->renewed_ms = now_ms; /* not again while it is proposed */
            expire_target(leader, target);
        }
    }
}

static json_t *
why_body(struct leader *leader, uint64_t id)
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
on_why(struct leader *leader, uint64_t ask, const json_t *body)
{
    json_t *answer = why_body(
        leader, (uint64_t)json_integer_value(json_object_get(body, "id")));

    replica_answer(leader->replica, ask,
                   answer == NULL ? FP_ERR_NOT_FOUND : FP_OK, answer);
}

struct leader *
leader_new(struct replica *replica, const struct settings *settings)
{
    struct leader *leader = g_new0(struct leader, 1);
    const struct sched_ops ops = {on_place, on_wake, leader};

    leader->replica = replica;
    leader->settings = settings;
    leader->box = g_new0(struct box, 1);
    leader->box->leader = leader;
    leader->box->users = 1;
    leader->since_ms = clock_mono_ms();
    leader->leases =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_lease);
    leader->woken = g_ptr_array_new();
    leader->ending =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    leader->sched = sched_new(replica_cell(replica), &SCHED_POLICY, &ops,
                              leader->since_ms, clock_wall_ms());
    leader->dirty = true;
    return leader;
}

void
leader_free(struct leader *leader)
{
    if (leader == NULL) {
        return;
    }
    leader->box->leader = NULL;
    box_give_back(leader->box);
    sched_free(leader->sched);
    g_ptr_array_free(leader->woken, TRUE);
    g_hash_table_destroy(leader->leases);
    g_hash_table_destroy(leader->ending);
    g_free(leader);
}

void
leader_task_changed(struct leader *leader, struct task *task,
                    enum task_state was)
{
    sched_task_changed(leader->sched, task, was);
    leader->dirty = true;
}

void
leader_attempt_ended(struct leader *leader, struct task *task,
                     struct target *target)
{
    sched_attempt_ended(leader->sched, task, target);
    on_wake(leader, target);
    leader->dirty = true;
}

void
leader_target_changed(struct leader *leader, struct target *target)
{
    sched_target_changed(leader->sched, target);
    leader->dirty = true;
}

void
leader_config_changed(struct leader *leader)
{
    sched_config_changed(leader->sched);
    leader->dirty = true;
}

void
leader_job_removed(struct leader *leader, struct job *job)
{
    sched_job_removed(leader->sched, job);
}

void
leader_asked(struct leader *leader, uint64_t ask, const char *route,
             const json_t *body)
{
    if (strcmp(route, "heartbeat") == 0) {
        on_heartbeat(leader, ask, body);
    }
    else if (strcmp(route, "why") == 0) {
        on_why(leader, ask, body);
    }
    else {
        replica_answer(leader->replica, ask, FP_ERR_NOT_FOUND, NULL);
    }
}

static void
run_decisions(struct leader *leader, uint64_t now_ms)
{
    uint64_t began_us = clock_mono_us();
    uint64_t took_us;

    sched_run(leader->sched, now_ms, clock_wall_ms(), DECISIONS_A_ROUND);
    took_us = clock_mono_us() - began_us;
    leader->sched_us += took_us;
    leader->sched_max_us = MAX(leader->sched_max_us, took_us);
}

/* Only leases with news are looked at; answering may wake further ones. */
static void
consider_woken(struct leader *leader, uint64_t now_ms)
{
    while (leader->woken->len > 0) {
        struct lease *lease = leader->woken->pdata[leader->woken->len - 1];

        g_ptr_array_set_size(leader->woken, (gint)leader->woken->len - 1);
        lease->woken = false;
        consider_held(leader, lease, now_ms);
    }
}

void
leader_flush(struct leader *leader, uint64_t now_ms)
{
    if (leader->dirty && replica_leads(leader->replica)) {
        leader->dirty = false;
        run_decisions(leader, now_ms);
    }
    consider_woken(leader, now_ms);
}

static void
wake_held_too_long(struct leader *leader, uint64_t now_ms)
{
    GHashTableIter iter;
    struct lease *lease;

    g_hash_table_iter_init(&iter, leader->leases);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&lease)) {
        if (lease->ask != 0 && now_ms >= lease->hold_until_ms) {
            wake_lease(leader, lease);
        }
    }
}

void
leader_tick(struct leader *leader, uint64_t now_ms)
{
    if (now_ms < leader->look_ms) {
        return;
    }
    leader->look_ms = now_ms + LOOK_EVERY_MS;
    leader->dirty = true;
    wake_held_too_long(leader, now_ms);
    expire_leases(leader, now_ms);
}

json_t *
leader_dump(const struct leader *leader)
{
    const struct sched_counters *counters = sched_counters(leader->sched);

    return json_pack(
        "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "leading_ms",
        (json_int_t)(clock_mono_ms() - leader->since_ms), "heartbeats",
        (json_int_t)leader->heartbeats, "attempts_lost",
        (json_int_t)leader->lost, "ends_proposed",
        (json_int_t)g_hash_table_size(leader->ending), "sched_us",
        (json_int_t)leader->sched_us, "sched_max_us",
        (json_int_t)leader->sched_max_us, "decisions",
        (json_int_t)counters->decisions, "placements_refused",
        (json_int_t)counters->refused, "preempted",
        (json_int_t)counters->preempted, "reclaimed",
        (json_int_t)counters->reclaimed, "moved", (json_int_t)counters->moved,
        "reservations", (json_int_t)counters->reservations, "probations",
        (json_int_t)counters->probations);
}
