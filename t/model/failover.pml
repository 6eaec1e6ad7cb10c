/*
 * Terms, leases and promotion of one group (docs/design.md, section 6).
 *
 * Three members, two proxies, one control leader that may be replaced. Time is
 * a bounded clock; a lease lasts LEASE ticks. Control's replicated log is
 * taken as correct here: what the leader commits, its successor knows, and
 * check-quorum makes a leader stop granting before its successor is elected.
 *
 * Checked:
 *   no_stale_ack   no write is acknowledged under a term once a later term's
 *                  primary is committed
 *   no_lost_ack    the log of a promoted primary holds every acknowledged
 *                  write
 *   one_primary    a term never has two promoted members
 *
 * Each MUT_ macro removes one rule; the checker must then find an error.
 */

#define MEMBERS 3
#define PROXIES 2
#define LEASE 2
#define HORIZON 7 /* ticks */
#define WRITES 2
#define MAXTERM 3

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
#define LEASES_OVER (now >= change_since + LEASE)
#endif

#ifdef MUT_REPLICATE_UNFENCED
#define MAY_PULL(m, p) true
#else
#define MAY_PULL(m, p) (fence[m] <= role_term[p])
#endif

#ifdef MUT_NO_LEASE_CHECK
#define UNDER_LEASE(me, w) true
#else
#define UNDER_LEASE(me, w) \
	(lease_term[me] == w_term[w] && now < lease_until[me])
#endif

byte now;

/* Control, as committed. */
byte term;	  /* of the current primary */
byte primary;
byte next_term;	  /* term of the change that goes on, 0 for none */
byte change_since;
byte leader_since; /* when the present leader was elected */
bool promoted_once[MAXTERM + 1];
byte promoted_by[MAXTERM + 1];

/* Members. A log is a list of entries; entry w + 1 stands for write w. */
byte fence[MEMBERS];
byte role_term[MEMBERS]; /* term it is primary of, 0 for a replica */
byte log_term[MEMBERS];	 /* term of the primary whose log it matched */
byte size[MEMBERS];
byte log[MEMBERS * WRITES];
#define LOG(m, i) log[(m) * WRITES + (i)]

/* Answers to fence() of the change that goes on. */
bool fenced[MEMBERS];

/* Proxies. */
byte lease_until[PROXIES];
byte lease_term[PROXIES];
byte asked_at[PROXIES];
bool asking[PROXIES];

/* Writes: where and in which term it was appended, and what came of it. */
byte w_term[WRITES];
bool w_used[WRITES];
bool w_confirmed[WRITES]; /* a majority held it, told to the proxy */
bool w_acked[WRITES];
byte used;

inline holds(m, w, yes)
{
	yes = false;
	if
	:: size[m] > 0 && LOG(m, 0) == w + 1 -> yes = true
	:: size[m] > 1 && LOG(m, 1) == w + 1 -> yes = true
	:: else -> skip
	fi
}

/* Members that hold w under the term of its primary. */
inline count_holders(w, n)
{
	n = 0;
	j = 0;
	do
	:: j < MEMBERS ->
		holds(j, w, found);
		if
		:: found && log_term[j] == w_term[w] -> n++
		:: else -> skip
		fi;
		j++
	:: else -> break
	od
}

inline copy_log(from, to)
{
	size[to] = size[from];
	LOG(to, 0) = LOG(from, 0);
	LOG(to, 1) = LOG(from, 1);
}

inline check_acked_in(m)
{
	j = 0;
	do
	:: j < WRITES ->
		if
		:: w_acked[j] ->
			holds(j_member, j, found);
			assert(found) /* no_lost_ack */
		:: else -> skip
		fi;
		j++
	:: else -> break
	od
}

active proctype clock()
{
	do
	:: now < HORIZON -> now++
	:: else -> break
	od
}

active proctype control()
{
	byte j, n, best, j_member;
	bool found;

	/* First primary: member 0 in term 1. */
	atomic {
		term = 1;
		primary = 0;
		role_term[0] = 1;
		log_term[0] = 1;
		promoted_once[1] = true;
		promoted_by[1] = 0;
		fence[0] = 1
	}
	do
	:: atomic { /* grant a lease to a proxy that asked */
		asking[0] && next_term == 0 ->
		asking[0] = false;
		lease_term[0] = term;
#ifdef MUT_LEASE_FROM_ANSWER
		lease_until[0] = now + LEASE
#else
		lease_until[0] = asked_at[0] + LEASE
#endif
	   }
	:: atomic {
		asking[1] && next_term == 0 ->
		asking[1] = false;
		lease_term[1] = term;
#ifdef MUT_LEASE_FROM_ANSWER
		lease_until[1] = now + LEASE
#else
		lease_until[1] = asked_at[1] + LEASE
#endif
	   }
	:: atomic { /* start a change; the suspicion may be wrong */
		next_term == 0 && term < MAXTERM ->
		next_term = term + 1;
		change_since = now;
		fenced[0] = false;
		fenced[1] = false;
		fenced[2] = false
	   }
	:: atomic { /* another control leader takes over and starts again */
		now > 0 && now < HORIZON && leader_since == 0 ->
		leader_since = now;
		fenced[0] = false;
		fenced[1] = false;
		fenced[2] = false;
		if
		:: next_term != 0 ->
			change_since = now;
#ifndef MUT_SAME_TERM
			if
			:: next_term < MAXTERM -> next_term++
			:: else -> next_term = 0
			fi
#endif
		:: else -> skip
		fi
	   }
	:: atomic { /* fence answers arrive in any order, or never */
		next_term != 0 ->
		if
		:: j = 0
		:: j = 1
		:: j = 2
		fi;
		if
		:: fence[j] <= next_term ->
#ifndef MUT_NO_FENCE
			fence[j] = next_term;
			if
			:: role_term[j] != 0 && role_term[j] < next_term ->
				role_term[j] = 0
			:: else -> skip
			fi;
#endif
			fenced[j] = true
		:: else -> skip
		fi
	   }
	:: atomic { /* promote the highest of a fenced majority */
		next_term != 0 && ENOUGH_FENCED && LEASES_OVER ->
		best = MEMBERS;
		n = 0;
		do
		:: n < MEMBERS ->
			if
			:: !fenced[n] -> skip
			:: fenced[n] && best == MEMBERS -> best = n
			:: fenced[n] && best != MEMBERS ->
#ifndef MUT_ANY_MEMBER
				if
				:: log_term[n] > log_term[best] ||
				   (log_term[n] == log_term[best] &&
				    size[n] > size[best]) -> best = n
				:: else -> skip
				fi
#else
				if
				:: best = n
				:: skip
				fi
#endif
			fi;
			n++
		:: else -> break
		od;
		if
		:: fence[best] <= next_term ->
			assert(!promoted_once[next_term] ||
			       promoted_by[next_term] == best); /* one_primary */
			promoted_once[next_term] = true;
			promoted_by[next_term] = best;
			role_term[best] = next_term;
			log_term[best] = next_term;
			if
			:: true -> /* the answer arrives and is committed */
				term = next_term;
				primary = best;
				next_term = 0;
				j_member = best;
				check_acked_in(best)
			:: leader_since == 0 && now > 0 ->
				/* the leader dies before it commits; its
				 * successor knows only that a change goes on */
				leader_since = now;
				change_since = now;
				fenced[0] = false;
				fenced[1] = false;
				fenced[2] = false;
#ifndef MUT_SAME_TERM
				if
				:: next_term < MAXTERM -> next_term++
				:: else -> next_term = 0
				fi
#endif
			fi
		:: else -> skip
		fi
	   }
	:: now >= HORIZON -> break
	od
}

/* A member m pulls from a member p that believes it is primary. */
active [MEMBERS] proctype member()
{
	byte m = _pid - 2;
	byte p;

	do
	:: atomic {
		if
		:: p = 0
		:: p = 1
		:: p = 2
		fi;
		if
		:: p != m && role_term[p] != 0 && role_term[m] == 0 &&
		   MAY_PULL(m, p) &&
		   (log_term[m] != role_term[p] || size[m] != size[p]) ->
			copy_log(p, m);
			log_term[m] = role_term[p]
		:: else -> skip
		fi
	   }
	:: now >= HORIZON -> break
	od
}

active [PROXIES] proctype proxy()
{
	byte me = _pid - 2 - MEMBERS;
	byte p, w, n, j;
	bool found;

	do
	:: atomic {
		!asking[me] && now < HORIZON ->
		asked_at[me] = now;
		asking[me] = true
	   }
	:: atomic { /* append a write at whoever is primary of the own term */
		used < WRITES && lease_term[me] != 0 && now < HORIZON ->
		if
		:: p = 0
		:: p = 1
		:: p = 2
		fi;
		if
		:: role_term[p] != 0 && role_term[p] == lease_term[me] &&
		   size[p] < WRITES ->
			w = used;
			used++;
			w_used[w] = true;
			w_term[w] = role_term[p];
			LOG(p, size[p]) = w + 1;
			size[p]++
		:: else -> skip
		fi
	   }
	:: atomic { /* the primary tells that a majority holds a write */
		if
		:: w = 0
		:: w = 1
		fi;
		if
		:: w_used[w] && !w_confirmed[w] ->
#ifdef MUT_NO_MAJORITY
			w_confirmed[w] = true
#else
			count_holders(w, n);
			if
			:: n >= 2 -> w_confirmed[w] = true
			:: else -> skip
			fi
#endif
		:: else -> skip
		fi
	   }
	:: atomic { /* acknowledge under the lease */
		if
		:: w = 0
		:: w = 1
		fi;
		if
		:: w_confirmed[w] && !w_acked[w] && UNDER_LEASE(me, w) ->
			assert(term == w_term[w]); /* no_stale_ack */
			w_acked[w] = true;
			holds(primary, w, found);
			assert(found)
		:: else -> skip
		fi
	   }
	:: now >= HORIZON -> break
	od
}
