/* dispatchpriv.h -- declarations shared by the parts of the dispatch
 *
 *   dispatch.c     calls of clients, operators and targets; lifecycle
 *   dispatchlane.c orders to targets, leases, ends of runs
 *   dispatchask.c  queries to the placement policy
 *   dispatchcrash.c crashes of targets: events, evidence in the log
 *   dispatchattempts.c tasks that have used up their attempts
 *   dispatchevac.c orders to evacuate data centres
 *   dispatchlease.c length of the leases of targets
 */
#ifndef FP_DISPATCHPRIV_H
#define FP_DISPATCHPRIV_H

#include <glib.h>

#include "core/helpers.h"
#include "core/ends.h"
#include "node/dispatch.h"

/* The leader's session with one target. */
struct target_session {
    struct dispatch *dispatch;
    char id[FLEET_NAME_BYTES];
    uint64_t born_ms;    /* start time of the target's incarnation */
    uint64_t number;     /* of the session in this term; see core/fence.h */
    uint64_t announced;  /* highest sequence of its announcements */
    bool hold_in_flight; /* a hold call is not answered yet */
    bool ends_in_flight; /* a proposal of ends is not committed yet */
    bool runs_listed; /* the target has listed its runs in this term, and all
                       * ends before */
    bool ends_cut;    /* it may have more ends than it listed last */
    bool lost;        /* no run that was ordered can still be running */
    bool removal_in_flight; /* a proposal of its removal is not answered yet */
    bool has_clock;
    /* The target's clock showed at least clock_ms at clock_read_ms of this
     * host's clock. */
    uint64_t clock_ms;
    uint64_t clock_read_ms;
    uint64_t leases_over_ms; /* all granted leases have expired by then, on
                              * this host's clock */
    struct ends_ack ends_ack;
    uint64_t next_hold_ms;
    uint64_t granted_deadline_ms; /* latest end of a granted lease, on
                                   * the target's clock */
    bool silent;                  /* the last hold call failed */
    uint64_t silent_since_ms;
    bool leaving;          /* for good: it gets no starts */
    bool departed;         /* see struct fleet_target_rec */
    bool outage_known;     /* the record of an outage is, or may become, part
                            * of the fleet's state: no starts */
    bool outage_in_flight; /* a proposal of it is not answered yet */
    uint64_t lost_ms;      /* when lost became true */
    uint64_t added_ms;     /* 0: known before this term, or started again */
};

/* A proposal, order or query that has not been answered. */
struct pending_request {
    struct dispatch *dispatch; /* NULL once the dispatch is freed */
    char target_id[FLEET_NAME_BYTES];
    uint64_t born_ms; /* start time of the target's incarnation */
    struct fleet_task_id task;
    uint32_t run_number;
    uint64_t sent_ms;    /* when a proposal, query or hold call was sent */
    uint64_t ack_number; /* last end that a hold call acknowledges; 0: none */
    bool needs_old_connection; /* the same call: see core/ends.h */
    bool only_renews;          /* the same call: its lists are not read */
    uint64_t start_sent_us;  /* when the last copy of a start order was sent */
    bool resent;             /* a start order was sent a second time */
    struct plan_start start; /* the start order; points to the copies below */
    char *checkpoint;
    char *ticket;
    struct fp_blob spec;
};

struct dispatch {
    struct dispatch_deps deps;
    struct plan *plan;
    uint64_t term_start_ms; /* when this host became leader */
    bool reconciled;        /* plan_reconciled() was called */
    bool lease_in_flight; /* a proposal of their length is not answered yet */
    uint64_t next_lease_ms; /* no such proposal before this */
    GHashTable *sessions;   /* target ID to struct target_session */
    uint64_t last_session;  /* number of the newest session; 0: those that the
                             * term began with */
    GHashTable *helpers;    /* host to struct policy_helper */
    struct dispatch_policy_counters policy;
    struct query_pace pace;
    GPtrArray *policy_queries;     /* struct policy_query without an answer */
    GHashTable *host_data_centres; /* set of the names of those that have
                                    * hosts of this system */
    GHashTable *pending;           /* set of struct pending_request */
    GPtrArray *unsent_starts;      /* struct pending_request: start orders that
                                    * were not sent, to be reported to the plan */
    GPtrArray *unstored_evidence;  /* struct evidence_commit: not stored, to be
                                    * proposed again */
    GHashTable *submitting;        /* IDs of jobs that are proposed */
    uint64_t submitting_bytes;     /* estimated, of these jobs */
    uint32_t targets_submitting;   /* that are not known yet */
    uint64_t jobs_without_room;    /* refused; see dispatchroom.c */
    uint64_t targets_refused;      /* the same */
    GHashTable *core_memory;       /* host of a replica to MiB */
    bool local_query_pending; /* a query sent by this host has no answer yet */
    uint32_t start_answer_us; /* moving average of the answer time of start
                               * orders */
    uint64_t last_unanswered_ms; /* when an order last had no clear answer */
    uint64_t orders_sent;
    uint64_t orders_failed;
    uint64_t holds_sent;
    uint64_t ends_committed;
    uint64_t checkpoints_refused; /* listed, and too long to be stored */
    struct dispatch_times times;
};

/* dispatch.c */

/* Adds a request to the pending ones; session is NULL when it is not sent to a
 * target. Whoever gets the answer frees it with dispatch_drop_pending(). */
struct pending_request *
dispatch_add_pending(struct dispatch *dispatch,
                     const struct target_session *session);
void dispatch_drop_pending(struct pending_request *pending);

/* Proposes a change, and answers the caller once it is committed or has
 * failed. */
void dispatch_propose(struct dispatch *dispatch,
                      const struct relay_caller *caller,
                      const struct fp_schema *schema, void *change);
void dispatch_answer_err(struct dispatch *dispatch,
                         const struct relay_caller *caller, enum fp_err err);

/* dispatchevac.c */

/* A host in this data centre called the leader. */
void dispatch_note_data_centre(struct dispatch *dispatch,
                               const char *data_centre);
void dispatch_on_evacuate(struct dispatch *dispatch,
                          const struct relay_caller *caller,
                          struct fleet_evacuation *order);
void dispatch_on_read_evacuations(struct dispatch *dispatch,
                                  const struct relay_caller *caller);

/* dispatchroom.c */

/* A host with a replica has said how much memory it may use; 0: no limit. */
void dispatch_note_memory(struct dispatch *dispatch, const char *host,
                          uint32_t memory_mb);
/* Whether the state has room for a job of a team (NULL: none), or for a target
 * that is not known. A refusal is counted, and that of a target logged; one
 * that has never answered is then removed to make room. */
struct plan_admission dispatch_admit_to_room(struct dispatch *dispatch,
                                             uint64_t job_bytes,
                                             const struct fleet_team *team);
bool dispatch_admit_target(struct dispatch *dispatch,
                           const struct fleet_target_rec *target);

/* dispatchoutage.c */

/* Takes over from a target's record whether it is leaving or has departed. */
void dispatch_set_leaving(struct dispatch *dispatch,
                          const struct fleet_target *target);

/* Proposes the record of an outage, or of its end, when it is due. */
void dispatch_tick_outage(struct target_session *session, uint64_t now_ms);

/* dispatchlease.c */

/* The longest time on this host's clock that a lease of this length on a
 * target's clock may last. */
uint64_t dispatch_lease_span_ms(uint64_t lease_ms);
/* Length of the leases that are granted now. */
uint32_t dispatch_granted_lease_ms(const struct dispatch *dispatch);
/* How long a lease that an earlier leader granted just now may last. */
uint64_t dispatch_earlier_leases_ms(const struct dispatch *dispatch);
/* Stores the length of leases when it is due. Returns false while none is
 * stored: no lease may be granted. */
bool dispatch_tick_lease(struct dispatch *dispatch, uint64_t now_ms);

/* dispatchlane.c */

/* Returns the target that a request was sent to; NULL if it was removed or has
 * restarted since. */
struct fleet_target *dispatch_target_of(const struct pending_request *pending);
/* added_ms: 0 for a target that was known before this term. */
void dispatch_add_session(struct dispatch *dispatch,
                          struct fleet_target *target, uint64_t added_ms);
/* Removes the target that has been there for longest without an answer, if any
 * is new in this term and had time to answer. No run can be there. */
void dispatch_remove_unanswered(struct dispatch *dispatch, uint64_t now_ms);
void dispatch_tick_sessions(struct dispatch *dispatch, uint64_t now_ms);

/* Whether a newer announcement of the same incarnation has been received: what
 * an old one says, such as a capacity, does not hold any more. */
bool dispatch_is_old_announcement(struct dispatch *dispatch,
                                  const struct fleet_target *known,
                                  const struct fleet_target_rec *rec);

/* Resets the session of a target that has restarted as a new incarnation. */
void dispatch_reset_session(struct dispatch *dispatch,
                            struct fleet_target *target, uint64_t now_ms);

/* Callbacks of struct plan_ops; ctx is a struct dispatch. */
void dispatch_start_run(void *ctx, const struct plan_start *start);
void dispatch_stop_run(void *ctx, const struct fleet_target *target,
                       const struct fleet_task_id *task, uint32_t run_number,
                       const char *reason);
void dispatch_set_pace(void *ctx, const struct fleet_target *target,
                       const struct fleet_task_id *task, uint32_t run_number,
                       uint32_t percent);

/* dispatchcrash.c */

/* Proposes again what could not be stored. */
void dispatch_retry_evidence(struct dispatch *dispatch);
void dispatch_free_evidence(struct dispatch *dispatch);

/* Callbacks of struct plan_ops; ctx is a struct dispatch. */
void dispatch_store_evidence(void *ctx, const struct fp_list *items);

/* dispatchattempts.c: operation of the plan. */
void dispatch_repeat_ends(void *ctx, const struct fp_list *items);
void dispatch_log_run_lost(void *ctx, const struct plan_lost_run *lost);
void dispatch_log_target_crashed(void *ctx, const struct plan_crash *crash);

/* dispatchask.c */

/* Gives up late queries. */
void dispatch_tick_queries(struct dispatch *dispatch, uint64_t now_ms);
/* Records a ping from a host that offers to query the policy. */
void dispatch_on_helper_ping(struct dispatch *dispatch, const char *host,
                             uint64_t now_ms);

/* Callback of struct plan_ops; ctx is a struct dispatch. */
bool dispatch_query_policy(void *ctx, const struct fleet_task_id *step,
                           struct fleet_target *const *targets, uint32_t count,
                           uint32_t expected_ms, bool short_query);

#endif /* FP_DISPATCHPRIV_H */
