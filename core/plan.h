/* plan.h -- which task of a fleet runs where: the leader's decisions
 *
 * A pure module: events and time come in, orders go out through struct
 * plan_ops. It holds what runs where, which no log keeps; a new leader fills
 * it from the targets' own lists (plan_rows()).
 *
 * Room is counted from the start order until the end is listed by the target,
 * so a run that may still work never shares its room. A run without a clear
 * answer is unsure: its stop is ordered until the target has confirmed that it
 * does not and will not run, or the target's lease is over.
 *
 *   plan.c       jobs, targets, passes
 *   planrun.c    runs: starts, stops, ends
 *   planlist.c   what targets list as running
 *   planorder.c  who comes first, and what waits at the door
 *   planfit.c    where a step's tasks fit
 *   planhold.c   room held for large tasks
 *   planticket.c questions to the placement policy
 */
#ifndef FP_PLAN_H
#define FP_PLAN_H

#include "core/fleet.h"

struct plan;
struct plan_target;

/* What an order came to, as the target answered it. */
enum order_answer {
    ORDER_DONE,
    ORDER_FENCED,     /* a newer leader has called this target */
    ORDER_OLD,        /* a run as high as this one ended or was stopped */
    ORDER_LATE,       /* its deadline had passed */
    ORDER_NO_ROOM,    /* the target guards its size */
    ORDER_BAD_TICKET, /* the policy's ticket is missing or over */
    ORDER_UNHEALTHY,  /* refused; nothing was done */
    ORDER_INVALID,    /* not understood; nothing was done */
    ORDER_NOT_SENT,   /* no byte left */
    ORDER_OTHER,      /* another incarnation has this address */
    ORDER_UNKNOWN     /* it may be carried out now or later */
};

/* An order to start. Texts are borrowed during the call. */
struct plan_start {
    const struct fleet_target *target;
    struct fleet_task_id task;
    uint32_t run;
    bool first;         /* of its job */
    uint64_t waited_ms; /* since the job was taken */
    uint32_t estimate_ms;
    const struct fp_blob *spec;
    const char *checkpoint; /* "" for none */
    const char *ticket;     /* "" for none */
};

/* One row of a target's list of runs. */
struct plan_row {
    struct fleet_task_id task;
    uint32_t run;
    uint32_t percent; /* pace, or work done; as the target tells */
    uint32_t load;    /* tail of a serving task, ms; else thousandths of cpu */
    char checkpoint[FLEET_CHECKPOINT_BYTES];
};

/* Why a step waits. */
struct plan_wait {
    struct fleet_task_id step;
    const char *why;  /* limit, ticket, reserve, room or attempts */
    uint32_t idle;    /* tasks that wait */
    uint32_t granted; /* targets that the policy allows */
    uint64_t waited_ms;
    uint64_t free_cpu_milli; /* of the whole service */
    uint64_t free_accel;
};

struct plan_ops {
    void (*start)(void *ctx, const struct plan_start *start);
    /* why: one of a few words, for the log. */
    void (*stop)(void *ctx, const struct fleet_target *target,
                 const struct fleet_task_id *task, uint32_t run,
                 const char *why);
    void (*pace)(void *ctx, const struct fleet_target *target,
                 const struct fleet_task_id *task, uint32_t run,
                 uint32_t percent);
    /* Asks the policy which of count targets may run a step. Returns false
     * when nobody is free to ask; short_call: answered within
     * PLAN_SHORT_CALL_MS. */
    bool (*advise)(void *ctx, const struct fleet_task_id *step,
                   struct fleet_target *const *targets, uint32_t count,
                   uint32_t expected_ms, bool short_call);
    /* For the log; each may be NULL. A run that was not ordered here: */
    void (*found)(void *ctx, const struct fleet_target *target,
                  const struct fleet_task_id *task, uint32_t run, bool wanted);
    /* A step that has waited for over a second, told once a second: */
    void (*waits)(void *ctx, const struct plan_wait *wait);
    /* A target that gets no starts for a while: */
    void (*shunned)(void *ctx, const struct fleet_target *target,
                    uint64_t for_ms, uint32_t failures);
    void *ctx;
};

/* A question that takes less than this is short; ms. Short ones have askers
 * of their own, so that they never wait behind long ones. */
#define PLAN_SHORT_CALL_MS 100u

/* When room is held for a large task that does not fit. */
enum plan_hold {
    HOLD_NEVER,
    HOLD_AT_ONCE,
    HOLD_LATE /* when it must start within about its own run time */
};

/* How the decisions are made. PLAN_POLICY is in service; the others are there
 * to be compared with it. */
struct plan_policy {
    const char *name;
    bool by_slack; /* order by slack and priority; else as it came */
    enum plan_hold hold;
    bool asks_wide; /* questions for gangs name many targets */
    bool reserves;  /* room is kept free for tight work */
};

extern const struct plan_policy PLAN_POLICY;
extern const struct plan_policy PLAN_HOLDS_AT_ONCE; /* and asks narrowly */
extern const struct plan_policy PLAN_FIFO;

struct plan_params {
    const struct plan_policy *policy; /* NULL: PLAN_POLICY */
    uint32_t stop_ms;      /* a target takes this long at most for a stop */
    uint32_t far_permille; /* run time away from the data or over racks */
    uint32_t run_base;     /* run numbers of inherited tasks begin above */
};

struct plan_counters {
    uint64_t starts;
    uint64_t start_refused; /* by targets */
    uint64_t start_unknown;
    uint64_t stops;
    uint64_t preempted;
    uint64_t ends[RUN_OUTCOME_COUNT];
    uint64_t lost;      /* runs on targets that were given up */
    uint64_t questions; /* to the policy */
    uint64_t rejected;  /* jobs turned away */
    uint64_t passes;
};

/* Why a job is turned away, and when it may come back. */
struct plan_verdict {
    enum fp_err err; /* FP_OK: take it */
    uint32_t retry_after_ms;
    uint32_t wait_ms; /* expected wait that decided it */
};

/* Creates a plan over a fleet at now_ms; its jobs are inherited: their tasks
 * start only after plan_settled().
 */
struct plan *plan_new(struct fleet *fleet, const struct plan_params *params,
                      const struct plan_ops *ops, uint64_t now_ms);
void plan_free(struct plan *plan);

/* Events of the fleet's state. */
void plan_job_added(struct plan *plan, struct fleet_job *job, uint64_t now_ms);
void plan_job_ended(struct plan *plan, struct fleet_job *job, uint64_t now_ms);
void plan_job_removed(struct plan *plan, struct fleet_job *job);
void plan_target_changed(struct plan *plan, struct fleet_target *target);
void plan_target_removed(struct plan *plan, struct fleet_target *target);
void plan_config_changed(struct plan *plan);

/* Every target has told what runs there, or can run nothing of old. */
void plan_settled(struct plan *plan);

/* Whether starts may go to a target now. */
void plan_target_usable(struct plan *plan, struct fleet_target *target,
                        bool usable);

/* Nothing that was ordered runs on the target any more, nor ever will. */
void plan_target_lost(struct plan *plan, struct fleet_target *target,
                      uint64_t now_ms);

/* The target was started again under its ID: what it had listed is gone, but a
 * start that was not answered, or whose run was not listed yet, may be the new
 * incarnation's. */
void plan_target_reborn(struct plan *plan, struct fleet_target *target,
                        uint64_t now_ms);

/* A target's list of runs, asked for at asked_ms. first: its first in this
 * term, whose runs are taken over. */
void plan_rows(struct plan *plan, struct fleet_target *target,
               const struct plan_row *rows, uint32_t count, bool first,
               uint64_t asked_ms, uint64_t now_ms);

/* A target listed the end of a run. */
void plan_run_ended(struct plan *plan, struct fleet_target *target,
                    const struct fleet_run_end *end, uint64_t now_ms);

void plan_start_answered(struct plan *plan, struct fleet_target *target,
                         const struct fleet_task_id *task, uint32_t run,
                         enum order_answer answer, uint64_t now_ms);
void plan_stop_answered(struct plan *plan, struct fleet_target *target,
                        const struct fleet_task_id *task, uint32_t run,
                        enum order_answer answer, uint64_t now_ms);

/* The policy's answer on a step; err other than FP_OK: ask again. */
void plan_advised(struct plan *plan, const struct fleet_task_id *step,
                  enum fp_err err, const struct call_ticket *tickets,
                  uint32_t count, uint64_t now_ms);

/* Decides and orders what can be ordered now. Cheap when nothing changed.
 * wall_ms: milliseconds since 1970, for occurrences. */
void plan_pass(struct plan *plan, uint64_t now_ms, uint64_t wall_ms);

/* Of so many hosts that can ask the policy, how many are kept for short
 * questions: with a single one, none. */
uint32_t plan_askers_spared(uint32_t askers);

/* Whether to take another job now. */
struct plan_verdict plan_admit(struct plan *plan);

/* Calls fn for each run that counts on a target. */
void plan_each_run(const struct fleet_target *target,
                   void (*fn)(void *ctx, const struct fleet_task_id *task,
                              uint32_t run),
                   void *ctx);

/* Queries. */

/* Whether a start is still without an answer and its run has not ended. */
bool plan_awaits_start(const struct fleet_target *target,
                       const struct fleet_task_id *task, uint32_t run);

/* When the next run on a target should end; UINT64_MAX: none will. */
uint64_t plan_next_end_ms(const struct fleet_target *target);
/* A job's longest chain and its objective, both 0 when it is not planned. */
void plan_job_times(const struct fleet_job *job, uint32_t *chain_ms,
                    uint32_t *objective_ms);
enum fleet_job_state plan_job_state(const struct fleet_job *job);
const struct plan_counters *plan_counters(const struct plan *plan);
json_t *plan_dump(const struct plan *plan);

#endif /* FP_PLAN_H */
