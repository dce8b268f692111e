/* assign.c -- the leader's assignment of slots and team units to processes
 */
#include "node/assign.h"

#include <glib.h>
#include <string.h>

#include "base/log.h"

/* A host whose last hint is older gets no new slots. */
#define HINT_MAX_AGE_MS 1000u
#define REPROPOSE_AFTER_MS 500u /* repeats a proposal without an answer */
#define HEADROOM_UNITS 2u /* beyond demand, so that a burst need not wait */
/* A process without demand holds at most IDLE_UNITS_MAX units, and all such
 * processes together at most 1 / IDLE_LIMIT_DIVISOR of the limit. */
#define IDLE_UNITS_MAX 4u
#define IDLE_LIMIT_DIVISOR 4u

/* A process that has sent hints. */
struct process {
    char host[MSG_HOST_BYTES];
    uint64_t run_id;
    uint64_t first_heard_ms; /* time of its first hint */
    uint64_t last_heard_ms;  /* time of its last hint */
    bool leaving;
    GHashTable *demand;       /* team to units, as GUINT_TO_POINTER */
    uint32_t owned_instances; /* recounted at each tick */
};

struct assigner {
    struct replica *replica;
    const struct settings *settings;
    uint64_t term_start_ms; /* when this host began to lead */
    GHashTable *processes;  /* host to its newest struct process */
    /* Proposal, as "kind name run ID", to the time from which it may be
     * repeated. */
    GHashTable *repropose_ms;
    uint64_t assigned;  /* instances assigned */
    uint64_t reclaimed; /* proposals to reclaim a dead process's grants */
};

static void
free_process(void *item)
{
    struct process *process = item;

    g_hash_table_destroy(process->demand);
    g_free(process);
}

struct assigner *
assigner_new(struct replica *replica, const struct settings *settings)
{
    struct assigner *assigner = g_new0(struct assigner, 1);

    assigner->replica = replica;
    assigner->settings = settings;
    assigner->term_start_ms = clock_mono_ms();
    assigner->processes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_process);
    assigner->repropose_ms =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return assigner;
}

void
assigner_free(struct assigner *assigner)
{
    if (assigner != NULL) {
        g_hash_table_destroy(assigner->processes);
        g_hash_table_destroy(assigner->repropose_ms);
        g_free(assigner);
    }
}

void
assigner_on_hint(struct assigner *assigner, const struct msg_hint *hint,
                 uint64_t now_ms)
{
    struct process *process =
        g_hash_table_lookup(assigner->processes, hint->host);
    const struct msg_demand *demand = hint->demand.items;

    if (process == NULL || process->run_id != hint->run_id) {
        process = g_new0(struct process, 1);
        g_strlcpy(process->host, hint->host, sizeof(process->host));
        process->run_id = hint->run_id;
        process->first_heard_ms = now_ms;
        process->demand =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        g_hash_table_replace(assigner->processes, process->host, process);
    }
    process->last_heard_ms = now_ms;
    process->leaving = hint->leaving;
    g_hash_table_remove_all(process->demand);
    for (uint32_t i = 0; i < hint->demand.count; i++) {
        g_hash_table_insert(process->demand, g_strdup(demand[i].team),
                            GUINT_TO_POINTER(demand[i].wanted));
    }
}

static bool
is_alive(const struct process *process, uint64_t now_ms)
{
    return !process->leaving &&
           now_ms <= process->last_heard_ms + HINT_MAX_AGE_MS;
}

/* Returns how long after its last message a process may still act on its
 * freshness lease, allowing 1 % for clock drift.
 */
static uint64_t
lease_span_ms(const struct assigner *assigner)
{
    return assigner->settings->times.fresh_ms * 101 / 100 +
           ASSIGNER_SAFETY_MARGIN_MS;
}

/* Search for the time of the last message of a host. */
struct last_heard_search {
    const char *host;
    uint64_t last_heard_ms;
};

static void
update_last_heard(void *ctx, uint64_t id, const char *host, uint64_t match,
                  uint64_t applied, uint64_t heard_ms)
{
    struct last_heard_search *search = ctx;

    (void)id;
    (void)match;
    (void)applied;
    if (strcmp(host, search->host) == 0) {
        search->last_heard_ms = MAX(search->last_heard_ms, heard_ms);
    }
}

/* Returns the time since when a process cannot have sent a new request, or
 * UINT64_MAX while it may still send one. A newer process on its host proves
 * that it has exited. Otherwise its freshness lease ends at most
 * lease_span_ms() after the host's last message to this leader, or after the
 * election of this leader if the host has sent none.
 */
static uint64_t
inactive_since_ms(const struct assigner *assigner, uint64_t run_id,
                  const char *host, uint64_t now_ms)
{
    const struct process *process =
        g_hash_table_lookup(assigner->processes, host);
    struct last_heard_search search = {host, assigner->term_start_ms};
    uint64_t end_ms;

    if (run_id == replica_run_id(assigner->replica)) {
        return UINT64_MAX;
    }
    if (process != NULL && process->run_id != run_id) {
        return process->first_heard_ms;
    }
    raft_for_each_follower(replica_raft(assigner->replica), update_last_heard,
                           &search);
    if (process != NULL) {
        search.last_heard_ms =
            MAX(search.last_heard_ms, process->last_heard_ms);
    }
    end_ms = search.last_heard_ms + lease_span_ms(assigner);
    return now_ms >= end_ms ? end_ms : UINT64_MAX;
}

/* Returns whether a proposal is due, and if so blocks it for
 * REPROPOSE_AFTER_MS. This only saves work: a repeated proposal is harmless,
 * because each is checked against an epoch or the previous value when it is
 * applied.
 */
static bool
may_propose(struct assigner *assigner, const char *kind, const char *name,
            uint64_t run_id, uint64_t now_ms)
{
    char *key =
        g_strdup_printf("%s %s %llu", kind, name, (unsigned long long)run_id);
    const uint64_t *repropose_ms =
        g_hash_table_lookup(assigner->repropose_ms, key);
    uint64_t next_ms = now_ms + REPROPOSE_AFTER_MS;

    if (repropose_ms != NULL && now_ms < *repropose_ms) {
        g_free(key);
        return false;
    }
    g_hash_table_replace(assigner->repropose_ms, key,
                         g_memdup2(&next_ms, sizeof(next_ms)));
    return true;
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer ctx)
{
    (void)key;
    return *(uint64_t *)value <= *(const uint64_t *)ctx;
}

static void
on_proposal_done(void *ctx, enum fp_err err,
                 const struct change_answer *answer)
{
    (void)ctx;
    if (err == FP_OK && answer->err != FP_OK && answer->err != FP_ERR_STALE) {
        log_info(LOG_ROUTE, "a proposed assignment was refused: %s",
                 answer->detail);
    }
}

static const char *
data_centre_of(const struct assigner *assigner, const char *host)
{
    const struct settings_host *entry =
        settings_find_host(assigner->settings, host);

    return entry == NULL ? "" : entry->data_centre;
}

/* Returns the live process that owns the fewest instances, preferring those
 * in the target's data centre; NULL when no process is alive.
 */
static struct process *
choose_owner(const struct assigner *assigner, const struct target *target,
             uint64_t now_ms)
{
    GHashTableIter iter;
    struct process *process;
    struct process *best = NULL;
    bool best_is_near = false;

    g_hash_table_iter_init(&iter, assigner->processes);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&process)) {
        bool is_near = strcmp(data_centre_of(assigner, process->host),
                              target->rec.data_centre) == 0;

        if (!is_alive(process, now_ms) || (best_is_near && !is_near)) {
            continue;
        }
        if (best == NULL || (is_near && !best_is_near) ||
            process->owned_instances < best->owned_instances ||
            (process->owned_instances == best->owned_instances &&
             strcmp(process->host, best->host) < 0)) {
            best = process;
            best_is_near = is_near;
        }
    }
    return best;
}

static bool
has_active_owner(const struct assigner *assigner, const struct target *target,
                 uint64_t now_ms)
{
    if (target->rec.owner_run == 0) {
        return false;
    }
    return inactive_since_ms(assigner, target->rec.owner_run,
                             target->rec.owner_host, now_ms) == UINT64_MAX;
}

static void
assign_instance(struct assigner *assigner, const struct target *target,
                struct process *process)
{
    struct change_owner change = {.run_id = process->run_id,
                                  .epoch = target->rec.owner_epoch};

    g_strlcpy(change.target, target->rec.name, sizeof(change.target));
    g_strlcpy(change.host, process->host, sizeof(change.host));
    process->owned_instances++;
    assigner->assigned++;
    log_info(LOG_ROUTE, "assigning the slots of target %s to host %s",
             target->rec.name, process->host);
    replica_propose(assigner->replica, &CHANGE_OWNER_SCHEMA, &change,
                    on_proposal_done, NULL);
}

static void
count_owned(struct assigner *assigner)
{
    GHashTableIter iter;
    struct target *target;
    struct process *process;

    g_hash_table_iter_init(&iter, assigner->processes);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&process)) {
        process->owned_instances = 0;
    }
    g_hash_table_iter_init(&iter, replica_cell(assigner->replica)->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        process =
            g_hash_table_lookup(assigner->processes, target->rec.owner_host);
        if (process != NULL && process->run_id == target->rec.owner_run) {
            process->owned_instances++;
        }
    }
}

static void
assign_unowned_instances(struct assigner *assigner, uint64_t now_ms)
{
    GHashTableIter iter;
    struct target *target;

    count_owned(assigner);
    g_hash_table_iter_init(&iter, replica_cell(assigner->replica)->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        struct process *process;

        if (target->rec.service[0] == '\0' ||
            target->rec.state == TARGET_DOWN ||
            has_active_owner(assigner, target, now_ms)) {
            continue;
        }
        process = choose_owner(assigner, target, now_ms);
        if (process != NULL && may_propose(assigner, "own", target->rec.name,
                                           target->rec.owner_epoch, now_ms)) {
            assign_instance(assigner, target, process);
        }
    }
}

static void
propose_grant(struct assigner *assigner, const struct team *team,
              const struct process *process, uint32_t was, uint32_t units)
{
    struct change_grant change = {
        .run_id = process->run_id, .units = units, .was = was};

    g_strlcpy(change.team, team->conf.name, sizeof(change.team));
    g_strlcpy(change.host, process->host, sizeof(change.host));
    replica_propose(assigner->replica, &CHANGE_GRANT_SCHEMA, &change,
                    on_proposal_done, NULL);
}

static uint32_t
count_live_processes(const struct assigner *assigner, uint64_t now_ms)
{
    GHashTableIter iter;
    struct process *process;
    uint32_t count = 0;

    g_hash_table_iter_init(&iter, assigner->processes);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&process)) {
        if (is_alive(process, now_ms)) {
            count++;
        }
    }
    return count;
}

/* Returns the units that a process should hold: its demand plus headroom, or
 * a small share of the limit while it has no demand.
 */
static uint32_t
desired_units(const struct team *team, const struct process *process,
              uint32_t process_count)
{
    uint32_t wanted = GPOINTER_TO_UINT(
        g_hash_table_lookup(process->demand, team->conf.name));
    uint32_t idle = team->conf.limit_running /
                    (IDLE_LIMIT_DIVISOR * MAX(process_count, 1));

    if (wanted > 0) {
        return wanted + HEADROOM_UNITS;
    }
    return MIN(idle, IDLE_UNITS_MAX);
}

static void
raise_grants(struct assigner *assigner, const struct team *team,
             uint64_t now_ms)
{
    uint64_t taken = (uint64_t)team->used.running + team->granted_units;
    uint64_t limit = team->conf.limit_running;
    uint32_t process_count = count_live_processes(assigner, now_ms);
    uint32_t free_units = limit > taken ? (uint32_t)(limit - taken) : 0;
    GHashTableIter iter;
    struct process *process;

    g_hash_table_iter_init(&iter, assigner->processes);
    while (free_units > 0 &&
           g_hash_table_iter_next(&iter, NULL, (gpointer *)&process)) {
        uint32_t held = cell_granted_units(team, process->run_id);
        uint32_t desired = desired_units(team, process, process_count);
        uint32_t more = desired > held ? MIN(desired - held, free_units) : 0;

        if (more > 0 && is_alive(process, now_ms) &&
            may_propose(assigner, "grant", team->conf.name, process->run_id,
                        now_ms)) {
            propose_grant(assigner, team, process, held, held + more);
            free_units -= more;
        }
    }
}

/* Reclaims the grants of inactive processes, once their requests in flight
 * must have ended too.
 */
static void
reclaim_grants(struct assigner *assigner, const struct team *team,
               uint64_t now_ms)
{
    uint64_t request_ms =
        cell_longest_request_ms(replica_cell(assigner->replica));

    for (guint i = 0; i < team->grants->len; i++) {
        const struct grant *grant =
            &g_array_index(team->grants, struct grant, i);
        struct change_process_ended change = {.run_id = grant->run_id};
        uint64_t since_ms =
            inactive_since_ms(assigner, grant->run_id, grant->host, now_ms);

        if (since_ms == UINT64_MAX ||
            now_ms < since_ms + request_ms + ASSIGNER_SAFETY_MARGIN_MS ||
            !may_propose(assigner, "gone", grant->host, grant->run_id,
                         now_ms)) {
            continue;
        }
        assigner->reclaimed++;
        replica_propose(assigner->replica, &CHANGE_PROCESS_ENDED_SCHEMA,
                        &change, on_proposal_done, NULL);
    }
}

void
assigner_tick(struct assigner *assigner, uint64_t now_ms)
{
    GHashTableIter iter;
    struct team *team;

    if (!replica_is_leader(assigner->replica)) {
        return;
    }
    g_hash_table_foreach_remove(assigner->repropose_ms, is_expired, &now_ms);
    assign_unowned_instances(assigner, now_ms);
    g_hash_table_iter_init(&iter, replica_cell(assigner->replica)->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        reclaim_grants(assigner, team, now_ms);
        if (team->conf.limit_running != 0) {
            raise_grants(assigner, team, now_ms);
        }
    }
}

/* Counts the processes that have demand for a team's units. */
static uint32_t
count_demanding_processes(const struct assigner *assigner, const char *team)
{
    GHashTableIter iter;
    struct process *process;
    uint32_t count = 0;

    g_hash_table_iter_init(&iter, assigner->processes);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&process)) {
        if (g_hash_table_lookup(process->demand, team) != NULL) {
            count++;
        }
    }
    return count;
}

void
assigner_fill_caps(const struct assigner *assigner, struct fp_list *caps)
{
    GHashTableIter iter;
    struct team *team;

    g_hash_table_iter_init(&iter, replica_cell(assigner->replica)->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        uint32_t limit = team->conf.limit_running;
        uint32_t left =
            limit > team->used.running ? limit - team->used.running : 0;
        uint32_t process_count =
            count_demanding_processes(assigner, team->conf.name);
        struct msg_demand *cap;

        if (limit == 0) {
            continue;
        }
        cap = fp_list_add(caps, sizeof(*cap));
        g_strlcpy(cap->team, team->conf.name, sizeof(cap->team));
        cap->wanted = MAX(left / MAX(process_count, 1), 1);
    }
}

json_t *
assigner_dump(const struct assigner *assigner)
{
    json_t *processes = json_array();
    GHashTableIter iter;
    struct process *process;
    uint64_t now_ms = clock_mono_ms();

    g_hash_table_iter_init(&iter, assigner->processes);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&process)) {
        json_array_append_new(
            processes,
            json_pack("{s:s,s:I,s:I,s:b,s:i}", "host", process->host, "run_id",
                      (json_int_t)process->run_id, "silent_ms",
                      (json_int_t)(now_ms - process->last_heard_ms), "leaving",
                      process->leaving, "instances",
                      process->owned_instances));
    }
    return json_pack("{s:o,s:I,s:I}", "processes", processes, "slots_given",
                     (json_int_t)assigner->assigned, "parts_reclaimed",
                     (json_int_t)assigner->reclaimed);
}
