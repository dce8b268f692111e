/* relay.h -- calls to the leader of a fleet, from any of its hosts
 *
 * A call is sent to the host that is believed to lead; a host that does not
 * lead says so, and the call goes on to another one. All calls are idempotent
 * (jobs by their ID, configurations by their version), so one that is not
 * answered in time is sent again elsewhere. What the caller may be told in the
 * end depends on what became of every copy: "not run" only when each was
 * refused or never left.
 */
#ifndef FP_RELAY_H
#define FP_RELAY_H

#include "base/histogram.h"
#include "core/fleetrec.h"
#include "node/bus.h"
#include "node/clock.h"

struct relay;

/* Who waits for an answer here. */
struct relay_caller {
    char host[MSG_HOST_BYTES];
    uint64_t request_id;
};

struct relay_ops {
    /* The host that leads, "" when not known; NULL: this host has no replica
     * and finds out by asking. */
    const char *(*leader)(void *ctx);
    /* A call came in: it must end in one relay_answer(). */
    void (*called)(void *ctx, const struct relay_caller *caller, uint32_t kind,
                   const struct fp_blob *body);
    void *ctx;
};

struct relay_counters {
    uint64_t calls;
    uint64_t sent;      /* copies, retries included */
    uint64_t retried;   /* copies after the first */
    uint64_t timed_out; /* calls that ended without an answer */
    uint64_t answered;  /* calls of other hosts */
    /* Time of each call that was answered, by kind, in ms. */
    struct histogram took_ms[CALL_ADVISE + 1];
};

/* The end of a call. err: FP_OK and the leader's answer; FP_ERR_NO_LEADER: no
 * copy was looked at; FP_ERR_UNKNOWN_OUTCOME: some copy may yet be. answer is
 * valid during the call, and zero unless FP_OK.
 */
typedef void (*relay_done)(void *ctx, enum fp_err err,
                           const struct call_answer *answer);

/* Does not own the bus. */
struct relay *relay_new(struct timers *timers, struct bus *bus,
                        const char *own_host, const struct relay_ops *ops);

/* Ends all calls with their errors. */
void relay_free(struct relay *relay);

/* Learns of hosts that may lead. */
void relay_learn(struct relay *relay, const char *host);

/* Calls the leader; the record is encoded at once. */
void relay_call(struct relay *relay, uint32_t kind,
                const struct fp_schema *schema, const void *record,
                uint32_t timeout_ms, relay_done done, void *ctx);

/* Calls one host, once. */
void relay_call_host(struct relay *relay, const char *host, uint32_t kind,
                     const struct fp_schema *schema, const void *record,
                     uint32_t timeout_ms, relay_done done, void *ctx);

/* Answers a call; err FP_ERR_NO_LEADER: it was not looked at. */
void relay_answer(struct relay *relay, const struct relay_caller *caller,
                  enum fp_err err, const struct call_answer *answer);

/* Takes MSG_FORWARD and MSG_FORWARD_REPLY. */
void relay_message(struct relay *relay, const char *from, uint32_t type,
                   const void *msg);

/* When the leader last answered this host; 0: never. */
uint64_t relay_heard_ms(const struct relay *relay);

/* The host that is believed to lead, or "". */
const char *relay_leader(const struct relay *relay);
const struct relay_counters *relay_counters(const struct relay *relay);
uint32_t relay_in_flight(const struct relay *relay);

#endif /* FP_RELAY_H */
