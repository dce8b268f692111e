/* route.c -- queues calls and sends them to service instances */
#include "core/route.h"

#include <string.h>

#define EJECT_AFTER_FAILURES 3u
#define EJECT_BASE_MS 1000u /* doubled by each further failure */
#define EJECT_MAX_MS 30000u
#define INITIAL_LATENCY_MS 50u /* until one is measured */
#define LATENCY_WEIGHT 0.2     /* of a new sample in the smoothed latency */
/* The score is multiplied by 1 + FAILURE_PENALTY * failures in a row. */
#define FAILURE_PENALTY 4.0

struct router_instance {
    char target[NAME_BYTES];
    char address[NAME_BYTES];
    struct service *service;
    uint32_t slots;
    uint32_t in_flight;
    uint64_t usable_at_ms;
    uint64_t ejected_until_ms;
    uint32_t failures; /* in a row */
    double latency_ms; /* smoothed */
    bool marked;       /* to be deleted by router_remove_marked() */
    bool draining;     /* takes no new calls, deleted when idle */
};

/* Waiting calls of one team for one service, oldest first. */
struct router_queue {
    struct router_team *team;
    struct service *service;
    GQueue calls;
};

struct service {
    char name[NAME_BYTES];
    GPtrArray *instances; /* struct router_instance */
    GPtrArray *queues;    /* struct router_queue, none of them empty */
    uint32_t waiting;
    double service_time_ms; /* smoothed over its instances */
    /* Index at which the next choice begins, so that equal instances take
     * turns. */
    uint32_t next_instance;
};

struct router_team {
    char name[NAME_BYTES];
    uint32_t weight;
    bool limited;
    uint32_t units; /* limit on calls in flight here, if limited */
    uint32_t in_flight;
    uint32_t waiting;
};

struct router {
    enum router_policy policy;
    struct router_ops ops;
    GHashTable *instances; /* target to struct router_instance */
    GHashTable *services;  /* name to struct service */
    GHashTable *teams;     /* name to struct router_team */
    uint32_t in_flight;
    uint32_t waiting;
};

static void
free_queue(struct router_queue *queue)
{
    g_queue_clear(&queue->calls);
    g_free(queue);
}

static void
free_service(void *item)
{
    struct service *service = item;

    for (guint i = 0; i < service->queues->len; i++) {
        free_queue(service->queues->pdata[i]);
    }
    g_ptr_array_free(service->queues, TRUE);
    g_ptr_array_free(service->instances, TRUE);
    g_free(service);
}

static struct service *
get_or_add_service(struct router *router, const char *name)
{
    struct service *service = g_hash_table_lookup(router->services, name);

    if (service == NULL) {
        service = g_new0(struct service, 1);
        g_strlcpy(service->name, name, sizeof(service->name));
        service->instances = g_ptr_array_new();
        service->queues = g_ptr_array_new();
        service->service_time_ms = INITIAL_LATENCY_MS;
        g_hash_table_insert(router->services, service->name, service);
    }
    return service;
}

static struct router_team *
get_or_add_team(struct router *router, const char *name)
{
    struct router_team *team = g_hash_table_lookup(router->teams, name);

    if (team == NULL) {
        team = g_new0(struct router_team, 1);
        g_strlcpy(team->name, name, sizeof(team->name));
        team->weight = 1;
        g_hash_table_insert(router->teams, team->name, team);
    }
    return team;
}

static bool
accepts_call(const struct router_instance *instance, uint64_t now_ms)
{
    return !instance->draining && now_ms >= instance->usable_at_ms &&
           now_ms >= instance->ejected_until_ms &&
           instance->in_flight < instance->slots &&
           /* After an ejection a single call at a time is sent as a probe
            * until one is answered. */
           (instance->failures < EJECT_AFTER_FAILURES ||
            instance->in_flight == 0);
}

static double
instance_score(const struct router *router,
               const struct router_instance *instance)
{
    double load = (double)(instance->in_flight + 1) / instance->slots;

    if (router->policy == ROUTER_LEAST_LOADED) {
        return load;
    }
    return load * instance->latency_ms *
           (1.0 + FAILURE_PENALTY * instance->failures);
}

static struct router_instance *
choose_instance(const struct router *router, struct service *service,
                uint64_t now_ms)
{
    struct router_instance *best = NULL;
    double best_score = 0;
    guint count = service->instances->len;

    for (guint i = 0; i < count; i++) {
        struct router_instance *instance =
            service->instances->pdata[(service->next_instance + i) % count];
        double score;

        if (!accepts_call(instance, now_ms)) {
            continue;
        }
        if (router->policy == ROUTER_ROUND_ROBIN) {
            service->next_instance = (service->next_instance + i + 1) % count;
            return instance;
        }
        score = instance_score(router, instance);
        if (best == NULL || score < best_score) {
            best = instance;
            best_score = score;
        }
    }
    if (count > 0) {
        service->next_instance = (service->next_instance + 1) % count;
    }
    return best;
}

static bool
has_free_unit(const struct router_team *team)
{
    return !team->limited || team->in_flight < team->units;
}

static bool
send_call(struct router *router, struct router_call *call,
          struct router_team *team, struct router_instance *instance,
          uint64_t now_ms)
{
    call->instance = instance;
    call->sent_ms = now_ms;
    instance->in_flight++;
    team->in_flight++;
    router->in_flight++;
    if (router->ops.send(router->ops.ctx, call, instance->target,
                         instance->address)) {
        return true;
    }
    instance->in_flight--;
    team->in_flight--;
    router->in_flight--;
    call->instance = NULL;
    router->ops.refuse(router->ops.ctx, call, FP_ERR_CONFIG_STALE, 0);
    return false;
}

static struct router_queue *
get_or_add_queue(struct service *service, struct router_team *team)
{
    struct router_queue *queue;

    for (guint i = 0; i < service->queues->len; i++) {
        queue = service->queues->pdata[i];
        if (queue->team == team) {
            return queue;
        }
    }
    queue = g_new0(struct router_queue, 1);
    queue->team = team;
    queue->service = service;
    g_queue_init(&queue->calls);
    g_ptr_array_add(service->queues, queue);
    return queue;
}

static void
enqueue_call(struct router *router, struct router_queue *queue,
             struct router_call *call)
{
    g_queue_push_tail(&queue->calls, call);
    call->queue = queue;
    call->queue_link = queue->calls.tail;
    queue->service->waiting++;
    queue->team->waiting++;
    router->waiting++;
}

static void
dequeue_call(struct router *router, struct router_call *call)
{
    struct router_queue *queue = call->queue;

    g_queue_delete_link(&queue->calls, call->queue_link);
    call->queue = NULL;
    call->queue_link = NULL;
    queue->service->waiting--;
    queue->team->waiting--;
    router->waiting--;
    if (g_queue_is_empty(&queue->calls)) {
        g_ptr_array_remove_fast(queue->service->queues, queue);
        free_queue(queue);
    }
}

/* Chooses the queue whose team has the fewest calls in flight in proportion
 * to its weight, among teams with a free unit; NULL when there is none.
 */
static struct router_queue *
choose_queue(const struct service *service)
{
    struct router_queue *best = NULL;

    for (guint i = 0; i < service->queues->len; i++) {
        struct router_queue *queue = service->queues->pdata[i];

        if (!has_free_unit(queue->team)) {
            continue;
        }
        if (best == NULL ||
            (uint64_t)queue->team->in_flight * best->team->weight <
                (uint64_t)best->team->in_flight * queue->team->weight) {
            best = queue;
        }
    }
    return best;
}

static void
send_waiting_calls(struct router *router, struct service *service,
                   uint64_t now_ms)
{
    struct router_queue *queue = choose_queue(service);

    while (queue != NULL) {
        struct router_instance *instance =
            choose_instance(router, service, now_ms);
        struct router_call *call = g_queue_peek_head(&queue->calls);
        struct router_team *team = queue->team;

        if (instance == NULL) {
            return;
        }
        dequeue_call(router, call);
        send_call(router, call, team, instance, now_ms);
        queue = choose_queue(service);
    }
}

static uint32_t
total_slots(const struct service *service)
{
    uint32_t slots = 0;

    for (guint i = 0; i < service->instances->len; i++) {
        const struct router_instance *instance = service->instances->pdata[i];

        if (!instance->draining) {
            slots += instance->slots;
        }
    }
    return slots;
}

/* Estimates when the calls that wait now will have been served: those of the
 * service by all its slots, those of a limited team by its units, whichever
 * takes longer.
 */
static uint64_t
expected_wait_ms(const struct service *service, const struct router_team *team)
{
    uint32_t slots = total_slots(service);
    double wait_ms =
        service->service_time_ms * service->waiting / MAX(slots, 1);

    if (team->limited) {
        double team_wait_ms =
            service->service_time_ms * team->waiting / MAX(team->units, 1);

        wait_ms = MAX(wait_ms, team_wait_ms);
    }
    return (uint64_t)wait_ms;
}

static void
refuse_call(struct router *router, struct router_call *call, enum fp_err err,
            uint64_t retry_after_ms)
{
    router->ops.refuse(router->ops.ctx, call, err,
                       (uint32_t)MIN(retry_after_ms, UINT32_MAX));
}

static void
enqueue_or_refuse(struct router *router, struct service *service,
                  struct router_team *team, struct router_call *call,
                  uint64_t now_ms)
{
    uint32_t max_waiting =
        call->max_waiting ? call->max_waiting : DEFAULT_QUEUE_MAX_WAITING;
    uint64_t wait_ms = expected_wait_ms(service, team);
    enum fp_err err = has_free_unit(team) ? FP_ERR_BUSY : FP_ERR_LIMIT;

    if (service->waiting >= max_waiting) {
        refuse_call(router, call, err, MAX(wait_ms, 100));
        return;
    }
    if (now_ms + wait_ms >= call->deadline_ms) {
        refuse_call(router, call, err, MAX(wait_ms, 100));
        return;
    }
    enqueue_call(router, get_or_add_queue(service, team), call);
}

struct router *
router_new(enum router_policy policy, const struct router_ops *ops)
{
    struct router *router = g_new0(struct router, 1);

    router->policy = policy;
    router->ops = *ops;
    router->instances =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    router->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
    router->teams =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    return router;
}

void
router_free(struct router *router)
{
    if (router == NULL) {
        return;
    }
    g_hash_table_destroy(router->instances);
    g_hash_table_destroy(router->services);
    g_hash_table_destroy(router->teams);
    g_free(router);
}

void
router_set_instance(struct router *router, const char *target,
                    const char *service, const char *address, uint32_t slots,
                    uint64_t usable_at_ms)
{
    struct router_instance *instance =
        g_hash_table_lookup(router->instances, target);

    if (instance == NULL) {
        instance = g_new0(struct router_instance, 1);
        g_strlcpy(instance->target, target, sizeof(instance->target));
        instance->latency_ms = INITIAL_LATENCY_MS;
        instance->service = get_or_add_service(router, service);
        g_ptr_array_add(instance->service->instances, instance);
        g_hash_table_insert(router->instances, instance->target, instance);
    }
    else if (strcmp(instance->service->name, service) != 0) {
        g_ptr_array_remove_fast(instance->service->instances, instance);
        instance->service = get_or_add_service(router, service);
        g_ptr_array_add(instance->service->instances, instance);
    }
    if (strcmp(instance->address, address) != 0) {
        g_strlcpy(instance->address, address, sizeof(instance->address));
        instance->failures = 0;
        instance->ejected_until_ms = 0;
    }
    instance->slots = slots;
    instance->usable_at_ms = usable_at_ms;
    instance->draining = false;
    instance->marked = false;
}

static void
delete_if_drained(struct router *router, struct router_instance *instance)
{
    if (instance->draining && instance->in_flight == 0) {
        g_ptr_array_remove_fast(instance->service->instances, instance);
        g_hash_table_remove(router->instances, instance->target);
    }
}

void
router_remove_instance(struct router *router, const char *target)
{
    struct router_instance *instance =
        g_hash_table_lookup(router->instances, target);

    if (instance != NULL) {
        instance->draining = true;
        delete_if_drained(router, instance);
    }
}

void
router_mark_instances(struct router *router)
{
    GHashTableIter iter;
    struct router_instance *instance;

    g_hash_table_iter_init(&iter, router->instances);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance)) {
        instance->marked = true;
    }
}

void
router_remove_marked(struct router *router)
{
    GList *instances = g_hash_table_get_values(router->instances);

    for (GList *link = instances; link != NULL; link = link->next) {
        struct router_instance *instance = link->data;

        if (instance->marked) {
            instance->draining = true;
            delete_if_drained(router, instance);
        }
    }
    g_list_free(instances);
}

void
router_set_team(struct router *router, const char *name, uint32_t weight,
                bool limited, uint32_t units)
{
    struct router_team *team = get_or_add_team(router, name);

    team->weight = MAX(weight, 1);
    team->limited = limited;
    team->units = units;
}

void
router_submit(struct router *router, struct router_call *call, uint64_t now_ms)
{
    struct service *service =
        g_hash_table_lookup(router->services, call->service);
    struct router_team *team = get_or_add_team(router, call->team);
    struct router_instance *instance = NULL;

    if (service == NULL || total_slots(service) == 0) {
        refuse_call(router, call, FP_ERR_NO_TARGET, 0);
        return;
    }
    if (now_ms >= call->deadline_ms) {
        refuse_call(router, call, FP_ERR_DEADLINE_EXCEEDED, 0);
        return;
    }
    if (has_free_unit(team) && service->waiting == 0) {
        instance = choose_instance(router, service, now_ms);
    }
    if (instance != NULL) {
        send_call(router, call, team, instance, now_ms);
        return;
    }
    enqueue_or_refuse(router, service, team, call, now_ms);
}

static void
record_failure(struct router_instance *instance, uint64_t now_ms)
{
    uint64_t eject_ms;

    instance->failures++;
    if (instance->failures < EJECT_AFTER_FAILURES) {
        return;
    }
    eject_ms = (uint64_t)EJECT_BASE_MS
               << MIN(instance->failures - EJECT_AFTER_FAILURES, 5);
    instance->ejected_until_ms = now_ms + MIN(eject_ms, EJECT_MAX_MS);
}

/* The more instances a service has, the less one sample weighs in its smoothed
 * service time.
 */
static void
record_answer(struct router_instance *instance, uint64_t latency_ms)
{
    struct service *service = instance->service;
    double sample_ms = (double)MAX(latency_ms, 1);

    instance->failures = 0;
    instance->latency_ms +=
        LATENCY_WEIGHT * (sample_ms - instance->latency_ms);
    service->service_time_ms += LATENCY_WEIGHT *
                                (sample_ms - service->service_time_ms) /
                                MAX(service->instances->len, 1);
}

void
router_complete(struct router *router, struct router_call *call,
                enum router_outcome outcome, uint64_t now_ms)
{
    struct router_instance *instance = call->instance;
    struct service *service = instance->service;

    instance->in_flight--;
    router->in_flight--;
    get_or_add_team(router, call->team)->in_flight--;
    call->instance = NULL;
    if (outcome == ROUTER_ANSWERED) {
        record_answer(instance, now_ms - call->sent_ms);
    }
    else {
        record_failure(instance, now_ms);
    }
    delete_if_drained(router, instance);
    send_waiting_calls(router, service, now_ms);
}

void
router_cancel(struct router *router, struct router_call *call)
{
    if (call->queue != NULL) {
        dequeue_call(router, call);
    }
}

/* Returns the waiting calls whose deadline is until_ms or earlier. They are
 * collected before the first is refused, because the refuse callback may
 * submit calls and so change the queues.
 */
static GPtrArray *
collect_waiting(const struct router *router, uint64_t until_ms)
{
    GPtrArray *calls = g_ptr_array_new();
    GHashTableIter iter;
    struct service *service;

    g_hash_table_iter_init(&iter, router->services);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service)) {
        for (guint i = 0; i < service->queues->len; i++) {
            const struct router_queue *queue = service->queues->pdata[i];

            for (GList *link = queue->calls.head; link != NULL;
                 link = link->next) {
                const struct router_call *call = link->data;

                if (call->deadline_ms <= until_ms) {
                    g_ptr_array_add(calls, link->data);
                }
            }
        }
    }
    return calls;
}

static void
refuse_calls(struct router *router, GPtrArray *calls, bool expired,
             enum fp_err err)
{
    for (guint i = 0; i < calls->len; i++) {
        struct router_call *call = calls->pdata[i];
        const struct router_team *team = call->queue->team;

        if (expired && !has_free_unit(team)) {
            err = FP_ERR_LIMIT;
        }
        dequeue_call(router, call);
        refuse_call(router, call, err, 0);
    }
    g_ptr_array_free(calls, TRUE);
}

void
router_tick(struct router *router, uint64_t now_ms)
{
    GHashTableIter iter;
    struct service *service;

    if (router->waiting == 0) {
        return;
    }
    refuse_calls(router, collect_waiting(router, now_ms), true,
                 FP_ERR_DEADLINE_EXCEEDED);
    g_hash_table_iter_init(&iter, router->services);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service)) {
        send_waiting_calls(router, service, now_ms);
    }
}

void
router_refuse_all(struct router *router, enum fp_err err)
{
    refuse_calls(router, collect_waiting(router, UINT64_MAX), false, err);
}

uint32_t
router_in_flight(const struct router *router)
{
    return router->in_flight;
}

uint32_t
router_waiting(const struct router *router)
{
    return router->waiting;
}

void
router_service_load(const struct router *router, const char *name,
                    uint64_t now_ms, struct service_load *load)
{
    const struct service *service =
        g_hash_table_lookup(router->services, name);

    memset(load, 0, sizeof(*load));
    if (service == NULL) {
        return;
    }
    load->waiting = service->waiting;
    load->service_time_ms = (uint32_t)service->service_time_ms;
    for (guint i = 0; i < service->instances->len; i++) {
        const struct router_instance *instance = service->instances->pdata[i];

        if (!instance->draining && now_ms >= instance->usable_at_ms &&
            now_ms >= instance->ejected_until_ms) {
            load->instances++;
            load->free_slots +=
                instance->slots - MIN(instance->in_flight, instance->slots);
        }
    }
}

void
router_foreach_service(const struct router *router,
                       void (*callback)(void *ctx, const char *service),
                       void *ctx)
{
    GHashTableIter iter;
    struct service *service;

    g_hash_table_iter_init(&iter, router->services);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service)) {
        if (service->instances->len > 0) {
            callback(ctx, service->name);
        }
    }
}

void
router_team_demand(const struct router *router, const char *name,
                   uint32_t *used, uint32_t *wanted)
{
    const struct router_team *team = g_hash_table_lookup(router->teams, name);

    *used = team == NULL ? 0 : team->in_flight;
    *wanted = team == NULL ? 0 : team->in_flight + team->waiting;
}

uint32_t
router_target_in_flight(const struct router *router, const char *target)
{
    const struct router_instance *instance =
        g_hash_table_lookup(router->instances, target);

    return instance == NULL ? 0 : instance->in_flight;
}
