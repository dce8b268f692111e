/* cellpriv.h -- what the files of the cell module share */
#ifndef FP_CELLPRIV_H
#define FP_CELLPRIV_H

#include "core/cell.h"

/* A change ID that was seen, with its answer. */
struct seen {
    char change_id[NAME_BYTES];
    uint32_t err;
    uint64_t version;
    uint64_t id;
    char *detail; /* NULL when empty */
};

/* One idempotency key. Strings are on the heap: most are short. */
struct idempotency {
    char *key;   /* "team\nkey", also the table's key */
    GList *link; /* in idempotency_order */
    char *digest;
    uint64_t run_id;
    enum idempotency_state state;
    uint64_t deadline_ms;
    uint64_t ended_ms;
    uint32_t err;
    uint32_t status;
    char *content_type;
    struct fp_blob body;
};

/* One apply function for each type of change. */
typedef void (*cell_apply_fn)(struct cell *cell, uint64_t index, void *change,
                              struct change_answer *answer);

/* cellconf.c */
void cell_apply_team(struct cell *, uint64_t, void *, struct change_answer *);
void cell_apply_key(struct cell *, uint64_t, void *, struct change_answer *);
void cell_apply_queue(struct cell *, uint64_t, void *, struct change_answer *);
void cell_apply_hours(struct cell *, uint64_t, void *, struct change_answer *);
void cell_apply_labels(struct cell *, uint64_t, void *,
                       struct change_answer *);
void cell_put_team(struct cell *cell, const struct change_team *conf);
void cell_put_key(struct cell *cell, const struct change_key *key);
enum fp_err cell_put_queue(struct cell *cell, const struct change_queue *conf,
                           char *why, size_t why_bytes);
enum fp_err cell_put_hours(struct cell *cell, const struct change_hours *conf,
                           char *why, size_t why_bytes);
struct target *cell_put_target(struct cell *cell,
                               const struct change_target *rec);
void cell_free_team(void *team);
void cell_free_queue(void *queue);
void cell_free_hours(void *hours);
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
struct job *cell_put_job(struct cell *cell, struct change_submit *rec);
void cell_put_task(struct cell *cell, const struct record_task *record);
void cell_forget_ended(struct cell *cell);
void cell_free_job(void *job);

/* cellroute.c */
void cell_apply_own(struct cell *, uint64_t, void *, struct change_answer *);
void cell_apply_grant(struct cell *, uint64_t, void *, struct change_answer *);
void cell_apply_run_gone(struct cell *, uint64_t, void *,
                         struct change_answer *);
void cell_apply_intent(struct cell *, uint64_t, void *,
                       struct change_answer *);
void cell_apply_outcome(struct cell *, uint64_t, void *,
                        struct change_answer *);
void cell_put_idempotency(struct cell *cell,
                          const struct record_idempotency *record);
void cell_forget_idempotency(struct cell *cell);
void cell_free_idempotency(void *item);

/* Refuses with a reason. */
void cell_refuse(struct change_answer *answer, enum fp_err err,
                 const char *format, ...) G_GNUC_PRINTF(3, 4);

/* Compare-and-set: returns false, with the current version, on a conflict. */
bool cell_version_ok(struct change_answer *answer, bool check, uint64_t given,
                     uint64_t current);

void cell_notify_task(struct cell *cell, struct task *task,
                      enum task_state was);
void cell_notify_target(struct cell *cell, struct target *target);

#endif /* FP_CELLPRIV_H */
