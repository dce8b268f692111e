/* fleetnode.h -- one host of a fleet, from its settings to its exit
 *
 * A front has no disk: it takes callers' requests and passes them to the
 * leader. A core host has a replica, and while it leads it also schedules; it
 * takes the requests of targets and operators. Both ask the placement policy
 * on the leader's behalf.
 */
#ifndef FP_FLEETNODE_H
#define FP_FLEETNODE_H

#include "node/edge.h"

/* Runs until SIGTERM. path is where the settings came from: they are read
 * again on SIGHUP and when the file changes.
 * Returns an error with why when a socket or the disk cannot be opened.
 */
enum fp_err fleetnode_run(const struct settings *settings, const char *path,
                          const struct edge_ops *edge, char *why,
                          unsigned why_bytes);

#endif /* FP_FLEETNODE_H */
