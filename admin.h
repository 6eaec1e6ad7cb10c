#ifndef ADMIN_H
#define ADMIN_H

/*
 * The admin database "marjoramlatch", as section 13 of the design lists its
 * commands. Answers are PostgreSQL messages up to and including CommandComplete
 * or ErrorResponse; the caller's connection adds ReadyForQuery.
 *
 * SHOW STATUS and SHOW LOG are answered by the control leader, as is APPLY;
 * everything else by this proxy.
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

enum adm_user { ADM_OPERATOR, ADM_BACKEND };

struct adm_config {
	const struct settings *set;
	struct view *view;
	struct exec *exec;
	struct uplink *up;
};

struct adm_sink {
	void *arg;
	/* The complete answer; called once, never after adm_abandon(). */
	void (*on_answer)(void *arg, const char *bytes, size_t len);
};

struct adm *adm_new(const struct adm_config *cfg);
void adm_free(struct adm *a);

/*
 * Runs one command. Returns 0 if on_answer was called from inside, or else an
 * id for adm_abandon().
 */
int64_t adm_run(struct adm *a, enum adm_user user, const char *sql,
		const struct adm_sink *sink);
void adm_abandon(struct adm *a, int64_t id);

/* For admin.c: appends rows with their description to out; false if there is
 * no such table. */
bool adm_show(const struct adm_config *cfg, const char *what, struct buf *out);

#endif
