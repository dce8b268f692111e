/* cellpriv.h -- declarations shared by the cell's source files */
#ifndef FP_CELLPRIV_H
#define FP_CELLPRIV_H

#include "core/cell.h"

/* The ID of an applied or refused change, with its answer. */
struct recent_change {
    char change_id[NAME_BYTES];
    uint32_t err;
    uint64_t version;
    uint64_t id;
    char *detail; /* NULL when empty */
};

/* One idempotency key with the state or outcome of its request. Strings are
 * allocated separately, because most are far shorter than their maximum.
 */
struct idempotency_entry {
    char *key;         /* "team\nkey", also the key in the hash table */
    GList *order_link; /* in cell->idempotency_order */
    char *digest;      /* hash of the request, to recognise a resend */
    uint64_t run_id;   /* process that sends the request */
    enum idempotency_state state;
    uint64_t deadline_ms;
    uint64_t ended_ms;
    uint32_t err;
    uint32_t status;    /* HTTP status of the response */
    char *content_type; /* NULL or empty until the request ends */
    struct fp_blob body;
};

/* Applies one type of change. change is the decoded record; a function may
 * modify it and take over its blobs, setting them to empty.
 */
typedef void (*cell_apply_fn)(struct cell *cell, uint64_t index, void *change,
                              struct change_answer *answer);

/* cellconf.c */

void cell_apply_team(struct cell *, uint64_t, void *, struct change_answer *);
void cell_apply_key(struct cell *, uint64_t, void *, struct change_answer *);
void cell_apply_queue(struct cell *, uint64_t, void *, struct change_answer *);
void cell_apply_quiet_hours(struct cell *, uint64_t, void *,
                            struct change_answer *);
void cell_apply_labels(struct cell *, uint64_t, void *,
                       struct change_answer *);

/* Insert a record or replace the one of the same name, without checking
 * versions. Those that return an error write the reason to why.
 */
void cell_put_team(struct cell *cell, const struct change_team *conf);
void cell_put_key(struct cell *cell, const struct change_key *key);
enum fp_err cell_put_queue(struct cell *cell, const struct change_queue *conf,
                           char *why, size_t why_bytes);
enum fp_err cell_put_quiet_hours(struct cell *cell,
                                 const struct change_quiet_hours *conf,
                                 char *why, size_t why_bytes);
struct target *cell_put_target(struct cell *cell,
                               const struct change_target *rec);

/* Destructors for the hash tables. */
void cell_free_team(void *team);
void cell_free_queue(void *queue);
void cell_free_quiet_hours(void *hours);
void cell_free_target(void *target);

/* cellwork.c */
void cell_apply_target(struct cell *, uint64_t, void *,
                       struct change_answer *);
void cell_apply_target_state(struct cell *, uint64_t, void *,
                             struct change_answer *);
void cell_apply_submit(struct cell *, uint64_t, void *,
                       struct change_answer *);
void cell_apply_place(struct cell *, uint64_t, void *, struct change_answer *);
void cell_apply_end(struct cell *, uint64_t, void *, struct change_answer *);
void cell_apply_cancel(struct cell *, uint64_t, void *,
                       struct change_answer *);

/* Adds a job of a snapshot, with all its tasks waiting. Takes over
 * rec->payload. Returns NULL when the team is unknown or the selector invalid.
 */
struct job *cell_restore_job(struct cell *cell, struct change_submit *rec);

/* Sets the state of a task of a job that has been restored. */
void cell_restore_task(struct cell *cell, const struct record_task *record);

void cell_apply_task_lease(struct cell *, uint64_t, void *,
                           struct change_answer *);

/* Removes ended jobs that are past their retention time or too many. */
void cell_expire_jobs(struct cell *cell);
void cell_free_job(void *job);

/* cellroute.c */
void cell_apply_owner(struct cell *, uint64_t, void *, struct change_answer *);
void cell_apply_grant(struct cell *, uint64_t, void *, struct change_answer *);
void cell_apply_process_ended(struct cell *, uint64_t, void *,
                              struct change_answer *);
void cell_apply_intent(struct cell *, uint64_t, void *,
                       struct change_answer *);
void cell_apply_outcome(struct cell *, uint64_t, void *,
                        struct change_answer *);

/* Adds an entry of a snapshot. */
void cell_restore_idempotency_entry(struct cell *cell,
                                    const struct record_idempotency *record);

/* Removes idempotency entries that are past their retention time, and the
 * oldest bodies while all together are too large.
 */
void cell_expire_idempotency(struct cell *cell);
void cell_free_idempotency_entry(void *item);

/* cell.c */

/* Sets the error and the detail text of an answer. */
void cell_refuse(struct change_answer *answer, enum fp_err err,
                 const char *format, ...) G_GNUC_PRINTF(3, 4);

/* Compares the given version with the current one if check is set. On a
 * conflict, sets the answer to FP_ERR_VERSION_CONFLICT with the current
 * version and returns false.
 */
bool cell_check_version(struct change_answer *answer, bool check,
                        uint64_t given, uint64_t current);

void cell_notify_task(struct cell *cell, struct task *task,
                      enum task_state old_state);
void cell_notify_target(struct cell *cell, struct target *target);

#endif /* FP_CELLPRIV_H */
