/* raftlog.c -- in-memory log of a replica */
#include "core/raftlog.h"

static void
push_membership(struct raftlog *log, uint64_t index,
                const struct raft_members *members)
{
    struct membership membership = {.index = index};

    fp_record_copy(&RAFT_MEMBERS_SCHEMA, &membership.members, members);
    g_array_append_val(log->memberships, membership);
}

static void
remove_membership(struct raftlog *log, guint position)
{
    struct membership *membership =
        &g_array_index(log->memberships, struct membership, position);

    fp_record_free(&RAFT_MEMBERS_SCHEMA, &membership->members);
    g_array_remove_index(log->memberships, position);
}

void
raftlog_init(struct raftlog *log, uint64_t base_index, uint64_t base_term,
             const struct raft_members *members)
{
    log->base_index = base_index;
    log->base_term = base_term;
    log->entries = g_array_new(FALSE, FALSE, sizeof(struct raft_entry));
    log->memberships = g_array_new(FALSE, FALSE, sizeof(struct membership));
    push_membership(log, base_index, members);
}

void
raftlog_clear(struct raftlog *log)
{
    for (guint i = 0; i < log->entries->len; i++) {
        fp_blob_free(&g_array_index(log->entries, struct raft_entry, i).data);
    }
    while (log->memberships->len > 0) {
        remove_membership(log, log->memberships->len - 1);
    }
    g_array_free(log->entries, TRUE);
    g_array_free(log->memberships, TRUE);
}

void
raftlog_append(struct raftlog *log, const struct raft_entry *entry)
{
    g_array_append_val(log->entries, *entry);
    if (entry->kind == RAFT_MEMBERS) {
        struct raft_members members;

        if (fp_decode(&RAFT_MEMBERS_SCHEMA, entry->data.data,
                      entry->data.size_bytes, &members) == FP_OK) {
            push_membership(log, entry->index, &members);
            fp_record_free(&RAFT_MEMBERS_SCHEMA, &members);
        }
    }
}

void
raftlog_truncate(struct raftlog *log, uint64_t index)
{
    while (raftlog_last_index(log) >= index &&
           raftlog_last_index(log) > log->base_index) {
        guint last = log->entries->len - 1;

        fp_blob_free(
            &g_array_index(log->entries, struct raft_entry, last).data);
        g_array_set_size(log->entries, last);
    }
    while (log->memberships->len > 1 &&
           raftlog_membership(log)->index >= index) {
        remove_membership(log, log->memberships->len - 1);
    }
}

void
raftlog_compact(struct raftlog *log, uint64_t index)
{
    uint64_t term = raftlog_term(log, index);
    guint count = (guint)(index - log->base_index);

    for (guint i = 0; i < count; i++) {
        fp_blob_free(&g_array_index(log->entries, struct raft_entry, i).data);
    }
    g_array_remove_range(log->entries, 0, count);
    log->base_index = index;
    log->base_term = term;
    while (log->memberships->len > 1 &&
           g_array_index(log->memberships, struct membership, 1).index <=
               index) {
        remove_membership(log, 0);
    }
}

uint64_t
raftlog_last_index(const struct raftlog *log)
{
    return log->base_index + log->entries->len;
}

uint64_t
raftlog_last_term(const struct raftlog *log)
{
    return raftlog_term(log, raftlog_last_index(log));
}

const struct raft_entry *
raftlog_entry_at(const struct raftlog *log, uint64_t index)
{
    if (index <= log->base_index || index > raftlog_last_index(log)) {
        return NULL;
    }
    return &g_array_index(log->entries, struct raft_entry,
                          index - log->base_index - 1);
}

uint64_t
raftlog_term(const struct raftlog *log, uint64_t index)
{
    const struct raft_entry *entry;

    if (index == log->base_index) {
        return log->base_term;
    }
    entry = raftlog_entry_at(log, index);
    return entry == NULL ? 0 : entry->term;
}

const struct membership *
raftlog_membership(const struct raftlog *log)
{
    return &g_array_index(log->memberships, struct membership,
                          log->memberships->len - 1);
}

const struct membership *
raftlog_membership_at(const struct raftlog *log, uint64_t index)
{
    guint i = log->memberships->len - 1;

    while (i > 0 &&
           g_array_index(log->memberships, struct membership, i).index >
               index) {
        i--;
    }
    return &g_array_index(log->memberships, struct membership, i);
}
