/* fleetmetrics.h -- metrics and state dump of one host, over HTTP
 */
#ifndef FP_FLEETMETRICS_H
#define FP_FLEETMETRICS_H

#include "node/dispatch.h"
#include "node/httpd.h"

/* What the metrics are read from; used during the call only. */
struct fleetmetrics_sources {
    const struct relay *relay;
    const struct bus *bus;
    /* By listener; NULL where the host has none. */
    const struct httpd *listeners[ENTRY_LISTENER_COUNT];
    const struct replica *replica;   /* NULL on a front host */
    const struct dispatch *dispatch; /* NULL unless this host leads */
    const struct fleet *fleet;       /* not used unless this host leads */
    uint64_t connections_refused;    /* see struct edge_ops */
    uint64_t answers_dropped;        /* the same */
    bool ready;
    uint64_t reloads; /* of the settings, since the start */
};

/* Answers a request: the metrics as text for the path /metrics, the state as
 * JSON for /dump, FP_ERR_NOT_FOUND for any other. */
void fleetmetrics_handle_request(const struct fleetmetrics_sources *sources,
                                 struct http_request *request);

#endif /* FP_FLEETMETRICS_H */
