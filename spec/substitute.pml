/* substitute.pml -- a replica with an empty disk votes in a lost voter's place,
 * while the list of voters changes
 *
 * Models a cell of three or four voters. The leader adds and removes one voter
 * at a time. At any time one host may lose its disk: its next replica, the
 * substitute, knows neither a term nor a vote nor a log, and has an identity
 * that is in no list. It votes and acknowledges, but does not ask for votes.
 * What is checked:
 *   - at most one leader is elected in a term;
 *   - a committed entry is in the log of every leader of a later term;
 *   - an index is never committed with two different entries.
 *
 * The rules: in a list of an even number of voters a quorum may have one
 * substitute in the place of a voter, if the list is known to be committed.
 * Until it is, a quorum needs a majority of the list before it as well, where
 * substitutes may count there.
 *
 * Simplifications: requests are handled at once, but what a candidate or leader
 * was told stays with it, so that it may use votes and acknowledgements of a
 * replica that has lost its disk since. What is known to be committed is not
 * forgotten: a replica that does not know it only needs larger quorums.
 *
 * With MAX_LENGTH 1 it is checked in CI, with 2 by hand: 47 million states.
 *
 * Mutants, each of which spin must refute:
 *   -DUNKNOWN_LIST    substitutes count whether the list is committed or not
 *   -DONE_LIST        the newest list alone decides at once
 *   -DODD_LIST        substitutes count in lists of three, too
 *   -DTWO_SUBSTITUTES two hosts lose their disks, and both substitutes count
 */
#define N 4
#define MAX_TERM 3
#ifndef MAX_LENGTH
#define MAX_LENGTH 2
#endif
#define ALL 15   /* the list of four */
#define THREE 7  /* the other list that a run begins with */
#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2
#define NO_REPLICA 9
#ifdef TWO_SUBSTITUTES
#define DISKS 2
#else
#define DISKS 1
#endif

byte term[N];
byte voted_for[N];
byte role[N];
byte votes[N];                 /* while a candidate: see BIT() */
byte length[N];                /* of its log */
byte commit[N];                /* entries known to be committed */
byte entry_term[N * MAX_LENGTH];
byte entry_list[N * MAX_LENGTH]; /* the list in force from this entry on */
byte acked[N * MAX_LENGTH];      /* of a leader: who has the entry; BIT() */
byte base_list;                  /* in force before the first entry */
byte final_term[MAX_LENGTH];     /* committed entries; term 0: none */
byte final_list[MAX_LENGTH];
byte final_in[MAX_LENGTH];       /* term of the leader that committed it */
byte leader_of[MAX_TERM + 1];
byte substitutes = 0;            /* mask of the hosts that lost their disks */

#define AT(i, k) ((i) * MAX_LENGTH + (k))
#define IS_SUBSTITUTE(i) ((substitutes >> (i)) & 1)
/* In votes and acked: voters below, their substitutes above. */
#define BIT(i) (IS_SUBSTITUTE(i) -> (16 << (i)) : (1 << (i)))
#define COUNT(mask) (((mask) & 1) + (((mask) >> 1) & 1) + \
                     (((mask) >> 2) & 1) + (((mask) >> 3) & 1))
/* Voters of the list that are not in the mask, but have a substitute there. */
#define REPLACED(list, mask) ((list) & ((mask) >> 4) & ~(mask))
#ifdef TWO_SUBSTITUTES
#define SEATS_OF_SUBSTITUTES(list, mask) COUNT(REPLACED(list, mask))
#else
#define SEATS_OF_SUBSTITUTES(list, mask) (REPLACED(list, mask) != 0 -> 1 : 0)
#endif
#ifdef ODD_LIST
#define TAKES_SUBSTITUTES(list) true
#else
#define TAKES_SUBSTITUTES(list) ((COUNT(list) & 1) == 0)
#endif
#define MAJORITY(list, mask, with) \
    ((COUNT((list) & (mask)) + \
      (((with) && TAKES_SUBSTITUTES(list)) -> \
           SEATS_OF_SUBSTITUTES(list, mask) : 0)) * 2 > COUNT(list))

#define LAST_TERM(i) (length[i] == 0 -> 0 : entry_term[AT(i, length[i] - 1)])
#define LIST(i) (length[i] == 0 -> base_list : entry_list[AT(i, length[i] - 1)])
#define LOG_UP_TO_DATE(c, v) \
    (LAST_TERM(c) > LAST_TERM(v) || \
     (LAST_TERM(c) == LAST_TERM(v) && length[c] >= length[v]))
#define SAME_ENTRY(i, j, k) \
    (entry_term[AT(i, k)] == entry_term[AT(j, k)] && \
     entry_list[AT(i, k)] == entry_list[AT(j, k)])

/* Sets list to the newest one of replica i, list_before to the one before it,
 * and known to whether it is known to be committed. */
inline find_lists(i)
{
    list = LIST(i);
    list_before = list;
    k = length[i];
    do
    :: k > 0 && entry_list[AT(i, k - 1)] == list -> k--
    :: else -> break
    od;
    /* entry k is the first one with the newest list */
    if
    :: k == 0 && base_list == list -> known = true
    :: else ->
       known = (commit[i] > k);
       list_before = (k == 0 -> base_list : entry_list[AT(i, k - 1)])
    fi
}

inline check_quorum(i, mask)
{
    find_lists(i);
#ifdef UNKNOWN_LIST
    has_quorum = MAJORITY(list, mask, true);
#else
    has_quorum = MAJORITY(list, mask, known);
#endif
#ifndef ONE_LIST
    if
    :: !known && TAKES_SUBSTITUTES(list_before) ->
       has_quorum = has_quorum && MAJORITY(list_before, mask, true)
    :: else
    fi;
#endif
    k = 0
}

inline adopt_term(i, t)
{
    if
    :: term[i] < t -> term[i] = t; voted_for[i] = NO_REPLICA; forget_role(i)
    :: else
    fi
}

inline forget_role(i)
{
    role[i] = FOLLOWER;
    votes[i] = 0;
    m = 0;
    do
    :: m < MAX_LENGTH -> acked[AT(i, m)] = 0; m++
    :: else -> break
    od;
    m = 0
}

inline append(i, with_list)
{
    entry_term[AT(i, length[i])] = term[i];
    entry_list[AT(i, length[i])] = with_list;
    acked[AT(i, length[i])] = BIT(i);
    length[i]++
}

/* The first n entries of leader i reach replica j. */
inline replicate(i, j, n)
{
    adopt_term(j, term[i]);
    if
    :: role[j] != FOLLOWER -> forget_role(j)
    :: else
    fi;
    k = 0;
    do
    :: k < n && k < length[j] && SAME_ENTRY(i, j, k) -> k++
    :: else -> break
    od;
    if
    :: k < n ->
       /* The log of j is cut where it differs. */
       m = n;
       do
       :: m < length[j] ->
          entry_term[AT(j, m)] = 0; entry_list[AT(j, m)] = 0; m++
       :: else -> break
       od;
       length[j] = n;
       do
       :: k < n ->
          entry_term[AT(j, k)] = entry_term[AT(i, k)];
          entry_list[AT(j, k)] = entry_list[AT(i, k)]; k++
       :: else -> break
       od
    :: else
    fi;
    k = 0;
    do
    :: k < n ->
       if
       :: k >= commit[i] -> acked[AT(i, k)] = acked[AT(i, k)] | BIT(j)
       :: else
       fi;
       k++
    :: else -> break
    od;
    /* A follower needs to know of committed lists only. */
    m = (commit[i] < n -> commit[i] : n);
    do
    :: m > 1 && entry_list[AT(i, m - 1)] == entry_list[AT(i, m - 2)] -> m--
    :: m == 1 && entry_list[AT(i, 0)] == base_list -> m--
    :: else -> break
    od;
    if
    :: m > commit[j] && !IS_SUBSTITUTE(j) -> commit[j] = m
    :: else
    fi;
    k = 0;
    m = 0
}

inline become_leader(i)
{
    role[i] = LEADER;
    votes[i] = 0;
    assert(leader_of[term[i]] == NO_REPLICA || leader_of[term[i]] == i);
    leader_of[term[i]] = i;
    k = 0;
    do
    :: k < MAX_LENGTH ->
       assert(final_term[k] == 0 || term[i] <= final_in[k] ||
              (k < length[i] && entry_term[AT(i, k)] == final_term[k] &&
               entry_list[AT(i, k)] == final_list[k]));
       if
       :: k >= commit[i] && k < length[i] -> acked[AT(i, k)] = BIT(i)
       :: else
       fi;
       k++
    :: else -> break
    od;
    k = 0
}

/* Commits the first n entries of leader i. */
inline commit_entries(i, n)
{
    k = 0;
    do
    :: k < n ->
       assert(final_term[k] == 0 || (final_term[k] == entry_term[AT(i, k)] &&
                                     final_list[k] == entry_list[AT(i, k)]));
       if
       :: final_term[k] == 0 ->
          final_term[k] = entry_term[AT(i, k)];
          final_list[k] = entry_list[AT(i, k)];
          final_in[k] = term[i]
       :: else
       fi;
       k++
    :: else -> break
    od;
    commit[i] = n;
    k = 0
}

/* Commits the highest entry of the term of leader i that a quorum has. */
inline commit_by_quorum(i)
{
    n = length[i];
    do
    :: n > commit[i] && entry_term[AT(i, n - 1)] == term[i] ->
       check_quorum(i, acked[AT(i, n - 1)]);
       if
       :: has_quorum -> commit_entries(i, n); break
       :: else -> n--
       fi
    :: else -> break
    od;
    /* Not needed any more. */
    k = 0;
    do
    :: k < commit[i] -> acked[AT(i, k)] = 0; k++
    :: else -> break
    od;
    k = 0
}

/* The replica on host i loses its disk; its substitute takes its place. */
inline lose_disk(i)
{
    forget_role(i);
    term[i] = 0;
    voted_for[i] = NO_REPLICA;
    k = 0;
    do
    :: k < MAX_LENGTH ->
       entry_term[AT(i, k)] = 0; entry_list[AT(i, k)] = 0; k++
    :: else -> break
    od;
    length[i] = 0;
    commit[i] = 0;
    substitutes = substitutes | (1 << i);
    k = 0
}

init {
    byte i, j, k, m, n, list, list_before;
    bool known, has_quorum;

    /* Replica 0 leads term 1 by votes of the first three. */
    d_step {
        k = 0;
        do
        :: k < N -> term[k] = 1; voted_for[k] = 0; k++
        :: else -> break
        od;
        k = 0;
        do
        :: k <= MAX_TERM -> leader_of[k] = NO_REPLICA; k++
        :: else -> break
        od;
        role[0] = LEADER;
        leader_of[1] = 0;
        k = 0
    };
#ifdef UNKNOWN_LIST
    base_list = THREE; /* the other one is not needed, and takes long */
#else
    if
    :: base_list = ALL
    :: base_list = THREE
    fi;
#endif
    do
    :: atomic {
       if
       :: i = 0 :: i = 1 :: i = 2 :: i = 3
       fi;
       if
       :: j = 0 :: j = 1 :: j = 2 :: j = 3
       fi;
       if
       :: n = 1
#if MAX_LENGTH > 1
       :: n = 2
#endif
#if MAX_LENGTH > 2
       :: n = 3
#endif
       fi;
       if
       /* A voter asks for votes, after a restart or not. */
       :: j == 0 && n == 1 && !IS_SUBSTITUTE(i) && term[i] < MAX_TERM &&
          ((LIST(i) >> i) & 1) ->
          forget_role(i); term[i]++; voted_for[i] = i; role[i] = CANDIDATE;
          votes[i] = BIT(i)
       :: n == 1 && i != j && role[i] == CANDIDATE && term[i] >= term[j] ->
          adopt_term(j, term[i]);
          if
          :: (voted_for[j] == NO_REPLICA || voted_for[j] == i) &&
             LOG_UP_TO_DATE(i, j) ->
             voted_for[j] = i; votes[i] = votes[i] | BIT(j);
             check_quorum(i, votes[i]);
             if
             :: has_quorum -> become_leader(i)
             :: else
             fi
          :: else
          fi
       :: j == 0 && n == 1 && role[i] == LEADER && length[i] < MAX_LENGTH ->
          list = LIST(i); append(i, list)
       /* Adds or removes voter j, if the last change and an entry of this term
        * are committed. */
       :: n == 1 && role[i] == LEADER && length[i] < MAX_LENGTH ->
          find_lists(i);
          k = 0;
          if
          :: known && (commit[i] == 0 -> term[i] == 1 :
                       entry_term[AT(i, commit[i] - 1)] == term[i]) &&
             (list == ALL -> true : ((list >> j) & 1) == 0) ->
             list = list ^ (1 << j); append(i, list)
          :: else
          fi
       :: i != j && role[i] == LEADER && term[i] >= term[j] &&
          n <= length[i] -> replicate(i, j, n); commit_by_quorum(i)
       /* Hosts with the same part as host 1 at first need not be tried. */
       :: j == 0 && n == 1 && COUNT(substitutes) < DISKS &&
          !IS_SUBSTITUTE(i) &&
          (substitutes != 0 || (i != 2 && (i != 3 || base_list == THREE))) ->
          lose_disk(i)
       :: else
       fi;
       i = 0; j = 0; k = 0; m = 0; n = 0; list = 0; list_before = 0;
       known = false; has_quorum = false }
    od
}
