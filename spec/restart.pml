/* restart.pml -- leader leases and votes over restarts of the voters
 *
 * Three replicas. Replica 0 leads in term 1 at first, by the vote of replica 1;
 * it may be cut off, restart, and ask for votes. Time is a counter. Each voter extends the lease of the
 * leader whose message it acknowledges, for LEASE ticks on the leader's side,
 * and is bound for the same time. A voter that restarts forgets when it did
 * so; its record on disk names the replica. A request for votes of an earlier
 * term stays on its way for any time. Checked: two replicas never hold a lease
 * at the same time.
 *
 * Mutants, each of which spin must refute:
 *   -DVOTES_AT_ONCE   a voter that has restarted votes for anyone
 *   -DNOT_RECORDED    a voter acknowledges before the leader is recorded
 *   -DANY_REQUEST     a request of any replica releases the lease
 *   -DANY_TERM        a request in the term of the lease releases it
 */
#define N 3
#define LEASE 2
#define END_TIME 4
#define MAX_TERM 2
#define NONE 255
#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

byte now = 1; /* 0: never */
byte term[N] = 1;
byte voted_for[N] = NONE; /* in term[i]; on disk */
byte leased_to[N] = NONE; /* on disk; i itself: none */
byte bound_until[N];      /* until then it votes for no other */
byte role[N];
byte acked_at[N * N];     /* [leader * N + voter]: when it was acknowledged */
bool voted[N * N];        /* [candidate * N + voter]: vote in its term */
byte asked[N];            /* terms, as bits, in which a replica asked for votes
                           * once: the requests may still arrive */
byte restarts = 0;
bool is_ready = false;

/* The lease of i: of the two other voters the later acknowledgement, as i
 * itself counts for the majority. 0: none. */
#define ACK(i, j) acked_at[(i) * N + (j)]
#define LATER(a, b) ((a) > (b) -> (a) : (b))
#define LEASE_END(i) \
    (LATER(ACK(i, ((i) + 1) % N), ACK(i, ((i) + 2) % N)) + LEASE)
#define HAS_ACK(i) (ACK(i, ((i) + 1) % N) + ACK(i, ((i) + 2) % N) > 0)
#define HOLDS(i) (role[i] == LEADER && HAS_ACK(i) && now < LEASE_END(i))

#define FREE(v) (now >= bound_until[v])

inline clear_acks(i)
{
    ACK(i, 0) = 0; ACK(i, 1) = 0; ACK(i, 2) = 0
}

inline clear_votes(i)
{
    voted[i * N] = false; voted[i * N + 1] = false; voted[i * N + 2] = false
}

inline check()
{
    assert(!(HOLDS(0) && HOLDS(1)) && !(HOLDS(0) && HOLDS(2)) &&
           !(HOLDS(1) && HOLDS(2)))
}

inline forget(v)
{
    if
    :: bound_until[v] <= now -> bound_until[v] = 0
    :: else
    fi
}

/* What a late or present request of candidate c in term t tells voter v. */
inline release(c, v, t)
{
    if
#ifdef ANY_REQUEST
    :: t > term[v] -> bound_until[v] = 0
#else
#ifdef ANY_TERM
    :: c == leased_to[v] -> bound_until[v] = 0
#else
    :: c == leased_to[v] && t > term[v] -> bound_until[v] = 0
#endif
#endif
    :: else
    fi
}

active proctype ticker()
{
    atomic {
        role[0] = LEADER;
        asked[0] = 1 << 1;
        voted_for[0] = 0;
        voted_for[1] = 0;
        leased_to[0] = 0;
        leased_to[1] = 0;
        leased_to[2] = 2;
        is_ready = true
    };
    do
    :: atomic { now < END_TIME ->
           now++;
           /* Bounds that are over are alike. */
           forget(0); forget(1); forget(2);
           check() }
    :: else -> break
    od
}

active [N] proctype replica()
{
    byte i = _pid - 1;
    byte j = 0;
    byte t = 0;

    do
    :: is_ready -> break
    od;
    do
    /* Restart. */
    :: atomic { restarts < 2 ->
           restarts++;
           role[i] = FOLLOWER;
           clear_acks(i); clear_votes(i);
#ifdef VOTES_AT_ONCE
           bound_until[i] = 0;
#else
           if
           :: leased_to[i] == i -> bound_until[i] = 0
           :: else -> bound_until[i] = now + LEASE
           fi;
#endif
           check() }
    /* Becomes a candidate: it must be free itself. */
    :: atomic { role[i] != LEADER && FREE(i) && term[i] < MAX_TERM ->
           term[i]++;
           voted_for[i] = i;
           leased_to[i] = i;
           role[i] = CANDIDATE;
           clear_acks(i); clear_votes(i);
           voted[i * N + i] = true;
           asked[i] = asked[i] | (1 << term[i]) }
    /* A leader that hears nothing steps down. */
    :: atomic { role[i] == LEADER && !HOLDS(i) ->
           role[i] = FOLLOWER; clear_acks(i) }
    /* A request of replica j arrives, now or late. */
    :: atomic { now < END_TIME ->
           select(j : 0 .. 2); select(t : 1 .. MAX_TERM);
           if
           :: j != i && (asked[j] & (1 << t)) != 0 && role[i] != LEADER ->
              release(j, i, t);
              if
              :: FREE(i) && t >= term[i] ->
                 if
                 :: t > term[i] ->
                    term[i] = t; voted_for[i] = NONE; role[i] = FOLLOWER;
                    clear_acks(i); clear_votes(i)
                 :: else
                 fi;
                 if
                 :: voted_for[i] == NONE || voted_for[i] == j ->
                    voted_for[i] = j;
                    leased_to[i] = j;
                    if
                    :: role[j] == CANDIDATE && term[j] == t ->
                       voted[j * N + i] = true
                    :: else
                    fi
                 :: else
                 fi
              :: else
              fi
           :: else
           fi;
           j = 0; t = 0 }
    /* Wins: two votes of three. */
    :: atomic { role[i] == CANDIDATE &&
                voted[i * N] + voted[i * N + 1] + voted[i * N + 2] >= 2 ->
           role[i] = LEADER; clear_acks(i) }
    /* Follows leader j and acknowledges, unless cut off from it. */
    :: atomic { now < END_TIME ->
           select(j : 0 .. 2);
           if
           :: j != i && role[j] == LEADER && term[j] >= term[i] ->
              if
              :: term[j] > term[i] -> term[i] = term[j]; voted_for[i] = NONE
              :: else
              fi;
              role[i] = FOLLOWER;
              clear_acks(i); clear_votes(i);
#ifndef NOT_RECORDED
              leased_to[i] = j;
#endif
              bound_until[i] = now + LEASE;
              ACK(j, i) = now;
              check()
           :: else
           fi;
           j = 0 }
    :: now >= END_TIME -> break
    od
}
