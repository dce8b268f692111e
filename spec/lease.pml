/* lease.pml -- the lease of a task, with a paused leader and delayed messages
 *
 * Time is a counter. A target sends heartbeats. The old leader receives a
 * heartbeat, checks its leader lease, may then be paused for any time, and
 * answers. The answer may be delayed for any time. The new leader is elected
 * only once the old leader's lease has ended, waits one task lease, and then
 * starts the task on a second target. Checked: the two targets never run the
 * task at the same time.
 *
 * Mutants, each of which spin must refute:
 *   -DNO_WAIT     the new leader starts the task without waiting
 *   -DFROM_ANSWER the target's lease starts when it receives the answer, not
 *                 when it sent the heartbeat
 *   -DNO_CHECK    the old leader answers without checking its lease
 */
#define END_TIME 14
#define TASK_LEASE 3
#define LEADER_LEASE 2 /* the old leader's lease ends at this time */
#define NONE 255

byte now = 0;
/* A heartbeat is represented by the time at which it was sent. */
byte heartbeat = NONE;       /* in transit to the old leader */
byte received = NONE;        /* received by the old leader, not answered yet */
bool lease_checked = false;  /* the old leader checked its lease since then */
byte answer = NONE;          /* heartbeat whose answer is in transit */
byte lease_end = TASK_LEASE; /* of the first target, which runs the task */
byte elected = NONE;         /* when the new leader was elected */
bool second_runs = false;    /* the second target runs the task */

#define FIRST_RUNS (now < lease_end)

active proctype ticker()
{
    do
    :: now < END_TIME -> now++
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
    :: now >= END_TIME -> break
    od
}

active proctype old_leader()
{
    do
    :: atomic { heartbeat != NONE && received == NONE ->
                received = heartbeat; heartbeat = NONE; lease_checked = false }
#ifdef NO_CHECK
    :: atomic { received != NONE && !lease_checked -> lease_checked = true }
#else
    :: atomic { received != NONE && !lease_checked && now < LEADER_LEASE ->
                lease_checked = true }
    :: atomic { received != NONE && !lease_checked && now >= LEADER_LEASE ->
                received = NONE }
#endif
    /* The old leader may pause for any time between check and answer. */
    :: atomic { received != NONE && lease_checked && answer == NONE ->
                answer = received; received = NONE }
    :: now >= END_TIME -> break
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
    :: now < END_TIME -> assert(!FIRST_RUNS)
    :: else -> break
    od
}
