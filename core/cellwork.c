/* cellwork.c -- targets, jobs, and the start and end of attempts */
#include <stdio.h>
#include <string.h>

#include "core/cellpriv.h"

/* A task is given up after so many attempts in a row that were lost with a
 * restart of their target, known within RESTART_WITHIN_MS of their start. */
#define RESTARTS_MAX 5u
#define RESTART_WITHIN_MS 60000u

static void
add_size(struct resources *to, const struct change_submit *size)
{
    to->running++;
    to->cpu_milli += size->cpu_milli;
    to->memory_mb += size->memory_mb;
    to->accel += size->accel;
}

static void
subtract_size(struct resources *from, const struct change_submit *size)
{
    from->running--;
    from->cpu_milli -= size->cpu_milli;
    from->memory_mb -= size->memory_mb;
    from->accel -= size->accel;
}

static void
set_task_state(struct cell *cell, struct task *task, enum task_state state)
{
    cell->state_counts[task->state]--;
    cell->state_counts[state]++;
    if (task->state == TASK_WAITING) {
        task->job->team->waiting--;
    }
    if (state == TASK_WAITING) {
        task->job->team->waiting++;
    }
    task->state = state;
}

static void
assign_to_target(struct task *task, struct target *target)
{
    task->target = target;
    task->prev_on_target = NULL;
    task->next_on_target = target->first_task;
    if (target->first_task != NULL) {
        target->first_task->prev_on_target = task;
    }
    target->first_task = task;
    add_size(&target->used, &task->job->rec);
    add_size(&task->job->team->used, &task->job->rec);
}

static void
remove_from_target(struct task *task)
{
    struct target *target = task->target;

    if (task->prev_on_target != NULL) {
        task->prev_on_target->next_on_target = task->next_on_target;
    }
    else {
        target->first_task = task->next_on_target;
    }
    if (task->next_on_target != NULL) {
        task->next_on_target->prev_on_target = task->prev_on_target;
    }
    task->prev_on_target = NULL;
    task->next_on_target = NULL;
    task->target = NULL;
    subtract_size(&target->used, &task->job->rec);
    subtract_size(&task->job->team->used, &task->job->rec);
}

/* Inserts the job into the ended jobs, which are sorted by end time, then ID.
 * Loading a snapshot must restore exactly this order: hosts that expired
 * different jobs would no longer hold the same state. Takes one step for each
 * job that ended in the same millisecond with a higher ID.
 */
static void
add_ended_job(struct cell *cell, struct job *job)
{
    GList *position = cell->ended_jobs.tail;

    while (position != NULL) {
        const struct job *other = position->data;

        if (other->ended_ms < job->ended_ms ||
            (other->ended_ms == job->ended_ms &&
             other->rec.id < job->rec.id)) {
            break;
        }
        position = position->prev;
    }
    g_queue_insert_after(&cell->ended_jobs, position, job);
}

static void
record_task_end(struct cell *cell, struct task *task, uint64_t ended_ms)
{
    struct job *job = task->job;

    task->ended_ms = ended_ms;
    job->ended_ms = MAX(job->ended_ms, ended_ms);
    job->unfinished_tasks--;
    if (job->unfinished_tasks == 0) {
        add_ended_job(cell, job);
    }
}

/* A limit of 0 means no limit. */
static bool
exceeds_limit(uint64_t limit, uint64_t used, uint64_t per_task, uint32_t count)
{
    return limit != 0 && used + per_task * count > limit;
}

bool
cell_within_limits(const struct team *team, const struct change_submit *size,
                   uint32_t count)
{
    const struct change_team *conf = &team->conf;
    uint64_t running = (uint64_t)team->used.running + team->granted_units;

    return !exceeds_limit(conf->limit_running, running, 1, count) &&
           !exceeds_limit(conf->limit_cpu_milli, team->used.cpu_milli,
                          size->cpu_milli, count) &&
           !exceeds_limit(conf->limit_memory_mb, team->used.memory_mb,
                          size->memory_mb, count) &&
           !exceeds_limit(conf->limit_accel, team->used.accel, size->accel,
                          count);
}

bool
cell_fits(const struct target *target, const struct change_submit *size)
{
    const struct change_target *rec = &target->rec;
    const struct resources *used = &target->used;

    return used->cpu_milli + size->cpu_milli <= rec->cpu_milli &&
           used->memory_mb + size->memory_mb <= rec->memory_mb &&
           used->accel + size->accel <= rec->accel;
}

bool
cell_selectors_match(const struct job *job, const struct target *target)
{
    return selector_match(job->selector, target->labels) &&
           (job->queue == NULL ||
            selector_match(job->queue->selector, target->labels));
}

/* Returns how many tasks of the job would fit on the target if it were empty.
 */
static uint64_t
max_tasks_on(const struct job *job, const struct target *target)
{
    const struct change_submit *size = &job->rec;
    const struct change_target *rec = &target->rec;
    uint64_t count = JOB_MAX_TASKS;

    if (!cell_selectors_match(job, target)) {
        return 0;
    }
    if (size->cpu_milli > 0) {
        count = MIN(count, rec->cpu_milli / size->cpu_milli);
    }
    if (size->memory_mb > 0) {
        count = MIN(count, rec->memory_mb / size->memory_mb);
    }
    if (size->accel > 0) {
        count = MIN(count, rec->accel / size->accel);
    }
    return count;
}

static bool
check_team_limits(const struct job *job, char *why, size_t why_bytes)
{
    uint32_t count = job->rec.kind == WORK_GANG ? job->rec.count : 1;
    struct team idle_team = {.conf = job->team->conf};

    if (cell_within_limits(&idle_team, &job->rec, count)) {
        return true;
    }
    snprintf(why, why_bytes,
             "team %s: its upper limit is below the size of this work",
             job->team->conf.name);
    return false;
}

enum fp_err
cell_check_feasible(const struct cell *cell, const struct job *job, char *why,
                    size_t why_bytes)
{
    uint32_t needed = job->rec.kind == WORK_GANG ? job->rec.count : 1;
    uint64_t possible = 0;
    GHashTableIter iter;
    struct target *target;

    if (selector_has_conflict(job->selector)) {
        snprintf(why, why_bytes, "field selector: its terms contradict");
        return FP_ERR_CANNOT_RUN;
    }
    if (!check_team_limits(job, why, why_bytes)) {
        return FP_ERR_CANNOT_RUN;
    }
    if (g_hash_table_size(cell->targets) == 0) {
        return FP_OK; /* no target has announced itself yet */
    }
    g_hash_table_iter_init(&iter, cell->targets);
    while (possible < needed &&
           g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        possible += max_tasks_on(job, target);
    }
    if (possible >= needed) {
        return FP_OK;
    }
    snprintf(why, why_bytes,
             "no known target holds this: %u task(s) of %u cpu_milli, %u MB, "
             "%u accel with these selectors; room for %u",
             needed, job->rec.cpu_milli, job->rec.memory_mb, job->rec.accel,
             (unsigned)possible);
    return FP_ERR_CANNOT_RUN;
}

void
cell_free_job(void *item)
{
    struct job *job = item;

    selector_free(job->selector);
    fp_blob_free(&job->rec.payload);
    g_free(job->tasks);
    g_free(job);
}

/* Creates a job without adding it to the cell. Takes over rec->payload.
 * Returns NULL when its team is unknown or its selector invalid.
 */
static struct job *
create_job(struct cell *cell, struct change_submit *rec, char *why,
           size_t why_bytes)
{
    struct job *job = g_new0(struct job, 1);

    job->team = cell_team(cell, rec->team);
    if (job->team == NULL ||
        selector_new(rec->selector, &job->selector, why, why_bytes) != FP_OK) {
        g_free(job);
        return NULL;
    }
    job->queue = cell_queue(cell, rec->queue);
    job->rec = *rec;
    rec->payload.data = NULL;
    rec->payload.size_bytes = 0;
    return job;
}

static void
add_job(struct cell *cell, struct job *job)
{
    job->tasks = g_new0(struct task, job->rec.count);
    job->unfinished_tasks = job->rec.count;
    for (uint32_t i = 0; i < job->rec.count; i++) {
        struct task *task = &job->tasks[i];

        task->job = job;
        task->id = job->rec.id * TASK_IDS_PER_JOB + i;
        task->state = TASK_WAITING;
        job->team->waiting++;
        cell->state_counts[TASK_WAITING]++;
    }
    g_hash_table_insert(cell->jobs, &job->rec.id, job);
}

struct job *
cell_restore_job(struct cell *cell, struct change_submit *rec)
{
    char why[160];
    struct job *job = create_job(cell, rec, why, sizeof(why));

    if (job != NULL) {
        add_job(cell, job);
    }
    return job;
}

void
cell_restore_task(struct cell *cell, const struct record_task *record)
{
    struct task *task = cell_task(cell, record->id);
    struct target *target = cell_target(cell, record->target);

    if (task == NULL) {
        return;
    }
    set_task_state(cell, task, record->state);
    task->attempt = record->attempt;
    task->failures = record->failures;
    task->restarts = record->restarts;
    task->exit_code = record->exit_code;
    task->last_outcome = record->last_outcome;
    task->started_ms = record->started_ms;
    task->retry_at_ms = record->retry_at_ms;
    task->cancelling = record->cancelling;
    if (task->state == TASK_RUNNING && target != NULL) {
        assign_to_target(task, target);
    }
    if (task->state != TASK_WAITING && task->state != TASK_RUNNING) {
        record_task_end(cell, task, record->ended_ms);
    }
}

/* Creates CELL_OPEN_TEAM the first time that work is charged to it. */
static void
ensure_open_team(struct cell *cell, const char *name)
{
    struct change_team conf = {.weight = 1};

    if (strcmp(name, CELL_OPEN_TEAM) == 0 && cell_team(cell, name) == NULL) {
        g_strlcpy(conf.name, name, sizeof(conf.name));
        cell_put_team(cell, &conf);
    }
}

/* Validates a submission and fills in its defaults. */
static bool
check_submit(struct cell *cell, struct change_submit *rec,
             struct change_answer *answer)
{
    const struct queue *queue = cell_queue(cell, rec->queue);
    const struct team *team;
    uint32_t max_waiting;

    if (queue == NULL) {
        cell_refuse(answer, FP_ERR_NOT_FOUND, "field queue: no queue '%s'",
                    rec->queue);
        return false;
    }
    if (rec->team[0] == '\0') {
        g_strlcpy(rec->team,
                  queue->conf.team[0] ? queue->conf.team : CELL_OPEN_TEAM,
                  sizeof(rec->team));
        ensure_open_team(cell, rec->team);
    }
    team = cell_team(cell, rec->team);
    if (team == NULL) {
        cell_refuse(answer, FP_ERR_NO_KEY, "no team '%s'", rec->team);
        return false;
    }
    rec->kind = queue->conf.kind;
    rec->count = MAX(rec->count, 1);
    if (rec->labels[0] == '\0') {
        g_strlcpy(rec->labels, queue->conf.labels, sizeof(rec->labels));
    }
    if (rec->cpu_milli == 0 && rec->memory_mb == 0 && rec->accel == 0) {
        cell_refuse(answer, FP_ERR_BAD_REQUEST,
                    "fields cpu_milli, memory_mb, accel: at least one must be "
                    "above 0");
        return false;
    }
    max_waiting = team->conf.max_waiting ? team->conf.max_waiting
                                         : DEFAULT_TEAM_MAX_WAITING;
    if (team->waiting + rec->count > max_waiting) {
        cell_refuse(answer, FP_ERR_BUSY,
                    "team %s has %u tasks waiting, at most %u may",
                    team->conf.name, team->waiting, max_waiting);
        return false;
    }
    answer->err =
        labels_validate(rec->labels, answer->detail, sizeof(answer->detail));
    return answer->err == FP_OK;
}

void
cell_apply_submit(struct cell *cell, uint64_t index, void *change,
                  struct change_answer *answer)
{
    struct change_submit *rec = change;
    struct job *job;

    if (!check_submit(cell, rec, answer)) {
        return;
    }
    rec->id = index;
    rec->submitted_ms = cell->now_ms;
    job = create_job(cell, rec, answer->detail, sizeof(answer->detail));
    if (job == NULL) {
        answer->err = FP_ERR_BAD_REQUEST;
        return;
    }
    answer->err =
        cell_check_feasible(cell, job, answer->detail, sizeof(answer->detail));
    if (answer->err != FP_OK) {
        cell_free_job(job);
        return;
    }
    add_job(cell, job);
    answer->id = index;
    for (uint32_t i = 0; i < job->rec.count; i++) {
        cell_notify_task(cell, &job->tasks[i], TASK_WAITING);
    }
}

/* Checks that the state still allows an attempt to start: the proposer may
 * have worked from stale state.
 */
static enum fp_err
check_placement(struct cell *cell, const struct place_item *item,
                struct change_answer *answer)
{
    const struct task *task = cell_task(cell, item->task_id);
    const struct target *target = cell_target(cell, item->target);
    unsigned long long id = item->task_id;

    if (task == NULL || target == NULL) {
        cell_refuse(answer, FP_ERR_NOT_FOUND, "task %llu or target '%s'", id,
                    item->target);
    }
    else if (task->state != TASK_WAITING || task->cancelling ||
             item->attempt != task->attempt + 1) {
        cell_refuse(answer, FP_ERR_STALE, "task %llu is %s, attempt %u", id,
                    TASK_STATE_NAMES[task->state], task->attempt);
    }
    else if (target->rec.state != TARGET_UP) {
        cell_refuse(answer, FP_ERR_NO_TARGET, "target %s is %s",
                    target->rec.name, TARGET_STATE_NAMES[target->rec.state]);
    }
    else if (!cell_selectors_match(task->job, target)) {
        cell_refuse(answer, FP_ERR_NOT_ALLOWED,
                    "target %s is not selected by task %llu", target->rec.name,
                    id);
    }
    else if (!cell_fits(target, &task->job->rec)) {
        cell_refuse(answer, FP_ERR_OVERCOMMIT,
                    "task %llu does not fit on target %s", id,
                    target->rec.name);
    }
    else if (!cell_within_limits(task->job->team, &task->job->rec, 1)) {
        cell_refuse(answer, FP_ERR_LIMIT, "team %s is at its limit",
                    task->job->team->conf.name);
    }
    return answer->err;
}

void
cell_apply_place(struct cell *cell, uint64_t index, void *change,
                 struct change_answer *answer)
{
    const struct fp_list *list = &((struct change_place *)change)->items;
    const struct place_item *items = list->items;
    uint32_t placed = 0;

    (void)index;
    while (placed < list->count) {
        struct task *task = cell_task(cell, items[placed].task_id);

        if (check_placement(cell, &items[placed], answer) != FP_OK) {
            break;
        }
        assign_to_target(task, cell_target(cell, items[placed].target));
        set_task_state(cell, task, TASK_RUNNING);
        placed++;
    }
    if (answer->err != FP_OK) {
        /* All of the items are applied, or none of them. */
        while (placed > 0) {
            struct task *task = cell_task(cell, items[--placed].task_id);

            remove_from_target(task);
            set_task_state(cell, task, TASK_WAITING);
        }
        return;
    }
    for (uint32_t i = 0; i < list->count; i++) {
        struct task *task = cell_task(cell, items[i].task_id);

        task->attempt = items[i].attempt;
        task->started_ms = cell->now_ms;
        cell_notify_task(cell, task, TASK_WAITING);
    }
}

static uint32_t
max_attempts(const struct job *job)
{
    return job->rec.max_attempts ? job->rec.max_attempts
                                 : DEFAULT_MAX_ATTEMPTS;
}

/* Returns the state of a task after an attempt with this outcome. A failed
 * service is always started again, whatever its number of attempts, unless it
 * seems to crash its targets.
 */
static enum task_state
state_after_attempt(const struct task *task, enum end_outcome outcome)
{
    if (task->cancelling) {
        return outcome == END_DONE ? TASK_DONE : TASK_CANCELLED;
    }
    if (outcome == END_DONE) {
        return TASK_DONE;
    }
    if (outcome == END_LOST && task->restarts >= RESTARTS_MAX) {
        return TASK_FAILED;
    }
    if (outcome == END_FAILED && task->job->rec.kind != WORK_SERVICE &&
        task->failures >= max_attempts(task->job)) {
        return TASK_FAILED;
    }
    return TASK_WAITING;
}

static void
end_attempt(struct cell *cell, struct task *task, enum end_outcome outcome,
            uint32_t exit_code, uint64_t retry_at_ms)
{
    struct target *target = task->target;
    enum task_state state;

    remove_from_target(task);
    task->last_outcome = outcome;
    task->exit_code = exit_code;
    task->retry_at_ms = retry_at_ms;
    if (outcome == END_FAILED) {
        task->failures++;
    }
    if (outcome != END_LOST) {
        task->restarts = 0;
    }
    state = state_after_attempt(task, outcome);
    set_task_state(cell, task, state);
    if (state != TASK_WAITING) {
        record_task_end(cell, task, cell->now_ms);
    }
    if (cell->ops.attempt_ended != NULL) {
        cell->ops.attempt_ended(cell->ops.ctx, task, target);
    }
    cell_notify_task(cell, task, TASK_RUNNING);
}

void
cell_apply_end(struct cell *cell, uint64_t index, void *change,
               struct change_answer *answer)
{
    const struct fp_list *list = &((struct change_end *)change)->items;
    const struct end_item *items = list->items;

    (void)index;
    for (uint32_t i = 0; i < list->count; i++) {
        struct task *task = cell_task(cell, items[i].task_id);

        if (task == NULL || task->state != TASK_RUNNING ||
            task->attempt != items[i].attempt) {
            answer->err = FP_ERR_STALE;
            continue;
        }
        end_attempt(cell, task, items[i].outcome, items[i].exit_code,
                    items[i].retry_at_ms);
    }
}

/* Cancels a waiting task, or marks a running one to be stopped. Returns the
 * number of tasks cancelled: 0 or 1.
 */
static uint64_t
cancel_task(struct cell *cell, struct task *task)
{
    if (task->state == TASK_WAITING) {
        set_task_state(cell, task, TASK_CANCELLED);
        record_task_end(cell, task, cell->now_ms);
        cell_notify_task(cell, task, TASK_WAITING);
        return 1;
    }
    if (task->state == TASK_RUNNING && !task->cancelling) {
        task->cancelling = true;
        cell_notify_task(cell, task, TASK_RUNNING);
        return 1;
    }
    return 0;
}

static uint64_t
cancel_job(struct cell *cell, struct job *job)
{
    uint64_t count = 0;

    for (uint32_t i = 0; i < job->rec.count; i++) {
        count += cancel_task(cell, &job->tasks[i]);
    }
    return count;
}

/* An empty team matches every job. */
static bool
team_matches(const struct job *job, const char *team)
{
    return team[0] == '\0' || strcmp(job->rec.team, team) == 0;
}

static gint
compare_job_ids(gconstpointer a, gconstpointer b)
{
    uint64_t x = ((const struct job *)a)->rec.id;
    uint64_t y = ((const struct job *)b)->rec.id;

    return x < y ? -1 : x > y;
}

/* Cancels in order of job ID, so that the callbacks are called in the same
 * order on every host. Returns the number of tasks cancelled.
 */
static uint64_t
cancel_queue(struct cell *cell, const struct change_cancel *cancel)
{
    GList *jobs =
        g_list_sort(g_hash_table_get_values(cell->jobs), compare_job_ids);
    uint64_t count = 0;

    for (GList *link = jobs; link != NULL; link = link->next) {
        struct job *job = link->data;

        if (strcmp(job->rec.queue, cancel->queue) == 0 &&
            team_matches(job, cancel->team)) {
            count += cancel_job(cell, job);
        }
    }
    g_list_free(jobs);
    return count;
}

void
cell_apply_cancel(struct cell *cell, uint64_t index, void *change,
                  struct change_answer *answer)
{
    const struct change_cancel *cancel = change;
    struct job *job = cell_job(cell, cancel->id);
    struct task *task = cell_task(cell, cancel->id);

    (void)index;
    if (cancel->id == 0) {
        answer->id = cancel_queue(cell, cancel);
    }
    else if (job != NULL && team_matches(job, cancel->team)) {
        answer->id = cancel_job(cell, job);
    }
    else if (task != NULL && team_matches(task->job, cancel->team)) {
        answer->id = cancel_task(cell, task);
    }
    else {
        cell_refuse(answer, FP_ERR_NOT_FOUND, "no job or task %llu",
                    (unsigned long long)cancel->id);
    }
}

void
cell_expire_jobs(struct cell *cell)
{
    struct job *job = g_queue_peek_head(&cell->ended_jobs);

    while (job != NULL &&
           (job->ended_ms + CELL_ENDED_JOB_RETENTION_MS < cell->now_ms ||
            g_queue_get_length(&cell->ended_jobs) > CELL_ENDED_JOBS_MAX)) {
        g_queue_pop_head(&cell->ended_jobs);
        if (cell->ops.job_removed != NULL) {
            cell->ops.job_removed(cell->ops.ctx, job);
        }
        g_hash_table_remove(cell->jobs, &job->rec.id);
        job = g_queue_peek_head(&cell->ended_jobs);
    }
}

/* Ends the attempts of a target's previous run; its restart proves that they
 * no longer run.
 */
static void
end_lost_attempts(struct cell *cell, struct target *target)
{
    while (target->first_task != NULL) {
        struct task *task = target->first_task;

        if (cell->now_ms < task->started_ms + RESTART_WITHIN_MS) {
            task->restarts++;
        }
        else {
            task->restarts = 0;
        }
        end_attempt(cell, task, END_LOST, 0, 0);
    }
}

static bool
check_announcement(const struct change_target *rec,
                   struct change_answer *answer)
{
    if (rec->name[0] == '\0' || strpbrk(rec->name, ",=|! \n") != NULL) {
        cell_refuse(answer, FP_ERR_BAD_REQUEST,
                    "field name: '%.60s' is no name for a target", rec->name);
        return false;
    }
    if (rec->run_id == 0) {
        cell_refuse(answer, FP_ERR_BAD_REQUEST,
                    "field run_id: must differ at each start, above 0");
        return false;
    }
    answer->err =
        labels_validate(rec->labels, answer->detail, sizeof(answer->detail));
    return answer->err == FP_OK;
}

/* Copies the fields that the system sets from the old record: an announcement
 * of the target does not change them.
 */
static void
keep_system_fields(struct change_target *rec, const struct change_target *old)
{
    rec->owner_run = old->owner_run;
    rec->owner_epoch = old->owner_epoch;
    rec->owner_clean = old->owner_clean;
    rec->was_owned = old->was_owned;
    rec->labels_version = old->labels_version;
    memcpy(rec->owner_host, old->owner_host, sizeof(rec->owner_host));
    memcpy(rec->given_labels, old->given_labels, sizeof(rec->given_labels));
}

void
cell_apply_target(struct cell *cell, uint64_t index, void *change,
                  struct change_answer *answer)
{
    struct change_target *rec = change;
    struct target *target = cell_target(cell, rec->name);

    if (!check_announcement(rec, answer)) {
        return;
    }
    if (target != NULL) {
        if (target->rec.run_id != rec->run_id) {
            end_lost_attempts(cell, target);
        }
        else if (rec->cpu_milli < target->used.cpu_milli ||
                 rec->memory_mb < target->used.memory_mb ||
                 rec->accel < target->used.accel) {
            cell_refuse(answer, FP_ERR_OVERCOMMIT,
                        "target %s: committed work is above the new size",
                        rec->name);
            return;
        }
        if (target->rec.run_id == rec->run_id &&
            target->rec.state == TARGET_LEAVING) {
            /* Like a heartbeat, another announcement of the same run does not
             * change the state of a target that is leaving. */
            rec->state = TARGET_LEAVING;
        }
        keep_system_fields(rec, &target->rec);
    }
    if (rec->slots == 0) {
        rec->slots = DEFAULT_SLOTS;
    }
    rec->version = index;
    answer->version = index;
    cell_notify_target(cell, cell_put_target(cell, rec));
}

void
cell_apply_target_state(struct cell *cell, uint64_t index, void *change,
                        struct change_answer *answer)
{
    const struct change_target_state *update = change;
    struct target *target = cell_target(cell, update->name);

    if (target == NULL) {
        cell_refuse(answer, FP_ERR_NOT_FOUND, "no target '%s'", update->name);
        return;
    }
    if (update->run_id != 0 && update->run_id != target->rec.run_id) {
        cell_refuse(answer, FP_ERR_STALE, "target %s has started anew",
                    update->name);
        return;
    }
    target->rec.state = update->state;
    target->rec.version = index;
    answer->version = index;
    cell_notify_target(cell, target);
}

void
cell_apply_task_lease(struct cell *cell, uint64_t index, void *change,
                      struct change_answer *answer)
{
    const struct change_task_lease *lease = change;

    cell->task_lease_ms = lease->lease_ms;
    answer->version = index;
}
