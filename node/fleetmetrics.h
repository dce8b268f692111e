/* fleetmetrics.h -- counters of a fleet's host, as text and as a dump
 */
#ifndef FP_FLEETMETRICS_H
#define FP_FLEETMETRICS_H

#include "node/dispatch.h"
#include "node/httpd.h"

struct fleetmetrics_parts {
    const struct relay *relay;
    const struct bus *bus;
    const struct replica *replica;   /* NULL on a front */
    const struct dispatch *dispatch; /* NULL unless this host leads */
    bool ready;
    uint64_t reloads;
};

/* Answers GET /metrics (text) and GET /dump (JSON). */
void fleetmetrics_request(const struct fleetmetrics_parts *parts,
                          struct http_request *request);

#endif /* FP_FLEETMETRICS_H */
