#include "backend.h"

#include <libpq-fe.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"

enum {
	ANNOUNCE_MS = 500,
	ANSWER_MS = 400, /* until the next entry instance is tried */
	MAX_ENTRIES = 32
};

static char entries[MAX_ENTRIES][ADDR_LEN];
static int nentries;
static int current;
static struct client *client;
static ev_timer tick;
static bool leave_sent;
static bool left;

static void send_text(void)
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
	send_text();
}

static void connect_next(void);

static void move_on(const char *reason)
{
	log_warn("announce", "entry=%s failed error=\"%s\"", entries[current],
		 reason);
	client_free(client);
	client = NULL;
	leave_sent = false;
	current = (current + 1) % nentries;
	/* After a whole round the next attempt waits for the tick. */
	if (current)
		connect_next();
}

static void on_result(void *arg, PGresult *r)
{
	(void)arg;
	if (PQresultStatus(r) == PGRES_FATAL_ERROR) {
		move_on(PQresultErrorMessage(r));
		return;
	}
	if (leave_sent)
		left = true;
	else if (be.stopping)
		send_text();
}

static void on_down(void *arg, const char *reason)
{
	(void)arg;
	move_on(reason);
}

static void connect_next(void)
{
	struct client_handler h = {
		.on_up = on_up,
		.on_result = on_result,
		.on_down = on_down,
	};

	client = client_open(entries[current], "backend",
			     be.opt.announce_password, ANSWER_MS, &h);
}

static void on_tick(struct ev_loop *loop, ev_timer *t, int events)
{
	(void)loop;
	(void)t;
	(void)events;
	if (left)
		return;
	if (!client)
		connect_next();
	else if (client_idle(client))
		send_text();
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
		left = true;
		return;
	}
	ev_timer_init(&tick, on_tick, 0, ANNOUNCE_MS / 1000.0);
	ev_timer_start(be.loop, &tick);
}

void announce_leave(void)
{
	if (client && client_idle(client))
		send_text();
}

bool announce_left(void)
{
	return left;
}
