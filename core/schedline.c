/* schedline.c -- queues of waiting work, one for each work class
 *
 * A gang is queued as one entry. A queue is a doubly linked list, so that
 * adding, removing and cancelling take constant time.
 */
#include "core/schedpriv.h"

static char *
class_key(const struct job *job, const struct candidate_set *candidates)
{
    const struct change_submit *rec = &job->rec;

    return g_strdup_printf("%s\n%u\n%u\n%u\n%u\n%s", rec->team, rec->kind,
                           rec->cpu_milli, rec->memory_mb, rec->accel,
                           candidates->key);
}

static struct work_class *
get_class(struct sched *sched, struct job *job)
{
    struct candidate_set *candidates = sched_get_candidates(sched, job);
    char *key = class_key(job, candidates);
    struct work_class *cls = g_hash_table_lookup(sched->classes, key);

    if (cls != NULL) {
        g_free(key);
        return cls;
    }
    cls = g_new0(struct work_class, 1);
    cls->key = key;
    cls->team = job->team;
    cls->candidates = candidates;
    cls->size = job->rec;
    cls->size.payload.data = NULL;
    cls->size.payload.size_bytes = 0;
    candidates->refs++;
    g_hash_table_insert(sched->classes, cls->key, cls);
    return cls;
}

void
sched_enqueue(struct sched *sched, struct wait_entry *wait, bool front)
{
    struct work_class *cls = wait->cls;

    if (cls->queue_length == 0) {
        g_ptr_array_add(sched_get_team(sched, cls->team)->classes, cls);
        cls->blocked_since_ms = 0;
    }
    if (front) {
        wait->next = cls->head;
        wait->prev = NULL;
    }
    else {
        wait->prev = cls->tail;
        wait->next = NULL;
    }
    if (wait->prev != NULL) {
        wait->prev->next = wait;
    }
    else {
        cls->head = wait;
    }
    if (wait->next != NULL) {
        wait->next->prev = wait;
    }
    else {
        cls->tail = wait;
    }
    cls->queue_length++;
    cls->block = SCHED_BLOCK_NONE;
    cls->freed_count_at_block = 0;
}

void
sched_dequeue(struct sched *sched, struct wait_entry *wait)
{
    struct work_class *cls = wait->cls;

    if (wait->prev != NULL) {
        wait->prev->next = wait->next;
    }
    else {
        cls->head = wait->next;
    }
    if (wait->next != NULL) {
        wait->next->prev = wait->prev;
    }
    else {
        cls->tail = wait->prev;
    }
    cls->queue_length--;
    if (cls->queue_length == 0) {
        g_ptr_array_remove_fast(sched_get_team(sched, cls->team)->classes,
                                cls);
    }
}

static gint
compare_retry_at(gconstpointer a, gconstpointer b, gpointer ctx)
{
    uint64_t x = ((const struct wait_entry *)a)->task->retry_at_ms;
    uint64_t y = ((const struct wait_entry *)b)->task->retry_at_ms;

    (void)ctx;
    return x < y ? -1 : x > y;
}

static struct wait_entry *
add_wait(struct sched *sched, struct task *task)
{
    struct wait_entry *wait = g_new0(struct wait_entry, 1);

    wait->task = task;
    wait->cls = get_class(sched, task->job);
    wait->cls->refs++;
    if (wait->cls->size.accel > 0) {
        sched_record_accel_work(sched, &wait->cls->size);
    }
    if (task->retry_at_ms > sched->wall_ms) {
        wait->backoff_iter = g_sequence_insert_sorted(
            sched->backoff_queue, wait, compare_retry_at, NULL);
    }
    else {
        sched_enqueue(sched, wait, task->attempt > 0);
    }
    return wait;
}

void
sched_remove_wait(struct sched *sched, struct wait_entry *wait)
{
    if (wait->backoff_iter != NULL) {
        g_sequence_remove(wait->backoff_iter);
    }
    else if (!wait->proposed) {
        sched_dequeue(sched, wait);
    }
    wait->cls->refs--;
    g_free(wait);
}

void
sched_requeue_after_backoff(struct sched *sched)
{
    GSequenceIter *iter = g_sequence_get_begin_iter(sched->backoff_queue);

    while (!g_sequence_iter_is_end(iter)) {
        struct wait_entry *wait = g_sequence_get(iter);

        if (wait->task->retry_at_ms > sched->wall_ms) {
            return;
        }
        g_sequence_remove(iter);
        wait->backoff_iter = NULL;
        sched_enqueue(sched, wait, true);
        iter = g_sequence_get_begin_iter(sched->backoff_queue);
    }
}

struct gang *
sched_get_gang(struct job *job)
{
    if (job->sched == NULL) {
        job->sched = g_new0(struct gang, 1);
    }
    return job->sched;
}

/* Returns the task that represents its gang in the queue: the first that
 * waits.
 */
static struct task *
first_waiting_task(struct job *job)
{
    for (uint32_t i = 0; i < job->rec.count; i++) {
        if (job->tasks[i].state == TASK_WAITING) {
            return &job->tasks[i];
        }
    }
    return NULL;
}

void
sched_update_gang_queue(struct sched *sched, struct job *job)
{
    struct gang *gang = sched_get_gang(job);
    bool ready = gang->waiting > 0 && gang->running == 0;

    if (ready && gang->wait == NULL) {
        gang->wait = add_wait(sched, first_waiting_task(job));
    }
    else if (!ready && gang->wait != NULL && !gang->wait->proposed) {
        sched_remove_wait(sched, gang->wait);
        gang->wait = NULL;
    }
}

/* Evicts the running tasks of a gang after one of its tasks went back to
 * waiting, so that all of them restart together.
 */
static void
evict_gang(struct sched *sched, struct job *job)
{
    for (uint32_t i = 0; i < job->rec.count; i++) {
        if (job->tasks[i].state == TASK_RUNNING) {
            sched_evict_task(sched, &job->tasks[i], SCHED_ORDER_CHECKPOINT);
        }
    }
}

void
sched_gang_task_changed(struct sched *sched, struct task *task,
                        enum task_state old_state, bool added)
{
    struct gang *gang = sched_get_gang(task->job);

    if (!added && old_state == TASK_WAITING && gang->waiting > 0) {
        gang->waiting--;
    }
    if (!added && old_state == TASK_RUNNING && gang->running > 0) {
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
        sched_remove_wait(sched, gang->wait);
        gang->wait = NULL;
    }
    if (old_state == TASK_RUNNING && task->state == TASK_WAITING) {
        evict_gang(sched, task->job);
    }
    sched_update_gang_queue(sched, task->job);
    if (sched->reserved_for == task->job && gang->running > 0) {
        sched_release_reservation(sched);
    }
}

void
sched_single_task_changed(struct sched *sched, struct task *task)
{
    struct wait_entry *wait = task->sched;

    if (wait != NULL && (task->state != TASK_WAITING || wait->proposed)) {
        sched_remove_wait(sched, wait);
        task->sched = NULL;
        wait = NULL;
    }
    if (task->state == TASK_WAITING && wait == NULL) {
        task->sched = add_wait(sched, task);
    }
}
