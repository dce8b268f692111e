/* planspeed.c -- how fast targets run work, learned from the ends of runs */
#include "core/planspeed.h"

#include <stdlib.h>
#include <string.h>

#include "core/planpriv.h"

/* Without an end for so long, nothing is known of a target any more. */
#define SPEED_AGE_MS 30000u
/* A run that ends in less than this part of its expected time has not done the
 * work. */
#define CREDIBLE_PERMILLE 125u
/* Kept comparisons are within these, so that no run counts beyond reason. */
#define SLOWNESS_MIN_PERMILLE 250u
#define SLOWNESS_MAX_PERMILLE 20000u
#define USUAL_PERMILLE 1000u
/* From this on, against the typical target or its own average, a target is
 * slow. */
#define SLOW_PERMILLE 1500u
/* Weight of the old value, of 16, in a target's own average. */
#define OWN_OLD_WEIGHT 15u
/* The part of a step's tasks, in thousandths, whose ends make its typical run
 * time: beyond the median, as the fast ones end first. */
#define TYPICAL_AFTER_PERMILLE 750u
#define KINDS_MAX 64u
/* Weight of the old value, of 8, in the smoothed run time of a target. */
#define SLOWDOWN_OLD_WEIGHT 7u
#define SLOWDOWN_MAX_PERMILLE 20000u

/* A run of a step whose typical run time is not known yet. */
struct step_end {
    struct plan_target *target; /* a reference */
    uint64_t run_ms;
};

static int
compare_permille(const void *a, const void *b)
{
    return *(const uint16_t *)a - *(const uint16_t *)b;
}

static int
compare_ends(const void *a, const void *b)
{
    const struct step_end *x = a;
    const struct step_end *y = b;

    return x->run_ms < y->run_ms ? -1 : x->run_ms > y->run_ms;
}

/* ---- one speed ---------------------------------------------------------- */

static void
add_to_speed(struct plan_speed *speed, uint64_t permille, uint64_t now_ms)
{
    uint16_t sorted[PLAN_SPEED_ENDS_MAX];
    uint32_t kept;

    if (now_ms > speed->learned_ms + SPEED_AGE_MS) {
        memset(speed, 0, sizeof(*speed));
    }
    permille = CLAMP(permille, SLOWNESS_MIN_PERMILLE, SLOWNESS_MAX_PERMILLE);
    speed->last_permille[speed->ends++ % PLAN_SPEED_ENDS_MAX] =
        (uint16_t)permille;
    speed->learned_ms = now_ms;
    kept = MIN(speed->ends, PLAN_SPEED_ENDS_MAX);
    memcpy(sorted, speed->last_permille, sizeof(sorted));
    qsort(sorted, kept, sizeof(sorted[0]), compare_permille);
    speed->permille = sorted[kept / 2];
    if (speed->ends <= PLAN_SPEED_ENDS_MAX) {
        speed->own_permille = speed->permille;
    }
    else {
        speed->own_permille =
            (speed->own_permille * OWN_OLD_WEIGHT + speed->permille) /
            (OWN_OLD_WEIGHT + 1);
    }
}

static bool
is_known(const struct plan_speed *speed, uint64_t now_ms)
{
    return speed->ends >= PLAN_SPEED_ENDS_MIN &&
           now_ms <= speed->learned_ms + SPEED_AGE_MS;
}

/* ---- kinds -------------------------------------------------------------- */

/* The labels of a target without its rack. */
static void
copy_kind_labels(const struct fleet_target_rec *rec, char *labels)
{
    char **items = g_strsplit(rec->labels, ",", -1);

    labels[0] = '\0';
    for (char **item = items; *item != NULL; item++) {
        if (strcmp(*item, rec->rack) != 0) {
            g_strlcat(labels, *item, FLEET_LABELS_BYTES);
            g_strlcat(labels, ",", FLEET_LABELS_BYTES);
        }
    }
    g_strfreev(items);
}

void
plan_forget_speed(struct plan_target *target)
{
    memset(&target->speed, 0, sizeof(target->speed));
}

void
plan_set_kind(struct plan_target *target)
{
    GPtrArray *kinds = target->pool->kinds;
    struct plan_kind *kind = NULL;
    struct plan_kind key = {.capacity = target->capacity};

    copy_kind_labels(&target->target->rec, key.labels);
    for (guint i = 0; i < kinds->len; i++) {
        kind = kinds->pdata[i];
        if (strcmp(kind->labels, key.labels) == 0 &&
            memcmp(&kind->capacity, &key.capacity, sizeof(key.capacity)) ==
                0) {
            break;
        }
        kind = NULL;
    }
    if (kind == NULL && kinds->len < KINDS_MAX) {
        kind = g_memdup2(&key, sizeof(key));
        g_ptr_array_add(kinds, kind);
    }
    if (target->kind != kind) {
        plan_forget_speed(target);
        target->kind = kind;
    }
}

uint32_t
plan_slowness_permille(const struct plan *plan,
                       const struct plan_target *target)
{
    if (is_known(&target->speed, plan->now_ms)) {
        return target->speed.permille;
    }
    if (target->kind != NULL && is_known(&target->kind->speed, plan->now_ms)) {
        return target->kind->speed.permille;
    }
    return USUAL_PERMILLE;
}

enum plan_speed_verdict
plan_speed_verdict(const struct plan *plan, const struct plan_target *target)
{
    const struct plan_speed *speed = &target->speed;

    if (!is_known(speed, plan->now_ms)) {
        return SPEED_UNKNOWN;
    }
    if (speed->permille < SLOW_PERMILLE) {
        return SPEED_USUAL;
    }
    return speed->permille * 1000ull >=
                   (uint64_t)speed->own_permille * SLOW_PERMILLE
               ? SPEED_TURNED_SLOW
               : SPEED_SLOW;
}

const char *
plan_speed_verdict_text(enum plan_speed_verdict verdict)
{
    static const char *const texts[] = {
        [SPEED_UNKNOWN] = "unknown",
        [SPEED_USUAL] = "usual",
        [SPEED_SLOW] = "slow",
        [SPEED_TURNED_SLOW] = "turned slow",
    };

    return texts[verdict];
}

/* ---- expected run times ------------------------------------------------- */

/* Run time away from the data's rack, of that on it. */
static uint64_t
rack_permille(const struct plan *plan, const struct plan_step *step,
              const struct plan_target *target)
{
    return target != NULL && step->def->rack[0] != '\0' &&
                   strcmp(step->def->rack, target->target->rec.rack) != 0
               ? plan->params.remote_run_permille
               : 1000;
}

static const struct plan_speed *
find_queue_ratio(const struct plan *plan, const struct plan_step *step)
{
    return g_hash_table_lookup(plan->queue_ratios, step->job->job->queue);
}

/* Expected run time on a typical target. */
static uint64_t
typical_run_ms(const struct plan *plan, const struct plan_step *step)
{
    const struct plan_speed *ratio;

    if (step->typical_run_ms != 0) {
        return step->typical_run_ms;
    }
    ratio = find_queue_ratio(plan, step);
    return ratio != NULL && is_known(ratio, plan->now_ms)
               ? (uint64_t)step->def->estimate_ms * ratio->permille / 1000
               : step->def->estimate_ms;
}

uint64_t
plan_run_time_ms(const struct plan *plan, const struct plan_step *step,
                 const struct plan_target *target)
{
    uint64_t run_ms = step->def->estimate_ms;

    if (plan->params.policy->learns_speeds) {
        run_ms = typical_run_ms(plan, step);
        if (target != NULL) {
            run_ms = run_ms * plan_slowness_permille(plan, target) / 1000;
        }
    }
    return run_ms * rack_permille(plan, step, target) / 1000;
}

/* ---- learning ----------------------------------------------------------- */

static void
learn_queue_ratio(struct plan *plan, const struct plan_step *step,
                  uint64_t run_ms)
{
    struct plan_speed *ratio =
        g_hash_table_lookup(plan->queue_ratios, step->job->job->queue);

    if (step->def->estimate_ms == 0) {
        return;
    }
    if (ratio == NULL) {
        ratio = g_new0(struct plan_speed, 1);
        g_hash_table_insert(plan->queue_ratios, step->job->job->queue, ratio);
    }
    add_to_speed(ratio, run_ms * 1000 / step->def->estimate_ms, plan->now_ms);
}

static void
learn_target(const struct plan *plan, struct plan_target *target,
             uint64_t run_ms, uint64_t typical_ms)
{
    uint64_t permille = run_ms * 1000 / MAX(typical_ms, 1);

    if (permille < CREDIBLE_PERMILLE || target->removed) {
        return;
    }
    add_to_speed(&target->speed, permille, plan->now_ms);
    if (target->kind != NULL) {
        add_to_speed(&target->kind->speed, permille, plan->now_ms);
    }
}

void
plan_free_step_ends(struct plan_step *step)
{
    for (guint i = 0; step->ends != NULL && i < step->ends->len; i++) {
        plan_unref_target(
            g_array_index(step->ends, struct step_end, i).target);
    }
    if (step->ends != NULL) {
        g_array_free(step->ends, TRUE);
        step->ends = NULL;
    }
}

/* The median of all tasks of the step, of which the fastest have ended. */
static void
set_typical_run_ms(struct plan *plan, struct plan_step *step)
{
    struct step_end *ends = (struct step_end *)(void *)step->ends->data;

    qsort(ends, step->ends->len, sizeof(*ends), compare_ends);
    step->typical_run_ms = MAX(ends[step->def->count / 2].run_ms, 1);
    learn_queue_ratio(plan, step, step->typical_run_ms);
    for (guint i = 0; i < step->ends->len; i++) {
        learn_target(plan, ends[i].target, ends[i].run_ms,
                     step->typical_run_ms);
    }
    plan_free_step_ends(step);
}

static void
gather_end(struct plan *plan, struct plan_step *step,
           struct plan_target *target, uint64_t run_ms)
{
    const struct step_end end = {target, run_ms};

    if (step->ends == NULL) {
        step->ends = g_array_new(FALSE, FALSE, sizeof(struct step_end));
    }
    target->references++;
    g_array_append_val(step->ends, end);
    if (step->ends->len >= PLAN_SPEED_ENDS_MIN &&
        step->ends->len * 1000u >= step->def->count * TYPICAL_AFTER_PERMILLE) {
        set_typical_run_ms(plan, step);
    }
}

/* Smoothed ratio of run times to estimates, as the default policy uses it. */
static void
update_slowdown(struct plan_target *target, const struct plan_run *run,
                uint64_t run_ms)
{
    uint64_t estimate_ms = run->expected_end_ms - run->ordered_ms;
    uint64_t ratio;

    if (estimate_ms > 0 && run->active_since_ms > 0) {
        ratio = run_ms * 1000 / estimate_ms;
        target->slowdown_permille =
            (uint32_t)((target->slowdown_permille * SLOWDOWN_OLD_WEIGHT +
                        MIN(ratio, SLOWDOWN_MAX_PERMILLE)) /
                       (SLOWDOWN_OLD_WEIGHT + 1));
    }
}

void
plan_learn_speed(struct plan *plan, const struct plan_run *run,
                 uint64_t run_ms)
{
    struct plan_step *step = run->step;

    if (!plan->params.policy->learns_speeds) {
        update_slowdown(run->target, run, run_ms);
        return;
    }
    if (step == NULL || step->def->lasting || step->def->fills ||
        !run->is_whole || run_ms == 0) {
        return;
    }
    run_ms = run_ms * 1000 / rack_permille(plan, step, run->target);
    if (step->def->gang) {
        /* The members of a gang end together. */
        if (run->task.index == 0) {
            learn_queue_ratio(plan, step, run_ms);
        }
    }
    else if (step->typical_run_ms != 0) {
        learn_target(plan, run->target, run_ms, step->typical_run_ms);
    }
    else if (step->def->count >= PLAN_SPEED_ENDS_MIN) {
        gather_end(plan, step, run->target, run_ms);
    }
    else {
        learn_target(plan, run->target, run_ms, typical_run_ms(plan, step));
        learn_queue_ratio(plan, step, run_ms);
    }
}
