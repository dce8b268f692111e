/* fleetconf.c -- configurations of a fleet: checks, queues, teams, keys */
#include <stdio.h>
#include <string.h>

#include "core/fleetpriv.h"

struct fleet_queue *
fleet_find_queue_exact(const struct fleet *fleet, const char *host,
                       const char *prefix)
{
    for (guint i = 0; i < fleet->queues->len; i++) {
        struct fleet_queue *queue = fleet->queues->pdata[i];

        if (strcmp(queue->conf.host, host) == 0 &&
            strcmp(queue->conf.prefix, prefix) == 0) {
            return queue;
        }
    }
    return NULL;
}

/* Sorts queues by the length of their prefix, longest first. */
static gint
compare_prefix_length(gconstpointer a, gconstpointer b)
{
    const struct fleet_queue *x = *(struct fleet_queue *const *)a;
    const struct fleet_queue *y = *(struct fleet_queue *const *)b;

    return (gint)strlen(y->conf.prefix) - (gint)strlen(x->conf.prefix);
}

static void
index_queues(struct fleet *fleet)
{
    GHashTableIter iter;
    GPtrArray *list;

    g_hash_table_remove_all(fleet->queues_by_host);
    for (guint i = 0; i < fleet->queues->len; i++) {
        struct fleet_queue *queue = fleet->queues->pdata[i];

        if (!queue->configured) {
            continue;
        }
        list = g_hash_table_lookup(fleet->queues_by_host, queue->conf.host);
        if (list == NULL) {
            list = g_ptr_array_new();
            g_hash_table_insert(fleet->queues_by_host, queue->conf.host, list);
        }
        g_ptr_array_add(list, queue);
    }
    g_hash_table_iter_init(&iter, fleet->queues_by_host);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&list)) {
        g_ptr_array_sort(list, compare_prefix_length);
    }
}

/* Takes over the settings of a queue. moved: see fleet_move_jobs(). */
static void
set_queue(struct fleet_queue *queue, const struct fleet_queue_conf *conf,
          GHashTable *moved)
{
    if (queue->conf.service[0] != '\0' &&
        strcmp(queue->conf.service, conf->service) != 0) {
        g_hash_table_insert(moved, queue, g_strdup(queue->conf.service));
    }
    queue->conf = *conf;
    queue->configured = true;
}

static void
set_queues(struct fleet *fleet)
{
    const struct fleet_queue_conf *conf = fleet->config.queues.items;
    GHashTable *moved =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    GHashTable *queues_by_host_prefix =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

    /* The index borrows its keys from the queues that are overwritten below.
     */
    g_hash_table_remove_all(fleet->queues_by_host);
    for (guint i = 0; i < fleet->queues->len; i++) {
        struct fleet_queue *queue = fleet->queues->pdata[i];

        queue->configured = false;
        g_hash_table_insert(
            queues_by_host_prefix,
            g_strdup_printf("%s\n%s", queue->conf.host, queue->conf.prefix),
            queue);
    }
    for (uint32_t i = 0; i < fleet->config.queues.count; i++) {
        char *host_prefix =
            g_strdup_printf("%s\n%s", conf[i].host, conf[i].prefix);
        struct fleet_queue *queue =
            g_hash_table_lookup(queues_by_host_prefix, host_prefix);

        if (queue == NULL) {
            queue = g_new0(struct fleet_queue, 1);
            g_ptr_array_add(fleet->queues, queue);
        }
        set_queue(queue, &conf[i], moved);
        g_free(host_prefix);
    }
    g_hash_table_destroy(queues_by_host_prefix);
    index_queues(fleet);
    fleet_move_jobs(fleet, moved);
    g_hash_table_destroy(moved);
}

static bool
is_unused(const struct fleet_queue *queue)
{
    return !queue->configured && queue->jobs == 0;
}

static void
report_removed(struct fleet *fleet, struct fleet_queue *queue)
{
    if (fleet->ops.queue_removed != NULL) {
        fleet->ops.queue_removed(fleet->ops.ctx, queue);
    }
}

void
fleet_drop_unused_queue(struct fleet *fleet, struct fleet_queue *queue)
{
    if (is_unused(queue)) {
        report_removed(fleet, queue);
        g_ptr_array_remove_fast(fleet->queues, queue);
    }
}

/* Workload: each of many configurations adds some hundred queues and removes
 * as many. */
void
fleet_drop_unused_queues(struct fleet *fleet)
{
    for (guint i = fleet->queues->len; i > 0; i--) {
        struct fleet_queue *queue = fleet->queues->pdata[i - 1];

        if (is_unused(queue)) {
            report_removed(fleet, queue);
            g_ptr_array_remove_index_fast(fleet->queues, i - 1);
        }
    }
}

void
fleet_save_removed_queues(const struct fleet *fleet,
                          struct fleet_snapshot *snap)
{
    GHashTable *used = g_hash_table_new(g_direct_hash, g_direct_equal);
    GHashTableIter iter;
    struct fleet_job *job;

    g_hash_table_iter_init(&iter, fleet->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        if (!job->queue->configured && fleet_job_is_live(job)) {
            g_hash_table_add(used, job->queue);
        }
    }
    for (guint i = 0; i < fleet->queues->len; i++) {
        const struct fleet_queue *queue = fleet->queues->pdata[i];

        if (g_hash_table_contains(used, queue)) {
            struct fleet_queue_conf *saved =
                fp_list_add(&snap->removed_queues, sizeof(*saved));

            *saved = queue->conf;
        }
    }
    g_hash_table_destroy(used);
}

void
fleet_load_removed_queues(struct fleet *fleet,
                          const struct fleet_snapshot *snap)
{
    const struct fleet_queue_conf *saved = snap->removed_queues.items;

    for (uint32_t i = 0; i < snap->removed_queues.count; i++) {
        struct fleet_queue *queue;

        if (fleet_find_queue_exact(fleet, saved[i].host, saved[i].prefix) !=
            NULL) {
            continue;
        }
        queue = g_new0(struct fleet_queue, 1);
        queue->conf = saved[i];
        g_ptr_array_add(fleet->queues, queue);
    }
}

static void
set_services(struct fleet *fleet)
{
    struct fleet_service_conf *conf = fleet->config.services.items;

    g_hash_table_remove_all(fleet->services);
    for (uint32_t i = 0; i < fleet->config.services.count; i++) {
        g_hash_table_insert(fleet->services, conf[i].name, &conf[i]);
    }
}

struct fleet_team *
fleet_ensure_team(struct fleet *fleet, const char *name)
{
    struct fleet_team *team = g_hash_table_lookup(fleet->teams, name);

    if (team == NULL) {
        team = g_new0(struct fleet_team, 1);
        g_strlcpy(team->name, name, sizeof(team->name));
        g_hash_table_insert(fleet->teams, team->name, team);
    }
    return team;
}

static void
set_teams(struct fleet *fleet)
{
    const struct fleet_team_conf *conf = fleet->config.teams.items;
    GHashTableIter iter;
    struct fleet_team *team;

    g_hash_table_remove_all(fleet->teams_by_key);
    g_hash_table_iter_init(&iter, fleet->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        team->configured = false;
    }
    for (uint32_t i = 0; i < fleet->config.teams.count; i++) {
        struct fleet_key_conf *keys = conf[i].keys.items;

        team = fleet_ensure_team(fleet, conf[i].name);
        team->configured = true;
        team->weight = conf[i].weight;
        team->limit.cpu_milli = conf[i].limit_cpu_milli;
        team->limit.memory_mb = conf[i].limit_memory_mb;
        team->limit.accel = conf[i].limit_accel;
        for (uint32_t k = 0; k < conf[i].keys.count; k++) {
            g_hash_table_insert(fleet->teams_by_key, keys[k].key, team);
        }
    }
}

void
fleet_apply_config(struct fleet *fleet, struct fleet_config *config)
{
    if (config->version <= fleet->config.version) {
        return;
    }
    g_hash_table_remove_all(fleet->teams_by_key);
    g_hash_table_remove_all(fleet->services);
    fp_record_free(&FLEET_CONFIG_SCHEMA, &fleet->config);
    fleet->config = *config;
    memset(config, 0, sizeof(*config));
    set_queues(fleet);
    set_services(fleet);
    set_teams(fleet);
    if (fleet->ops.config_changed != NULL) {
        fleet->ops.config_changed(fleet->ops.ctx);
    }
}

static enum fp_err
check_queues(const struct fleet_config *config, char *reason,
             size_t reason_bytes)
{
    const struct fleet_queue_conf *queue = config->queues.items;
    const struct fleet_service_conf *service = config->services.items;
    GHashTable *service_names = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTable *taken =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    enum fp_err err = FP_OK;

    for (uint32_t i = 0; i < config->services.count; i++) {
        g_hash_table_add(service_names, (void *)service[i].name);
    }
    for (uint32_t i = 0; i < config->queues.count && err == FP_OK; i++) {
        char *host_prefix =
            g_strdup_printf("%s\n%s", queue[i].host, queue[i].prefix);

        if (!g_hash_table_contains(service_names, queue[i].service)) {
            snprintf(reason, reason_bytes, "queue '%s': no service '%s'",
                     queue[i].name, queue[i].service);
            err = FP_ERR_BAD_REQUEST;
        }
        else if (g_hash_table_contains(taken, host_prefix)) {
            snprintf(reason, reason_bytes, "queue '%s': %s%s is taken",
                     queue[i].name, queue[i].host, queue[i].prefix);
            err = FP_ERR_BAD_REQUEST;
        }
        g_hash_table_add(taken, host_prefix);
    }
    g_hash_table_destroy(service_names);
    g_hash_table_destroy(taken);
    return err;
}

enum fp_err
fleet_check_config(const struct fleet_config *config, char *reason,
                   size_t reason_bytes)
{
    const struct fleet_team_conf *team = config->teams.items;
    GHashTable *key_owners = g_hash_table_new(g_str_hash, g_str_equal);
    enum fp_err err = check_queues(config, reason, reason_bytes);

    for (uint32_t i = 0; i < config->teams.count && err == FP_OK; i++) {
        const struct fleet_key_conf *key = team[i].keys.items;

        for (uint32_t k = 0; k < team[i].keys.count; k++) {
            const char *owner = g_hash_table_lookup(key_owners, key[k].key);

            if (owner != NULL && strcmp(owner, team[i].name) != 0) {
                snprintf(reason, reason_bytes,
                         "teams '%s' and '%s' share a key", owner,
                         team[i].name);
                err = FP_ERR_BAD_REQUEST;
            }
            g_hash_table_insert(key_owners, (void *)key[k].key,
                                (void *)team[i].name);
        }
    }
    g_hash_table_destroy(key_owners);
    return err;
}

struct fleet_queue *
fleet_find_queue(const struct fleet *fleet, const char *host, const char *path)
{
    const GPtrArray *list = g_hash_table_lookup(fleet->queues_by_host, host);

    for (guint i = 0; list != NULL && i < list->len; i++) {
        struct fleet_queue *queue = list->pdata[i];

        if (strncmp(path, queue->conf.prefix, strlen(queue->conf.prefix)) ==
            0) {
            return queue;
        }
    }
    return NULL;
}

const struct fleet_service_conf *
fleet_find_service(const struct fleet *fleet, const char *name)
{
    return g_hash_table_lookup(fleet->services, name);
}
