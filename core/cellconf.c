/* cellconf.c -- configuration: teams, keys, queues, quiet hours, labels */
#include <stdio.h>
#include <string.h>

#include "core/cellpriv.h"

/* Longest time for which a host accepts requests by a configuration that was
 * replaced (times.fresh_ms), and the difference of the leaders' clocks. */
#define CONFIG_LAG_MAX_MS 30000u

static bool
check_name(const char *name, struct change_answer *answer)
{
    for (const char *c = name; *c != '\0'; c++) {
        if (!g_ascii_isalnum(*c) && strchr("-_.", *c) == NULL) {
            cell_refuse(answer, FP_ERR_BAD_REQUEST,
                        "field name: '%.60s' may hold only letters, digits, "
                        "'-', '_' and '.'",
                        name);
            return false;
        }
    }
    if (name[0] == '\0') {
        cell_refuse(answer, FP_ERR_BAD_REQUEST, "field name: is missing");
        return false;
    }
    return true;
}

/* Completes an accepted change of the configuration: sets its version and
 * calls config_changed.
 */
static void
accept_config(struct cell *cell, uint64_t index, struct change_answer *answer)
{
    cell->config_version = index;
    answer->version = index;
    if (cell->ops.config_changed != NULL) {
        cell->ops.config_changed(cell->ops.ctx);
    }
}

void
cell_free_team(void *item)
{
    struct team *team = item;

    g_array_free(team->grants, TRUE);
    g_free(team);
}

void
cell_free_queue(void *item)
{
    struct queue *queue = item;

    selector_free(queue->selector);
    g_free(queue);
}

void
cell_free_quiet_hours(void *item)
{
    struct quiet_hours *hours = item;

    selector_free(hours->work_selector);
    selector_free(hours->target_selector);
    g_free(hours);
}

void
cell_put_team(struct cell *cell, const struct change_team *conf)
{
    struct team *team = cell_team(cell, conf->name);

    if (team == NULL) {
        team = g_new0(struct team, 1);
        team->grants = g_array_new(FALSE, TRUE, sizeof(struct grant));
        team->conf = *conf;
        g_hash_table_insert(cell->teams, team->conf.name, team);
    }
    team->conf = *conf;
    if (team->conf.weight == 0) {
        team->conf.weight = 1;
    }
}

static bool
team_in_use(const struct cell *cell, const struct team *team)
{
    GHashTableIter iter;
    struct job *job;
    struct change_key *key;

    g_hash_table_iter_init(&iter, cell->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        if (job->team == team) {
            return true;
        }
    }
    g_hash_table_iter_init(&iter, cell->keys_by_name);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&key)) {
        if (!key->withdrawn && strcmp(key->team, team->conf.name) == 0) {
            return true;
        }
    }
    return team->granted_units > 0;
}

void
cell_apply_team(struct cell *cell, uint64_t index, void *change,
                struct change_answer *answer)
{
    struct change_team *conf = change;
    struct team *team = cell_team(cell, conf->name);

    if (!check_name(conf->name, answer) ||
        !cell_check_version(answer, conf->check_version, conf->version,
                            team == NULL ? 0 : team->conf.version)) {
        return;
    }
    if (conf->remove) {
        if (team == NULL) {
            cell_refuse(answer, FP_ERR_NOT_FOUND, "no team %s", conf->name);
            return;
        }
        if (team_in_use(cell, team)) {
            cell_refuse(answer, FP_ERR_NOT_ALLOWED,
                        "team %s still has keys, jobs or requests",
                        conf->name);
            return;
        }
        g_hash_table_remove(cell->teams, conf->name);
    }
    else {
        conf->version = index;
        cell_put_team(cell, conf);
    }
    accept_config(cell, index, answer);
}

void
cell_put_key(struct cell *cell, const struct change_key *conf)
{
    struct change_key *key =
        g_hash_table_lookup(cell->keys_by_name, conf->name);

    if (key != NULL) {
        g_hash_table_remove(cell->keys_by_hash, key->hash);
    }
    else {
        key = g_new0(struct change_key, 1);
        *key = *conf;
        g_hash_table_insert(cell->keys_by_name, key->name, key);
    }
    *key = *conf;
    g_hash_table_insert(cell->keys_by_hash, key->hash, key);
}

void
cell_apply_key(struct cell *cell, uint64_t index, void *change,
               struct change_answer *answer)
{
    struct change_key *conf = change;
    const struct change_key *key =
        g_hash_table_lookup(cell->keys_by_name, conf->name);
    const struct change_key *same_hash;

    if (!check_name(conf->name, answer) ||
        !cell_check_version(answer, conf->check_version, conf->version,
                            key == NULL ? 0 : key->version)) {
        return;
    }
    if (key != NULL && conf->hash[0] == '\0') {
        g_strlcpy(conf->hash, key->hash, sizeof(conf->hash));
    }
    if (key != NULL && conf->team[0] == '\0') {
        g_strlcpy(conf->team, key->team, sizeof(conf->team));
    }
    same_hash = g_hash_table_lookup(cell->keys_by_hash, conf->hash);
    if (strlen(conf->hash) != 64) {
        cell_refuse(answer, FP_ERR_BAD_REQUEST,
                    "field hash: needs 64 hexadecimal digits");
        return;
    }
    if (same_hash != NULL && same_hash != key) {
        cell_refuse(answer, FP_ERR_BAD_REQUEST,
                    "field hash: key %s has this secret", same_hash->name);
        return;
    }
    if (cell_team(cell, conf->team) == NULL) {
        cell_refuse(answer, FP_ERR_NOT_FOUND, "field team: no team '%s'",
                    conf->team);
        return;
    }
    conf->version = index;
    cell_put_key(cell, conf);
    accept_config(cell, index, answer);
}

static uint64_t
request_max_ms(const struct queue *queue)
{
    return queue->conf.request_max_ms ? queue->conf.request_max_ms
                                      : DEFAULT_REQUEST_MAX_MS;
}

uint64_t
cell_longest_request_ms(const struct cell *cell)
{
    GHashTableIter iter;
    struct queue *queue;
    uint64_t max_ms =
        cell->now_ms < cell->former_until_ms ? cell->former_request_ms : 0;

    g_hash_table_iter_init(&iter, cell->queues);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&queue)) {
        max_ms = MAX(max_ms, request_max_ms(queue));
    }
    return MAX(max_ms, DEFAULT_REQUEST_MAX_MS);
}

/* A queue is about to change: requests that were accepted under its limit, by
 * hosts that do not know the change yet too, are still in flight. */
static void
keep_request_limit(struct cell *cell, const struct queue *queue)
{
    uint64_t limit_ms = queue != NULL ? request_max_ms(queue) : 0;

    if (cell->now_ms >= cell->former_until_ms) {
        cell->former_request_ms = 0;
    }
    cell->former_request_ms = MAX(cell->former_request_ms, limit_ms);
    cell->former_until_ms = MAX(cell->former_until_ms,
                                cell->now_ms + limit_ms + CONFIG_LAG_MAX_MS);
}

enum fp_err
cell_put_queue(struct cell *cell, const struct change_queue *conf, char *why,
               size_t why_bytes)
{
    struct queue *queue = cell_queue(cell, conf->name);
    struct selector *selector = NULL;
    enum fp_err err = labels_validate(conf->labels, why, why_bytes);

    if (err == FP_OK) {
        err = selector_new(conf->selector, &selector, why, why_bytes);
    }
    if (err != FP_OK) {
        return err;
    }
    if (queue == NULL) {
        queue = g_new0(struct queue, 1);
        queue->conf = *conf;
        g_hash_table_insert(cell->queues, queue->conf.name, queue);
    }
    selector_free(queue->selector);
    queue->selector = selector;
    queue->conf = *conf;
    return FP_OK;
}

/* Sets job->queue to NULL in all jobs of a queue that is to be removed.
 * Returns false, and changes nothing, when one of them still has unfinished
 * tasks.
 */
static bool
detach_jobs(struct cell *cell, const struct queue *queue)
{
    GHashTableIter iter;
    struct job *job;

    g_hash_table_iter_init(&iter, cell->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        if (job->queue == queue && job->unfinished_tasks > 0) {
            return false;
        }
    }
    g_hash_table_iter_init(&iter, cell->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        if (job->queue == queue) {
            job->queue = NULL;
        }
    }
    return true;
}

void
cell_apply_queue(struct cell *cell, uint64_t index, void *change,
                 struct change_answer *answer)
{
    struct change_queue *conf = change;
    const struct queue *queue = cell_queue(cell, conf->name);
    enum fp_err err;

    if (!check_name(conf->name, answer) ||
        !cell_check_version(answer, conf->check_version, conf->version,
                            queue == NULL ? 0 : queue->conf.version)) {
        return;
    }
    if (conf->team[0] != '\0' && cell_team(cell, conf->team) == NULL) {
        cell_refuse(answer, FP_ERR_NOT_FOUND, "field team: no team '%s'",
                    conf->team);
        return;
    }
    if (conf->remove) {
        if (queue == NULL) {
            cell_refuse(answer, FP_ERR_NOT_FOUND, "no queue %s", conf->name);
            return;
        }
        if (!detach_jobs(cell, queue)) {
            cell_refuse(answer, FP_ERR_NOT_ALLOWED,
                        "queue %s still has open jobs", conf->name);
            return;
        }
        keep_request_limit(cell, queue);
        g_hash_table_remove(cell->queues, conf->name);
    }
    else {
        conf->version = index;
        keep_request_limit(cell, queue);
        err =
            cell_put_queue(cell, conf, answer->detail, sizeof(answer->detail));
        if (err != FP_OK) {
            answer->err = err;
            return;
        }
    }
    accept_config(cell, index, answer);
}

enum fp_err
cell_put_quiet_hours(struct cell *cell, const struct change_quiet_hours *conf,
                     char *why, size_t why_bytes)
{
    struct quiet_hours *hours =
        g_hash_table_lookup(cell->quiet_hours, conf->name);
    struct selector *work_selector = NULL;
    struct selector *target_selector = NULL;
    enum fp_err err =
        selector_new(conf->selector, &work_selector, why, why_bytes);

    if (err == FP_OK) {
        err = selector_new(conf->hosts, &target_selector, why, why_bytes);
    }
    if (err != FP_OK) {
        selector_free(work_selector);
        return err;
    }
    if (hours == NULL) {
        hours = g_new0(struct quiet_hours, 1);
        hours->conf = *conf;
        g_hash_table_insert(cell->quiet_hours, hours->conf.name, hours);
    }
    selector_free(hours->work_selector);
    selector_free(hours->target_selector);
    hours->conf = *conf;
    hours->work_selector = work_selector;
    hours->target_selector = target_selector;
    return FP_OK;
}

void
cell_apply_quiet_hours(struct cell *cell, uint64_t index, void *change,
                       struct change_answer *answer)
{
    struct change_quiet_hours *conf = change;
    const struct quiet_hours *hours =
        g_hash_table_lookup(cell->quiet_hours, conf->name);
    enum fp_err err;

    if (!check_name(conf->name, answer) ||
        !cell_check_version(answer, conf->check_version, conf->version,
                            hours == NULL ? 0 : hours->conf.version)) {
        return;
    }
    if (conf->remove) {
        if (!g_hash_table_remove(cell->quiet_hours, conf->name)) {
            cell_refuse(answer, FP_ERR_NOT_FOUND, "no rule %s", conf->name);
            return;
        }
    }
    else {
        conf->version = index;
        err = cell_put_quiet_hours(cell, conf, answer->detail,
                                   sizeof(answer->detail));
        if (err != FP_OK) {
            answer->err = err;
            return;
        }
    }
    accept_config(cell, index, answer);
}

void
cell_free_target(void *item)
{
    struct target *target = item;

    g_free(target->labels);
    g_free(target);
}

/* Rebuilds the text of all labels of a target: the built-in ones, those given
 * by operators and those it announced.
 */
static void
build_labels(struct target *target)
{
    const struct change_target *rec = &target->rec;

    g_free(target->labels);
    target->labels = g_strdup_printf(
        "target=%s,data-centre=%s,rack=%s%s%s%s%s", rec->name,
        rec->data_centre, rec->rack, rec->given_labels[0] ? "," : "",
        rec->given_labels, rec->labels[0] ? "," : "", rec->labels);
}

struct target *
cell_put_target(struct cell *cell, const struct change_target *rec)
{
    struct target *target = cell_target(cell, rec->name);

    if (target == NULL) {
        target = g_new0(struct target, 1);
        target->rec = *rec;
        g_hash_table_insert(cell->targets, target->rec.name, target);
    }
    target->rec = *rec;
    build_labels(target);
    return target;
}

void
cell_apply_labels(struct cell *cell, uint64_t index, void *change,
                  struct change_answer *answer)
{
    struct change_labels *conf = change;
    struct target *target = cell_target(cell, conf->target);

    if (target == NULL) {
        cell_refuse(answer, FP_ERR_NOT_FOUND, "no target '%s'", conf->target);
        return;
    }
    if (!cell_check_version(answer, conf->check_version, conf->version,
                            target->rec.labels_version)) {
        return;
    }
    answer->err =
        labels_validate(conf->labels, answer->detail, sizeof(answer->detail));
    if (answer->err != FP_OK) {
        return;
    }
    g_strlcpy(target->rec.given_labels, conf->labels,
              sizeof(target->rec.given_labels));
    target->rec.labels_version = index;
    build_labels(target);
    cell_notify_target(cell, target);
    accept_config(cell, index, answer);
}
