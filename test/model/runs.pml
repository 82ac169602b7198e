/* Runs of one replica, and what two processes believe of it, reduced to starts, sequences and withdrawals.
 *
 * The replica starts up to three times under one id. Each run announces itself up to twice, its sequence counted anew, and may
 * withdraw itself before it ends. What was said may reach either process at any later time, again, and in any order, also after
 * the run has ended. The processes tell each other what they know, and renew by heartbeats that name a run.
 *
 * Invariants: neither process goes back from a newer run to an older one (wentBack), nor believes again in a run that it knows
 * to have ended (revived); a withdrawal takes no later run away (lostNewer); a heartbeat renews no other run than its own
 * (renewedOther); and two that have told each other everything believe the same (disagree).
 *
 * Switches: NO_START (announcements and withdrawals are compared without the starts, by the sequence alone), WITHDRAW_ANY (a
 * withdrawal ends whichever run is known), FORGET_ENDED (a withdrawal leaves no trace), HEARTBEAT_BY_ID (a heartbeat renews whichever run
 * is known).
 */
#define N 2                 /* processes */
#define RUNS 3
#define SAYS 2              /* announcements of one run */

/* What was ever said, and may still arrive. */
byte said[RUNS + 1];        /* the highest sequence that the run has announced */
bool left[RUNS + 1];        /* it has withdrawn itself */
byte newest = 0;             /* the newest start; 0: none yet */
bool isUp = false;

/* What each process believes. */
byte start[N];              /* of the run that it knows; 0: none */
byte sequence[N];
byte ended[N];              /* the newest run that it knows to have ended */
byte highest[N];            /* the newest run that it ever heard of */
byte known[N];              /* for the invariant only: the newest run whose withdrawal has reached it */
bool wentBack = false;
bool revived = false;
bool lostNewer = false;
bool renewedOther = false;
bool disagree = false;

/* Process `me` hears that run `r` has announced itself as its `s`-th time. */
inline announce(me, r, s) {
#ifdef NO_START
    if
    :: ended[me] > 0 -> skip                    /* withdrawn by id */
    :: ended[me] == 0 && (start[me] == 0 || s > sequence[me]) -> start[me] = r; sequence[me] = s
    :: else -> skip
    fi;
#else
    if
    :: r > ended[me] && (r > start[me] || (r == start[me] && s > sequence[me])) ->
        if
        :: start[me] > 0 && r > start[me] && start[me] > ended[me] -> ended[me] = start[me]
        :: else -> skip
        fi;
        start[me] = r; sequence[me] = s
    :: else -> skip
    fi;
#endif
    if :: r > highest[me] -> highest[me] = r :: else -> skip fi;
    if
    :: start[me] > 0 && start[me] < highest[me] -> wentBack = true
    :: else -> skip
    fi;
    if
    :: start[me] > 0 && known[me] >= start[me] -> revived = true
    :: else -> skip
    fi
}

/* Process `me` hears that run `r` has withdrawn itself. */
inline withdraw(me, r) {
    if :: r > known[me] -> known[me] = r :: else -> skip fi;
    if :: r > highest[me] -> highest[me] = r :: else -> skip fi;
#ifdef FORGET_ENDED
    if :: start[me] > 0 && start[me] <= r -> start[me] = 0; sequence[me] = 0 :: else -> skip fi
#else
#ifdef NO_START
    if :: start[me] > r -> lostNewer = true :: else -> skip fi;
    start[me] = 0; sequence[me] = 0; ended[me] = r
#else
#ifdef WITHDRAW_ANY
    if :: start[me] > r -> lostNewer = true :: else -> skip fi;
    start[me] = 0; sequence[me] = 0;
#else
    if :: start[me] > 0 && start[me] <= r -> start[me] = 0; sequence[me] = 0 :: else -> skip fi;
#endif
    if :: r > ended[me] -> ended[me] = r :: else -> skip fi
#endif
#endif
}

active proctype Site() {
    byte me; byte r; byte s;
end:
    do
    /* The replica starts, announces itself, withdraws itself, ends. */
    :: atomic { !isUp && newest < RUNS -> newest++; isUp = true }
    :: atomic { isUp && said[newest] < SAYS && !left[newest] -> said[newest]++ }
    :: atomic { isUp && said[newest] > 0 && !left[newest] -> left[newest] = true }
    :: atomic { isUp -> isUp = false }
    /* Something that was said arrives, late or not. */
    :: atomic { newest > 0 ->
        if :: me = 0 :: me = 1 fi;
        if :: r = 1 :: r = 2 :: r = 3 fi;
        if
        :: left[r] -> withdraw(me, r)
        :: said[r] >= 1 -> s = 1; announce(me, r, s)
        :: said[r] >= 2 -> s = 2; announce(me, r, s)
        :: else -> skip
        fi; me = 0; r = 0; s = 0 }
    /* A heartbeat that left one process when it knew run `r` arrives at the other, at once or late. */
    :: atomic { newest > 0 ->
        if :: me = 0 :: me = 1 fi;
        if :: r = 1 :: r = 2 :: r = 3 fi;
        if
#ifdef HEARTBEAT_BY_ID
        :: said[r] > 0 && start[me] > 0 ->
#else
        :: said[r] > 0 && start[me] == r ->
#endif
            if :: start[me] != r -> renewedOther = true :: else -> skip fi
        :: else -> skip
        fi; me = 0; r = 0 }
    /* A cut heals: each tells the other everything, and neither has heard of anything else since. */
    :: atomic { newest > 0 ->
        if :: start[0] > 0 -> r = start[0]; s = sequence[0]; announce(1, r, s) :: else -> skip fi;
        if :: start[1] > 0 -> r = start[1]; s = sequence[1]; announce(0, r, s) :: else -> skip fi;
        if :: ended[0] > 0 -> r = ended[0]; withdraw(1, r) :: else -> skip fi;
        if :: ended[1] > 0 -> r = ended[1]; withdraw(0, r) :: else -> skip fi;
        if :: start[0] != start[1] || sequence[0] != sequence[1] -> disagree = true :: else -> skip fi;
        r = 0; s = 0 }
    od
}

ltl ofOneRun { [] (!wentBack && !revived && !lostNewer && !renewedOther && !disagree) }
