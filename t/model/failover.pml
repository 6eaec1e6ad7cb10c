/*
 * Spin model of terms, leases and promotion in one replication group
 * (docs/design.md, section 6).
 *
 * The model has three members, one proxy and one control leader, which may be
 * replaced once. Proxies do not depend on each other, so one represents all of
 * them. Time advances in ticks that count timers down; a lease lasts
 * LEASE_TICKS. Control's replicated log is assumed to be correct: whatever a
 * leader commits is known to its successor, and check-quorum makes a leader
 * stop granting leases before its successor is elected. A single process
 * chooses among all steps, so that the state space contains only the state of
 * the protocol itself.
 *
 * The assertions check these properties:
 *   no_stale_ack   no write is acknowledged under a term once the primary of a
 *                  later term is committed
 *   no_lost_ack    a newly committed primary holds every acknowledged write
 *   one_primary    at most one member is promoted in each term
 *
 * Defining a MUT_ macro disables one rule of the protocol; the checker must
 * then report an error.
 */

#define LEASE_TICKS 2 /* duration of a lease */
#define MAXTERM 3
#define NONE 3	   /* no member */
/*
 * The model is bounded by MAXTERM: a change of primary to a higher term is
 * never completed.
 */
#define CHANGE_IN_PROGRESS (next_term != 0 && next_term <= MAXTERM)

#ifdef MUT_FENCE_MINORITY
#define FENCE_QUORUM \
	(fence_answered[0] || fence_answered[1] || fence_answered[2])
#else
#define FENCE_QUORUM \
	((fence_answered[0] && fence_answered[1]) || \
	 (fence_answered[0] && fence_answered[2]) || \
	 (fence_answered[1] && fence_answered[2]))
#endif

#ifdef MUT_NO_LEASE_WAIT
#define OLD_LEASES_EXPIRED true
#else
#define OLD_LEASES_EXPIRED (old_lease_ticks == 0)
#endif

#ifdef MUT_REPLICATE_UNFENCED
#define MAY_REPLICATE(m, p) true
#else
#define MAY_REPLICATE(m, p) (fence_term[m] <= primary_term[p])
#endif

#ifdef MUT_NO_LEASE_CHECK
#define LEASE_VALID true
#else
#define LEASE_VALID (lease_ticks_left > 0 && lease_term == write_term)
#endif

#ifdef MUT_NO_MAJORITY
#define HELD_BY_MAJORITY true
#else
#define HELD_BY_MAJORITY (holds_write[0] + holds_write[1] + holds_write[2] >= 2)
#endif

#ifdef MUT_ANY_MEMBER
#define MORE_ADVANCED(a, b) true
#else
#define MORE_ADVANCED(a, b) \
	(log_term[a] > log_term[b] || \
	 (log_term[a] == log_term[b] && has_write[a] > has_write[b]))
#endif

/* Control's state, as committed in its log. */
byte term = 1;	  /* term of the current primary */
byte next_term;	  /* term of the change in progress; 0 if none */
byte old_lease_ticks; /* until leases granted before the change expire */
bool leader_replaced;
byte promote_target = NONE; /* sent the promote request of this change */

/* Member promoted in each term; NONE if there is none yet. */
byte promoted[MAXTERM + 1] = NONE;

/*
 * Members. A member's log is empty or holds the only write of the model. A
 * member rejects fence and promote requests of terms below its fence_term.
 */
byte fence_term[3];
byte primary_term[3]; /* term in which it is primary; 0 for a replica */
byte log_term[3];  /* term of the primary whose log it last matched */
bit has_write[3];
bool fence_answered[3]; /* answered the fence request of this change */

/* State of the proxy and of its lease request. */
#define NOT_REQUESTED 0
#define REQUEST_SENT 1
#define REQUEST_GRANTED 2
byte lease_request;
byte answer_term;
byte request_age;	 /* ticks since the request, at most LEASE_TICKS */
byte lease_ticks_left;
byte lease_term;

/*
 * The write: appended in write_term (0 before that), confirmed by its primary,
 * acknowledged by the proxy.
 */
byte write_term;
bool write_confirmed;
bool write_acked;

hidden byte m, p, best;
hidden byte holds_write[3];

inline pick_member(x)
{
	if
	:: x = 0
	:: x = 1
	:: x = 2
	fi
}

inline reset_fence_answers()
{
	fence_answered[0] = false;
	fence_answered[1] = false;
	fence_answered[2] = false;
	promote_target = NONE
}

/*
 * The new leader knows from the log that a change was in progress, but not how
 * far it got. It restarts the change in a higher term and waits for all leases
 * again.
 */
inline replace_leader()
{
	leader_replaced = true;
	reset_fence_answers();
	if
	:: next_term != 0 ->
		old_lease_ticks = LEASE_TICKS;
#ifndef MUT_SAME_TERM
		next_term++
#endif
	:: else -> skip
	fi
}

inline choose_most_advanced()
{
	best = NONE;
	m = 0;
	do
	:: m < 3 ->
		if
		:: !fence_answered[m] -> skip
		:: fence_answered[m] && best == NONE -> best = m
		:: fence_answered[m] && best != NONE ->
			if
			:: MORE_ADVANCED(m, best) -> best = m
#ifdef MUT_ANY_MEMBER
			:: true -> skip
#else
			:: else -> skip
#endif
			fi
		fi;
		m++
	:: else -> break
	od
}

active proctype protocol()
{
	atomic {
		primary_term[0] = 1;
		log_term[0] = 1;
		fence_term[0] = 1;
		promoted[0] = NONE;
		promoted[1] = 0;
		promoted[2] = NONE;
		promoted[3] = NONE
	}
	do
	:: atomic { /* one tick passes */
		if
		:: lease_ticks_left > 0 -> lease_ticks_left--
		:: else -> skip
		fi;
		if
		:: old_lease_ticks > 0 -> old_lease_ticks--
		:: else -> skip
		fi;
		if
		:: lease_request != NOT_REQUESTED &&
		   request_age < LEASE_TICKS -> request_age++
		:: else -> skip
		fi
	   }
	:: atomic { /* the proxy requests a lease */
		lease_request == NOT_REQUESTED -> lease_request = REQUEST_SENT
	   }
	:: atomic { /* the leader grants a lease, or the request is lost */
		lease_request == REQUEST_SENT ->
		if
		:: next_term == 0 ->
			lease_request = REQUEST_GRANTED;
			answer_term = term
		:: lease_request = NOT_REQUESTED;
			request_age = 0
		fi
	   }
	:: atomic { /* the grant reaches the proxy */
		lease_request == REQUEST_GRANTED ->
		lease_request = NOT_REQUESTED;
		lease_term = answer_term;
#ifdef MUT_LEASE_FROM_ANSWER
		lease_ticks_left = LEASE_TICKS;
#else
		lease_ticks_left = LEASE_TICKS - request_age;
#endif
		answer_term = 0;
		request_age = 0
	   }
	:: atomic { /* start a change; the primary may in fact be healthy */
		next_term == 0 && term < MAXTERM ->
		next_term = term + 1;
		old_lease_ticks = LEASE_TICKS;
		reset_fence_answers()
	   }
	:: atomic { /* the control leader is replaced */
		!leader_replaced -> replace_leader()
	   }
	:: atomic { /* fence answers arrive in any order, or not at all */
		CHANGE_IN_PROGRESS ->
		pick_member(m);
		if
		:: fence_term[m] <= next_term ->
#ifndef MUT_NO_FENCE
			fence_term[m] = next_term;
			if
			:: primary_term[m] < next_term -> primary_term[m] = 0
			:: else -> skip
			fi;
#endif
			fence_answered[m] = true
		:: else -> skip
		fi
	   }
	:: atomic { /* promote the most advanced member of a fenced majority */
		CHANGE_IN_PROGRESS && FENCE_QUORUM && OLD_LEASES_EXPIRED ->
#ifdef MUT_RECHOOSE
		choose_most_advanced();
#else
		if
		:: promote_target == NONE -> choose_most_advanced()
		:: else -> best = promote_target
		fi;
#endif
		promote_target = best;
		if
		:: fence_term[best] <= next_term ->
			assert(promoted[next_term] == NONE ||
			       promoted[next_term] == best); /* one_primary */
			promoted[next_term] = best;
			primary_term[best] = next_term;
			log_term[best] = next_term;
			if
			:: term = next_term;
				next_term = 0;
				/* no_lost_ack */
				assert(!write_acked || has_write[best])
			:: !leader_replaced -> /* fails before the commit */
				replace_leader()
			:: skip /* answer is lost; the same member is retried */
			:: true -> /* give up and retry in a higher term */
				next_term++;
				reset_fence_answers()
			fi
		:: else -> skip
		fi
	   }
	:: atomic { /* m replicates from p, which believes it is primary */
		pick_member(m);
		pick_member(p);
		if
		:: p != m && primary_term[p] != 0 &&
		   primary_term[m] < primary_term[p] && MAY_REPLICATE(m, p) ->
			primary_term[m] = 0;
			has_write[m] = has_write[p];
			log_term[m] = primary_term[p]
		:: else -> skip
		fi
	   }
	:: atomic { /* the write reaches a member that believes it is primary */
		write_term == 0 && lease_term != 0 ->
		pick_member(p);
		if
		:: primary_term[p] == lease_term ->
			write_term = lease_term;
			has_write[p] = 1
		:: else -> skip
		fi
	   }
	:: atomic { /* the primary learns that a majority holds the write */
		write_term != 0 && !write_confirmed ->
		m = 0;
		do
		:: m < 3 ->
			if
			:: has_write[m] && log_term[m] == write_term ->
				holds_write[m] = 1
			:: else -> holds_write[m] = 0
			fi;
			m++
		:: else -> break
		od;
		if
		:: HELD_BY_MAJORITY -> write_confirmed = true
		:: else -> skip
		fi
	   }
	:: atomic { /* the proxy acknowledges the write */
		write_confirmed && !write_acked && LEASE_VALID ->
		assert(term == write_term); /* no_stale_ack */
		write_acked = true
	   }
	od
}
