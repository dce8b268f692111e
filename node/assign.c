/* assign.c -- on the leader: which process holds which slots and team units
 */
#include "node/assign.h"

#include <glib.h>
#include <string.h>

#include "base/log.h"

#define ALIVE_MS 1000u    /* a host whose hint is younger takes new slots */
#define HEADROOM_UNITS 2u /* above demand, so that a burst need not wait */
#define AGAIN_MS 500u     /* until an unanswered proposal is repeated */
#define IDLE_UNITS 4u     /* held without demand, when the limit allows */
#define IDLE_PART 4u      /* at most this part of the limit lies idle */

/* One process that told of itself. */
struct run {
    char host[MSG_HOST_BYTES];
    uint64_t run_id;
    uint64_t first_ms; /* when this process was first heard */
    uint64_t heard_ms;
    bool leaving;
    GHashTable *wanted; /* team to units, as GUINT_TO_POINTER */
    uint32_t owned;     /* instances, counted anew in each round */
};

struct assign {
    struct replica *replica;
    const struct settings *settings;
    uint64_t since_ms;
    GHashTable *runs;   /* host to struct run: the newest process */
    GHashTable *busy;   /* name of a proposal to the time it may come again */
    uint64_t moved;     /* slots given */
    uint64_t reclaimed; /* parts of dead processes taken back */
};

static void
free_run(void *item)
{
    struct run *run = item;

    g_hash_table_destroy(run->wanted);
    g_free(run);
}

struct assign *
assign_new(struct replica *replica, const struct settings *settings)
{
    struct assign *assign = g_new0(struct assign, 1);

    assign->replica = replica;
    assign->settings = settings;
    assign->since_ms = clock_mono_ms();
    assign->runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_run);
    assign->busy =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return assign;
}

void
assign_free(struct assign *assign)
{
    if (assign != NULL) {
        g_hash_table_destroy(assign->runs);
        g_hash_table_destroy(assign->busy);
        g_free(assign);
    }
}

void
assign_hint(struct assign *assign, const struct msg_hint *hint,
            uint64_t now_ms)
{
    struct run *run = g_hash_table_lookup(assign->runs, hint->host);
    const struct msg_demand *demand = hint->demand.items;

    if (run == NULL || run->run_id != hint->run_id) {
        run = g_new0(struct run, 1);
        g_strlcpy(run->host, hint->host, sizeof(run->host));
        run->run_id = hint->run_id;
        run->first_ms = now_ms;
        run->wanted =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        g_hash_table_replace(assign->runs, run->host, run);
    }
    run->heard_ms = now_ms;
    run->leaving = hint->leaving;
    g_hash_table_remove_all(run->wanted);
    for (uint32_t i = 0; i < hint->demand.count; i++) {
        g_hash_table_insert(run->wanted, g_strdup(demand[i].team),
                            GUINT_TO_POINTER(demand[i].wanted));
    }
}

static bool
is_alive(const struct run *run, uint64_t now_ms)
{
    return !run->leaving && now_ms <= run->heard_ms + ALIVE_MS;
}

/* How long after its last word a process may still act on its lease. */
static uint64_t
fresh_span_ms(const struct assign *assign)
{
    return assign->settings->times.fresh_ms * 101 / 100 + ASSIGN_MARGIN_MS;
}

struct follower_search {
    const char *host;
    uint64_t heard_ms;
};

static void
newest_word(void *ctx, uint64_t id, const char *host, uint64_t match,
            uint64_t applied, uint64_t heard_ms)
{
    struct follower_search *search = ctx;

    (void)id;
    (void)match;
    (void)applied;
    if (strcmp(host, search->host) == 0) {
        search->heard_ms = MAX(search->heard_ms, heard_ms);
    }
}

/* From when on a process surely sends nothing new; UINT64_MAX while it may.
 * A newer process on its host proves that it ended. Otherwise its freshness
 * lease ends at the latest fresh_span_ms() after the host's last word to this
 * leader, or after this leader's election when it said none.
 */
static uint64_t
gone_since_ms(const struct assign *assign, uint64_t run_id, const char *host,
              uint64_t now_ms)
{
    const struct run *run = g_hash_table_lookup(assign->runs, host);
    struct follower_search search = {host, assign->since_ms};
    uint64_t end_ms;

    if (run_id == replica_run_id(assign->replica)) {
        return UINT64_MAX;
    }
    if (run != NULL && run->run_id != run_id) {
        return run->first_ms;
    }
    raft_for_each_follower(replica_raft(assign->replica), newest_word,
                           &search);
    if (run != NULL) {
        search.heard_ms = MAX(search.heard_ms, run->heard_ms);
    }
    end_ms = search.heard_ms + fresh_span_ms(assign);
    return now_ms >= end_ms ? end_ms : UINT64_MAX;
}

/* Every proposal here is checked against an epoch or a former value when it
 * is applied, so that a repeated one does no harm; this only spares work.
 */
static bool
may_propose(struct assign *assign, const char *kind, const char *name,
            uint64_t run_id, uint64_t now_ms)
{
    char *key =
        g_strdup_printf("%s %s %llu", kind, name, (unsigned long long)run_id);
    const uint64_t *again_ms = g_hash_table_lookup(assign->busy, key);
    uint64_t next_ms = now_ms + AGAIN_MS;

    if (again_ms != NULL && now_ms < *again_ms) {
        g_free(key);
        return false;
    }
    g_hash_table_replace(assign->busy, key,
                         g_memdup2(&next_ms, sizeof(next_ms)));
    return true;
}

static gboolean
is_over(gpointer key, gpointer value, gpointer ctx)
{
    (void)key;
    return *(uint64_t *)value <= *(const uint64_t *)ctx;
}

static void
on_answer(void *ctx, enum fp_err err, const struct change_answer *answer)
{
    (void)ctx;
    if (err == FP_OK && answer->err != FP_OK && answer->err != FP_ERR_STALE) {
        log_info(LOG_ROUTE, "An assignment was refused: %s.", answer->detail);
    }
}

static const char *
data_centre_of(const struct assign *assign, const char *host)
{
    const struct settings_host *entry = settings_find(assign->settings, host);

    return entry == NULL ? "" : entry->data_centre;
}

/* The live process with the fewest instances, in the target's own data centre
 * if there is one.
 */
static struct run *
best_owner(const struct assign *assign, const struct target *target,
           uint64_t now_ms)
{
    GHashTableIter iter;
    struct run *run;
    struct run *best = NULL;
    bool best_near = false;

    g_hash_table_iter_init(&iter, assign->runs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&run)) {
        bool near = strcmp(data_centre_of(assign, run->host),
                           target->rec.data_centre) == 0;

        if (!is_alive(run, now_ms) || (best_near && !near)) {
            continue;
        }
        if (best == NULL || (near && !best_near) || run->owned < best->owned ||
            (run->owned == best->owned && strcmp(run->host, best->host) < 0)) {
            best = run;
            best_near = near;
        }
    }
    return best;
}

static bool
has_live_owner(const struct assign *assign, const struct target *target,
               uint64_t now_ms)
{
    if (target->rec.owner_run == 0) {
        return false;
    }
    return gone_since_ms(assign, target->rec.owner_run, target->rec.owner_host,
                         now_ms) == UINT64_MAX;
}

static void
give_slots(struct assign *assign, const struct target *target, struct run *run)
{
    struct change_owner change = {.run_id = run->run_id,
                                  .epoch = target->rec.owner_epoch};

    g_strlcpy(change.target, target->rec.name, sizeof(change.target));
    g_strlcpy(change.host, run->host, sizeof(change.host));
    run->owned++;
    assign->moved++;
    log_info(LOG_ROUTE, "Slots of %s go to %s.", target->rec.name, run->host);
    replica_propose(assign->replica, &CHANGE_OWNER_SCHEMA, &change, on_answer,
                    NULL);
}

static void
count_owned(struct assign *assign)
{
    GHashTableIter iter;
    struct target *target;
    struct run *run;

    g_hash_table_iter_init(&iter, assign->runs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&run)) {
        run->owned = 0;
    }
    g_hash_table_iter_init(&iter, replica_cell(assign->replica)->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        run = g_hash_table_lookup(assign->runs, target->rec.owner_host);
        if (run != NULL && run->run_id == target->rec.owner_run) {
            run->owned++;
        }
    }
}

static void
assign_slots(struct assign *assign, uint64_t now_ms)
{
    GHashTableIter iter;
    struct target *target;

    count_owned(assign);
    g_hash_table_iter_init(&iter, replica_cell(assign->replica)->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        struct run *run;

        if (target->rec.service[0] == '\0' ||
            target->rec.state == TARGET_DOWN ||
            has_live_owner(assign, target, now_ms)) {
            continue;
        }
        run = best_owner(assign, target, now_ms);
        if (run != NULL && may_propose(assign, "own", target->rec.name,
                                       target->rec.owner_epoch, now_ms)) {
            give_slots(assign, target, run);
        }
    }
}

static void
set_grant(struct assign *assign, const struct team *team,
          const struct run *run, uint32_t was, uint32_t units)
{
    struct change_grant change = {
        .run_id = run->run_id, .units = units, .was = was};

    g_strlcpy(change.team, team->conf.name, sizeof(change.team));
    g_strlcpy(change.host, run->host, sizeof(change.host));
    replica_propose(assign->replica, &CHANGE_GRANT_SCHEMA, &change, on_answer,
                    NULL);
}

static uint32_t
live_runs(const struct assign *assign, uint64_t now_ms)
{
    GHashTableIter iter;
    struct run *run;
    uint32_t count = 0;

    g_hash_table_iter_init(&iter, assign->runs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&run)) {
        if (is_alive(run, now_ms)) {
            count++;
        }
    }
    return count;
}

/* What a process should hold: its demand and a little more, or a small part
 * of the limit while it has none.
 */
static uint32_t
wish(const struct team *team, const struct run *run, uint32_t runs)
{
    uint32_t wanted =
        GPOINTER_TO_UINT(g_hash_table_lookup(run->wanted, team->conf.name));
    uint32_t idle = team->conf.limit_running / (IDLE_PART * MAX(runs, 1));

    if (wanted > 0) {
        return wanted + HEADROOM_UNITS;
    }
    return MIN(idle, IDLE_UNITS);
}

static void
raise_grants(struct assign *assign, const struct team *team, uint64_t now_ms)
{
    uint64_t taken = (uint64_t)team->used.running + team->granted_units;
    uint64_t limit = team->conf.limit_running;
    uint32_t runs = live_runs(assign, now_ms);
    uint32_t free_units = limit > taken ? (uint32_t)(limit - taken) : 0;
    GHashTableIter iter;
    struct run *run;

    g_hash_table_iter_init(&iter, assign->runs);
    while (free_units > 0 &&
           g_hash_table_iter_next(&iter, NULL, (gpointer *)&run)) {
        uint32_t has = cell_granted_units(team, run->run_id);
        uint32_t most = wish(team, run, runs);
        uint32_t more = most > has ? MIN(most - has, free_units) : 0;

        if (more > 0 && is_alive(run, now_ms) &&
            may_propose(assign, "grant", team->conf.name, run->run_id,
                        now_ms)) {
            set_grant(assign, team, run, has, has + more);
            free_units -= more;
        }
    }
}

uint64_t
assign_request_max_ms(const struct cell *cell)
{
    GHashTableIter iter;
    struct queue *queue;
    uint64_t most = DEFAULT_REQUEST_MAX_MS;

    g_hash_table_iter_init(&iter, cell->queues);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&queue)) {
        most = MAX(most, queue->conf.request_max_ms);
    }
    return most;
}

/* Takes back the parts of processes that are gone, once what they had in
 * flight has ended too.
 */
static void
reclaim_grants(struct assign *assign, const struct team *team, uint64_t now_ms)
{
    uint64_t request_ms = assign_request_max_ms(replica_cell(assign->replica));

    for (guint i = 0; i < team->grants->len; i++) {
        const struct grant *grant =
            &g_array_index(team->grants, struct grant, i);
        struct change_process_ended change = {.run_id = grant->run_id};
        uint64_t since_ms =
            gone_since_ms(assign, grant->run_id, grant->host, now_ms);

        if (since_ms == UINT64_MAX ||
            now_ms < since_ms + request_ms + ASSIGN_MARGIN_MS ||
            !may_propose(assign, "gone", grant->host, grant->run_id, now_ms)) {
            continue;
        }
        assign->reclaimed++;
        replica_propose(assign->replica, &CHANGE_PROCESS_ENDED_SCHEMA, &change,
                        on_answer, NULL);
    }
}

void
assign_tick(struct assign *assign, uint64_t now_ms)
{
    GHashTableIter iter;
    struct team *team;

    if (!replica_leads(assign->replica)) {
        return;
    }
    g_hash_table_foreach_remove(assign->busy, is_over, &now_ms);
    assign_slots(assign, now_ms);
    g_hash_table_iter_init(&iter, replica_cell(assign->replica)->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        reclaim_grants(assign, team, now_ms);
        if (team->conf.limit_running != 0) {
            raise_grants(assign, team, now_ms);
        }
    }
}

static uint32_t
runs_that_want(const struct assign *assign, const char *team)
{
    GHashTableIter iter;
    struct run *run;
    uint32_t count = 0;

    g_hash_table_iter_init(&iter, assign->runs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&run)) {
        if (g_hash_table_lookup(run->wanted, team) != NULL) {
            count++;
        }
    }
    return count;
}

void
assign_caps(const struct assign *assign, struct fp_list *caps)
{
    GHashTableIter iter;
    struct team *team;

    g_hash_table_iter_init(&iter, replica_cell(assign->replica)->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        uint32_t limit = team->conf.limit_running;
        uint32_t left =
            limit > team->used.running ? limit - team->used.running : 0;
        uint32_t runs = runs_that_want(assign, team->conf.name);
        struct msg_demand *cap;

        if (limit == 0) {
            continue;
        }
        cap = fp_list_add(caps, sizeof(*cap));
        g_strlcpy(cap->team, team->conf.name, sizeof(cap->team));
        cap->wanted = MAX(left / MAX(runs, 1), 1);
    }
}

json_t *
assign_dump(const struct assign *assign)
{
    json_t *runs = json_array();
    GHashTableIter iter;
    struct run *run;
    uint64_t now_ms = clock_mono_ms();

    g_hash_table_iter_init(&iter, assign->runs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&run)) {
        json_array_append_new(
            runs, json_pack("{s:s,s:I,s:I,s:b,s:i}", "host", run->host,
                            "run_id", (json_int_t)run->run_id, "silent_ms",
                            (json_int_t)(now_ms - run->heard_ms), "leaving",
                            run->leaving, "instances", run->owned));
    }
    return json_pack("{s:o,s:I,s:I}", "processes", runs, "slots_given",
                     (json_int_t)assign->moved, "parts_reclaimed",
                     (json_int_t)assign->reclaimed);
}
