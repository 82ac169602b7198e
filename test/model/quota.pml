/* The shares of one limit that gateways use while they hear no controller, reduced to one controller, three gateways and whole numbers.
 *
 * Gateways are cut off one by one. Each uses an even share of the limit, and the controller reserves the same share when it misses the gateway.
 * It may start again, and then knows only what the gateways that it hears were told. Those that were cut off come back together.
 *
 * Left out: what is on its way (a cut that nobody has noticed, a total that has not come), which the tolerance of the limit bears.
 *
 * Invariant: all that is allowed at a time, by shares and by the controller, is the limit (over).
 *
 * Switches: FORGET_RESERVE (a controller that starts reserves nothing), BY_USE (a share goes by who uses the account at the time of the cut),
 * KEEP_RESERVE_UNTOLD (gateways are not told what is reserved, and use it).
 */
#define N 3
#define LIMIT 15

bool isUsing[N];            /* the account comes in here */
bool isAlone[N];
byte share[N];              /* while alone */
byte told[N];               /* what is reserved, as the gateway was told last */
byte reserved;              /* by the controller, for all that it does not hear */
bool over = false;

byte heard;                 /* gateways */
byte users;                 /* of them */
byte i;

inline count() {
    heard = 0; users = 0;
    for (i : 0 .. N - 1) {
        if
        :: !isAlone[i] -> heard++; users = users + isUsing[i]
        :: else -> skip
        fi
    }
}

/* The controller tells all that it hears. */
inline tell() {
    for (i : 0 .. N - 1) {
        if
        :: !isAlone[i] ->
#ifndef KEEP_RESERVE_UNTOLD
            told[i] = reserved
#else
            skip
#endif
        :: else -> skip
        fi
    }
}

inline cut(g) {
    count();
#ifdef BY_USE
    share[g] = (isUsing[g] -> LIMIT / users : 0);
#else
    share[g] = LIMIT / N;
#endif
    isAlone[g] = true;
    reserved = reserved + share[g];
    tell()
}

inline healAll() {
    for (i : 0 .. N - 1) { isAlone[i] = false; share[i] = 0 }
    reserved = 0;
    tell()
}

inline restart() {
    reserved = 0;
#ifndef FORGET_RESERVE
    for (i : 0 .. N - 1) {
        if
        :: !isAlone[i] && told[i] > reserved -> reserved = told[i]
        :: else -> skip
        fi
    }
#endif
    tell()
}

byte allowed;
byte known;
inline check() {
    count();
    allowed = 0;
    for (i : 0 .. N - 1) { allowed = allowed + share[i] }
    if
    :: heard > 0 ->
        known = 0;
        for (i : 0 .. N - 1) {
            if
            :: !isAlone[i] && told[i] > known -> known = told[i]
            :: else -> skip
            fi
        }
        allowed = allowed + (known < LIMIT -> LIMIT - known : 0)
    :: else -> skip
    fi;
    if
    :: allowed > LIMIT -> over = true
    :: else -> skip
    fi
}

byte g;
active proctype site() {
    do
    :: atomic {
        select(g : 0 .. N - 1);
        if
        :: isUsing[g] = !isUsing[g]
        :: !isAlone[g] -> cut(g)
        :: healAll()
        :: restart()
        fi;
        check(); known = 0; allowed = 0; heard = 0; users = 0; i = 0; g = 0
    }
    od
}

ltl bound { [] !over }
