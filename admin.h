#ifndef ADMIN_H
#define ADMIN_H

/*
 * Runs the commands of the admin database "marjoramlatch", to which operators
 * and backend servers connect with the PostgreSQL protocol. Section 13 of
 * docs/design.md lists the commands:
 *
 *  - SHOW prints a table with the state of the system. Operators only.
 *  - APPLY puts new lists in force. Operators only.
 *  - ANNOUNCE makes a backend server known to the proxies. Backends only.
 *  - LEAVE takes a backend server out of use.
 *
 * SHOW STATUS, SHOW LOG and APPLY are forwarded to the control leader, which
 * answers them; this proxy answers everything else. Answers are PostgreSQL
 * messages up to and including CommandComplete or ErrorResponse; the caller's
 * connection adds ReadyForQuery. Names of this module start with "adm".
 */

#include "msg.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct adm;
struct buf;
struct exec;
struct settings;
struct uplink;
struct view;

/* Who is logged in: an operator, or a backend server that announces itself. */
enum adm_login_role { ADM_LOGIN_OPERATOR, ADM_LOGIN_BACKEND };

/* The modules of the proxy that commands read and change. None is owned. */
struct adm_config {
	const struct settings *set;
	struct view *view;
	struct exec *exec;
	struct uplink *up;
};

/* Where the answer of a command goes. */
struct adm_answer_handler {
	void *arg;
	/* Called once with the complete answer, and never after
	 * adm_abandon(). */
	void (*on_answer)(void *arg, const char *bytes, size_t len);
};

struct adm *adm_new(const struct adm_config *cfg);
void adm_free(struct adm *a);

/*
 * Runs one command. Returns 0 if on_answer was called before the return, or
 * else an id for adm_abandon().
 */
int64_t adm_run(struct adm *a, enum adm_login_role user, const char *sql,
		const struct adm_answer_handler *sink);

/* Drops a request that was forwarded to control: its answer is ignored. */
void adm_abandon(struct adm *a, int64_t id);

/* For admin.c: appends the column descriptions and rows of a table that this
 * proxy answers; false if there is no such table. */
bool adm_append_table(const struct adm_config *cfg, const char *what,
		      struct buf *out);

#endif
