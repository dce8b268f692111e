/* owner.c -- requests at the host that owns the instances */
#include "node/owner.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"

#define RETURN_EVERY_MS 200u
#define BALANCE_EVERY_MS 2000u
#define KEEP_UNITS 4u /* idle units kept above what is in use */

/* One request here. */
struct request {
    struct router_call call; /* first member: route's view of it */
    struct owner *owner;
    struct msg_call msg; /* own copy */
    char request_id[48];
    char target[NAME_BYTES];
    owner_done done;
    void *ctx;
    /* A refusal made within owner_run(), told on the next tick. */
    enum fp_err refused;
    uint32_t retry_after_ms;
};

struct owner {
    struct replica *replica;
    const struct settings *settings;
    struct fetcher *fetcher;
    struct router *route;
    GHashTable *epochs; /* target to struct ownership */
    GHashTable *caps;   /* team to units, from the leader */
    /* Team to units: lowered here, perhaps not yet in the log; never more
     * than this is used. */
    GHashTable *lowered;
    GQueue refused; /* struct request whose refusal is still to be told */
    bool changed;
    bool draining;
    uint64_t return_ms;
    uint64_t balance_ms;
    uint64_t next_id;
    uint64_t sent;
    uint64_t answered;
    uint64_t broken;
    uint64_t not_sent;
};

/* When the slots of an instance owned here came, and may be used. */
struct ownership {
    char target[NAME_BYTES];
    uint64_t epoch;
    uint64_t usable_at_ms;
    bool returning; /* given back here; the log may not say so yet */
};

static void
free_request(struct request *job)
{
    fp_record_free(&MSG_CALL_SCHEMA, &job->msg);
    g_free(job);
}

static void
tell(struct request *job, const struct owner_result *result)
{
    job->done(job->ctx, result);
    free_request(job);
}

static enum router_outcome
end_of(enum fp_err err)
{
    switch (err) {
    case FP_OK:
    case FP_ERR_ANSWER_TOO_LARGE:
        return ROUTER_ANSWERED;
    case FP_ERR_NOT_CONNECTED:
    case FP_ERR_DEADLINE_EXCEEDED:
        return ROUTER_NOT_CONNECTED;
    default:
        return ROUTER_INCOMPLETE;
    }
}

static void
on_fetched(void *ctx, const struct fetch_answer *answer)
{
    struct request *job = ctx;
    struct owner *owner = job->owner;
    struct owner_result result = {.err = answer->err,
                                  .status = answer->status,
                                  .content_type = answer->content_type,
                                  .body = answer->body,
                                  .body_bytes = answer->body_bytes,
                                  .target = job->target};
    enum router_outcome end = end_of(answer->err);

    if (end == ROUTER_ANSWERED) {
        owner->answered++;
    }
    else if (end == ROUTER_INCOMPLETE) {
        owner->broken++;
    }
    router_complete(owner->route, &job->call, end, clock_mono_ms());
    tell(job, &result);
}

static bool
key_holds(const struct owner *owner, const struct msg_call *msg)
{
    const char *team;

    return msg->key_hash[0] == '\0' ||
           (cell_key_team(replica_cell(owner->replica), msg->key_hash,
                          &team) == FP_OK &&
            strcmp(team, msg->team) == 0);
}

/* Last look before a byte leaves: the process may have been stopped since the
 * request came in, and its view of keys and owners may be old by now.
 */
static bool
may_send(const struct owner *owner, const struct request *job,
         const char *target)
{
    const struct target *record =
        cell_target(replica_cell(owner->replica), target);

    return replica_fresh(owner->replica) && record != NULL &&
           record->rec.owner_run == replica_run_id(owner->replica) &&
           record->rec.state == TARGET_UP && key_holds(owner, &job->msg) &&
           clock_mono_ms() < job->call.deadline_ms;
}

static bool
on_send(void *ctx, struct router_call *call, const char *target,
        const char *address)
{
    struct owner *owner = ctx;
    struct request *job = (struct request *)call;
    char url[1200];
    struct fetch_request request = {
        .method = job->msg.method,
        .url = url,
        .content_type = job->msg.content_type,
        .request_id = job->request_id,
        .body = job->msg.body.data,
        .body_bytes = job->msg.body.size_bytes,
        .answer_max_bytes = MSG_CALL_BODY_MAX_BYTES,
        .once = !job->msg.repeatable,
    };

    if (!may_send(owner, job, target)) {
        return false;
    }
    snprintf(url, sizeof(url), "http://%s%s", address, job->msg.path);
    g_strlcpy(job->target, target, sizeof(job->target));
    request.timeout_ms = call->deadline_ms - clock_mono_ms();
    owner->sent++;
    fetch(owner->fetcher, &request, on_fetched, job);
    return true;
}

static void
on_refuse(void *ctx, struct router_call *call, enum fp_err err,
          uint32_t retry_after_ms)
{
    struct owner *owner = ctx;
    struct request *job = (struct request *)call;

    owner->not_sent++;
    job->refused = err;
    job->retry_after_ms = retry_after_ms;
    g_queue_push_tail(&owner->refused, job);
}

static void
tell_refused(struct owner *owner)
{
    struct request *job = g_queue_pop_head(&owner->refused);

    while (job != NULL) {
        struct owner_result result = {.err = job->refused,
                                      .content_type = "",
                                      .target = "",
                                      .retry_after_ms = job->retry_after_ms};

        tell(job, &result);
        job = g_queue_pop_head(&owner->refused);
    }
}

struct owner *
owner_new(struct replica *replica, const struct settings *settings,
          struct fetcher *fetcher)
{
    struct owner *owner = g_new0(struct owner, 1);
    const struct router_ops ops = {on_send, on_refuse, owner};

    owner->replica = replica;
    owner->settings = settings;
    owner->fetcher = fetcher;
    owner->route = router_new(ROUTER_EXPECTED_LATENCY, &ops);
    owner->epochs =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    owner->caps = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    owner->lowered =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    owner->changed = true;
    g_queue_init(&owner->refused);
    return owner;
}

void
owner_free(struct owner *owner)
{
    if (owner == NULL) {
        return;
    }
    router_free(owner->route);
    g_hash_table_destroy(owner->epochs);
    g_hash_table_destroy(owner->caps);
    g_hash_table_destroy(owner->lowered);
    g_queue_clear(&owner->refused);
    g_free(owner);
}

void
owner_run(struct owner *owner, const struct msg_call *call, owner_done done,
          void *ctx)
{
    struct request *job = g_new0(struct request, 1);
    const struct queue *queue =
        cell_queue(replica_cell(owner->replica), call->queue);
    uint64_t now_ms = clock_mono_ms();

    job->owner = owner;
    job->done = done;
    job->ctx = ctx;
    fp_record_copy(&MSG_CALL_SCHEMA, &job->msg, call);
    snprintf(job->request_id, sizeof(job->request_id), "%s-%llx-%llu",
             owner->settings->host,
             (unsigned long long)replica_run_id(owner->replica) & 0xffffff,
             (unsigned long long)++owner->next_id);
    job->call.deadline_ms = now_ms + call->budget_ms;
    g_strlcpy(job->call.team, call->team, sizeof(job->call.team));
    if (owner->draining || queue == NULL) {
        on_refuse(owner, &job->call,
                  queue == NULL ? FP_ERR_NOT_FOUND : FP_ERR_SHUTTING_DOWN, 0);
        return;
    }
    job->call.max_waiting = queue->conf.max_waiting;
    g_strlcpy(job->call.service, queue->conf.service,
              sizeof(job->call.service));
    router_submit(owner->route, &job->call, now_ms);
}

void
owner_changed(struct owner *owner)
{
    owner->changed = true;
}

void
owner_caps(struct owner *owner, const struct msg_hint *hint)
{
    const struct msg_demand *caps = hint->caps.items;

    g_hash_table_remove_all(owner->caps);
    for (uint32_t i = 0; i < hint->caps.count; i++) {
        g_hash_table_insert(owner->caps, g_strdup(caps[i].team),
                            GUINT_TO_POINTER(caps[i].wanted));
    }
}

/* Slots of an owner that was lost may be busy until its freshness lease and
 * the longest request are over, counted from when this host learned of it:
 * that is after the change was committed, and the old owner acts on nothing
 * older than its lease.
 */
static struct ownership *
ownership_of(struct owner *owner, const struct target *target)
{
    const struct change_target *rec = &target->rec;
    struct ownership *entry = g_hash_table_lookup(owner->epochs, rec->name);

    if (entry != NULL && entry->epoch == rec->owner_epoch) {
        return entry;
    }
    entry = g_new0(struct ownership, 1);
    g_strlcpy(entry->target, rec->name, sizeof(entry->target));
    entry->epoch = rec->owner_epoch;
    entry->usable_at_ms = clock_mono_ms();
    if (!rec->owner_clean) {
        entry->usable_at_ms +=
            owner->settings->times.fresh_ms * 101 / 100 + ASSIGN_MARGIN_MS +
            assign_request_max_ms(replica_cell(owner->replica));
    }
    g_hash_table_replace(owner->epochs, entry->target, entry);
    return entry;
}

static void
follow_targets(struct owner *owner)
{
    uint64_t run_id = replica_run_id(owner->replica);
    GHashTableIter iter;
    struct target *target;

    router_mark_instances(owner->route);
    g_hash_table_iter_init(&iter, replica_cell(owner->replica)->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        const struct change_target *rec = &target->rec;

        if (rec->owner_run == run_id && rec->state == TARGET_UP &&
            rec->service[0] != '\0' &&
            !ownership_of(owner, target)->returning) {
            router_set_instance(owner->route, rec->name, rec->service,
                                rec->address, rec->slots,
                                ownership_of(owner, target)->usable_at_ms);
        }
    }
    router_remove_marked(owner->route);
}

static uint32_t
units_of(const struct owner *owner, const struct team *team)
{
    uint32_t units = cell_granted_units(team, replica_run_id(owner->replica));
    gpointer lowered;

    if (g_hash_table_lookup_extended(owner->lowered, team->conf.name, NULL,
                                     &lowered)) {
        units = MIN(units, GPOINTER_TO_UINT(lowered));
    }
    return units;
}

/* Cheap enough for each tick: a lowered limit or part counts at once. */
static void
follow_teams(struct owner *owner)
{
    GHashTableIter iter;
    struct team *team;

    g_hash_table_iter_init(&iter, replica_cell(owner->replica)->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        router_set_team(owner->route, team->conf.name, team->conf.weight,
                        team->conf.limit_running != 0, units_of(owner, team));
    }
}

static void
ignore_answer(void *ctx, enum fp_err err, const struct change_answer *answer)
{
    (void)ctx;
    (void)err;
    (void)answer;
}

/* The slots here may be returned as clean: nothing of this process is in
 * flight on the target, nor can something of a process before it be.
 */
static bool
is_clean(struct owner *owner, const struct target *target)
{
    return router_target_in_flight(owner->route, target->rec.name) == 0 &&
           clock_mono_ms() >= ownership_of(owner, target)->usable_at_ms;
}

/* Gives an instance back. From here on it is not used, whenever the log says
 * so; a repeated proposal is refused by its epoch.
 */
static void
return_slots(struct owner *owner, const struct target *target)
{
    struct change_owner change = {.epoch = target->rec.owner_epoch,
                                  .clean = is_clean(owner, target)};

    ownership_of(owner, target)->returning = true;
    router_remove_instance(owner->route, target->rec.name);
    g_strlcpy(change.target, target->rec.name, sizeof(change.target));
    replica_propose(owner->replica, &CHANGE_OWNER_SCHEMA, &change,
                    ignore_answer, NULL);
}

/* All that is idle when draining; else what was given back before and is
 * still ours in the log.
 */
static void
return_all_slots(struct owner *owner)
{
    uint64_t run_id = replica_run_id(owner->replica);
    GHashTableIter iter;
    struct target *target;

    g_hash_table_iter_init(&iter, replica_cell(owner->replica)->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        if (target->rec.owner_run == run_id &&
            router_target_in_flight(owner->route, target->rec.name) == 0 &&
            (owner->draining || ownership_of(owner, target)->returning)) {
            return_slots(owner, target);
        }
    }
}

/* A part that is being lowered. */
struct lowering {
    struct owner *owner;
    char team[NAME_BYTES];
};

/* Only a definite answer lifts the hold; after an open one the next round
 * proposes the same again.
 */
static void
on_lowered(void *ctx, enum fp_err err, const struct change_answer *answer)
{
    struct lowering *lowering = ctx;

    (void)answer;
    if (err == FP_OK) {
        g_hash_table_remove(lowering->owner->lowered, lowering->team);
    }
    g_free(lowering);
}

static void
lower_grant(struct owner *owner, const struct team *team, uint32_t has,
            uint32_t units)
{
    struct change_grant change = {
        .run_id = replica_run_id(owner->replica), .units = units, .was = has};
    struct lowering *lowering = g_new0(struct lowering, 1);

    g_strlcpy(change.team, team->conf.name, sizeof(change.team));
    g_strlcpy(change.host, owner->settings->host, sizeof(change.host));
    lowering->owner = owner;
    g_strlcpy(lowering->team, team->conf.name, sizeof(lowering->team));
    g_hash_table_replace(owner->lowered, g_strdup(team->conf.name),
                         GUINT_TO_POINTER(units));
    replica_propose(owner->replica, &CHANGE_GRANT_SCHEMA, &change, on_lowered,
                    lowering);
}

static uint32_t
units_to_keep(const struct owner *owner, const struct team *team, uint32_t has)
{
    uint32_t cap =
        GPOINTER_TO_UINT(g_hash_table_lookup(owner->caps, team->conf.name));
    uint32_t used;
    uint32_t wanted;

    /* Lowered to what is in use at most: a request never loses its unit. */
    router_team_demand(owner->route, team->conf.name, &used, &wanted);
    if (owner->draining || team->conf.limit_running == 0) {
        return used;
    }
    if (cap != 0 && has > cap) {
        return MAX(cap, used);
    }
    return MIN(has, MAX(wanted, used) + KEEP_UNITS);
}

static void
return_units(struct owner *owner)
{
    uint64_t run_id = replica_run_id(owner->replica);
    GHashTableIter iter;
    struct team *team;

    g_hash_table_iter_init(&iter, replica_cell(owner->replica)->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        uint32_t has = cell_granted_units(team, run_id);
        uint32_t keep = units_to_keep(owner, team, has);

        if (keep < has) {
            lower_grant(owner, team, has, keep);
        }
    }
}

/* Instances owned by this host, and the fewest owned by a host of the same
 * data centre, by the cell's record.
 */
static void
count_instances(const struct owner *owner, uint32_t *own, uint32_t *fewest)
{
    const struct settings *settings = owner->settings;
    const char *near = settings_find(settings, settings->host)->data_centre;
    GHashTableIter iter;
    struct target *target;

    *own = 0;
    *fewest = UINT32_MAX;
    for (unsigned i = 0; i < settings->hosts_count; i++) {
        const struct settings_host *host = &settings->hosts[i];
        uint32_t count = 0;

        if (strcmp(host->data_centre, near) != 0) {
            continue;
        }
        g_hash_table_iter_init(&iter, replica_cell(owner->replica)->targets);
        while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
            if (target->rec.owner_run != 0 &&
                strcmp(target->rec.owner_host, host->name) == 0) {
                count++;
            }
        }
        if (strcmp(host->name, settings->host) == 0) {
            *own = count;
        }
        *fewest = MIN(*fewest, count);
    }
}

/* After hosts came back one that owns more gives an idle instance away; the
 * leader gives it to the live host with the fewest.
 */
static void
balance(struct owner *owner)
{
    uint64_t run_id = replica_run_id(owner->replica);
    uint32_t own;
    uint32_t fewest;
    GHashTableIter iter;
    struct target *target;

    count_instances(owner, &own, &fewest);
    if (own < fewest + 2) {
        return;
    }
    g_hash_table_iter_init(&iter, replica_cell(owner->replica)->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        if (target->rec.owner_run == run_id && is_clean(owner, target) &&
            !ownership_of(owner, target)->returning) {
            return_slots(owner, target);
            return;
        }
    }
}

void
owner_tick(struct owner *owner, uint64_t now_ms)
{
    tell_refused(owner);
    if (owner->changed) {
        owner->changed = false;
        follow_targets(owner);
    }
    follow_teams(owner);
    router_tick(owner->route, now_ms);
    tell_refused(owner);
    if (now_ms < owner->return_ms) {
        return;
    }
    owner->return_ms = now_ms + RETURN_EVERY_MS;
    if (!replica_fresh(owner->replica)) {
        return;
    }
    return_units(owner);
    return_all_slots(owner);
    if (!owner->draining && now_ms >= owner->balance_ms) {
        owner->balance_ms = now_ms + BALANCE_EVERY_MS;
        balance(owner);
    }
}

/* What collecting a hint needs. */
struct hinting {
    const struct owner *owner;
    struct msg_hint *hint;
    uint64_t now_ms;
};

static void
add_service(void *ctx, const char *service)
{
    struct hinting *hinting = ctx;
    struct msg_hint_queue *queue =
        fp_list_add(&hinting->hint->queues, sizeof(*queue));
    struct service_load hint;

    router_service_load(hinting->owner->route, service, hinting->now_ms,
                        &hint);
    g_strlcpy(queue->queue, service, sizeof(queue->queue));
    queue->free_slots = hint.free_slots;
    queue->waiting = hint.waiting;
    queue->instances = hint.instances;
    queue->service_ms = hint.service_time_ms;
}

void
owner_hint(const struct owner *owner, struct msg_hint *hint, uint64_t now_ms)
{
    struct hinting hinting = {owner, hint, now_ms};
    GHashTableIter iter;
    struct team *team;

    hint->run_id = replica_run_id(owner->replica);
    g_strlcpy(hint->host, owner->settings->host, sizeof(hint->host));
    hint->sent_ms = now_ms;
    hint->leaving = owner->draining;
    if (!owner->draining) {
        router_foreach_service(owner->route, add_service, &hinting);
    }
    g_hash_table_iter_init(&iter, replica_cell(owner->replica)->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        struct msg_demand demand = {{0}, 0, 0};

        router_team_demand(owner->route, team->conf.name, &demand.used,
                           &demand.wanted);
        if (demand.wanted > 0) {
            g_strlcpy(demand.team, team->conf.name, sizeof(demand.team));
            *(struct msg_demand *)fp_list_add(&hint->demand, sizeof(demand)) =
                demand;
        }
    }
}

void
owner_drain(struct owner *owner)
{
    owner->draining = true;
    router_refuse_all(owner->route, FP_ERR_SHUTTING_DOWN);
}

bool
owner_returned_all(const struct owner *owner)
{
    uint64_t run_id = replica_run_id(owner->replica);
    GHashTableIter iter;
    struct target *target;
    struct team *team;

    g_hash_table_iter_init(&iter, replica_cell(owner->replica)->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        if (target->rec.owner_run == run_id) {
            return false;
        }
    }
    g_hash_table_iter_init(&iter, replica_cell(owner->replica)->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        if (cell_granted_units(team, run_id) > 0) {
            return false;
        }
    }
    return true;
}

uint32_t
owner_in_flight(const struct owner *owner)
{
    return router_in_flight(owner->route) +
           g_queue_get_length((GQueue *)&owner->refused);
}

json_t *
owner_dump(const struct owner *owner)
{
    struct msg_hint hint = {0};
    json_t *whole;
    json_t *queues;

    owner_hint(owner, &hint, clock_mono_ms());
    whole = fp_to_json(&MSG_HINT_SCHEMA, &hint);
    queues = json_incref(json_object_get(whole, "queues"));
    json_decref(whole);
    fp_record_free(&MSG_HINT_SCHEMA, &hint);
    return json_pack("{s:o,s:I,s:I,s:I,s:I,s:I,s:I,s:b}", "services", queues,
                     "in_flight", (json_int_t)router_in_flight(owner->route),
                     "waiting", (json_int_t)router_waiting(owner->route),
                     "sent", (json_int_t)owner->sent, "answered",
                     (json_int_t)owner->answered, "broken",
                     (json_int_t)owner->broken, "not_sent",
                     (json_int_t)owner->not_sent, "draining", owner->draining);
}
