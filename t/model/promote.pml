/*
 * Spin model of a change of primary through an outside promoter that does not
 * depose the old primary and checks no tokens (promote.h, lease.h).
 *
 * The model has three members, one proxy and one control leader, which may be
 * replaced once. A call to the promoter may be carried out until LATE_TICKS
 * after it was made, whether it was answered or not. Control's replicated log is
 * assumed to be correct, and a leader stops granting leases before its
 * successor is elected. Time advances in ticks that count timers down.
 *
 * The assertion checks this property:
 *   no_stray_ack   no write is acknowledged that a member committed after
 *                  another one was promoted with a higher term
 *
 * Defining a MUT_ macro disables one rule of the protocol; the checker must
 * then report an error.
 */

#define LEASE_TICKS 2
#define LATE_TICKS 2
#define MAX_TERM 4 /* of the members; no promotion leads beyond it */
#define NONE 3 /* no member */

/* Control's record of the group. */
byte primary = 0;
byte record_term = 1;
bool changing;
byte candidate = NONE;
byte late_call = NONE; /* member for which an earlier call may still come */

/* State of the leader, which its successor does not know. */
byte wait_ticks; /* until the leases of the old primary have expired */
bool proxy_confirmed; /* the proxy knows of the change */
bool stepped_down; /* the old primary said so in this change */
byte called = NONE; /* member of the last call */
byte late_ticks; /* until its calls can't be carried out any more */
bool leader_replaced;

/* Calls on their way to the promoter. */
byte call_member[2] = NONE;
byte call_ticks[2];

/* Term in which a member leads, or believes so; 0 for a replica. */
byte leads[3];
byte newest_term = 1;

/* The proxy: its copy of the record, its lease and its write. */
byte known_primary = 0;
byte known_term = 1;
bool known_changing;
byte lease_ticks;
#define IDLE 0
#define SENT 1
#define COMMITTED 2
byte write_state;
byte write_member;
byte write_term; /* record term under which it was sent */
bool write_stray; /* committed after another member was promoted */

hidden byte m, i;

inline pick_member(x)
{
	if
	:: x = 0
	:: x = 1
	:: x = 2
	fi
}

#ifdef MUT_NO_WAIT
#define LEASES_OVER true
#else
#define LEASES_OVER (wait_ticks == 0 || proxy_confirmed)
#endif

/* A primary that stepped down may lead again because of a late call, so that it
 * counts only if none is possible. */
#ifdef MUT_STEP_DOWN_LATE_CALL
#define NO_LATE_CALLS true
#else
#define NO_LATE_CALLS (late_ticks == 0)
#endif

#ifdef MUT_NO_RELEASE_CHECK
#define MAY_ACKNOWLEDGE true
#else
#define MAY_ACKNOWLEDGE \
	(lease_ticks > 0 && !known_changing && known_term == write_term)
#endif

#ifdef MUT_RECHOOSE
#define NO_OTHER_CALLS(x) true
#else
#define NO_OTHER_CALLS(x) (late_ticks == 0 || x == called)
#endif

/* A member that leads already may do so by an earlier call, and another one may
 * have been promoted since. */
#ifdef MUT_NAME_A_LEADER
#define MAY_NAME(x) true
#else
#define MAY_NAME(x) (leads[x] == 0 || x == candidate)
#endif

#define MAY_CALL(x) (x != primary && NO_OTHER_CALLS(x) && MAY_NAME(x))

inline record_late_call()
{
	if
#ifdef MUT_FORGET_LATE_CALL
	:: true -> late_call = NONE
#else
	:: late_ticks > 0 -> late_call = called
	:: else -> late_call = NONE
#endif
	fi
}

inline record_primary(x)
{
	primary = x;
	record_term++;
	changing = false;
	stepped_down = false;
	proxy_confirmed = false;
	wait_ticks = 0;
	candidate = NONE;
	record_late_call()
}

active proctype protocol()
{
	atomic {
		leads[0] = 1
	}
	do
	:: atomic { /* one tick passes */
		if
		:: lease_ticks > 0 -> lease_ticks--
		:: else -> skip
		fi;
		if
		:: wait_ticks > 0 -> wait_ticks--
		:: else -> skip
		fi;
		if
		:: late_ticks > 0 -> late_ticks--
		:: else -> skip
		fi;
		i = 0;
		do
		:: i < 2 ->
			if
			:: call_ticks[i] > 1 -> call_ticks[i]--
			:: else ->
				call_ticks[i] = 0;
				call_member[i] = NONE
			fi;
			i++
		:: else -> break
		od
	   }
	:: atomic { /* the proxy asks, and the leader grants a lease */
		known_primary = primary;
		known_term = record_term;
		known_changing = changing;
		lease_ticks = LEASE_TICKS;
		if
		:: changing -> proxy_confirmed = true
		:: else -> skip
		fi
	   }
#ifdef MUT_GRANT_WHILE_CHANGING
	:: atomic { /* the leader extends a lease without the record */
		lease_ticks = LEASE_TICKS
	   }
#endif
	:: atomic { /* a change begins; the primary may be healthy */
		!changing && record_term < MAX_TERM ->
		changing = true;
		candidate = NONE;
		record_late_call();
		wait_ticks = LEASE_TICKS;
		proxy_confirmed = false;
		stepped_down = false
	   }
	:: atomic { /* the old primary steps down and confirms it */
		changing && !stepped_down ->
		leads[primary] = 0;
		stepped_down = NO_LATE_CALLS
	   }
	:: atomic { /* another member that believes in a lead steps down */
		changing ->
		pick_member(m);
		if
		:: m != primary && m != candidate -> leads[m] = 0
		:: else -> skip
		fi
	   }
	:: atomic { /* the old primary still leads: the change is given up */
		changing && candidate == NONE && leads[primary] != 0 &&
		record_term < MAX_TERM ->
		record_primary(primary)
	   }
	:: atomic { /* a candidate is recorded, and the promoter is called */
		changing &&
		(LEASES_OVER || stepped_down) &&
		newest_term < MAX_TERM ->
		pick_member(m);
		if
		:: MAY_CALL(m) && call_member[0] == NONE ->
			candidate = m;
			called = m;
			late_ticks = LATE_TICKS;
			call_member[0] = m;
			call_ticks[0] = LATE_TICKS
		:: MAY_CALL(m) && call_member[0] != NONE &&
		   call_member[1] == NONE ->
			candidate = m;
			called = m;
			late_ticks = LATE_TICKS;
			call_member[1] = m;
			call_ticks[1] = LATE_TICKS
		:: else -> skip
		fi
	   }
	:: atomic { /* a call is carried out; it may be carried out late */
		if
		:: i = 0
		:: i = 1
		fi;
		if
		:: call_member[i] != NONE && newest_term < MAX_TERM ->
			m = call_member[i];
			call_member[i] = NONE;
			call_ticks[i] = 0;
			if
			:: leads[m] == newest_term -> skip /* leads already */
			:: else ->
				newest_term++;
				leads[m] = newest_term
			fi
		:: else -> skip
		fi
	   }
	:: atomic { /* the leader sees that the candidate leads */
		changing && candidate != NONE && leads[candidate] != 0 &&
		record_term < MAX_TERM ->
		record_primary(candidate)
	   }
	:: atomic { /* a new leader knows only the record */
		!leader_replaced ->
		leader_replaced = true;
		proxy_confirmed = false;
		stepped_down = false;
		called = NONE;
		late_ticks = 0;
		wait_ticks = LEASE_TICKS;
	#ifdef MUT_FORGET_CANDIDATE
		candidate = NONE
#else
		if
		:: candidate != NONE -> called = candidate
		:: else -> called = late_call
		fi;
		late_ticks = (called != NONE -> LATE_TICKS : 0)
#endif
	   }
	:: atomic { /* the proxy sends a write */
		write_state == IDLE && lease_ticks > 0 && !known_changing ->
		write_state = SENT;
		write_member = known_primary;
		write_term = known_term
	   }
	:: atomic { /* the member commits it, at any later time, or refuses */
		write_state == SENT ->
		if
		:: leads[write_member] != 0 ->
			write_state = COMMITTED;
			write_stray = leads[write_member] < newest_term
		:: else -> write_state = IDLE
		fi
	   }
	:: atomic { /* the proxy acknowledges it, or reports it as unknown */
		write_state == COMMITTED ->
		if
		:: MAY_ACKNOWLEDGE ->
			assert(!write_stray); /* no_stray_ack */
			write_state = IDLE
		:: !MAY_ACKNOWLEDGE && known_term != write_term ->
			write_state = IDLE
		:: else -> skip
		fi
	   }
	od
}
