/* sched.c -- handles events and decides in which order work is tried */
#include "core/sched.h"

#include <stdio.h>
#include <string.h>

#include "core/schedpriv.h"

const struct sched_policy SCHED_POLICY = {
    .name = "filbertpath",
    .fair_share = true,
    .gang_reservations = true,
    .preemption = true,
    .probation = true,
    .strategy = SCHED_BY_KIND,
};
const struct sched_policy SCHED_FIFO_FIRST_FIT = {
    .name = "fifo-first-fit",
    .strategy = SCHED_FIRST_FIT,
};
const struct sched_policy SCHED_FIFO_BEST_FIT = {
    .name = "fifo-best-fit",
    .strategy = SCHED_BEST_FIT,
};

/* The order in which the kinds of a team's work are tried. */
static const uint32_t KIND_RANK[] = {
    [WORK_URGENT] = 0, [WORK_SERVICE] = 1, [WORK_GANG] = 2, [WORK_BATCH] = 2};

static void
free_class(void *item)
{
    struct work_class *cls = item;
    struct wait_entry *wait = cls->head;

    while (wait != NULL) {
        struct wait_entry *next = wait->next;

        wait->task->sched = NULL;
        g_free(wait);
        wait = next;
    }
    g_free(cls->key);
    g_free(cls);
}

static void
free_candidates(void *item)
{
    struct candidate_set *candidates = item;

    g_ptr_array_free(candidates->hosts, TRUE);
    g_byte_array_free(candidates->is_member, TRUE);
    g_free(candidates->key);
    g_free(candidates);
}

static void
free_team(void *item)
{
    struct sched_team *sched_team = item;

    sched_team->team->sched = NULL;
    g_ptr_array_free(sched_team->classes, TRUE);
    g_free(sched_team);
}

static void
free_history(void *item)
{
    struct run_history *history = item;

    g_free(history->key);
    g_free(history);
}

struct sched_team *
sched_get_team(struct sched *sched, struct team *team)
{
    struct sched_team *sched_team = team->sched;

    if (sched_team == NULL) {
        sched_team = g_new0(struct sched_team, 1);
        sched_team->team = team;
        sched_team->classes = g_ptr_array_new();
        team->sched = sched_team;
        g_hash_table_insert(sched->teams, team, sched_team);
        g_ptr_array_add(sched->team_list, sched_team);
    }
    return sched_team;
}

void
sched_evict_task(struct sched *sched, struct task *task,
                 enum sched_order order)
{
    struct eviction *eviction =
        g_hash_table_lookup(sched->evictions, &task->id);

    if (eviction == NULL) {
        eviction = g_new0(struct eviction, 1);
        eviction->task_id = task->id;
        g_hash_table_insert(sched->evictions, &eviction->task_id, eviction);
    }
    eviction->attempt = task->attempt;
    eviction->order = order;
    sched->ops.orders_changed(sched->ops.ctx, task->target);
}

void
sched_attempt_ended(struct sched *sched, struct task *task,
                    struct target *target)
{
    struct sched_host *host = target->sched;

    g_hash_table_remove(sched->evictions, &task->id);
    if (task->last_outcome == END_DONE) {
        sched_record_run_time(sched, task);
    }
    if (host != NULL) {
        sched_record_result(sched, host, task);
        sched_record_freed(sched, host);
    }
}

/* The attempt now counts in the cell and no longer as pending, and uses up one
 * task of the capacity held for its class.
 */
static void
attempt_started(struct sched *sched, struct task *task)
{
    struct sched_host *host = task->target->sched;
    struct work_class *cls = host->held_for;

    if (host->pending.running > 0) {
        sched_subtract_size(&host->pending, &task->job->rec);
        sched_subtract_size(&sched_get_team(sched, task->job->team)->pending,
                            &task->job->rec);
    }
    if (cls != NULL && cls->team == task->job->team &&
        cls->size.kind == task->job->rec.kind) {
        host->held_count--;
        if (host->held_count == 0) {
            host->held_for = NULL;
        }
    }
    sched->ops.orders_changed(sched->ops.ctx, task->target);
}

void
sched_task_changed(struct sched *sched, struct task *task,
                   enum task_state old_state)
{
    bool added = old_state == TASK_WAITING && task->state == TASK_WAITING;

    if (old_state == TASK_WAITING && task->state == TASK_RUNNING) {
        attempt_started(sched, task);
    }
    if (old_state == TASK_RUNNING && task->state == TASK_RUNNING) {
        sched_evict_task(sched, task, SCHED_ORDER_STOP); /* being cancelled */
        return;
    }
    if (task->job->rec.kind == WORK_GANG) {
        sched_gang_task_changed(sched, task, old_state, added);
    }
    else {
        sched_single_task_changed(sched, task);
    }
}

void
sched_target_changed(struct sched *sched, struct target *target)
{
    struct sched_host *host = target->sched;

    if (host == NULL) {
        host = sched_add_host(sched, target);
    }
    sched_update_capacity(sched);
    sched_invalidate_candidates(sched);
    sched_record_freed(sched, host);
    sched->recheck_running = true;
    sched->ops.orders_changed(sched->ops.ctx, target);
}

void
sched_config_changed(struct sched *sched)
{
    sched_invalidate_candidates(sched);
    sched->recheck_running = true;
    sched->hours_checked_minute = 0;
}

void
sched_job_removed(struct sched *sched, struct job *job)
{
    (void)sched;
    g_free(job->sched);
    job->sched = NULL;
}

static void
send_proposal(struct sched *sched)
{
    uint32_t count = sched->proposal_item_count;

    if (count > 0) {
        sched->proposal_item_count = 0;
        sched->ops.propose(sched->ops.ctx, sched->proposal_items, count);
    }
}

static void
fill_place_item(struct place_item *item, const struct task *task,
                const struct sched_host *host)
{
    item->task_id = task->id;
    item->attempt = task->attempt + 1;
    g_strlcpy(item->target, host->target->rec.name, sizeof(item->target));
}

static void
add_pending(struct sched *sched, struct sched_host *host, struct team *team,
            const struct change_submit *size)
{
    sched_add_size(&host->pending, size);
    sched_add_size(&sched_get_team(sched, team)->pending, size);
}

static void
propose_single(struct sched *sched, struct wait_entry *wait,
               struct sched_host *host)
{
    struct work_class *cls = wait->cls;

    sched_dequeue(sched, wait);
    wait->proposed = true;
    add_pending(sched, host, cls->team, &cls->size);
    if (host->probation_ms != 0) {
        host->probe_task_id = wait->task->id;
    }
    fill_place_item(&sched->proposal_items[sched->proposal_item_count],
                    wait->task, host);
    sched->proposal_item_count++;
    sched->counters.decisions++;
    if (sched->proposal_item_count == SCHED_PROPOSAL_ITEMS) {
        send_proposal(sched);
    }
}

static void
propose_gang(struct sched *sched, struct wait_entry *wait,
             const GPtrArray *hosts)
{
    struct work_class *cls = wait->cls;
    struct job *job = wait->task->job;
    struct place_item *items = g_new0(struct place_item, hosts->len);
    uint32_t count = 0;

    sched_dequeue(sched, wait);
    wait->proposed = true;
    for (uint32_t i = 0; i < job->rec.count && count < hosts->len; i++) {
        if (job->tasks[i].state == TASK_WAITING) {
            struct sched_host *host = hosts->pdata[count];

            add_pending(sched, host, cls->team, &cls->size);
            fill_place_item(&items[count], &job->tasks[i], host);
            count++;
        }
    }
    sched->counters.decisions += count;
    send_proposal(sched);
    sched->ops.propose(sched->ops.ctx, items, count);
    g_free(items);
}

static void
remove_pending(struct sched *sched, const struct place_item *item)
{
    struct target *target = cell_target(sched->cell, item->target);
    struct task *task = cell_task(sched->cell, item->task_id);
    struct sched_host *host = target == NULL ? NULL : target->sched;

    if (host == NULL || task == NULL) {
        return;
    }
    if (host->pending.running > 0) {
        sched_subtract_size(&host->pending, &task->job->rec);
        sched_subtract_size(&sched_get_team(sched, task->job->team)->pending,
                            &task->job->rec);
    }
    if (host->probe_task_id == task->id) {
        host->probe_task_id = 0;
    }
    sched_record_freed(sched, host);
}

/* Puts a task, or its whole gang, back in its queue after a failed proposal.
 */
static void
requeue(struct sched *sched, struct task *task)
{
    struct wait_entry *wait = task->sched;

    if (task->job->rec.kind == WORK_GANG) {
        struct gang *gang = sched_get_gang(task->job);

        if (gang->wait != NULL && gang->wait->proposed) {
            sched_remove_wait(sched, gang->wait);
            gang->wait = NULL;
        }
        sched_update_gang_queue(sched, task->job);
        return;
    }
    if (wait != NULL && wait->proposed && task->state == TASK_WAITING) {
        wait->proposed = false;
        sched_enqueue(sched, wait, true);
    }
}

void
sched_placement_failed(struct sched *sched, const struct place_item *items,
                       uint32_t count)
{
    sched->counters.refused++;
    for (uint32_t i = 0; i < count; i++) {
        struct task *task = cell_task(sched->cell, items[i].task_id);

        remove_pending(sched, &items[i]);
        if (task != NULL) {
            requeue(sched, task);
        }
    }
}

/* The team's dominant share of the capacity that is up, divided by its weight,
 * in millionths. Proposed work counts.
 */
static uint32_t
compute_share(const struct sched *sched, const struct sched_team *sched_team)
{
    const struct resources *used = &sched_team->team->used;
    const struct resources *pending = &sched_team->pending;
    const struct resources *capacity = &sched->capacity;
    double cpu = (double)(used->cpu_milli + pending->cpu_milli) /
                 (double)MAX(capacity->cpu_milli, 1);
    double memory = (double)(used->memory_mb + pending->memory_mb) /
                    (double)MAX(capacity->memory_mb, 1);
    double accel = (double)(used->accel + pending->accel) /
                   (double)MAX(capacity->accel, 1);
    double share = MAX(cpu, MAX(memory, accel)) /
                   (double)MAX(sched_team->team->conf.weight, 1);

    return (uint32_t)(MIN(share, 1.0) * 1e6);
}

uint32_t
sched_share_permille(const struct sched *sched, const struct team *team)
{
    if (team->sched == NULL) {
        return 0;
    }
    return compute_share(sched, team->sched) / 1000;
}

/* Reports whether the team's limit admits count more tasks. Proposed work
 * counts as running.
 */
static bool
within_team_limit(struct sched *sched, const struct work_class *cls,
                  uint32_t count)
{
    const struct sched_team *sched_team = sched_get_team(sched, cls->team);
    struct team projected = *cls->team;

    projected.used.running += sched_team->pending.running;
    projected.used.cpu_milli += sched_team->pending.cpu_milli;
    projected.used.memory_mb += sched_team->pending.memory_mb;
    projected.used.accel += sched_team->pending.accel;
    return cell_within_limits(&projected, &cls->size, count);
}

/* Records why the head of the class could not start. */
static void
block_class(struct sched *sched, struct work_class *cls,
            enum sched_block reason)
{
    cls->block = reason;
    cls->freed_count_at_block = sched->freed_count;
    if (reason == SCHED_BLOCK_NO_CAPACITY && cls->blocked_since_ms == 0) {
        cls->blocked_since_ms = sched->now_ms;
    }
}

/* Returns why no host was found for the class. */
static enum sched_block
no_host_block(const struct work_class *cls)
{
    if (cls->candidates->hosts->len > 0) {
        return SCHED_BLOCK_NO_CAPACITY;
    }
    return cls->candidates->excluded_by_hours ? SCHED_BLOCK_QUIET_HOURS
                                              : SCHED_BLOCK_NO_TARGET;
}

static bool
try_gang(struct sched *sched, struct work_class *cls, struct wait_entry *wait)
{
    struct job *job = wait->task->job;
    uint32_t need = sched_get_gang(job)->waiting;
    GPtrArray *hosts;
    bool ok = false;

    if (!within_team_limit(sched, cls, need)) {
        block_class(sched, cls, SCHED_BLOCK_TEAM_LIMIT);
        return false;
    }
    hosts = g_ptr_array_new();
    if (sched_choose_gang_hosts(sched, cls, job, hosts)) {
        cls->blocked_since_ms = 0;
        propose_gang(sched, wait, hosts);
        ok = true;
    }
    else {
        block_class(sched, cls, no_host_block(cls));
        if (sched->policy.gang_reservations &&
            cls->block == SCHED_BLOCK_NO_CAPACITY) {
            sched_reserve(sched, cls);
        }
    }
    g_ptr_array_free(hosts, TRUE);
    return ok;
}

static bool
try_single(struct sched *sched, struct work_class *cls,
           struct wait_entry *wait)
{
    struct sched_host *host;

    if (!within_team_limit(sched, cls, 1)) {
        block_class(sched, cls, SCHED_BLOCK_TEAM_LIMIT);
        return false;
    }
    host = sched_choose_host(sched, cls, wait->task);
    if (host != NULL) {
        /* On capacity held for the class, its wait for a share goes on. */
        if (host->held_for != cls) {
            cls->blocked_since_ms = 0;
        }
        propose_single(sched, wait, host);
        return true;
    }
    block_class(sched, cls, no_host_block(cls));
    if (cls->size.kind == WORK_URGENT && sched->policy.preemption &&
        cls->block == SCHED_BLOCK_NO_CAPACITY) {
        sched_preempt_for_urgent(sched, cls);
    }
    return false;
}

static bool
try_class(struct sched *sched, struct work_class *cls)
{
    struct wait_entry *wait = cls->head;
    bool ok;

    if (cls->candidates->stale) {
        sched_collect_candidates(sched, cls->candidates, wait->task->job);
    }
    cls->last_tried_ms = sched->now_ms;
    cls->last_tried_pass = sched->passes;
    ok = cls->size.kind == WORK_GANG ? try_gang(sched, cls, wait)
                                     : try_single(sched, cls, wait);
    if (ok) {
        cls->block = SCHED_BLOCK_NONE;
    }
    return ok;
}

/* A blocked class is tried again when a host was freed, its candidate set
 * changed or SCHED_FULL_SCAN_EVERY_MS has passed; a class that was blocked by
 * its team's limit is tried once in each pass.
 */
static bool
should_try(const struct sched *sched, const struct work_class *cls)
{
    if (cls->block == SCHED_BLOCK_NONE) {
        return true;
    }
    if (cls->candidates->stale) {
        return true;
    }
    if (cls->block == SCHED_BLOCK_TEAM_LIMIT) {
        return cls->last_tried_pass != sched->passes;
    }
    return cls->freed_count_at_block != sched->freed_count ||
           sched->now_ms >= cls->last_tried_ms + SCHED_FULL_SCAN_EVERY_MS;
}

static bool
class_before(const struct work_class *a, const struct work_class *b)
{
    uint32_t rank_a = KIND_RANK[a->size.kind];
    uint32_t rank_b = KIND_RANK[b->size.kind];

    if (rank_a != rank_b) {
        return rank_a < rank_b;
    }
    return a->head->task->id < b->head->task->id;
}

/* The team's next class to try: by kind, then by the age of its head. */
static struct work_class *
next_team_class(const struct sched *sched, const struct sched_team *sched_team,
                bool urgent)
{
    struct work_class *best = NULL;

    for (guint i = 0; i < sched_team->classes->len; i++) {
        struct work_class *cls = sched_team->classes->pdata[i];

        if ((cls->size.kind == WORK_URGENT) != urgent ||
            !should_try(sched, cls)) {
            continue;
        }
        if (best == NULL || class_before(cls, best)) {
            best = cls;
        }
    }
    return best;
}

/* Orders the next classes of two teams: by share if the policy has fair
 * shares, then by age.
 */
static bool
team_before(const struct sched *sched, const struct sched_team *a,
            const struct work_class *cls_a, const struct sched_team *b,
            const struct work_class *cls_b)
{
    if (sched->policy.fair_share && a->share != b->share) {
        return a->share < b->share;
    }
    return cls_a->head->task->id < cls_b->head->task->id;
}

/* Returns the next class to try of all teams, either urgent or other work;
 * NULL if there is none.
 */
static struct work_class *
next_class(const struct sched *sched, bool urgent)
{
    const struct sched_team *best = NULL;
    struct work_class *best_class = NULL;

    for (guint i = 0; i < sched->team_list->len; i++) {
        const struct sched_team *sched_team = sched->team_list->pdata[i];
        struct work_class *cls = NULL;

        if (sched_team->classes->len > 0) {
            cls = next_team_class(sched, sched_team, urgent);
        }
        if (cls != NULL && (best == NULL || team_before(sched, sched_team, cls,
                                                        best, best_class))) {
            best = sched_team;
            best_class = cls;
        }
    }
    return best_class;
}

static void
update_shares(struct sched *sched)
{
    for (guint i = 0; i < sched->team_list->len; i++) {
        struct sched_team *sched_team = sched->team_list->pdata[i];

        sched_team->share = compute_share(sched, sched_team);
    }
}

/* Starts queued work, either urgent or other. Returns the number of proposals.
 */
static uint32_t
run_queues(struct sched *sched, bool urgent, uint32_t max_decisions)
{
    uint32_t proposed = 0;
    struct work_class *cls = next_class(sched, urgent);

    while (cls != NULL && proposed < max_decisions) {
        struct sched_team *sched_team = sched_get_team(sched, cls->team);

        if (try_class(sched, cls)) {
            proposed++;
            sched_team->share = compute_share(sched, sched_team);
        }
        cls = next_class(sched, urgent);
    }
    return proposed;
}

struct sched *
sched_new(struct cell *cell, const struct sched_policy *policy,
          const struct sched_ops *ops, uint64_t now_ms, uint64_t wall_ms)
{
    struct sched *sched = g_new0(struct sched, 1);
    GHashTableIter iter;
    struct target *target;
    struct job *job;

    sched->cell = cell;
    sched->policy = *policy;
    sched->ops = *ops;
    sched->now_ms = now_ms;
    sched->wall_ms = wall_ms;
    sched->freed_count = 1;
    sched->hosts = g_ptr_array_new_with_free_func(g_free);
    sched->candidate_sets =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_candidates);
    sched->classes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_class);
    sched->teams =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free_team);
    sched->team_list = g_ptr_array_new();
    sched->run_history =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_history);
    sched->evictions =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    sched->avoided_hosts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    sched->backoff_queue = g_sequence_new(NULL);
    g_hash_table_iter_init(&iter, cell->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        sched_add_host(sched, target);
    }
    sched_update_capacity(sched);
    g_hash_table_iter_init(&iter, cell->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        for (uint32_t i = 0; i < job->rec.count; i++) {
            struct task *task = &job->tasks[i];

            if (task->state == TASK_WAITING || task->state == TASK_RUNNING) {
                if (job->rec.kind == WORK_GANG) {
                    sched_gang_task_changed(sched, task, TASK_WAITING, true);
                }
                else {
                    sched_single_task_changed(sched, task);
                }
            }
            if (task->state == TASK_RUNNING && task->cancelling) {
                sched_evict_task(sched, task, SCHED_ORDER_STOP);
            }
        }
    }
    sched->recheck_running = true;
    return sched;
}

void
sched_free(struct sched *sched)
{
    GHashTableIter iter;
    struct job *job;
    struct target *target;

    if (sched == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, sched->cell->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        for (uint32_t i = 0; i < job->rec.count; i++) {
            struct wait_entry *wait = job->tasks[i].sched;

            if (wait != NULL) {
                job->tasks[i].sched = NULL;
                sched_remove_wait(sched, wait);
            }
        }
        if (job->sched != NULL) {
            struct gang *gang = job->sched;

            if (gang->wait != NULL) {
                sched_remove_wait(sched, gang->wait);
            }
            g_free(gang);
            job->sched = NULL;
        }
    }
    g_hash_table_iter_init(&iter, sched->cell->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        target->sched = NULL;
    }
    g_sequence_free(sched->backoff_queue);
    g_hash_table_destroy(sched->evictions);
    g_hash_table_destroy(sched->avoided_hosts);
    g_hash_table_destroy(sched->classes);
    g_hash_table_destroy(sched->candidate_sets);
    g_ptr_array_free(sched->team_list, TRUE);
    g_hash_table_destroy(sched->teams);
    g_hash_table_destroy(sched->run_history);
    g_ptr_array_free(sched->hosts, TRUE);
    g_free(sched);
}

/* Drops expired holds and the classes and candidate sets that are no longer in
 * use.
 */
static void
prune_unused(struct sched *sched)
{
    GHashTableIter iter;
    struct work_class *cls;
    struct candidate_set *candidates;

    for (guint i = 0; i < sched->hosts->len; i++) {
        struct sched_host *host = sched->hosts->pdata[i];

        if (host->held_for != NULL && sched->now_ms >= host->held_until_ms) {
            host->held_for = NULL;
        }
    }
    g_hash_table_iter_init(&iter, sched->classes);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&cls)) {
        if (cls->refs == 0 &&
            sched->now_ms > cls->last_tried_ms + SCHED_PRUNE_EVERY_MS) {
            cls->candidates->refs--;
            g_hash_table_iter_remove(&iter);
        }
    }
    g_hash_table_iter_init(&iter, sched->candidate_sets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&candidates)) {
        if (candidates->refs == 0) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

uint32_t
sched_run(struct sched *sched, uint64_t now_ms, uint64_t wall_ms,
          uint32_t max_decisions)
{
    uint32_t proposed;

    sched->now_ms = now_ms;
    sched->wall_ms = wall_ms;
    sched->passes++;
    sched_check_hours(sched);
    if (sched->recheck_running) {
        sched_check_running(sched);
    }
    sched_requeue_after_backoff(sched);
    sched_update_accel_scarcity(sched);
    if (sched->reserved_for != NULL &&
        now_ms > sched->reserved_at_ms + SCHED_RESERVE_MAX_MS) {
        sched_release_reservation(sched);
        sched->no_reserve_before_ms = now_ms + SCHED_RESERVE_MAX_MS;
    }
    update_shares(sched);
    proposed = run_queues(sched, true, max_decisions);
    proposed += run_queues(sched, false, max_decisions - proposed);
    send_proposal(sched);
    if (now_ms >= sched->next_prune_ms) {
        sched->next_prune_ms = now_ms + SCHED_PRUNE_EVERY_MS;
        prune_unused(sched);
    }
    if (sched->policy.preemption && now_ms >= sched->next_reclaim_ms) {
        sched->next_reclaim_ms = now_ms + SCHED_RECLAIM_EVERY_MS;
        sched_reclaim(sched);
    }
    return proposed;
}

uint64_t
sched_retry_at(const struct sched *sched, const struct task *task,
               uint64_t wall_ms)
{
    uint32_t doublings = MIN(task->failures, 9);

    (void)sched;
    return wall_ms +
           MIN((uint64_t)SCHED_RETRY_MIN_MS << doublings, SCHED_RETRY_MAX_MS);
}

const struct sched_counters *
sched_counters(const struct sched *sched)
{
    return &sched->counters;
}
