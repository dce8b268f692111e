/* err.h -- error codes and how each interface reports them
 *
 * Functions return a code. Only the interfaces (HTTP, command line, log) look
 * up its row. The list is closed: hosts send the codes as numbers, so new
 * ones go to the end.
 */
#ifndef FP_ERR_H
#define FP_ERR_H

#include <stdbool.h>
#include <stdint.h>

enum fp_err {
    FP_OK = 0,
    FP_ERR_BAD_REQUEST,      /* a field is missing, unknown or out of range */
    FP_ERR_TOO_LARGE,        /* the request exceeds a size limit */
    FP_ERR_NO_KEY,           /* the key is missing, unknown or withdrawn */
    FP_ERR_NOT_ALLOWED,      /* the key's team has no access to this */
    FP_ERR_NOT_FOUND,        /* no such object or route */
    FP_ERR_GONE,             /* no such job, or its state has expired */
    FP_ERR_VERSION_CONFLICT, /* the version given is not the current one */
    FP_ERR_KEY_REUSED,       /* idempotency key was used with another body */
    FP_ERR_IN_PROGRESS,      /* the first request with this key still runs */
    FP_ERR_CANNOT_RUN,       /* no present or expected host can run it */
    FP_ERR_LIMIT,            /* the team has reached its limit */
    FP_ERR_BUSY,             /* the queue is full */
    FP_ERR_NO_TARGET,        /* no live target serves the request */
    FP_ERR_CONFIG_STALE,     /* this host's configuration may be out of date */
    FP_ERR_NO_LEADER,        /* no leader is known */
    FP_ERR_SHUTTING_DOWN,    /* this host is about to exit */
    FP_ERR_DEADLINE_EXCEEDED, /* deadline passed before anything was sent */
    FP_ERR_NOT_CONNECTED,     /* no connection to the target */
    FP_ERR_MAY_HAVE_RUN,      /* sent; no complete answer was received */
    FP_ERR_TRUNCATED,         /* the target's answer ended early */
    FP_ERR_ANSWER_MISMATCH,   /* the answer carries another request's ID */
    FP_ERR_ANSWER_TOO_LARGE,  /* the target's answer exceeds the size limit */
    FP_ERR_UNKNOWN_OUTCOME,   /* proposed; may or may not be committed */
    FP_ERR_STALE,             /* a newer attempt, epoch, run or term exists */
    FP_ERR_OVERCOMMIT,        /* would exceed the target's capacity */
    FP_ERR_CORRUPT,           /* a checksum or format check failed */
    FP_ERR_DISK,              /* write or sync failed */
    FP_ERR_NO_MEMORY,         /* allocation failed */
    FP_ERR_NETWORK,           /* none of the system's hosts is reachable */
    FP_ERR_INTERNAL,          /* a bug in filbertpath */
    FP_ERR_HOST_FULL,         /* this host has no room for the request */
    FP_ERR_COUNT
};

/* What an error guarantees about the execution of the requested work. */
enum fp_work_status {
    FP_NOT_RUN,      /* certain: no byte of the work was sent */
    FP_MAY_HAVE_RUN, /* unknown */
    FP_RAN           /* it ran, but its answer was lost or rejected */
};

/* How an error is reported by each interface. */
struct fp_err_row {
    const char *name;                /* JSON "error" */
    int http_status;                 /* HTTP status code */
    int exit_code;                   /* exit status of the command */
    enum fp_work_status work_status; /* JSON "work" */
    bool retryable;                  /* the same request may be sent again */
    uint32_t retry_after_ms; /* delay before a retry is useful; 0: none */
    const char *text;        /* JSON "detail" unless the caller has one */
};

/* Returns the row of err, or that of FP_ERR_INTERNAL for unknown values. */
const struct fp_err_row *fp_err_row(enum fp_err err);

/* Returns the JSON name of a status: "not run", "may have run" or "ran". */
const char *fp_work_status_name(enum fp_work_status status);

/* Returns the error with a JSON name, or FP_ERR_INTERNAL if there is none. */
enum fp_err fp_err_by_name(const char *name);

#endif /* FP_ERR_H */
