/* fleetsave.c -- snapshots of a fleet's state */
#include <string.h>

#include "core/fleetpriv.h"

void
fleet_add_snapshot_item(struct fleet_snapshot *snap,
                        const struct fp_schema *schema, const void *record)
{
    struct fleet_snapshot_item *item =
        fp_list_add(&snap->items, sizeof(*item));

    fp_encode(schema, record, &item->record);
}

static void
save_failures(struct fleet_task_saved *saved, const struct failures *failures)
{
    saved->failures = failures->count;
    saved->failed_run = failures_highest_run(failures);
    for (uint32_t i = 0; i < failures->run_count; i++) {
        struct fleet_failed_run *run =
            fp_list_add(&saved->failed_runs, sizeof(*run));

        run->run = failures->runs[i];
    }
}

/* A snapshot without the numbers of the failed runs has only the highest. */
static void
load_failures(struct failures *failures, const struct fleet_task_saved *saved)
{
    const struct fleet_failed_run *run = saved->failed_runs.items;

    for (uint32_t i = 0; i < saved->failed_runs.count; i++) {
        failures_add(failures, run[i].run);
    }
    if (saved->failed_runs.count == 0) {
        failures->counted_up_to = saved->failed_run;
    }
    failures->count = MIN(saved->failures, FAILURES_MAX);
}

static void
save_crashes(struct fleet_task_saved *saved, const struct crashes *crashes)
{
    for (uint32_t i = 0; i < crashes->count; i++) {
        struct fleet_crash_saved *entry =
            fp_list_add(&saved->crashes, sizeof(*entry));

        entry->run = crashes->entries[i].run;
        entry->evidence = crashes->entries[i].evidence;
    }
    saved->crash_cleared_run = crashes->cleared_run;
    saved->crash_ran_ms = crashes->ran_ms;
}

static struct crashes *
load_crashes(const struct fleet_task_saved *saved)
{
    const struct fleet_crash_saved *entry = saved->crashes.items;
    struct crashes *crashes;

    if (saved->crashes.count == 0 && saved->crash_cleared_run == 0) {
        return NULL;
    }
    crashes = g_new0(struct crashes, 1);
    crashes->cleared_run = saved->crash_cleared_run;
    for (uint32_t i = 0; i < saved->crashes.count; i++) {
        crashes_add(crashes, entry[i].run, entry[i].evidence,
                    saved->crash_ran_ms);
    }
    return crashes;
}

static void
save_job(struct fleet_snapshot *snap, const struct fleet_job *job)
{
    struct fleet_job_saved saved = {
        .submit = job->submit, .state = job->state, .ended_ms = job->ended_ms};

    for (uint32_t i = 0; job->tasks != NULL && i < job->task_count; i++) {
        const struct fleet_task *task = &job->tasks[i];
        struct fleet_task_saved *saved_task;

        if (!task->done && task->failures.count == 0 &&
            task->crashes == NULL && task->checkpoint == NULL) {
            continue;
        }
        saved_task = fp_list_add(&saved.tasks, sizeof(*saved_task));
        saved_task->number = i;
        saved_task->done = task->done;
        save_failures(saved_task, &task->failures);
        if (task->crashes != NULL) {
            save_crashes(saved_task, task->crashes);
        }
        if (task->checkpoint != NULL) {
            g_strlcpy(saved_task->checkpoint, task->checkpoint,
                      sizeof(saved_task->checkpoint));
        }
    }
    fleet_save_services(job, &saved.services);
    fleet_add_snapshot_item(snap, &FLEET_JOB_SAVED_SCHEMA, &saved);
    for (uint32_t i = 0; i < saved.tasks.count; i++) {
        struct fleet_task_saved *saved_task = saved.tasks.items;

        g_free(saved_task[i].failed_runs.items);
        g_free(saved_task[i].crashes.items);
    }
    g_free(saved.tasks.items);
    g_free(saved.services.items);
}

static void
save_shares(struct fleet_snapshot *snap, const struct fleet *fleet)
{
    GHashTableIter iter;
    const struct fleet_team *team;

    g_hash_table_iter_init(&iter, fleet->teams);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
        struct fleet_share_saved *saved;

        if (team->share.updated_ms == 0) {
            continue;
        }
        saved = fp_list_add(&snap->shares, sizeof(*saved));
        g_strlcpy(saved->team, team->name, sizeof(saved->team));
        saved->tokens_micro = team->share.tokens_micro;
        saved->updated_ms = team->share.updated_ms;
    }
}

static void
load_shares(struct fleet *fleet, const struct fleet_snapshot *snap)
{
    const struct fleet_share_saved *saved = snap->shares.items;

    for (uint32_t i = 0; i < snap->shares.count; i++) {
        fleet_ensure_team(fleet, saved[i].team)->share =
            (struct share){saved[i].tokens_micro, saved[i].updated_ms};
    }
}

void
fleet_save(const struct fleet *fleet, struct fp_blob *out)
{
    struct fleet_snapshot snap = {.now_ms = fleet->now_ms,
                                  .lease_ms = fleet->lease_ms};
    GHashTableIter iter;
    struct fleet_target *target;
    struct fleet_job *job;

    fleet_add_snapshot_item(&snap, &FLEET_CONFIG_SCHEMA, &fleet->config);
    g_hash_table_iter_init(&iter, fleet->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        fleet_add_snapshot_item(&snap, &FLEET_TARGET_SCHEMA, &target->rec);
    }
    fleet_save_data_centres(fleet, &snap);
    g_hash_table_iter_init(&iter, fleet->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        if (fleet_job_is_live(job)) {
            save_job(&snap, job);
        }
    }
    for (GList *link = fleet->ended_jobs.head; link != NULL;
         link = link->next) {
        save_job(&snap, link->data);
    }
    save_shares(&snap, fleet);
    fleet_save_outages(fleet, &snap);
    fleet_save_removed_queues(fleet, &snap);
    fp_encode(&FLEET_SNAPSHOT_SCHEMA, &snap, out);
    fp_record_free(&FLEET_SNAPSHOT_SCHEMA, &snap);
}

static void
load_job(struct fleet *fleet, struct fleet_job_saved *saved)
{
    const struct fleet_task_saved *saved_task = saved->tasks.items;
    struct fleet_job *job = fleet_add_job(fleet, &saved->submit);

    for (uint32_t i = 0; i < saved->tasks.count; i++) {
        struct fleet_task *task;

        if (saved_task[i].number >= job->task_count) {
            continue;
        }
        task = &job->tasks[saved_task[i].number];
        load_failures(&task->failures, &saved_task[i]);
        task->crashes = load_crashes(&saved_task[i]);
        if (saved_task[i].checkpoint[0] != '\0') {
            task->checkpoint = g_strdup(saved_task[i].checkpoint);
        }
        if (saved_task[i].done) {
            task->done = true;
            job->tasks_left--;
        }
    }
    fleet_load_services(job, &saved->services);
    job->state = saved->state;
    job->ended_ms = saved->ended_ms;
    if (!fleet_job_is_live(job)) {
        g_queue_push_tail(&fleet->ended_jobs, job);
        fleet_drop_progress(job);
        fleet_count_job(fleet, job);
    }
}

static enum fp_err
load_item(struct fleet *fleet, const struct fp_blob *blob)
{
    struct fleet_job_saved saved;
    union fleet_change change;
    uint32_t type = 0;
    enum fp_err err = fp_peek_type(blob->data, blob->size_bytes, &type);

    memset(&saved, 0, sizeof(saved));
    memset(&change, 0, sizeof(change));
    if (err != FP_OK) {
        return err;
    }
    if (type == FLEET_JOB_SAVED) {
        err = fp_decode(&FLEET_JOB_SAVED_SCHEMA, blob->data, blob->size_bytes,
                        &saved);
        if (err == FP_OK) {
            load_job(fleet, &saved);
            fp_record_free(&FLEET_JOB_SAVED_SCHEMA, &saved);
        }
    }
    else if (type == FLEET_CONFIG || type == FLEET_TARGET) {
        struct change_answer answer = {.err = FP_OK};

        err = fp_decode(fleet_schema_of(type), blob->data, blob->size_bytes,
                        &change);
        if (err == FP_OK) {
            fleet_apply_decoded(fleet, type, &change, &answer);
            fp_record_free(fleet_schema_of(type), &change);
        }
    }
    else {
        err = FP_ERR_CORRUPT;
    }
    return err;
}

static void
load_data_centres(struct fleet *fleet, const struct fleet_snapshot *snap)
{
    const struct fleet_data_centre_saved *saved = snap->data_centres.items;

    for (uint32_t i = 0; i < snap->data_centres.count; i++) {
        fleet_load_data_centre(fleet, &saved[i]);
    }
}

/* Swaps the states of two fleets, except for their ops. */
static void
swap_states(struct fleet *a, struct fleet *b)
{
    struct fleet_ops ops = a->ops;
    struct fleet old_a = *a;

    *a = *b;
    a->ops = ops;
    ops = b->ops;
    *b = old_a;
    b->ops = ops;
}

enum fp_err
fleet_load(struct fleet *fleet, const struct fp_blob *state)
{
    struct fleet *loaded = fleet_new(fleet->retention_ms);
    struct fleet_snapshot snap = {.now_ms = 0};
    const struct fleet_snapshot_item *item;
    enum fp_err err = fp_decode(&FLEET_SNAPSHOT_SCHEMA, state->data,
                                state->size_bytes, &snap);

    if (err == FP_OK) {
        item = snap.items.items;
        loaded->now_ms = snap.now_ms;
        loaded->lease_ms = snap.lease_ms;
        loaded->share_window_ms = fleet->share_window_ms;
        fleet_load_removed_queues(loaded, &snap);
        for (uint32_t i = 0; i < snap.items.count && err == FP_OK; i++) {
            err = load_item(loaded, &item[i].record);
        }
        load_shares(loaded, &snap);
        load_data_centres(loaded, &snap);
        if (err == FP_OK) {
            err = fleet_load_outages(loaded, &snap);
        }
        fp_record_free(&FLEET_SNAPSHOT_SCHEMA, &snap);
    }
    if (err == FP_OK) {
        swap_states(fleet, loaded);
    }
    fleet_free(loaded);
    return err;
}
