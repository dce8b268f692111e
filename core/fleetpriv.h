/* fleetpriv.h -- what the files of a fleet's state share
 *
 *   fleet.c      targets, jobs, the log
 *   fleetconf.c  configurations
 *   fleetsave.c  snapshots
 */
#ifndef FP_FLEETPRIV_H
#define FP_FLEETPRIV_H

#include "core/fleet.h"

union fleet_change {
    struct change_head head;
    struct fleet_config config;
    struct fleet_target_rec target;
    struct fleet_target_gone gone;
    struct fleet_submit submit;
    struct fleet_cancel cancel;
    struct fleet_ends ends;
};

/* fleetconf.c */
/* Puts a checked configuration in force unless a newer one is. */
void fleet_apply_config(struct fleet *fleet, struct fleet_config *config);

/* The queue at exactly this place, present or dropped; NULL: none. */
struct fleet_queue *fleet_queue_at(const struct fleet *fleet, const char *host,
                                   const char *prefix);
/* The team of this name, added if it is new. */
struct fleet_team *fleet_need_team(struct fleet *fleet, const char *name);

/* fleet.c */
/* Table of a change; NULL: no such change. */
const struct fp_schema *fleet_schema_of(uint32_t type);
void fleet_apply_decoded(struct fleet *fleet, uint32_t type,
                         union fleet_change *change,
                         struct change_answer *answer);
/* Takes what the submission holds. */
struct fleet_job *fleet_add_job(struct fleet *fleet,
                                struct fleet_submit *submit);

#endif /* FP_FLEETPRIV_H */
