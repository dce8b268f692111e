/* heartbeat.h -- the record that a target sends in each heartbeat
 */
#ifndef FP_HEARTBEAT_H
#define FP_HEARTBEAT_H

#include "core/change.h"

enum report_state {
    REPORT_RUNNING,
    REPORT_DONE,
    REPORT_FAILED,
    REPORT_STOPPED, /* checkpointed, or stopped by an order */
    REPORT_NOT_RUN  /* the start failed; nothing ran */
};

/* State of one attempt on the target. */
struct attempt_report {
    uint64_t id;      /* task ID */
    uint32_t attempt; /* number of the attempt */
    uint32_t state;   /* enum report_state */
    uint32_t exit_code;
};

struct heartbeat {
    char name[NAME_BYTES];   /* of the target */
    uint64_t run_id;         /* the same as in its announcement */
    uint64_t number;         /* of this heartbeat; repeated in the answer */
    bool leaving;            /* the target accepts no new work */
    uint32_t cpu_used_milli; /* measured; lags behind the tasks */
    uint32_t memory_used_mb;
    struct fp_list tasks; /* struct attempt_report, of every attempt */
};

extern const struct fp_schema HEARTBEAT_SCHEMA;

#endif /* FP_HEARTBEAT_H */
