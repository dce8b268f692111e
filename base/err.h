/* err.h -- the closed list of error kinds and the table from kind to answer
 *
 * Code returns kinds; only the edges (HTTP, command line) look up rows.
 */
#ifndef FP_ERR_H
#define FP_ERR_H

#include <stdbool.h>
#include <stdint.h>

enum fp_err {
    FP_OK = 0,
    FP_ERR_BAD_REQUEST,   /* a field is missing, unknown or out of range */
    FP_ERR_TOO_LARGE,     /* over a stated size bound */
    FP_ERR_NO_KEY,        /* no key, or a key that is unknown or withdrawn */
    FP_ERR_NOT_ALLOWED,   /* the key's team may not use this */
    FP_ERR_NOT_FOUND,     /* no such object or route */
    FP_ERR_GONE,          /* no such job, or its state is kept no longer */
    FP_ERR_VERSION,       /* compare-and-set lost; current version given */
    FP_ERR_KEY_REUSED,    /* idempotency key was used with another body */
    FP_ERR_IN_PROGRESS,   /* the first request under this key still runs */
    FP_ERR_CANNOT_RUN,    /* no present or expected host can ever fit it */
    FP_ERR_LIMIT,         /* the team is at its upper limit */
    FP_ERR_BUSY,          /* queues are full */
    FP_ERR_NO_TARGET,     /* no live target serves this now */
    FP_ERR_NOT_FRESH,     /* this host's configuration may be out of date */
    FP_ERR_NO_LEADER,     /* no leader is known */
    FP_ERR_SHUTTING_DOWN, /* this host is about to exit */
    FP_ERR_DEADLINE,      /* deadline passed before anything was sent */
    FP_ERR_NOT_CONNECTED, /* the target took no connection */
    FP_ERR_MAY_HAVE_RUN,  /* sent, and no whole answer came back */
    FP_ERR_TRUNCATED,     /* the target's answer ended early */
    FP_ERR_CROSSED,       /* the answer names another request */
    FP_ERR_ANSWER_TOO_LARGE, /* the target's answer is over the bound */
    FP_ERR_UNKNOWN_OUTCOME,  /* a change was proposed; its fate is unknown */
    FP_ERR_STALE,            /* an older attempt, epoch, run or term */
    FP_ERR_OVERCOMMIT,       /* would exceed a host's size */
    FP_ERR_CORRUPT,          /* a checksum or format check failed */
    FP_ERR_DISK,             /* write or sync failed */
    FP_ERR_NO_MEMORY,        /* allocation failed */
    FP_ERR_NETWORK,          /* could not reach any of the system's hosts */
    FP_ERR_INTERNAL,         /* a fault in filbertpath itself */
    FP_ERR_COUNT
};

/* What an error promises about the work it answers for. */
enum fp_ran {
    FP_NOT_RUN,      /* certain: no byte of the work left */
    FP_MAY_HAVE_RUN, /* unknown */
    FP_RAN           /* it ran, and the answer was lost or refused */
};

/* One row: what callers of each interface see. */
struct fp_err_row {
    const char *name;        /* JSON "error" */
    int http_status;         /* HTTP status code */
    int exit_code;           /* exit code of the command line */
    enum fp_ran ran;         /* what is known of the work */
    bool retry;              /* the same request may be sent again */
    uint32_t retry_after_ms; /* earliest useful retry; 0 when none */
    const char *text;        /* one sentence for people */
};

/* Returns the row of err; the row of FP_ERR_INTERNAL for unknown values. */
const struct fp_err_row *fp_err_row(enum fp_err err);

/* Returns the JSON name of a promise: "not run", "may have run", "ran". */
const char *fp_ran_name(enum fp_ran ran);

/* Finds the kind by its JSON name; FP_ERR_INTERNAL when there is none. */
enum fp_err fp_err_by_name(const char *name);

#endif /* FP_ERR_H */
