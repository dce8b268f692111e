/* fleetnode.h -- the process of one host of a fleet
 *
 * A front host has no data folder: it takes clients' requests and forwards
 * them to the leader. A core host has a replica of the state and takes the
 * requests of targets and operators; the core host that leads also schedules.
 * Both kinds query the placement policy for the leader.
 */
#ifndef FP_FLEETNODE_H
#define FP_FLEETNODE_H

#include "node/edge.h"

/* Runs the host until it has drained after SIGTERM or SIGINT. path is the file
 * that the settings were loaded from; it is read again on SIGHUP and when it
 * changes. edge decodes the HTTP requests and sends the orders.
 * Returns FP_OK after a shutdown, or an error, with its text in why, when a
 * listener, the bus or the data folder cannot be opened.
 */
enum fp_err fleetnode_run(const struct settings *settings, const char *path,
                          const struct edge_ops *edge, char *why,
                          unsigned why_bytes);

#endif /* FP_FLEETNODE_H */
