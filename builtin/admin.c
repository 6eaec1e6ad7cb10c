#include "buf.h"
#include "builtin.h"
#include "settings.h"

#include <inttypes.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum { ADMIN_TIMEOUT_MS = 10000, ADMIN_POLL_MS = 100 };

struct arg_str *admin_arg_to(void)
{
	return arg_strn(NULL, "to", "IP:PORT", 1, CMD_MAX_PROXIES,
			"proxy to ask; repeat it to name others to try next");
}

struct arg_file *admin_arg_password(void)
{
	return arg_file0(NULL, "password-file", "FILE",
			 "operator password (else MARJORAMLATCH_PASSWORD)");
}

enum res admin_init(struct admin_client *a, const struct arg_str *to,
		    const struct arg_file *password, struct err *e)
{
	const char *env = getenv("MARJORAMLATCH_PASSWORD");

	*a = (struct admin_client){.nproxies = to->count};
	for (int i = 0; i < to->count; i++) {
		a->proxies[i] = to->sval[i];
		if (settings_check_addr(a->proxies[i], "--to", e))
			return RES_BAD_LIST;
	}
	if (password->count)
		return cmd_read_password(password->filename[0], a->password,
					 sizeof(a->password), e);
	if (!env || !*env || strlen(env) >= sizeof(a->password))
		return err_set(e, RES_AUTH,
			       "no operator password: give --password-file or "
			       "set MARJORAMLATCH_PASSWORD");
	strcpy(a->password, env);
	return RES_OK;
}

static PGconn *admin_connect(const struct admin_client *a, const char *addr)
{
	static const char *const keys[] = {"hostaddr",	 "port",
					   "user",	 "dbname",
					   "password",	 "sslmode",
					   "gssencmode", "connect_timeout",
					   "options",	 "application_name",
					   NULL};
	char host[ADDR_LEN];
	char *port;
	const char *values[] = {host,	     NULL,
				"operator",  "marjoramlatch",
				a->password, "disable",
				"disable",   "3",
				"",	     "marjoramlatch",
				NULL};

	snprintf(host, sizeof(host), "%s", addr);
	port = strrchr(host, ':');
	*port = '\0';
	values[1] = port + 1;
	return PQconnectdbParams(keys, values, 0);
}

/* Waits for input; returns false once the deadline has passed. */
static bool admin_wait(PGconn *c, clk_ms deadline)
{
	struct pollfd p = {.fd = PQsocket(c), .events = POLLIN};
	clk_ms left = deadline - clk_now();

	return left > 0 && poll(&p, 1, (int)left) > 0;
}

/*
 * Returns the last result of the statement that was sent, or NULL if the
 * connection failed or the deadline passed.
 */
static PGresult *admin_read_answer(PGconn *c, clk_ms deadline)
{
	PGresult *last = NULL;
	PGresult *r;

	for (;;) {
		while (PQisBusy(c)) {
			if (!admin_wait(c, deadline) || !PQconsumeInput(c)) {
				PQclear(last);
				return NULL;
			}
		}
		r = PQgetResult(c);
		if (!r)
			break;
		PQclear(last);
		last = r;
	}
	if (PQstatus(c) == CONNECTION_OK)
		return last;
	PQclear(last);
	return NULL;
}

/* Sets e to the first line of libpq's message. */
static enum res admin_connect_error(struct err *e, const char *addr,
				    const char *text)
{
	int len = (int)strcspn(text, "\n");

	return err_set(e, RES_UNREACHABLE, "%s: %.*s", addr, len, text);
}

/*
 * When a proxy refuses the connection, the next one is tried: a wrong password
 * is refused by all proxies, but a refusal because a proxy is stopping or full
 * concerns that proxy alone.
 */
enum admin_outcome admin_try(struct admin_client *a, const char *sql,
			     clk_ms timeout, PGresult **out, struct err *e)
{
	*out = NULL;
	for (int i = 0; i < a->nproxies; i++) {
		int index = (a->first_to_try + i) % a->nproxies;
		const char *addr = a->proxies[index];
		PGconn *c = admin_connect(a, addr);

		if (PQstatus(c) != CONNECTION_OK) {
			admin_connect_error(e, addr, PQerrorMessage(c));
			PQfinish(c);
			continue;
		}
		a->first_to_try = index;
		if (PQsendQuery(c, sql))
			*out = admin_read_answer(c, clk_now() + timeout);
		if (!*out)
			err_set(e, RES_UNKNOWN, "%s: the answer was lost",
				addr);
		PQfinish(c);
		if (*out)
			return ADMIN_ANSWERED;
		a->first_to_try = (index + 1) % a->nproxies;
		return ADMIN_ANSWER_LOST;
	}
	return ADMIN_NOT_SENT;
}

PGresult *admin_query(struct admin_client *a, const char *sql, struct err *e)
{
	PGresult *r = NULL;

	/*
	 * Makes up to nproxies tries; after a lost answer, admin_try() starts
	 * with the next proxy.
	 */
	for (int i = 0; i < a->nproxies && !r; i++)
		if (admin_try(a, sql, ADMIN_TIMEOUT_MS, &r, e) ==
		    ADMIN_NOT_SENT)
			return NULL;
	if (!r || PQresultStatus(r) == PGRES_TUPLES_OK)
		return r;
	err_set(e, RES_SQL_ERROR, "%s: %s (SQLSTATE %s)",
		a->proxies[a->first_to_try],
		PQresultErrorField(r, PG_DIAG_MESSAGE_PRIMARY),
		PQresultErrorField(r, PG_DIAG_SQLSTATE));
	PQclear(r);
	return NULL;
}

int admin_column(const PGresult *r, const char *names)
{
	char name[ID_LEN];

	while (*names) {
		size_t len = strcspn(names, "|");
		int i;

		snprintf(name, sizeof(name), "%.*s", (int)len, names);
		i = PQfnumber(r, name);
		if (i >= 0)
			return i;
		names += len + (names[len] == '|');
	}
	return -1;
}

const char *admin_value(const PGresult *r, int row, const char *names)
{
	int i = admin_column(r, names);

	return i < 0 || row >= PQntuples(r) ? "" : PQgetvalue(r, row, i);
}

/* Text of a cell: wall-clock times are shown as dates, all else as it is. */
static const char *admin_cell(const PGresult *r, int row, int col, char *out,
			      size_t size)
{
	const char *v = PQgetvalue(r, row, col);
	long long ms = strtoll(v, NULL, 10);
	time_t s = (time_t)(ms / 1000);
	struct tm tm;

	if (strcmp(PQfname(r, col), "at_ms") != 0 || ms <= 0 ||
	    !gmtime_r(&s, &tm))
		return v;
	strftime(out, size, "%Y-%m-%dT%H:%M:%SZ", &tm);
	return out;
}

static int admin_width(const PGresult *r, int col)
{
	int width = (int)strlen(PQfname(r, col));
	char text[32];

	for (int row = 0; row < PQntuples(r); row++) {
		int n = (int)strlen(
			admin_cell(r, row, col, text, sizeof(text)));

		if (n > width)
			width = n;
	}
	return width;
}

/* Prints one row; row -1 is the table's header. */
static void admin_print_row(const PGresult *r, int row, const int *widths)
{
	int cols = PQnfields(r);
	char text[32];

	for (int col = 0; col < cols; col++) {
		const char *v = PQfname(r, col);

		if (row >= 0)
			v = admin_cell(r, row, col, text, sizeof(text));
		else if (!strcmp(v, "at_ms"))
			v = "at";
		if (col + 1 < cols)
			printf("%-*s  ", widths[col], v);
		else
			printf("%s\n", v);
	}
}

void admin_print(const PGresult *r)
{
	int cols = PQnfields(r);
	int *widths = calloc((size_t)cols + 1, sizeof(*widths));

	if (!widths)
		abort();
	for (int col = 0; col < cols; col++)
		widths[col] = admin_width(r, col);
	for (int row = -1; row < PQntuples(r); row++)
		admin_print_row(r, row, widths);
	free(widths);
}

/* Reads the newest version that control accepted, 0 before the first. */
static enum res admin_newest_version(struct admin_client *a, int64_t *version,
				     struct err *e)
{
	PGresult *r = admin_query(a, "SHOW LOG", e);

	*version = 0;
	if (!r)
		return e->code;
	for (int i = 0; i < PQntuples(r); i++) {
		int64_t v = strtoll(admin_value(r, i, "version"), NULL, 10);

		if (v > *version)
			*version = v;
	}
	PQclear(r);
	return RES_OK;
}

static void admin_wait_for_poll(void)
{
	struct timespec ts = {.tv_nsec = ADMIN_POLL_MS * 1000000L};

	nanosleep(&ts, NULL);
}

/*
 * A proxy receives new lists shortly after control has accepted them. A change
 * based on the proxy's older lists would be refused, so it is polled until it
 * has the newest accepted version.
 */
enum res admin_read_lists(struct admin_client *a, int64_t *version,
			  struct lists **lists, struct err *e)
{
	clk_ms deadline = clk_now() + ADMIN_TIMEOUT_MS;
	int64_t newest_version;

	*version = 0;
	*lists = NULL;
	if (admin_newest_version(a, &newest_version, e))
		return e->code;
	for (;;) {
		PGresult *r = admin_query(a, "SHOW CONFIG", e);
		const char *text;

		if (!r)
			return e->code;
		text = admin_value(r, 0, "lists");
		*version = strtoll(admin_value(r, 0, "version"), NULL, 10);
		if (*version >= newest_version && *text)
			*lists = lst_parse(text, strlen(text), *version, e);
		PQclear(r);
		if (*version >= newest_version)
			break;
		if (clk_now() >= deadline)
			return err_set(e, RES_TIMEOUT,
				       "%s has version %" PRId64 " in force, "
				       "but %" PRId64 " was accepted",
				       a->proxies[a->first_to_try], *version,
				       newest_version);
		admin_wait_for_poll();
	}
	return !*version || *lists ? RES_OK : RES_BAD_LIST;
}
