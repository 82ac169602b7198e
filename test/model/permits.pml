/* One gateway's right to create permits, two controllers that it can lend the right to, and messages that take any time or are lost.
 *
 * The gateway lends its right for T ticks with a request, and creates nothing itself until they have passed. The request names the last
 * grant of that controller which the gateway had received; the controller counts the T ticks from the moment when it sent that grant.
 * A request or grant is lost by a later one that takes its place.
 *
 * Invariant: the right is at one place at a time (twice).
 *
 * Switches: FROM_ARRIVAL (the controller counts from the arrival of the request), NO_WAIT (the gateway lends its right to the other controller
 * at once), NO_LOAN_AT_START (a gateway that starts creates permits at once, though its former run may have lent its right).
 */
#define T 3
#define NONE 2

byte gatewayLeft = T;       /* ticks until the gateway creates permits itself; its former run may have lent its right just before */
byte borrower = NONE;
byte controllerLeft[2];     /* ticks for which the controller creates permits by this right */
byte grantAge[2];           /* of the last grant that the gateway has received; T: none that is of use */
bool isGrantSent[2];
byte sentGrantAge[2];
bool isRequestSent[2];
byte requestGrantAge[2];    /* of the grant that the request names */
bool twice = false;

inline age(n) { n = (n < T -> n + 1 : T) }
inline countDown(n) { n = (n > 0 -> n - 1 : 0) }

inline tick() {
    countDown(gatewayLeft);
    for (i : 0 .. 1) {
        countDown(controllerLeft[i]);
        age(grantAge[i]);
        age(sentGrantAge[i]);
        age(requestGrantAge[i])
    }
}

inline lend(c) {
    isRequestSent[c] = true;
    requestGrantAge[c] = grantAge[c];
    gatewayLeft = T;
    borrower = c
}

inline arrive(c) {
    isRequestSent[c] = false;
#ifdef FROM_ARRIVAL
    controllerLeft[c] = T
#else
    controllerLeft[c] = T - requestGrantAge[c]
#endif
}

inline restart() {
#ifdef NO_LOAN_AT_START
    gatewayLeft = 0;
#else
    gatewayLeft = T;
#endif
    borrower = NONE; grantAge[0] = T; grantAge[1] = T
}

byte i;
byte c;
active proctype site() {
    grantAge[0] = T; grantAge[1] = T;
    do
    :: atomic {
        select(c : 0 .. 1);
        if
        :: tick()
        :: isGrantSent[c] = true; sentGrantAge[c] = 0
        :: isGrantSent[c] -> isGrantSent[c] = false; grantAge[c] = sentGrantAge[c]
#ifdef NO_WAIT
        :: grantAge[c] < T -> lend(c)
#else
        :: grantAge[c] < T && (borrower == c || gatewayLeft == 0) -> lend(c)
#endif
        :: isRequestSent[c] -> arrive(c)
        :: restart()
        fi;
        twice = (gatewayLeft == 0 && controllerLeft[0] + controllerLeft[1] > 0) || (controllerLeft[0] > 0 && controllerLeft[1] > 0);
        i = 0; c = 0
    }
    od
}

ltl once { [] !twice }
