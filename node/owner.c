/* owner.c -- sends requests to the instances that this process owns */
#include "node/owner.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"

#define RETURN_INTERVAL_MS 200u
#define BALANCE_INTERVAL_MS 2000u
#define SPARE_UNITS 4u /* idle units kept beyond demand */

struct owner_request {
    struct router_call call; /* first member, so that the router's callbacks
                              * can cast it to the request */
    struct owner *owner;
    struct msg_call msg;
    char request_id[48]; /* sent as X-Request-Id */
    char target[NAME_BYTES];
    owner_done done;
    void *ctx;
    /* Refusal, delivered by the next tick because owner_submit() must not call
     * done. */
    enum fp_err refusal;
    uint32_t retry_after_ms;
};

struct owner {
    struct replica *replica;
    const struct settings *settings;
    struct fetcher *fetcher;
    struct router *router;
    GHashTable *ownerships; /* target to struct ownership */
    GHashTable *caps; /* team to the most units to hold, set by the leader */
    /* Team to units of a grant that this process is lowering. No more units
     * than this are used, even before the change is committed. */
    GHashTable *lowered_units;
    GQueue refused_requests; /* struct owner_request, to be delivered */
    bool cell_changed;       /* the router's instances must be updated */
    bool draining;
    uint64_t next_return_ms;
    uint64_t next_balance_ms;
    uint64_t last_request_id;
    /* Numbers of requests. */
    uint64_t sent;
    uint64_t answered;
    uint64_t incomplete; /* sent, without a complete answer */
    uint64_t not_sent;   /* refused */
};

/* Slots of an instance that this process owns. */
struct ownership {
    char target[NAME_BYTES];
    uint64_t epoch;        /* owner epoch that the entry is valid for */
    uint64_t usable_at_ms; /* the slots may be used from then on */
    bool returning;        /* slots unused; the return may be uncommitted */
};

static void
free_request(struct owner_request *request)
{
    fp_record_free(&MSG_CALL_SCHEMA, &request->msg);
    g_free(request);
}

static void
deliver_result(struct owner_request *request,
               const struct owner_result *result)
{
    request->done(request->ctx, result);
    free_request(request);
}

static enum router_outcome
outcome_of(enum fp_err err)
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
on_fetched(void *ctx, const struct fetch_response *answer)
{
    struct owner_request *request = ctx;
    struct owner *owner = request->owner;
    struct owner_result result = {.err = answer->err,
                                  .status = answer->status,
                                  .content_type = answer->content_type,
                                  .body = answer->body,
                                  .body_bytes = answer->body_bytes,
                                  .target = request->target};
    enum router_outcome outcome = outcome_of(answer->err);

    if (outcome == ROUTER_ANSWERED) {
        owner->answered++;
    }
    else if (outcome == ROUTER_INCOMPLETE) {
        owner->incomplete++;
    }
    router_complete(owner->router, &request->call, outcome, clock_mono_ms());
    deliver_result(request, &result);
}

/* Returns whether the caller's key still belongs to the team. */
static bool
key_is_valid(const struct owner *owner, const struct msg_call *msg)
{
    const char *team;

    return msg->key_hash[0] == '\0' ||
           (cell_key_team(replica_cell(owner->replica), msg->key_hash,
                          &team) == FP_OK &&
            strcmp(team, msg->team) == 0);
}

/* Last check before the request is sent: the process may have been suspended
 * since the request was received, so that its copy of keys and owners may be
 * out of date.
 */
static bool
may_send(const struct owner *owner, const struct owner_request *request,
         const char *target)
{
    const struct target *record =
        cell_target(replica_cell(owner->replica), target);

    return replica_is_fresh(owner->replica) && record != NULL &&
           record->rec.owner_run == replica_run_id(owner->replica) &&
           record->rec.state == TARGET_UP &&
           key_is_valid(owner, &request->msg) &&
           clock_mono_ms() < request->call.deadline_ms;
}

static bool
on_send(void *ctx, struct router_call *call, const char *target,
        const char *address)
{
    struct owner *owner = ctx;
    struct owner_request *request = (struct owner_request *)call;
    char url[1200];
    struct fetch_request fetch_request = {
        .method = request->msg.method,
        .url = url,
        .content_type = request->msg.content_type,
        .request_id = request->request_id,
        .body = request->msg.body.data,
        .body_bytes = request->msg.body.size_bytes,
        .response_max_bytes = MSG_CALL_BODY_MAX_BYTES,
        .no_resend = !request->msg.repeatable,
    };

    if (!may_send(owner, request, target)) {
        return false;
    }
    snprintf(url, sizeof(url), "http://%s%s", address, request->msg.path);
    g_strlcpy(request->target, target, sizeof(request->target));
    fetch_request.timeout_ms = call->deadline_ms - clock_mono_ms();
    owner->sent++;
    fetch(owner->fetcher, &fetch_request, on_fetched, request);
    return true;
}

static void
on_refuse(void *ctx, struct router_call *call, enum fp_err err,
          uint32_t retry_after_ms)
{
    struct owner *owner = ctx;
    struct owner_request *request = (struct owner_request *)call;

    owner->not_sent++;
    request->refusal = err;
    request->retry_after_ms = retry_after_ms;
    g_queue_push_tail(&owner->refused_requests, request);
}

static void
deliver_refusals(struct owner *owner)
{
    struct owner_request *request = g_queue_pop_head(&owner->refused_requests);

    while (request != NULL) {
        struct owner_result result = {.err = request->refusal,
                                      .content_type = "",
                                      .target = "",
                                      .retry_after_ms =
                                          request->retry_after_ms};

        deliver_result(request, &result);
        request = g_queue_pop_head(&owner->refused_requests);
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
    owner->router = router_new(ROUTER_EXPECTED_LATENCY, &ops);
    owner->ownerships =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    owner->caps = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    owner->lowered_units =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    owner->cell_changed = true;
    g_queue_init(&owner->refused_requests);
    return owner;
}

void
owner_free(struct owner *owner)
{
    if (owner == NULL) {
        return;
    }
    router_free(owner->router);
    g_hash_table_destroy(owner->ownerships);
    g_hash_table_destroy(owner->caps);
    g_hash_table_destroy(owner->lowered_units);
    g_queue_clear(&owner->refused_requests);
    g_free(owner);
}

void
owner_submit(struct owner *owner, const struct msg_call *call, owner_done done,
             void *ctx)
{
    struct owner_request *request = g_new0(struct owner_request, 1);
    const struct queue *queue =
        cell_queue(replica_cell(owner->replica), call->queue);
    uint64_t now_ms = clock_mono_ms();

    request->owner = owner;
    request->done = done;
    request->ctx = ctx;
    fp_record_copy(&MSG_CALL_SCHEMA, &request->msg, call);
    snprintf(request->request_id, sizeof(request->request_id), "%s-%llx-%llu",
             owner->settings->host,
             (unsigned long long)replica_run_id(owner->replica) & 0xffffff,
             (unsigned long long)++owner->last_request_id);
    request->call.deadline_ms = now_ms + call->budget_ms;
    g_strlcpy(request->call.team, call->team, sizeof(request->call.team));
    if (owner->draining || queue == NULL) {
        on_refuse(owner, &request->call,
                  queue == NULL ? FP_ERR_NOT_FOUND : FP_ERR_SHUTTING_DOWN, 0);
        return;
    }
    request->call.max_waiting = queue->conf.max_waiting;
    g_strlcpy(request->call.service, queue->conf.service,
              sizeof(request->call.service));
    router_submit(owner->router, &request->call, now_ms);
}

void
owner_cell_changed(struct owner *owner)
{
    owner->cell_changed = true;
}

void
owner_set_caps(struct owner *owner, const struct msg_hint *hint)
{
    const struct msg_demand *caps = hint->caps.items;

    g_hash_table_remove_all(owner->caps);
    for (uint32_t i = 0; i < hint->caps.count; i++) {
        g_hash_table_insert(owner->caps, g_strdup(caps[i].team),
                            GUINT_TO_POINTER(caps[i].wanted));
    }
}

/* Returns the entry of an owned instance; a new one for a new epoch. Slots of
 * a previous owner that was lost may be in use until its freshness lease and
 * its longest request have ended. Both are counted from now: the change of
 * owner has been committed before, and the old owner never acts on a state
 * older than its lease.
 */
static struct ownership *
get_ownership(struct owner *owner, const struct target *target)
{
    const struct change_target *rec = &target->rec;
    struct ownership *entry =
        g_hash_table_lookup(owner->ownerships, rec->name);

    if (entry != NULL && entry->epoch == rec->owner_epoch) {
        return entry;
    }
    entry = g_new0(struct ownership, 1);
    g_strlcpy(entry->target, rec->name, sizeof(entry->target));
    entry->epoch = rec->owner_epoch;
    entry->usable_at_ms = clock_mono_ms();
    if (!rec->owner_clean) {
        entry->usable_at_ms +=
            owner->settings->times.fresh_ms * 101 / 100 +
            ASSIGNER_SAFETY_MARGIN_MS +
            cell_longest_request_ms(replica_cell(owner->replica));
    }
    g_hash_table_replace(owner->ownerships, entry->target, entry);
    return entry;
}

static void
update_instances(struct owner *owner)
{
    uint64_t run_id = replica_run_id(owner->replica);
    GHashTableIter iter;
    struct target *target;

    router_mark_instances(owner->router);
    g_hash_table_iter_init(&iter, replica_cell(owner->replica)->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        const struct change_target *rec = &target->rec;

        if (rec->owner_run == run_id && rec->state == TARGET_UP &&
            rec->service[0] != '\0' &&
            !get_ownership(owner, target)->returning) {
            router_set_instance(owner->router, rec->name, rec->service,
                                rec->address, rec->slots,
                                get_ownership(owner, target)->usable_at_ms);
        }
    }
    router_remove_marked(owner->router);
}

/* Returns how many of a team's units this process may use. */
static uint32_t
usable_units(const struct owner *owner, const struct team *team)
{
    uint32_t units = cell_granted_units(team, replica_run_id(owner->replica));
    gpointer lowered;

    if (g_hash_table_lookup_extended(owner->lowered_units, team->conf.name,
                                     NULL, &lowered)) {
        units = MIN(units, GPOINTER_TO_UINT(lowered));
    }
    return units;
}

/* Runs at each tick, so that a lowered limit or grant takes effect at once. */
static void
update_teams(struct owner *owner)
{
    GHashTableIter iter;
    struct team *team;

    g_hash_table_iter_init(&iter, replica_cell(owner->replica)->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        router_set_team(owner->router, team->conf.name, team->conf.weight,
                        team->conf.limit_running != 0,
                        usable_units(owner, team));
    }
}

static void
ignore_answer(void *ctx, enum fp_err err, const struct change_answer *answer)
{
    (void)ctx;
    (void)err;
    (void)answer;
}

/* Returns whether the target's slots are certainly idle: neither this process
 * nor a previous owner can have a request in flight there.
 */
static bool
can_return_clean(struct owner *owner, const struct target *target)
{
    return router_target_in_flight(owner->router, target->rec.name) == 0 &&
           clock_mono_ms() >= get_ownership(owner, target)->usable_at_ms;
}

/* Proposes to return an instance, which is not used from now on, even before
 * the change is committed. A repeated proposal is refused by its epoch.
 */
static void
return_slots(struct owner *owner, const struct target *target)
{
    struct change_owner change = {.epoch = target->rec.owner_epoch,
                                  .clean = can_return_clean(owner, target)};

    get_ownership(owner, target)->returning = true;
    router_remove_instance(owner->router, target->rec.name);
    g_strlcpy(change.target, target->rec.name, sizeof(change.target));
    replica_propose(owner->replica, &CHANGE_OWNER_SCHEMA, &change,
                    ignore_answer, NULL);
}

/* Returns all idle instances while draining. Otherwise repeats the return of
 * instances that the cell still assigns to this process.
 */
static void
return_idle_slots(struct owner *owner)
{
    uint64_t run_id = replica_run_id(owner->replica);
    GHashTableIter iter;
    struct target *target;

    g_hash_table_iter_init(&iter, replica_cell(owner->replica)->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        if (target->rec.owner_run == run_id &&
            router_target_in_flight(owner->router, target->rec.name) == 0 &&
            (owner->draining || get_ownership(owner, target)->returning)) {
            return_slots(owner, target);
        }
    }
}

/* Context of a proposal that lowers a grant. */
struct grant_reduction {
    struct owner *owner;
    char team[NAME_BYTES];
};

/* Only a definite answer ends the use of lowered_units; after an unknown
 * outcome return_units() proposes the change again.
 */
static void
on_grant_lowered(void *ctx, enum fp_err err,
                 const struct change_answer *answer)
{
    struct grant_reduction *reduction = ctx;

    (void)answer;
    if (err == FP_OK) {
        g_hash_table_remove(reduction->owner->lowered_units, reduction->team);
    }
    g_free(reduction);
}

static void
lower_grant(struct owner *owner, const struct team *team, uint32_t held,
            uint32_t units)
{
    struct change_grant change = {
        .run_id = replica_run_id(owner->replica), .units = units, .was = held};
    struct grant_reduction *reduction = g_new0(struct grant_reduction, 1);

    g_strlcpy(change.team, team->conf.name, sizeof(change.team));
    g_strlcpy(change.host, owner->settings->host, sizeof(change.host));
    reduction->owner = owner;
    g_strlcpy(reduction->team, team->conf.name, sizeof(reduction->team));
    g_hash_table_replace(owner->lowered_units, g_strdup(team->conf.name),
                         GUINT_TO_POINTER(units));
    replica_propose(owner->replica, &CHANGE_GRANT_SCHEMA, &change,
                    on_grant_lowered, reduction);
}

/* Returns how many of the held units to keep: at least those in use, because a
 * request keeps its unit until it ends.
 */
static uint32_t
units_to_keep(const struct owner *owner, const struct team *team,
              uint32_t held)
{
    uint32_t cap =
        GPOINTER_TO_UINT(g_hash_table_lookup(owner->caps, team->conf.name));
    uint32_t used;
    uint32_t wanted;

    router_team_demand(owner->router, team->conf.name, &used, &wanted);
    if (owner->draining || team->conf.limit_running == 0) {
        return used;
    }
    if (cap != 0 && held > cap) {
        return MAX(cap, used);
    }
    return MIN(held, MAX(wanted, used) + SPARE_UNITS);
}

static void
return_units(struct owner *owner)
{
    uint64_t run_id = replica_run_id(owner->replica);
    GHashTableIter iter;
    struct team *team;

    g_hash_table_iter_init(&iter, replica_cell(owner->replica)->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        uint32_t held = cell_granted_units(team, run_id);
        uint32_t keep = units_to_keep(owner, team, held);

        if (keep < held) {
            lower_grant(owner, team, held, keep);
        }
    }
}

/* Counts, by the cell's record, the instances that this host owns and the
 * fewest that a host of the same data centre owns.
 */
static void
count_instances(const struct owner *owner, uint32_t *own, uint32_t *fewest)
{
    const struct settings *settings = owner->settings;
    const char *own_data_centre =
        settings_find_host(settings, settings->host)->data_centre;
    GHashTableIter iter;
    struct target *target;

    *own = 0;
    *fewest = UINT32_MAX;
    for (unsigned i = 0; i < settings->hosts_count; i++) {
        const struct settings_host *host = &settings->hosts[i];
        uint32_t count = 0;

        if (strcmp(host->data_centre, own_data_centre) != 0) {
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

/* Returns one idle instance if this host owns at least two more than another
 * host of its data centre, as after a restart of that host. The leader then
 * assigns the instance to the live host with the fewest.
 */
static void
balance_instances(struct owner *owner)
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
        if (target->rec.owner_run == run_id &&
            can_return_clean(owner, target) &&
            !get_ownership(owner, target)->returning) {
            return_slots(owner, target);
            return;
        }
    }
}

void
owner_tick(struct owner *owner, uint64_t now_ms)
{
    deliver_refusals(owner);
    if (owner->cell_changed) {
        owner->cell_changed = false;
        update_instances(owner);
    }
    update_teams(owner);
    router_tick(owner->router, now_ms);
    deliver_refusals(owner);
    if (now_ms < owner->next_return_ms) {
        return;
    }
    owner->next_return_ms = now_ms + RETURN_INTERVAL_MS;
    if (!replica_is_fresh(owner->replica)) {
        return;
    }
    return_units(owner);
    return_idle_slots(owner);
    if (!owner->draining && now_ms >= owner->next_balance_ms) {
        owner->next_balance_ms = now_ms + BALANCE_INTERVAL_MS;
        balance_instances(owner);
    }
}

/* Context of add_service_hint(). */
struct hint_builder {
    const struct owner *owner;
    struct msg_hint *hint;
    uint64_t now_ms;
};

static void
add_service_hint(void *ctx, const char *service)
{
    struct hint_builder *builder = ctx;
    struct msg_hint_queue *queue =
        fp_list_add(&builder->hint->queues, sizeof(*queue));
    struct service_load load;

    router_service_load(builder->owner->router, service, builder->now_ms,
                        &load);
    g_strlcpy(queue->queue, service, sizeof(queue->queue));
    queue->free_slots = load.free_slots;
    queue->waiting = load.waiting;
    queue->instances = load.instances;
    queue->service_ms = load.service_time_ms;
}

void
owner_fill_hint(const struct owner *owner, struct msg_hint *hint,
                uint64_t now_ms)
{
    struct hint_builder builder = {owner, hint, now_ms};
    GHashTableIter iter;
    struct team *team;

    hint->run_id = replica_run_id(owner->replica);
    g_strlcpy(hint->host, owner->settings->host, sizeof(hint->host));
    hint->sent_ms = now_ms;
    hint->leaving = owner->draining;
    if (!owner->draining) {
        router_foreach_service(owner->router, add_service_hint, &builder);
    }
    g_hash_table_iter_init(&iter, replica_cell(owner->replica)->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        struct msg_demand demand = {{0}, 0, 0};

        router_team_demand(owner->router, team->conf.name, &demand.used,
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
    router_refuse_all(owner->router, FP_ERR_SHUTTING_DOWN);
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
    return router_in_flight(owner->router) +
           g_queue_get_length((GQueue *)&owner->refused_requests);
}

json_t *
owner_dump(const struct owner *owner)
{
    struct msg_hint hint = {0};
    json_t *object;
    json_t *queues;

    owner_fill_hint(owner, &hint, clock_mono_ms());
    object = fp_to_json(&MSG_HINT_SCHEMA, &hint);
    queues = json_incref(json_object_get(object, "queues"));
    json_decref(object);
    fp_record_free(&MSG_HINT_SCHEMA, &hint);
    return json_pack("{s:o,s:I,s:I,s:I,s:I,s:I,s:I,s:b}", "services", queues,
                     "in_flight", (json_int_t)router_in_flight(owner->router),
                     "waiting", (json_int_t)router_waiting(owner->router),
                     "sent", (json_int_t)owner->sent, "answered",
                     (json_int_t)owner->answered, "broken",
                     (json_int_t)owner->incomplete, "not_sent",
                     (json_int_t)owner->not_sent, "draining", owner->draining);
}
