/* fleetpriv.h -- internals shared by the files of the fleet's state
 *
 *   fleet.c      targets, jobs, applying changes
 *   fleetconf.c  configurations: checks, queues, services, teams, keys
 *   fleetevac.c  data centres and their evacuation
 *   fleetsave.c  snapshots
 *   fleetservices.c services whose targets may run a job's tasks
 */
#ifndef FP_FLEETPRIV_H
#define FP_FLEETPRIV_H

#include "core/fleet.h"

/* A decoded change of any type that fleet_schema_of() knows. */
union fleet_change {
    struct change_head head;
    struct fleet_config config;
    struct fleet_target_rec target;
    struct fleet_target_removal removal;
    struct fleet_submit submit;
    struct fleet_cancel cancel;
    struct fleet_run_ends ends;
    struct fleet_crashes crashes;
    struct fleet_evacuation evacuation;
    struct fleet_outage outage;
    struct fleet_lease lease;
};

/* fleetconf.c */
/* Makes a checked configuration the current one, taking over its contents,
 * unless its version is not higher than the current one. */
void fleet_apply_config(struct fleet *fleet, struct fleet_config *config);

/* Finds the queue with exactly this host and prefix, configured or not; NULL:
 * none. */
struct fleet_queue *fleet_find_queue_exact(const struct fleet *fleet,
                                           const char *host,
                                           const char *prefix);
/* Removes a queue that is neither configured nor has jobs; or all of them.
 * Not while a snapshot is being loaded, whose jobs come after its queues. */
void fleet_drop_unused_queue(struct fleet *fleet, struct fleet_queue *queue);
void fleet_drop_unused_queues(struct fleet *fleet);
/* Queues that were removed from the configuration keep their settings for the
 * jobs that were accepted on them. Those with live jobs are part of a
 * snapshot, and are loaded before its jobs. */
void fleet_save_removed_queues(const struct fleet *fleet,
                               struct fleet_snapshot *snap);
void fleet_load_removed_queues(struct fleet *fleet,
                               const struct fleet_snapshot *snap);
/* Finds the team of this name, or adds it. */
struct fleet_team *fleet_ensure_team(struct fleet *fleet, const char *name);

/* fleetservices.c */
/* Queues have moved to other services: remembers the former ones with the live
 * jobs. moved: struct fleet_queue to the name of the service it had. */
void fleet_move_jobs(struct fleet *fleet, GHashTable *moved);
/* Adds struct fleet_service_saved to a list. */
void fleet_save_services(const struct fleet_job *job, struct fp_list *list);
void fleet_load_services(struct fleet_job *job, const struct fp_list *list);
void fleet_free_services(struct fleet_job *job);

/* fleetoutage.c */
void fleet_apply_outage(struct fleet *fleet,
                        const struct fleet_outage *outage);
/* Forgets the outage of a target, for example of another incarnation. */
void fleet_end_outage(struct fleet_target *target);
void fleet_save_outages(const struct fleet *fleet,
                        struct fleet_snapshot *snap);
/* Returns FP_ERR_CORRUPT for a malformed record. */
enum fp_err fleet_load_outages(struct fleet *fleet,
                               const struct fleet_snapshot *snap);

/* fleetevac.c */
/* Frees a struct fleet_data_centre. */
void fleet_free_data_centre(void *item);
/* Remembers the data centre of a target. */
void fleet_remember_data_centre(struct fleet *fleet, const char *name);
void fleet_apply_evacuation(struct fleet *fleet,
                            const struct fleet_evacuation *order);
/* Appends each data centre to a snapshot's items. */
void fleet_save_data_centres(const struct fleet *fleet,
                             struct fleet_snapshot *snap);
void fleet_load_data_centre(struct fleet *fleet,
                            const struct fleet_data_centre_saved *saved);

/* fleetsave.c */
void fleet_add_snapshot_item(struct fleet_snapshot *snap,
                             const struct fp_schema *schema,
                             const void *record);

/* Frees what only live jobs need: the progress of the tasks, and the
 * specification. */
void fleet_drop_progress(struct fleet_job *job);

/* fleet.c */
/* Returns the schema of a change type, or NULL for an unknown type. */
const struct fp_schema *fleet_schema_of(uint32_t type);
/* Applies a decoded change; answer must be zeroed. type is one that
 * fleet_schema_of() knows. Heap contents that the state keeps are moved out of
 * change; the caller frees the rest. */
void fleet_apply_decoded(struct fleet *fleet, uint32_t type,
                         union fleet_change *change,
                         struct change_answer *answer);
/* Adds a job, taking over the contents of submit, which is zeroed. Calls no
 * callback. */
struct fleet_job *fleet_add_job(struct fleet *fleet,
                                struct fleet_submit *submit);

/* Estimates the memory of a job anew, which is added to that of all. */
void fleet_count_job(struct fleet *fleet, struct fleet_job *job);

#endif /* FP_FLEETPRIV_H */
