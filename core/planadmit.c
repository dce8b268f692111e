/* planadmit.c -- admission of jobs
 *
 * Workload: a burst of work with much slack on a service that is nearly full.
 * Accepted as a whole, it would start so late that each job of it misses its
 * objective, and so does what comes after it, for as long as the service has
 * little room to spare. A job that would miss its objective is refused at
 * once, with the time after which a job like it should be accepted.
 *
 * No kind of work is refused as a whole. A job is always admitted if its team
 * has no other job of its queue waiting or running; large jobs, and jobs that
 * were refused before, are admitted with a wider bound.
 *
 * The state is the leader's own and starts anew with each term.
 */
#include <string.h>

#include "core/planforecast.h"
#include "core/planpriv.h"

#define WAITING_TASKS_MAX 20000u /* bounds memory and the time of a pass */
/* A rejected client faces a backlog of some tens of seconds of work. */
#define BACKLOG_RETRY_MS 15000u
/* Bounds of the time after which a refused caller should come back. */
#define RETRY_MIN_MS 1000u       /* the header gives seconds */
#define RETRY_SPREAD_PERCENT 50u /* added at most, by the job's ID */
/* An admitted job that is not planned by then was not committed. */
#define UNPLANNED_MAX_MS 5000u
/* Refused jobs are remembered, at most so many and for so long. */
#define REFUSED_MAX 4096u
#define REFUSED_KEPT_MS 60000u
/* Margin of a queue, per mille of a job's slack: a forecast that was too early
 * by more than the margin widens it by a step, one that was not narrows it by
 * a quarter of a step; so that about one in five exceeds it. A new leader
 * knows nothing yet. */
#define MARGIN_FIRST_PERMILLE 300u
#define MARGIN_STEP_PERMILLE 80u
#define MARGIN_NARROWING_DIVISOR 4u
/* The scale of a queue's forecasts: the weight of the old value, and bounds. A
 * part of the chain is added to both times, so that small ones count little.
 */
#define SCALE_WEIGHT 8u
#define SCALE_MIN_PERMILLE 500u
#define SCALE_MAX_PERMILLE 2000u
#define SCALE_BASE_DIVISOR 4u
/* Part of a job's slack that is added to the bound for callers that come back
 * and for large jobs that are refused more often than others. */
#define WIDER_DIVISOR 4u
/* Weight of the old value in the part of the targets that is granted. */
#define GRANTS_WEIGHT 16u
/* A caller with so little slack that it could not come back in time is refused
 * only if its result would come too late to be of use: after so many
 * objectives. */
#define EXPIRY_FACTOR 3u
/* Work of a large job, of the mean of its queue. */
#define LARGE_FACTOR 2u
/* Large jobs of a queue are admitted at least at this rate, of the rate of all
 * its jobs; from this many offers on. */
#define LARGE_RATE_PERCENT 75u
#define LARGE_OFFERS_MIN 4u
/* Offers of a queue over which means are taken. */
#define MEAN_OFFERS 64u
/* The flow of work that arrives is taken over this time. */
#define INFLOW_MEAN_MS 5000.0

/* A job that was admitted, until a backlog counts it. */
struct admitted {
    uint64_t id;
    const struct fleet_queue *queue;
    const struct fleet_team *team;
    const struct plan_pool *pool;
    uint64_t key[3];
    struct backlog_work work;
    uint64_t at_ms;
    uint64_t end_ms; /* as forecast */
    bool is_planned;
};

struct refused {
    uint64_t id;
    uint64_t first_ms;
};

/* Work that arrives, of one priority of one service. */
struct inflow {
    const struct plan_pool *pool;
    uint64_t priority;
    bool beyond_share;
    double amount[BACKLOG_RESOURCE_COUNT]; /* decaying sum */
    double work[BACKLOG_RESOURCE_COUNT];
    double whole[BACKLOG_RESOURCE_COUNT];
    uint64_t decayed_ms;
};

/* What is known of a queue's jobs. [1]: of large ones. */
struct queue_record {
    uint64_t mean_work; /* task run time in ms */
    double offers[2];
    double admitted[2];
    uint32_t grants_permille;
    struct plan_queue_forecasts forecasts;
};

struct plan_admissions {
    GArray *admitted;      /* struct admitted */
    GHashTable *refused;   /* &refused.id to struct refused, owned */
    GQueue refused_by_age; /* struct refused, oldest first */
    GHashTable *queues;    /* struct fleet_queue to struct queue_record */
    GArray *inflows;       /* struct inflow */
};

struct plan_admissions *
plan_admissions_new(void)
{
    struct plan_admissions *admissions = g_new0(struct plan_admissions, 1);

    admissions->admitted = g_array_new(FALSE, FALSE, sizeof(struct admitted));
    admissions->refused =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_queue_init(&admissions->refused_by_age);
    admissions->queues =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    admissions->inflows = g_array_new(FALSE, FALSE, sizeof(struct inflow));
    return admissions;
}

void
plan_admissions_free(struct plan_admissions *admissions)
{
    g_array_free(admissions->admitted, TRUE);
    g_queue_clear(&admissions->refused_by_age);
    g_hash_table_destroy(admissions->refused);
    g_hash_table_destroy(admissions->queues);
    g_array_free(admissions->inflows, TRUE);
    g_free(admissions);
}

static struct queue_record *
get_or_add_record(struct plan_admissions *admissions,
                  const struct fleet_queue *queue)
{
    struct queue_record *record =
        g_hash_table_lookup(admissions->queues, queue);

    if (record == NULL) {
        record = g_new0(struct queue_record, 1);
        record->forecasts.scale_permille = 1000;
        record->forecasts.margin_permille = MARGIN_FIRST_PERMILLE;
        record->grants_permille = 1000;
        g_hash_table_insert(admissions->queues, (gpointer)queue, record);
    }
    return record;
}

const struct plan_queue_forecasts *
plan_queue_forecasts(const struct plan *plan, const struct fleet_queue *queue)
{
    const struct queue_record *record =
        g_hash_table_lookup(plan->admissions->queues, queue);

    return record != NULL ? &record->forecasts : NULL;
}

/* ---- work that arrives -------------------------------------------------- */

static void
decay_inflow(struct inflow *inflow, uint64_t now_ms)
{
    double factor =
        1 / (1 + (double)(now_ms - MIN(inflow->decayed_ms, now_ms)) /
                     INFLOW_MEAN_MS);

    for (int r = 0; r < BACKLOG_RESOURCE_COUNT; r++) {
        inflow->amount[r] *= factor;
        inflow->work[r] *= factor;
        inflow->whole[r] *= factor;
    }
    inflow->decayed_ms = now_ms;
}

static void
add_inflow(struct plan_admissions *admissions, const struct plan_pool *pool,
           uint64_t priority, bool beyond_share,
           const struct backlog_work *work, uint64_t now_ms)
{
    struct inflow *inflow = NULL;

    for (guint i = 0; inflow == NULL && i < admissions->inflows->len; i++) {
        struct inflow *other =
            &g_array_index(admissions->inflows, struct inflow, i);

        if (other->pool == pool && other->priority == priority &&
            other->beyond_share == beyond_share) {
            inflow = other;
        }
    }
    if (inflow == NULL) {
        const struct inflow added = {.pool = pool,
                                     .priority = priority,
                                     .beyond_share = beyond_share,
                                     .decayed_ms = now_ms};

        g_array_append_val(admissions->inflows, added);
        inflow = &g_array_index(admissions->inflows, struct inflow,
                                admissions->inflows->len - 1);
    }
    decay_inflow(inflow, now_ms);
    for (int r = 0; r < BACKLOG_RESOURCE_COUNT; r++) {
        inflow->amount[r] += (double)work->amount[r];
        inflow->work[r] += (double)work->work[r];
        inflow->whole[r] += (double)work->whole[r];
    }
}

void
plan_admissions_count(const struct plan *plan,
                      struct plan_forecast_input *input)
{
    const struct plan_admissions *admissions = plan->admissions;
    struct backlog_demand *demand = &input->demand;

    for (guint i = 0; i < admissions->admitted->len; i++) {
        const struct admitted *admitted =
            &g_array_index(admissions->admitted, struct admitted, i);

        if (admitted->pool == input->pool &&
            plan_compare_keys(admitted->key, demand->key) <= 0) {
            backlog_add_work(&demand->ahead, &admitted->work);
        }
    }
    for (guint i = 0; i < admissions->inflows->len; i++) {
        struct inflow inflow =
            g_array_index(admissions->inflows, struct inflow, i);

        if (inflow.pool != input->pool ||
            inflow.beyond_share > input->offer->beyond_share ||
            (inflow.beyond_share == input->offer->beyond_share &&
             inflow.priority >= input->offer->queue->conf.priority)) {
            continue;
        }
        decay_inflow(&inflow, plan->now_ms);
        for (int r = 0; r < BACKLOG_RESOURCE_COUNT; r++) {
            demand->inflow.amount[r] +=
                (uint64_t)(inflow.amount[r] * BACKLOG_INFLOW_MS /
                           INFLOW_MEAN_MS);
            demand->inflow.whole[r] +=
                (uint64_t)(inflow.whole[r] * BACKLOG_INFLOW_MS /
                           INFLOW_MEAN_MS);
            demand->inflow.work[r] +=
                (uint64_t)(inflow.work[r] * BACKLOG_INFLOW_MS /
                           INFLOW_MEAN_MS);
        }
    }
}

/* ---- forecasts against ends --------------------------------------------- */

uint32_t
plan_admissions_margin_ms(const struct plan *plan,
                          const struct fleet_queue *queue, uint32_t slack_ms)
{
    const struct queue_record *record =
        g_hash_table_lookup(plan->admissions->queues, queue);
    const uint32_t permille = record != NULL
                                  ? record->forecasts.margin_permille
                                  : MARGIN_FIRST_PERMILLE;

    return (uint32_t)((uint64_t)slack_ms * permille / 1000);
}

static uint32_t
slack_of(const struct plan_job *job)
{
    return job->objective_ms - MIN(job->critical_path_ms, job->objective_ms);
}

uint32_t
plan_admissions_scale_permille(const struct plan *plan,
                               const struct fleet_queue *queue)
{
    const struct queue_record *record =
        g_hash_table_lookup(plan->admissions->queues, queue);

    return record != NULL ? record->forecasts.scale_permille : 1000;
}

uint32_t
plan_admissions_grants_permille(const struct plan *plan,
                                const struct fleet_queue *queue)
{
    const struct queue_record *record =
        g_hash_table_lookup(plan->admissions->queues, queue);

    return record != NULL ? record->grants_permille : 1000;
}

void
plan_admissions_learn_grants(struct plan *plan,
                             const struct fleet_queue *queue, uint32_t granted,
                             uint32_t answered)
{
    struct queue_record *record;

    if (answered == 0) {
        return;
    }
    record = get_or_add_record(plan->admissions, queue);
    record->grants_permille = (record->grants_permille * (GRANTS_WEIGHT - 1) +
                               granted * 1000 / answered) /
                              GRANTS_WEIGHT;
}

/* Learns how the time that a job waited compares to the forecast. */
static void
learn_scale(struct plan_queue_forecasts *forecasts, const struct plan_job *job,
            uint64_t end_ms)
{
    const uint64_t ideal_ms = job->accepted_ms + job->critical_path_ms;
    const uint64_t base_ms = job->critical_path_ms / SCALE_BASE_DIVISOR + 1;
    uint64_t waited_ms = end_ms - MIN(ideal_ms, end_ms) + base_ms;
    uint64_t forecast_ms =
        job->forecast_end_ms - MIN(ideal_ms, job->forecast_end_ms) + base_ms;
    uint64_t ratio =
        waited_ms * forecasts->scale_permille / MAX(forecast_ms, 1);

    if (forecast_ms < base_ms * SCALE_BASE_DIVISOR / 2) {
        return; /* that the job waited little is the margin's business */
    }
    ratio = CLAMP(ratio, SCALE_MIN_PERMILLE, SCALE_MAX_PERMILLE);
    forecasts->scale_permille =
        (uint32_t)((forecasts->scale_permille * (SCALE_WEIGHT - 1) + ratio) /
                   SCALE_WEIGHT);
}

static void
judge_forecast(struct plan *plan, struct plan_job *job, uint64_t end_ms)
{
    struct plan_queue_forecasts *forecasts =
        &get_or_add_record(plan->admissions, job->job->queue)->forecasts;
    const uint32_t margin_ms =
        plan_admissions_margin_ms(plan, job->job->queue, slack_of(job));

    if (end_ms > job->forecast_end_ms) {
        histogram_add(&forecasts->too_early_ms, end_ms - job->forecast_end_ms);
    }
    else {
        histogram_add(&forecasts->too_late_ms, job->forecast_end_ms - end_ms);
    }
    if (end_ms > job->forecast_end_ms + margin_ms) {
        forecasts->margin_permille =
            MIN(forecasts->margin_permille + MARGIN_STEP_PERMILLE, 1000);
    }
    else {
        forecasts->margin_permille -=
            MIN(MARGIN_STEP_PERMILLE / MARGIN_NARROWING_DIVISOR,
                forecasts->margin_permille);
    }
    learn_scale(forecasts, job, end_ms);
}

void
plan_admissions_check_overdue(struct plan *plan, struct plan_job *job,
                              uint64_t now_ms)
{
    if (job->forecast_end_ms != 0 && !job->forecast_overdue &&
        now_ms > job->forecast_end_ms +
                     plan_admissions_margin_ms(plan, job->job->queue,
                                               slack_of(job))) {
        job->forecast_overdue = true;
        judge_forecast(plan, job, now_ms);
    }
}

void
plan_admissions_job_added(struct plan *plan, struct plan_job *job,
                          uint64_t now_ms)
{
    struct plan_admissions *admissions = plan->admissions;

    for (guint i = 0; i < admissions->admitted->len; i++) {
        struct admitted *admitted =
            &g_array_index(admissions->admitted, struct admitted, i);

        if (admitted->id == job->job->submit.id && !admitted->is_planned) {
            admitted->is_planned = true;
            job->forecast_end_ms = admitted->end_ms;
            add_inflow(admissions, admitted->pool,
                       job->job->queue->conf.priority, job->job->beyond_share,
                       &admitted->work, now_ms);
        }
    }
}

void
plan_admissions_job_ended(struct plan *plan, struct plan_job *job,
                          uint64_t now_ms)
{
    if (job->forecast_end_ms != 0 && job->job->state == JOB_COMPLETED) {
        judge_forecast(plan, job, now_ms);
    }
}

static void
forget_refused(struct plan_admissions *admissions)
{
    struct refused *refused = g_queue_pop_head(&admissions->refused_by_age);

    g_hash_table_remove(admissions->refused, &refused->id);
}

void
plan_admissions_tick(struct plan *plan, uint64_t now_ms)
{
    struct plan_admissions *admissions = plan->admissions;

    for (guint i = admissions->admitted->len; i > 0; i--) {
        const struct admitted *admitted =
            &g_array_index(admissions->admitted, struct admitted, i - 1);

        if (admitted->is_planned ||
            now_ms > admitted->at_ms + UNPLANNED_MAX_MS) {
            g_array_remove_index_fast(admissions->admitted, i - 1);
        }
    }
    while (admissions->refused_by_age.length > 0) {
        const struct refused *oldest = admissions->refused_by_age.head->data;

        if (now_ms <= oldest->first_ms + REFUSED_KEPT_MS &&
            admissions->refused_by_age.length <= REFUSED_MAX) {
            break;
        }
        forget_refused(admissions);
    }
}

/* ---- decisions ---------------------------------------------------------- */

static bool
is_too_much(const struct plan *plan)
{
    uint64_t tasks = 0;

    for (guint i = 0; i < plan->open_steps->len; i++) {
        const struct plan_step *step = plan->open_steps->pdata[i];

        tasks += step->pending;
    }
    return tasks > WAITING_TASKS_MAX;
}

/* Whether the team has a job of the queue that waits or runs. */
static bool
has_other_job(const struct plan *plan, const struct plan_pool *pool,
              const struct plan_offer *offer)
{
    const struct plan_admissions *admissions = plan->admissions;

    for (guint i = 0; i < admissions->admitted->len; i++) {
        const struct admitted *admitted =
            &g_array_index(admissions->admitted, struct admitted, i);

        if (admitted->queue == offer->queue && admitted->team == offer->team) {
            return true;
        }
    }
    for (guint i = 0; i < plan->open_steps->len; i++) {
        const struct fleet_job *job =
            ((const struct plan_step *)plan->open_steps->pdata[i])->job->job;

        if (job->queue == offer->queue && job->team == offer->team) {
            return true;
        }
    }
    for (guint i = 0; i < pool->targets->len; i++) {
        const struct plan_target *target = pool->targets->pdata[i];

        for (guint k = 0; k < target->runs->len; k++) {
            const struct plan_run *run = target->runs->pdata[k];

            if (run->step != NULL && run->team == offer->team &&
                run->step->job->job->queue == offer->queue) {
                return true;
            }
        }
    }
    return false;
}

static uint64_t
total_work(const struct fleet_submit *submit)
{
    const struct fleet_step *steps = submit->steps.items;
    uint64_t work = 0;

    for (uint32_t i = 0; i < submit->steps.count; i++) {
        work += (uint64_t)steps[i].count * steps[i].estimate_ms;
    }
    return work;
}

/* Counts an offer; returns its size class: 1 for a large job. */
static int
count_offer(struct queue_record *record, const struct plan_offer *offer)
{
    const uint64_t work = total_work(offer->submit);
    const int is_large =
        record->mean_work > 0 && work > record->mean_work * LARGE_FACTOR;

    record->mean_work =
        record->mean_work == 0
            ? work
            : (record->mean_work * (MEAN_OFFERS - 1) + work) / MEAN_OFFERS;
    for (int i = 0; i < 2; i++) {
        record->offers[i] -= record->offers[i] / MEAN_OFFERS;
        record->admitted[i] -= record->admitted[i] / MEAN_OFFERS;
    }
    record->offers[is_large]++;
    return is_large;
}

/* Whether large jobs of the queue are admitted less often than others. */
static bool
falls_short(const struct queue_record *record)
{
    const double offers = record->offers[0] + record->offers[1];
    const double admitted = record->admitted[0] + record->admitted[1];

    return record->offers[1] >= LARGE_OFFERS_MIN &&
           record->admitted[1] * offers * 100 <
               admitted * record->offers[1] * LARGE_RATE_PERCENT;
}

static void
remember_refused(struct plan_admissions *admissions, uint64_t id,
                 uint64_t now_ms)
{
    struct refused *refused = g_new(struct refused, 1);

    refused->id = id;
    refused->first_ms = now_ms;
    g_hash_table_insert(admissions->refused, &refused->id, refused);
    g_queue_push_tail(&admissions->refused_by_age, refused);
}

/* Workload: callers of one burst that are refused together. They come back
 * spread over half of the time again. A caller that would come back later than
 * half of its slack has no use for that: it may try while it has time. */
static uint32_t
retry_after_ms(uint64_t id, uint32_t excess_ms, uint32_t slack_ms)
{
    uint32_t after_ms =
        CLAMP(excess_ms, RETRY_MIN_MS, MAX(slack_ms / 2, RETRY_MIN_MS));
    uint32_t spread_ms = after_ms * RETRY_SPREAD_PERCENT / 100;

    return after_ms +
           (uint32_t)((id ^ id >> 32) * 2654435761u % (spread_ms + 1));
}

static void
keep_admitted(struct plan *plan, const struct plan_offer *offer,
              const struct plan_forecast *forecast, uint64_t now_ms)
{
    struct plan_forecast_input input;
    struct admitted admitted = {.id = offer->submit->id,
                                .queue = offer->queue,
                                .team = offer->team,
                                .at_ms = now_ms,
                                .end_ms = now_ms + forecast->end_ms};

    plan_forecast_prepare(plan, offer, now_ms, &input);
    admitted.pool = input.pool;
    admitted.work = input.demand.own;
    memcpy(admitted.key, input.demand.key, sizeof(admitted.key));
    g_array_append_val(plan->admissions->admitted, admitted);
}

static bool
exceeds_objective(struct plan *plan, const struct plan_offer *offer,
                  const struct plan_forecast *forecast, uint32_t chain_ms,
                  uint64_t now_ms, struct plan_admission *admission)
{
    struct plan_admissions *admissions = plan->admissions;
    struct queue_record *record = get_or_add_record(admissions, offer->queue);
    const uint32_t slack_ms = forecast->objective_ms > chain_ms
                                  ? forecast->objective_ms - chain_ms
                                  : 0;
    uint32_t bound_ms =
        forecast->objective_ms - MIN(forecast->margin_ms, slack_ms / 2);
    const int is_large = count_offer(record, offer);
    const struct refused *refused =
        g_hash_table_lookup(admissions->refused, &offer->submit->id);
    const bool came_back = refused != NULL;

    if (came_back || (is_large && falls_short(record))) {
        bound_ms += slack_ms / WIDER_DIVISOR;
    }
    bound_ms = MAX(bound_ms, chain_ms + RETRY_MIN_MS);
    if (came_back) {
        bound_ms -= (uint32_t)MIN(now_ms - refused->first_ms, bound_ms);
    }
    if (slack_ms < 2 * RETRY_MIN_MS) {
        bound_ms = forecast->objective_ms * EXPIRY_FACTOR;
    }
    if (forecast->holds_policy) {
        bound_ms = chain_ms;
    }
    if (forecast->end_ms <= bound_ms ||
        !has_other_job(
            plan, g_hash_table_lookup(plan->pools, offer->queue->conf.service),
            offer)) {
        record->admitted[is_large]++;
        return false;
    }
    admission->retry_after_ms = retry_after_ms(
        offer->submit->id, forecast->end_ms - bound_ms, slack_ms);
    record->forecasts.refused++;
    histogram_add(&record->forecasts.retry_after_ms,
                  admission->retry_after_ms);
    if (!came_back) {
        remember_refused(admissions, offer->submit->id, now_ms);
    }
    return true;
}

static void
decide_by_forecast(struct plan *plan, const struct plan_offer *offer,
                   uint64_t now_ms, struct plan_admission *admission)
{
    const struct plan_pool *pool =
        g_hash_table_lookup(plan->pools, offer->queue->conf.service);
    struct plan_forecast forecast;

    if (pool == NULL || pool->targets->len == 0) {
        return; /* nothing is known of the service yet */
    }
    if (pool->backlog == NULL) {
        plan_sort_open_steps(plan, now_ms);
        plan_update_backlogs(plan, now_ms);
    }
    if (pool->backlog == NULL) {
        return;
    }
    forecast = plan_forecast(plan, offer, now_ms);
    admission->wait_ms = forecast.wait_ms;
    admission->end_ms = forecast.end_ms;
    admission->objective_ms = forecast.objective_ms;
    admission->margin_ms = forecast.margin_ms;
    admission->scale_permille = forecast.scale_permille;
    admission->scarce = forecast.scarce;
    admission->own = forecast.own;
    admission->ahead = forecast.ahead;
    admission->age_ms =
        (uint32_t)(now_ms - MIN(pool->backlog->made_ms, now_ms));
    if (exceeds_objective(
            plan, offer, &forecast,
            plan_critical_path_ms(offer->submit, &offer->queue->conf), now_ms,
            admission)) {
        admission->err = FP_ERR_BUSY;
        admission->reason = "it would end after its objective";
        return;
    }
    keep_admitted(plan, offer, &forecast, now_ms);
}

struct plan_admission
plan_admit(struct plan *plan, const struct plan_offer *offer, uint64_t now_ms)
{
    const struct fleet_step *steps = offer->submit->steps.items;
    struct plan_admission admission = {
        .err = FP_OK, .reason = "", .scarce = ""};

    if (is_too_much(plan)) {
        admission.err = FP_ERR_BUSY;
        admission.retry_after_ms = BACKLOG_RETRY_MS;
        admission.reason = "too many tasks wait";
    }
    else if (plan->params.policy->forecasts &&
             offer->submit->steps.count > 0 && !steps[0].lasting) {
        decide_by_forecast(plan, offer, now_ms, &admission);
    }
    if (admission.err != FP_OK) {
        plan->counters.jobs_rejected++;
    }
    return admission;
}
