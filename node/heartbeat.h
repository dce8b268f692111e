/* heartbeat.h -- what a target tells the system, as a typed record
 */
#ifndef FP_HEARTBEAT_H
#define FP_HEARTBEAT_H

#include "core/change.h"

enum report_state {
    REPORT_RUNNING,
    REPORT_DONE,
    REPORT_FAILED,
    REPORT_STOPPED, /* checkpointed or stopped on order */
    REPORT_NOT_RUN  /* could not be started; nothing ran */
};

/* One attempt that the target knows. */
struct report {
    uint64_t id;
    uint32_t attempt;
    uint32_t state;
    uint32_t exit_code;
};

struct heartbeat {
    char name[NAME_BYTES];
    uint64_t run_id;
    uint64_t number; /* of this heartbeat; the answer names it */
    bool leaving;
    uint32_t cpu_used_milli; /* as measured, with a lag */
    uint32_t memory_used_mb;
    struct fp_list tasks; /* struct report */
};

extern const struct fp_schema HEARTBEAT_SCHEMA;

#endif /* FP_HEARTBEAT_H */
