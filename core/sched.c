/* sched.c -- events and the order of decisions */
#include "core/sched.h"

#include <stdio.h>
#include <string.h>

#include "core/schedpriv.h"

const struct sched_policy SCHED_POLICY = {
    .name = "filbertpath",
    .fair = true,
    .reserve = true,
    .preempt = true,
    .probation = true,
    .choice = SCHED_BY_KIND,
};
const struct sched_policy SCHED_FIFO_FIRST_FIT = {
    .name = "fifo-first-fit",
    .choice = SCHED_FIRST_FIT,
};
const struct sched_policy SCHED_FIFO_BEST_FIT = {
    .name = "fifo-best-fit",
    .choice = SCHED_BEST_FIT,
};

/* Kinds in the order in which a team's work is looked at. */
static const uint32_t KIND_RANK[] = {
    [WORK_URGENT] = 0, [WORK_SERVICE] = 1, [WORK_GANG] = 2, [WORK_BATCH] = 2};

static void
free_class(void *item)
{
    struct work_class *cls = item;
    struct wait *wait = cls->first;

    while (wait != NULL) {
        struct wait *next = wait->next;

        wait->task->sched = NULL;
        g_free(wait);
        wait = next;
    }
    g_free(cls->key);
    g_free(cls);
}

static void
free_domain(void *item)
{
    struct domain *domain = item;

    g_ptr_array_free(domain->hosts, TRUE);
    g_byte_array_free(domain->member, TRUE);
    g_free(domain->key);
    g_free(domain);
}

static void
free_team(void *item)
{
    struct sched_team *entry = item;

    entry->team->sched = NULL;
    g_ptr_array_free(entry->classes, TRUE);
    g_free(entry);
}

static void
free_learned(void *item)
{
    struct learned *learned = item;

    g_free(learned->key);
    g_free(learned);
}

struct sched_team *
sched_team_of(struct sched *sched, struct team *team)
{
    struct sched_team *entry = team->sched;

    if (entry == NULL) {
        entry = g_new0(struct sched_team, 1);
        entry->team = team;
        entry->classes = g_ptr_array_new();
        team->sched = entry;
        g_hash_table_insert(sched->teams, team, entry);
        g_ptr_array_add(sched->team_list, entry);
    }
    return entry;
}

void
sched_yield_task(struct sched *sched, struct task *task,
                 enum sched_order order)
{
    struct yielding *yielding =
        g_hash_table_lookup(sched->yielding, &task->id);

    if (yielding == NULL) {
        yielding = g_new0(struct yielding, 1);
        yielding->task_id = task->id;
        g_hash_table_insert(sched->yielding, &yielding->task_id, yielding);
    }
    yielding->attempt = task->attempt;
    yielding->order = order;
    sched->ops.wake(sched->ops.ctx, task->target);
}

void
sched_attempt_ended(struct sched *sched, struct task *task,
                    struct target *target)
{
    struct sched_host *host = target->sched;

    g_hash_table_remove(sched->yielding, &task->id);
    if (task->last_outcome == END_DONE) {
        sched_learn(sched, task);
    }
    if (host != NULL) {
        sched_note_result(sched, host, task);
        sched_note_freed(sched, host);
    }
}

static void
attempt_started(struct sched *sched, struct task *task)
{
    struct sched_host *host = task->target->sched;
    struct work_class *cls = host->earmark;

    if (host->pending.running > 0) {
        sched_return(&host->pending, &task->job->rec);
        sched_return(&sched_team_of(sched, task->job->team)->pending,
                     &task->job->rec);
    }
    if (cls != NULL && cls->team == task->job->team &&
        cls->size.kind == task->job->rec.kind) {
        host->earmark_count--;
        if (host->earmark_count == 0) {
            host->earmark = NULL;
        }
    }
    sched->ops.wake(sched->ops.ctx, task->target);
}

void
sched_task_changed(struct sched *sched, struct task *task, enum task_state was)
{
    bool entered = was == TASK_WAITING && task->state == TASK_WAITING;

    if (was == TASK_WAITING && task->state == TASK_RUNNING) {
        attempt_started(sched, task);
    }
    if (was == TASK_RUNNING && task->state == TASK_RUNNING) {
        sched_yield_task(sched, task, SCHED_STOP); /* being cancelled */
        return;
    }
    if (task->job->rec.kind == WORK_GANG) {
        sched_gang_changed(sched, task, was, entered);
    }
    else {
        sched_single_changed(sched, task);
    }
}

void
sched_target_changed(struct sched *sched, struct target *target)
{
    struct sched_host *host = target->sched;

    if (host == NULL) {
        host = sched_add_host(sched, target);
    }
    sched_count_total(sched);
    sched_stale_domains(sched);
    sched_note_freed(sched, host);
    sched->check_running = true;
    sched->ops.wake(sched->ops.ctx, target);
}

void
sched_config_changed(struct sched *sched)
{
    sched_stale_domains(sched);
    sched->check_running = true;
    sched->hours_minute = 0;
}

void
sched_job_removed(struct sched *sched, struct job *job)
{
    (void)sched;
    g_free(job->sched);
    job->sched = NULL;
}

static void
send_batch(struct sched *sched)
{
    uint32_t count = sched->batch_count;

    if (count > 0) {
        sched->batch_count = 0;
        sched->ops.place(sched->ops.ctx, sched->batch, count);
    }
}

static void
fill_item(struct place_item *item, const struct task *task,
          const struct sched_host *host)
{
    item->task_id = task->id;
    item->attempt = task->attempt + 1;
    g_strlcpy(item->target, host->target->rec.name, sizeof(item->target));
}

static void
count_as_taken(struct sched *sched, struct sched_host *host, struct team *team,
               const struct change_submit *size)
{
    sched_take(&host->pending, size);
    sched_take(&sched_team_of(sched, team)->pending, size);
}

static void
propose_single(struct sched *sched, struct wait *wait, struct sched_host *host)
{
    struct work_class *cls = wait->cls;

    sched_unlink_wait(sched, wait);
    wait->proposed = true;
    count_as_taken(sched, host, cls->team, &cls->size);
    if (host->probation_ms != 0) {
        host->probe_task = wait->task->id;
    }
    fill_item(&sched->batch[sched->batch_count], wait->task, host);
    sched->batch_count++;
    sched->counters.decisions++;
    if (sched->batch_count == SCHED_BATCH_ITEMS) {
        send_batch(sched);
    }
}

static void
propose_gang(struct sched *sched, struct wait *wait, const GPtrArray *hosts)
{
    struct work_class *cls = wait->cls;
    struct job *job = wait->task->job;
    struct place_item *items = g_new0(struct place_item, hosts->len);
    uint32_t count = 0;

    sched_unlink_wait(sched, wait);
    wait->proposed = true;
    for (uint32_t i = 0; i < job->rec.count && count < hosts->len; i++) {
        if (job->tasks[i].state == TASK_WAITING) {
            struct sched_host *host = hosts->pdata[count];

            count_as_taken(sched, host, cls->team, &cls->size);
            fill_item(&items[count], &job->tasks[i], host);
            count++;
        }
    }
    sched->counters.decisions += count;
    send_batch(sched);
    sched->ops.place(sched->ops.ctx, items, count);
    g_free(items);
}

static void
undo_pending(struct sched *sched, const struct place_item *item)
{
    struct target *target = cell_target(sched->cell, item->target);
    struct task *task = cell_task(sched->cell, item->task_id);
    struct sched_host *host = target == NULL ? NULL : target->sched;

    if (host == NULL || task == NULL) {
        return;
    }
    if (host->pending.running > 0) {
        sched_return(&host->pending, &task->job->rec);
        sched_return(&sched_team_of(sched, task->job->team)->pending,
                     &task->job->rec);
    }
    if (host->probe_task == task->id) {
        host->probe_task = 0;
    }
    sched_note_freed(sched, host);
}

static void
back_in_line(struct sched *sched, struct task *task)
{
    struct wait *wait = task->sched;

    if (task->job->rec.kind == WORK_GANG) {
        struct gang *gang = sched_gang_of(task->job);

        if (gang->wait != NULL && gang->wait->proposed) {
            sched_leave_wait(sched, gang->wait);
            gang->wait = NULL;
        }
        sched_update_gang_line(sched, task->job);
        return;
    }
    if (wait != NULL && wait->proposed && task->state == TASK_WAITING) {
        wait->proposed = false;
        sched_link_wait(sched, wait, true);
    }
}

void
sched_place_failed(struct sched *sched, const struct place_item *items,
                   uint32_t count)
{
    sched->counters.refused++;
    for (uint32_t i = 0; i < count; i++) {
        struct task *task = cell_task(sched->cell, items[i].task_id);

        undo_pending(sched, &items[i]);
        if (task != NULL) {
            back_in_line(sched, task);
        }
    }
}

/* The team's dominant share of what is up, over its weight, in millionths. */
static uint32_t
compute_share(const struct sched *sched, const struct sched_team *entry)
{
    const struct use *use = &entry->team->use;
    const struct use *more = &entry->pending;
    const struct use *total = &sched->total;
    double cpu = (double)(use->cpu_milli + more->cpu_milli) /
                 (double)MAX(total->cpu_milli, 1);
    double memory = (double)(use->memory_mb + more->memory_mb) /
                    (double)MAX(total->memory_mb, 1);
    double accel =
        (double)(use->accel + more->accel) / (double)MAX(total->accel, 1);
    double share = MAX(cpu, MAX(memory, accel)) /
                   (double)MAX(entry->team->conf.weight, 1);

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

/* Reports whether the limit admits count more, proposed work included. */
static bool
limit_allows(struct sched *sched, const struct work_class *cls, uint32_t count)
{
    const struct sched_team *entry = sched_team_of(sched, cls->team);
    struct team with = *cls->team;

    with.use.running += entry->pending.running;
    with.use.cpu_milli += entry->pending.cpu_milli;
    with.use.memory_mb += entry->pending.memory_mb;
    with.use.accel += entry->pending.accel;
    return cell_within_limit(&with, &cls->size, count);
}

static void
block(struct sched *sched, struct work_class *cls, enum sched_block why)
{
    cls->block = why;
    cls->seen_freed = sched->freed_count;
    if (why == SCHED_BLOCK_ROOM && cls->blocked_since_ms == 0) {
        cls->blocked_since_ms = sched->now_ms;
    }
}

static enum sched_block
room_reason(const struct work_class *cls)
{
    if (cls->domain->hosts->len > 0) {
        return SCHED_BLOCK_ROOM;
    }
    return cls->domain->quiet ? SCHED_BLOCK_HOURS : SCHED_BLOCK_NO_HOST;
}

static bool
try_gang(struct sched *sched, struct work_class *cls, struct wait *wait)
{
    struct job *job = wait->task->job;
    uint32_t need = sched_gang_of(job)->waiting;
    GPtrArray *hosts;
    bool ok = false;

    if (!limit_allows(sched, cls, need)) {
        block(sched, cls, SCHED_BLOCK_LIMIT);
        return false;
    }
    hosts = g_ptr_array_new();
    if (sched_choose_gang(sched, cls, job, hosts)) {
        cls->blocked_since_ms = 0;
        propose_gang(sched, wait, hosts);
        ok = true;
    }
    else {
        block(sched, cls, room_reason(cls));
        if (sched->policy.reserve && cls->block == SCHED_BLOCK_ROOM) {
            sched_reserve(sched, cls);
        }
    }
    g_ptr_array_free(hosts, TRUE);
    return ok;
}

static bool
try_single(struct sched *sched, struct work_class *cls, struct wait *wait)
{
    struct sched_host *host;

    if (!limit_allows(sched, cls, 1)) {
        block(sched, cls, SCHED_BLOCK_LIMIT);
        return false;
    }
    host = sched_choose(sched, cls, wait->task);
    if (host != NULL) {
        if (host->earmark != cls) {
            cls->blocked_since_ms = 0; /* else its share is still coming */
        }
        propose_single(sched, wait, host);
        return true;
    }
    block(sched, cls, room_reason(cls));
    if (cls->size.kind == WORK_URGENT && sched->policy.preempt &&
        cls->block == SCHED_BLOCK_ROOM) {
        sched_preempt_for(sched, cls);
    }
    return false;
}

static bool
try_class(struct sched *sched, struct work_class *cls)
{
    struct wait *wait = cls->first;
    bool ok;

    if (cls->domain->stale) {
        sched_collect(sched, cls->domain, wait->task->job);
    }
    cls->tried_ms = sched->now_ms;
    cls->tried_run = sched->runs;
    ok = cls->size.kind == WORK_GANG ? try_gang(sched, cls, wait)
                                     : try_single(sched, cls, wait);
    if (ok) {
        cls->block = SCHED_BLOCK_NONE;
    }
    return ok;
}

/* A class that was blocked is worth another try once a host was freed or
 * something about it changed; limits and hours are looked at each run.
 */
static bool
worth_trying(const struct sched *sched, const struct work_class *cls)
{
    if (cls->block == SCHED_BLOCK_NONE) {
        return true;
    }
    if (cls->domain->stale) {
        return true;
    }
    if (cls->block == SCHED_BLOCK_LIMIT) {
        return cls->tried_run != sched->runs;
    }
    return cls->seen_freed != sched->freed_count ||
           sched->now_ms >= cls->tried_ms + SCHED_RETRY_SCAN_MS;
}

static bool
class_before(const struct work_class *a, const struct work_class *b)
{
    uint32_t rank_a = KIND_RANK[a->size.kind];
    uint32_t rank_b = KIND_RANK[b->size.kind];

    if (rank_a != rank_b) {
        return rank_a < rank_b;
    }
    return a->first->task->id < b->first->task->id;
}

/* The team's next class: by kind, then by age of its head. */
static struct work_class *
next_class(const struct sched *sched, const struct sched_team *entry,
           bool urgent)
{
    struct work_class *best = NULL;

    for (guint i = 0; i < entry->classes->len; i++) {
        struct work_class *cls = entry->classes->pdata[i];

        if ((cls->size.kind == WORK_URGENT) != urgent ||
            !worth_trying(sched, cls)) {
            continue;
        }
        if (best == NULL || class_before(cls, best)) {
            best = cls;
        }
    }
    return best;
}

/* Orders two teams' next work: by share, or by age without fairness. */
static bool
team_before(const struct sched *sched, const struct sched_team *a,
            const struct work_class *cls_a, const struct sched_team *b,
            const struct work_class *cls_b)
{
    if (sched->policy.fair && a->share != b->share) {
        return a->share < b->share;
    }
    return cls_a->first->task->id < cls_b->first->task->id;
}

static struct work_class *
next_work(const struct sched *sched, bool urgent)
{
    const struct sched_team *best = NULL;
    struct work_class *best_class = NULL;

    for (guint i = 0; i < sched->team_list->len; i++) {
        const struct sched_team *entry = sched->team_list->pdata[i];
        struct work_class *cls = NULL;

        if (entry->classes->len > 0) {
            cls = next_class(sched, entry, urgent);
        }
        if (cls != NULL && (best == NULL || team_before(sched, entry, cls,
                                                        best, best_class))) {
            best = entry;
            best_class = cls;
        }
    }
    return best_class;
}

static void
refresh_shares(struct sched *sched)
{
    for (guint i = 0; i < sched->team_list->len; i++) {
        struct sched_team *entry = sched->team_list->pdata[i];

        entry->share = compute_share(sched, entry);
    }
}

static uint32_t
run_lines(struct sched *sched, bool urgent, uint32_t most)
{
    uint32_t taken = 0;
    struct work_class *cls = next_work(sched, urgent);

    while (cls != NULL && taken < most) {
        struct sched_team *entry = sched_team_of(sched, cls->team);

        if (try_class(sched, cls)) {
            taken++;
            entry->share = compute_share(sched, entry);
        }
        cls = next_work(sched, urgent);
    }
    return taken;
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
    sched->domains =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_domain);
    sched->classes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_class);
    sched->teams =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free_team);
    sched->team_list = g_ptr_array_new();
    sched->learned =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_learned);
    sched->yielding =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    sched->avoid =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    sched->delayed = g_sequence_new(NULL);
    g_hash_table_iter_init(&iter, cell->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        sched_add_host(sched, target);
    }
    sched_count_total(sched);
    g_hash_table_iter_init(&iter, cell->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        for (uint32_t i = 0; i < job->rec.count; i++) {
            struct task *task = &job->tasks[i];

            if (task->state == TASK_WAITING || task->state == TASK_RUNNING) {
                if (job->rec.kind == WORK_GANG) {
                    sched_gang_changed(sched, task, TASK_WAITING, true);
                }
                else {
                    sched_single_changed(sched, task);
                }
            }
            if (task->state == TASK_RUNNING && task->cancelling) {
                sched_yield_task(sched, task, SCHED_STOP);
            }
        }
    }
    sched->check_running = true;
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
            struct wait *wait = job->tasks[i].sched;

            if (wait != NULL) {
                job->tasks[i].sched = NULL;
                sched_leave_wait(sched, wait);
            }
        }
        if (job->sched != NULL) {
            struct gang *gang = job->sched;

            if (gang->wait != NULL) {
                sched_leave_wait(sched, gang->wait);
            }
            g_free(gang);
            job->sched = NULL;
        }
    }
    g_hash_table_iter_init(&iter, sched->cell->targets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&target)) {
        target->sched = NULL;
    }
    g_sequence_free(sched->delayed);
    g_hash_table_destroy(sched->yielding);
    g_hash_table_destroy(sched->avoid);
    g_hash_table_destroy(sched->classes);
    g_hash_table_destroy(sched->domains);
    g_ptr_array_free(sched->team_list, TRUE);
    g_hash_table_destroy(sched->teams);
    g_hash_table_destroy(sched->learned);
    g_ptr_array_free(sched->hosts, TRUE);
    g_free(sched);
}

/* Shapes of work come and go; those without work are forgotten. */
static void
prune(struct sched *sched)
{
    GHashTableIter iter;
    struct work_class *cls;
    struct domain *domain;

    for (guint i = 0; i < sched->hosts->len; i++) {
        struct sched_host *host = sched->hosts->pdata[i];

        if (host->earmark != NULL && sched->now_ms >= host->earmark_until_ms) {
            host->earmark = NULL;
        }
    }
    g_hash_table_iter_init(&iter, sched->classes);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&cls)) {
        if (cls->users == 0 &&
            sched->now_ms > cls->tried_ms + SCHED_PRUNE_EVERY_MS) {
            cls->domain->users--;
            g_hash_table_iter_remove(&iter);
        }
    }
    g_hash_table_iter_init(&iter, sched->domains);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&domain)) {
        if (domain->users == 0) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

uint32_t
sched_run(struct sched *sched, uint64_t now_ms, uint64_t wall_ms,
          uint32_t max_decisions)
{
    uint32_t taken;

    sched->now_ms = now_ms;
    sched->wall_ms = wall_ms;
    sched->runs++;
    sched_check_hours(sched);
    if (sched->check_running) {
        sched_check_running(sched);
    }
    sched_release_delayed(sched);
    sched_count_accel(sched);
    if (sched->reserved_for != NULL &&
        now_ms > sched->reserved_at_ms + SCHED_RESERVE_MAX_MS) {
        sched_release_reservation(sched);
        sched->reserve_rest_ms = now_ms + SCHED_RESERVE_MAX_MS;
    }
    refresh_shares(sched);
    taken = run_lines(sched, true, max_decisions);
    taken += run_lines(sched, false, max_decisions - taken);
    send_batch(sched);
    if (now_ms >= sched->prune_at_ms) {
        sched->prune_at_ms = now_ms + SCHED_PRUNE_EVERY_MS;
        prune(sched);
    }
    if (sched->policy.preempt && now_ms >= sched->reclaim_at_ms) {
        sched->reclaim_at_ms = now_ms + SCHED_RECLAIM_EVERY_MS;
        sched_reclaim(sched);
    }
    return taken;
}

uint64_t
sched_retry_at(const struct sched *sched, const struct task *task,
               uint64_t wall_ms)
{
    uint32_t doublings = MIN(task->failures, 9);

    (void)sched;
    return wall_ms +
           MIN((uint64_t)SCHED_RETRY_MS << doublings, SCHED_RETRY_MAX_MS);
}

const struct sched_counters *
sched_counters(const struct sched *sched)
{
    return &sched->counters;
}
