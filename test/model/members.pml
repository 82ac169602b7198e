/* Changing the members of the replicated log while it runs, reduced to who counts for votes and for commits.
 *
 * Three founders and one learner, one change of one member an entry. An entry counts from the moment a member has it in its
 * log, committed or not. A leader of a term is elected by a majority of the members that its own log names; an entry is
 * committed once a majority of the members that the log names with it store it. Messages reach any set of members.
 *
 * Invariant: every later leader has the newest committed entry (lost == false), and no term has two leaders.
 *
 * Switches: CHANGE_TWO (one entry exchanges two members), OVERLAP (a change before the former one is committed), NO_OWN_TERM (a
 * change before an entry of the leader's term is committed), LEARNER_COUNTS (who is no member counts for a commit).
 */
#define N 4
#define TERMS 3
#define ENTRIES 3
#define FOUNDERS 7          /* a set of members, a bit each */
#define HAS(set, m) (((set) >> (m)) & 1)
#define SIZE(set) (HAS(set, 0) + HAS(set, 1) + HAS(set, 2) + HAS(set, 3))

byte term[N];           /* the highest term that it has heard of */
byte votedIn[N];        /* the last term in which it voted */
byte lastTerm[N];       /* its newest entry */
byte lastIndex[N];
byte members[N];        /* as its log names them */
byte changedAt[N];      /* the index of the newest change in its log */
byte known[N];          /* what it knows to be committed, as a leader */
bool ownKnown[N];       /* as a leader: an entry of its term is committed */
byte leaderOf[TERMS + 1] = N;
byte committedTerm = 0; /* the newest committed entry */
byte committedIndex = 0;
bool lost = false;
bool twoLeaders = false;

active proctype Log() {
    byte me; byte t; byte k; byte votes; byte stores; byte next;
    atomic {
        members[0] = FOUNDERS; members[1] = FOUNDERS; members[2] = FOUNDERS; members[3] = 0;
    }
end:
    do
    /* Somebody stands for election; any set of its members is reached. */
    :: atomic { true ->
        if :: me = 0 :: me = 1 :: me = 2 :: me = 3 fi;
        if
        :: term[me] < TERMS && HAS(members[me], me) ->
            t = term[me] + 1; term[me] = t; votes = 0; k = 0;
            if :: votedIn[me] < t -> votedIn[me] = t; votes = 1 :: else -> skip fi;
            do
            :: k < N ->
                if
                :: k != me && HAS(members[me], k) && votedIn[k] < t && term[k] <= t &&
                    (lastTerm[me] > lastTerm[k] || (lastTerm[me] == lastTerm[k] && lastIndex[me] >= lastIndex[k])) ->
                        votedIn[k] = t; term[k] = t; votes++
                :: true -> skip
                fi; k++
            :: else -> break
            od;
            if
            :: votes * 2 > SIZE(members[me]) ->
                if
                :: leaderOf[t] != N && leaderOf[t] != me -> twoLeaders = true
                :: else -> skip
                fi;
                leaderOf[t] = me; known[me] = 0; ownKnown[me] = false;
                if
                :: lastTerm[me] < committedTerm || (lastTerm[me] == committedTerm && lastIndex[me] < committedIndex) -> lost = true
                :: else -> skip
                fi
            :: else -> skip
            fi
        :: else -> skip
        fi; me = 0; t = 0; k = 0; votes = 0 }
    /* A leader appends an entry, which may add or remove one member. */
    :: atomic { true ->
        if :: me = 0 :: me = 1 :: me = 2 :: me = 3 fi;
        if
        :: term[me] > 0 && leaderOf[term[me]] == me && lastIndex[me] < ENTRIES ->
            next = members[me];
            if
            :: lastTerm[me] != term[me] -> skip             /* the entry that opens its term */
#ifdef OVERLAP
            :: ownKnown[me] ->
#else
#ifdef NO_OWN_TERM
            :: lastTerm[me] != term[me] || known[me] >= changedAt[me] ->
#else
            :: ownKnown[me] && known[me] >= changedAt[me] ->
#endif
#endif
                if
#ifdef CHANGE_TWO
                :: next = (next ^ 12)                            /* exchanges the last founder for the learner */
                :: next = (next ^ 10)
#endif
                :: next = (next ^ 1)
                :: next = (next ^ 2)
                :: next = (next ^ 4)
                :: next = (next ^ 8)
                fi
            fi;
            if
            :: SIZE(next) >= 2 ->
                lastIndex[me]++; lastTerm[me] = term[me];
                if :: next != members[me] -> members[me] = next; changedAt[me] = lastIndex[me] :: else -> skip fi
            :: else -> skip
            fi
        :: else -> skip
        fi; me = 0; next = 0 }
    /* A leader sends its log to somebody, and commits what a majority stores. */
    :: atomic { true ->
        if :: me = 0 :: me = 1 :: me = 2 :: me = 3 fi;
        if
        :: term[me] > 0 && leaderOf[term[me]] == me && lastTerm[me] == term[me] ->
            if :: k = 0 :: k = 1 :: k = 2 :: k = 3 fi;
            if
            :: k != me && term[k] <= term[me] ->
                term[k] = term[me]; lastTerm[k] = lastTerm[me]; lastIndex[k] = lastIndex[me];
                members[k] = members[me]; changedAt[k] = changedAt[me]
            :: else -> skip
            fi;
            k = 0; stores = 0;
            do
            :: k < N ->
                if
#ifdef LEARNER_COUNTS
                :: lastTerm[k] == lastTerm[me] && lastIndex[k] == lastIndex[me] -> stores++
#else
                :: HAS(members[me], k) && lastTerm[k] == lastTerm[me] && lastIndex[k] == lastIndex[me] -> stores++
#endif
                :: else -> skip
                fi; k++
            :: else -> break
            od;
            if
            :: stores * 2 > SIZE(members[me]) ->
                known[me] = lastIndex[me]; ownKnown[me] = true;
                if
                :: lastTerm[me] > committedTerm || (lastTerm[me] == committedTerm && lastIndex[me] > committedIndex) ->
                    committedTerm = lastTerm[me]; committedIndex = lastIndex[me]
                :: else -> skip
                fi
            :: else -> skip
            fi
        :: else -> skip
        fi; me = 0; k = 0; stores = 0 }
    od
}

ltl nothingLost { [] (!lost && !twoLeaders) }
