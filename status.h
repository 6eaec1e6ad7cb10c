#ifndef STATUS_H
#define STATUS_H

/* Reads the status row that a backend server's SQL function
 * marjoramlatch_status() returns. */

#include "clock.h"

#include <libpq-fe.h>
#include <stdbool.h>
#include <stdint.h>

#define STATUS_SQL "SELECT * FROM marjoramlatch_status()"

struct backend_status {
	int64_t incarnation;
	bool primary;
	int64_t fence_term;
	int64_t log_term;
	int64_t received_pos; /* position up to which it has the log */
	int64_t applied_pos; /* position up to which it has applied the log */
	clk_ms data_age_ms; /* age of the applied data; -1 if unknown */
	clk_ms majority_age_ms; /* primary: since a majority confirmed; -1 if
				   none */
	int64_t slots;
	int64_t connections;
};

/* Parses a result in text format; false unless it is one row with all
 * columns. */
bool status_parse(struct backend_status *st, const PGresult *res);

#endif
