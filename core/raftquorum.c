/* raftquorum.c -- which replicas decide: majorities, changes of the list, and
 * substitutes for voters that lost their disks
 *
 * Checked by spec/substitute.pml; docs/design/takeover.md says why it is safe.
 */
#include <glib.h>
#include <string.h>

#include "core/raftpriv.h"

/* Smaller lists have an even number only while a cell is being founded. */
#define SUBSTITUTE_VOTERS_MIN 4u

static bool
has_substitutes(const struct raft_members *members)
{
    uint32_t voters = raft_count_voters(members);

    return voters >= SUBSTITUTE_VOTERS_MIN && voters % 2 == 0;
}

/* Returns the list in force before the voters last changed, if that change is
 * not known to be committed; else NULL. Only the newest change can be open: a
 * leader makes none before. So a list that follows another one with the same
 * voters shows that these are committed. */
static const struct raft_members *
find_list_before(const struct raft *raft)
{
    const GArray *lists = raft->log.memberships;
    const struct membership *newest = raftlog_membership(&raft->log);
    const struct membership *before;

    if (lists->len < 2 || newest->index <= raft->commit_index) {
        return NULL;
    }
    before = &g_array_index(lists, struct membership, lists->len - 2);
    return raft_same_voters(&before->members, &newest->members)
               ? NULL
               : &before->members;
}

static const struct raft_member *
find_voter(const struct raft_members *members, uint64_t id, const char *host)
{
    const struct raft_member *member = members->list.items;

    for (uint32_t i = 0; i < members->list.count; i++) {
        if (member[i].role == RAFT_VOTER &&
            (host != NULL ? strcmp(member[i].host, host) == 0
                          : member[i].id == id)) {
            return &member[i];
        }
    }
    return NULL;
}

/* Returns the newest list that is known to be committed. Only in that a
 * substitute counts: a list that is in few logs may never have been decided
 * on, and a majority of another one may have decided without it. */
static const struct raft_members *
find_committed_list(const struct raft *raft)
{
    const struct raft_members *before = find_list_before(raft);

    return before != NULL ? before : raft_members(raft);
}

/* Returns the voter of that list that has a substitute; NULL: none. */
static const struct raft_member *
find_replaced_voter(const struct raft *raft)
{
    const struct substitute *substitute = &raft->substitute;
    const struct raft_members *members = find_committed_list(raft);

    if (substitute->id == 0 || !has_substitutes(members) ||
        raft_find_member(members, substitute->id) != NULL) {
        return NULL;
    }
    return find_voter(members, 0, substitute->host);
}

/* Returns the highest value that a majority of the list's voters has reached.
 */
static uint64_t
majority_value(const struct raft *raft, const struct raft_members *members,
               raft_value_of value_of)
{
    const struct raft_member *member = members->list.items;
    const struct raft_member *replaced = find_replaced_voter(raft);
    uint64_t values[MSG_MAX_MEMBERS];
    uint32_t count = 0;

    for (uint32_t i = 0; i < members->list.count; i++) {
        uint64_t value;
        uint32_t at = count;

        if (member[i].role != RAFT_VOTER) {
            continue;
        }
        value = value_of(raft, member[i].id);
        if (&member[i] == replaced) { /* never in another list */
            value = MAX(value, value_of(raft, raft->substitute.id));
        }
        while (at > 0 && values[at - 1] < value) {
            values[at] = values[at - 1];
            at--;
        }
        values[at] = value;
        count++;
    }
    return count == 0 ? 0 : values[count / 2];
}

uint64_t
raft_quorum_value(const struct raft *raft, raft_value_of value_of)
{
    const struct raft_members *before = find_list_before(raft);
    uint64_t value = majority_value(raft, raft_members(raft), value_of);

    if (before != NULL && has_substitutes(before)) {
        value = MIN(value, majority_value(raft, before, value_of));
    }
    return value;
}

void
raft_note_substitute(struct raft *raft, const struct msg_hello *msg)
{
    const struct raft_members *newest = raft_members(raft);
    const struct raft_members *before = find_list_before(raft);

    if (!msg->has_disk || msg->from_id == 0 ||
        raft_find_member(newest, msg->from_id) != NULL ||
        (find_voter(newest, 0, msg->host) == NULL &&
         (before == NULL || find_voter(before, 0, msg->host) == NULL))) {
        return;
    }
    raft->substitute.id = msg->from_id;
    g_strlcpy(raft->substitute.host, msg->host, sizeof(raft->substitute.host));
}

void
raft_for_each_elector(const struct raft *raft, raft_visit_elector visit,
                      void *ctx)
{
    const struct raft_members *newest = raft_members(raft);
    const struct raft_members *before = find_list_before(raft);
    const struct raft_member *member = newest->list.items;

    for (uint32_t i = 0; i < newest->list.count; i++) {
        if (member[i].role == RAFT_VOTER && member[i].id != raft->id) {
            visit(ctx, member[i].id, member[i].host);
        }
    }
    member = before != NULL ? before->list.items : NULL;
    for (uint32_t i = 0; before != NULL && i < before->list.count; i++) {
        if (member[i].role == RAFT_VOTER && member[i].id != raft->id &&
            find_voter(newest, member[i].id, NULL) == NULL) {
            visit(ctx, member[i].id, member[i].host);
        }
    }
    if (find_replaced_voter(raft) != NULL) {
        visit(ctx, raft->substitute.id, raft->substitute.host);
    }
}

bool
raft_voters_recorded(const struct raft *raft)
{
    const GArray *lists = raft->log.memberships;
    const struct membership *newest = raftlog_membership(&raft->log);
    const struct membership *before;

    if (newest->index <= raft->log.base_index || lists->len < 2) {
        return true;
    }
    before = &g_array_index(lists, struct membership, lists->len - 2);
    return raft_same_voters(&before->members, &newest->members) ||
           (!has_substitutes(&before->members) &&
            !has_substitutes(&newest->members));
}

/* ---- lists of members --------------------------------------------------- */

const struct raft_member *
raft_find_member(const struct raft_members *members, uint64_t id)
{
    const struct raft_member *member = members->list.items;

    for (uint32_t i = 0; i < members->list.count; i++) {
        if (member[i].id == id) {
            return &member[i];
        }
    }
    return NULL;
}

uint32_t
raft_count_voters(const struct raft_members *members)
{
    const struct raft_member *member = members->list.items;
    uint32_t count = 0;

    for (uint32_t i = 0; i < members->list.count; i++) {
        count += member[i].role == RAFT_VOTER;
    }
    return count;
}

bool
raft_same_voters(const struct raft_members *a, const struct raft_members *b)
{
    const struct raft_member *member = a->list.items;

    for (uint32_t i = 0; i < a->list.count; i++) {
        if (member[i].role == RAFT_VOTER &&
            find_voter(b, member[i].id, NULL) == NULL) {
            return false;
        }
    }
    return raft_count_voters(a) == raft_count_voters(b);
}
