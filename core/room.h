/* room.h -- how much accepted work a cell keeps
 *
 * Pure decisions. Every core host holds the whole state: jobs that wait or
 * run, and ended ones that can be queried for a while. What is accepted is
 * never dropped, and is loaded again at each start. So the bound acts before a
 * job is accepted, and follows from the memory of the smallest core host; the
 * rest is for the log, for snapshots and for recovery (docs/design/entry.md).
 * State beyond the bound is kept and loaded as any other.
 */
#ifndef FP_ROOM_H
#define FP_ROOM_H

#include <stdbool.h>
#include <stdint.h>

#include "core/fleetrec.h"

struct room_limits {
    uint64_t job_bytes; /* 0: no bound */
    uint32_t targets;   /* 0: no bound */
};

/* What is kept already, as estimated by room_job_bytes(). */
struct room_use {
    uint64_t job_bytes;      /* of all jobs, with those being stored */
    uint64_t team_job_bytes; /* of them, those of the team that asks */
    uint32_t teams;          /* in the configuration */
};

/* memory_mb: of the smallest core host; 0: not known, no bounds. */
void room_set_limits(uint32_t memory_mb, struct room_limits *limits);

/* Estimates the memory that a job takes on the leader, while it is live or
 * after it has ended. */
uint64_t room_job_bytes(const struct fleet_submit *submit, bool is_live);

/* Whether a job of that size is accepted. One always is. */
bool room_takes_job(const struct room_limits *limits,
                    const struct room_use *use, uint64_t bytes);

/* When to submit a refused job again. ended_ms: when the job ended that is
 * forgotten next, 0 if there is none; retention_ms: how long ended jobs are
 * kept; now_ms: on the clock of ended_ms. */
uint32_t room_retry_after_ms(uint64_t ended_ms, uint64_t retention_ms,
                             uint64_t now_ms);

bool room_takes_target(const struct room_limits *limits, uint32_t targets);

#endif /* FP_ROOM_H */
