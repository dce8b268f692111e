/* dispatchroom.c -- the leader's bounds on what the cell accepts */
#include "base/event.h"
#include "core/room.h"
#include "node/dispatchpriv.h"

static const struct raft_member *
find_member(const struct dispatch *dispatch, const char *host)
{
    const struct fp_list *list =
        &raft_members(replica_raft(dispatch->deps.replica))->list;
    const struct raft_member *members = list->items;

    for (uint32_t i = 0; i < list->count; i++) {
        if (strcmp(members[i].host, host) == 0) {
            return &members[i];
        }
    }
    return NULL;
}

void
dispatch_note_memory(struct dispatch *dispatch, const char *host,
                     uint32_t memory_mb)
{
    /* Front hosts have limits too, but no state. */
    if (memory_mb != 0 && find_member(dispatch, host) != NULL) {
        g_hash_table_replace(dispatch->core_memory, g_strdup(host),
                             GUINT_TO_POINTER(memory_mb));
    }
}

static struct room_limits
room_limits(const struct dispatch *dispatch)
{
    uint32_t smallest_mb = dispatch->deps.settings->limits.memory_mb;
    struct room_limits limits;
    GHashTableIter iter;
    const char *host;
    gpointer value;

    g_hash_table_iter_init(&iter, dispatch->core_memory);
    while (g_hash_table_iter_next(&iter, (gpointer *)&host, &value)) {
        const uint32_t memory_mb = GPOINTER_TO_UINT(value);

        if (find_member(dispatch, host) != NULL &&
            (smallest_mb == 0 || memory_mb < smallest_mb)) {
            smallest_mb = memory_mb;
        }
    }
    room_set_limits(smallest_mb, &limits);
    return limits;
}

struct dispatch_room
dispatch_room(const struct dispatch *dispatch)
{
    const struct fleet *fleet = dispatch->deps.fleet;

    return (struct dispatch_room){
        .limits = room_limits(dispatch),
        .job_bytes = fleet->job_bytes + dispatch->submitting_bytes,
        .jobs_without_room = dispatch->jobs_without_room,
        .targets = g_hash_table_size(fleet->targets),
        .targets_refused = dispatch->targets_refused};
}

struct plan_admission
dispatch_admit_to_room(struct dispatch *dispatch, uint64_t job_bytes,
                       const struct fleet_team *team)
{
    struct fleet *fleet = dispatch->deps.fleet;
    const struct fleet_job *ended = g_queue_peek_head(&fleet->ended_jobs);
    const struct room_limits limits = room_limits(dispatch);
    const struct room_use use = {
        .job_bytes = fleet->job_bytes + dispatch->submitting_bytes,
        .team_job_bytes = team != NULL ? team->job_bytes : 0,
        .teams = fleet->config.teams.count};
    struct plan_admission admission = {.err = FP_OK, .reason = ""};

    if (!room_takes_job(&limits, &use, job_bytes)) {
        admission.err = FP_ERR_BUSY;
        admission.reason = "the state has no room";
        admission.retry_after_ms =
            room_retry_after_ms(ended != NULL ? ended->ended_ms : 0,
                                fleet->retention_ms, clock_wall_ms());
        dispatch->jobs_without_room++;
    }
    return admission;
}

bool
dispatch_admit_target(struct dispatch *dispatch,
                      const struct fleet_target_rec *target)
{
    const struct room_limits limits = room_limits(dispatch);
    const uint32_t targets = g_hash_table_size(dispatch->deps.fleet->targets) +
                             dispatch->targets_submitting;

    if (room_takes_target(&limits, targets)) {
        return true;
    }
    dispatch->targets_refused++;
    dispatch_remove_unanswered(dispatch, clock_mono_ms());
    EVENT(EVENT_TARGET_REFUSED, EVENT_STR("id", target->id),
          EVENT_STR("service", target->service), EVENT_INT("targets", targets),
          EVENT_INT("targets_max", limits.targets));
    return false;
}
