/* Growth of the replicated log's members while disks are wiped, reduced to who counts for votes and for commits.
 *
 * Three founders and two learners whose disks the log has registered; the members grow to all five, one an entry. Any disks
 * are wiped at any time: a wiped controller has forgotten its term, its vote, its log and that it may vote,
 * and its new disk is in nobody's log. A leader registers it by an entry; the controller votes, and counts for what is committed,
 * once it knows that entry to be committed. Messages reach any set of members, and a leader may go on for any time after another
 * has been elected, as one does that was frozen.
 *
 * Invariant: an entry that was ever committed is in the log of every leader of a later term (lost == false), and no term has two
 * leaders.
 *
 * TWO_WIPED plays two wiped disks with two entries; both (-DWIPES=2) have 12.9 million states and take 2 GB and minutes: by hand.
 *
 * Switches: COUNT_AT_ONCE (a wiped disk counts for a commit as soon as the leader's log registers it), VOTE_FRESH (it votes before
 * that), ADD_TWO (both learners in one entry).
 */
#define N 5
#define TERMS 2
#ifdef TWO_WIPED
#define ENTRIES 2
#define WIPES 2
#endif
#ifndef ENTRIES
#define ENTRIES 3
#endif
#ifndef WIPES
#define WIPES 1
#endif
#define FOUNDERS 7          /* a set of controllers, a bit each */
#define ALL 31
#define HAS(set, m) (((set) >> (m)) & 1)
#define SIZE(set) (HAS(set, 0) + HAS(set, 1) + HAS(set, 2) + HAS(set, 3) + HAS(set, 4))

byte term[N];           /* the highest term that it has heard of */
byte votedIn[N];        /* the last term in which it voted */
byte lastTerm[N];       /* its newest entry */
byte lastIndex[N];
byte members[N];        /* as its log names them */
byte changedAt[N];      /* the index of the newest change of members in its log */
byte registered[N];     /* those whose present disk its log registers */
byte registeredAt[N];   /* the index of the newest registration in its log */
bool voter[N];          /* it knows that its disk is registered */
byte known[N];          /* what it knows to be committed, as a leader */
bool ownKnown[N];       /* as a leader: an entry of its term is committed */
byte leaderOf[TERMS + 1] = N;
byte base;              /* the newest index that the leader of the last term was elected with */
byte committedTerm;     /* the newest committed entry */
byte committedIndex;
byte wipes;
bool lost = false;
bool twoLeaders = false;

#ifdef COUNT_AT_ONCE
#define COUNTS(me, k) HAS(registered[me], k)
#else
#define COUNTS(me, k) (HAS(registered[me], k) && voter[k])
#endif
#ifdef VOTE_FRESH
#define VOTES(me, k) true
#else
#define VOTES(me, k) (HAS(registered[me], k) && voter[k])
#endif

inline anybody(m) { if :: m = 0 :: m = 1 :: m = 2 :: m = 3 :: m = 4 fi }
inline isLeader(m) { leads = (term[m] > 0 && leaderOf[term[m]] == m) }

active proctype Log() {
    byte me; byte t; byte k; byte votes; byte stores; bool leads;
    atomic {
        do
        :: k < N -> members[k] = (k < 3 -> FOUNDERS : 0); registered[k] = (k < 3 -> ALL : 0); voter[k] = true; k++
        :: else -> break
        od; k = 0
    }
end:
    do
    /* Somebody stands for election; any set of its members is reached. */
    :: atomic { true ->
        anybody(me);
        if
        :: term[me] < TERMS && HAS(members[me], me) && voter[me] ->
            t = term[me] + 1; term[me] = t; votes = 0;
            if :: votedIn[me] < t -> votedIn[me] = t; votes = 1 :: else -> skip fi;
            do
            :: k < N ->
                if
                :: k != me && HAS(members[me], k) && VOTES(me, k) && votedIn[k] < t && term[k] <= t &&
                    (lastTerm[me] > lastTerm[k] || (lastTerm[me] == lastTerm[k] && lastIndex[me] >= lastIndex[k])) ->
                        votedIn[k] = t; term[k] = t; votes++
                :: true -> skip
                fi; k++
            :: else -> break
            od;
            if
            :: votes * 2 > SIZE(members[me]) ->
                if :: leaderOf[t] != N && leaderOf[t] != me -> twoLeaders = true :: else -> skip fi;
                leaderOf[t] = me; known[me] = 0; ownKnown[me] = false;
                if :: t == TERMS -> base = lastIndex[me] :: else -> skip fi;
                if
                :: lastTerm[me] < committedTerm || (lastTerm[me] == committedTerm && lastIndex[me] < committedIndex) -> lost = true
                :: else -> skip
                fi
            :: else -> skip
            fi
        :: else -> skip
        fi; me = 0; t = 0; k = 0; votes = 0 }
    /* A leader appends the entry that opens its term, adds a learner that knows its registration, or registers a wiped disk. */
    :: atomic { true ->
        anybody(me); isLeader(me);
        if
        :: leads && lastIndex[me] < ENTRIES ->
            if
            :: lastTerm[me] != term[me] -> lastIndex[me]++
            :: lastTerm[me] == term[me] && ownKnown[me] && known[me] >= changedAt[me] && members[me] != ALL ->
#ifdef ADD_TWO
                lastIndex[me]++; members[me] = ALL; changedAt[me] = lastIndex[me]
#else
                if :: k = 3 :: k = 4 fi;
                if
                :: !HAS(members[me], k) && voter[k] -> lastIndex[me]++; members[me] = members[me] | (1 << k); changedAt[me] = lastIndex[me]
                :: else -> skip
                fi
#endif
            :: lastTerm[me] == term[me] ->
                anybody(k);
                if
                :: !HAS(registered[me], k) -> lastIndex[me]++; registered[me] = registered[me] | (1 << k); registeredAt[me] = lastIndex[me]
                :: else -> skip
                fi
            fi;
            lastTerm[me] = (lastIndex[me] > 0 -> term[me] : 0)
        :: else -> skip
        fi; me = 0; k = 0; leads = false }
    /* A leader sends its log to somebody, who learns what is committed, and commits what a majority stores. */
    :: atomic { true ->
        anybody(me); isLeader(me);
        if
        :: leads && lastTerm[me] == term[me] ->
            anybody(k);
            if
            :: k != me && term[k] <= term[me] ->
                term[k] = term[me]; lastTerm[k] = lastTerm[me]; lastIndex[k] = lastIndex[me];
                members[k] = members[me]; changedAt[k] = changedAt[me];
                registered[k] = registered[me]; registeredAt[k] = registeredAt[me];
                if :: HAS(registered[me], k) && known[me] >= registeredAt[me] && ownKnown[me] -> voter[k] = true :: else -> skip fi
            :: else -> skip
            fi;
            k = 0; stores = 0;
            do
            :: k < N ->
                if
                :: HAS(members[me], k) && COUNTS(me, k) && lastTerm[k] == lastTerm[me] && lastIndex[k] == lastIndex[me] -> stores++
                :: else -> skip
                fi; k++
            :: else -> break
            od;
            if
            :: stores * 2 > SIZE(members[me]) ->
                known[me] = lastIndex[me]; ownKnown[me] = true;
                /* A leader that was overtaken commits what its successor was elected without. */
                if :: term[me] < TERMS && leaderOf[TERMS] != N && lastIndex[me] > base -> lost = true :: else -> skip fi;
                if
                :: lastTerm[me] > committedTerm || (lastTerm[me] == committedTerm && lastIndex[me] > committedIndex) ->
                    committedTerm = lastTerm[me]; committedIndex = lastIndex[me]
                :: else -> skip
                fi
            :: else -> skip
            fi
        :: else -> skip
        fi; me = 0; k = 0; stores = 0; leads = false }
    /* A disk is wiped. */
    :: atomic { wipes < WIPES ->
        anybody(me);
        wipes++;
        if :: term[me] > 0 && leaderOf[term[me]] == me -> leaderOf[term[me]] = N + 1 :: else -> skip fi;
        term[me] = 0; votedIn[me] = 0; lastTerm[me] = 0; lastIndex[me] = 0; members[me] = 0; changedAt[me] = 0;
        registered[me] = 0; registeredAt[me] = 0; voter[me] = false; known[me] = 0; ownKnown[me] = false;
        do
        :: k < N -> registered[k] = registered[k] & (ALL - (1 << me)); k++
        :: else -> break
        od;
        me = 0; k = 0 }
    od
}

ltl nothingLost { [] (!lost && !twoLeaders) }
