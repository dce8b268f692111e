/* lease.pml -- the lease of a task with a paused leader and crossed messages
 *
 * Time is a counter. A target sends heartbeats; the old leader reads one,
 * looks at its own leader lease, may be paused for any time, and answers. The
 * answer may be on its way for any time. The new leader is elected only once
 * the old lease is over, waits one task lease, and then starts the task on
 * another target. Checked: the two targets never run the task at once.
 *
 * Mutants, each of which spin must refute:
 *   -DNO_WAIT     the new leader does not wait out the task lease
 *   -DFROM_ANSWER the target counts its lease from when the answer came
 *   -DNO_CHECK    the old leader answers without looking at its lease
 */
#define END 14
#define TASK_LEASE 3
#define LEADER_LEASE 2 /* the old leader's lease ends at this time */
#define NONE 255

byte now = 0;
byte heartbeat = NONE; /* sent at, on its way to the old leader */
byte holding = NONE;   /* read by the old leader, not answered yet */
bool checked = false;  /* it has looked at its lease since */
byte answer = NONE;    /* names the heartbeat, on its way to the target */
byte lease_end = TASK_LEASE; /* of the first target, which runs the task */
byte elected = NONE;
bool second_runs = false;

#define FIRST_RUNS (now < lease_end)

active proctype clock()
{
    do
    :: now < END -> now++
    :: else -> break
    od
}

active proctype target()
{
    do
    :: atomic { heartbeat == NONE && FIRST_RUNS -> heartbeat = now }
    :: atomic { answer != NONE && FIRST_RUNS ->
#ifdef FROM_ANSWER
                lease_end = now + TASK_LEASE;
#else
                if
                :: answer + TASK_LEASE > lease_end ->
                   lease_end = answer + TASK_LEASE
                :: else
                fi;
#endif
                answer = NONE }
    :: atomic { answer != NONE && !FIRST_RUNS -> answer = NONE }
    :: heartbeat != NONE -> heartbeat = NONE /* lost */
    :: now >= END -> break
    od
}

active proctype old_leader()
{
    do
    :: atomic { heartbeat != NONE && holding == NONE ->
                holding = heartbeat; heartbeat = NONE; checked = false }
#ifdef NO_CHECK
    :: atomic { holding != NONE && !checked -> checked = true }
#else
    :: atomic { holding != NONE && !checked && now < LEADER_LEASE ->
                checked = true }
    :: atomic { holding != NONE && !checked && now >= LEADER_LEASE ->
                holding = NONE }
#endif
    /* A pause of any length lies between the two steps. */
    :: atomic { holding != NONE && checked && answer == NONE ->
                answer = holding; holding = NONE }
    :: now >= END -> break
    od
}

active proctype new_leader()
{
    atomic { now >= LEADER_LEASE -> elected = now };
#ifndef NO_WAIT
    now >= elected + TASK_LEASE;
#endif
    atomic { second_runs = true; assert(!FIRST_RUNS) };
    do
    :: now < END -> assert(!FIRST_RUNS)
    :: else -> break
    od
}
