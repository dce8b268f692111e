/* cellroute.c -- what routing keeps in the log: owners, grants, idempotency */
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
cell_granted(const struct team *team, uint64_t run_id)
{
    const struct grant *grant = find_grant(team, run_id);

    return grant == NULL ? 0 : grant->units;
}

void
cell_apply_own(struct cell *cell, uint64_t index, void *change,
               struct change_answer *answer)
{
    const struct change_own *own = change;
    struct target *target = cell_target(cell, own->target);

    if (target == NULL) {
        cell_refuse(answer, FP_ERR_NOT_FOUND, "no target '%s'", own->target);
        return;
    }
    if (own->epoch != target->rec.owner_epoch) {
        cell_refuse(answer, FP_ERR_STALE, "target %s: epoch is %llu",
                    own->target, (unsigned long long)target->rec.owner_epoch);
        return;
    }
    target->rec.owner_clean =
        !target->rec.was_owned || own->clean ||
        (target->rec.owner_run == 0 && target->rec.owner_clean);
    target->rec.owner_run = own->run_id;
    target->rec.owner_epoch++;
    if (own->run_id != 0) {
        target->rec.was_owned = true;
    }
    g_strlcpy(target->rec.owner_host, own->host,
              sizeof(target->rec.owner_host));
    answer->version = index;
    cell_notify_target(cell, target);
}

void
cell_apply_grant(struct cell *cell, uint64_t index, void *change,
                 struct change_answer *answer)
{
    const struct change_grant *set = change;
    struct team *team = cell_team(cell, set->team);
    struct grant *grant;
    uint64_t after;

    (void)index;
    if (team == NULL) {
        cell_refuse(answer, FP_ERR_NOT_FOUND, "no team '%s'", set->team);
        return;
    }
    if (cell_granted(team, set->run_id) != set->was) {
        cell_refuse(answer, FP_ERR_STALE, "team %s: holds %u units", set->team,
                    cell_granted(team, set->run_id));
        return;
    }
    after =
        (uint64_t)team->use.running + team->granted - set->was + set->units;
    if (set->units > set->was && team->conf.limit_running != 0 &&
        after > team->conf.limit_running) {
        cell_refuse(answer, FP_ERR_LIMIT, "team %s: limit_running is %u",
                    set->team, team->conf.limit_running);
        return;
    }
    grant = find_grant(team, set->run_id);
    if (grant == NULL) {
        struct grant fresh = {.run_id = set->run_id};

        g_strlcpy(fresh.host, set->host, sizeof(fresh.host));
        g_array_append_val(team->grants, fresh);
        grant = find_grant(team, set->run_id);
    }
    grant->units = set->units;
    team->granted = team->granted - set->was + set->units;
    if (set->units == 0) {
        g_array_remove_index_fast(
            team->grants, (guint)(grant - (struct grant *)team->grants->data));
    }
}

static void
drop_grants(struct team *team, uint64_t run_id)
{
    for (guint i = team->grants->len; i > 0; i--) {
        const struct grant *grant =
            &g_array_index(team->grants, struct grant, i - 1);

        if (grant->run_id == run_id) {
            team->granted -= grant->units;
            g_array_remove_index_fast(team->grants, i - 1);
        }
    }
}

void
cell_apply_run_gone(struct cell *cell, uint64_t index, void *change,
                    struct change_answer *answer)
{
    const struct change_run_gone *gone = change;
    GHashTableIter iter;
    struct team *team;

    (void)index;
    (void)answer;
    g_hash_table_iter_init(&iter, cell->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        drop_grants(team, gone->run_id);
    }
}

void
cell_free_idempotency(void *item)
{
    struct idempotency *record = item;

    g_free(record->key);
    g_free(record->digest);
    g_free(record->content_type);
    fp_blob_free(&record->body);
    g_free(record);
}

static struct idempotency *
find_idempotency(const struct cell *cell, const char *team, const char *key)
{
    char *joined = g_strdup_printf("%s\n%s", team, key);
    struct idempotency *item = g_hash_table_lookup(cell->idempotency, joined);

    g_free(joined);
    return item;
}

static struct idempotency *
add_idempotency(struct cell *cell, const char *team, const char *key,
                const char *digest)
{
    struct idempotency *item = g_new0(struct idempotency, 1);

    item->key = g_strdup_printf("%s\n%s", team, key);
    item->digest = g_strdup(digest);
    g_hash_table_insert(cell->idempotency, item->key, item);
    g_queue_push_tail(&cell->idempotency_order, item);
    item->link = cell->idempotency_order.tail;
    return item;
}

void
cell_put_idempotency(struct cell *cell,
                     const struct record_idempotency *record)
{
    struct idempotency *item =
        add_idempotency(cell, record->team, record->key, record->digest);

    item->run_id = record->run_id;
    item->state = record->state;
    item->deadline_ms = record->deadline_ms;
    item->ended_ms = record->ended_ms;
    item->err = record->err;
    item->status = record->status;
    item->content_type = g_strdup(record->content_type);
    item->body = fp_blob_copy(record->body.data, record->body.size_bytes);
    cell->idempotency_bytes += item->body.size_bytes;
}

static void
answer_from_outcome(const struct idempotency *item,
                    struct change_answer *answer)
{
    answer->ended = item->state == IDEMPOTENCY_ENDED;
    answer->deadline_ms = item->deadline_ms;
    if (!answer->ended) {
        return;
    }
    answer->err = item->err;
    answer->status = item->status;
    if (item->content_type != NULL) {
        g_strlcpy(answer->content_type, item->content_type,
                  sizeof(answer->content_type));
    }
    answer->body = fp_blob_copy(item->body.data, item->body.size_bytes);
}

bool
cell_outcome(const struct cell *cell, const char *team, const char *key,
             struct change_answer *answer)
{
    const struct idempotency *item = find_idempotency(cell, team, key);

    if (item == NULL) {
        return false;
    }
    answer_from_outcome(item, answer);
    return true;
}

void
cell_apply_intent(struct cell *cell, uint64_t index, void *change,
                  struct change_answer *answer)
{
    const struct change_intent *intent = change;
    struct idempotency *item =
        find_idempotency(cell, intent->team, intent->key);

    (void)index;
    if (item != NULL) {
        if (strcmp(item->digest, intent->digest) != 0) {
            cell_refuse(answer, FP_ERR_KEY_REUSED,
                        "idempotency key '%.60s' came with another request",
                        intent->key);
            return;
        }
        answer_from_outcome(item, answer);
        return;
    }
    if (g_hash_table_size(cell->idempotency) >= CELL_IDEMPOTENCY_MAX) {
        cell_refuse(answer, FP_ERR_BUSY, "too many idempotency keys");
        return;
    }
    item = add_idempotency(cell, intent->team, intent->key, intent->digest);
    item->run_id = intent->run_id;
    item->deadline_ms = intent->deadline_ms;
    item->state = IDEMPOTENCY_RUNNING;
    answer->first = true;
}

void
cell_apply_outcome(struct cell *cell, uint64_t index, void *change,
                   struct change_answer *answer)
{
    struct change_outcome *outcome = change;
    struct idempotency *item =
        find_idempotency(cell, outcome->team, outcome->key);

    (void)index;
    if (item == NULL || item->state != IDEMPOTENCY_RUNNING ||
        item->run_id != outcome->run_id) {
        answer->err = FP_ERR_STALE;
        return;
    }
    if (outcome->not_run) {
        g_queue_delete_link(&cell->idempotency_order, item->link);
        g_hash_table_remove(cell->idempotency, item->key);
        return;
    }
    item->state = IDEMPOTENCY_ENDED;
    item->ended_ms = cell->now_ms;
    item->err = outcome->err;
    item->status = outcome->status;
    item->content_type = g_strdup(outcome->content_type);
    item->body = outcome->body;
    outcome->body.data = NULL;
    outcome->body.size_bytes = 0;
    cell->idempotency_bytes += item->body.size_bytes;
}

/* The answer of an old request is let go before the fact that it ran. */
static void
drop_old_bodies(struct cell *cell)
{
    for (GList *at = cell->idempotency_order.head;
         at != NULL &&
         cell->idempotency_bytes > CELL_IDEMPOTENCY_BODY_MAX_BYTES;
         at = at->next) {
        struct idempotency *item = at->data;

        if (item->body.size_bytes > 0) {
            cell->idempotency_bytes -= item->body.size_bytes;
            fp_blob_free(&item->body);
            item->err = FP_ERR_ANSWER_TOO_LARGE;
        }
    }
}

void
cell_forget_idempotency(struct cell *cell)
{
    struct idempotency *item = g_queue_peek_head(&cell->idempotency_order);

    while (item != NULL &&
           MAX(item->ended_ms, item->deadline_ms) + CELL_IDEMPOTENCY_KEEP_MS <
               cell->now_ms) {
        cell->idempotency_bytes -= item->body.size_bytes;
        g_queue_pop_head(&cell->idempotency_order);
        g_hash_table_remove(cell->idempotency, item->key);
        item = g_queue_peek_head(&cell->idempotency_order);
    }
    if (cell->idempotency_bytes > CELL_IDEMPOTENCY_BODY_MAX_BYTES) {
        drop_old_bodies(cell);
    }
}
