/*
 * Terms, leases and promotion of one group (docs/design.md, section 6).
 *
 * Three members, one proxy, one control leader that may be replaced once. The
 * proxies do not depend on each other, so one stands for all. Time passes by
 * ticks that count timers down; a lease lasts LEASE ticks. Control's
 * replicated log is taken as correct: what the leader commits, its successor
 * knows, and check-quorum makes a leader stop granting before its successor is
 * elected. All steps are choices of one process, so that the state is only
 * what the protocol itself keeps.
 *
 * Checked:
 *   no_stale_ack   no write is acknowledged under a term once a later term's
 *                  primary is committed
 *   no_lost_ack    a primary that is committed holds every acknowledged write
 *   one_primary    a term never has two promoted members
 *
 * Each MUT_ macro removes one rule; the checker must then find an error.
 */

#define LEASE 2	   /* ticks */
#define MAXTERM 3
#define NONE 3	   /* no member */
/* A change to a term over MAXTERM never ends; the model stops there. */
#define CHANGING (next_term != 0 && next_term <= MAXTERM)

#ifdef MUT_FENCE_MINORITY
#define ENOUGH_FENCED (fenced[0] || fenced[1] || fenced[2])
#else
#define ENOUGH_FENCED \
	((fenced[0] && fenced[1]) || (fenced[0] && fenced[2]) || \
	 (fenced[1] && fenced[2]))
#endif

#ifdef MUT_NO_LEASE_WAIT
#define LEASES_OVER true
#else
#define LEASES_OVER (change_left == 0)
#endif

#ifdef MUT_REPLICATE_UNFENCED
#define MAY_PULL(m, p) true
#else
#define MAY_PULL(m, p) (fence[m] <= role_term[p])
#endif

#ifdef MUT_NO_LEASE_CHECK
#define UNDER_LEASE true
#else
#define UNDER_LEASE (lease_left > 0 && lease_term == w_term)
#endif

#ifdef MUT_NO_MAJORITY
#define HELD_BY_MAJORITY true
#else
#define HELD_BY_MAJORITY (holds[0] + holds[1] + holds[2] >= 2)
#endif

#ifdef MUT_ANY_MEMBER
#define BETTER(a, b) true
#else
#define BETTER(a, b) \
	(log_term[a] > log_term[b] || \
	 (log_term[a] == log_term[b] && has[a] > has[b]))
#endif

/* Control, as committed. */
byte term = 1;	  /* of the current primary */
byte next_term;	  /* term of the change that goes on; 0 is none */
byte change_left; /* ticks until leases given before the change are over */
bool leader_replaced;
byte chosen = NONE; /* member that promote() of this change was sent to */

/* Member that was promoted in a term, NONE before. */
byte promoted[MAXTERM + 1] = NONE;

/* Members. The log is empty or holds the one write of the model. */
byte fence[3];
byte role_term[3]; /* term it is primary of; 0 is a replica */
byte log_term[3];  /* term of the primary whose log it matched */
bit has[3];
bool fenced[3];	   /* answered fence() of the change that goes on */

/* Proxy. */
#define IDLE 0
#define SENT 1
#define ANSWERED 2
byte ask;
byte answer_term;
byte ask_age;	 /* ticks since the ask was sent, at most LEASE */
byte lease_left;
byte lease_term;

/* The write: appended in w_term, confirmed by its primary, acknowledged. */
byte w_term;
bool w_confirmed;
bool w_acked;

hidden byte m, p, best;
hidden byte holds[3];

inline pick(x)
{
	if
	:: x = 0
	:: x = 1
	:: x = 2
	fi
}

inline forget_fences()
{
	fenced[0] = false;
	fenced[1] = false;
	fenced[2] = false;
	chosen = NONE
}

/* The successor of a leader knows that a change went on, not how far. */
inline replace_leader()
{
	leader_replaced = true;
	forget_fences();
	if
	:: next_term != 0 ->
		change_left = LEASE;
#ifndef MUT_SAME_TERM
		next_term++
#endif
	:: else -> skip
	fi
}

inline choose_best()
{
	best = NONE;
	m = 0;
	do
	:: m < 3 ->
		if
		:: !fenced[m] -> skip
		:: fenced[m] && best == NONE -> best = m
		:: fenced[m] && best != NONE ->
			if
			:: BETTER(m, best) -> best = m
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
		role_term[0] = 1;
		log_term[0] = 1;
		fence[0] = 1;
		promoted[0] = NONE;
		promoted[1] = 0;
		promoted[2] = NONE;
		promoted[3] = NONE
	}
	do
	:: atomic { /* time passes */
		if
		:: lease_left > 0 -> lease_left--
		:: else -> skip
		fi;
		if
		:: change_left > 0 -> change_left--
		:: else -> skip
		fi;
		if
		:: ask != IDLE && ask_age < LEASE -> ask_age++
		:: else -> skip
		fi
	   }
	:: atomic { /* the proxy asks */
		ask == IDLE -> ask = SENT
	   }
	:: atomic { /* the leader answers with a lease, or the ask is lost */
		ask == SENT ->
		if
		:: next_term == 0 ->
			ask = ANSWERED;
			answer_term = term
		:: ask = IDLE;
			ask_age = 0
		fi
	   }
	:: atomic { /* the answer arrives */
		ask == ANSWERED ->
		ask = IDLE;
		lease_term = answer_term;
#ifdef MUT_LEASE_FROM_ANSWER
		lease_left = LEASE;
#else
		lease_left = LEASE - ask_age;
#endif
		answer_term = 0;
		ask_age = 0
	   }
	:: atomic { /* start a change; the suspicion may be wrong */
		next_term == 0 && term < MAXTERM ->
		next_term = term + 1;
		change_left = LEASE;
		forget_fences()
	   }
	:: atomic { /* another control leader takes over */
		!leader_replaced -> replace_leader()
	   }
	:: atomic { /* fence answers arrive in any order, or never */
		CHANGING ->
		pick(m);
		if
		:: fence[m] <= next_term ->
#ifndef MUT_NO_FENCE
			fence[m] = next_term;
			if
			:: role_term[m] < next_term -> role_term[m] = 0
			:: else -> skip
			fi;
#endif
			fenced[m] = true
		:: else -> skip
		fi
	   }
	:: atomic { /* promote the most advanced of a fenced majority */
		CHANGING && ENOUGH_FENCED && LEASES_OVER ->
#ifdef MUT_RECHOOSE
		choose_best();
#else
		if
		:: chosen == NONE -> choose_best()
		:: else -> best = chosen
		fi;
#endif
		chosen = best;
		if
		:: fence[best] <= next_term ->
			assert(promoted[next_term] == NONE ||
			       promoted[next_term] == best); /* one_primary */
			promoted[next_term] = best;
			role_term[best] = next_term;
			log_term[best] = next_term;
			if
			:: term = next_term;
				next_term = 0;
				assert(!w_acked || has[best]) /* no_lost_ack */
			:: !leader_replaced -> /* dies before the commit */
				replace_leader()
			:: skip /* the answer is lost; the same is asked again */
			:: true -> /* given up: a higher term */
				next_term++;
				forget_fences()
			fi
		:: else -> skip
		fi
	   }
	:: atomic { /* m pulls from p, which believes that it is primary */
		pick(m);
		pick(p);
		if
		:: p != m && role_term[p] != 0 &&
		   role_term[m] < role_term[p] && MAY_PULL(m, p) ->
			role_term[m] = 0;
			has[m] = has[p];
			log_term[m] = role_term[p]
		:: else -> skip
		fi
	   }
	:: atomic { /* the write reaches a member that believes it is primary */
		w_term == 0 && lease_term != 0 ->
		pick(p);
		if
		:: role_term[p] == lease_term ->
			w_term = lease_term;
			has[p] = 1
		:: else -> skip
		fi
	   }
	:: atomic { /* its primary learns that a majority holds it */
		w_term != 0 && !w_confirmed ->
		m = 0;
		do
		:: m < 3 ->
			if
			:: has[m] && log_term[m] == w_term -> holds[m] = 1
			:: else -> holds[m] = 0
			fi;
			m++
		:: else -> break
		od;
		if
		:: HELD_BY_MAJORITY -> w_confirmed = true
		:: else -> skip
		fi
	   }
	:: atomic { /* the proxy acknowledges */
		w_confirmed && !w_acked && UNDER_LEASE ->
		assert(term == w_term); /* no_stale_ack */
		w_acked = true
	   }
	od
}
