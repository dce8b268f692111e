/* raft.pml -- election, replication and replacement of a replica
 *
 * Three replicas, terms and log lengths bounded below. What is checked:
 *   - at most one leader is elected in a term;
 *   - an acknowledged entry is in the log of every leader of a later term
 *     (one of an earlier term may still count its last vote; it can no longer
 *     have anything acknowledged);
 *   - an index is never acknowledged with two different terms.
 * A replica may lose its disk once. It then has a new identity, and votes only
 * after its old identity was removed and it has caught up.
 *
 * Simplified: a message is delivered in the step in which it is sent, or never
 * (a candidate's votes still come one by one, in any order, between other
 * steps); the list of members changes for all at the step in which the change
 * is committed.
 *
 * Mutants, each of which spin must refute:
 *   -DWIPED_VOTES  an empty replica votes under its old identity
 *   -DNO_CATCH_UP  a new identity votes before it has the log
 *   -DOLD_TERM     an entry of an older term is acknowledged by counting
 *   -DANY_LOG      a vote is given whatever the candidate's log
 */
#define N 3
#define MAX_TERM 4
#define MAX_LENGTH 2
#define NOBODY 9

byte term[N];
byte voted[N];
bool leads[N];
bool stands[N];         /* candidate of its term, until it hears a leader */
byte votes[N];          /* bit mask of granted votes */
byte length[N];
byte entry[6];          /* N * MAX_LENGTH: term of each entry */
byte acked[MAX_LENGTH]; /* term under which it was acknowledged; 0: not */
byte acked_by[MAX_LENGTH]; /* term of the leader that acknowledged it */
byte leader_of[MAX_TERM + 1];      /* by term: who led it; NOBODY at first */
byte voters = 7;        /* bit mask */
bool wiped = false;     /* the one lost disk */
byte replaced = NOBODY; /* the replica that lost it, until it votes again */

#define E(i, k) entry[(i) * MAX_LENGTH + (k)]
#define IS_VOTER(i) ((voters >> (i)) & 1)
/* A new identity does not act for the old one, which is still a member. */
#define MAY_VOTE(i) (IS_VOTER(i) && replaced != (i))
#define COUNT(mask) (((mask) & 1) + (((mask) >> 1) & 1) + (((mask) >> 2) & 1))
#define MAJORITY(mask) (COUNT((mask) & voters) * 2 > COUNT(voters))
#define LAST(i) (length[i] == 0 -> 0 : E(i, length[i] - 1))
#define CURRENT(c, v) (LAST(c) > LAST(v) || \
                       (LAST(c) == LAST(v) && length[c] >= length[v]))

inline see_term(i, t)
{
    if
    :: term[i] < t -> term[i] = t; voted[i] = NOBODY; leads[i] = false;
       stands[i] = false; votes[i] = 0
    :: else
    fi
}

inline copy_log(from, to)
{
    length[to] = length[from];
    k = 0;
    do
    :: k < MAX_LENGTH -> E(to, k) = E(from, k); k++
    :: else -> break
    od
}

inline stand(i)
{
    term[i]++;
    voted[i] = i;
    leads[i] = false;
    stands[i] = true;
    votes[i] = 1 << i
}

inline win(i)
{
    leads[i] = true;
    stands[i] = false;
    assert(leader_of[term[i]] == NOBODY || leader_of[term[i]] == i);
    leader_of[term[i]] = i;
    k = 0;
    do
    :: k < MAX_LENGTH ->
       assert(acked[k] == 0 || term[i] <= acked_by[k] ||
              (k < length[i] && E(i, k) == acked[k]));
       k++
    :: else -> break
    od
}

/* An entry of the leader's own term on a majority: acknowledged, and all
 * before it too.
 */
inline acknowledge(i)
{
    have = 0;
    k = 0;
    do
    :: k < N ->
       if
       :: (MAY_VOTE(k) && length[k] >= length[i] && term[k] == term[i] &&
           E(k, length[i] - 1) == E(i, length[i] - 1)) ->
          have = have | (1 << k)
       :: else
       fi;
       k++
    :: else -> break
    od;
    if
    :: MAJORITY(have) ->
       k = 0;
       do
       :: k < length[i] ->
          assert(acked[k] == 0 || acked[k] == E(i, k));
          if
          :: acked[k] == 0 -> acked_by[k] = term[i]
          :: else
          fi;
          acked[k] = E(i, k);
          k++
       :: else -> break
       od
    :: else
    fi
}

inline same_log(a, b, result)
{
    result = (length[a] == length[b] && E(a, 0) == E(b, 0) &&
              E(a, 1) == E(b, 1))
}

init {
    byte i, j, k, have;
    bool same;

    d_step {
        k = 0;
        do
        :: k < N -> voted[k] = NOBODY; k++
        :: else -> break
        od;
        k = 0;
        do
        :: k <= MAX_TERM -> leader_of[k] = NOBODY; k++
        :: else -> break
        od
    };
    do
    :: atomic {
       if
       :: i = 0 :: i = 1 :: i = 2
       fi;
       if
       :: j = 0 :: j = 1 :: j = 2
       fi;
       if
       :: atomic { MAY_VOTE(i) && !leads[i] && term[i] < MAX_TERM ->
                   stand(i) }
       :: atomic { i != j && MAY_VOTE(i) && MAY_VOTE(j) && stands[i] &&
                   term[i] >= term[j] ->
                   see_term(j, term[i]);
                   if
#ifdef ANY_LOG
                   :: (voted[j] == NOBODY || voted[j] == i) ->
#else
                   :: (voted[j] == NOBODY || voted[j] == i) &&
                      CURRENT(i, j) ->
#endif
                      voted[j] = i; votes[i] = votes[i] | (1 << j)
                   :: else
                   fi }
       :: atomic { stands[i] && MAY_VOTE(i) &&
                   MAJORITY(votes[i]) -> win(i) }
       :: atomic { leads[i] && length[i] < MAX_LENGTH ->
                   E(i, length[i]) = term[i]; length[i]++ }
       :: atomic { leads[i] && i != j && term[i] >= term[j] ->
                   see_term(j, term[i]); stands[j] = false;
                   copy_log(i, j) }
#ifdef OLD_TERM
       :: atomic { leads[i] && length[i] > 0 -> acknowledge(i) }
#else
       :: atomic { leads[i] && length[i] > 0 &&
                   E(i, length[i] - 1) == term[i] -> acknowledge(i) }
#endif
       /* The disk is lost. */
       :: atomic { !wiped ->
                   wiped = true; term[i] = 0; voted[i] = NOBODY;
                   leads[i] = false; stands[i] = false;
                   votes[i] = 0; length[i] = 0;
                   E(i, 0) = 0; E(i, 1) = 0;
#ifndef WIPED_VOTES
                   replaced = i
#endif
                   }
       /* The old identity goes: committed by the two that are left. */
       :: atomic { leads[i] && replaced == j && i != j && IS_VOTER(j) ->
                   have = 3 - i - j;
                   same_log(i, have, same);
                   if
                   :: same && term[have] == term[i] && !stands[have] ->
                      voters = voters & ~(1 << j)
                   :: else
                   fi }
       /* The new identity votes once it has the leader's log. */
       :: atomic { leads[i] && replaced == j && !IS_VOTER(j) && i != j ->
                   same_log(i, j, same);
                   if
#ifdef NO_CATCH_UP
                   :: true ->
#else
                   :: same && term[j] == term[i] ->
#endif
                      voters = voters | (1 << j); replaced = NOBODY
                   :: else
                   fi }
       :: else
       fi;
       i = 0; j = 0; k = 0; have = 0; same = false }
    od
}
