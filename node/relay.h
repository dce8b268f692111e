/* relay.h -- calls to the leader of a fleet, from any of its hosts
 *
 * A call is sent to the host that is believed to lead. A host that does not
 * lead refuses the call, which is then sent to another one; a host that begins
 * to lead says so, and gets the calls that wait. All calls are
 * idempotent (jobs by their ID, configurations by their version), so a call
 * that is not answered in time is sent again, to another host if one is known;
 * core/resend.h says when. A host that gets a call again while it handles it
 * answers once.
 * The error of a call without an answer depends on all copies that were sent:
 * "not run" only when each copy was refused or was never sent.
 */
#ifndef FP_RELAY_H
#define FP_RELAY_H

#include "base/histogram.h"
#include "core/fleetrec.h"
#include "node/bus.h"
#include "node/clock.h"

struct relay;

/* The origin of a call, to which relay_answer() sends the answer. */
struct relay_caller {
    char host[MSG_HOST_BYTES];
    uint64_t request_id;
};

struct relay_ops {
    /* Returns the host that leads, "" when none is known. NULL on a host
     * without a replica, which finds the leader by asking other hosts. */
    const char *(*leader_host)(void *ctx);
    /* A call arrived, from another host or from this one. It must be answered
     * by one relay_answer(). The arguments are valid during the call. */
    void (*on_call)(void *ctx, const struct relay_caller *caller,
                    uint32_t kind, const struct fp_blob *body);
    void *ctx;
};

struct relay_counters {
    uint64_t calls;
    uint64_t sent;      /* copies, retries included */
    uint64_t retried;   /* copies after the first */
    uint64_t timed_out; /* calls that ended without an answer */
    uint64_t answered;  /* calls of other hosts */
    uint64_t repeated;  /* copies that came while the call was handled */
    /* Time from a call to its answer, by kind; answered calls only. */
    struct histogram latency_ms[CALL_KIND_COUNT];
};

/* Reports the end of a call, exactly once; possibly before relay_call()
 * returns. err is one of
 *   FP_OK                   answer is the answer of the called host
 *   FP_ERR_NO_LEADER        no copy was or will be processed
 *   FP_ERR_UNKNOWN_OUTCOME  a copy may have been processed, or may still be
 * answer is valid during the call, and all zero unless err is FP_OK.
 */
typedef void (*relay_done)(void *ctx, enum fp_err err,
                           const struct call_answer *answer);

/* Creates a relay, which sends over the bus but does not own it. */
struct relay *relay_new(struct timers *timers, struct bus *bus,
                        const char *own_host, const struct relay_ops *ops);

/* Ends all calls with an error; relay may be NULL. */
void relay_free(struct relay *relay);

/* Adds a host that may lead, and connects to it. At most 64 are kept; the
 * oldest is dropped. */
void relay_add_host(struct relay *relay, const char *host);

/* Makes this host known to another one that may lead, so that it is told when
 * that one leads. */
void relay_introduce(struct relay *relay, const char *host);

/* This host leads from now on: tells all hosts that have called it. */
void relay_announce_leadership(struct relay *relay);

/* Calls the leader. The record is encoded before this returns. */
void relay_call(struct relay *relay, uint32_t kind,
                const struct fp_schema *schema, const void *record,
                uint32_t timeout_ms, relay_done done, void *ctx);

/* Calls the given host, whether it leads or not, without retries. */
void relay_call_host(struct relay *relay, const char *host, uint32_t kind,
                     const struct fp_schema *schema, const void *record,
                     uint32_t timeout_ms, relay_done done, void *ctx);

/* Answers a call. err: FP_OK; or FP_ERR_NO_LEADER when the call was not
 * processed because this host does not lead, and answer may be NULL. */
void relay_answer(struct relay *relay, const struct relay_caller *caller,
                  enum fp_err err, const struct call_answer *answer);

/* Handles a bus message of type MSG_FORWARD or MSG_FORWARD_REPLY. */
void relay_handle_message(struct relay *relay, const char *from, uint32_t type,
                          const void *msg);

/* When a leader last answered this host, on the monotonic clock; 0: never. */
uint64_t relay_leader_heard_ms(const struct relay *relay);

/* The host that is believed to lead, or "". */
const char *relay_leader(const struct relay *relay);
const struct relay_counters *relay_counters(const struct relay *relay);

/* The number of calls of this host that have not ended. */
uint32_t relay_in_flight(const struct relay *relay);

#endif /* FP_RELAY_H */
