#ifndef SETTINGS_H
#define SETTINGS_H

/*
 * Settings of one proxy or control process, read from a JSON file with
 * comments. Fields that hold the value of a key have its name.
 *
 * settings_load() reads, checks and completes them with defaults. It refuses
 * unknown keys, wrong types and values out of range; the error names the file,
 * the key and what was expected. docs/OPERATIONS.md lists the keys with their
 * units and defaults. The settings are read at start; daemon.h tells what
 * reading them again changes. Names of this module start with
 * settings_.
 */

#include "clock.h"
#include "cluster.h"
#include "error.h"

#include <stdint.h>

enum {
	SETTINGS_MAX_CONTROLS = 9, /* control instances in one file */
	SETTINGS_PATH_LEN = 256, /* bytes of a path, with the final zero */
	SETTINGS_SECRET_LEN = 64, /* bytes of a password or "key", likewise */
	SETTINGS_KEY_LEN = 32, /* bytes of the key that all instances share */
	SETTINGS_REPLACE_MS = 1000, /* default of replace_ms */
	/* How a proxy divides stop_ms: transactions may go on for stop_ms
	 * divided by the first, and the end is reserved for the answers to
	 * requests that are still under way then. */
	SETTINGS_STOP_TXN_PART = 2,
	SETTINGS_STOP_RESERVE_MS = 300
};

/* Which daemon reads the settings; the required keys depend on it. */
enum settings_role { SETTINGS_ROLE_PROXY, SETTINGS_ROLE_CONTROL };

/*
 * Which proxy runs statements on a backend server: only the one that owns the
 * backend, or every proxy on connections of its own, for which it takes an
 * equal part of the backend's connection limit.
 */
enum settings_scheduling {
	SETTINGS_SCHEDULING_OWNER,
	SETTINGS_SCHEDULING_POOLS
};

/* Protocol of the connections from callers and to backend servers. */
enum settings_protocol { SETTINGS_PROTOCOL_POSTGRES, SETTINGS_PROTOCOL_LINE };

/* A control instance and the address of its link. */
struct settings_control {
	char id[ID_LEN];
	char addr[ADDR_LEN];
};

struct settings {
	char id[ID_LEN]; /* instance id */
	char zone[ID_LEN]; /* availability zone */
	char link[ADDR_LEN]; /* "ip:port" that links listen on */
	char link_advertise[ADDR_LEN]; /* address that other processes
					* use for link; default: link */
	char listen[ADDR_LEN]; /* proxy: "ip:port" for callers */
	char data[SETTINGS_PATH_LEN]; /* folder for stored data; required
				       * for control */
	char key_file[SETTINGS_PATH_LEN]; /* file with the shared secret */
	unsigned char key[SETTINGS_KEY_LEN]; /* hash of key_file's content, or
					      * of the text under "key" */
	char log_level[ID_LEN];
	struct settings_control controls[SETTINGS_MAX_CONTROLS];
	int64_t ncontrols;
	char operator_password[SETTINGS_SECRET_LEN]; /* admin database */
	char backend_password[SETTINGS_SECRET_LEN]; /* backends announce
						     * themselves with it; also
						     * of the user marjoramlatch
						     * on the backends */
	enum settings_scheduling scheduling;
	bool admission; /* false: no admission control, for comparison */
	bool short_first; /* statements of low cost run first; false: first
			   * come, first served */
	int64_t max_callers; /* client connections of a proxy */
	clk_ms ask_ms; /* interval of the proxies' requests (MSG_ASK) to
			* control, which are also their heartbeat */
	clk_ms lease_ms; /* duration of a proxy's lease */
	clk_ms grant_ms; /* duration of a quota grant */
	clk_ms poll_ms; /* interval of the status polls of a proxy's own
			 * backends */
	clk_ms suspect_ms; /* time without an answer to polls after which a
			    * primary is reported as suspect */
	clk_ms silent_ms; /* time without an announcement after which a
			   * backend counts as silent */
	clk_ms heartbeat_ms; /* interval between control instances */
	clk_ms election_min_ms; /* election timeout; a random part of up to
				 * the same length is added */
	clk_ms stop_ms; /* upper bound of a graceful stop */
	clk_ms txn_idle_ms; /* idle time in a transaction after which the
			     * caller's connection is ended */
	int64_t seed; /* of the random number generators; 0: a random seed */
	enum settings_protocol protocol;

	/* Used with the line protocol. */
	bool controls_from_seeds; /* controls came from the key "seeds"; control
				   * instances may join and leave while the
				   * system runs */
	int64_t link_port; /* port of link, the same for every instance */
	bool bootstrap; /* true on the first start of the whole system, to
			 * form the first group of control instances */
	char name[ID_LEN]; /* given to the promoter; default: id */
	char ready[ADDR_LEN]; /* proxy: "ip:port" for the load
			       * balancer's health check */
	char control_api[ADDR_LEN]; /* control: "ip:port" of its HTTP API */
	char promoter[ADDR_LEN]; /* control: "ip:port" of the promoter */
	char metrics[ADDR_LEN]; /* "ip:port" where counters are served
				 * over HTTP; empty: not served */
	bool promoter_deposes; /* the promoter deposes the old primary in the
				* same step and checks fencing tokens; if not,
				* proxies use a primary only under a lease */
	/* Time for which an API key may be used after the configuration was
	 * last known to be the newest; 0: without a limit. */
	clk_ms key_lease_ms;
	/* Rate limits of tenants: sliding window in which they are checked (0:
	 * there are no limits), and what may be used beyond them in a window:
	 * a fraction of the limit, and a number of operations. */
	clk_ms rate_window_ms;
	double rate_excess;
	int64_t rate_slack;
	/* Statements that can't be answered in time are refused at once, and
	 * reads that no replica can serve get a part of the primary. */
	bool pacing;
	clk_ms replace_ms; /* time without an answer after which a voting
			    * control instance is replaced, or removed where
			    * enough others vote; 0: never */
};

/* Reads the file at path. On failure *s is not to be used. */
enum res settings_load(struct settings *s, const char *path,
		       enum settings_role role, struct err *e);

/* Writes the link address of the control instance with the given id to addr
 * (ADDR_LEN bytes). Only for settings with seeds, where an id is an IP. */
void settings_control_addr(const struct settings *s, const char *id,
			   char *addr);

/* Checks that addr is "ip:port" with an IPv4 address; host names are refused.
 * key stands at the start of the error's text. */
enum res settings_check_addr(const char *addr, const char *key, struct err *e);

/* The same for an address to connect to: not port 0, nor 0.0.0.0. */
enum res settings_check_peer_addr(const char *addr, const char *key,
				  struct err *e);

#endif
