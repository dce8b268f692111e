/* schedline.c -- waiting lines: by team and shape of work, gangs as a whole
 *
 * A line is a doubly linked list, so that entering, leaving and cancelling
 * cost the same however long it is.
 */
#include "core/schedpriv.h"

static char *
class_key(const struct job *job, const struct domain *domain)
{
    const struct change_submit *rec = &job->rec;

    return g_strdup_printf("%s\n%u\n%u\n%u\n%u\n%s", rec->team, rec->kind,
                           rec->cpu_milli, rec->memory_mb, rec->accel,
                           domain->key);
}

static struct work_class *
class_of(struct sched *sched, struct job *job)
{
    struct domain *domain = sched_domain(sched, job);
    char *key = class_key(job, domain);
    struct work_class *cls = g_hash_table_lookup(sched->classes, key);

    if (cls != NULL) {
        g_free(key);
        return cls;
    }
    cls = g_new0(struct work_class, 1);
    cls->key = key;
    cls->team = job->team;
    cls->domain = domain;
    cls->size = job->rec;
    cls->size.payload.data = NULL;
    cls->size.payload.size_bytes = 0;
    domain->users++;
    g_hash_table_insert(sched->classes, cls->key, cls);
    return cls;
}

/* Puts a wait in line: at the end, or at its front when it was there before.
 */
void
sched_link_wait(struct sched *sched, struct wait *wait, bool front)
{
    struct work_class *cls = wait->cls;

    if (cls->count == 0) {
        g_ptr_array_add(sched_team_of(sched, cls->team)->classes, cls);
        cls->blocked_since_ms = 0;
    }
    if (front) {
        wait->next = cls->first;
        wait->prev = NULL;
    }
    else {
        wait->prev = cls->last;
        wait->next = NULL;
    }
    if (wait->prev != NULL) {
        wait->prev->next = wait;
    }
    else {
        cls->first = wait;
    }
    if (wait->next != NULL) {
        wait->next->prev = wait;
    }
    else {
        cls->last = wait;
    }
    cls->count++;
    cls->block = SCHED_BLOCK_NONE;
    cls->seen_freed = 0;
}

void
sched_unlink_wait(struct sched *sched, struct wait *wait)
{
    struct work_class *cls = wait->cls;

    if (wait->prev != NULL) {
        wait->prev->next = wait->next;
    }
    else {
        cls->first = wait->next;
    }
    if (wait->next != NULL) {
        wait->next->prev = wait->prev;
    }
    else {
        cls->last = wait->prev;
    }
    cls->count--;
    if (cls->count == 0) {
        g_ptr_array_remove_fast(sched_team_of(sched, cls->team)->classes, cls);
    }
}

static gint
by_retry(gconstpointer a, gconstpointer b, gpointer ctx)
{
    uint64_t x = ((const struct wait *)a)->task->retry_at_ms;
    uint64_t y = ((const struct wait *)b)->task->retry_at_ms;

    (void)ctx;
    return x < y ? -1 : x > y;
}

static struct wait *
enter_wait(struct sched *sched, struct task *task)
{
    struct wait *wait = g_new0(struct wait, 1);

    wait->task = task;
    wait->cls = class_of(sched, task->job);
    wait->cls->users++;
    if (wait->cls->size.accel > 0) {
        sched_note_accel_work(sched, &wait->cls->size);
    }
    if (task->retry_at_ms > sched->wall_ms) {
        wait->delayed =
            g_sequence_insert_sorted(sched->delayed, wait, by_retry, NULL);
    }
    else {
        sched_link_wait(sched, wait, task->attempt > 0);
    }
    return wait;
}

void
sched_leave_wait(struct sched *sched, struct wait *wait)
{
    if (wait->delayed != NULL) {
        g_sequence_remove(wait->delayed);
    }
    else if (!wait->proposed) {
        sched_unlink_wait(sched, wait);
    }
    wait->cls->users--;
    g_free(wait);
}

void
sched_release_delayed(struct sched *sched)
{
    GSequenceIter *iter = g_sequence_get_begin_iter(sched->delayed);

    while (!g_sequence_iter_is_end(iter)) {
        struct wait *wait = g_sequence_get(iter);

        if (wait->task->retry_at_ms > sched->wall_ms) {
            return;
        }
        g_sequence_remove(iter);
        wait->delayed = NULL;
        sched_link_wait(sched, wait, true);
        iter = g_sequence_get_begin_iter(sched->delayed);
    }
}

struct gang *
sched_gang_of(struct job *job)
{
    if (job->sched == NULL) {
        job->sched = g_new0(struct gang, 1);
    }
    return job->sched;
}

/* The first task that has not ended stands for its gang in line. */
static struct task *
first_open(struct job *job)
{
    for (uint32_t i = 0; i < job->rec.count; i++) {
        if (job->tasks[i].state == TASK_WAITING) {
            return &job->tasks[i];
        }
    }
    return NULL;
}

void
sched_update_gang_line(struct sched *sched, struct job *job)
{
    struct gang *gang = sched_gang_of(job);
    bool ready = gang->waiting > 0 && gang->running == 0;

    if (ready && gang->wait == NULL) {
        gang->wait = enter_wait(sched, first_open(job));
    }
    else if (!ready && gang->wait != NULL && !gang->wait->proposed) {
        sched_leave_wait(sched, gang->wait);
        gang->wait = NULL;
    }
}

/* One task of a gang ended badly: the others yield, and all start again. */
static void
yield_gang(struct sched *sched, struct job *job)
{
    for (uint32_t i = 0; i < job->rec.count; i++) {
        if (job->tasks[i].state == TASK_RUNNING) {
            sched_yield_task(sched, &job->tasks[i], SCHED_CHECKPOINT);
        }
    }
}

void
sched_gang_changed(struct sched *sched, struct task *task, enum task_state was,
                   bool entered)
{
    struct gang *gang = sched_gang_of(task->job);

    if (!entered && was == TASK_WAITING && gang->waiting > 0) {
        gang->waiting--;
    }
    if (!entered && was == TASK_RUNNING && gang->running > 0) {
        gang->running--;
    }
    if (task->state == TASK_WAITING) {
        gang->waiting++;
    }
    if (task->state == TASK_RUNNING) {
        gang->running++;
    }
    if (gang->wait != NULL && (gang->wait->proposed || gang->running > 0 ||
                               gang->wait->task->state != TASK_WAITING)) {
        sched_leave_wait(sched, gang->wait);
        gang->wait = NULL;
    }
    if (was == TASK_RUNNING && task->state == TASK_WAITING) {
        yield_gang(sched, task->job);
    }
    sched_update_gang_line(sched, task->job);
    if (sched->reserved_for == task->job && gang->running > 0) {
        sched_release_reservation(sched);
    }
}

void
sched_single_changed(struct sched *sched, struct task *task)
{
    struct wait *wait = task->sched;

    if (wait != NULL && (task->state != TASK_WAITING || wait->proposed)) {
        sched_leave_wait(sched, wait);
        task->sched = NULL;
        wait = NULL;
    }
    if (task->state == TASK_WAITING && wait == NULL) {
        task->sched = enter_wait(sched, task);
    }
}
