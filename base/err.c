/* err.c -- the table of error codes */
#include "base/err.h"

#include <string.h>

static const struct fp_err_row ROWS[FP_ERR_COUNT] = {
    [FP_OK] = {"ok", 200, 0, FP_RAN, false, 0, "Done."},
    [FP_ERR_BAD_REQUEST] = {"bad-request", 400, 2, FP_NOT_RUN, false, 0,
                            "A field is missing, unknown or out of range."},
    [FP_ERR_TOO_LARGE] = {"too-large", 413, 2, FP_NOT_RUN, false, 0,
                          "The request is over the stated size bound."},
    [FP_ERR_NO_KEY] = {"no-key", 401, 3, FP_NOT_RUN, false, 0,
                       "The key is missing, unknown or withdrawn."},
    [FP_ERR_NOT_ALLOWED] = {"not-allowed", 403, 3, FP_NOT_RUN, false, 0,
                            "The key's team may not use this."},
    [FP_ERR_NOT_FOUND] = {"not-found", 404, 4, FP_NOT_RUN, false, 0,
                          "There is no such object."},
    [FP_ERR_GONE] = {"gone", 410, 4, FP_NOT_RUN, false, 0,
                     "No such job is known."},
    [FP_ERR_VERSION_CONFLICT] = {"version-conflict", 409, 5, FP_NOT_RUN, false,
                                 0,
                                 "The object has changed since that version."},
    [FP_ERR_KEY_REUSED] = {"idempotency-key-reused", 422, 5, FP_NOT_RUN, false,
                           0,
                           "The idempotency key was used with another body."},
    [FP_ERR_IN_PROGRESS] = {"in-progress", 409, 6, FP_MAY_HAVE_RUN, true, 1000,
                            "The first request under this key still runs."},
    [FP_ERR_CANNOT_RUN] = {"can-never-run", 422, 7, FP_NOT_RUN, false, 0,
                           "No host, limit or selector admits this work."},
    [FP_ERR_LIMIT] = {"limit", 429, 8, FP_NOT_RUN, true, 1000,
                      "The team is at its upper limit."},
    [FP_ERR_BUSY] = {"busy", 429, 8, FP_NOT_RUN, true, 500,
                     "The queue is full."},
    [FP_ERR_NO_TARGET] = {"no-target", 503, 9, FP_NOT_RUN, true, 1000,
                          "No live target serves this now."},
    [FP_ERR_CONFIG_STALE] = {"not-fresh", 503, 9, FP_NOT_RUN, true, 1000,
                             "This host's configuration may be out of date."},
    [FP_ERR_NO_LEADER] = {"no-leader", 503, 9, FP_NOT_RUN, true, 1000,
                          "No leader is known; nothing was changed."},
    [FP_ERR_SHUTTING_DOWN] = {"shutting-down", 503, 9, FP_NOT_RUN, true, 200,
                              "This host is about to exit; use another."},
    [FP_ERR_DEADLINE_EXCEEDED] =
        {"deadline", 504, 10, FP_NOT_RUN, true, 500,
         "The deadline passed before the work was sent."},
    [FP_ERR_NOT_CONNECTED] = {"not-connected", 502, 9, FP_NOT_RUN, true, 500,
                              "The target took no connection."},
    [FP_ERR_MAY_HAVE_RUN] = {"may-have-run", 504, 11, FP_MAY_HAVE_RUN, false,
                             0, "The work was sent and no answer came back."},
    [FP_ERR_TRUNCATED] = {"truncated", 502, 11, FP_MAY_HAVE_RUN, false, 0,
                          "The target's answer ended early."},
    [FP_ERR_ANSWER_MISMATCH] = {"crossed", 502, 11, FP_MAY_HAVE_RUN, false, 0,
                                "The target answered for another request."},
    [FP_ERR_ANSWER_TOO_LARGE] = {"answer-too-large", 502, 12, FP_RAN, false, 0,
                                 "The target's answer is over the bound."},
    [FP_ERR_UNKNOWN_OUTCOME] = {"unknown-outcome", 504, 11, FP_MAY_HAVE_RUN,
                                true, 500,
                                "Resend with the same change ID to learn it."},
    [FP_ERR_STALE] = {"stale", 409, 5, FP_NOT_RUN, false, 0,
                      "A newer attempt, epoch or run exists."},
    [FP_ERR_OVERCOMMIT] = {"overcommit", 409, 5, FP_NOT_RUN, true, 500,
                           "The target has not enough free capacity."},
    [FP_ERR_CORRUPT] = {"corrupt", 500, 13, FP_NOT_RUN, false, 0,
                        "Stored or received data failed its checks."},
    [FP_ERR_DISK] = {"disk", 503, 13, FP_NOT_RUN, true, 1000,
                     "This host's disk failed."},
    [FP_ERR_NO_MEMORY] = {"no-memory", 503, 13, FP_NOT_RUN, true, 1000,
                          "This host is out of memory."},
    [FP_ERR_NETWORK] = {"network", 503, 14, FP_NOT_RUN, true, 500,
                        "None of the system's hosts could be reached."},
    [FP_ERR_INTERNAL] = {"internal", 500, 15, FP_MAY_HAVE_RUN, false, 0,
                         "A fault in filbertpath itself."},
    [FP_ERR_HOST_FULL] = {"host-full", 503, 8, FP_NOT_RUN, true, 500,
                          "This host is full; use another."},
};

const struct fp_err_row *
fp_err_row(enum fp_err err)
{
    if ((unsigned)err >= FP_ERR_COUNT || ROWS[err].name == NULL) {
        return &ROWS[FP_ERR_INTERNAL];
    }
    return &ROWS[err];
}

const char *
fp_work_status_name(enum fp_work_status status)
{
    static const char *const names[] = {"not run", "may have run", "ran"};

    return names[status];
}

enum fp_err
fp_err_by_name(const char *name)
{
    for (int i = 0; i < FP_ERR_COUNT; i++) {
        if (ROWS[i].name != NULL && strcmp(ROWS[i].name, name) == 0) {
            return (enum fp_err)i;
        }
    }
    return FP_ERR_INTERNAL;
}
