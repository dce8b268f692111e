/* cellroute.c -- replicated state of routing: owners of targets, grants of
 * team limits, idempotency keys
 */
#include <stdio.h>
#include <string.h>

#include "core/cellpriv.h"

static struct grant *
find_grant(const struct team *team, uint64_t run_id)
{
    for (guint i = 0; i < team->grants->len; i++) {
        struct grant *grant = &g_array_index(team->grants, struct grant, i);

        if (grant->run_id == run_id) {
            return grant;
        }
    }
    return NULL;
}

uint32_t
cell_granted_units(const struct team *team, uint64_t run_id)
{
    const struct grant *grant = find_grant(team, run_id);

    return grant == NULL ? 0 : grant->units;
}

void
cell_apply_owner(struct cell *cell, uint64_t index, void *change,
                 struct change_answer *answer)
{
    const struct change_owner *owner = change;
    struct target *target = cell_target(cell, owner->target);

    if (target == NULL) {
        cell_refuse(answer, FP_ERR_NOT_FOUND, "no target '%s'", owner->target);
        return;
    }
    if (owner->epoch != target->rec.owner_epoch) {
        cell_refuse(answer, FP_ERR_STALE, "target %s: epoch is %llu",
                    owner->target,
                    (unsigned long long)target->rec.owner_epoch);
        return;
    }
    /* Clean: no slot can still be in use for an earlier owner. */
    target->rec.owner_clean =
        !target->rec.was_owned || owner->clean ||
        (target->rec.owner_run == 0 && target->rec.owner_clean);
    target->rec.owner_run = owner->run_id;
    target->rec.owner_epoch++;
    if (owner->run_id != 0) {
        target->rec.was_owned = true;
    }
    g_strlcpy(target->rec.owner_host, owner->host,
              sizeof(target->rec.owner_host));
    answer->version = index;
    cell_notify_target(cell, target);
}

void
cell_apply_grant(struct cell *cell, uint64_t index, void *change,
                 struct change_answer *answer)
{
    const struct change_grant *update = change;
    struct team *team = cell_team(cell, update->team);
    struct grant *grant;
    uint64_t new_total;

    (void)index;
    if (team == NULL) {
        cell_refuse(answer, FP_ERR_NOT_FOUND, "no team '%s'", update->team);
        return;
    }
    if (cell_granted_units(team, update->run_id) != update->was) {
        cell_refuse(answer, FP_ERR_STALE, "team %s: holds %u units",
                    update->team, cell_granted_units(team, update->run_id));
        return;
    }
    new_total = (uint64_t)team->used.running + team->granted_units -
                update->was + update->units;
    if (update->units > update->was && team->conf.limit_running != 0 &&
        new_total > team->conf.limit_running) {
        cell_refuse(answer, FP_ERR_LIMIT, "team %s: limit_running is %u",
                    update->team, team->conf.limit_running);
        return;
    }
    grant = find_grant(team, update->run_id);
    if (grant == NULL) {
        struct grant new_grant = {.run_id = update->run_id};

        g_strlcpy(new_grant.host, update->host, sizeof(new_grant.host));
        g_array_append_val(team->grants, new_grant);
        grant = find_grant(team, update->run_id);
    }
    grant->units = update->units;
    team->granted_units = team->granted_units - update->was + update->units;
    if (update->units == 0) {
        g_array_remove_index_fast(
            team->grants, (guint)(grant - (struct grant *)team->grants->data));
    }
}

static void
remove_grants(struct team *team, uint64_t run_id)
{
    for (guint i = team->grants->len; i > 0; i--) {
        const struct grant *grant =
            &g_array_index(team->grants, struct grant, i - 1);

        if (grant->run_id == run_id) {
            team->granted_units -= grant->units;
            g_array_remove_index_fast(team->grants, i - 1);
        }
    }
}

void
cell_apply_process_ended(struct cell *cell, uint64_t index, void *change,
                         struct change_answer *answer)
{
    const struct change_process_ended *ended = change;
    GHashTableIter iter;
    struct team *team;

    (void)index;
    (void)answer;
    g_hash_table_iter_init(&iter, cell->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        remove_grants(team, ended->run_id);
    }
}

void
cell_free_idempotency_entry(void *item)
{
    struct idempotency_entry *entry = item;

    g_free(entry->key);
    g_free(entry->digest);
    g_free(entry->content_type);
    fp_blob_free(&entry->body);
    g_free(entry);
}

static struct idempotency_entry *
find_entry(const struct cell *cell, const char *team, const char *key)
{
    char *table_key = g_strdup_printf("%s\n%s", team, key);
    struct idempotency_entry *entry =
        g_hash_table_lookup(cell->idempotency_entries, table_key);

    g_free(table_key);
    return entry;
}

/* Adds an entry for an idempotency key, as the newest one. Sets its key,
 * digest and order_link; all other fields are zero and set by the caller. */
static struct idempotency_entry *
add_entry(struct cell *cell, const char *team, const char *key,
          const char *digest)
{
    struct idempotency_entry *entry = g_new0(struct idempotency_entry, 1);

    entry->key = g_strdup_printf("%s\n%s", team, key);
    entry->digest = g_strdup(digest);
    g_hash_table_insert(cell->idempotency_entries, entry->key, entry);
    g_queue_push_tail(&cell->idempotency_order, entry);
    entry->order_link = cell->idempotency_order.tail;
    return entry;
}

void
cell_restore_idempotency_entry(struct cell *cell,
                               const struct record_idempotency *record)
{
    struct idempotency_entry *entry =
        add_entry(cell, record->team, record->key, record->digest);

    entry->run_id = record->run_id;
    entry->state = record->state;
    entry->deadline_ms = record->deadline_ms;
    entry->ended_ms = record->ended_ms;
    entry->err = record->err;
    entry->status = record->status;
    entry->content_type = g_strdup(record->content_type);
    entry->body = fp_blob_copy(record->body.data, record->body.size_bytes);
    cell->idempotency_body_bytes += entry->body.size_bytes;
}

static void
answer_from_entry(const struct idempotency_entry *entry,
                  struct change_answer *answer)
{
    answer->ended = entry->state == IDEMPOTENCY_ENDED;
    answer->deadline_ms = entry->deadline_ms;
    if (!answer->ended) {
        return;
    }
    answer->err = entry->err;
    answer->status = entry->status;
    if (entry->content_type != NULL) {
        g_strlcpy(answer->content_type, entry->content_type,
                  sizeof(answer->content_type));
    }
    answer->body = fp_blob_copy(entry->body.data, entry->body.size_bytes);
}

bool
cell_find_outcome(const struct cell *cell, const char *team, const char *key,
                  struct change_answer *answer)
{
    const struct idempotency_entry *entry = find_entry(cell, team, key);

    if (entry == NULL) {
        return false;
    }
    answer_from_entry(entry, answer);
    return true;
}

void
cell_apply_intent(struct cell *cell, uint64_t index, void *change,
                  struct change_answer *answer)
{
    const struct change_intent *intent = change;
    struct idempotency_entry *entry =
        find_entry(cell, intent->team, intent->key);

    (void)index;
    if (entry != NULL) {
        /* Not the first request under this key. */
        if (strcmp(entry->digest, intent->digest) != 0) {
            cell_refuse(answer, FP_ERR_KEY_REUSED,
                        "idempotency key '%.60s' came with another request",
                        intent->key);
            return;
        }
        answer_from_entry(entry, answer);
        return;
    }
    if (g_hash_table_size(cell->idempotency_entries) >=
        CELL_IDEMPOTENCY_KEYS_MAX) {
        cell_refuse(answer, FP_ERR_BUSY, "too many idempotency keys");
        return;
    }
    entry = add_entry(cell, intent->team, intent->key, intent->digest);
    entry->run_id = intent->run_id;
    entry->deadline_ms = intent->deadline_ms;
    entry->state = IDEMPOTENCY_RUNNING;
    answer->first = true;
}

void
cell_apply_outcome(struct cell *cell, uint64_t index, void *change,
                   struct change_answer *answer)
{
    struct change_outcome *outcome = change;
    struct idempotency_entry *entry =
        find_entry(cell, outcome->team, outcome->key);

    (void)index;
    if (entry == NULL || entry->state != IDEMPOTENCY_RUNNING ||
        entry->run_id != outcome->run_id) {
        answer->err = FP_ERR_STALE;
        return;
    }
    if (outcome->not_run) {
        g_queue_delete_link(&cell->idempotency_order, entry->order_link);
        g_hash_table_remove(cell->idempotency_entries, entry->key);
        return;
    }
    entry->state = IDEMPOTENCY_ENDED;
    entry->ended_ms = cell->now_ms;
    entry->err = outcome->err;
    entry->status = outcome->status;
    entry->content_type = g_strdup(outcome->content_type);
    entry->body = outcome->body;
    outcome->body.data = NULL;
    outcome->body.size_bytes = 0;
    cell->idempotency_body_bytes += entry->body.size_bytes;
}

/* Frees the oldest bodies until the rest fits. The entries stay, so that a
 * request that ran is not run again; it is answered with
 * FP_ERR_ANSWER_TOO_LARGE from then on.
 */
static void
drop_oldest_bodies(struct cell *cell)
{
    for (GList *link = cell->idempotency_order.head;
         link != NULL &&
         cell->idempotency_body_bytes > CELL_IDEMPOTENCY_BODIES_MAX_BYTES;
         link = link->next) {
        struct idempotency_entry *entry = link->data;

        if (entry->body.size_bytes > 0) {
            cell->idempotency_body_bytes -= entry->body.size_bytes;
            fp_blob_free(&entry->body);
            entry->err = FP_ERR_ANSWER_TOO_LARGE;
        }
    }
}

void
cell_expire_idempotency(struct cell *cell)
{
    struct idempotency_entry *entry =
        g_queue_peek_head(&cell->idempotency_order);

    while (entry != NULL && MAX(entry->ended_ms, entry->deadline_ms) +
                                    CELL_IDEMPOTENCY_RETENTION_MS <
                                cell->now_ms) {
        cell->idempotency_body_bytes -= entry->body.size_bytes;
        g_queue_pop_head(&cell->idempotency_order);
        g_hash_table_remove(cell->idempotency_entries, entry->key);
        entry = g_queue_peek_head(&cell->idempotency_order);
    }
    if (cell->idempotency_body_bytes > CELL_IDEMPOTENCY_BODIES_MAX_BYTES) {
        drop_oldest_bodies(cell);
    }
}
