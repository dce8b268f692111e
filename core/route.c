/* route.c -- slots of service instances, team units and waiting requests */
#include "core/route.h"

#include <string.h>

#define FAILURES_TO_EJECT 3u
#define EJECT_MS 1000u /* doubles with each further failure */
#define EJECT_MAX_MS 30000u
#define FIRST_SERVICE_MS 50u /* until a latency was seen */
#define LATENCY_WEIGHT 0.2   /* of the newest answer in the smoothed one */
#define FAILURE_PENALTY 4.0  /* score factor for each failure in a row */

struct route_instance {
    char target[NAME_BYTES];
    char address[NAME_BYTES];
    struct service *service;
    uint32_t slots;
    uint32_t in_flight;
    uint64_t usable_at_ms;
    uint64_t ejected_until_ms;
    uint32_t failures; /* in a row */
    double latency_ms; /* smoothed */
    bool marked;
    bool leaving;
};

/* Waiting calls of one team for one service, oldest first. */
struct route_line {
    struct route_team *team;
    struct service *service;
    GQueue calls;
};

struct service {
    char name[NAME_BYTES];
    GPtrArray *instances; /* struct route_instance */
    GPtrArray *lines;     /* struct route_line, those with calls */
    uint32_t waiting;
    double service_ms; /* smoothed over its instances */
    uint32_t next;     /* for round robin */
};

struct route_team {
    char name[NAME_BYTES];
    uint32_t weight;
    bool limited;
    uint32_t units;
    uint32_t in_flight;
    uint32_t waiting;
};

struct route {
    enum route_choice choice;
    struct route_ops ops;
    GHashTable *instances; /* target to struct route_instance */
    GHashTable *services;  /* name to struct service */
    GHashTable *teams;     /* name to struct route_team */
    uint32_t in_flight;
    uint32_t waiting;
};

static void
free_line(struct route_line *line)
{
    g_queue_clear(&line->calls);
    g_free(line);
}

static void
free_service(void *item)
{
    struct service *service = item;

    for (guint i = 0; i < service->lines->len; i++) {
        free_line(service->lines->pdata[i]);
    }
    g_ptr_array_free(service->lines, TRUE);
    g_ptr_array_free(service->instances, TRUE);
    g_free(service);
}

static struct service *
service_of(struct route *route, const char *name)
{
    struct service *service = g_hash_table_lookup(route->services, name);

    if (service == NULL) {
        service = g_new0(struct service, 1);
        g_strlcpy(service->name, name, sizeof(service->name));
        service->instances = g_ptr_array_new();
        service->lines = g_ptr_array_new();
        service->service_ms = FIRST_SERVICE_MS;
        g_hash_table_insert(route->services, service->name, service);
    }
    return service;
}

static struct route_team *
team_of(struct route *route, const char *name)
{
    struct route_team *team = g_hash_table_lookup(route->teams, name);

    if (team == NULL) {
        team = g_new0(struct route_team, 1);
        g_strlcpy(team->name, name, sizeof(team->name));
        team->weight = 1;
        g_hash_table_insert(route->teams, team->name, team);
    }
    return team;
}

static bool
is_usable(const struct route_instance *instance, uint64_t now_ms)
{
    return !instance->leaving && now_ms >= instance->usable_at_ms &&
           now_ms >= instance->ejected_until_ms &&
           instance->in_flight < instance->slots &&
           /* After a time out of use one request tries it first. */
           (instance->failures < FAILURES_TO_EJECT ||
            instance->in_flight == 0);
}

static double
score(const struct route *route, const struct route_instance *instance)
{
    double load = (double)(instance->in_flight + 1) / instance->slots;

    if (route->choice == ROUTE_LEAST_LOADED) {
        return load;
    }
    return load * instance->latency_ms *
           (1.0 + FAILURE_PENALTY * instance->failures);
}

static struct route_instance *
choose_instance(const struct route *route, struct service *service,
                uint64_t now_ms)
{
    struct route_instance *best = NULL;
    double best_score = 0;
    guint count = service->instances->len;

    for (guint i = 0; i < count; i++) {
        struct route_instance *instance =
            service->instances->pdata[(service->next + i) % count];
        double own;

        if (!is_usable(instance, now_ms)) {
            continue;
        }
        if (route->choice == ROUTE_ROUND_ROBIN) {
            service->next = (service->next + i + 1) % count;
            return instance;
        }
        own = score(route, instance);
        if (best == NULL || own < best_score) {
            best = instance;
            best_score = own;
        }
    }
    if (count > 0) {
        service->next = (service->next + 1) % count; /* breaks ties in turn */
    }
    return best;
}

static bool
has_unit(const struct route_team *team)
{
    return !team->limited || team->in_flight < team->units;
}

static bool
send_call(struct route *route, struct route_call *call,
          struct route_team *team, struct route_instance *instance,
          uint64_t now_ms)
{
    call->instance = instance;
    call->sent_ms = now_ms;
    instance->in_flight++;
    team->in_flight++;
    route->in_flight++;
    if (route->ops.send(route->ops.ctx, call, instance->target,
                        instance->address)) {
        return true;
    }
    instance->in_flight--;
    team->in_flight--;
    route->in_flight--;
    call->instance = NULL;
    route->ops.refuse(route->ops.ctx, call, FP_ERR_NOT_FRESH, 0);
    return false;
}

static struct route_line *
line_of(struct service *service, struct route_team *team)
{
    struct route_line *line;

    for (guint i = 0; i < service->lines->len; i++) {
        line = service->lines->pdata[i];
        if (line->team == team) {
            return line;
        }
    }
    line = g_new0(struct route_line, 1);
    line->team = team;
    line->service = service;
    g_queue_init(&line->calls);
    g_ptr_array_add(service->lines, line);
    return line;
}

static void
enter_line(struct route *route, struct route_line *line,
           struct route_call *call)
{
    g_queue_push_tail(&line->calls, call);
    call->line = line;
    call->link = line->calls.tail;
    line->service->waiting++;
    line->team->waiting++;
    route->waiting++;
}

static void
leave_line(struct route *route, struct route_call *call)
{
    struct route_line *line = call->line;

    g_queue_delete_link(&line->calls, call->link);
    call->line = NULL;
    call->link = NULL;
    line->service->waiting--;
    line->team->waiting--;
    route->waiting--;
    if (g_queue_is_empty(&line->calls)) {
        g_ptr_array_remove_fast(line->service->lines, line);
        free_line(line);
    }
}

/* The line whose team has the fewest calls in flight for its weight. */
static struct route_line *
next_line(const struct service *service)
{
    struct route_line *best = NULL;

    for (guint i = 0; i < service->lines->len; i++) {
        struct route_line *line = service->lines->pdata[i];

        if (!has_unit(line->team)) {
            continue;
        }
        if (best == NULL ||
            (uint64_t)line->team->in_flight * best->team->weight <
                (uint64_t)best->team->in_flight * line->team->weight) {
            best = line;
        }
    }
    return best;
}

static void
send_waiting(struct route *route, struct service *service, uint64_t now_ms)
{
    struct route_line *line = next_line(service);

    while (line != NULL) {
        struct route_instance *instance =
            choose_instance(route, service, now_ms);
        struct route_call *call = g_queue_peek_head(&line->calls);
        struct route_team *team = line->team;

        if (instance == NULL) {
            return;
        }
        leave_line(route, call);
        send_call(route, call, team, instance, now_ms);
        line = next_line(service);
    }
}

static uint32_t
total_slots(const struct service *service)
{
    uint32_t slots = 0;

    for (guint i = 0; i < service->instances->len; i++) {
        const struct route_instance *instance = service->instances->pdata[i];

        if (!instance->leaving) {
            slots += instance->slots;
        }
    }
    return slots;
}

/* The line ahead, served by all slots at the smoothed rate. */
static uint64_t
expected_wait_ms(const struct service *service, const struct route_team *team)
{
    uint32_t slots = total_slots(service);
    double wait = service->service_ms * service->waiting / MAX(slots, 1);

    if (team->limited) {
        double own = service->service_ms * team->waiting / MAX(team->units, 1);

        wait = MAX(wait, own);
    }
    return (uint64_t)wait;
}

static void
refuse(struct route *route, struct route_call *call, enum fp_err err,
       uint64_t retry_after_ms)
{
    route->ops.refuse(route->ops.ctx, call, err,
                      (uint32_t)MIN(retry_after_ms, UINT32_MAX));
}

static void
wait_or_refuse(struct route *route, struct service *service,
               struct route_team *team, struct route_call *call,
               uint64_t now_ms)
{
    uint32_t most =
        call->max_waiting ? call->max_waiting : DEFAULT_QUEUE_MAX_WAITING;
    uint64_t wait_ms = expected_wait_ms(service, team);
    enum fp_err err = has_unit(team) ? FP_ERR_BUSY : FP_ERR_LIMIT;

    if (service->waiting >= most) {
        refuse(route, call, err, MAX(wait_ms, 100));
        return;
    }
    if (now_ms + wait_ms >= call->deadline_ms) {
        refuse(route, call, err, MAX(wait_ms, 100));
        return;
    }
    enter_line(route, line_of(service, team), call);
}

struct route *
route_new(enum route_choice choice, const struct route_ops *ops)
{
    struct route *route = g_new0(struct route, 1);

    route->choice = choice;
    route->ops = *ops;
    route->instances =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    route->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
    route->teams =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    return route;
}

void
route_free(struct route *route)
{
    if (route == NULL) {
        return;
    }
    g_hash_table_destroy(route->instances);
    g_hash_table_destroy(route->services);
    g_hash_table_destroy(route->teams);
    g_free(route);
}

void
route_set_instance(struct route *route, const char *target,
                   const char *service, const char *address, uint32_t slots,
                   uint64_t usable_at_ms)
{
    struct route_instance *instance =
        g_hash_table_lookup(route->instances, target);

    if (instance == NULL) {
        instance = g_new0(struct route_instance, 1);
        g_strlcpy(instance->target, target, sizeof(instance->target));
        instance->latency_ms = FIRST_SERVICE_MS;
        instance->service = service_of(route, service);
        g_ptr_array_add(instance->service->instances, instance);
        g_hash_table_insert(route->instances, instance->target, instance);
    }
    else if (strcmp(instance->service->name, service) != 0) {
        g_ptr_array_remove_fast(instance->service->instances, instance);
        instance->service = service_of(route, service);
        g_ptr_array_add(instance->service->instances, instance);
    }
    if (strcmp(instance->address, address) != 0) {
        g_strlcpy(instance->address, address, sizeof(instance->address));
        instance->failures = 0;
        instance->ejected_until_ms = 0;
    }
    instance->slots = slots;
    instance->usable_at_ms = usable_at_ms;
    instance->leaving = false;
    instance->marked = false;
}

static void
forget_if_idle(struct route *route, struct route_instance *instance)
{
    if (instance->leaving && instance->in_flight == 0) {
        g_ptr_array_remove_fast(instance->service->instances, instance);
        g_hash_table_remove(route->instances, instance->target);
    }
}

void
route_drop_instance(struct route *route, const char *target)
{
    struct route_instance *instance =
        g_hash_table_lookup(route->instances, target);

    if (instance != NULL) {
        instance->leaving = true;
        forget_if_idle(route, instance);
    }
}

void
route_mark_all(struct route *route)
{
    GHashTableIter iter;
    struct route_instance *instance;

    g_hash_table_iter_init(&iter, route->instances);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance)) {
        instance->marked = true;
    }
}

void
route_drop_marked(struct route *route)
{
    GList *all = g_hash_table_get_values(route->instances);

    for (GList *at = all; at != NULL; at = at->next) {
        struct route_instance *instance = at->data;

        if (instance->marked) {
            instance->leaving = true;
            forget_if_idle(route, instance);
        }
    }
    g_list_free(all);
}

void
route_set_team(struct route *route, const char *name, uint32_t weight,
               bool limited, uint32_t units)
{
    struct route_team *team = team_of(route, name);

    team->weight = MAX(weight, 1);
    team->limited = limited;
    team->units = units;
}

void
route_offer(struct route *route, struct route_call *call, uint64_t now_ms)
{
    struct service *service =
        g_hash_table_lookup(route->services, call->service);
    struct route_team *team = team_of(route, call->team);
    struct route_instance *instance = NULL;

    if (service == NULL || total_slots(service) == 0) {
        refuse(route, call, FP_ERR_NO_TARGET, 0);
        return;
    }
    if (now_ms >= call->deadline_ms) {
        refuse(route, call, FP_ERR_DEADLINE, 0);
        return;
    }
    if (has_unit(team) && service->waiting == 0) {
        instance = choose_instance(route, service, now_ms);
    }
    if (instance != NULL) {
        send_call(route, call, team, instance, now_ms);
        return;
    }
    wait_or_refuse(route, service, team, call, now_ms);
}

static void
note_failure(struct route_instance *instance, uint64_t now_ms)
{
    uint64_t out_ms;

    instance->failures++;
    if (instance->failures < FAILURES_TO_EJECT) {
        return;
    }
    out_ms = (uint64_t)EJECT_MS
             << MIN(instance->failures - FAILURES_TO_EJECT, 5);
    instance->ejected_until_ms = now_ms + MIN(out_ms, EJECT_MAX_MS);
}

static void
note_answer(struct route_instance *instance, uint64_t took_ms)
{
    struct service *service = instance->service;
    double took = (double)MAX(took_ms, 1);

    instance->failures = 0;
    instance->latency_ms += LATENCY_WEIGHT * (took - instance->latency_ms);
    service->service_ms += LATENCY_WEIGHT * (took - service->service_ms) /
                           MAX(service->instances->len, 1);
}

void
route_done(struct route *route, struct route_call *call, enum route_end end,
           uint64_t now_ms)
{
    struct route_instance *instance = call->instance;
    struct service *service = instance->service;

    instance->in_flight--;
    route->in_flight--;
    team_of(route, call->team)->in_flight--;
    call->instance = NULL;
    if (end == ROUTE_ANSWERED) {
        note_answer(instance, now_ms - call->sent_ms);
    }
    else {
        note_failure(instance, now_ms);
    }
    forget_if_idle(route, instance);
    send_waiting(route, service, now_ms);
}

void
route_withdraw(struct route *route, struct route_call *call)
{
    if (call->line != NULL) {
        leave_line(route, call);
    }
}

/* Collects first: refusing may offer the call again elsewhere. */
static GPtrArray *
collect_waiting(const struct route *route, uint64_t past_ms)
{
    GPtrArray *calls = g_ptr_array_new();
    GHashTableIter iter;
    struct service *service;

    g_hash_table_iter_init(&iter, route->services);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service)) {
        for (guint i = 0; i < service->lines->len; i++) {
            const struct route_line *line = service->lines->pdata[i];

            for (GList *at = line->calls.head; at != NULL; at = at->next) {
                const struct route_call *call = at->data;

                if (call->deadline_ms <= past_ms) {
                    g_ptr_array_add(calls, at->data);
                }
            }
        }
    }
    return calls;
}

static void
refuse_collected(struct route *route, GPtrArray *calls, bool passed,
                 enum fp_err err)
{
    for (guint i = 0; i < calls->len; i++) {
        struct route_call *call = calls->pdata[i];
        const struct route_team *team = call->line->team;

        if (passed && !has_unit(team)) {
            err = FP_ERR_LIMIT;
        }
        leave_line(route, call);
        refuse(route, call, err, 0);
    }
    g_ptr_array_free(calls, TRUE);
}

void
route_tick(struct route *route, uint64_t now_ms)
{
    GHashTableIter iter;
    struct service *service;

    if (route->waiting == 0) {
        return;
    }
    refuse_collected(route, collect_waiting(route, now_ms), true,
                     FP_ERR_DEADLINE);
    g_hash_table_iter_init(&iter, route->services);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service)) {
        send_waiting(route, service, now_ms);
    }
}

void
route_refuse_all(struct route *route, enum fp_err err)
{
    refuse_collected(route, collect_waiting(route, UINT64_MAX), false, err);
}

uint32_t
route_in_flight(const struct route *route)
{
    return route->in_flight;
}

uint32_t
route_waiting(const struct route *route)
{
    return route->waiting;
}

void
route_hint(const struct route *route, const char *name, uint64_t now_ms,
           struct route_hint *hint)
{
    const struct service *service = g_hash_table_lookup(route->services, name);

    memset(hint, 0, sizeof(*hint));
    if (service == NULL) {
        return;
    }
    hint->waiting = service->waiting;
    hint->service_ms = (uint32_t)service->service_ms;
    for (guint i = 0; i < service->instances->len; i++) {
        const struct route_instance *instance = service->instances->pdata[i];

        if (!instance->leaving && now_ms >= instance->usable_at_ms &&
            now_ms >= instance->ejected_until_ms) {
            hint->instances++;
            hint->free_slots +=
                instance->slots - MIN(instance->in_flight, instance->slots);
        }
    }
}

void
route_each_service(const struct route *route,
                   void (*each)(void *ctx, const char *service), void *ctx)
{
    GHashTableIter iter;
    struct service *service;

    g_hash_table_iter_init(&iter, route->services);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service)) {
        if (service->instances->len > 0) {
            each(ctx, service->name);
        }
    }
}

void
route_team_demand(const struct route *route, const char *name, uint32_t *used,
                  uint32_t *wanted)
{
    const struct route_team *team = g_hash_table_lookup(route->teams, name);

    *used = team == NULL ? 0 : team->in_flight;
    *wanted = team == NULL ? 0 : team->in_flight + team->waiting;
}

uint32_t
route_target_in_flight(const struct route *route, const char *target)
{
    const struct route_instance *instance =
        g_hash_table_lookup(route->instances, target);

    return instance == NULL ? 0 : instance->in_flight;
}
