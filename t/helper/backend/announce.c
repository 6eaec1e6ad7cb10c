#include "backend.h"

#include <libpq-fe.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"

enum {
	ANNOUNCE_MS = 500,
	ANSWER_TIMEOUT_MS = 400, /* then tries the next instance */
	MAX_ENTRIES = 32
};

static char entries[MAX_ENTRIES][ADDR_LEN];
static int nentries;
static int current_entry;
static struct client *client;
static ev_timer announce_timer;
static bool leave_sent;
static bool leave_answered;

static void send_announcement(void)
{
	char sql[512];

	if (be.stopping) {
		snprintf(sql, sizeof(sql), "LEAVE '%s' '%s'", be.opt.group,
			 be.opt.id);
		leave_sent = true;
	} else {
		snprintf(sql, sizeof(sql),
			 "ANNOUNCE '%s' '%s' '%s' '%s' %lld %d %d",
			 be.opt.group, be.opt.id, be.opt.advertise, be.opt.zone,
			 (long long)be.m.incarnation, be.opt.slots,
			 be.opt.connections);
	}
	client_query(client, sql);
}

static void on_up(void *arg)
{
	(void)arg;
	send_announcement();
}

static void connect_next(void);

static void try_next_entry(const char *reason)
{
	log_warn("announce", "entry=%s failed error=\"%s\"",
		 entries[current_entry], reason);
	client_free(client);
	client = NULL;
	leave_sent = false;
	current_entry = (current_entry + 1) % nentries;
	/* When all entry instances have failed, the next attempt waits for the
	 * timer. */
	if (current_entry)
		connect_next();
}

static void on_result(void *arg, PGresult *r)
{
	(void)arg;
	if (PQresultStatus(r) == PGRES_FATAL_ERROR) {
		try_next_entry(PQresultErrorMessage(r));
		return;
	}
	if (leave_sent)
		leave_answered = true;
	else if (be.stopping)
		send_announcement();
}

static void on_down(void *arg, const char *reason)
{
	(void)arg;
	try_next_entry(reason);
}

static void connect_next(void)
{
	struct client_handler h = {
		.on_up = on_up,
		.on_result = on_result,
		.on_down = on_down,
	};

	client = client_open(entries[current_entry], "backend",
			     be.opt.announce_password, ANSWER_TIMEOUT_MS, &h);
}

static void on_announce_timer(struct ev_loop *loop, ev_timer *t, int events)
{
	(void)loop;
	(void)t;
	(void)events;
	if (leave_answered)
		return;
	if (!client)
		connect_next();
	else if (client_idle(client))
		send_announcement();
}

void announce_init(void)
{
	char *list = be.opt.announce;
	char *save;
	char *p;

	for (p = strtok_r(list, ",", &save); p && nentries < MAX_ENTRIES;
	     p = strtok_r(NULL, ",", &save))
		snprintf(entries[nentries++], ADDR_LEN, "%s", p);
	if (!nentries) {
		leave_answered = true;
		return;
	}
	ev_timer_init(&announce_timer, on_announce_timer, 0,
		      ANNOUNCE_MS / 1000.0);
	ev_timer_start(be.loop, &announce_timer);
}

void announce_leave(void)
{
	if (client && client_idle(client))
		send_announcement();
}

bool announce_left(void)
{
	return leave_answered;
}
