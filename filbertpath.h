/* filbertpath.h -- the manual of the sources
 *
 * filbertpath schedules unlike workloads on one cell: services, batch, gangs,
 * and requests routed to service instances. This header includes the public
 * headers of all pure modules; a program that includes it and links the
 * library's objects can drive the replicated state, the scheduler and the
 * routing by itself, as the tests and benches do. Each header below is the
 * manual of its module: the contract of a function stands before it.
 *
 * How they fit:
 *   base/schema.h   records described by tables: wire, log, JSON, options
 *   base/err.h      the closed list of error kinds and what each promises
 *   core/raft.h     a replicated log among hosts; leases
 *   core/cell.h     the state that the log's changes make; checks each again
 *   core/sched.h    the leader's decisions: what starts where, what yields
 *   core/route.h    slots, units and lines at the owner of instances
 *   core/pick.h     which owner a gateway hands a request to
 *   core/fleet.h    the state of a fleet: configuration, targets, jobs
 *   core/plan.h     which task of a fleet runs where
 *   core/members.h  which replica joins or leaves a fleet's cell
 *
 * Rules that hold for all of them:
 *   - time comes in as an argument, in milliseconds; mono times and wall
 *     times are never mixed;
 *   - effects go out through a struct of callbacks with a context pointer;
 *   - a parent frees its children; who frees an argument is said there;
 *   - queries take const objects, commands return enum fp_err;
 *   - nothing blocks; allocation failure ends the process (GLib).
 */
#ifndef FILBERTPATH_H
#define FILBERTPATH_H

#include "base/err.h"
#include "base/schema.h"
#include "core/cell.h"
#include "core/change.h"
#include "core/fleet.h"
#include "core/members.h"
#include "core/msg.h"
#include "core/pick.h"
#include "core/plan.h"
#include "core/raft.h"
#include "core/route.h"
#include "core/sched.h"
#include "core/selector.h"

/* Version of the sources; also the ChangeLog's newest. */
#define FILBERTPATH_VERSION "0.2"

#endif /* FILBERTPATH_H */
