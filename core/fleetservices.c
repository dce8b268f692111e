/* fleetservices.c -- services whose targets may run the tasks of a job
 *
 * Workload: an operator moves a queue to another service while its jobs run.
 * Their runs go on where they were started, on targets of the former service,
 * and a leader that takes over has to wait for the lists of those targets too.
 * Which run is on which target is not stored, but the services that a queue
 * has had while a job was live bound it. The list of a job begins when the
 * job is accepted and is never shortened.
 */
#include <string.h>

#include "core/fleetpriv.h"

void
fleet_free_services(struct fleet_job *job)
{
    if (job->former_services != NULL) {
        g_ptr_array_free(job->former_services, TRUE);
        job->former_services = NULL;
    }
}

/* A job with too many services for a record counts as one of all services. */
static void
add_service(struct fleet_job *job, const char *service)
{
    if (job->former_services == NULL) {
        job->former_services = g_ptr_array_new_with_free_func(g_free);
    }
    for (guint i = 0; i < job->former_services->len; i++) {
        if (strcmp(job->former_services->pdata[i], service) == 0) {
            return;
        }
    }
    if (job->former_services->len + 1 >= FLEET_JOB_SERVICES_MAX) {
        job->any_service = true;
        fleet_free_services(job);
        return;
    }
    g_ptr_array_add(job->former_services, g_strdup(service));
}

void
fleet_move_jobs(struct fleet *fleet, GHashTable *moved)
{
    GHashTableIter iter;
    struct fleet_job *job;

    if (g_hash_table_size(moved) == 0) {
        return;
    }
    g_hash_table_iter_init(&iter, fleet->jobs);
    while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job)) {
        const char *former = g_hash_table_lookup(moved, job->queue);

        if (former != NULL && fleet_job_is_live(job) && !job->any_service) {
            add_service(job, former);
        }
    }
}

static void
save_service(struct fp_list *list, const char *service)
{
    struct fleet_service_saved *saved = fp_list_add(list, sizeof(*saved));

    g_strlcpy(saved->name, service, sizeof(saved->name));
}

/* The queue's service is saved as well: a snapshot does not hold the queues
 * that the configuration has dropped. */
void
fleet_save_services(const struct fleet_job *job, struct fp_list *list)
{
    if (job->any_service || !fleet_job_is_live(job)) {
        return;
    }
    if (job->queue->conf.service[0] != '\0') {
        save_service(list, job->queue->conf.service);
    }
    for (guint i = 0;
         job->former_services != NULL && i < job->former_services->len; i++) {
        save_service(list, job->former_services->pdata[i]);
    }
}

/* An empty list is that of a job of all services, or of a snapshot by a
 * version without the list. */
void
fleet_load_services(struct fleet_job *job, const struct fp_list *list)
{
    const struct fleet_service_saved *saved = list->items;

    job->any_service = list->count == 0;
    for (uint32_t i = 0; i < list->count && !job->any_service; i++) {
        if (strcmp(saved[i].name, job->queue->conf.service) != 0) {
            add_service(job, saved[i].name);
        }
    }
}
