/* querypace.h -- how many long queries to the placement policy are under way,
 * and how long one is waited for
 *
 * Pure decisions. Load pattern: a policy that is slower than the configuration
 * states, or answers several hosts in one turn. A query that is given up is
 * still worked on; the next ones wait behind it, and are given up too. So the
 * limit follows the measured times: it falls by a part when answers are late
 * or refused, once for the queries under way at that time, and rises by one
 * query for each round of answers in time. In time is compared with a base,
 * what a query takes that is alone, as the policy may be steadily slower than
 * stated and yet answer each host in a turn of its own: when answers usually
 * take longer than the base, one long query at a time shows it. Short queries
 * have no limit, as they take little of a turn; but a single long one is under
 * way when they wait for long ones.
 */
#ifndef FP_QUERYPACE_H
#define FP_QUERYPACE_H

#include <stdbool.h>
#include <stdint.h>

/* All zero at first: no limit is known. */
struct query_pace {
    uint32_t limit_milli;    /* long queries under way, thousandths; 0: no
                              * limit */
    uint64_t decreased_ms;   /* when the limit last fell */
    uint32_t base_permille;  /* time of a long query that is alone, in parts of
                              * the stated one; less than 1000: as stated */
    uint64_t base_ms;        /* when that was last measured */
    uint32_t ratio_permille; /* smoothed, of all long queries; 0: none */
    bool is_probing;         /* the base is being measured */
    uint64_t probe_ms;       /* since when */
    uint32_t probes;         /* answers to queries that were alone */
    uint32_t probe_permille; /* least of these */
    uint64_t answered_ms;    /* when the last one of the answered queries
                              * was sent, of all */
    uint64_t answered_long_ms; /* and of the long ones */
    bool is_measured;
    uint32_t delay_ms;     /* smoothed time beyond the stated one */
    uint32_t deviation_ms; /* smoothed, of the delay */
};

/* How many long queries may be under way, of at most hosts. */
uint32_t query_pace_limit(const struct query_pace *pace, uint32_t hosts);

/* When a query that should take stated_ms is late. */
uint32_t query_pace_timeout_ms(const struct query_pace *pace,
                               uint32_t stated_ms);

/* How long an answer to it is waited for: it is of use then too. */
uint32_t query_pace_wait_ms(const struct query_pace *pace, uint32_t stated_ms);

/* The policy answered a query of sent_ms after took_ms. */
void query_pace_answered(struct query_pace *pace, uint64_t sent_ms,
                         bool short_query, uint32_t stated_ms,
                         uint32_t took_ms, uint32_t hosts, uint64_t now_ms);

/* Whether a query that was sent later has been answered. For a long one only
 * long ones count: a short one takes a small part of their time, so its answer
 * doesn't show that the long one's turn is lost.
 */
bool query_pace_is_overtaken(const struct query_pace *pace, uint64_t sent_ms,
                             bool short_query);

/* The policy refused a query of sent_ms because it had too many, or did not
 * answer it. */
void query_pace_refused(struct query_pace *pace, uint64_t sent_ms,
                        uint32_t hosts, uint64_t now_ms);

#endif /* FP_QUERYPACE_H */
