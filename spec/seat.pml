/* seat.pml -- a replica with an empty disk votes in the seat of its host
 *
 * Models a cell of four voters, of which any two quorums share two. One of
 * them may lose its disk, at any time: the replica on its host then knows
 * neither a term nor a vote nor a log, but votes and acknowledges for the seat
 * of the former one. It does not ask for votes itself. Checked, as in raft.pml:
 *   - at most one leader is elected in a term;
 *   - an acknowledged entry is in the log of every leader of a later term;
 *   - an index is never acknowledged with two different terms.
 *
 * Simplifications: those of raft.pml; the member list does not change (the
 * leader that is elected removes the former replica by the usual change of one
 * member).
 *
 * Mutants, each of which spin must refute:
 *   -DTHREE      the same in a cell of three voters
 *   -DTWO_SEATS  two replicas lose their disks, and both vote in a quorum
 *   -DCANDIDATE  a replica with an empty disk asks for votes itself
 *   -DANY_LOG    a vote is granted whatever the candidate's log
 */
#ifdef THREE
#define N 3
#else
#define N 4
#endif
#ifdef TWO_SEATS
#define DISKS 2
#else
#define DISKS 1
#endif
#define MAX_TERM 3
#ifdef CANDIDATE
#define MAX_LENGTH 2
#endif
#ifndef MAX_LENGTH
#define MAX_LENGTH 1 /* also checked by hand with 2 */
#endif
#define NO_REPLICA 9

byte term[N];
byte voted_for[N];
bool is_leader[N];
bool is_candidate[N];         /* of its term, until it hears from a leader */
byte votes[N];                /* bit mask of granted votes */
byte length[N];               /* of its log */
byte entry[N * MAX_LENGTH];   /* term of each entry of each log */
byte acked[MAX_LENGTH];       /* term of the acknowledged entry; 0: none */
byte acked_in[MAX_LENGTH];    /* term of the leader that acknowledged it */
byte leader_of[MAX_TERM + 1]; /* leader of each term; NO_REPLICA at first */
byte disks_lost = 0;
byte substitutes = 0;         /* bit mask of those that lost their disks */

#define ENTRY(i, k) entry[(i) * MAX_LENGTH + (k)]
#define COUNT(mask) (((mask) & 1) + (((mask) >> 1) & 1) + \
                     (((mask) >> 2) & 1) + (((mask) >> 3) & 1))
#define MAJORITY(mask) (COUNT(mask) * 2 > N)
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
       :: (length[k] >= length[i] && term[k] == term[i] &&
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

init {
    byte i, j, k, holders;

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
#ifndef THREE
       :: i = 3
#endif
       fi;
       if
       :: j = 0 :: j = 1 :: j = 2
#ifndef THREE
       :: j = 3
#endif
       fi;
       if
       :: atomic { !is_leader[i] && term[i] < MAX_TERM &&
#ifndef CANDIDATE
                   ((substitutes >> i) & 1) == 0 &&
#endif
                   true -> start_election(i) }
       :: atomic { i != j && is_candidate[i] && term[i] >= term[j] ->
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
       :: atomic { is_candidate[i] && MAJORITY(votes[i]) -> become_leader(i) }
       :: atomic { is_leader[i] && length[i] < MAX_LENGTH ->
                   ENTRY(i, length[i]) = term[i]; length[i]++ }
       :: atomic { is_leader[i] && i != j && term[i] >= term[j] ->
                   adopt_term(j, term[i]); is_candidate[j] = false;
                   copy_log(i, j) }
       :: atomic { is_leader[i] && length[i] > 0 &&
                   ENTRY(i, length[i] - 1) == term[i] -> acknowledge(i) }
       /* A replica loses its disk; another one takes its seat. */
       :: atomic { disks_lost < DISKS ->
                   disks_lost++; term[i] = 0; voted_for[i] = NO_REPLICA;
                   is_leader[i] = false; is_candidate[i] = false;
                   votes[i] = 0; length[i] = 0;
                   k = 0;
                   do
                   :: k < MAX_LENGTH -> ENTRY(i, k) = 0; k++
                   :: else -> break
                   od;
                   substitutes = substitutes | (1 << i) }
       :: else
       fi;
       i = 0; j = 0; k = 0; holders = 0 }
    od
}
