/* raft.pml -- election, replication and replacement of a replica
 *
 * Models three replicas, with the bounds on terms and log lengths below.
 * Checked:
 *   - at most one leader is elected in a term;
 *   - an acknowledged entry is in the log of every leader of a later term (a
 *     candidate of an earlier term may still become leader, but none of its
 *     entries can be acknowledged any more);
 *   - an index is never acknowledged with two different terms.
 * One replica may lose its disk once. It then has a new identity, and votes
 * only after its old identity was removed and it has caught up.
 *
 * Simplifications: a message is delivered in the step in which it is sent, or
 * never (a candidate still receives its votes one by one, in any order, with
 * other steps in between); the member list changes for all replicas in the
 * step in which the change is committed.
 *
 * Mutants, each of which spin must refute:
 *   -DWIPED_VOTES  an empty replica votes under its old identity
 *   -DNO_CATCH_UP  a new identity votes before it has the log
 *   -DOLD_TERM     an entry of an older term is acknowledged once a majority
 *                  has it
 *   -DANY_LOG      a vote is granted whatever the candidate's log
 */
#define N 3
#define MAX_TERM 4
#define MAX_LENGTH 2
#define NO_REPLICA 9

byte term[N];
byte voted_for[N];
bool is_leader[N];
bool is_candidate[N];         /* of its term, until it hears from a leader */
byte votes[N];                /* bit mask of granted votes */
byte length[N];               /* of its log */
byte entry[6];                /* N * MAX_LENGTH: term of each entry */
byte acked[MAX_LENGTH];       /* term of the acknowledged entry; 0: none */
byte acked_in[MAX_LENGTH];    /* term of the leader that acknowledged it */
byte leader_of[MAX_TERM + 1]; /* leader of each term; NO_REPLICA at first */
byte voters = 7;              /* bit mask */
bool disk_lost = false;       /* a disk was lost; happens once */
byte replaced = NO_REPLICA;   /* replica that lost it, until it votes again */

#define ENTRY(i, k) entry[(i) * MAX_LENGTH + (k)]
#define IS_VOTER(i) ((voters >> (i)) & 1)
/* A new identity has no vote while its old identity is still a member. */
#define MAY_VOTE(i) (IS_VOTER(i) && replaced != (i))
#define COUNT(mask) (((mask) & 1) + (((mask) >> 1) & 1) + (((mask) >> 2) & 1))
#define MAJORITY(mask) (COUNT((mask) & voters) * 2 > COUNT(voters))
#define LAST_TERM(i) (length[i] == 0 -> 0 : ENTRY(i, length[i] - 1))
/* The log of candidate c is at least as recent as that of voter v. */
#define LOG_UP_TO_DATE(c, v) \
    (LAST_TERM(c) > LAST_TERM(v) || \
     (LAST_TERM(c) == LAST_TERM(v) && length[c] >= length[v]))

inline adopt_term(i, t)
{
    if
    :: term[i] < t -> term[i] = t; voted_for[i] = NO_REPLICA;
       is_leader[i] = false; is_candidate[i] = false; votes[i] = 0
    :: else
    fi
}

inline copy_log(from, to)
{
    length[to] = length[from];
    k = 0;
    do
    :: k < MAX_LENGTH -> ENTRY(to, k) = ENTRY(from, k); k++
    :: else -> break
    od
}

inline start_election(i)
{
    term[i]++;
    voted_for[i] = i;
    is_leader[i] = false;
    is_candidate[i] = true;
    votes[i] = 1 << i
}

inline become_leader(i)
{
    is_leader[i] = true;
    is_candidate[i] = false;
    assert(leader_of[term[i]] == NO_REPLICA || leader_of[term[i]] == i);
    leader_of[term[i]] = i;
    k = 0;
    do
    :: k < MAX_LENGTH ->
       assert(acked[k] == 0 || term[i] <= acked_in[k] ||
              (k < length[i] && ENTRY(i, k) == acked[k]));
       k++
    :: else -> break
    od
}

/* Acknowledges the last entry of leader i and all entries before it, if a
 * majority has them.
 */
inline acknowledge(i)
{
    holders = 0;
    k = 0;
    do
    :: k < N ->
       if
       :: (MAY_VOTE(k) && length[k] >= length[i] && term[k] == term[i] &&
           ENTRY(k, length[i] - 1) == ENTRY(i, length[i] - 1)) ->
          holders = holders | (1 << k)
       :: else
       fi;
       k++
    :: else -> break
    od;
    if
    :: MAJORITY(holders) ->
       k = 0;
       do
       :: k < length[i] ->
          assert(acked[k] == 0 || acked[k] == ENTRY(i, k));
          if
          :: acked[k] == 0 -> acked_in[k] = term[i]
          :: else
          fi;
          acked[k] = ENTRY(i, k);
          k++
       :: else -> break
       od
    :: else
    fi
}

inline logs_equal(a, b, result)
{
    result = (length[a] == length[b] && ENTRY(a, 0) == ENTRY(b, 0) &&
              ENTRY(a, 1) == ENTRY(b, 1))
}

init {
    byte i, j, k, holders;
    bool equal;

    d_step {
        k = 0;
        do
        :: k < N -> voted_for[k] = NO_REPLICA; k++
        :: else -> break
        od;
        k = 0;
        do
        :: k <= MAX_TERM -> leader_of[k] = NO_REPLICA; k++
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
       :: atomic { MAY_VOTE(i) && !is_leader[i] && term[i] < MAX_TERM ->
                   start_election(i) }
       :: atomic { i != j && MAY_VOTE(i) && MAY_VOTE(j) && is_candidate[i] &&
                   term[i] >= term[j] ->
                   adopt_term(j, term[i]);
                   if
#ifdef ANY_LOG
                   :: (voted_for[j] == NO_REPLICA || voted_for[j] == i) ->
#else
                   :: (voted_for[j] == NO_REPLICA || voted_for[j] == i) &&
                      LOG_UP_TO_DATE(i, j) ->
#endif
                      voted_for[j] = i; votes[i] = votes[i] | (1 << j)
                   :: else
                   fi }
       :: atomic { is_candidate[i] && MAY_VOTE(i) &&
                   MAJORITY(votes[i]) -> become_leader(i) }
       :: atomic { is_leader[i] && length[i] < MAX_LENGTH ->
                   ENTRY(i, length[i]) = term[i]; length[i]++ }
       :: atomic { is_leader[i] && i != j && term[i] >= term[j] ->
                   adopt_term(j, term[i]); is_candidate[j] = false;
                   copy_log(i, j) }
#ifdef OLD_TERM
       :: atomic { is_leader[i] && length[i] > 0 -> acknowledge(i) }
#else
       :: atomic { is_leader[i] && length[i] > 0 &&
                   ENTRY(i, length[i] - 1) == term[i] -> acknowledge(i) }
#endif
       /* A replica loses its disk. */
       :: atomic { !disk_lost ->
                   disk_lost = true; term[i] = 0; voted_for[i] = NO_REPLICA;
                   is_leader[i] = false; is_candidate[i] = false;
                   votes[i] = 0; length[i] = 0;
                   ENTRY(i, 0) = 0; ENTRY(i, 1) = 0;
#ifndef WIPED_VOTES
                   replaced = i
#endif
                   }
       /* The old identity is removed; the other two replicas commit it. */
       :: atomic { is_leader[i] && replaced == j && i != j && IS_VOTER(j) ->
                   holders = 3 - i - j; /* here: the third replica */
                   logs_equal(i, holders, equal);
                   if
                   :: equal && term[holders] == term[i] &&
                      !is_candidate[holders] ->
                      voters = voters & ~(1 << j)
                   :: else
                   fi }
       /* The new identity becomes a voter once it has the leader's log. */
       :: atomic { is_leader[i] && replaced == j && !IS_VOTER(j) && i != j ->
                   logs_equal(i, j, equal);
                   if
#ifdef NO_CATCH_UP
                   :: true ->
#else
                   :: equal && term[j] == term[i] ->
#endif
                      voters = voters | (1 << j); replaced = NO_REPLICA
                   :: else
                   fi }
       :: else
       fi;
       i = 0; j = 0; k = 0; holders = 0; equal = false }
    od
}
