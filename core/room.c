/* room.c -- how much accepted work a cell keeps */
#include "core/room.h"

#include <glib.h>

/* The state may take an eighth of the memory, as the log in memory and a
 * snapshot take as much again each. */
#define JOBS_MEMORY_DIVISOR 8u
#define TARGETS_MEMORY_DIVISOR 16u
/* What the state and the scheduler keep for each: their structs, entries of
 * tables, and the allocator's share. A target has a session on the leader, and
 * a connection. */
#define JOB_BYTES 1024u
#define LIVE_STEP_BYTES 600u
#define ENDED_STEP_BYTES 288u
#define TASK_BYTES 176u
#define TARGET_BYTES 4096u
#define RETRY_MIN_MS 1000u
/* Without ended jobs, room is made only by those that end from now on. */
#define RETRY_MAX_MS 15000u

void
room_set_limits(uint32_t memory_mb, struct room_limits *limits)
{
    const uint64_t memory = (uint64_t)memory_mb << 20;

    limits->job_bytes = memory / JOBS_MEMORY_DIVISOR;
    limits->targets =
        (uint32_t)(memory / TARGETS_MEMORY_DIVISOR / TARGET_BYTES);
}

uint64_t
room_job_bytes(const struct fleet_submit *submit, bool is_live)
{
    const struct fleet_step *steps = submit->steps.items;
    const uint64_t occurrences = MAX(submit->occurrences, 1);
    uint64_t tasks = 0;
    uint64_t dependencies = 0;

    for (uint32_t i = 0; i < submit->steps.count; i++) {
        tasks += steps[i].count;
        dependencies += steps[i].after.count;
    }
    if (!is_live) {
        return JOB_BYTES + submit->steps.count * (uint64_t)ENDED_STEP_BYTES +
               dependencies * sizeof(struct fleet_dependency);
    }
    return JOB_BYTES + submit->spec.size_bytes +
           dependencies * sizeof(struct fleet_dependency) +
           occurrences * (submit->steps.count * (uint64_t)LIVE_STEP_BYTES +
                          tasks * TASK_BYTES);
}

/* Load pattern: one team submits without end. The other teams keep half of the
 * room. */
bool
room_takes_job(const struct room_limits *limits, const struct room_use *use,
               uint64_t bytes)
{
    const uint64_t team_bytes =
        use->teams > 1 ? limits->job_bytes / 2 : limits->job_bytes;

    return limits->job_bytes == 0 || use->job_bytes == 0 ||
           (use->job_bytes + bytes <= limits->job_bytes &&
            use->team_job_bytes + bytes <= team_bytes);
}

uint32_t
room_retry_after_ms(uint64_t ended_ms, uint64_t retention_ms, uint64_t now_ms)
{
    const uint64_t forgotten_ms = ended_ms + retention_ms;

    if (ended_ms == 0) {
        return RETRY_MAX_MS;
    }
    return (uint32_t)CLAMP(forgotten_ms > now_ms ? forgotten_ms - now_ms : 0,
                           RETRY_MIN_MS, RETRY_MAX_MS);
}

bool
room_takes_target(const struct room_limits *limits, uint32_t targets)
{
    return limits->targets == 0 || targets < limits->targets;
}
