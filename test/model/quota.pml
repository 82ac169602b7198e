/* The parts of one limit that gateways keep while they hear no controller, reduced to one controller, three gateways and whole numbers.
 *
 * Gateways are cut off one by one. Each keeps a part of the limit, by whether it uses the account, out of what is not set aside yet;
 * the controller sets the same part aside when it misses the gateway. It may start again, and then knows only what the gateways
 * that it hears were told. Those that were cut off come back together.
 *
 * Left out: what is on its way (a cut that nobody has noticed, a telling that has not come), which the tolerance of the limit bears.
 *
 * Invariant: all that is allowed at a time, by parts and by the controller, is the limit (over), but for the rest that is shared alike:
 * three sixteenths of the limit at most.
 *
 * Switches: FORGET_RESERVE (a controller that starts sets nothing aside), WHOLE_LIMIT (a part is one of the whole limit, whatever is set aside
 * already), KEEP_RESERVE_UNTOLD (gateways are not told what is set aside, and use it).
 */
#define N 3
#define LIMIT 16
#define REST 4              /* a quarter of the limit, to all alike */

bool isUsing[N];            /* the account comes in here */
bool isAlone[N];
byte part[N];               /* while alone */
byte told[N];               /* what is set aside, as the gateway was told last */
byte aside;                 /* by the controller, for all that it does not hear */
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
            told[i] = aside
#else
            skip
#endif
        :: else -> skip
        fi
    }
}

byte shared;
inline cut(g) {
    count();
#ifdef WHOLE_LIMIT
    shared = LIMIT;
#else
    shared = (told[g] > LIMIT -> 0 : LIMIT - told[g]);
#endif
    part[g] = (isUsing[g] -> (LIMIT - REST) * shared / LIMIT / users : 0) + REST / N;
    isAlone[g] = true;
    aside = aside + part[g];
    tell()
}

inline healAll() {
    for (i : 0 .. N - 1) { isAlone[i] = false; part[i] = 0 }
    aside = 0;
    tell()
}

inline restart() {
    aside = 0;
#ifndef FORGET_RESERVE
    for (i : 0 .. N - 1) {
        if
        :: !isAlone[i] && told[i] > aside -> aside = told[i]
        :: else -> skip
        fi
    }
#endif
    tell()
}

byte allowed;
inline check() {
    count();
    allowed = 0;
    for (i : 0 .. N - 1) { allowed = allowed + part[i] }
    if
    :: heard > 0 ->
        shared = 0;
        for (i : 0 .. N - 1) {
            if
            :: !isAlone[i] && told[i] > shared -> shared = told[i]
            :: else -> skip
            fi
        }
        allowed = allowed + (shared < LIMIT -> LIMIT - shared : 0)
    :: else -> skip
    fi;
    if
    :: allowed > LIMIT + 3 -> over = true
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
        check(); shared = 0; allowed = 0; heard = 0; users = 0; i = 0; g = 0
    }
    od
}

ltl bound { [] !over }
