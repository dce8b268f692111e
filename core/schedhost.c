/* schedhost.c -- which host a task goes to, and which hosts are trusted
 *
 * The hosts that a domain's work may use are collected once and kept; looking
 * for room costs one pass over them. After a failed pass only the hosts that
 * were freed since are looked at, so that work that does not fit costs little
 * while it waits. Neither cost grows with the number of running tasks.
 */
#include <float.h>
#include <string.h>

#include "core/schedpriv.h"

#define ACCEL_PENALTY 8.0 /* for work without accelerators on such a host */
#define ACCEL_WEIGHT 4.0

void
sched_take(struct use *use, const struct change_submit *size)
{
    use->running++;
    use->cpu_milli += size->cpu_milli;
    use->memory_mb += size->memory_mb;
    use->accel += size->accel;
}

void
sched_return(struct use *use, const struct change_submit *size)
{
    use->running--;
    use->cpu_milli -= size->cpu_milli;
    use->memory_mb -= size->memory_mb;
    use->accel -= size->accel;
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
sched_count_total(struct sched *sched)
{
    memset(&sched->total, 0, sizeof(sched->total));
    for (guint i = 0; i < sched->hosts->len; i++) {
        const struct sched_host *host = sched->hosts->pdata[i];
        const struct change_target *rec = &host->target->rec;

        if (rec->state == TARGET_UP) {
            sched->total.cpu_milli += rec->cpu_milli;
            sched->total.memory_mb += rec->memory_mb;
            sched->total.accel += rec->accel;
        }
    }
}

void
sched_note_freed(struct sched *sched, struct sched_host *host)
{
    sched->freed[sched->freed_count % SCHED_FREED_RING] = host;
    sched->freed_count++;
}

struct domain *
sched_domain(struct sched *sched, const struct job *job)
{
    char *key = g_strdup_printf("%s\n%s\n%s", job->rec.queue,
                                job->rec.selector, job->rec.labels);
    struct domain *domain = g_hash_table_lookup(sched->domains, key);

    if (domain != NULL) {
        g_free(key);
        return domain;
    }
    domain = g_new0(struct domain, 1);
    domain->key = key;
    domain->hosts = g_ptr_array_new();
    domain->member = g_byte_array_new();
    domain->stale = true;
    g_hash_table_insert(sched->domains, domain->key, domain);
    return domain;
}

void
sched_stale_domains(struct sched *sched)
{
    GHashTableIter iter;
    struct domain *domain;

    g_hash_table_iter_init(&iter, sched->domains);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&domain)) {
        domain->stale = true;
    }
}

/* Reports whether quiet hours keep the work off the target now. */
static bool
is_quiet(const struct sched *sched, const struct job *job,
         const struct target *target)
{
    GHashTableIter iter;
    struct hours *hours;

    g_hash_table_iter_init(&iter, sched->cell->hours);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&hours)) {
        if (hours->conf.action != HOURS_THROTTLE &&
            selector_match(hours->work, job->rec.labels) &&
            selector_match(hours->hosts, target->labels) &&
            sched_hours_active(&hours->conf, sched->wall_ms)) {
            return true;
        }
    }
    return false;
}

void
sched_collect(struct sched *sched, struct domain *domain,
              const struct job *job)
{
    domain->stale = false;
    domain->quiet = false;
    g_ptr_array_set_size(domain->hosts, 0);
    g_byte_array_set_size(domain->member, sched->hosts->len);
    memset(domain->member->data, 0, sched->hosts->len);
    for (guint i = 0; i < sched->hosts->len; i++) {
        struct sched_host *host = sched->hosts->pdata[i];

        if (host->target->rec.state != TARGET_UP ||
            !cell_selects(job, host->target)) {
            continue;
        }
        if (is_quiet(sched, job, host->target)) {
            domain->quiet = true;
            continue;
        }
        domain->member->data[i] = 1;
        g_ptr_array_add(domain->hosts, host);
    }
}

static bool
exceeds(uint64_t size, uint64_t used, uint64_t pending, uint64_t more)
{
    return used + pending + more > size;
}

bool
sched_room(const struct sched_host *host, const struct change_submit *size)
{
    const struct change_target *rec = &host->target->rec;
    const struct use *use = &host->target->use;
    const struct use *pending = &host->pending;

    return !exceeds(rec->cpu_milli, use->cpu_milli, pending->cpu_milli,
                    size->cpu_milli) &&
           !exceeds(rec->memory_mb, use->memory_mb, pending->memory_mb,
                    size->memory_mb) &&
           !exceeds(rec->accel, use->accel, pending->accel, size->accel);
}

/* Room for one more beside what is held for others. */
static bool
room_beside(const struct sched_host *host, const struct change_submit *size,
            const struct use *held, uint32_t count)
{
    struct sched_host after = *host;

    after.pending.cpu_milli += held->cpu_milli * count;
    after.pending.memory_mb += held->memory_mb * count;
    after.pending.accel += held->accel * count;
    return sched_room(&after, size);
}

static bool
probation_allows(const struct sched *sched, const struct sched_host *host,
                 const struct work_class *cls)
{
    if (host->probation_ms == 0) {
        return true;
    }
    return sched->now_ms >= host->probation_until_ms &&
           host->probe_task == 0 && cls->size.kind == WORK_BATCH;
}

bool
sched_host_open(const struct sched *sched, const struct sched_host *host,
                const struct work_class *cls, const struct job *job)
{
    struct use earmarked = {0, 0, 0, 0};

    if (host->target->rec.state != TARGET_UP ||
        !probation_allows(sched, host, cls)) {
        return false;
    }
    if (host->earmark != NULL) {
        sched_take(&earmarked, &host->earmark->size);
    }
    if (host->earmark != NULL && host->earmark != cls &&
        sched->now_ms < host->earmark_until_ms &&
        !room_beside(host, &cls->size, &earmarked, host->earmark_count)) {
        return false;
    }
    if (host->reserved && job != sched->reserved_for &&
        cls->size.kind != WORK_URGENT &&
        !room_beside(host, &cls->size, &host->reserved_size,
                     host->reserved_tasks)) {
        return sched->now_ms + sched_expected_run_ms(sched, job) <=
               host->start_ms;
    }
    return true;
}

void
sched_note_accel_work(struct sched *sched, const struct change_submit *size)
{
    double cpu = (double)size->cpu_milli / size->accel;
    double memory = (double)size->memory_mb / size->accel;

    if (!sched->accel_seen) {
        sched->accel_cpu_milli = cpu;
        sched->accel_memory_mb = memory;
    }
    sched->accel_cpu_milli += 0.05 * (cpu - sched->accel_cpu_milli);
    sched->accel_memory_mb += 0.05 * (memory - sched->accel_memory_mb);
    sched->accel_seen = true;
}

static uint64_t
accel_waiting(const struct sched *sched)
{
    uint64_t count = 0;

    for (guint i = 0; i < sched->team_list->len; i++) {
        const struct sched_team *entry = sched->team_list->pdata[i];

        for (guint j = 0; j < entry->classes->len; j++) {
            const struct work_class *cls = entry->classes->pdata[j];

            if (cls->block != SCHED_BLOCK_LIMIT) {
                count += (uint64_t)cls->size.accel * cls->count;
            }
        }
    }
    return count;
}

/* Free accelerators that still have beside them what their work takes along.
 */
static uint64_t
accel_usable(const struct sched *sched)
{
    double count = 0;

    for (guint i = 0; i < sched->hosts->len; i++) {
        const struct sched_host *host = sched->hosts->pdata[i];
        const struct change_target *rec = &host->target->rec;
        const struct use *use = &host->target->use;
        double cpu = (double)(rec->cpu_milli - use->cpu_milli);
        double memory = (double)(rec->memory_mb - use->memory_mb);

        if (rec->state == TARGET_UP && rec->accel > use->accel) {
            count += MIN((double)(rec->accel - use->accel),
                         MIN(cpu / MAX(sched->accel_cpu_milli, 1),
                             memory / MAX(sched->accel_memory_mb, 1)));
        }
    }
    return (uint64_t)count;
}

void
sched_count_accel(struct sched *sched)
{
    if (!sched->accel_seen || sched->now_ms < sched->accel_look_ms) {
        return;
    }
    sched->accel_look_ms = sched->now_ms + SCHED_ACCEL_LOOK_MS;
    sched->accel_scarce =
        accel_usable(sched) <=
        accel_waiting(sched) + sched->total.accel / SCHED_ACCEL_SPARE;
}

/* Work without accelerators leaves beside each free accelerator the
 * processors and the memory that its work takes along, while free ones are
 * scarce: an accelerator without them is of no use to anyone.
 */
static bool
leaves_accel_usable(const struct sched *sched, const struct sched_host *host,
                    const struct change_submit *size)
{
    const struct change_target *rec = &host->target->rec;
    const struct use *use = &host->target->use;
    const struct use *pending = &host->pending;
    double free_accel;
    double cpu;
    double memory;

    if (size->accel > 0 || rec->accel == 0 || !sched->accel_scarce) {
        return true;
    }
    free_accel = (double)(rec->accel - use->accel - pending->accel);
    cpu = (double)(rec->cpu_milli - use->cpu_milli - pending->cpu_milli -
                   size->cpu_milli);
    memory = (double)(rec->memory_mb - use->memory_mb - pending->memory_mb -
                      size->memory_mb);
    return cpu >= free_accel * sched->accel_cpu_milli &&
           memory >= free_accel * sched->accel_memory_mb;
}

static double
left_over(uint64_t size, uint64_t used, uint64_t pending, uint64_t more)
{
    return size == 0 ? 0.0
                     : (double)(size - used - pending - more) / (double)size;
}

/* What would stay free, each resource as a part of the host's size. */
static double
tightness(const struct sched_host *host, const struct change_submit *size)
{
    const struct change_target *rec = &host->target->rec;
    const struct use *use = &host->target->use;
    const struct use *pending = &host->pending;

    return left_over(rec->cpu_milli, use->cpu_milli, pending->cpu_milli,
                     size->cpu_milli) +
           left_over(rec->memory_mb, use->memory_mb, pending->memory_mb,
                     size->memory_mb) +
           left_over(rec->accel, use->accel, pending->accel, size->accel);
}

/* Packs work tightly; keeps accelerator hosts for work that needs them. */
static double
packed_score(const struct sched_host *host, const struct change_submit *size)
{
    double score = tightness(host, size);

    if (host->target->rec.accel == 0) {
        return score;
    }
    if (size->accel == 0) {
        return score + ACCEL_PENALTY;
    }
    return score + ACCEL_WEIGHT * left_over(host->target->rec.accel,
                                            host->target->use.accel,
                                            host->pending.accel, size->accel);
}

/* Tasks of the same job in the same data centre, rack and host. */
static double
crowding(const struct sched_host *host, const struct job *job)
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

/* Spreads a service over data centres, racks and hosts; then the emptiest. */
static double
spread_score(const struct sched_host *host, const struct job *job)
{
    double score = crowding(host, job) * 16 - tightness(host, &job->rec);

    if (host->target->rec.accel > 0 && job->rec.accel == 0) {
        score += ACCEL_PENALTY;
    }
    return score;
}

static double
score_of(const struct sched *sched, const struct sched_host *host,
         const struct work_class *cls, const struct job *job)
{
    switch (sched->policy.choice) {
    case SCHED_FIRST_FIT:
        return host->index;
    case SCHED_BEST_FIT:
        return tightness(host, &cls->size);
    case SCHED_BY_KIND:
        break;
    }
    if (cls->size.kind == WORK_SERVICE) {
        return spread_score(host, job);
    }
    return packed_score(host, &cls->size);
}

/* The best host so far. */
struct best {
    struct sched_host *host;
    double score;
};

static void
consider(const struct sched *sched, const struct work_class *cls,
         const struct job *job, const struct sched_host *avoided,
         struct sched_host *host, struct best *best)
{
    double score;

    if (!sched_room(host, &cls->size) ||
        !sched_host_open(sched, host, cls, job)) {
        return;
    }
    if (sched->policy.choice == SCHED_BY_KIND &&
        cls->size.kind != WORK_URGENT &&
        !leaves_accel_usable(sched, host, &cls->size)) {
        return;
    }
    score = score_of(sched, host, cls, job);
    if (host->earmark == cls) {
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

static bool
only_freed(const struct sched *sched, const struct work_class *cls)
{
    return cls->block == SCHED_BLOCK_ROOM && cls->seen_freed != 0 &&
           sched->freed_count - cls->seen_freed <= SCHED_FREED_SCAN_MAX &&
           sched->now_ms < cls->full_scan_ms + SCHED_RETRY_SCAN_MS;
}

struct sched_host *
sched_choose(struct sched *sched, struct work_class *cls,
             const struct task *task)
{
    const struct domain *domain = cls->domain;
    const struct sched_host *avoided =
        g_hash_table_lookup(sched->avoid, &task->id);
    struct best best = {NULL, DBL_MAX};

    if (only_freed(sched, cls)) {
        for (uint64_t at = cls->seen_freed; at < sched->freed_count; at++) {
            struct sched_host *host = sched->freed[at % SCHED_FREED_RING];

            if (host->index < domain->member->len &&
                domain->member->data[host->index]) {
                consider(sched, cls, task->job, avoided, host, &best);
            }
        }
        return best.host;
    }
    cls->full_scan_ms = sched->now_ms;
    for (guint i = 0; i < domain->hosts->len; i++) {
        consider(sched, cls, task->job, avoided, domain->hosts->pdata[i],
                 &best);
    }
    return best.host;
}

/* Fills the tightest host first and stays on it while it has room, so that a
 * gang of n tasks costs one pass for each host that it uses.
 */
bool
sched_choose_gang(struct sched *sched, struct work_class *cls,
                  const struct job *job, GPtrArray *out)
{
    uint32_t need = ((const struct gang *)job->sched)->waiting;
    struct best best = {NULL, DBL_MAX};

    while (out->len < need) {
        if (best.host == NULL || !sched_room(best.host, &cls->size)) {
            best.host = NULL;
            best.score = DBL_MAX;
            for (guint i = 0; i < cls->domain->hosts->len; i++) {
                consider(sched, cls, job, NULL, cls->domain->hosts->pdata[i],
                         &best);
            }
        }
        if (best.host == NULL) {
            break;
        }
        sched_take(&best.host->pending, &cls->size);
        g_ptr_array_add(out, best.host);
    }
    for (guint i = 0; i < out->len; i++) {
        struct sched_host *host = out->pdata[i];

        sched_return(&host->pending, &cls->size);
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

/* A target is suspect when tasks of two jobs or more failed on it in a row
 * while most tasks elsewhere do not: then it is the target, not the work.
 */
static bool
is_suspect(const struct sched *sched, const struct sched_host *host)
{
    return host->failures_in_row >= SCHED_PROBATION_FAILURES &&
           host->failed_two && sched->failure_rate < 0.5;
}

void
sched_note_result(struct sched *sched, struct sched_host *host,
                  const struct task *task)
{
    bool failed = task->last_outcome == END_FAILED;
    bool was_probe = host->probe_task == task->id;

    if (was_probe) {
        host->probe_task = 0;
    }
    if (!failed && task->last_outcome != END_DONE) {
        return;
    }
    if (failed && task->state == TASK_WAITING && sched->policy.probation) {
        g_hash_table_replace(sched->avoid,
                             g_memdup2(&task->id, sizeof(task->id)), host);
    }
    else {
        g_hash_table_remove(sched->avoid, &task->id);
    }
    sched->failure_rate += 0.02 * ((failed ? 1.0 : 0.0) - sched->failure_rate);
    if (!sched->policy.probation) {
        return;
    }
    if (!failed) {
        host->failures_in_row = 0;
        host->failed_two = false;
        host->probation_ms = 0;
        return;
    }
    if (host->failures_in_row == 0) {
        host->failed_job = task->job->rec.id;
    }
    host->failures_in_row++;
    if (host->failed_job != task->job->rec.id) {
        host->failed_two = true;
    }
    if (was_probe || (host->probation_ms == 0 && is_suspect(sched, host))) {
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
