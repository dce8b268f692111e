/* filbertpath.h -- all public headers of the scheduling library
 *
 * filbertpath schedules mixed workloads on one cell: services, batch jobs,
 * gangs, and requests routed to service instances. This header includes the
 * public headers of the modules that do no I/O. A program that includes it and
 * links the library's objects can run the replicated state, the scheduler and
 * the request routing in its own process, as the tests and benchmarks do. Each
 * header documents its module; the contract of a function precedes its
 * declaration.
 *
 * The main headers:
 *   base/schema.h   records described by tables: wire, log, JSON, options
 *   base/err.h      error kinds, and what each says about the work
 *   core/raft.h     leader election, log replication, leases
 *   core/cell.h     the replicated state of a cell; validates every change
 *   core/sched.h    the cell's scheduler: starts and preemption of tasks
 *   core/route.h    queues and slots of service instances, at their owner
 *   core/pick.h     choice of the owner host that a gateway sends a request to
 *   core/fleet.h    the replicated state of a fleet: configuration, targets,
 *                   jobs
 *   core/plan.h     the fleet's scheduler: placement of tasks on targets
 *   core/room.h     how much accepted work a cell keeps
 *   core/helpers.h  which host queries the placement policy
 *   core/members.h  rules for adding and removing members of a fleet's cell
 *
 * Conventions:
 *   - time is passed in as an argument, in milliseconds; monotonic and
 *     wall-clock times are never mixed;
 *   - side effects go through a struct of callbacks with a context pointer;
 *   - an object frees the objects that it contains; a function's comment says
 *     who frees its arguments;
 *   - queries take const objects, commands return enum fp_err;
 *   - no function blocks; a failed allocation ends the process (GLib).
 */
#ifndef FILBERTPATH_H
#define FILBERTPATH_H

#include "base/err.h"
#include "base/schema.h"
#include "core/cell.h"
#include "core/change.h"
#include "core/fleet.h"
#include "core/helpers.h"
#include "core/members.h"
#include "core/msg.h"
#include "core/pick.h"
#include "core/plan.h"
#include "core/raft.h"
#include "core/room.h"
#include "core/route.h"
#include "core/sched.h"
#include "core/selector.h"

/* Version of the sources; equal to the newest entry of the ChangeLog. */
#define FILBERTPATH_VERSION "0.2"

#endif /* FILBERTPATH_H */
