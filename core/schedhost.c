/* schedhost.c -- chooses hosts for tasks and puts failing hosts on probation
 *
 * A candidate set is collected once and reused until it becomes stale; a
 * search for free capacity scans it once. After a failed search only the hosts
 * freed since then are scanned, so that work that does not fit costs little
 * while it waits. Neither cost grows with the number of running tasks.
 */
#include <float.h>
#include <string.h>

#include "core/schedpriv.h"

/* For work without accelerators on a host that has some. */
#define ACCEL_HOST_PENALTY 8.0
#define ACCEL_LEFTOVER_WEIGHT 4.0

void
sched_add_size(struct resources *to, const struct change_submit *size)
{
    to->running++;
    to->cpu_milli += size->cpu_milli;
    to->memory_mb += size->memory_mb;
    to->accel += size->accel;
}

void
sched_subtract_size(struct resources *from, const struct change_submit *size)
{
    from->running--;
    from->cpu_milli -= size->cpu_milli;
    from->memory_mb -= size->memory_mb;
    from->accel -= size->accel;
}

struct sched_host *
sched_add_host(struct sched *sched, struct target *target)
{
    struct sched_host *host = g_new0(struct sched_host, 1);

    host->target = target;
    host->index = sched->hosts->len;
    target->sched = host;
    g_ptr_array_add(sched->hosts, host);
    return host;
}

void
sched_update_capacity(struct sched *sched)
{
    memset(&sched->capacity, 0, sizeof(sched->capacity));
    for (guint i = 0; i < sched->hosts->len; i++) {
        const struct sched_host *host = sched->hosts->pdata[i];
        const struct change_target *rec = &host->target->rec;

        if (rec->state == TARGET_UP) {
            sched->capacity.cpu_milli += rec->cpu_milli;
            sched->capacity.memory_mb += rec->memory_mb;
            sched->capacity.accel += rec->accel;
        }
    }
}

void
sched_record_freed(struct sched *sched, struct sched_host *host)
{
    sched->freed[sched->freed_count % SCHED_FREED_RING_SIZE] = host;
    sched->freed_count++;
}

struct candidate_set *
sched_get_candidates(struct sched *sched, const struct job *job)
{
    char *key = g_strdup_printf("%s\n%s\n%s", job->rec.queue,
                                job->rec.selector, job->rec.labels);
    struct candidate_set *candidates =
        g_hash_table_lookup(sched->candidate_sets, key);

    if (candidates != NULL) {
        g_free(key);
        return candidates;
    }
    candidates = g_new0(struct candidate_set, 1);
    candidates->key = key;
    candidates->hosts = g_ptr_array_new();
    candidates->is_member = g_byte_array_new();
    candidates->stale = true;
    g_hash_table_insert(sched->candidate_sets, candidates->key, candidates);
    return candidates;
}

void
sched_invalidate_candidates(struct sched *sched)
{
    GHashTableIter iter;
    struct candidate_set *candidates;

    g_hash_table_iter_init(&iter, sched->candidate_sets);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&candidates)) {
        candidates->stale = true;
    }
}

/* Reports whether quiet hours exclude the target for the job now. */
static bool
in_quiet_hours(const struct sched *sched, const struct job *job,
               const struct target *target)
{
    GHashTableIter iter;
    struct quiet_hours *hours;

    g_hash_table_iter_init(&iter, sched->cell->quiet_hours);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&hours)) {
        if (hours->conf.action != QUIET_HOURS_THROTTLE &&
            selector_match(hours->work_selector, job->rec.labels) &&
            selector_match(hours->target_selector, target->labels) &&
            sched_hours_active(&hours->conf, sched->wall_ms)) {
            return true;
        }
    }
    return false;
}

void
sched_collect_candidates(struct sched *sched, struct candidate_set *candidates,
                         const struct job *job)
{
    candidates->stale = false;
    candidates->excluded_by_hours = false;
    g_ptr_array_set_size(candidates->hosts, 0);
    g_byte_array_set_size(candidates->is_member, sched->hosts->len);
    memset(candidates->is_member->data, 0, sched->hosts->len);
    for (guint i = 0; i < sched->hosts->len; i++) {
        struct sched_host *host = sched->hosts->pdata[i];

        if (host->target->rec.state != TARGET_UP ||
            !cell_selectors_match(job, host->target)) {
            continue;
        }
        if (in_quiet_hours(sched, job, host->target)) {
            candidates->excluded_by_hours = true;
            continue;
        }
        candidates->is_member->data[i] = 1;
        g_ptr_array_add(candidates->hosts, host);
    }
}

static bool
exceeds(uint64_t capacity, uint64_t used, uint64_t pending, uint64_t added)
{
    return used + pending + added > capacity;
}

bool
sched_fits(const struct sched_host *host, const struct change_submit *size)
{
    const struct change_target *rec = &host->target->rec;
    const struct resources *used = &host->target->used;
    const struct resources *pending = &host->pending;

    return !exceeds(rec->cpu_milli, used->cpu_milli, pending->cpu_milli,
                    size->cpu_milli) &&
           !exceeds(rec->memory_mb, used->memory_mb, pending->memory_mb,
                    size->memory_mb) &&
           !exceeds(rec->accel, used->accel, pending->accel, size->accel);
}

/* Reports whether one more task fits beside count tasks of size held. */
static bool
fits_beside(const struct sched_host *host, const struct change_submit *size,
            const struct resources *held, uint32_t count)
{
    struct sched_host after = *host;

    after.pending.cpu_milli += held->cpu_milli * count;
    after.pending.memory_mb += held->memory_mb * count;
    after.pending.accel += held->accel * count;
    return sched_fits(&after, size);
}

/* On probation, a host gets one batch task at a time as a probe, and none
 * until probation_until_ms.
 */
static bool
probation_allows(const struct sched *sched, const struct sched_host *host,
                 const struct work_class *cls)
{
    if (host->probation_ms == 0) {
        return true;
    }
    return sched->now_ms >= host->probation_until_ms &&
           host->probe_task_id == 0 && cls->size.kind == WORK_BATCH;
}

bool
sched_host_admits(const struct sched *sched, const struct sched_host *host,
                  const struct work_class *cls, const struct job *job)
{
    struct resources held_size = {0, 0, 0, 0};

    if (host->target->rec.state != TARGET_UP ||
        !probation_allows(sched, host, cls)) {
        return false;
    }
    if (host->held_for != NULL) {
        sched_add_size(&held_size, &host->held_for->size);
    }
    if (host->held_for != NULL && host->held_for != cls &&
        sched->now_ms < host->held_until_ms &&
        !fits_beside(host, &cls->size, &held_size, host->held_count)) {
        return false;
    }
    if (host->reserved && job != sched->reserved_for &&
        cls->size.kind != WORK_URGENT &&
        !fits_beside(host, &cls->size, &host->reserved_size,
                     host->reserved_tasks)) {
        return sched->now_ms + sched_expected_run_ms(sched, job) <=
               host->reserved_start_ms;
    }
    return true;
}

void
sched_record_accel_work(struct sched *sched, const struct change_submit *size)
{
    double cpu = (double)size->cpu_milli / size->accel;
    double memory = (double)size->memory_mb / size->accel;

    if (!sched->accel_work_seen) {
        sched->cpu_milli_per_accel = cpu;
        sched->memory_mb_per_accel = memory;
    }
    sched->cpu_milli_per_accel += 0.05 * (cpu - sched->cpu_milli_per_accel);
    sched->memory_mb_per_accel += 0.05 * (memory - sched->memory_mb_per_accel);
    sched->accel_work_seen = true;
}

/* Counts the accelerators that queued work needs. Work at its team's limit
 * does not count.
 */
static uint64_t
count_waiting_accel(const struct sched *sched)
{
    uint64_t count = 0;

    for (guint i = 0; i < sched->team_list->len; i++) {
        const struct sched_team *sched_team = sched->team_list->pdata[i];

        for (guint j = 0; j < sched_team->classes->len; j++) {
            const struct work_class *cls = sched_team->classes->pdata[j];

            if (cls->block != SCHED_BLOCK_TEAM_LIMIT) {
                count += (uint64_t)cls->size.accel * cls->queue_length;
            }
        }
    }
    return count;
}

/* Counts the free accelerators that have enough free CPU and memory on their
 * host for typical accelerator work.
 */
static uint64_t
count_usable_accel(const struct sched *sched)
{
    double count = 0;

    for (guint i = 0; i < sched->hosts->len; i++) {
        const struct sched_host *host = sched->hosts->pdata[i];
        const struct change_target *rec = &host->target->rec;
        const struct resources *used = &host->target->used;
        double cpu = (double)(rec->cpu_milli - used->cpu_milli);
        double memory = (double)(rec->memory_mb - used->memory_mb);

        if (rec->state == TARGET_UP && rec->accel > used->accel) {
            count += MIN((double)(rec->accel - used->accel),
                         MIN(cpu / MAX(sched->cpu_milli_per_accel, 1),
                             memory / MAX(sched->memory_mb_per_accel, 1)));
        }
    }
    return (uint64_t)count;
}

void
sched_update_accel_scarcity(struct sched *sched)
{
    if (!sched->accel_work_seen ||
        sched->now_ms < sched->next_accel_count_ms) {
        return;
    }
    sched->next_accel_count_ms = sched->now_ms + SCHED_ACCEL_COUNT_EVERY_MS;
    sched->accel_scarce =
        count_usable_accel(sched) <=
        count_waiting_accel(sched) +
            sched->capacity.accel / SCHED_ACCEL_SPARE_DIVISOR;
}

/* Reports whether the host would keep, for each free accelerator, the CPU and
 * memory that accelerator work typically needs, since an accelerator without
 * them is unusable. Applies to work without accelerators while usable
 * accelerators are scarce.
 */
static bool
leaves_accel_usable(const struct sched *sched, const struct sched_host *host,
                    const struct change_submit *size)
{
    const struct change_target *rec = &host->target->rec;
    const struct resources *used = &host->target->used;
    const struct resources *pending = &host->pending;
    double free_accel;
    double cpu;
    double memory;

    if (size->accel > 0 || rec->accel == 0 || !sched->accel_scarce) {
        return true;
    }
    free_accel = (double)(rec->accel - used->accel - pending->accel);
    cpu = (double)(rec->cpu_milli - used->cpu_milli - pending->cpu_milli -
                   size->cpu_milli);
    memory = (double)(rec->memory_mb - used->memory_mb - pending->memory_mb -
                      size->memory_mb);
    return cpu >= free_accel * sched->cpu_milli_per_accel &&
           memory >= free_accel * sched->memory_mb_per_accel;
}

/* Returns the fraction of a resource that would stay free. */
static double
free_fraction(uint64_t capacity, uint64_t used, uint64_t pending,
              uint64_t added)
{
    return capacity == 0 ? 0.0
                         : (double)(capacity - used - pending - added) /
                               (double)capacity;
}

/* Returns the sum over the resources of the fraction of the host that would
 * stay free.
 */
static double
free_after_placement(const struct sched_host *host,
                     const struct change_submit *size)
{
    const struct change_target *rec = &host->target->rec;
    const struct resources *used = &host->target->used;
    const struct resources *pending = &host->pending;

    return free_fraction(rec->cpu_milli, used->cpu_milli, pending->cpu_milli,
                         size->cpu_milli) +
           free_fraction(rec->memory_mb, used->memory_mb, pending->memory_mb,
                         size->memory_mb) +
           free_fraction(rec->accel, used->accel, pending->accel, size->accel);
}

/* Prefers the fullest host and keeps accelerator hosts for work that needs
 * them. Lower is better, in all scores.
 */
static double
packing_score(const struct sched_host *host, const struct change_submit *size)
{
    double score = free_after_placement(host, size);

    if (host->target->rec.accel == 0) {
        return score;
    }
    if (size->accel == 0) {
        return score + ACCEL_HOST_PENALTY;
    }
    return score + ACCEL_LEFTOVER_WEIGHT *
                       free_fraction(host->target->rec.accel,
                                     host->target->used.accel,
                                     host->pending.accel, size->accel);
}

/* Penalty for the tasks of the same job in the same data centre, rack and
 * host.
 */
static double
colocation_penalty(const struct sched_host *host, const struct job *job)
{
    const struct change_target *rec = &host->target->rec;
    double score = 0;

    for (uint32_t i = 0; i < job->rec.count; i++) {
        const struct target *other = job->tasks[i].target;

        if (other == NULL) {
            continue;
        }
        if (strcmp(other->rec.data_centre, rec->data_centre) == 0) {
            score += 1;
            score += strcmp(other->rec.rack, rec->rack) == 0 ? 100 : 0;
        }
        score += other == host->target ? 10000 : 0;
    }
    return score;
}

/* Spreads a service over data centres, racks and hosts, then prefers the
 * emptiest host.
 */
static double
spread_score(const struct sched_host *host, const struct job *job)
{
    double score = colocation_penalty(host, job) * 16 -
                   free_after_placement(host, &job->rec);

    if (host->target->rec.accel > 0 && job->rec.accel == 0) {
        score += ACCEL_HOST_PENALTY;
    }
    return score;
}

static double
host_score(const struct sched *sched, const struct sched_host *host,
           const struct work_class *cls, const struct job *job)
{
    switch (sched->policy.strategy) {
    case SCHED_FIRST_FIT:
        return host->index;
    case SCHED_BEST_FIT:
        return free_after_placement(host, &cls->size);
    case SCHED_BY_KIND:
        break;
    }
    if (cls->size.kind == WORK_SERVICE) {
        return spread_score(host, job);
    }
    return packing_score(host, &cls->size);
}

/* The best host found so far. */
struct best_host {
    struct sched_host *host;
    double score;
};

static void
consider_host(const struct sched *sched, const struct work_class *cls,
              const struct job *job, const struct sched_host *avoided,
              struct sched_host *host, struct best_host *best)
{
    double score;

    if (!sched_fits(host, &cls->size) ||
        !sched_host_admits(sched, host, cls, job)) {
        return;
    }
    if (sched->policy.strategy == SCHED_BY_KIND &&
        cls->size.kind != WORK_URGENT &&
        !leaves_accel_usable(sched, host, &cls->size)) {
        return;
    }
    score = host_score(sched, host, cls, job);
    /* Prefer capacity held for the class; avoid the host of the last failure.
     */
    if (host->held_for == cls) {
        score -= 1e6;
    }
    if (host == avoided) {
        score += 1e3;
    }
    if (score < best->score) {
        best->host = host;
        best->score = score;
    }
}

/* Reports whether scanning the hosts freed since the last failure suffices. */
static bool
scans_only_freed(const struct sched *sched, const struct work_class *cls)
{
    return cls->block == SCHED_BLOCK_NO_CAPACITY &&
           cls->freed_count_at_block != 0 &&
           sched->freed_count - cls->freed_count_at_block <=
               SCHED_FREED_SCAN_MAX &&
           sched->now_ms < cls->last_full_scan_ms + SCHED_FULL_SCAN_EVERY_MS;
}

struct sched_host *
sched_choose_host(struct sched *sched, struct work_class *cls,
                  const struct task *task)
{
    const struct candidate_set *candidates = cls->candidates;
    const struct sched_host *avoided =
        g_hash_table_lookup(sched->avoided_hosts, &task->id);
    struct best_host best = {NULL, DBL_MAX};

    if (scans_only_freed(sched, cls)) {
        for (uint64_t at = cls->freed_count_at_block; at < sched->freed_count;
             at++) {
            struct sched_host *host = sched->freed[at % SCHED_FREED_RING_SIZE];

            if (host->index < candidates->is_member->len &&
                candidates->is_member->data[host->index]) {
                consider_host(sched, cls, task->job, avoided, host, &best);
            }
        }
        return best.host;
    }
    cls->last_full_scan_ms = sched->now_ms;
    for (guint i = 0; i < candidates->hosts->len; i++) {
        consider_host(sched, cls, task->job, avoided,
                      candidates->hosts->pdata[i], &best);
    }
    return best.host;
}

/* Fills the best host before it searches for the next one, so that a gang
 * costs one scan for each host that it uses, not for each task.
 */
bool
sched_choose_gang_hosts(struct sched *sched, struct work_class *cls,
                        const struct job *job, GPtrArray *out)
{
    uint32_t need = ((const struct gang *)job->sched)->waiting;
    struct best_host best = {NULL, DBL_MAX};

    while (out->len < need) {
        if (best.host == NULL || !sched_fits(best.host, &cls->size)) {
            best.host = NULL;
            best.score = DBL_MAX;
            for (guint i = 0; i < cls->candidates->hosts->len; i++) {
                consider_host(sched, cls, job, NULL,
                              cls->candidates->hosts->pdata[i], &best);
            }
        }
        if (best.host == NULL) {
            break;
        }
        sched_add_size(&best.host->pending, &cls->size);
        g_ptr_array_add(out, best.host);
    }
    for (guint i = 0; i < out->len; i++) {
        struct sched_host *host = out->pdata[i];

        sched_subtract_size(&host->pending, &cls->size);
    }
    return out->len == need;
}

static void
start_probation(struct sched *sched, struct sched_host *host)
{
    host->probation_ms = host->probation_ms == 0 ? SCHED_PROBATION_MS
                                                 : MIN(host->probation_ms * 2,
                                                       SCHED_PROBATION_MAX_MS);
    host->probation_until_ms = sched->now_ms + host->probation_ms;
    sched->counters.probations++;
}

/* Reports whether failures point to the host, not to the work: tasks of two
 * jobs or more failed on it in a row, while most tasks of the fleet succeed.
 */
static bool
is_faulty_host(const struct sched *sched, const struct sched_host *host)
{
    return host->consecutive_failures >= SCHED_PROBATION_FAILURES &&
           host->several_jobs_failed && sched->failure_rate < 0.5;
}

void
sched_record_result(struct sched *sched, struct sched_host *host,
                    const struct task *task)
{
    bool failed = task->last_outcome == END_FAILED;
    bool was_probe = host->probe_task_id == task->id;

    if (was_probe) {
        host->probe_task_id = 0;
    }
    if (!failed && task->last_outcome != END_DONE) {
        return;
    }
    if (failed && task->state == TASK_WAITING && sched->policy.probation) {
        g_hash_table_replace(sched->avoided_hosts,
                             g_memdup2(&task->id, sizeof(task->id)), host);
    }
    else {
        g_hash_table_remove(sched->avoided_hosts, &task->id);
    }
    sched->failure_rate += 0.02 * ((failed ? 1.0 : 0.0) - sched->failure_rate);
    if (!sched->policy.probation) {
        return;
    }
    if (!failed) {
        host->consecutive_failures = 0;
        host->several_jobs_failed = false;
        host->probation_ms = 0;
        return;
    }
    if (host->consecutive_failures == 0) {
        host->first_failed_job_id = task->job->rec.id;
    }
    host->consecutive_failures++;
    if (host->first_failed_job_id != task->job->rec.id) {
        host->several_jobs_failed = true;
    }
    if (was_probe ||
        (host->probation_ms == 0 && is_faulty_host(sched, host))) {
        start_probation(sched, host);
    }
}

bool
sched_on_probation(const struct sched *sched, const struct target *target)
{
    const struct sched_host *host = target->sched;

    (void)sched;
    return host != NULL && host->probation_ms != 0;
}
