#include "settings.h"
#include "json.h"
#include "log.h"

#include <arpa/inet.h>
#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

enum {
	SETTINGS_MIN_KEY_LEN = 16, /* bytes of the shared secret */
	SETTINGS_MIN_SECRET_LEN = 8, /* bytes of a password */
	SETTINGS_MAX_DURATION_MS = 600000,
	SETTINGS_MAX_CALLERS = 1000000,
	SETTINGS_MAX_RATE_EXCESS = 10, /* times the limit */
	SETTINGS_MAX_RATE_SLACK = 1000000
};

enum res settings_check_addr(const char *addr, const char *key, struct err *e)
{
	char host[ADDR_LEN];
	struct in_addr ip;
	const char *colon = strrchr(addr, ':');
	char *end;
	long port;

	if (!colon || (size_t)(colon - addr) >= sizeof(host))
		goto bad;
	memcpy(host, addr, (size_t)(colon - addr));
	host[colon - addr] = '\0';
	if (inet_pton(AF_INET, host, &ip) != 1)
		goto bad;
	port = strtol(colon + 1, &end, 10);
	if (colon[1] >= '0' && colon[1] <= '9' && !*end && port >= 0 &&
	    port <= 65535)
		return RES_OK;
bad:
	return err_set(e, RES_BAD_LIST,
		       "%s: found \"%s\", expected \"ip:port\" with an IPv4 "
		       "address and a port from 0 to 65535",
		       key, addr);
}

enum res settings_check_peer_addr(const char *addr, const char *key,
				  struct err *e)
{
	static const char any[] = "0.0.0.0:";

	if (settings_check_addr(addr, key, e))
		return RES_BAD_LIST;
	if (strtol(strrchr(addr, ':') + 1, NULL, 10) > 0 &&
	    strncmp(addr, any, strlen(any)) != 0)
		return RES_OK;
	return err_set(e, RES_BAD_LIST,
		       "%s: found \"%s\", expected an address to connect to",
		       key, addr);
}

static enum res settings_parse_addr(const struct js_node *n, const char *key,
				    char *out, struct err *e)
{
	if (js_get_string(n, key, out, ADDR_LEN, e))
		return RES_BAD_LIST;
	if (js_has_key(n, key) && settings_check_addr(out, key, NULL))
		return js_fail_key(n, key, e,
				   "found \"%s\", expected \"ip:port\" with an "
				   "IPv4 address and a port from 0 to 65535",
				   out);
	return RES_OK;
}

static void settings_set_defaults(struct settings *s)
{
	*s = (struct settings){
		.log_level = "info",
		.scheduling = SETTINGS_SCHEDULING_OWNER,
		.admission = true,
		.short_first = true,
		.max_callers = 10000,
		.ask_ms = 400,
		.lease_ms = 1000,
		.grant_ms = 2000,
		.poll_ms = 100,
		.suspect_ms = 500,
		/* Together with the ask interval of 400 ms it takes 2600 ms
		 * from a backend's last announcement until it counts as
		 * silent. No new work may start on it after 3 s. */
		.silent_ms = 2200,
		.heartbeat_ms = 100,
		.election_min_ms = 500,
		.stop_ms = 5000,
		.txn_idle_ms = 5000,
		.replace_ms = SETTINGS_REPLACE_MS,
		.promoter_deposes = true,
	};
}

static const char *const set_keys[] = {"id",
				       "zone",
				       "link",
				       "link_advertise",
				       "listen",
				       "data",
				       "key_file",
				       "log_level",
				       "controls",
				       "operator_password",
				       "backend_password",
				       "scheduling",
				       "admission",
				       "short_first",
				       "max_callers",
				       "ask_ms",
				       "lease_ms",
				       "grant_ms",
				       "poll_ms",
				       "suspect_ms",
				       "silent_ms",
				       "heartbeat_ms",
				       "election_min_ms",
				       "stop_ms",
				       "txn_idle_ms",
				       "seed",
				       "protocol",
				       "seeds",
				       "bootstrap",
				       "name",
				       "ready",
				       "control_api",
				       "promoter",
				       "metrics",
				       "key",
				       "replace_ms",
				       "promoter_deposes",
				       "key_lease_ms",
				       "rate_window_ms",
				       "rate_excess",
				       "rate_slack",
				       "pacing",
				       NULL};

/* Protocol that decides which keys are required. An unknown one counts as
 * PostgreSQL here; settings_parse_options() reports it as an error. */
static enum settings_protocol settings_peek_protocol(const struct js_node *n)
{
	char text[ID_LEN] = "";
	struct err ignored = ERR_INIT;

	js_get_string(n, "protocol", text, sizeof(text), &ignored);
	return !strcmp(text, "line") ? SETTINGS_PROTOCOL_LINE
				     : SETTINGS_PROTOCOL_POSTGRES;
}

static enum res settings_check_required(const struct js_node *n,
					enum settings_role role, struct err *e)
{
	static const char *const both[] = {"id",       "zone",
					   "link",     "key_file",
					   "controls", "backend_password",
					   NULL};
	static const char *const proxy[] = {"listen", "operator_password",
					    NULL};
	static const char *const control[] = {"data", NULL};
	static const char *const line[] = {"id",    "zone", "link",
					   "seeds", "key",  NULL};
	static const char *const line_proxy[] = {"listen", "ready", NULL};
	static const char *const line_control[] = {"data", "control_api",
						   "promoter", NULL};
	bool is_line = settings_peek_protocol(n) == SETTINGS_PROTOCOL_LINE;
	const char *const *role_keys = is_line ? line_control : control;

	if (role == SETTINGS_ROLE_PROXY)
		role_keys = is_line ? line_proxy : proxy;
	for (const char *const *k = is_line ? line : both; *k; k++)
		if (js_require_key(n, *k, e))
			return RES_BAD_LIST;
	for (const char *const *k = role_keys; *k; k++)
		if (js_require_key(n, *k, e))
			return RES_BAD_LIST;
	return RES_OK;
}

static enum res settings_parse_control(struct settings *s,
				       const struct js_node *list, size_t i,
				       struct err *e)
{
	static const char *const keys[] = {"id", "addr", NULL};
	struct settings_control *c = &s->controls[i];
	struct js_node n;

	if (js_get_object_at(list, i, &n, e) || js_check_keys(&n, keys, e) ||
	    js_require_key(&n, "id", e) || js_require_key(&n, "addr", e) ||
	    js_get_name(&n, "id", c->id, sizeof(c->id), e) ||
	    settings_parse_addr(&n, "addr", c->addr, e))
		return RES_BAD_LIST;
	for (size_t j = 0; j < i; j++) {
		if (!strcmp(s->controls[j].id, c->id))
			return js_fail_key(
				&n, "id", e,
				"\"%s\" is listed twice, expected each "
				"control instance once",
				c->id);
		if (!strcmp(s->controls[j].addr, c->addr))
			return js_fail_key(
				&n, "addr", e,
				"\"%s\" is listed twice, expected each "
				"address once",
				c->addr);
	}
	return RES_OK;
}

static enum res settings_parse_controls(struct settings *s,
					const struct js_node *n,
					enum settings_role role, struct err *e)
{
	struct js_node list;
	size_t len;
	bool self = role != SETTINGS_ROLE_CONTROL;

	if (js_has_key(n, "seeds"))
		return RES_OK;
	if (js_get_array(n, "controls", &list, SETTINGS_MAX_CONTROLS, &len, e))
		return RES_BAD_LIST;
	if (!len)
		return js_fail_key(n, "controls", e,
				   "found no entry, expected 1 to %d",
				   SETTINGS_MAX_CONTROLS);
	for (size_t i = 0; i < len; i++) {
		if (settings_parse_control(s, &list, i, e))
			return RES_BAD_LIST;
		self |= !strcmp(s->controls[i].id, s->id);
	}
	s->ncontrols = (int64_t)len;
	if (!self)
		return js_fail_key(n, "controls", e,
				   "the own id \"%s\" is missing from the list",
				   s->id);
	return RES_OK;
}

/*
 * A seed is the HTTP address of a control instance. The instance's id is its
 * IP address, and its link has the same port as the link of this instance.
 */
static enum res settings_parse_seeds(struct settings *s,
				     const struct js_node *n, struct err *e)
{
	struct js_node list;
	size_t len;

	s->controls_from_seeds = js_has_key(n, "seeds");
	s->link_port = strtol(strrchr(s->link, ':') + 1, NULL, 10);
	if (!s->controls_from_seeds)
		return RES_OK;
	if (js_get_array(n, "seeds", &list, SETTINGS_MAX_CONTROLS, &len, e))
		return RES_BAD_LIST;
	for (size_t i = 0; i < len; i++) {
		struct settings_control *c = &s->controls[i];
		char addr[ADDR_LEN];

		if (js_get_string_at(&list, i, addr, sizeof(addr), e))
			return RES_BAD_LIST;
		if (settings_check_addr(addr, "seeds", e))
			return RES_BAD_LIST;
		*strrchr(addr, ':') = '\0';
		snprintf(c->id, sizeof(c->id), "%.*s", ID_LEN - 1, addr);
		settings_control_addr(s, c->id, c->addr);
	}
	s->ncontrols = (int64_t)len;
	if (!len)
		return js_fail_key(n, "seeds", e, "found no entry");
	return RES_OK;
}

void settings_control_addr(const struct settings *s, const char *id, char *addr)
{
	snprintf(addr, ADDR_LEN, "%.*s:%lld", ID_LEN - 1, id,
		 (long long)s->link_port);
}

static enum res settings_parse_secret(const struct js_node *n, const char *key,
				      char *out, struct err *e)
{
	if (js_get_string(n, key, out, SETTINGS_SECRET_LEN, e))
		return RES_BAD_LIST;
	if (js_has_key(n, key) && strlen(out) < SETTINGS_MIN_SECRET_LEN)
		return js_fail_key(n, key, e,
				   "found %zu bytes, expected at least %d",
				   strlen(out), SETTINGS_MIN_SECRET_LEN);
	return RES_OK;
}

static enum res settings_parse_strings(struct settings *s,
				       const struct js_node *n, struct err *e)
{
	if (js_get_name(n, "id", s->id, sizeof(s->id), e) ||
	    js_get_name(n, "zone", s->zone, sizeof(s->zone), e) ||
	    settings_parse_addr(n, "link", s->link, e) ||
	    settings_parse_addr(n, "link_advertise", s->link_advertise, e) ||
	    settings_parse_addr(n, "listen", s->listen, e) ||
	    settings_parse_addr(n, "ready", s->ready, e) ||
	    settings_parse_addr(n, "control_api", s->control_api, e) ||
	    settings_parse_addr(n, "promoter", s->promoter, e) ||
	    settings_parse_addr(n, "metrics", s->metrics, e) ||
	    js_get_string(n, "name", s->name, sizeof(s->name), e) ||
	    js_get_string(n, "data", s->data, sizeof(s->data), e) ||
	    js_get_string(n, "key_file", s->key_file, sizeof(s->key_file), e) ||
	    js_get_name(n, "log_level", s->log_level, sizeof(s->log_level),
			e) ||
	    settings_parse_secret(n, "operator_password", s->operator_password,
				  e) ||
	    settings_parse_secret(n, "backend_password", s->backend_password,
				  e))
		return RES_BAD_LIST;
	if (log_parse_level(s->log_level) < 0)
		return js_fail_key(
			n, "log_level", e,
			"found \"%s\", expected \"error\", \"warning\", "
			"\"info\" or \"debug\"",
			s->log_level);
	return RES_OK;
}

static enum res settings_parse_numbers(struct settings *s,
				       const struct js_node *n, struct err *e)
{
	const struct {
		const char *key;
		clk_ms *value;
		int64_t min;
	} times[] = {
		{"ask_ms", &s->ask_ms, 10},
		{"lease_ms", &s->lease_ms, 50},
		{"grant_ms", &s->grant_ms, 50},
		{"poll_ms", &s->poll_ms, 10},
		{"suspect_ms", &s->suspect_ms, 50},
		{"silent_ms", &s->silent_ms, 100},
		{"heartbeat_ms", &s->heartbeat_ms, 5},
		{"election_min_ms", &s->election_min_ms, 20},
		{"stop_ms", &s->stop_ms, 0},
		{"txn_idle_ms", &s->txn_idle_ms, 100},
		{"replace_ms", &s->replace_ms, 0},
		{"key_lease_ms", &s->key_lease_ms, 0},
		{"rate_window_ms", &s->rate_window_ms, 0},
	};

	for (size_t i = 0; i < sizeof(times) / sizeof(times[0]); i++)
		if (js_get_int(n, times[i].key, times[i].value, times[i].min,
			       SETTINGS_MAX_DURATION_MS, "ms", e))
			return RES_BAD_LIST;
	if (js_get_int(n, "max_callers", &s->max_callers, 1,
		       SETTINGS_MAX_CALLERS, "connections", e))
		return RES_BAD_LIST;
	return js_get_int(n, "seed", &s->seed, 0, INT64_MAX - 1, "", e);
}

static enum res settings_parse_options(struct settings *s,
				       const struct js_node *n, struct err *e)
{
	static const char *const names[] = {"owner", "pools", NULL};
	static const char *const protocols[] = {"postgres", "line", NULL};
	int choice = s->scheduling;
	int protocol = s->protocol;

	if (js_get_choice(n, "protocol", protocols, &protocol, e) ||
	    js_get_bool(n, "bootstrap", &s->bootstrap, e) ||
	    js_get_bool(n, "promoter_deposes", &s->promoter_deposes, e) ||
	    js_get_choice(n, "scheduling", names, &choice, e) ||
	    js_get_number(n, "rate_excess", &s->rate_excess, 0,
			  SETTINGS_MAX_RATE_EXCESS, e) ||
	    js_get_int(n, "rate_slack", &s->rate_slack, 0,
		       SETTINGS_MAX_RATE_SLACK, "operations", e) ||
	    js_get_bool(n, "pacing", &s->pacing, e) ||
	    js_get_bool(n, "admission", &s->admission, e) ||
	    js_get_bool(n, "short_first", &s->short_first, e))
		return RES_BAD_LIST;
	s->scheduling = (enum settings_scheduling)choice;
	s->protocol = (enum settings_protocol)protocol;
	return RES_OK;
}

/* Checks the bounds that durations set for each other. */
static enum res settings_check_relations(const struct settings *s,
					 const struct js_node *n, struct err *e)
{
	/* One lost request to control must not end a lease. */
	if (s->lease_ms < 2 * s->ask_ms)
		return js_fail_key(
			n, "lease_ms", e,
			"found %lld ms, expected at least twice ask_ms "
			"(%lld ms)",
			(long long)s->lease_ms, (long long)s->ask_ms);
	if (s->grant_ms < s->lease_ms)
		return js_fail_key(n, "grant_ms", e,
				   "found %lld ms, expected at least lease_ms "
				   "(%lld ms)",
				   (long long)s->grant_ms,
				   (long long)s->lease_ms);
	if (s->suspect_ms < 2 * s->poll_ms)
		return js_fail_key(
			n, "suspect_ms", e,
			"found %lld ms, expected at least twice poll_ms "
			"(%lld ms)",
			(long long)s->suspect_ms, (long long)s->poll_ms);
	if (s->election_min_ms < 2 * s->heartbeat_ms)
		return js_fail_key(n, "election_min_ms", e,
				   "found %lld ms, expected at least twice "
				   "heartbeat_ms (%lld ms)",
				   (long long)s->election_min_ms,
				   (long long)s->heartbeat_ms);
	return RES_OK;
}

static enum res settings_derive_key(struct settings *s, const struct js_node *n,
				    struct err *e)
{
	char text[SETTINGS_SECRET_LEN] = "";

	if (js_get_string(n, "key", text, sizeof(text), e))
		return RES_BAD_LIST;
	if (strlen(text) < SETTINGS_MIN_KEY_LEN)
		return js_fail_key(n, "key", e,
				   "found %zu bytes, expected at least %d",
				   strlen(text), SETTINGS_MIN_KEY_LEN);
	crypto_generichash(s->key, sizeof(s->key), (unsigned char *)text,
			   strlen(text), NULL, 0);
	return RES_OK;
}

static enum res settings_read_key_file(struct settings *s,
				       const struct js_node *n, struct err *e)
{
	struct stat st;
	size_t len;
	char *mem;

	if (stat(s->key_file, &st))
		return js_fail_key(n, "key_file", e, "%s: %s", s->key_file,
				   strerror(errno));
	if (st.st_mode & (S_IROTH | S_IWOTH))
		return js_fail_key(n, "key_file", e,
				   "%s has mode %04o, expected one that others "
				   "can't read or write (0600)",
				   s->key_file, (unsigned)(st.st_mode & 07777));
	mem = js_read_file(s->key_file, &len, e);
	if (!mem)
		return RES_IO;
	if (len >= SETTINGS_MIN_KEY_LEN)
		crypto_generichash(s->key, sizeof(s->key), (unsigned char *)mem,
				   len, NULL, 0);
	sodium_memzero(mem, len);
	free(mem);
	if (len < SETTINGS_MIN_KEY_LEN)
		return js_fail_key(n, "key_file", e,
				   "%s holds %zu bytes, expected at least %d",
				   s->key_file, len, SETTINGS_MIN_KEY_LEN);
	return RES_OK;
}

static enum res settings_parse(struct settings *s, struct js_doc *d,
			       enum settings_role role, struct err *e)
{
	struct js_node n;

	if (js_get_root(d, &n, e) || js_check_keys(&n, set_keys, e) ||
	    settings_check_required(&n, role, e) ||
	    settings_parse_strings(s, &n, e) ||
	    settings_parse_numbers(s, &n, e) ||
	    settings_parse_options(s, &n, e) ||
	    settings_check_relations(s, &n, e) ||
	    settings_parse_controls(s, &n, role, e) ||
	    settings_parse_seeds(s, &n, e))
		return RES_BAD_LIST;
	if (!s->name[0])
		memcpy(s->name, s->id, ID_LEN);
	return js_has_key(&n, "key") ? settings_derive_key(s, &n, e)
				     : settings_read_key_file(s, &n, e);
}

enum res settings_load(struct settings *s, const char *path,
		       enum settings_role role, struct err *e)
{
	struct err local = ERR_INIT;
	struct js_doc *d;
	enum res r;

	settings_set_defaults(s);
	if (sodium_init() < 0)
		return err_set(e, RES_INTERNAL,
			       "libsodium could not be initialised");
	d = js_parse_file(path, &local);
	if (!d)
		return err_set(e, local.code, "%s", local.text);
	r = settings_parse(s, d, role, e);
	js_free_doc(d);
	if (!s->link_advertise[0])
		memcpy(s->link_advertise, s->link, sizeof(s->link));
	return r;
}
